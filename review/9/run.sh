#!/bin/sh
# Runs the test of this case; claim.txt beside it says what it shows. Exit code: 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/swiftlb target/review-2/review-2; do
    [ -x "$program" ] || { echo "$program is missing: run the build of the deploy file and review/build-2.sh"; exit 2; }
done
exec target/review-2/review-2 quiet-restart review/9/record.txt
