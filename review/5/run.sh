#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
number="$(basename "$(cd "$(dirname "$0")" && pwd)")"
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/cornelpond ] && [ -x "review/bin/case$number" ] || { echo "build target/ and run review/build.sh first" >&2; exit 2; }
timeout --signal=KILL 115 "review/bin/case$number" target/bin/cornelpond "review/$number/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
