#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into build-review-3/. The daemon itself is
# built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-3
read -r -a httplib <<<"$(pkg-config --cflags --libs cpp-httplib)"
for source in review/standins-3/*.cpp; do
  g++ -std=c++20 -O1 -Wall -pthread "$source" \
    -o "build-review-3/$(basename "$source" .cpp)" "${httplib[@]}"
done
