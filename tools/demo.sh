#!/usr/bin/env bash
# Builds, runs one entry host on loopback with its disk in a temporary folder and a small stand-in fleet,
# sends a request, runs a batch task, and shows that the host still has the task's record after kill -9 and a restart.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh > /dev/null
bin="${BUILD_FOLDER:-build}/bin"
folder=$(mktemp -d)
pids=()
cleanup() { for pid in "${pids[@]}"; do kill "$pid" 2> /dev/null || true; done; rm -rf "$folder"; }
trap cleanup EXIT
wait_for() { until grep -q "$1" "$2"; do sleep 0.05; done; }
show() { echo "\$ $*"; "$@"; echo; }

"$bin/cornelpond" serve --default "$folder/data" 2> "$folder/host.log" & pids+=($!); host=$!
wait_for HostStarted "$folder/host.log"
"$bin/standin" --entry 127.0.0.1:7001 --workers 4 --servers 2 --service plan --announce-ms 300 > /dev/null & pids+=($!)
wait_for "WorkerJoined.*worker=w4" "$folder/host.log"
wait_for "BackendServerJoined.*server=s2" "$folder/host.log"

echo '{"id": "season-plan", "association": "sluices", "resources": {"milliCores": 2000, "memoryMiB": 1024}, "command": "run 500"}' > "$folder/task.json"
show curl -s "http://127.0.0.1:7000/plan/gates-due?lock=7"
show "$bin/cornelpond" submit "$folder/task.json" --wait
show "$bin/cornelpond" status
echo "kill -9 of the host, then a restart on the same disk"
kill -9 "$host"; wait "$host" 2> /dev/null || true
"$bin/cornelpond" serve --default "$folder/data" 2> "$folder/host2.log" & pids+=($!)
wait_for HostStarted "$folder/host2.log"
show "$bin/cornelpond" get tasks
echo "the host's log of its decisions:"
grep -E 'RequestRouted|TaskPlaced|AttemptEnded' "$folder/host.log"
