#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stand-in-3/Cargo.toml --target-dir target/review-3
