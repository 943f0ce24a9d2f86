#!/usr/bin/env bash
# Functions that start and stop a fleet on loopback addresses; sourced by demo.sh and bench.sh.
# Callers set FLEET_FOLDER (configuration and logs) and BIN (folder of the programs).
#
# Addresses: entry host N has 127.0.1.N (ports: 8000 callers, 8100 peers, 8200 operators), the
# backend servers of service K have 127.0.2.K from port 7001 on (control port 7000), and the platform
# stand-in has 127.0.3.1:9000.

fleet_pids=()
FLEET_ZONES=(palermo catania messina)

fleet_zone_of() { echo "${FLEET_ZONES[$(($1 % ${#FLEET_ZONES[@]}))]}"; }
fleet_now_ms() { echo $(($(date +%s%N) / 1000000)); }

# Repeats a command until it succeeds; fails after 10 s.
fleet_wait_for() {
  local end=$((SECONDS + 10))
  until "$@" > /dev/null 2>&1; do
    if [ "$SECONDS" -ge "$end" ]; then echo "gave up waiting for: $*" >&2; return 1; fi
    sleep 0.05
  done
}

# fleet_start_backends SERVICE_NUMBER NAME COUNT [options of standin-backend...]
fleet_start_backends() {
  local number=$1 name=$2 count=$3
  shift 3
  "$BIN/standin-backend" --listen "127.0.2.$number:7001" --control "127.0.2.$number:7000" \
    --count "$count" --name "$name" "$@" > "$FLEET_FOLDER/backend-$name.log" 2>&1 &
  fleet_pids+=($!)
  fleet_wait_for curl -sf "http://127.0.2.$number:7000/stats"
}

fleet_start_platform() {
  "$BIN/standin-platform" --listen 127.0.3.1:9000 "$@" > "$FLEET_FOLDER/platform.log" 2>&1 &
  FLEET_PLATFORM_PID=$!
  fleet_pids+=("$FLEET_PLATFORM_PID")
  fleet_wait_for curl -sf http://127.0.3.1:9000/hosts
}

# fleet_servers SERVICE_NUMBER NAME COUNT SLOTS: prints the "servers" object of a service.
fleet_servers() {
  local i separator=""
  printf '{'
  for ((i = 1; i <= $3; i++)); do
    printf '%s"%s-%d":{"address":"127.0.2.%d:%d","zone":"%s","slots":%d}' \
      "$separator" "$2" "$i" "$1" "$((7000 + i))" "$(fleet_zone_of "$i")" "$4"
    separator=","
  done
  printf '}'
}

# fleet_write_entry_settings NUMBER EXTRA_JSON_MEMBERS: the members begin with a comma.
fleet_write_entry_settings() {
  # Written once, so that no starting host reads the file while it is truncated.
  [ -s "$FLEET_FOLDER/operator.token" ] || echo "loopback-operator-token" > "$FLEET_FOLDER/operator.token"
  cat > "$FLEET_FOLDER/host-$1.json" <<JSON
{"host": "host-$1", "zone": "$(fleet_zone_of "$1")", "workers": ${FLEET_WORKERS:-1},
 "listen": {"callers": "127.0.1.$1:8000", "peers": "127.0.1.$1:8100", "operators": "127.0.1.$1:8200"},
 "operator_token_file": "$FLEET_FOLDER/operator.token",
 "log": {"file": "$FLEET_FOLDER/host-$1.events", "level": "${FLEET_LOG_LEVEL:-info}"}${2:-}}
JSON
}

# fleet_write_fleet_entry NUMBER: settings of an entry host that uses the platform stand-in.
fleet_write_fleet_entry() { fleet_write_entry_settings "$1" ', "platform": "127.0.3.1:9000"'; }

# Runs dogwood-ctl against entry host FLEET_OPERATOR_HOST (1).
fleet_ctl() {
  "$BIN/dogwood-ctl" --address "127.0.1.${FLEET_OPERATOR_HOST:-1}:8200" \
    --token-file "$FLEET_FOLDER/operator.token" "$@"
}

declare -A FLEET_ENTRY_PID
fleet_start_entry() {
  "$BIN/dogwood-entry" --config "$FLEET_FOLDER/host-$1.json" >> "$FLEET_FOLDER/host-$1.log" 2>&1 &
  FLEET_ENTRY_PID[$1]=$!
  fleet_pids+=($!)
}

fleet_is_serving() { (exec 3<> "/dev/tcp/127.0.1.$1/8000") 2> /dev/null; }

# fleet_targets HOSTS: prints the caller addresses of entry hosts 1 to HOSTS, comma-separated.
fleet_targets() {
  local i separator=""
  for ((i = 1; i <= $1; i++)); do printf '%s127.0.1.%d:8000' "$separator" "$i"; separator=","; done
}

# Ends the processes that these functions started, by process id.
fleet_stop() {
  local pid
  # Entry hosts first, since they write their usage to the platform stand-in when they stop.
  for pid in "${FLEET_ENTRY_PID[@]}"; do kill "$pid" 2> /dev/null || true; done
  for pid in "${FLEET_ENTRY_PID[@]}"; do
    for _ in $(seq 100); do kill -0 "$pid" 2> /dev/null || break; sleep 0.05; done
  done
  for pid in "${fleet_pids[@]}"; do kill "$pid" 2> /dev/null || true; done
  for pid in "${fleet_pids[@]}"; do
    for _ in $(seq 60); do kill -0 "$pid" 2> /dev/null || break; sleep 0.05; done
    kill -9 "$pid" 2> /dev/null || true
  done
  wait 2> /dev/null || true
  fleet_pids=()
  FLEET_ENTRY_PID=()
}

# fleet_setup HOSTS: starts the platform stand-in and HOSTS entry hosts.
fleet_setup() {
  local i
  fleet_start_platform
  for ((i = 1; i <= $1; i++)); do
    fleet_write_fleet_entry "$i"
    fleet_start_entry "$i"
  done
  for ((i = 1; i <= $1; i++)); do fleet_wait_for fleet_is_serving "$i"; done
}

# fleet_configure "SERVICE NUMBER COUNT SLOTS;..." "PARTY SERVICE RATE MONTH;...": configures
# availability zones, services and agreements of client accounts through the operators' interface;
# returns when the configuration is in force on all hosts.
fleet_configure() {
  local zone service party fields
  for zone in "${FLEET_ZONES[@]}"; do fleet_ctl zone add "$zone" > /dev/null 2>&1; done
  while IFS= read -r -d ';' service; do
    read -r -a fields <<< "$service"
    fleet_ctl settings set "services.${fields[0]}" \
      "{\"servers\":$(fleet_servers "${fields[1]}" "${fields[0]}" "${fields[2]}" "${fields[3]}")}" > /dev/null 2>&1
  done <<< "$1;"
  while IFS= read -r -d ';' party; do
    read -r -a fields <<< "$party"
    fleet_ctl party add "${fields[0]}" > /dev/null 2>&1 || true
    fleet_ctl --wait agreement set "${fields[0]}" "${fields[1]}" "${fields[2]}" "${fields[3]}" > /dev/null 2>&1
  done <<< "$2;"
}
