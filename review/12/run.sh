#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# Runs after the build of the deploy file and review/build-3.sh.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review-3/late_farewell
[ -x "$program" ] && [ -x target/release/chestnutvalve-platform ] || exit 2
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec "$program" "$folder/record.txt"
