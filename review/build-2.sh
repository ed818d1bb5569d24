#!/usr/bin/env bash
# Builds the cases of the second review, with the project's own stand-ins, in build-review-2/.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B build-review-2 -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DPAPAYAHALL_TESTS=OFF \
    -DCMAKE_PROJECT_papayahall_INCLUDE="$PWD/review/harness-2/hook.cmake" > /dev/null
cmake --build build-review-2 --target review_cases
