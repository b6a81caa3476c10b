"""Runs the proofs, tests of the load balancer's guarantees on real processes:
all of them or the ones named.

Usage: prove.py [NAME...]

Prints one line for each guarantee and set of faults. Exit status 1 if one
failed, 2 if a name is unknown.
"""

from __future__ import annotations

import sys
import time

import proofs_calls
import proofs_fleet
from fleet import exit_on_signals
from proof import SEED

PROOFS = {f.__name__: f for f in (
    proofs_calls.checks_can_fail, proofs_calls.calls, proofs_calls.many_calls,
    proofs_fleet.budget, proofs_fleet.leaving, proofs_fleet.returning,
    proofs_fleet.planned_stop, proofs_fleet.releases, proofs_fleet.racing,
    proofs_fleet.platform_outage)}


def run(name: str) -> int:
    """Runs a proof; returns the number of failed verdicts. An aborted proof
    counts as one."""
    failed = 0
    try:
        for verdict in PROOFS[name](SEED):
            print(verdict, flush=True)
            failed += not verdict.passed
    except Exception as failure:  # Continue with the other proofs.
        print(f"proof={name} aborted=\"{failure}\" verdict=fail", flush=True)
        failed += 1
    return failed


def main() -> int:
    exit_on_signals()
    names = sys.argv[1:] or list(PROOFS)
    unknown = set(names) - set(PROOFS)
    if unknown:
        print(f"unknown proofs {sorted(unknown)}; available: "
              f"{sorted(PROOFS)}", file=sys.stderr)
        return 2
    failed = 0
    for name in names:
        start = time.monotonic()
        failed += run(name)
        print(f"proof={name} seed={SEED} "
              f"seconds={time.monotonic() - start:.1f}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
