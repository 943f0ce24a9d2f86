#!/usr/bin/env bash
# Configures and builds. Usage: build.sh [--sanitizer address|thread] [TARGET...]
# Prints the build folder's name as its last line.
set -euo pipefail
cd "$(dirname "$0")/.."
sanitizer=""
if [ "${1:-}" = "--sanitizer" ]; then sanitizer="$2"; shift 2; fi
folder="build${sanitizer:+-$sanitizer}"
cmake -S . -B "$folder" -G Ninja -DDOGWOOD_SANITIZER="$sanitizer" > "/tmp/dogwood-cmake-$$.log" ||
  { cat "/tmp/dogwood-cmake-$$.log"; rm -f "/tmp/dogwood-cmake-$$.log"; exit 1; }
rm -f "/tmp/dogwood-cmake-$$.log"
jobs="${DOGWOOD_BUILD_JOBS:-$(nproc)}"
if [ $# -gt 0 ]; then ninja -C "$folder" -j "$jobs" "$@"; else ninja -C "$folder" -j "$jobs"; fi
echo "$folder"
