#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/build/. The gateway itself comes from the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B build -DCMAKE_BUILD_TYPE=RelWithDebInfo > /dev/null
cmake --build build -j "${REVIEW_BUILD_JOBS:-4}"
