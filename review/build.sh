#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, one program a case.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O2 -g1 -Wall -Wextra -pthread)
objects=()
jobs=()
for source in review/standin/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ "${flags[@]}" -c "$source" -o "$out/$name.o" &
  jobs+=($!)
  [[ $name == case* ]] || objects+=("$out/$name.o")
done
for job in "${jobs[@]}"; do wait "$job"; done
for main in review/standin/case*.cpp; do
  name=$(basename "$main" .cpp)
  g++ "${flags[@]}" "$out/$name.o" "${objects[@]}" -o "$out/$name"
done
