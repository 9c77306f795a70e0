#!/usr/bin/env bash
# Runs clang-tidy over all sources, or over the files given. A file whose preprocessed text, checks and
# tool are unchanged since it last passed is skipped.
set -euo pipefail
cd "$(dirname "$0")/.."
folder="${BUILD_FOLDER:-build}"
cache="${LINT_CACHE:-$folder/lint}"
mkdir -p "$cache"
[ -f "$folder/compile_commands.json" ] || cmake -S . -B "$folder" -G Ninja > /dev/null
lint_one() {
    local folder="$1" cache="$2" file="$3" key
    key=$({ clang-tidy --version; cat .clang-tidy; clang++ -std=c++17 -I. -DDOCS_FOLDER='""' -DBINARY_FOLDER='""' -E -P "$file"; cat "$file"; } 2> /dev/null | sha256sum | cut -c1-64)
    [ -f "$cache/$key" ] && return 0
    if clang-tidy --quiet -p "$folder" "$file" > "$cache/$$.log" 2>&1; then
        touch "$cache/$key"
    else
        grep -v 'warnings generated' "$cache/$$.log"
        return 1
    fi
}
export -f lint_one
if [ $# -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp'); fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint_one "$@"' _ "$folder" "$cache" {}
