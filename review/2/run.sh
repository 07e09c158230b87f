#!/usr/bin/env bash
# Plays the case lost-zone; see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 it could not run.
exec "$(dirname "$0")/../play.sh" lost-zone "$(cd "$(dirname "$0")" && pwd)/record.txt"
