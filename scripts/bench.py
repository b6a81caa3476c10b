"""Compares choice policies with baselines on the same calls.

Usage: bench.py NAME [--vms N] [--repetitions N] [--seconds S]
                [--deployment hanoi|lestari] [--policies A,B]
                [--distribution exponential|fixed|lognormal]

NAME is one of the functions in SCENARIOS. In each repetition every policy gets
the same calls at the same times (one seed for each repetition); the order of
the policies rotates. Prints "figure=NAME value=MEDIAN unit=U" lines with the
minimum and the maximum of the repetitions.
"""

from __future__ import annotations

import argparse
import collections
import dataclasses
import statistics
import sys
import time
from collections.abc import Callable, Iterator

import deployments
from deployments import SLOTS, Deployment, stream
from fleet import (Fleet, FleetOptions, Figures, IdleMeter, Process,
                   exit_on_signals, wait_until)

# Not a policy: one queue for all targets of a service, as the lower bound of
# latency that others are compared with.
CENTRAL = "central"
BASELINES = ("random", "round_robin", "two_choices", "hot_cold_probing")
PROJECT_POLICY = "home_dispatch"
SERVICE_MS = 40.0
FIRST_SEED = 20261204
# Random pauses of targets, as noisy neighbours on shared machines cause them.
PAUSE_OPTIONS = ("--pauses-per-second", "0.5")


class Report:
    """Collects the figures of all repetitions and prints them."""

    def __init__(self, scenario: str) -> None:
        self._scenario = scenario
        self._values: dict[str, list[float]] = collections.defaultdict(list)
        self._units: dict[str, str] = {}

    def add(self, name: str, value: float, unit: str) -> None:
        self._values[name].append(value)
        self._units[name] = unit

    def add_load(self, policy: str, figures: Figures) -> None:
        """Adds the figures of call_load that are reported."""
        for key, value in figures.items():
            kind = key.rsplit(".", 1)[1]
            if kind in ("p50", "p99", "p999", "mean", "wait_p50", "wait_p99"):
                self.add(f"{policy}.{key}", value, "ms")
            elif kind in ("goodput",):
                self.add(f"{policy}.{key}", value, "calls/s")
            elif kind in ("not_run", "unknown", "unreached", "total"):
                self.add(f"{policy}.{key}", value, "calls")
        self.add(f"{policy}.send_delay_p99", figures["all.send_delay_p99"],
                 "ms")

    def median(self, name: str) -> float:
        return statistics.median(self._values[name])

    def values(self, name: str) -> list[float]:
        return self._values[name]

    def print(self) -> None:
        for name, values in self._values.items():
            print(f"figure={self._scenario}.{name} "
                  f"value={statistics.median(values):.6g} "
                  f"unit={self._units[name]} least={min(values):.6g} "
                  f"greatest={max(values):.6g} repetitions={len(values)}")
        sys.stdout.flush()


@dataclasses.dataclass(frozen=True)
class Setup:
    """The options of the command line."""

    deployment: Deployment
    vms: int
    repetitions: int
    seconds: float
    policies: tuple[str, ...]
    distribution: str

    def fleet(self, vms: int | None = None, **options: object) -> Fleet:
        return Fleet(self.deployment, vms or self.vms,
                     FleetOptions(**{"log_level": "warning", **options}))


def steady_plan(deployment: Deployment, busy_share: float, seconds: float,
                seed: int, distribution: str) -> dict:
    """Returns a load plan that keeps this share of each service's slots
    busy."""
    streams = []
    for service in deployment.services:
        rules = [r for r in deployment.rules if r.service == service.name]
        rate = service.targets * SLOTS * busy_share * 1000.0 / SERVICE_MS
        streams += [stream(deployment, r.name, rate / len(rules),
                           service_ms=SERVICE_MS, distribution=distribution,
                           body_bytes=0 if r.methods[0] == "GET" else 300)
                    for r in rules]
    return {"seed": seed, "duration_ms": seconds * 1000.0, "streams": streams}


