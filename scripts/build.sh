#!/usr/bin/env bash
# Configures and builds one preset: debug (default), release, asan or tsan.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-debug}
cmake --preset "$preset" >&2
cmake --build --preset "$preset" -- -k 0 >&2
