#!/usr/bin/env bash
# Clients leave in the middle of a body that they send in chunks: once with requests that may be repeated, once with orders
# that must not be.
# Exit code 0: the rule held; 1: it was broken; 2: the case could not run. TROUBLE=0 leaves out the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
code=0
: > "$here/record.txt"
for variant in cut-upload cut-order; do
  "$here/../play.sh" "$variant" "$here/part.txt" 55
  result=$?
  { echo "== $variant"; cat "$here/part.txt"; } >> "$here/record.txt"
  rm -f "$here/part.txt"
  [ "$result" -ne 2 ] || exit 2
  [ "$result" -eq 0 ] || code=1
done
exit "$code"
