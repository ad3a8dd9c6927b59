#!/usr/bin/env bash
# Further effect of the same fault: a worker gets another request's bytes where the rest of a body is due. Exit code 1: the
# rule was broken.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
[ -x target/review/standins ] || { echo "run review/build.sh first"; exit 2; }
exec timeout 115 target/review/standins other-bytes "$here/record-other-bytes.txt"
