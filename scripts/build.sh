#!/usr/bin/env bash
# Configures and builds. Usage: build.sh [--sanitizer address|thread] [TARGET...]
# Prints the build folder's name; the build's own output goes to standard error.
set -euo pipefail
cd "$(dirname "$0")/.."
sanitizer=""
if [ "${1:-}" = "--sanitizer" ]; then sanitizer="$2"; shift 2; fi
folder="build${sanitizer:+-$sanitizer}"
cmake -S . -B "$folder" -G Ninja -DDOGWOOD_SANITIZER="$sanitizer" > "/tmp/dogwood-cmake-$$.log" ||
  { cat "/tmp/dogwood-cmake-$$.log"; rm -f "/tmp/dogwood-cmake-$$.log"; exit 1; }
rm -f "/tmp/dogwood-cmake-$$.log"
# Another clone of the same text finds what this one has compiled.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
jobs="${DOGWOOD_BUILD_JOBS:-$(nproc)}"
# Standard output carries only the folder's name.
ninja -C "$folder" -j "$jobs" "$@" >&2
echo "$folder"
