#!/bin/sh
# Builds the stand-ins of the cases with the standard library alone, into the project's build folder.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin.rs
