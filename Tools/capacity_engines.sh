#!/usr/bin/env bash
# Measures the processor time that a keeper spends on its engines' reports, by the
# number of engines, and the bytes between daemons for each request.
set -euo pipefail
cd "$(dirname "$0")/.."
Seconds=10

document() {
  cat <<YAML
format: 1
service: capacity
tiers: [normal]
customers:
  - {name: one, defaultTier: normal, keyDigests: ["sha256:$(digest one)"]}
pools:
  - name: models
    kind: model
    models: [m]
    servers:
$1
routes:
  - {path: /v1/chat/completions, pool: models}
YAML
}

daemon() {
  start "$1" "$Bin/samphireshuntd" --vm_id="$1" --data_center=latacunga \
    --callers_address=127.0.0.1:0 --peers_address=127.0.0.1:0 \
    --operators_address=127.0.0.1:0 --threads=1 --drain_delay_ms=0 \
    --platform_address="$(field platform address)"
}

engines() {
  Servers=""
  for Number in $(seq "$1"); do
    start "engine-$Number" "$Standins/standin_ModelEngine" --name="engine-$Number"
    Servers+="      - {name: engine-$Number, address: \"$(field "engine-$Number" address)\", dataCenter: latacunga}
"
  done
}

status() {
  curl -s "http://$(field "$1" operators)/status" |
    sed -E 's/.*"'"$2"'":([0-9]+).*/\1/'
}

reports() (
  source Tools/processes.sh
  start platform "$Standins/standin_Platform"
  engines "$1"
  daemon vm-1
  document "$Servers" >"$Work/document.yaml"
  "$Bin/samphireshuntctl" apply "$Work/document.yaml" \
    --server="$(field platform address)" >/dev/null
  await_ready "$(field vm-1 operators)"
  sleep 2
  Before=$(awk '{print $14 + $15}' "/proc/${Pid[vm-1]}/stat")
  sleep "$Seconds"
  After=$(awk '{print $14 + $15}' "/proc/${Pid[vm-1]}/stat")
  Size=$(curl -s -o /dev/null -w '%{size_request} %{size_header} %{size_download}' \
    "http://$(field engine-1 address)/v1/load")
  awk -v n="$1" -v t="$((After - Before))" -v hz="$(getconf CLK_TCK)" \
    -v s="$Seconds" -v size="$Size" 'BEGIN { split(size, b, " ")
    printf "| %d | %.2f | %.0f |\n", n, 100 * t / hz / s,
      2 * n * (b[1] + b[2] + b[3]) }'
)

# Runs two daemons and sends the requests to the one that is not the keeper.
requests() (
  source Tools/processes.sh
  start platform "$Standins/standin_Platform"
  engines 4
  daemon vm-1
  daemon vm-2
  Vms=$(for Number in 1 2; do
    printf '{"id":"vm-%s","role":"system","state":"live","address":"%s","operators":"%s"},' \
      "$Number" "$(field "vm-$Number" peers)" "$(field "vm-$Number" operators)"
  done)
  post "$(field platform address)" /control/vms "{\"vms\":[${Vms%,}]}"
  document "$Servers" >"$Work/document.yaml"
  "$Bin/samphireshuntctl" apply "$Work/document.yaml" --wait \
    --server="$(field platform address)" >/dev/null 2>&1
  await_ready "$(field vm-1 operators)"
  await_ready "$(field vm-2 operators)"
  sleep 2
  for Ingress in vm-1 vm-2; do
    Sent1=$(status vm-1 controlBytesSent)
    Sent2=$(status vm-2 controlBytesSent)
    "$Standins/standin_callers" --targets="$(field $Ingress callers)" \
      --host=capacity --key=one --mode=stream --model=m --count=1000 \
      --concurrency=16 --prompt_tokens="$1" --max_tokens=2 >/dev/null
    Sum=$(($(status vm-1 controlBytesSent) - Sent1 + $(status vm-2 controlBytesSent) - Sent2))
    echo "| $1 | $Ingress | $((Sum / 1000)) |"
  done
)

echo "| engines of one keeper | % of a core | report bytes/s |"
echo "|---|---|---|"
for Count in 1 4 8 16 32; do
  reports "$Count"
done
echo
echo "| prompt tokens | ingress daemon (one of the two schedules the cell) | bytes between daemons a request |"
echo "|---|---|---|"
for Tokens in 100 4000; do
  requests "$Tokens"
done
