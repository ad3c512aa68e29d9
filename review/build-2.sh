#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, with rustc alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for scenario in review/stand-ins-2/*.rs; do
    name="$(basename "$scenario" .rs)"
    [ "$name" = platform ] && continue
    rustc --edition 2024 -O -o "target/review-2/$name" "$scenario"
done
