#!/usr/bin/env bash
# play.sh NAME RECORD: plays a case with processes of its own and ends them all. `TROUBLE=0` leaves the disruption out.
set -u
name=$1 record=$2
cd "$(dirname "$0")/.." || exit 2
for program in target/release/swiftlb target/review/stand-in; do
  [ -x "$program" ] || { echo "$program is missing: run the build of deploy/balancer.toml and review/build.sh"; exit 2; }
done
CASE_FOLDER=$(mktemp -d) || exit 2
export CASE_FOLDER
timeout -k 1 105 target/review/stand-in case "$name" "$record"
status=$?
# The driver ends its processes itself; this is for one that was ended by the time-out.
while read -r pid; do
  grep -qaE 'swiftlb|stand-in' "/proc/$pid/cmdline" 2>/dev/null && kill -KILL "$pid" 2>/dev/null
done < <(cat "$CASE_FOLDER/pids" 2>/dev/null)
rm -rf "$CASE_FOLDER"
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
