#!/usr/bin/env bash
# A planned stop of entries cuts off answers to clients that send further requests before the first one is answered.
# Exit code 0: the rule held; 1: it was broken; 2: the case could not run. TROUBLE=0 leaves out the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
exec "$here/../play.sh" planned-stop "$here/record.txt"
