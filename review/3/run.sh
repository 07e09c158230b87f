#!/usr/bin/env bash
# Plays the case slow-resolver; see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 it could not run.
exec "$(dirname "$0")/../play.sh" slow-resolver "$(cd "$(dirname "$0")" && pwd)/record.txt"
