#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/bin/. Needs clang++-14 and nlohmann-json3-dev, which deploy/system.toml
# names.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-5]/case.cpp; do
    clang++-14 -std=c++20 -O1 -Wall -Wextra -I tools "$source" -o "bin/case${source%%/*}" -pthread
done
