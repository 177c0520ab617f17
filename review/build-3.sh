#!/bin/sh
# Builds the stand-ins of the cases 11 to 14. Needs only the Rust compiler, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/scene review/standin-r3/main.rs
# Case 13 is played by a scene of the second review.
rustc --edition 2024 -O -o target/review-3/scene-2 review/standin-2/main.rs
