#!/usr/bin/env bash
# Builds the stand-ins of the second review. Needs the Rust toolchain alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standins_2 review/standins_2.rs
