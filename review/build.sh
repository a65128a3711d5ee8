#!/usr/bin/env bash
# Builds the drivers and stand-ins of the review's cases with the tool chain alone: no package is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/src/case*.rs; do
  name=$(basename "$source" .rs)
  rustc --edition 2021 -O -o "target/review/$name" "$source"
done
