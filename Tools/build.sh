#!/usr/bin/env bash
# Configures and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -G Ninja -B build -DCMAKE_BUILD_TYPE=Release >build.cmake.log 2>&1 ||
  { cat build.cmake.log; exit 1; }
rm -f build.cmake.log
ninja -C build
