#!/usr/bin/env bash
# A late heartbeat undoes a departure that was acknowledged.
# Exit code 0: the rule held; 1: it was broken; 2: the case could not run. TROUBLE=0 leaves out the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
exec "$here/../play.sh" late-heartbeat "$here/record.txt"
