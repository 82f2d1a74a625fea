#!/usr/bin/env bash
# Fails where the platform's wire names stand outside platform/. Tests of the
# whole path under tests/ speak to stand-ins and may use them.
set -euo pipefail
cd "$(dirname "$0")/.."
names='kv-(txn|range|watch|lease|keep|key)|Time-Remaining|Previous-Turn'
names+='|Response-Signature|Not-Executed|TANAGERLANDING_BOOT|Expect-Instance'
names+='|Program-Deadline|Token-Budget|Token-Usage|Server-Load|Affinity-Key'
names+='|pathPrefix|keepsHistory|retentionS|targetLatencyMs|op/config|servers/'
found=$(git ls-files -co --exclude-standard '*.h' '*.cpp' '*.fbs' |
  grep -vE '^(platform|tests)/' | xargs grep -lE "$names" || true)
if [ -n "$found" ]; then
  echo "platform names outside platform/:"
  echo "$found"
  exit 1
fi
