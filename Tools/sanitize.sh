#!/usr/bin/env bash
# Builds with a sanitizer into build-asan/ or build-tsan/ and runs the whole test
# suite there, including the tests with real daemons.
#   [JOBS=N] Tools/sanitize.sh address|thread [CTEST_OPTION...]
set -euo pipefail
cd "$(dirname "$0")/.."
Kind=${1:-}
shift || true
case "$Kind" in
address) Build=build-asan ;;
thread) Build=build-tsan ;;
*)
  echo "usage: Tools/sanitize.sh address|thread [CTEST_OPTION...]" >&2
  exit 2
  ;;
esac
# The first report aborts the process with SIGABRT, which no test expects of itself
# or of a daemon that it starts. Up to 64 MB of freed memory per process stay in
# quarantine, also in daemons built for VMs, whose own defaults retain less. Stacks
# of all sizes have 1 MB of frames a class (Source/Common/StackFrames.cpp).
export ASAN_OPTIONS="abort_on_error=1:detect_stack_use_after_return=1:min_uar_stack_size_log=20:max_uar_stack_size_log=20:quarantine_size_mb=64:thread_local_quarantine_size_kb=256:max_redzone=2048:malloc_context_size=30${ASAN_OPTIONS:+:$ASAN_OPTIONS}"
export TSAN_OPTIONS="abort_on_error=1:halt_on_error=1:second_deadlock_stack=1:suppressions=$PWD/Tools/thread-sanitizer.supp${TSAN_OPTIONS:+:$TSAN_OPTIONS}"
cmake -G Ninja -B "$Build" -DCMAKE_BUILD_TYPE=Release \
  -DSAMPHIRESHUNT_SANITIZER="$Kind" >"$Build.cmake.log" 2>&1 ||
  { cat "$Build.cmake.log"; exit 1; }
rm -f "$Build.cmake.log"
ninja -C "$Build" ${JOBS:+-j "$JOBS"}
Tools/run_tests.sh "$Build" "$@"
