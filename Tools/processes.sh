# Functions that start and stop the processes of a run, to be sourced by other
# scripts. Processes choose their own ports and print them in their first line.
Root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
Bin=$Root/build/Source/Programs
Standins=$Root/build/standins
Work=$(mktemp -d)
declare -A Pid Line

# start NAME COMMAND...: starts a process and waits for the line with its addresses.
start() {
  local Name=$1 Pipe
  shift
  Pipe=$Work/$Name.out
  mkfifo "$Pipe"
  "$@" >"$Pipe" 2>"$Work/$Name.log" &
  Pid[$Name]=$!
  local Reader
  exec {Reader}<"$Pipe"
  if ! read -r -u "$Reader" 'Line['"$Name"']'; then
    echo "$Name did not start:" >&2
    cat "$Work/$Name.log" >&2
    return 1
  fi
}

# field NAME FIELD: prints a field of the line that a process printed.
field() {
  sed -E 's/.*"'"$2"'":"([^"]*)".*/\1/' <<<"${Line[$1]}"
}

# post ADDRESS PATH BODY: sends an HTTP POST request.
post() {
  curl -sS -f -X POST -d "$3" "http://$1$2" >/dev/null
}

# stop NAME...: stops processes gracefully and waits; fails if one of them fails.
stop() {
  local Name Failed=0
  for Name in "$@"; do
    kill -TERM "${Pid[$Name]}"
  done
  for Name in "$@"; do
    wait "${Pid[$Name]}" || { echo "$Name ended with $?" >&2; Failed=1; }
    unset "Pid[$Name]"
  done
  return $Failed
}

end_all() {
  local Name
  for Name in "${!Pid[@]}"; do
    kill -KILL "${Pid[$Name]}" 2>/dev/null || true
  done
  { wait || true; } 2>/dev/null
  rm -rf "$Work"
}
trap end_all EXIT

# await_ready ADDRESS: waits until a daemon is ready to serve.
await_ready() {
  local Try
  for Try in $(seq 300); do
    curl -s -f "http://$1/readyz" >/dev/null && return 0
    sleep 0.05
  done
  echo "daemon at $1 did not become ready" >&2
  return 1
}

digest() {
  printf %s "$1" | sha256sum | cut -d' ' -f1
}
