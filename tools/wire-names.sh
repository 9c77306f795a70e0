#!/usr/bin/env bash
# The platform's wire names stand in platform/ and deploy/ alone: no source of the product quotes one.
set -euo pipefail
cd "$(dirname "$0")/.."
found=0
while read -r name; do
    if hits=$(git grep -n -F -e "\"$name" -- 'cornelpond/*.h' 'cornelpond/*.cpp'); then
        echo "wire name '$name' outside platform/:"
        echo "$hits"
        found=1
    fi
done < tools/wire-names.txt
[ "$found" = 0 ] && echo "1 passed, 0 failed"
exit "$found"
