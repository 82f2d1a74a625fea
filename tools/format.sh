#!/usr/bin/env bash
# Formats all C++ files; with --check only reports files that are not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard '*.h' '*.cpp' | grep -v /generated/)
if [ "${1:-}" = "--check" ]; then
  clang-format --dry-run --Werror "${files[@]}"
else
  clang-format -i "${files[@]}"
fi
