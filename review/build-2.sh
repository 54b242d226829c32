#!/usr/bin/env bash
# Builds the stand-ins of the scripts of cases 6 to 10 and of review/lesser/ into target/review-2/. Run after the build
# of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp review/standins-3/*.cpp; do
    clang++-14 -std=c++20 -O1 -pthread "$source" -o "target/review-2/$(basename "$source" .cpp)"
done
