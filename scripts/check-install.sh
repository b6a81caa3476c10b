#!/usr/bin/env bash
# Installs the release build into a temporary folder, then builds a small
# program against the installed library and runs it.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh release
stage=$(mktemp -d)
trap 'rm -rf "$stage"' EXIT
cmake --install build/release --prefix "$stage" >/dev/null
libdir=$(dirname "$(find "$stage" -name libanvilturn.so)")
export PKG_CONFIG_PATH="$libdir/pkgconfig"
sed -i "s|^prefix=.*|prefix=$stage|" "$libdir/pkgconfig/anvilturn.pc"
# shellcheck disable=SC2046
g++ packaging/consumer/main.cpp -o "$stage/consumer" $(pkg-config --cflags --libs anvilturn)
LD_LIBRARY_PATH="$libdir" "$stage/consumer"
echo "install: consumer builds and runs"
