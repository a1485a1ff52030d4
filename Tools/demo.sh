#!/usr/bin/env bash
# Installs packages, builds, and demonstrates the system end to end in separate
# processes: a platform stand-in, three daemons, four model engines, two
# application engines, a document for each deployment, real requests, and a
# graceful stop of all processes. The exit status is 1 if an answer is missing,
# duplicated or wrong.
set -euo pipefail
cd "$(dirname "$0")/.."
Tools/install.sh
Tools/build.sh
source Tools/processes.sh

start platform "$Standins/standin_Platform"
Platform=$(field platform address)
for Number in 1 2 3; do
  start "vm-$Number" "$Bin/samphireshuntd" --vm_id="vm-$Number" \
    --data_center=latacunga --callers_address=127.0.0.1:0 \
    --peers_address=127.0.0.1:0 --operators_address=127.0.0.1:0 \
    --platform_address="$Platform" --drain_delay_ms=200
done
Vms=$(for Number in 1 2 3; do
  printf '{"id":"vm-%s","role":"system","state":"live","address":"%s","operators":"%s"},' \
    "$Number" "$(field "vm-$Number" peers)" "$(field "vm-$Number" operators)"
done)
post "$Platform" /control/vms "{\"vms\":[${Vms%,}]}"

Steps=(5 7 10 20)
Models=(escriba-1 escriba-2 samphire-llm-1 samphire-llm-2)
for Index in 0 1 2 3; do
  Name=${Models[$Index]}
  start "$Name" "$Standins/standin_ModelEngine" --name="$Name" \
    --step_ms="${Steps[$Index]}" --ledger="$Work/$Name.ledger"
done
for Name in contador-1 loan-desk-1; do
  start "$Name" "$Standins/standin_ApplicationEngine" --name="$Name" \
    --ledger="$Work/$Name.ledger"
done

# document SERVICE MODEL_POOL MODEL_ENGINES APPLICATION_POOL APPLICATION_ENGINE KEY
document() {
  cat <<YAML
format: 1
service: $1
hosts: [$1.example]
tiers: [urgent, normal, batch]
customers:
  - name: field-desk
    keyDigests: ["sha256:$(digest "$6")"]
    defaultTier: normal
    allowedTiers: [urgent, batch]
pools:
  - name: $2
    kind: model
    models: [$2]
    servers:
$(for Engine in $3; do
    echo "      - {name: $Engine, address: \"$(field "$Engine" address)\", dataCenter: latacunga, refusesBeforeRunning: true}"
  done)
  - name: $4
    kind: application
    servers:
      - {name: $5, address: "$(field "$5" address)", dataCenter: latacunga}
routes:
  - {path: /v1/chat/completions, pool: $2, methods: [POST]}
  - {path: /readings, pool: $4}
  - {path: /notes, pool: $4, methods: [POST], nonIdempotent: true}
YAML
}
document quilotoa-alto escriba "escriba-1 escriba-2" contador contador-1 \
  demo-key-quilotoa >"$Work/quilotoa-alto.yaml"
document red-clay samphire-llm "samphire-llm-1 samphire-llm-2" loan-desk-api \
  loan-desk-1 demo-key-red-clay >"$Work/red-clay.yaml"
for Service in quilotoa-alto red-clay; do
  "$Bin/samphireshuntctl" apply "$Work/$Service.yaml" --server="$Platform" --wait
done
Callers=$(for Number in 1 2 3; do printf '%s,' "$(field "vm-$Number" callers)"; done)
for Number in 1 2 3; do
  await_ready "$(field "vm-$Number" operators)"
done
"$Bin/samphireshuntctl" status --server="$Platform"

# send NAME SERVICE KEY MORE...: makes three calls, one to each daemon.
send() {
  local Name=$1 Service=$2 Key=$3
  shift 3
  echo "== $Service: $Name"
  "$Standins/standin_callers" --targets="${Callers%,}" --host="$Service.example" \
    --key="$Key" --nonce_prefix="$Service-$Name" --count=3 --print \
    --log="$Work/$Service-$Name.calls" "$@" | grep -v '^{'
}
send streamed quilotoa-alto demo-key-quilotoa --mode=stream --model=escriba
send unstreamed red-clay demo-key-red-clay --mode=chat --model=samphire-llm
send reading quilotoa-alto demo-key-quilotoa --mode=application \
  --path=/readings/7 --method=GET
send note red-clay demo-key-red-clay --mode=application --path=/notes \
  --idempotency_keys

echo "== stopping gracefully"
stop vm-1 vm-2 vm-3
stop "${Models[@]}" contador-1 loan-desk-1 platform
Calls=$(ls "$Work"/*.calls | paste -sd,)
Ledgers=$(ls "$Work"/*.ledger | paste -sd,)
"$Standins/standin_checker" --calls="$Calls" --ledgers="$Ledgers"
Answered=$(cat "$Work"/*.calls | grep -c '"outcome":"answered"')
[ "$Answered" -eq 12 ] || { echo "only $Answered of 12 answered"; exit 1; }
echo "demo: all 12 answers arrived, each complete and only once"
