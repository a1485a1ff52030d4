#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
compile() {
  g++ -std=c++20 -O1 -Wall -Wextra -o "target/review/$1" \
    "review/standins/$2.cpp" review/standins/Standins.cpp -pthread
}
compile smuggled_request SmuggledRequest
compile pinned_version PinnedVersion
