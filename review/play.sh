#!/usr/bin/env bash
# Usage: play.sh CASE RECORD [SECONDS]. Plays a case in a process group of its own, ends the whole group after SECONDS (110) at
# the latest, and exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/.."
[ -x target/review/standins ] || { echo "run review/build.sh first"; exit 2; }
set -m
target/review/standins "$1" "$2" &
group=$!
(sleep "${3:-110}"; kill -KILL -- "-$group") 2>/dev/null &
watchdog=$!
set +m
trap 'kill -KILL -- "-$group" "-$watchdog" 2>/dev/null' EXIT
wait "$group"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
