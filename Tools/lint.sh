#!/usr/bin/env bash
# Runs clang-tidy on the project's own sources; needs a configured build/.
set -euo pipefail
cd "$(dirname "$0")/.."
Tools/check_parsers.sh
Log=$(mktemp)
trap 'rm -f "$Log"' EXIT
if git ls-files -co --exclude-standard '*.cpp' | xargs -P "$(nproc)" -n 2 \
  clang-tidy --quiet -p build >"$Log" 2>/dev/null; then
  echo "lint: clean"
else
  grep -E 'error:|warning:' "$Log" | sort -u
  exit 1
fi
