#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, with rustc alone. They share
# the module review/stand-in-2.rs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for scenario in review/7/stop.rs review/8/feeds.rs; do
    rustc --edition 2024 -O -o "target/review-2/$(basename "$scenario" .rs)" "$scenario"
done
