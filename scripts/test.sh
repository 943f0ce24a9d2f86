#!/usr/bin/env bash
# Builds and runs all tests. Usage: test.sh [--sanitizer address|thread] [CTest options...]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/packages.sh
sanitizer=()
if [ "${1:-}" = "--sanitizer" ]; then sanitizer=(--sanitizer "$2"); shift 2; fi
folder=$(scripts/build.sh "${sanitizer[@]}")
# rapidcheck takes its seed from here, so that each run gives the same verdict.
export RC_PARAMS="${RC_PARAMS:-seed=20261204}"
if [ -e KNOWN-RED.txt ]; then
  echo "Known failures, see KNOWN-RED.txt:"
  cat KNOWN-RED.txt
fi
ctest --test-dir "$folder" --output-on-failure -j 4 "$@"
