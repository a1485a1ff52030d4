#!/usr/bin/env bash
# Checks that the table of codes and the examples in docs match the program.
#   Tools/check_docs.sh [BUILD]
set -euo pipefail
cd "$(dirname "$0")/.."
Tool=${1:-build}/Source/Programs/samphireshuntctl
diff <("$Tool" explain all) <(grep '^|' docs/RESULT_CODES.md)
for Example in docs/examples/*.yaml; do
  "$Tool" validate "$Example"
done
# Every test named in docs/PROMISES.md must exist.
grep -oE '`Failure\.[A-Za-z]+`' docs/PROMISES.md | tr -d '`' | sort -u |
  while read -r Name; do
    grep -q "${Name#Failure.}" FailureTests/CMakeLists.txt ||
      { echo "docs/PROMISES.md names $Name, which is no test"; exit 1; }
  done
