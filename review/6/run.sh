#!/usr/bin/env bash
# Runs the case once. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -euo pipefail
cd "$(dirname "$0")"
scenario=../harness-2/build/scenario-6
gateway=../../target/bin/dogwood-gateway
[ -x "$scenario" ] && [ -x "$gateway" ] || exit 2
exec "$scenario" "$gateway" record.txt
