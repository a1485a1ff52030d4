#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 the same bodies are sent with a length.
Folder=$(cd "$(dirname "$0")" && pwd)
source "$Folder/../standins/daemon.sh"

coproc Standin { exec timeout 100 "$Root/target/review/smuggled_request" \
  "$Folder/record.txt" "${TROUBLE:-1}"; }
StandinPid=$Standin_PID
Started+=("$StandinPid")
exec {Output}<&"${Standin[0]}" {Input}>&"${Standin[1]}"
read -r -t 10 Store <&"$Output" || exit 2
start_daemon edge-latacunga-1 "$Store" || exit 2
echo "$Callers" >&"$Input"
wait "$StandinPid"
Result=$?
[ "$Result" -le 1 ] || Result=2
exit "$Result"
