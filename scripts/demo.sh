#!/usr/bin/env bash
# Builds the programs and runs a demonstration on loopback addresses: 3 availability zones, 6 entry
# hosts, the services tracking and proofs, load, an availability zone taken out and back in, a cold
# and a crashed backend server, and a report. Exits by itself.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/packages.sh
scripts/build.sh dogwood-entry dogwood-ctl dogwood-load dogwood-timeline standin-backend standin-platform > /dev/null
BIN=build/bin
FLEET_FOLDER=$(mktemp -d "${TMPDIR:-/tmp}/dogwood-demo.XXXXXX")
. scripts/fleet.sh
trap 'fleet_stop; rm -rf "$FLEET_FOLDER"' EXIT

hosts=6
seconds=20
echo "[1/5] starting the platform stand-in, 36 backend servers and $hosts entry hosts"
fleet_start_backends 1 tracking 30
fleet_start_backends 2 proofs 6
fleet_setup $hosts
echo "[2/5] creating zones, services, parties and agreements"
fleet_configure "tracking 1 30 6;proofs 2 6 6" \
  "lesta tracking 1500 100000000;khangai tracking 500 20000000;khangai proofs 200 5000000"

# A host uses newly assigned permits only after the takeover delay of 1.5 s.
sleep 2
echo "[3/5] load for $seconds s: tracking-5 turns cold at 4 s, tracking-8 crashes at 7 s,"
echo "      availability zone catania is out from 10 s to 14 s"
"$BIN/dogwood-load" --targets "$(fleet_targets $hosts)" --seconds $seconds --seed 1 \
  --stream service=tracking,party=lesta,rate=1500 \
  --stream service=tracking,party=khangai,rate=400 \
  --stream service=proofs,party=khangai,rate=120,method=POST,keys=yes,body=2000 \
  > "$FLEET_FOLDER/report.txt" 2> "$FLEET_FOLDER/load.log" &
load=$!
fleet_pids+=("$load")
sleep 4
curl -sf -X POST "http://127.0.2.1:7000/control?server=4&action=cold" > /dev/null
sleep 3
curl -sf -X POST "http://127.0.2.1:7000/control?server=7&action=crash" > /dev/null
sleep 3
fleet_ctl --wait zone out catania > /dev/null
sleep 4
fleet_ctl --wait zone in catania > /dev/null
wait "$load"
sleep 2.5 # hosts write their usage every 2 s

echo "[4/5] report: latency, outcomes, and use against the agreements"
cat "$FLEET_FOLDER/report.txt"
curl -sf -H "Authorization: Bearer $(cat "$FLEET_FOLDER/operator.token")" http://127.0.1.1:8200/v1/usage
echo "[5/5] main events"
"$BIN/dogwood-timeline" --from 3000 --to 7999 "$FLEET_FOLDER"/*.events > "$FLEET_FOLDER/timeline.txt"
grep -v settings-in-force "$FLEET_FOLDER/timeline.txt" | sed -n 1,25p
