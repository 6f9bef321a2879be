#!/usr/bin/env bash
# Starts an example system on loopback, sends calls to it for some seconds, and stops it. Each example's start.sh
# sources this script and sets the variables: name, domains, services ("NAME:SERVERS ..."), operator, platforms, targets.
# The ports are fixed. EXAMPLE_HOST is the loopback address to use instead of 127.0.0.1, so that two can run at once.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
seconds="${1:-20}"
rate="${2:-500}"
max_tries=50
host="${EXAMPLE_HOST:-127.0.0.1}"
operator="${operator//127.0.0.1/$host}"
platforms="${platforms//127.0.0.1/$host}"
targets="${targets//127.0.0.1/$host}"
work="$(mktemp -d)"
program="$work/oriolepost"
go build -o "$program" ./cmd/oriolepost
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ -n "${keep_log:-}" ]; then cp "$work/nodes.log" "$keep_log"; fi
  rm -rf "$work"
}
trap stop EXIT

for file in examples/"$name"/*.json; do
  settings="$work/$(basename "$file")"
  sed "s#data/$name#$work/data#; s#127\.0\.0\.1:#$host:#g" "$file" > "$settings"
  "$program" node --settings "$settings" 2>> "$work/nodes.log" &
  pids+=($!)
done
names=()
for service in $services; do
  service_name="${service%%:*}"
  names+=("$service_name")
  for i in $(seq 1 "${service##*:}"); do
    "$program" standin --server "$service_name-$i" --service "$service_name" --failure-domain "${domains[i % 3]}" \
      --distance-us 1500 --platforms "$platforms" --record "$work/runs-$service_name-$i" --seed "$i" > /dev/null &
    pids+=($!)
  done
done
apply() {
  for _ in $(seq 1 "$max_tries"); do
    if "$program" apply --operator "$operator" --change-id "first-$1" "examples/$name/services/$1.json" 2>> "$work/apply.log"; then
      return 0
    fi
    sleep 0.2
  done
  cat "$work/apply.log" "$work/nodes.log" >&2
  return 1
}
for service_name in "${names[@]}"; do apply "$service_name"; done
"$program" load --targets "$targets" --services "$(IFS=,; echo "${names[*]}")" --rate "$rate" \
  --duration "${seconds}s" --distance 8ms --records "$work/runs-*" --json