def burst_plan(deployment: Deployment, seconds: float, seed: int,
               distribution: str) -> dict:
    """Returns a load plan whose rate alternates every 100 ms between 50% and
    110% of what the slots can serve, 80% on average."""
    plan = steady_plan(deployment, 0.8, seconds, seed, distribution)
    for item in plan["streams"]:
        full_rate = item["rate"] / 0.8
        item["steps"] = [{"at_ms": at,
                          "rate": full_rate * (1.1 if i % 2 else 0.5)}
                         for i, at in enumerate(
                             range(0, int(seconds * 1000), 100))]
    return plan


def rotated_order(setup: Setup, names: tuple[str, ...]
                  ) -> Iterator[tuple[int, str]]:
    """Yields (seed, name) for each name in each repetition. The order rotates,
    so that no name always comes first."""
    for repetition in range(setup.repetitions):
        shift = repetition % len(names)
        for name in names[shift:] + names[:shift]:
            yield FIRST_SEED + repetition, name


def measure(fleet: Fleet, policy: str, plan: dict) -> Figures:
    """Sends a plan's calls under a policy, or through the central queue, and
    returns the figures."""
    if policy == CENTRAL:
        return fleet.load(plan, "--central", fleet.central_map())
    fleet.use_policy(policy)
    warm_up = {**plan, "duration_ms": 500}
    fleet.load(warm_up)
    return fleet.load(plan)


def compare(setup: Setup, report: Report, fleet: Fleet,
            make_plan: Callable[[int], dict]) -> None:
    """Runs each policy and the central queue on the same calls."""
    idle = IdleMeter()
    for seed, policy in rotated_order(setup, (CENTRAL, *setup.policies)):
        report.add_load(policy, measure(fleet, policy, make_plan(seed)))
    report.add("idle_share", idle.share(), "share")
    central_p99 = report.values(f"{CENTRAL}.all.p99")
    for policy in setup.policies:
        policy_p99 = report.values(f"{policy}.all.p99")
        for latency, best in zip(policy_p99, central_p99):
            report.add(f"{policy}.p99_to_central", latency / best, "ratio")


def tail(setup: Setup, report: Report) -> None:
    """Tail latency with 80% of all slots busy and noisy neighbours."""
    with setup.fleet(target_options=PAUSE_OPTIONS) as fleet:
        fleet.start()
        compare(setup, report, fleet, lambda seed: steady_plan(
            setup.deployment, 0.8, setup.seconds, seed, setup.distribution))


def burst(setup: Setup, report: Report) -> None:
    """Tail latency under load that changes within milliseconds."""
    with setup.fleet(target_options=PAUSE_OPTIONS) as fleet:
        fleet.start()
        compare(setup, report, fleet, lambda seed: burst_plan(
            setup.deployment, setup.seconds, seed, setup.distribution))


def straggler(setup: Setup, report: Report) -> None:
    """Tail latency at 60% load with one target of each service ten times
    slower."""
    with setup.fleet(target_options=PAUSE_OPTIONS) as fleet:
        fleet.start()
        for service in setup.deployment.services:
            fleet.set_target_faults({"straggle": 10},
                                    fleet.targets_of(service.name)[0])
        compare(setup, report, fleet, lambda seed: steady_plan(
            setup.deployment, 0.6, setup.seconds, seed, setup.distribution))


def cost(setup: Setup, report: Report) -> None:
    """Rate of probes at each target, and the slot time that they use."""
    with setup.fleet(target_options=PAUSE_OPTIONS) as fleet:
        fleet.start()
        for seed, policy in rotated_order(setup, setup.policies):
            fleet.use_policy(policy)
            fleet.reset_counts()
            start = time.monotonic()
            figures = fleet.load(steady_plan(
                setup.deployment, 0.8, setup.seconds, seed,
                setup.distribution))
            elapsed_s = time.monotonic() - start
            counts = [int(c["probes"]) / elapsed_s
                      for c in fleet.target_counts().values()]
            mean = statistics.fmean(counts)
            report.add(f"{policy}.probes_per_target", mean, "1/s")
            report.add(f"{policy}.most_probes", max(counts), "1/s")
            report.add(f"{policy}.slot_time", mean * 6.0, "ms/s")
            report.add(f"{policy}.all.p99", figures["all.p99"], "ms")


