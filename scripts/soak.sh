#!/usr/bin/env bash
# Injects random faults into real gateway processes on loopback addresses.
# Usage: soak.sh [--seed N] [--minutes M] [--seeds COUNT] [--jobs J] [--hosts N]
# One seed plays for M minutes (default 0.4). --seeds plays the seeds of Tests/Soak/seeds.txt and COUNT
# seeds from N on, J at a time. Logs of seeds that fail stay in the folder that is printed.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=$(date +%s); minutes=0.4; count=1; jobs=4; hosts=4; kept=()
while [ $# -gt 0 ]; do
  case "$1" in
    --seed) seed="$2" ;;
    --minutes) minutes="$2" ;;
    --seeds) count="$2"; mapfile -t kept < <(grep -oE '^[0-9]+' Tests/Soak/seeds.txt || true) ;;
    --jobs) jobs="$2" ;;
    --hosts) hosts="$2" ;;
    *) sed -n '3,5s/^# //p' "$0" >&2; exit 2 ;;
  esac
  shift 2
done
build=$(scripts/build.sh dogwood-soak dogwood-gateway)
folder=$(mktemp -d -t dogwood-soak-XXXXXX)
seconds=$(awk -v minutes="$minutes" 'BEGIN { printf "%d", minutes * 60 }')
play() {
  mkdir -p "$folder/$1"
  if "$build/bin/dogwood-soak" --program "$build/bin/dogwood-gateway" --folder "$folder/$1" \
    --seed "$1" --seconds "$seconds" --hosts "$hosts" > "$folder/$1/soak.txt"; then
    tail -n 1 "$folder/$1/soak.txt"
    rm -r "${folder:?}/$1"
  else
    grep -E '^(violation|seed)' "$folder/$1/soak.txt" || true
    echo "seed $1 failed: $folder/$1"
    return 1
  fi
}
export -f play
export build folder seconds hosts
# xargs exits with an error when any seed fails.
{ printf '%s\n' "${kept[@]}"; seq "$seed" $((seed + count - 1)); } | sed '/^$/d' |
  xargs -P "$jobs" -I {} bash -c 'play {}'
rmdir "$folder" 2> /dev/null || true
