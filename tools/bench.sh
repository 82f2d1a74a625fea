#!/usr/bin/env bash
# Runs the benchmarks behind docs/CAPACITY.md and docs/MEASUREMENTS.md. Needs an
# otherwise idle machine and takes about ten minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
ninja -C build >/dev/null
echo "commit=$(git rev-parse --short HEAD)"
build/bin/tl_capacity_bench
build/bin/tl_policy_bench "$@"
