#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -euo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
number="$(basename "$folder")"
# The gateways start in the repository root, as on the platform.
cd "$folder/../.."
program="review/build/case-$number"
if [ ! -x target/bin/dogwood-gateway ] || [ ! -x "$program" ]; then
  echo "build the deploy file and run review/build.sh first" >&2
  exit 2
fi
# TROUBLE=0 leaves the disruption out; the program reads the variable.
export TROUBLE="${TROUBLE:-1}"
result=0
"$program" "$folder/record.txt" || result=$?
# Anything else, such as a crash of the case itself, is no result.
[ "$result" -le 1 ] || result=2
exit "$result"