def overload(setup: Setup, report: Report) -> None:
    """Goodput at twice the capacity of the slots, relative to that at
    saturation."""
    with setup.fleet() as fleet:
        fleet.start()
        for seed, policy in rotated_order(setup, setup.policies):
            fleet.use_policy(policy)
            for name, busy_share in (("saturated", 1.0), ("doubled", 2.0)):
                plan = steady_plan(setup.deployment, busy_share, setup.seconds,
                                   seed, setup.distribution)
                for item in plan["streams"]:
                    item["deadline_ms"] = 1000
                report.add_load(f"{policy}.{name}", fleet.load(plan))
            saturated = report.values(f"{policy}.saturated.all.goodput")[-1]
            doubled = report.values(f"{policy}.doubled.all.goodput")[-1]
            report.add(f"{policy}.goodput_ratio", doubled / saturated, "ratio")


def first_service_plan(setup: Setup, rate: float, seed: int) -> dict:
    """Returns a load plan of calls without service time to the first rule's
    service."""
    rule = setup.deployment.rules[0]
    return {"seed": seed, "duration_ms": setup.seconds * 1000.0, "streams": [
        stream(setup.deployment, rule.name, rate, service_ms=0.0,
               distribution="fixed")]}


def direct_addresses(fleet: Fleet) -> str:
    service = fleet.deployment.rules[0].service
    return ",".join(t.address for t in fleet.targets_of(service))


def overhead(setup: Setup, report: Report) -> None:
    """Latency that a VM adds to a call on an idle machine."""
    with setup.fleet() as fleet:
        fleet.start()
        idle = IdleMeter()
        for seed, way in rotated_order(setup, ("direct", "through")):
            extra = ("--direct", direct_addresses(fleet)) \
                if way == "direct" else ()
            plan = first_service_plan(setup, 300.0, seed)
            report.add_load(way, fleet.load(plan, *extra))
        for rank in ("p50", "p99"):
            pairs = zip(report.values(f"through.all.{rank}"),
                        report.values(f"direct.all.{rank}"))
            for through, direct in list(pairs):
                report.add(f"added_{rank}", through - direct, "ms")
        report.add("idle_share", idle.share(), "share")


def throughput(setup: Setup, report: Report) -> None:
    """Calls per second of processor time, of a VM and of a bare relay."""
    with setup.fleet(vms=1) as fleet:
        fleet.start()
        address = fleet.vms[0].callers.rsplit(":", 1)[0] + ":8090"
        relay = Process("relay", [
            str(fleet.build / "bin" / "bare_relay"), "--listen", address,
            "--targets", direct_addresses(fleet)], fleet.folder)
        fleet.processes["relay"] = relay
        for seed, way in rotated_order(setup, ("relay", "vm")):
            process = relay if way == "relay" \
                else fleet.processes[fleet.vms[0].name]
            extra = ("--direct", address) if way == "relay" else ()
            plan = first_service_plan(setup, 4000.0, seed)
            before = process.usage().cpu_seconds
            figures = fleet.load(plan, "--threads", "3", *extra)
            used = process.usage().cpu_seconds - before
            report.add(f"{way}.calls_per_core_second",
                       figures["all.answered"] / used, "calls/s")
            report.add(f"{way}.p99", figures["all.p99"], "ms")
        for vm, bare in zip(report.values("vm.calls_per_core_second"),
                            report.values("relay.calls_per_core_second")):
            report.add("vm_to_relay", vm / bare, "ratio")


def spread(setup: Setup, report: Report) -> None:
    """Time to accept a release note, and from then until all VMs apply it."""
    with setup.fleet() as fleet:
        fleet.start()
        for repetition in range(setup.repetitions * 4):
            note = deployments.release_note(
                f"spread-{repetition}", fleet.version, "spread", "change",
                deployments.service_items(setup.deployment, PROJECT_POLICY,
                                          queue_limit=500 + repetition))
            start = time.monotonic()
            fleet.apply_note(note, fleet.vms[repetition % len(fleet.vms)])
            accepted = time.monotonic() - start
            report.add("accepted", accepted * 1000.0, "ms")
            report.add("in_force_after_acceptance",
                       fleet.wait_in_force() * 1000.0, "ms")


