#!/usr/bin/env bash
# Measures what workers, running tasks and backend servers cost one entry host, the source of the slopes in
# docs/CAPACITY.md. A stand-in fleet announces itself every second.
#
#   bench/capacity.sh workers | tasks | servers | changes | starts
#
# Prints, for each size, the host's share of a core, its resident memory, and its bytes read from and
# written to sockets a second (log and journal excluded); for changes and starts (of a task, up to its end) the
# CPU time, journal bytes and memory of that many. Needs ports 7000 to 7002 of 127.0.0.1.
set -euo pipefail
cd "$(dirname "$0")/.."
bin="${BUILD_FOLDER:-build}/bin"
seconds="${SECONDS_EACH:-10}"
ticks=$(getconf CLK_TCK)

cpu_ticks() { local stat; stat=$(cat "/proc/$1/stat"); set -- ${stat##*) }; echo $((${12} + ${13})); }
io() { awk -v key="$2:" '$1 == key { print $2 }' "/proc/$1/io"; }
file_bytes() { du -cb "$folder/host.log" "$folder"/data/*/* 2> /dev/null | tail -1 | cut -f1; }

# measure LABEL WORKERS SERVERS TASKS
measure() {
    folder=$(mktemp -d)
    "$bin/cornelpond" serve --default "$folder/data" 2> "$folder/host.log" &
    local host=$!
    until grep -q HostStarted "$folder/host.log"; do sleep 0.05; done
    # Keeps the standard input of the stand-in open.
    mkfifo "$folder/console"
    exec 3<> "$folder/console"
    "$bin/standin" --entry 127.0.0.1:7001 --workers "$2" --servers "$3" --cores 64 --memory-mib 262144 < "$folder/console" > /dev/null 2>&1 &
    local fleet=$!
    until [ "$(grep -c WorkerJoined "$folder/host.log")" -ge "$2" ] && [ "$(grep -c BackendServerJoined "$folder/host.log")" -ge "$3" ]; do sleep 0.2; done
    if [ "$4" -gt 0 ]; then
        "$bin/path_bench" tasks --target 127.0.0.1:7002 --count "$4" --command hang > /dev/null
        until [ "$(grep -c AttemptStarted "$folder/host.log")" -ge "$4" ]; do sleep 0.2; done
    fi
    sleep 3
    local cpu0 read0 written0 files0 cpu1 read1 written1 files1 rss
    cpu0=$(cpu_ticks "$host"); read0=$(io "$host" rchar); written0=$(io "$host" wchar); files0=$(file_bytes)
    sleep "$seconds"
    cpu1=$(cpu_ticks "$host"); read1=$(io "$host" rchar); written1=$(io "$host" wchar); files1=$(file_bytes)
    rss=$(awk '/^VmRSS:/ { print $2 }' "/proc/$host/status")
    awk -v label="$1" -v cpu=$((cpu1 - cpu0)) -v ticks="$ticks" -v s="$seconds" -v rss="$rss" -v in_bytes=$((read1 - read0)) -v out_bytes=$((written1 - written0 - files1 + files0)) 'BEGIN {
        printf "%-28s cpu %6.2f %%  rss %6.1f MiB  in %8.0f B/s  out %8.0f B/s\n", label, 100 * cpu / ticks / s, rss / 1024, in_bytes / s, out_bytes / s
    }'
    kill "$host" "$fleet" 2> /dev/null || true
    exec 3>&-
    wait 2> /dev/null || true
    rm -rf "$folder"
}

start_host() {
    folder=$(mktemp -d)
    "$bin/cornelpond" serve --default "$folder/data" 2> "$folder/host.log" &
    host=$!
    until grep -q HostStarted "$folder/host.log"; do sleep 0.05; done
}

# spent LABEL COMMAND...: prints the CPU time, journal bytes and memory of the host while the command runs.
spent() {
    local label="$1" cpu0 journal0
    shift
    cpu0=$(cpu_ticks "$host"); journal0=$(cat "$folder"/data/*/* | wc -c)
    "$@"
    echo "$label: cpu $((($(cpu_ticks "$host") - cpu0) * 1000 / ticks)) ms, journal $(($(cat "$folder"/data/*/* | wc -c) - journal0)) bytes, rss $(awk '/^VmRSS:/ { print $2 }' "/proc/$host/status") KiB"
}

version=0
change() {
    for _ in $(seq "$1"); do
        curl -s -X PUT http://127.0.0.1:7002/v1/config -d "{\"expectedVersion\": $version, \"operationId\": \"o$version\", \"author\": \"a\", \"document\": {\"services\": {\"plan\": {\"timeoutMs\": $((100 + version % 100))}}}}" > /dev/null
        version=$((version + 1))
    done
}

ended=0
run_tasks() {
    "$bin/path_bench" tasks --target 127.0.0.1:7002 --count "$1" > /dev/null
    ended=$((ended + $1))
    until [ "$(grep -c AttemptEnded "$folder/host.log")" -ge "$ended" ]; do sleep 0.2; done
}

finish() {
    kill "$@"
    wait 2> /dev/null || true
    rm -rf "$folder"
}

case "${1:-}" in
changes)
    start_host
    for n in 50 150 450; do spent "$n changes" change "$n"; done
    finish "$host"
    ;;
starts)
    start_host
    mkfifo "$folder/console"
    exec 3<> "$folder/console"
    "$bin/standin" --entry 127.0.0.1:7001 --workers 100 --servers 0 --cores 64 < "$folder/console" > /dev/null 2>&1 &
    fleet=$!
    until [ "$(grep -c WorkerJoined "$folder/host.log")" -ge 100 ]; do sleep 0.2; done
    for n in 1000 3000 9000; do spent "$n tasks" run_tasks "$n"; done
    finish "$host" "$fleet"
    ;;
workers) for n in 100 400 1500; do measure "$n workers" "$n" 0 0; done ;;
tasks) for n in 0 1300 2600 5200; do measure "400 workers, $n tasks" 400 0 "$n"; done ;;
servers) for n in 50 200 800; do measure "$n backend servers" 0 "$n" 0; done ;;
*) sed -n '2,11p' "$0"; exit 2 ;;
esac
