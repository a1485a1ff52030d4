#!/usr/bin/env bash
# Installs, builds and passes all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
Tools/install.sh
Tools/build.sh
ctest --test-dir build --output-on-failure
