#!/usr/bin/env bash
# Runs the linter on all sources; needs a configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
git ls-files -co --exclude-standard '*.cpp' | grep -v /generated/ |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$build" \
    --extra-arg=-Wno-unknown-warning-option
