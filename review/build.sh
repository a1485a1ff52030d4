#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -o target/review/smuggled_request \
  review/standins/SmuggledRequest.cpp review/standins/Standins.cpp -pthread
