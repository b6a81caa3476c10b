#!/usr/bin/env bash
# Builds and soaks the daemons under drawn faults; options in platform/soak/soak.py.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh release
exec python3 platform/soak/soak.py "$@"
