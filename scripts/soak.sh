#!/usr/bin/env bash
# Builds the daemons and soaks them under random faults. Usage:
# scripts/soak.sh [OPTIONS]; platform/soak/soak.py lists them.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh release
exec python3 platform/soak/soak.py "$@"
