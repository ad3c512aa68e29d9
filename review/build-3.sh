#!/bin/sh
# Builds the stand-in of the script in review/13.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/release
rustc --edition 2024 -O -o target/release/review-stand-in-3 review/stand-in-3.rs
