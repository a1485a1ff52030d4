# Functions that start daemons with the deploy file's command and template, to be
# sourced by the scripts of the cases. Root is the repository's root, Work a
# temporary folder.
Pids=()

# value NAME: prints what the platform fills in for a placeholder.
value() {
  case $1 in
  node-name) echo "$Name" ;;
  zone) echo z1 ;;
  ip) echo "$Ip" ;;
  listen.front | listen.control | listen.ready-addr) echo "$Ip:0" ;;
  platform.address) echo "$Platform" ;;
  seeds) echo "$Seeds" ;;
  limits.link-mbps) echo 1000.0 ;;
  limits.memory-mb) echo 110 ;;
  bounds.config-apply-ms) echo 2000 ;;
  bounds.revoke-ms) echo 5000 ;;
  bounds.retry-ratio) echo 0.2 ;;
  bounds.budget-slack) echo 54 ;;
  bounds.retry-window-s) echo 10 ;;
  bounds.quota-window-s) echo 8 ;;
  bounds.quota-overrun) echo 0.1 ;;
  bounds.quota-slack) echo 72000 ;;
  bounds.grace-s) echo 8 ;;
  esac
}

# settings: fills in deploy/daemon.flags, without the parts for roll-outs.
settings() {
  local Line Before Key
  sed -e '/{{#/d' -e '/^{{\//d' "$Root/deploy/daemon.flags" |
    while IFS= read -r Line; do
      while [[ $Line == *"{{"* ]]; do
        Before=${Line%%"{{"*}
        Key=${Line#*"{{"}
        Line=$Before$(value "${Key%%"}}"*}")${Key#*"}}"}
      done
      echo "$Line"
    done
}

# start_daemon NAME IP: starts a daemon at free ports of a loopback address.
# Sets Front, Control and Ready to its addresses.
start_daemon() {
  Name=$1 Ip=$2
  local Lines=$Work/$1.out Try
  settings >"$Work/$1.flags"
  (cd "$Root" && exec target/platform/samphireshuntd-platform \
    "--flagfile=$Work/$1.flags") >"$Lines" 2>"$Work/$1.err" &
  Pids+=($!)
  for Try in $(seq 100); do
    grep -q '"event":"listening"' "$Lines" && break
    sleep 0.05
  done
  Front=$(address callers "$Lines")
  Control=$(address peers "$Lines")
  Ready=$(address operators "$Lines")
  [ -n "$Front" ] && [ -n "$Ready" ]
}

# address NAME FILE: prints an address of the line with which a daemon begins.
address() {
  sed -nE '1s/.*"'"$1"'":"([^"]*)".*/\1/p' "$2"
}

end_all() {
  local Pid
  for Pid in "${Pids[@]}"; do
    kill -KILL "$Pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$Work"
}
