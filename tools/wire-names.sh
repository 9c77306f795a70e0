#!/usr/bin/env bash
# Checks that no source in cornelpond/ contains one of the platform's wire names; they belong in platform/ and
# deploy/.
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
