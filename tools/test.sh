#!/usr/bin/env bash
# Builds and runs all tests. Results are repeatable: seeds are fixed, and no check depends on speed.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh
ctest --test-dir "${BUILD_FOLDER:-build}" --output-on-failure -j 6
