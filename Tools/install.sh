#!/usr/bin/env bash
# Installs the packages needed for building and testing on Debian 12.
set -euo pipefail
Packages=(
  curl g++ cmake ninja-build ccache clang-format clang-tidy libclang-rt-14-dev git
  ca-certificates
  libboost1.81-dev libflatbuffers-dev prometheus-cpp-dev libabsl-dev
  libspdlog-dev libfmt-dev doctest-dev librapidcheck-dev liburcu-dev
  libyaml-cpp-dev nlohmann-json3-dev libvalijson-dev libxxhash-dev
  libpcg-cpp-dev libssl-dev libzstd-dev libbenchmark-dev gnuplot-nox
)
if dpkg -s "${Packages[@]}" >/dev/null 2>&1; then
  exit 0
fi
Sudo=()
[ "$(id -u)" -eq 0 ] || Sudo=(sudo)
"${Sudo[@]}" apt-get update -qq
"${Sudo[@]}" env DEBIAN_FRONTEND=noninteractive \
  apt-get install -y -qq --no-install-recommends "${Packages[@]}" >/dev/null
