#!/usr/bin/env bash
# Builds the stand-ins of the review cases into target/review. Needs rustc only, no package and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review review/stand-in/main.rs
