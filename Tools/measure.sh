#!/usr/bin/env bash
# Runs one scenario, or all, and prints tables.
#   Tools/measure.sh SCENARIO [FLAGS]
set -euo pipefail
cd "$(dirname "$0")/.."
exec build/Bench/measure --scenario="${1:-all}" "${@:2}"
