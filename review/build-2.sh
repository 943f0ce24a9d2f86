#!/usr/bin/env bash
# Builds the stand-ins of case 6 into review/harness-2/build/. The gateway itself comes from the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/harness-2"
cmake -S . -B build -DCMAKE_BUILD_TYPE=RelWithDebInfo > /dev/null
cmake --build build -j "${REVIEW_BUILD_JOBS:-4}"
