#!/usr/bin/env bash
# A departure that was acknowledged is undone by a late heartbeat. Exit code 1: the rule was broken.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
[ -x target/review/standins ] || { echo "run review/build.sh first"; exit 2; }
exec timeout 110 target/review/standins late-heartbeat "$here/record.txt"
