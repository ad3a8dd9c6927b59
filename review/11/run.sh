#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. Runs after review/build-3.sh.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
exec target/review-3/stop_downloads "$folder/record.txt"
