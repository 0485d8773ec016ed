#!/usr/bin/env bash
# Builds the programs that the cases review/6 to review/10 start, besides
# coltsfootd of the deploy file, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DCMAKE_CXX_FLAGS_RELEASE=-O2 -DCOLTSFOOT_TESTS=OFF \
  -DCMAKE_PROJECT_coltsfootpoint_INCLUDE="$PWD/review/standin2/hook.cmake"
cmake --build target/review-2 --target review2
