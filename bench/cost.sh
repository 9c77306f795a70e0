#!/usr/bin/env bash
# Measures running processes from /proc over a span of time: CPU time, resident memory, and bytes and calls of
# read and write (sockets and files).
#
#   bench/cost.sh SECONDS PID[=NAME]...
#
# Prints one line for each process: cpu as a share of one core, RSS at the end and the peak RSS, and
# bytes and calls a second. Bytes on a socket are counted by the process that reads or writes them.
set -euo pipefail
[ $# -ge 2 ] || { sed -n '2,9p' "$0"; exit 2; }
seconds="$1"
shift
ticks_per_second=$(getconf CLK_TCK)

# utime + stime in ticks, then rchar wchar syscr syscw. The name in parentheses may hold spaces.
sample() {
    local stat
    stat=$(cat "/proc/$1/stat") || return 1
    set -- "$1" ${stat##*) }
    local cpu=$((${13} + ${14}))
    echo "$cpu $(awk '$1 ~ /^(rchar|wchar|syscr|syscw):/ { printf "%s ", $2 }' "/proc/$1/io")"
}

declare -A before
for process in "$@"; do
    before["$process"]=$(sample "${process%%=*}")
done
started=$(date +%s%N)
sleep "$seconds"
printf '%-16s %8s %10s %10s %12s %12s %10s %10s\n' process "cpu%" "rssMiB" "peakMiB" "readB/s" "writtenB/s" "reads/s" "writes/s"
for process in "$@"; do
    pid="${process%%=*}"
    after=$(sample "$pid") || { echo "$process ended"; continue; }
    elapsed=$(($(date +%s%N) - started))
    rss=$(awk '/^VmRSS:/ { print $2 }' "/proc/$pid/status")
    peak=$(awk '/^VmHWM:/ { print $2 }' "/proc/$pid/status")
    awk -v name="${process#*=}" -v before="${before[$process]}" -v after="$after" -v elapsed="$elapsed" -v ticks="$ticks_per_second" -v rss="$rss" -v peak="$peak" 'BEGIN {
        split(before, b, " ")
        split(after, a, " ")
        s = elapsed / 1e9
        printf "%-16s %8.2f %10.1f %10.1f %12.0f %12.0f %10.1f %10.1f\n", name, 100 * (a[1] - b[1]) / ticks / s, rss / 1024, peak / 1024,
            (a[2] - b[2]) / s, (a[3] - b[3]) / s, (a[4] - b[4]) / s, (a[5] - b[5]) / s
    }'
done
