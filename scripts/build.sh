#!/usr/bin/env bash
# Configures and builds. Usage: build.sh [--sanitizer address|thread] [TARGET...]
# Prints the name of the build folder; build output goes to standard error.
set -euo pipefail
cd "$(dirname "$0")/.."
sanitizer=""
if [ "${1:-}" = "--sanitizer" ]; then sanitizer="$2"; shift 2; fi
folder="build${sanitizer:+-$sanitizer}"
cmake -S . -B "$folder" -G Ninja -DDOGWOOD_SANITIZER="$sanitizer" > "/tmp/dogwood-cmake-$$.log" ||
  { cat "/tmp/dogwood-cmake-$$.log"; rm -f "/tmp/dogwood-cmake-$$.log"; exit 1; }
rm -f "/tmp/dogwood-cmake-$$.log"
# Lets several clones of the repository share ccache entries.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
jobs="${DOGWOOD_BUILD_JOBS:-$(nproc)}"
# Callers read the folder name from standard output.
ninja -C "$folder" -j "$jobs" "$@" >&2
echo "$folder"
