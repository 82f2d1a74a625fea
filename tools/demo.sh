#!/usr/bin/env bash
# Builds and starts a deployment on loopback with the host names of Granite
# Trail, and runs one program of three dependent calls with a tool pause and a
# non-idempotent call. Prints the responses and the trace, and stops all
# processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
ninja -C build tanagerlandingd tanagerlanding tanagerlanding-standin-engine \
  tanagerlanding-standin-service tanagerlanding-standin-keyvalue | tail -n 1

bin="$PWD/build/bin"
run="$PWD/demo-run"
rm -rf "$run"
mkdir -p "$run"
started=()
stop_all() {
  for pid in "${started[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${started[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT
start() { # NAME PROGRAM ARGUMENTS...
  local name="$1"
  shift
  "$bin/$1" "${@:2}" >"$run/$name.log" 2>&1 &
  started+=("$!")
}

# Reduces the example inventory to the entries of the first two halls, one
# engine and one service.
python3 - "$run" <<'PY'
import json, re, sys
run = sys.argv[1]
text = open("settings/granite-trail/inventory.json").read()
document = json.loads(re.sub(r"^\s*//.*$", "", text, flags=re.M))
wanted = ["hall-concord-entry", "hall-keene-entry", "trail-llm-1", "cache-app-1"]
document["hosts"] = [h for h in document["hosts"] if h["name"] in wanted]
document["zones"] = sorted({h["zone"] for h in document["hosts"]})
document["rules"] = []
for number, host in enumerate(document["hosts"]):
    host["port"] = 17301 + number
json.dump(document, open(run + "/inventory.json", "w"), indent=2)
for number, host in enumerate(document["hosts"]):
    settings = {"host": host["name"], "inventory": "inventory.json",
                "listen": {"address": "127.0.0.1", "port": host["port"]},
                "trace_file": f"{run}/{host['name']}.spans"}
    if host["role"] == "entry":
        settings.update(http={"address": "127.0.0.1", "port": 17401 + number},
                        platform={"url": "http://127.0.0.1:17501",
                                  "prefix": "/granite-trail/"},
                        data_folder=f"{run}/{host['name']}.data", shards=4)
    else:
        port = 17601 if host["kind"] == "engine" else 17602
        settings["target_url"] = f"http://127.0.0.1:{port}"
    json.dump(settings, open(f"{run}/{host['name']}.json", "w"), indent=2)
PY

"$bin/tanagerlanding" check "$run"/*.json
start platform tanagerlanding-standin-keyvalue 17501
start engine tanagerlanding-standin-engine 17601
start service tanagerlanding-standin-service 17602
for sidecar in trail-llm-1 cache-app-1; do
  start "$sidecar" tanagerlandingd sidecar --settings "$run/$sidecar.json"
done
for entry in hall-concord-entry hall-keene-entry; do
  start "$entry" tanagerlandingd entry --settings "$run/$entry.json"
done

concord=http://127.0.0.1:17401
keene=http://127.0.0.1:17402
for entry in "$concord" "$keene"; do
  curl -sf -o /dev/null --retry 60 --retry-delay 1 --retry-all-errors "$entry/readyz"
done
"$bin/tanagerlanding" apply --platform http://127.0.0.1:17501 \
  --prefix /granite-trail/ --base 0 "$run/inventory.json"
until curl -sf "$concord/v1/status" | grep -q '"healthy": true'; do sleep 0.1; done
sleep 1

trace=4bf92f3577b34da6a3ce929d0e0e4736
call() { # URL KEY BODY
  curl -sf --retry 20 --retry-delay 1 -X POST "$1" \
    -H "Content-Type: application/json" \
    -H "Tanager-Program: found-it-17" -H "Tanager-Team: members" \
    -H "Tanager-Budget-Tokens: 1000" -H "Tanager-Budget-Calls: 10" \
    -H "Idempotency-Key: $2" \
    -H "traceparent: 00-$trace-00f067aa0ba902b7-01" -d "$3"
  echo
}
echo "--- first call: draft the log"
call "$concord/v1/chat/completions" draft \
  '{"model":"trail-llm","messages":[{"role":"user","content":"Found it at the bog edge"}]}'
echo "--- tool pause"
sleep 0.5
echo "--- second call: post the log (non-idempotent)"
call "$keene/v1/services/cache-app/logs" post '{"cache":17,"log":"found it"}'
echo "--- same call repeated: stored response, no second run"
call "$concord/v1/services/cache-app/logs" post '{"cache":17,"log":"found it"}'
echo "--- third call: thank the owner, streamed"
call "$keene/v1/chat/completions" thank \
  '{"model":"trail-llm","stream":true,"messages":[{"role":"user","content":"Thank the owner"}]}'

echo "--- hosts"
"$bin/tanagerlanding" status --entry "$concord"
echo "--- trace"
sleep 0.3
"$bin/tanagerlanding" trace "$trace" --spans "$run"/*.spans | tee "$run/trace.txt"
for hop in entry.request owner.call sidecar.target; do
  grep -q "$hop" "$run/trace.txt" || { echo "trace has no span for hop $hop" >&2; exit 1; }
done
echo "demo finished"
