#!/usr/bin/env bash
# Installs packages, builds, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
Tools/install.sh
Tools/build.sh
Tools/run_tests.sh build
