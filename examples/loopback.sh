#!/usr/bin/env bash
# Runs one deployment on loopback: a platform, upstreams, the fabric and nine instances, each as
# a process of its own. Usage: examples/loopback.sh kalahari|consortium DIRECTORY
# Processes end with this script (Ctrl-C); logs are in DIRECTORY/logs.
set -euo pipefail
deployment=$1
directory=$2
program=${CATKINSPREAD:-.venv/bin/catkinspread}
base=21000
mkdir -p "$directory/logs"
"$program" write-example "$deployment" "$directory" --base-port $base > /dev/null
pids=()
trap 'kill -TERM "${pids[@]}" 2> /dev/null; wait' EXIT

start() {
  local name=$1
  shift
  "$program" "$@" > "$directory/logs/$name.log" 2>&1 &
  pids+=($!)
}

start platform platform --address 127.0.0.1:$base
for port in $(seq $((base + 20)) $((base + 26))) $(seq $((base + 40)) $((base + 42))); do
  start "upstream-$port" upstream --address 127.0.0.1:"$port"
done
instances=()
index=0
for file in "$directory"/*.ini; do
  start "$(basename "$file" .ini)" run "$file"
  instances+=(--instance 127.0.0.1:$((base + 100 + 5 * index)))
  index=$((index + 1))
done
start fabric fabric --inner 127.0.0.1:$((base + 1)) \
  --service 127.0.0.1:$((base + 10)) --service 127.0.0.1:$((base + 11)) "${instances[@]}"
echo "admin address of the first instance: 127.0.0.1:$((base + 103))"
echo "service addresses: 127.0.0.1:$((base + 10)) and 127.0.0.1:$((base + 11))"
wait
