#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the program: their stand-ins. Needs no
# more than the packages of the deploy file; the results lie under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
objects=()
for part in net platform site idle_floor; do
  g++ -std=c++20 -O1 -Wall -Wextra -c "review/standins-2/$part.cc" -o "$out/$part.o"
  objects+=("$out/$part.o")
done
for case in hopeless_gang past_schedule kind_lost cancel_wave; do
  g++ -std=c++20 -O1 -Wall -Wextra "review/standins-2/$case.cc" "${objects[@]}" \
    -o "$out/$case" -pthread
done
