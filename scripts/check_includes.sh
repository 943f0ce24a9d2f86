#!/usr/bin/env bash
# Checks includes: no cycles between libraries, no library includes a service, a utility or a test,
# and the libraries that make decisions use no I/O.
set -euo pipefail
cd "$(dirname "$0")/.."
if grep -rnE '#include "(Services|Utilities|Tests)/' Libraries; then
  echo "check_includes: a library must not include Services, Utilities or Tests" >&2
  exit 1
fi
edges=$(grep -rnoE '#include "Libraries/[A-Za-z]+/' Libraries |
  sed -E 's|^Libraries/([A-Za-z]+)/[^:]*:[0-9]+:#include "Libraries/([A-Za-z]+)/.*|\1 \2|' |
  awk '$1 != $2' | sort -u)
if ! echo "$edges" | tsort > /dev/null; then
  echo "check_includes: the libraries include each other in a cycle" >&2
  exit 1
fi
for library in Routing Membership Usage Idempotency Settings; do
  if grep -rnE '#include <(boost/(asio|beast)|nghttp2|fstream|sys/socket)' "Libraries/$library" ||
     grep -rnE '#include "Libraries/(Http|PeerLink|Platform|Observe)/' "Libraries/$library"; then
    echo "check_includes: decision library $library must not use I/O" >&2
    exit 1
  fi
done
echo "check_includes: no cycles"
