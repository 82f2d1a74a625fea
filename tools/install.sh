#!/usr/bin/env bash
# Installs missing packages that the build and the tests need.
set -euo pipefail
packages=(cmake ninja-build ccache g++ pkg-config clang-format clang-tidy python3
  libpistache-dev libflatbuffers-dev libcli11-dev libgoogle-glog-dev catch2
  libboost-dev nlohmann-json3-dev libxxhash-dev librapidcheck-dev
  libcurl4-openssl-dev libsodium-dev curl)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends \
    "${missing[@]}" >/dev/null
fi
