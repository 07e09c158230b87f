#!/bin/sh
# Builds the stand-ins and tests of the second review, after the build of the deploy file. They need the compiler and the
# standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/stand-ins-2/main.rs
