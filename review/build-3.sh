#!/usr/bin/env bash
# Builds the stand-ins of the scripts of cases 11 to 15 into target/review-3/. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-4/*.cpp; do
    clang++-14 -std=c++20 -O1 -pthread "$source" -o "target/review-3/$(basename "$source" .cpp)"
done
