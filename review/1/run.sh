#!/usr/bin/env bash
# Clients leave in the middle of a body that they send in chunks: once with requests that may be repeated, once with orders
# that must not be. Exit code 1: the rule was broken.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
[ -x target/review/standins ] || { echo "run review/build.sh first"; exit 2; }
code=0
: > "$here/record.txt"
for variant in cut-upload cut-order; do
  timeout 55 target/review/standins "$variant" "$here/part.txt"
  result=$?
  { echo "== $variant"; cat "$here/part.txt"; } >> "$here/record.txt"
  rm -f "$here/part.txt"
  case $result in
    0) ;;
    1) code=1 ;;
    *) exit 2 ;;
  esac
done
exit "$code"
