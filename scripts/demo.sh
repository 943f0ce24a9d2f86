#!/usr/bin/env bash
# Builds and runs the main job on loopback addresses: 3 availability zones, 6 entry hosts, the
# tracking and proofs services, load, faults, and a report at the end. Ends by itself.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/packages.sh
scripts/build.sh dogwood-entry dogwood-load dogwood-timeline standin-backend | tail -n 1
BIN=build/bin
FLEET_FOLDER=$(mktemp -d "${TMPDIR:-/tmp}/dogwood-demo.XXXXXX")
. scripts/fleet.sh
trap 'fleet_stop; rm -rf "$FLEET_FOLDER"' EXIT

hosts=6
echo "[1/4] starting backend servers and $hosts entry hosts"
echo "demo-token" > "$FLEET_FOLDER/operator.token"
cat > "$FLEET_FOLDER/fleet.json" <<JSON
{"services": {
   "tracking": {"servers": $(fleet_servers 1 tracking 30 6)},
   "proofs": {"servers": $(fleet_servers 2 proofs 6 6)}},
 "zones": {"palermo": {}, "catania": {}, "messina": {}},
 "parties": {"lesta": {"agreements": {"tracking": {"calls_per_second": 1500, "calls_per_month": 100000000}}},
             "khangai": {"agreements": {"tracking": {"calls_per_second": 500}, "proofs": {"calls_per_second": 200}}}}}
JSON
fleet_start_backends 1 tracking 30 --slow-percent 20
fleet_start_backends 2 proofs 6
for ((i = 1; i <= hosts; i++)); do
  fleet_write_entry_settings "$i" ", \"fleet_file\": \"$FLEET_FOLDER/fleet.json\""
  fleet_start_entry "$i"
done
for ((i = 1; i <= hosts; i++)); do fleet_wait_for fleet_is_serving "$i"; done

echo "[2/4] load for 15 s; a backend server turns cold at 5 s, another crashes at 8 s"
"$BIN/dogwood-load" --targets "$(fleet_targets $hosts)" --seconds 15 --seed 1 \
  --stream service=tracking,party=lesta,rate=1500 \
  --stream service=tracking,party=khangai,rate=400 \
  --stream service=proofs,party=khangai,rate=150 > "$FLEET_FOLDER/report.txt" 2> "$FLEET_FOLDER/load.log" &
load=$!
fleet_pids+=("$load")
sleep 5
curl -sf -X POST "http://127.0.2.1:7000/control?server=4&action=cold" > /dev/null
sleep 3
curl -sf -X POST "http://127.0.2.1:7000/control?server=7&action=crash" > /dev/null
wait "$load"

echo "[3/4] report"
cat "$FLEET_FOLDER/report.txt"
echo "[4/4] main events"
"$BIN/dogwood-timeline" --from 1000 --to 1999 "$FLEET_FOLDER"/*.events | head -n 20
