#!/usr/bin/env bash
# Measures the network, processor and memory cost of group membership per host. Starts 6, 18 and 54
# peer-exchange-node processes on loopback addresses and writes build/bench/control.json.
# Usage: bench_control.sh [HOSTS...]
# Environment: SECONDS_MEASURED, length of the measurement (10).
set -euo pipefail
cd "$(dirname "$0")/.."
node=build/bin/peer-exchange-node
[ -x "$node" ] || scripts/build.sh peer-exchange-node > /dev/null
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(6 18 54)
measured="${SECONDS_MEASURED:-10}"
# A host opens its connection to a peer with the first ping, and pings each peer within 250 ms times
# the number of peers. The warmup keeps the cost of opening connections out of the figures.
largest=0
for hosts in "${sizes[@]}"; do [ "$hosts" -le "$largest" ] || largest=$hosts; done
warmup=$((8 + largest * 2 / 5))
# Below the ephemeral port range, so that no outgoing connection takes it.
port=18080
mkdir -p build/bench
output=$(mktemp -d)
pids=()
# Ends only processes that this script started.
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2> /dev/null || true; done
  rm -rf "$output"
}
trap finish EXIT
# All group sizes run at the same time, each on its own port.
for hosts in "${sizes[@]}"; do
  port=$((port + 1))
  seeds="127.0.50.1:$port,127.0.50.2:$port"
  for number in $(seq 1 "$hosts"); do
    "$node" --host "host-$number" --zone "zone-$((number % 3 + 1))" \
      --listen "127.0.50.$number:$port" --seeds "$seeds" \
      --seconds "$measured" --warmup "$warmup" > "$output/$hosts-$number.json" &
    pids+=($!)
  done
done
# The processes exit by themselves; finish() ends those that do not.
for pid in "${pids[@]}"; do wait "$pid"; done
pids=()
python3 - "$output" build/bench/control.json "${sizes[@]}" << 'END'
import glob, json, sys
folder, target, sizes = sys.argv[1], sys.argv[2], [int(s) for s in sys.argv[3:]]
rows = []
names = ["bytes_per_second", "payload_bytes_per_second", "messages_per_second", "cpu_percent",
         "memory_mb", "connections"]
print(f"{'hosts':>5} {'members':>8}  " + "  ".join(f"{n + ' mean/max':>34}" for n in names[:5]))
for size in sizes:
    nodes = [json.load(open(f)) for f in glob.glob(f"{folder}/{size}-*.json")]
    assert len(nodes) == size, f"{len(nodes)} of {size} nodes reported"
    row = {"hosts": size, "members_seen_least": min(n["members"] for n in nodes) + 1}
    for name in names:
        values = [n[name] for n in nodes]
        row[name] = round(sum(values) / size, 3)
        row[name + "_max"] = round(max(values), 3)
    rows.append(row)
    print(f"{size:>5} {row['members_seen_least']:>8}  " +
          "  ".join(f"{row[n]:>22.2f} / {row[n + '_max']:>9.2f}" for n in names[:5]))
json.dump(rows, open(target, "w"), indent=1)
END
