#!/usr/bin/env bash
# Fails if a source file is not formatted as clang-format does it.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.hpp' '*.cpp' |
  xargs -r -P 4 -n 16 clang-format --dry-run -Werror
echo "format: clean"
