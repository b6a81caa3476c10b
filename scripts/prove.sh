#!/usr/bin/env bash
# Builds and runs the proofs, tests that run the daemons as separate processes.
# Usage: scripts/prove.sh [NAME...]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh release
exec python3 scripts/prove.py "$@"
