#!/usr/bin/env bash
# Runs clang-tidy on the given source files, or on all of them.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset debug >/dev/null
if [ $# -gt 0 ]; then files=("$@"); else
  mapfile -t files < <(git ls-files -co --exclude-standard 'modules/*.cpp' 'platform/*.cpp' 'daemons/*.cpp' 'standins/*.cpp' 'benches/*.cpp')
fi
printf '%s\n' "${files[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build/debug --extra-arg=-Wno-unknown-warning-option 2>/dev/null
echo "lint: ${#files[@]} files clean"
