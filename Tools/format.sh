#!/usr/bin/env bash
# Formats the sources in place; with --check it only reports unformatted files.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t Files < <(git ls-files -co --exclude-standard '*.h' '*.cpp' |
  grep -v '^Generated/')
if [ "${1:-}" = --check ]; then
  clang-format --dry-run --Werror "${Files[@]}"
else
  clang-format -i "${Files[@]}"
fi
