#!/usr/bin/env bash
# Formats all sources; with --check only reports the files that differ.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = "--check" ] && mode=(--dry-run --Werror)
git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | xargs -r clang-format "${mode[@]}"
