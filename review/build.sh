#!/usr/bin/env bash
# Builds every stand-in that a script of this folder starts. The system itself is built with
# the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --package platform-standin --package standin
