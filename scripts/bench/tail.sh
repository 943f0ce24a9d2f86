# Tail latency of the placement policies with the same arrivals: 18 entry hosts, 30 backend servers
# with 6 slots each, log-normal service times with a mean of 10 ms, and one fifth of the 50 ms
# windows at a third of full speed.
hosts=18
seconds=${BENCH_SECONDS:-6}
# Requests per second at load 1: 180 slots, mean speed 0.8 + 0.2 / 3, 10 ms of work per request.
full_rate=15600

fleet_start_backends 1 tracking 30 --slow-percent 20

tail_measure() { # POLICY LOAD
  local policy=$1 load=$2 rate report="$FLEET_FOLDER/$1-$2.json"
  rate=$(echo "$full_rate * $load / 1" | bc)
  local options=(--targets "$(fleet_targets $hosts)" --threads 2 --seed 7
    --stream "service=tracking,party=lesta,rate=$rate" --bound-servers 30 --slow-percent 20)
  # All backend servers of a new fleet start cold; a light load takes them through slow start.
  bench_load 4 "$report.warmup" --targets "$(fleet_targets $hosts)" --seed 3 \
    --stream "service=tracking,party=lesta,rate=3000"
  bench_reset 1
  bench_load "$seconds" "$report" "${options[@]}"
  local max probes
  max=$(bench_stats 1 | jq '[.[].max_in_work] | max')
  probes=$(bench_stats 1 | jq '[.[].probes] | add')
  bench_row "$(jq -c --arg policy "$policy" --argjson load "$load" --argjson max "$max" --argjson probes "$probes" \
    '.total | {policy: $policy, load: $load, requests, p50_ms, p99_ms, p999_ms, failed, not_run, unknown,
     probes_per_request: ($probes / .requests), max_in_work: $max}' "$report")"
  [ "$policy" = dogwood ] || return 0
  bench_row "$(jq -c --argjson load "$load" '.bound | {policy: "bound", load: $load, requests, p50_ms, p99_ms,
     p999_ms, failed, not_run, unknown, probes_per_request: 0, max_in_work: 6}' "$report")"
}

printf '%s' "{\"services\": {\"tracking\": {\"servers\": $(fleet_servers 1 tracking 30 6)}},
  \"zones\": {\"palermo\": {}, \"catania\": {}, \"messina\": {}},
  \"parties\": {\"lesta\": {\"agreements\": {\"tracking\": {\"calls_per_second\": 20000}}}}}" > "$FLEET_FOLDER/fleet.json"
for policy in ${BENCH_POLICIES:-round_robin random two_choices}; do
  for ((i = 1; i <= hosts; i++)); do
    fleet_write_entry_settings "$i" ", \"fleet_file\": \"$FLEET_FOLDER/fleet.json\", \"placement_policy\": \"$policy\""
    fleet_start_entry "$i"
  done
  for ((i = 1; i <= hosts; i++)); do fleet_wait_for fleet_is_serving "$i"; done
  for load in ${BENCH_LOADS:-0.7 0.85}; do tail_measure "$policy" "$load"; done
  for ((i = 1; i <= hosts; i++)); do kill "${FLEET_ENTRY_PID[$i]}"; done
  for ((i = 1; i <= hosts; i++)); do wait "${FLEET_ENTRY_PID[$i]}" || true; done
done
fleet_setup $hosts
fleet_configure "tracking 1 30 6" "lesta tracking 20000 100000000"
for load in ${BENCH_LOADS:-0.7 0.85}; do tail_measure dogwood "$load"; done
