#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/. The daemon itself is built by the deploy
# file's command before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -pthread -Wall -Wextra -o "target/review/case-$number" "$source" &
done
wait
for source in review/*/case.cc; do
  test -x "target/review/case-$(basename "$(dirname "$source")")"
done
