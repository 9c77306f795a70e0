#!/usr/bin/env bash
# Builds the cases and their stand-ins into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
folder="review/bin"
mkdir -p "$folder"
compile=("${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread -I.)
objects=()
waits=()
for source in review/standin/*.cpp review/[1-5]/Case.cpp; do
    [ -f "$source" ] || continue
    object="$folder/$(echo "${source#review/}" | tr / -).o"
    [[ "$source" == review/standin/* ]] && objects+=("$object")
    "${compile[@]}" -c "$source" -o "$object" &
    waits+=("$!")
done
for wait in "${waits[@]}"; do wait "$wait"; done
for source in review/[1-5]/Case.cpp; do
    [ -f "$source" ] || continue
    number="$(basename "$(dirname "$source")")"
    "${compile[@]}" "$folder/$number-Case.cpp.o" "${objects[@]}" -o "$folder/case$number"
done
