# Functions that start a daemon for a script under review/, to be sourced. They
# use the command of deploy/system.toml and the settings of deploy/daemon.flags.
Root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
Work=$(mktemp -d)
Started=()

# end_all: ends the processes that this script started.
end_all() {
  [ ${#Started[@]} -eq 0 ] || kill -KILL "${Started[@]}" 2>/dev/null
  { wait; } 2>/dev/null
  rm -rf "$Work"
}
trap end_all EXIT

# start_daemon NAME STORE: starts a daemon and sets Callers to its address.
start_daemon() {
  cat >"$Work/$1.flags" <<FLAGS
--vm_id=$1
--data_center=latacunga
--callers_address=127.0.0.1:0
--peers_address=127.0.0.1:0
--operators_address=127.0.0.1:0
--platform_address=$2
--platform_timeout_ms=700
--link_mbps=1000.0
--process_memory_mb=110
--threads=0
--admission=objectives
--apply_bound_ms=2000
--revocation_bound_ms=5000
--repeat_ratio=0.2
--repeat_extra=54
--repeat_window_s=10
--allotment_window_s=8
--allotment_overrun=0.1
--allotment_credit=72000
--stop_grace_s=8
--log_level=info
--log_output=stderr
--guaranteed_share=0.3
--leave_out=work-time,suspension,backups
FLAGS
  (cd "$Root" && exec target/platform/samphireshuntd-platform \
    --flagfile="$Work/$1.flags") >"$Work/$1.out" 2>"$Work/$1.log" &
  Started+=($!)
  local Try
  for Try in $(seq 100); do
    [ -s "$Work/$1.out" ] && break
    sleep 0.1
  done
  Callers=$(sed -nE '1s/.*"callers":"([^"]*)".*/\1/p' "$Work/$1.out")
  [ -n "$Callers" ]
}
