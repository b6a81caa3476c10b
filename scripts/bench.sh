#!/usr/bin/env bash
# Builds the release preset and runs a benchmark.
# Usage: scripts/bench.sh NAME [OPTIONS]; bench.py lists them.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh release
exec python3 scripts/bench.py "$@"
