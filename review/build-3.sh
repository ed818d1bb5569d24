#!/usr/bin/env bash
# Builds the stand-ins and the programs of the scripts in review/11 to review/15, in target/review-3.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B target/review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release -DPAPAYAHALL_TESTS=OFF \
    -DCMAKE_PROJECT_INCLUDE="$PWD/review/harness-3/hook.cmake"
cmake --build target/review-3 --target review3
