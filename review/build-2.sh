#!/bin/bash
# Builds the stand-ins of the cases 6 and up. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standin review/src-2/main.rs
