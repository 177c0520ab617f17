#!/bin/sh
# Builds the stand-ins of this review, with the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2 target/review-3
rustc --edition 2024 -O -o target/review-2/scene review/standin-2/main.rs
rustc --edition 2024 -O -o target/review-3/case review/standin-3/main.rs
