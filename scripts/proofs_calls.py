"""Proofs about calls: a response is complete and belongs to its call, a call
reported as not run did not run, and no call that must not be repeated runs
twice."""

from __future__ import annotations

import itertools
import random
import time
from collections.abc import Iterator

from proof import (NO_TARGET_FAULTS, FAULTS, SEED, SMALL_HANOI, BackgroundLoad,
                   Verdict, mixed_plan, small_fleet, inject_faults)
from fleet import Figures, Fleet

RUN_SECONDS = 3.0
FAULT_DURATION_SECONDS = 1.2
PAIRS = 12


def verdicts_of(figures: Figures, faults: str) -> Iterator[Verdict]:
    """Yields the verdicts on the three guarantees for one run."""
    calls = int(figures["all.calls"])
    details = {k: figures[f"all.{k}"]
               for k in ("answered", "not_run", "unknown", "broken",
                         "unreached")}
    for promise, kinds in (
            ("own_and_whole_answer", ("cross_talk", "damaged",
                                      "answered_but_not_run")),
            ("not_run_is_true", ("not_run_but_ran",)),
            ("at_most_once", ("ran_twice",))):
        violations = sum(int(figures[f"violations.{k}"]) for k in kinds)
        yield Verdict(promise, faults, calls, violations, details)


def run_with_faults(fleet: Fleet, names: tuple[str, ...], seed: int
                    ) -> Iterator[Verdict]:
    """Sends calls, injects the faults, yields the verdicts and waits until all
    VMs are ready again."""
    load = BackgroundLoad(fleet, mixed_plan(SMALL_HANOI, RUN_SECONDS, seed),
                          "--balancer-ms", "300")
    time.sleep(0.6)
    inject_faults(fleet, names, random.Random(seed), FAULT_DURATION_SECONDS)
    yield from verdicts_of(load.finish(), "+".join(names) or "none")
    fleet.wait_ready()


def calls(seed: int = SEED) -> Iterator[Verdict]:
    """Each fault alone, then random pairs of faults, which may be the same."""
    singles = [()] + [(name,) for name in FAULTS]
    pairs = list(itertools.combinations_with_replacement(FAULTS, 2))
    chosen = random.Random(seed).sample(pairs, PAIRS)
    with small_fleet(with_relay=True, balancer_lag_ms=700) as fleet:
        fleet.start()
        for index, names in enumerate([*singles, *chosen]):
            yield from run_with_faults(fleet, names, seed + index)


def many_calls(seed: int = SEED) -> Iterator[Verdict]:
    """A long run of short calls with surplus and truncated responses."""
    with small_fleet(threads_per_vm=2) as fleet:
        fleet.start()
        fleet.set_target_faults(
            {"truncate": True, "surplus": True, "share": 0.02})
        plan = mixed_plan(SMALL_HANOI, 60.0, seed, busy_share=0.5,
                          deadline_ms=0)
        for item in plan["streams"]:
            item.update(rate=item["rate"] * 2, service_ms=3)
        load = BackgroundLoad(fleet, plan, "--threads", "3")
        yield from verdicts_of(load.finish(), "truncate+surplus")


def checks_can_fail(seed: int = SEED) -> Iterator[Verdict]:
    """Shows that each check fails if its guarantee is broken: with targets that
    run a call and report that they did not, and with calls sent directly to
    faulty targets, without a VM."""
    plan = mixed_plan(SMALL_HANOI, RUN_SECONDS, seed, deadline_ms=0)
    with small_fleet(vms=2) as fleet:
        fleet.start()
        direct = ("--direct", ",".join(t.address for t in fleet.targets))
        for fault, kind, extra in (
                ({"lie_not_run": True}, "not_run_but_ran", ()),
                ({"lie_not_run": True, "share": 0.5}, "ran_twice", ()),
                ({"surplus": True}, "cross_talk", direct),
                ({"two_lengths": True}, "broken", direct)):
            fleet.set_target_faults(fault)
            figures = BackgroundLoad(fleet, plan, *extra).finish()
            fleet.set_target_faults(NO_TARGET_FAULTS)
            found = figures[f"violations.{kind}"] if kind != "broken" \
                else figures["all.broken"]
            yield Verdict("checks_can_fail", f"{next(iter(fault))}:{kind}",
                          int(figures["all.calls"]), int(found == 0),
                          {"found": found})
