#!/usr/bin/env bash
# Installs the missing Debian packages of the build, the tests and the tools.
set -euo pipefail
packages=(cmake ninja-build g++ clang-format clang-tidy pkg-config ccache mold
  libboost-dev libboost-system-dev libboost-test-dev libcapnp-dev capnproto
  libdocopt-dev libeasyloggingpp-dev libabsl-dev libyaml-cpp-dev
  librapidcheck-dev libssl-dev nlohmann-json3-dev zlib1g-dev python3 curl)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
as_root=(); [ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -q >&2
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -q \
  --no-install-recommends "${missing[@]}" >&2
