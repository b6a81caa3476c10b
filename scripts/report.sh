#!/usr/bin/env bash
# Plots the scores in the journal: the worth of each day by score, and the
# prices deducted from it. Installs gnuplot if it is missing.
# Usage: scripts/report.sh [OUTPUT FOLDER]; the default is out/report.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v gnuplot >/dev/null || {
  as_root=(); [ "$(id -u)" -eq 0 ] || as_root=(sudo)
  "${as_root[@]}" apt-get update -q >&2
  DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -q \
    --no-install-recommends gnuplot-nox >&2
}
exec python3 scripts/report.py journal "${1:-out/report}"
