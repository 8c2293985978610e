#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start, into target/review-2.
# Run it in the repository after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/case-*.cc; do
    name=$(basename "$source" .cc)
    echo "$name"
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/$name"
done
