#!/usr/bin/env bash
# Runs one benchmark with real processes on loopback addresses and writes build/bench/NAME.json.
# Usage: bench.sh tail|cold|noisy|zone|control
set -euo pipefail
cd "$(dirname "$0")/.."
name="${1:?usage: bench.sh tail|cold|noisy|zone|control}"
[ -f "scripts/bench/$name.sh" ] || { echo "bench.sh: there is no bench \"$name\"" >&2; exit 2; }
scripts/build.sh > /dev/null
mkdir -p build/bench
BIN=build/bin
FLEET_LOG_LEVEL=warning
FLEET_FOLDER=$(mktemp -d "${TMPDIR:-/tmp}/dogwood-bench.XXXXXX")
ROWS="$FLEET_FOLDER/rows.json"
. scripts/fleet.sh
trap 'fleet_stop; [ -n "${BENCH_KEEP:-}" ] || rm -rf "$FLEET_FOLDER"' EXIT

# bench_load SECONDS OUTPUT [options of dogwood-load...]: runs dogwood-load until it exits.
bench_load() {
  local seconds=$1 output=$2
  shift 2
  "$BIN/dogwood-load" --seconds "$seconds" --output "$output" "$@" > "$output.txt" 2> "$output.log"
}
bench_reset() { curl -sf -X POST "http://127.0.2.$1:7000/control?action=reset" > /dev/null; }
bench_stats() { curl -sf "http://127.0.2.$1:7000/stats"; }
# Appends one row, a JSON object, to the results.
bench_row() { echo "$1" >> "$ROWS"; }

. "scripts/bench/$name.sh"

jq -s . "$ROWS" > "build/bench/$name.json"
jq -r '(.[0] | keys_unsorted) as $k | ($k | join("\t")), (.[] | [.[$k[]] | if type == "number" then (. * 100 | round / 100) else . end] | map(tostring) | join("\t"))' \
  "build/bench/$name.json" | column -t -s "$(printf '\t')"
