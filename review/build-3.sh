#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/release
rustc --edition 2024 -O -o target/release/review-stand-in-3 review/stand-in-3.rs
