#!/usr/bin/env bash
# Fails if a wire name of the platform is used outside platform/. Integration
# tests under tests/ talk to stand-ins and may use these names.
set -euo pipefail
cd "$(dirname "$0")/.."
names='kv-(txn|range|watch|lease|keep|key)|Time-Remaining|Previous-Turn'
names+='|Response-Signature|Not-Executed|TANAGERLANDING_BOOT|Expect-Instance'
names+='|Program-Deadline|Token-Budget|Token-Usage|Server-Load|Affinity-Key'
names+='|pathPrefix|keepsHistory|retentionS|targetLatencyMs|op/config|servers/'
found=$(git ls-files -co --exclude-standard '*.h' '*.cpp' '*.fbs' |
  grep -vE '^(platform|tests)/' | xargs grep -lE "$names" || true)
if [ -n "$found" ]; then
  echo "error: platform wire names used outside platform/:"
  echo "$found"
  exit 1
fi
