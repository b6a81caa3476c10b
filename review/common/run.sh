#!/usr/bin/env bash
# Runs the case in the folder that is given. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/anvilturnd ] || { echo "target/bin/anvilturnd is missing" >&2; exit 2; }
timeout --kill-after=5 115 python3 "$1/case.py"
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
