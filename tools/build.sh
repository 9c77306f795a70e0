#!/usr/bin/env bash
# Builds everything into BUILD_FOLDER (default: build).
set -euo pipefail
cd "$(dirname "$0")/.."
folder="${BUILD_FOLDER:-build}"
cmake -S . -B "$folder" -G Ninja "$@" > /dev/null
ninja -C "$folder"
