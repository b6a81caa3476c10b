#!/usr/bin/env bash
# Fails if a module includes another one that the "Depends on" comment of its
# master header (av_NAME/av_NAME.hpp) does not list, if a kernel module, which
# must not do I/O, includes I/O headers, or if the platform's names or headers
# are used outside platform/.
set -euo pipefail
cd "$(dirname "$0")/.."
failed=0
# The master header of a kernel module contains "without I/O" or "no I/O".
for dir in modules/av_*/; do
  module=$(basename "$dir")
  master="$dir$module.hpp"
  if [ ! -f "$master" ]; then
    echo "modules: $module has no master header $module.hpp"; failed=1; continue
  fi
  declared=$(sed -n '/Depends on/,/^$/p' "$master" | grep -oE 'av_[a-z]+' | sort -u || true)
  used=$(grep -hoE '#include <av_[a-z]+' "$dir"*.hpp "$dir"*.cpp 2>/dev/null |
    grep -oE 'av_[a-z]+' | sort -u | grep -vx "$module" || true)
  for other in $used; do
    if ! grep -qx "$other" <<<"$declared"; then
      echo "modules: $module includes $other, which $master does not declare"; failed=1
    fi
  done
  if grep -qE '(without|[Nn]o) I/O' "$master" &&
     grep -lE '#include <(boost/asio|boost/beast|kj/|capnp/|sys/|thread|mutex)' "$dir"*.hpp "$dir"*.cpp 2>/dev/null; then
    echo "modules: $module is said to be without I/O, but the files above do I/O"; failed=1
  fi
done
# Only platform/ may use the names of the platform's headers, paths and fields.
names='Backend-Signature|Expect-Instance|Not-Executed|Attempt-Id|routing_rules|warmup_left_ms|warmup_per_s|Warmup-Ms|Anvilturn-Tenant|Anvilturn-Key|api_keys|rate_per_s\b|target_latency_ms|max_concurrency|readiness_addr|/-/objects'
if grep -rnE "$names" modules daemons benches standins --include='*.?pp'; then
  echo "modules: the platform's names stand outside platform/"; failed=1
fi
# The adapter in platform/ registers itself; no other code may include it.
if grep -rnE '#include [<"](\.\./)*platform/' modules daemons --include='*.?pp'; then
  echo "modules: a module includes the platform's adapter"; failed=1
fi
[ $failed -eq 0 ] && echo "modules: dependencies as declared"
exit $failed
