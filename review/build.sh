#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. Needs only the Rust compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review review/kit/main.rs
