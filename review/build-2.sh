#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/, with the
# packages that the deploy file names and without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
Out=target/review-2
mkdir -p "$Out"
g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/actors \
  -o "$Out/half_close" review/actors/Actors.cpp review/actors/HalfClose.cpp
