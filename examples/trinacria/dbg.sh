#!/usr/bin/env bash
# Starts the trinacria system of today's size on loopback, calls it for a while, and stops it.
# usage: examples/trinacria/start.sh [SECONDS [CALLS_A_SECOND]]
set -euo pipefail
cd "$(dirname "$0")/../.."
seconds="${1:-20}"
rate="${2:-500}"
work="$(mktemp -d)"
program="$work/oriolepost"
go build -o "$program" ./cmd/oriolepost
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  cp $work/nodes.log /tmp/nodes.log; rm -rf "$work"
}
trap stop EXIT

for file in examples/trinacria/*.json; do
  sed "s#data/trinacria#$work/data#" "$file" > "$work/$(basename "$file")"
  "$program" node --settings "$work/$(basename "$file")" 2>> "$work/nodes.log" &
  pids+=($!)
done
domains=(palermo catania ragusa)
platforms=127.0.0.1:21001,127.0.0.1:21005,127.0.0.1:21009,127.0.0.1:21013,127.0.0.1:21017,127.0.0.1:21021,127.0.0.1:21025,127.0.0.1:21029,127.0.0.1:21033,127.0.0.1:21037,127.0.0.1:21041,127.0.0.1:21045,127.0.0.1:21049,127.0.0.1:21053,127.0.0.1:21057,127.0.0.1:21061
for i in $(seq 1 20); do
  "$program" standin --server "booking-$i" --service booking --failure-domain "${domains[i % 3]}" --distance-us 1500 \
    --platforms "$platforms" --record "$work/runs-booking-$i" --seed "$i" > /dev/null &
  pids+=($!)
done
for i in $(seq 1 12); do
  "$program" standin --server "records-$i" --service records --failure-domain "${domains[i % 3]}" --distance-us 1500 \
    --platforms "$platforms" --record "$work/runs-records-$i" --seed "$i" > /dev/null &
  pids+=($!)
done
until "$program" apply --operator 127.0.0.1:21002 --change-id first-booking examples/trinacria/services/booking.json; do sleep 0.2; done
until "$program" apply --operator 127.0.0.1:21002 --change-id first-records examples/trinacria/services/records.json; do sleep 0.2; done
"$program" load --targets 127.0.0.1:21000/127.0.0.1:21001,127.0.0.1:21004/127.0.0.1:21005,127.0.0.1:21008/127.0.0.1:21009,127.0.0.1:21012/127.0.0.1:21013,127.0.0.1:21016/127.0.0.1:21017,127.0.0.1:21020/127.0.0.1:21021,127.0.0.1:21024/127.0.0.1:21025,127.0.0.1:21028/127.0.0.1:21029,127.0.0.1:21032/127.0.0.1:21033,127.0.0.1:21036/127.0.0.1:21037,127.0.0.1:21040/127.0.0.1:21041,127.0.0.1:21044/127.0.0.1:21045,127.0.0.1:21048/127.0.0.1:21049,127.0.0.1:21052/127.0.0.1:21053,127.0.0.1:21056/127.0.0.1:21057,127.0.0.1:21060/127.0.0.1:21061 \
  --services booking,records --rate "$rate" --duration "${seconds}s" --distance 8ms --records "$work/runs-*" --json
