#!/bin/sh
# Builds the programs of the scripts in review/11 to review/15. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in $(cd review && ls late_farewell.rs stop_downloads.rs early_start.rs 2>/dev/null); do
    rustc --edition 2024 -O "review/$name" -o "target/review-3/${name%.rs}"
done
