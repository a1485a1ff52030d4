#!/usr/bin/env bash
# Runs the tests of a build and ends with a line of how many passed and failed.
# Tests listed in KNOWN-RED.txt (the name is the text before the bar) are run and
# printed first and don't affect the exit status; an entry that is no test of
# CTest, as a run that is started by hand, is only printed.
#   Tools/run_tests.sh BUILD [CTEST_OPTION...]
set -euo pipefail
cd "$(dirname "$0")/.."
Build=$1
shift
Known=""
[ -f KNOWN-RED.txt ] && Known=$(cut -d'|' -f1 KNOWN-RED.txt | tr -d ' ' | paste -sd'|')
if [ -n "$Known" ]; then
  echo "known red, passed over:"
  cat KNOWN-RED.txt
  Listed=$(ctest --test-dir "$Build" -N -R "^($Known)\$" | sed -n 's/^Total Tests: //p')
  if [ "$Listed" -gt 0 ]; then
    ctest --test-dir "$Build" -R "^($Known)\$" || true
  fi
fi
Output=$(mktemp)
trap 'rm -f "$Output"' EXIT
Status=0
ctest --test-dir "$Build" --output-on-failure ${Known:+-E "^($Known)\$"} "$@" |
  tee "$Output" || Status=$?
Counts=$(sed -nE 's/^[0-9]+% tests passed, ([0-9]+) tests? failed out of ([0-9]+)$/\1 \2/p' "$Output")
if [ -z "$Counts" ]; then
  echo "no test was run" >&2
  exit 1
fi
read -r Failed All <<<"$Counts"
echo "$((All - Failed)) passed, $Failed failed"
exit "$Status"
