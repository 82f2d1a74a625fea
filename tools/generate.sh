#!/usr/bin/env bash
# Regenerates the committed FlatBuffers code from the schema.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --gen-object-api --scoped-enums \
  -o packages/wire/generated packages/wire/schema/messages.fbs
