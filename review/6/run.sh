#!/usr/bin/env bash
# Runs the case once; TROUBLE=0 leaves the cut out. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -euo pipefail
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")"
scenario=../harness-2/build/scenario-6
gateway=../../target/bin/dogwood-gateway
[ -x "$scenario" ] && [ -x "$gateway" ] || exit 2
exec "$scenario" "$gateway" record.txt
