#!/usr/bin/env bash
# Installs the Debian packages that the build needs, unless all are installed.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang clang-format clang-tidy libclang-rt-14-dev curl jq
  libboost1.81-dev libspdlog-dev doctest-dev librapidcheck-dev libnghttp2-dev libssl-dev
  nlohmann-json3-dev libxxhash-dev libyaml-cpp-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "Installing: ${missing[*]}"
install=(apt-get install -y -q "${missing[@]}")
if [ "$(id -u)" -ne 0 ]; then install=(sudo "${install[@]}"); fi
apt-get update -q || true
DEBIAN_FRONTEND=noninteractive "${install[@]}"
