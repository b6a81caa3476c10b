#!/usr/bin/env bash
# Builds what the scripts start. The stand-ins are Python programs, so they are
# compiled only as a check; the gateways come from the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("the cases need Python 3.11 or newer")
sources = [*pathlib.Path("review").glob("*/*.py"),
           *(pathlib.Path("platform/soak") / name
             for name in ("http_messages.py", "store.py"))]
for source in sources:
    compile(source.read_text(encoding="utf-8"), str(source), "exec")
print(f"{len(sources)} sources compiled")
CHECK
if [ ! -x target/bin/anvilturnd ]; then
  echo "target/bin/anvilturnd is missing: run the build of deploy/system.toml" >&2
  exit 1
fi
