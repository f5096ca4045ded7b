#!/bin/sh
# Builds the stand-ins of the cases; needs no network.
set -e
cd "$(dirname "$0")/standin"
cargo build --release --offline --locked --target-dir target
