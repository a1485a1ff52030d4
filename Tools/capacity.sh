#!/usr/bin/env bash
# Measures the cost of idle daemons by their number, and how fast a configuration
# change reaches all of them. Prints a table row for each number.
#   Tools/capacity.sh [NUMBER...]
set -euo pipefail
cd "$(dirname "$0")/.."
Numbers=("$@")
[ ${#Numbers[@]} -gt 0 ] || Numbers=(4 8 16 32 64 128)
Seconds=10

row() (
  Count=$1
  source Tools/processes.sh
  start platform "$Standins/standin_Platform"
  Platform=$(field platform address)
  start engine "$Standins/standin_ModelEngine" --name=engine
  for Number in $(seq "$Count"); do
    start "vm-$Number" "$Bin/samphireshuntd" --vm_id="vm-$Number" \
      --data_center=latacunga --callers_address=127.0.0.1:0 \
      --peers_address=127.0.0.1:0 --operators_address=127.0.0.1:0 \
      --platform_address="$Platform" --threads=1 --drain_delay_ms=0
  done
  Vms=$(for Number in $(seq "$Count"); do
    printf '{"id":"vm-%s","role":"system","state":"live","address":"%s","operators":"%s"},' \
      "$Number" "$(field "vm-$Number" peers)" "$(field "vm-$Number" operators)"
  done)
  printf '{"vms":[%s]}' "${Vms%,}" >"$Work/vms"
  post "$Platform" /control/vms "@$Work/vms"
  document() {
    cat <<YAML
format: 1
service: capacity
tiers: [normal]
limits: {defaultTimeoutMs: $1}
customers:
  - {name: one, defaultTier: normal, keyDigests: ["sha256:$(digest one)"]}
pools:
  - name: models
    kind: model
    models: [m]
    servers:
      - {name: engine, address: "$(field engine address)", dataCenter: latacunga}
routes:
  - {path: /v1/chat/completions, pool: models}
YAML
  }
  document 1001 >"$Work/one.yaml"
  "$Bin/samphireshuntctl" apply "$Work/one.yaml" --server="$Platform" --wait \
    --wait_timeout_ms=60000 >/dev/null 2>&1
  # Wait until the last daemon sees all others as alive.
  for Try in $(seq 600); do
    Known=$(curl -s "http://$(field "vm-$Count" operators)/status" |
      { grep -o '"status":"alive"' || true; } | wc -l)
    [ "$Known" -ge $((Count - 1)) ] && break
    sleep 0.1
  done
  sleep 5 # The burst of updates from joining has to end.
  sum_status() {
    local Sum=0 Number Value
    for Number in 1 $((Count / 2)) "$Count"; do
      Value=$(curl -s "http://$(field "vm-$Number" operators)/status" |
        sed -E 's/.*"'"$1"'":([0-9]+).*/\1/')
      Sum=$((Sum + Value))
    done
    echo "$Sum"
  }
  ticks() {
    local Sum=0 Number
    for Number in $(seq "$Count"); do
      Sum=$((Sum + $(awk '{print $14 + $15}' "/proc/${Pid[vm-$Number]}/stat")))
    done
    echo "$Sum"
  }
  calls() {
    curl -s "http://$Platform/control/counts" | sed -E 's/.*"calls":([0-9]+).*/\1/'
  }
  Sent=$(sum_status controlBytesSent)
  Heard=$(sum_status gossipBytesReceived)
  Ticks=$(ticks)
  Calls=$(calls)
  sleep "$Seconds"
  Sent=$(($(sum_status controlBytesSent) - Sent))
  Heard=$(($(sum_status gossipBytesReceived) - Heard))
  Ticks=$(($(ticks) - Ticks))
  Calls=$(($(calls) - Calls))
  Memory=$(for Number in $(seq "$Count"); do
    awk '/VmRSS/ {print $2}' "/proc/${Pid[vm-$Number]}/status"
  done | sort -n | tail -1)
  # The time from writing the change until the last daemon logs its adoption.
  document 1002 >"$Work/two.yaml"
  Begin=$(date +%s%3N)
  "$Bin/samphireshuntctl" apply "$Work/two.yaml" --server="$Platform" --wait \
    --wait_timeout_ms=60000 >/dev/null 2>&1
  Last=$(grep -h '"event":"adopted".*"version":"2"' "$Work"/vm-*.log |
    sed -E 's/.*"time":"([^"]*)".*/\1/' | sort | tail -1)
  Adopted=$(date -d "$Last" +%s%3N)
  # docs/MEASUREMENTS.md has the same time with only one daemon that can reach the
  # platform.
  awk -v n="$Count" -v sent="$Sent" -v heard="$Heard" -v ticks="$Ticks" \
    -v hz="$(getconf CLK_TCK)" -v s="$Seconds" -v mem="$Memory" \
    -v calls="$Calls" -v ms="$((Adopted - Begin))" 'BEGIN {
    printf "| %d | %.0f | %.0f | %.2f | %.1f | %.1f | %d |\n", n, sent / 3 / s,
      heard / 3 / s, 100 * ticks / hz / s / n, mem / 1024, calls / s, ms }'
  for Number in $(seq "$Count"); do
    kill -TERM "${Pid[vm-$Number]}"
  done
  wait "${Pid[vm-1]}"
)

echo "| daemons | control bytes/s sent | gossip bytes/s received | % of a core | largest MB | platform calls/s | change everywhere ms |"
echo "|---|---|---|---|---|---|---|"
for Count in "${Numbers[@]}"; do
  row "$Count"
done
