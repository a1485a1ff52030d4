#!/usr/bin/env bash
# Prints the latency that the daemon adds, its requests per second on two cores,
# and its memory over 100,000 requests. This is not a test: the figures depend on
# the machine, their ratios less so.
set -euo pipefail
cd "$(dirname "$0")/.."
source Tools/processes.sh

start platform "$Standins/standin_Platform"
Servers=""
Engines=""
for Number in 1 2 3 4; do
  start "app-$Number" "$Standins/standin_ApplicationEngine" \
    --name="app-$Number" --service_ms=0
  Servers+="      - {name: app-$Number, address: \"$(field "app-$Number" address)\", dataCenter: latacunga, maxInFlight: 200}
"
  Engines+="$(field "app-$Number" address),"
done
start vm-1 taskset -c 0,1 "$Bin/samphireshuntd" --vm_id=vm-1 \
  --data_center=latacunga --callers_address=127.0.0.1:0 \
  --peers_address=127.0.0.1:0 --operators_address=127.0.0.1:0 \
  --platform_address="$(field platform address)" --drain_delay_ms=100 \
  --log_level=warning
post "$(field platform address)" /control/vms "{\"vms\":[{\"id\":\"vm-1\",\"role\":\"system\",\"state\":\"live\",\"address\":\"$(field vm-1 peers)\",\"operators\":\"$(field vm-1 operators)\"}]}"
cat >"$Work/bench.yaml" <<YAML
format: 1
service: bench
logLevel: warning
tiers: [normal]
customers:
  - {name: bench, defaultTier: normal, keyDigests: ["sha256:$(digest bench-key)"]}
pools:
  - name: applications
    kind: application
    maxWaiting: 10000
    servers:
$Servers
routes:
  - {path: /readings, pool: applications}
YAML
"$Bin/samphireshuntctl" apply "$Work/bench.yaml" --wait \
  --server="$(field platform address)" >/dev/null
await_ready "$(field vm-1 operators)"

# load TARGETS COUNT CONCURRENCY: sends requests; fails unless every call was
# answered.
load() {
  local Summary
  Summary=$(taskset -c 2-5 "$Standins/standin_callers" --targets="$1" \
    --count="$2" --concurrency="$3" --host=bench --key=bench-key \
    --mode=application --path=/readings/1 --method=GET)
  # An engine that is called directly, without a daemon, names no outcome.
  if ! grep -qE "\"outcomes\":\{\"(answered)?\":$2\}" <<<"$Summary"; then
    echo "not all answered: $Summary" >&2
    return 1
  fi
  echo "$Summary"
}
number() {
  sed -E 's/.*"'"$1"'":([0-9.]+).*/\1/' <<<"$2"
}
memory() {
  awk '/VmRSS/ {print $2}' "/proc/${Pid[vm-1]}/status"
}

Daemon=$(field vm-1 callers)
load "$Daemon" 2000 4 >/dev/null
Direct=$(load "${Engines%%,*}" 5000 1)
Through=$(load "$Daemon" 5000 1)
awk -v d50="$(number p50Ms "$Direct")" -v d99="$(number p99Ms "$Direct")" \
  -v t50="$(number p50Ms "$Through")" -v t99="$(number p99Ms "$Through")" 'BEGIN {
  printf "light load: direct p50 %.3f ms p99 %.3f ms; through the daemon p50 %.3f ms p99 %.3f ms\n", d50, d99, t50, t99
  printf "added: p50 %.3f ms (target under 1), p99 %.3f ms (target under 3)\n", t50 - d50, t99 - d99 }'

# Prints the processor time that the daemon has used, in clock ticks.
ticks() {
  awk '{print $14 + $15}' "/proc/${Pid[vm-1]}/stat"
}
Before=$(ticks)
load "$Daemon" 20000 32 >"$Work/first" &
First=$!
load "$Daemon" 20000 32 >"$Work/second" &
Second=$!
wait "$First"
wait "$Second"
After=$(ticks)
awk -v a="$(number perSecond "$(cat "$Work/first")")" \
  -v b="$(number perSecond "$(cat "$Work/second")")" \
  -v s="$(number seconds "$(cat "$Work/first")")" \
  -v t="$((After - Before))" -v hz="$(getconf CLK_TCK)" 'BEGIN {
  printf "throughput: %.0f requests/s through one daemon on two cores (target 5000)\n", a + b
  printf "processor: %.0f us a request\n", t / hz * 1e6 / 40000 }'

Memory=$(memory)
load "$Daemon" 100000 32 >/dev/null
echo "memory: $Memory KB before, $(memory) KB after 100,000 further requests"
stop vm-1
