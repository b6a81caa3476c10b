"""Starts both deployments at reduced size with three VMs each, applies their
release notes, sends calls, checks their responses and prints the figures. With
--stay the deployments run until Ctrl-C, and commands to try are printed."""

from __future__ import annotations

import contextlib
import signal
import sys

from deployments import HANOI, KUALA_LUMPUR, Deployment, stream
from fleet import ADDRESSES_PER_FLEET, Fleet, exit_on_signals

VM_COUNT = 3
SCALE = 0.35
DURATION_MS = 5000
SERVICE_MS = 10


def plan_for(deployment: Deployment) -> dict:
    """Returns a load plan with calls of every rule that keeps about a third of
    the slots busy."""
    return {"seed": 20261204, "duration_ms": DURATION_MS, "streams": [
        stream(deployment, rule.name, 150.0, service_ms=SERVICE_MS,
               answer_bytes=2000,
               body_bytes=0 if rule.methods[0] == "GET" else 400)
        for rule in deployment.rules]}


def print_figures(name: str, figures: dict[str, float]) -> None:
    for key in ("all.calls", "all.answered", "all.not_run", "all.unknown",
                "all.p50", "all.p99", "all.max", "violations.total"):
        unit = "ms" if key[-3:] in ("p50", "p99", "max") else "calls"
        print(f"figure={name}.{key} value={figures[key]:g} unit={unit}")


def print_usage_hints(fleet: Fleet) -> None:
    host = fleet.deployment.host
    vm = fleet.vms[0]
    print(f"\n{fleet.deployment.name}: callers' addresses "
          + " ".join(v.callers for v in fleet.vms))
    for rule in fleet.deployment.rules:
        print(f"  curl -i -X {rule.methods[0]} -H 'Host: {host}' "
              f"http://{vm.callers}{rule.path}/7")
    print(f"  {fleet.build}/bin/anvilturnctl --vm {vm.operators} "
          "release status")
    print(f"  {fleet.build}/bin/anvilturnctl dump {vm.operators}")


def main() -> int:
    exit_on_signals()
    failed = False
    fleets: list[Fleet] = []
    with contextlib.ExitStack() as stack:
        for deployment in (HANOI, KUALA_LUMPUR):
            fleet = stack.enter_context(
                Fleet(deployment.scaled(SCALE), VM_COUNT,
                      first_host=ADDRESSES_PER_FLEET * len(fleets)))
            fleet.start()
            fleets.append(fleet)
        for fleet in fleets:
            figures = fleet.load(plan_for(fleet.deployment))
            print_figures(fleet.deployment.name, figures)
            failed |= figures["violations.total"] > 0
            failed |= figures["all.answered"] < figures["all.calls"]
        if "--stay" in sys.argv[1:]:
            for fleet in fleets:
                print_usage_hints(fleet)
            print("\nPress Ctrl-C to stop.", flush=True)
            signal.pause()
    failed |= any(fleet.failures for fleet in fleets)
    print("verdict=" + ("fail" if failed else "pass"))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
