#!/usr/bin/env bash
# Installs the required packages, builds, starts both deployments at reduced
# size, sends calls, checks their responses and prints the figures. With --stay
# the deployments run until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh release
exec python3 scripts/run_local.py "$@"
