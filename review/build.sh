#!/usr/bin/env bash
# Builds the stand-ins of the review cases into target/review/. Needs the Rust toolchain only, no package.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand-in review/stand-in/main.rs