def control(setup: Setup, report: Report) -> None:
    """Cost of the control plane at 3, 12 and 24 VMs without calls."""
    for vms in (3, 12, 24):
        with setup.fleet(vms=vms) as fleet:
            fleet.start()
            time.sleep(2.0)
            fleet.reset_counts()
            before = {vm.name: fleet.processes[vm.name].usage()
                      for vm in fleet.vms}
            start = time.monotonic()
            time.sleep(setup.seconds)
            elapsed_s = time.monotonic() - start
            for vm in fleet.vms:
                usage = fleet.processes[vm.name].usage()
                used = usage.cpu_seconds - before[vm.name].cpu_seconds
                report.add(f"vms_{vms}.cpu", 100.0 * used / elapsed_s, "%core")
                report.add(f"vms_{vms}.memory", usage.resident_mb, "MB")
            for kind, count in fleet.platform_counts().items():
                if kind in ("get", "put", "list", "watch", "vms", "delete"):
                    report.add(f"vms_{vms}.platform.{kind}", count / elapsed_s,
                               "calls/s")
                elif kind == "watching":
                    report.add(f"vms_{vms}.platform.waiting_watches", count,
                               "calls")


def membership(setup: Setup, report: Report) -> None:
    """Time until all others have removed a killed VM from their members, and
    until they have added its replacement."""
    with setup.fleet() as fleet:
        fleet.start()
        for vm in fleet.vms:
            wait_until(lambda v=vm: len(fleet.alive_peers(v))
                       == len(fleet.vms) - 1, "all VMs know each other")
        for _ in range(setup.repetitions):
            killed_vm = fleet.vms[-1]
            others = fleet.vms[:-1]
            process = fleet.processes.pop(killed_vm.name)
            process.kill()
            seconds = wait_until(
                lambda v=killed_vm, o=others: not any(
                    v.name in fleet.alive_peers(vm) for vm in o),
                "all VMs have removed the killed one")
            report.add("killed_noticed", seconds * 1000.0, "ms")
            fleet.start_vm(killed_vm)
            seconds = wait_until(
                lambda v=killed_vm, o=others: fleet.is_ready(v) and all(
                    v.name in fleet.alive_peers(vm) for vm in o),
                "all VMs have added the new one")
            report.add("replacement_taken_up", seconds * 1000.0, "ms")


SCENARIOS = {f.__name__: f for f in (
    tail, burst, straggler, cost, overload, overhead, throughput, spread,
    control, membership)}


def read_setup(arguments: list[str]) -> tuple[str, Setup]:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("name", choices=sorted(SCENARIOS))
    parser.add_argument("--vms", type=int, default=24)
    parser.add_argument("--repetitions", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--deployment", default="hanoi",
                        choices=sorted(deployments.DEPLOYMENTS))
    parser.add_argument("--policies",
                        default=",".join((*BASELINES, PROJECT_POLICY)))
    parser.add_argument("--distribution", default="exponential",
                        choices=("exponential", "fixed", "lognormal"))
    args = parser.parse_args(arguments)
    return args.name, Setup(deployments.DEPLOYMENTS[args.deployment],
                            args.vms, args.repetitions, args.seconds,
                            tuple(args.policies.split(",")),
                            args.distribution)


def main() -> int:
    exit_on_signals()
    name, setup = read_setup(sys.argv[1:])
    print(f"bench={name} deployment={setup.deployment.name} vms={setup.vms} "
          f"repetitions={setup.repetitions} seconds={setup.seconds} "
          f"first_seed={FIRST_SEED} service_ms={SERVICE_MS} "
          f"distribution={setup.distribution}", flush=True)
    report = Report(f"{name}.{setup.deployment.name}")
    try:
        SCENARIOS[name](setup, report)
    finally:
        report.print()
    return 0


if __name__ == "__main__":
    sys.exit(main())
