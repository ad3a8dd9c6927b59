#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in farewell first_seed slow_heads other_writer wider_heads pipelined_leave; do
    rustc --edition 2024 -O -A dead_code -o "target/review-2/$name" "review/$name.rs"
done
