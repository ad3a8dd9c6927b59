#!/usr/bin/env bash
# Answers are cut off by a planned stop of the entry. Exit code 1: the rule was broken.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
[ -x target/review/standins ] || { echo "run review/build.sh first"; exit 2; }
exec timeout 115 target/review/standins planned-stop "$here/record.txt"
