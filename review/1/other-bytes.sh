#!/usr/bin/env bash
# Further effect of the same fault: a worker gets another request's bytes where the rest of a body is due.
# Exit code 0: the rule held; 1: it was broken; 2: the case could not run. TROUBLE=0 leaves out the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
exec "$here/../play.sh" other-bytes "$here/record-other-bytes.txt"
