#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripted cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "target/review/case-$number"
done
