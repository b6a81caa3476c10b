"""Proofs about the fleet: the probe budget, leaving targets, planned stops,
releases and platform outages."""

from __future__ import annotations

import bisect
import random
import re
import threading
import time
from collections.abc import Iterator

import deployments
from deployments import VmPlacement
from fleet import Fleet, FleetError, call, wait_until
from proof import (NO_PLATFORM_FAULTS, SEED, SMALL_HANOI, BackgroundLoad,
                   Verdict, kill, mixed_plan, paused, small_fleet)

LEAVING_BOUND_MS = 3000.0
RELEASE_BOUND_S = 13.0
BUDGET_PER_SECOND = 2.0
BUDGET_WINDOW_MS = 10000.0
PROBING_POLICY = "hot_cold_probing"
OUTAGE_S = 10.0


def max_in_window(times: list[float], length: float) -> int:
    """Returns the maximum number of events in any half-open window of this
    length."""
    ordered = sorted(times)
    return max((bisect.bisect_left(ordered, start + length) - i
                for i, start in enumerate(ordered)), default=0)


def budget_verdict(fleet: Fleet, faults: str) -> Verdict:
    """Checks the probes that the targets counted against the budget."""
    allowed = BUDGET_PER_SECOND * BUDGET_WINDOW_MS / 1000.0
    times = fleet.probe_times_ms()
    maximum = max(max_in_window(t, BUDGET_WINDOW_MS) for t in times.values())
    targets_over_budget = sum(max_in_window(t, BUDGET_WINDOW_MS) > allowed
                              for t in times.values())
    probes = sum(len(t) for t in times.values())
    return Verdict("measuring_budget", faults, probes, targets_over_budget,
                   {"most_in_window": maximum, "allowed": allowed})


def budget(seed: int = SEED) -> Iterator[Verdict]:
    """Probes at each target stay within the budget. The `calls` of the verdicts
    count probes."""
    fields = {"probes_per_second": BUDGET_PER_SECOND}
    with small_fleet(policy=PROBING_POLICY, service_fields=fields) as fleet:
        fleet.start()
        for name, inject_faults in (("none", lambda f: time.sleep(12.0)),
                                    ("paused_vms", _pause_vms_in_turn),
                                    ("replaced_vms", _replace_vms_in_turn),
                                    ("platform_down", _interrupt_platform)):
            load = BackgroundLoad(
                fleet, mixed_plan(SMALL_HANOI, 20.0, seed, busy_share=0.2))
            inject_faults(fleet)
            load.finish()
            yield budget_verdict(fleet, name)
            fleet.wait_ready()


def _pause_vms_in_turn(fleet: Fleet) -> None:
    for vm in fleet.vms[:3]:
        with paused(fleet, vm):
            time.sleep(4.0)


def _replace_vms_in_turn(fleet: Fleet) -> None:
    for vm in fleet.vms:
        kill(fleet, vm)
        fleet.start_vm(vm)
        time.sleep(2.0)


def _interrupt_platform(fleet: Fleet) -> None:
    fleet.set_platform_faults(down=True)
    time.sleep(OUTAGE_S)
    fleet.set_platform_faults(**NO_PLATFORM_FAULTS)


def leaving(seed: int = SEED) -> Iterator[Verdict]:
    """A leaving target receives no calls later than LEAVING_BOUND_MS after the
    first sign that it leaves."""
    for way in ("marker", "note"):
        for faults in ("none", "paused_vm", "vm_without_platform"):
            # With this grace time the target accepts calls for as long as they
            # are sent.
            with small_fleet(with_relay=True, target_options=(
                    "--drain-grace-ms", "60000")) as fleet:
                fleet.start()
                yield _leaving_verdict(fleet, way, faults, seed)


def _leaving_verdict(fleet: Fleet, way: str, faults: str, seed: int) -> Verdict:
    load = BackgroundLoad(fleet, mixed_plan(SMALL_HANOI, 10.0, seed))
    time.sleep(1.5)
    target = fleet.targets[0]
    vm = fleet.vms[-1]
    if faults == "vm_without_platform":
        fleet.set_link_faults({"refuse": True, "reset": True},
                              f"platform-{vm.name}")
    if faults == "paused_vm":
        with paused(fleet, vm):
            signalled_at_ms = _signal_leaving(fleet, way)
            time.sleep(5.0)
    else:
        signalled_at_ms = _signal_leaving(fleet, way)
    calls = int(load.finish()["all.calls"])
    last_work_at_ms = float(fleet.target_counts()[target.name]["last_work_ms"])
    delay_ms = last_work_at_ms - signalled_at_ms
    return Verdict("leaving_target", f"{way}+{faults}", calls,
                   int(delay_ms > LEAVING_BOUND_MS),
                   {"last_work_after_ms": delay_ms})


def _signal_leaving(fleet: Fleet, way: str) -> float:
    """Makes the first target signal that it leaves, by its responses or by a
    release note; returns the monotonic time in ms before that."""
    target = fleet.targets[0]
    signalled_at_ms = float(fleet.target_counts()[target.name]["now_ms"])
    if way == "marker":
        fleet.set_target_faults({"drain": True}, target)
        return signalled_at_ms
    item = deployments.release_note(
        "leaving", fleet.version, "drain", "change", [],
        [fleet.relayed(target)], ())
    fleet.apply_note(item.replace("slots:", "draining: true, slots:"))
    return signalled_at_ms


def returning(seed: int = SEED) -> Iterator[Verdict]:
    """A target that signalled that it leaves and returns at the same address
    receives calls again, without an operator's intervention."""
    with small_fleet() as fleet:
        fleet.start()
        target = fleet.targets[0]
        load = BackgroundLoad(fleet, mixed_plan(SMALL_HANOI, 34.0, seed))
        time.sleep(1.0)
        fleet.set_target_faults({"drain": True}, target)
        time.sleep(4.0)
        fleet.set_target_faults({"drain": False}, target)
        returned_at_ms = float(fleet.target_counts()[target.name]["now_ms"])
        calls = int(load.finish()["all.calls"])
        last_work_at_ms = float(
            fleet.target_counts()[target.name]["last_work_ms"])
        yield Verdict("target_returns", "marker", calls,
                      int(last_work_at_ms < returned_at_ms),
                      {"last_work_after_return_ms":
                       last_work_at_ms - returned_at_ms})


def planned_stop(seed: int = SEED) -> Iterator[Verdict]:
    """Every VM is replaced in turn under load, and no call fails."""
    for faults in ("none", "platform_down"):
        with small_fleet(balancer_lag_ms=1000) as fleet:
            fleet.start()
            plan = mixed_plan(SMALL_HANOI, 6.0 * len(fleet.vms), seed,
                              deadline_ms=3000)
            load = BackgroundLoad(fleet, plan, "--balancer-ms", "300")
            time.sleep(1.0)
            if faults == "platform_down":
                fleet.set_platform_faults(down=True)
            bad_stops = 0
            not_ready = 0
            for vm in fleet.vms:
                bad_stops += fleet.stop_vm(vm) != 0
                fleet.start_vm(vm)
                not_ready += not _becomes_ready(fleet, vm)
            figures = load.finish()
            lost = int(figures["all.unknown"] + figures["all.unreached"]
                       + figures["violations.total"])
            yield Verdict("planned_stop", faults, int(figures["all.calls"]),
                          lost + bad_stops + not_ready,
                          {"not_run": figures["all.not_run"], "lost": lost,
                           "bad_stops": bad_stops, "not_ready": not_ready})


def _becomes_ready(fleet: Fleet, vm: VmPlacement) -> bool:
    try:
        wait_until(lambda: fleet.is_ready(vm), f"{vm.name} is ready", 10.0)
        return True
    except FleetError:
        return False


class VersionChecker:
    """Finds decreases of the version in force in the logs of all VMs."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def regressions(self) -> int:
        count = 0
        for vm in self._fleet.vms:
            newest = 0
            text = (self._fleet.folder / f"{vm.name}.log").read_text()
            for match in re.finditer(
                    r"event=release_in_force version=(\d+)", text):
                count += int(match.group(1)) < newest
                newest = max(newest, int(match.group(1)))
            # A log without any version is counted as a regression, since
            # none could be detected in it.
            count += newest == 0
        return count


def service_note(fleet: Fleet, note_id: str, service: str, limit: int,
                 base: int) -> str:
    """Returns a note that changes one service."""
    items = deployments.service_items(fleet.deployment, "home_dispatch",
                                      queue_limit=limit)
    return deployments.release_note(
        note_id, base, "proof", "change",
        [item for item in items if item["name"] == service])


def releases(seed: int = SEED) -> Iterator[Verdict]:
    """An accepted note is in force at all VMs within RELEASE_BOUND_S and is
    never reverted."""
    random_source = random.Random(seed)
    with small_fleet(vms=8) as fleet:
        fleet.start()
        for faults in ({}, {"lose_answers": 1}, {"reorder_watch": True},
                       {"stale_read_ms": 5000}, {"slow_ms": 300}):
            fleet.set_platform_faults(**faults)
            name = "+".join(faults) or "none"
            yield _apply_under_faults(fleet, name,
                                      random_source.choice(fleet.vms))
            fleet.set_platform_faults(**NO_PLATFORM_FAULTS)
        yield _accept_then_inject(fleet, "platform_down_at_once",
                                  lambda vm: fleet.set_platform_faults(
                                      down=True))
        fleet.set_platform_faults(**NO_PLATFORM_FAULTS)
        yield _accept_then_inject(fleet, "acceptor_killed_at_once",
                                  lambda vm: kill(fleet, vm))
        fleet.start_vm(fleet.vms[0])
        fleet.wait_ready()
        yield _restart_in_outage(fleet)


def _apply_until_settled(fleet: Fleet, note: str, vm: VmPlacement) -> None:
    """Applies a note until it is accepted. After an unknown outcome (status 4)
    it reads whether the note was accepted; a refusal because of the platform
    (status 1) accepted nothing, and the note is applied again."""
    note_id = re.search(r"id: (\S+)", note).group(1)

    def accepted() -> bool:
        result = fleet.try_note(note, vm)
        if result.returncode == 4:
            return "accepted" == call(
                vm.operators, "GET", f"/v1/release/settle?id={note_id}"
            )[1].split("verdict: ", 1)[-1].split()[0]
        if result.returncode == 1 and "platform_" in result.stderr:
            return False
        if result.returncode != 0:
            raise FleetError(result.stdout + result.stderr)
        return True
    wait_until(accepted, "the note is accepted")
    fleet.version += 1


def _release_verdict(fleet: Fleet, faults: str, vms: list[VmPlacement]
                     ) -> Verdict:
    seconds = fleet.wait_in_force(vms)
    late = int(seconds > RELEASE_BOUND_S)
    return Verdict("release_in_force", faults, len(vms),
                   late + VersionChecker(fleet).regressions(),
                   {"seconds": seconds, "version": fleet.version})


def _apply_under_faults(fleet: Fleet, faults: str, vm: VmPlacement) -> Verdict:
    _apply_until_settled(
        fleet, service_note(fleet, f"n{fleet.version + 1}", "inventory",
                            400 + fleet.version, fleet.version), vm)
    return _release_verdict(fleet, faults, fleet.vms)


def _accept_then_inject(fleet: Fleet, faults: str, inject_faults) -> Verdict:
    vm = fleet.vms[0]
    _apply_until_settled(
        fleet, service_note(fleet, f"n{fleet.version + 1}", "inventory",
                            400 + fleet.version, fleet.version), vm)
    inject_faults(vm)
    remaining_vms = [v for v in fleet.vms if v.name in fleet.processes]
    return _release_verdict(fleet, faults, remaining_vms)


def _restart_in_outage(fleet: Fleet) -> Verdict:
    fleet.set_platform_faults(down=True)
    vm = fleet.vms[1]
    kill(fleet, vm)
    time.sleep(1.0)
    fleet.start_vm(vm)
    try:
        return _release_verdict(fleet, "restart_in_outage", fleet.vms)
    finally:
        fleet.set_platform_faults(**NO_PLATFORM_FAULTS)


def racing(seed: int = SEED) -> Iterator[Verdict]:
    """Of two conflicting notes one is accepted, of two disjoint ones both
    are."""
    with small_fleet(vms=4) as fleet:
        fleet.start()
        for kind, second, expected in (("conflicting", "inventory", 1),
                                       ("disjoint", "booking", 2)):
            wrong = 0
            for turn in range(8):
                base = fleet.version
                accepted = _apply_concurrently(fleet, [
                    service_note(fleet, f"{kind}-{turn}-a", "inventory",
                                 300 + turn, base),
                    service_note(fleet, f"{kind}-{turn}-b", second,
                                 200 + turn, base)])
                fleet.version += accepted
                wrong += accepted != expected
                fleet.wait_in_force()
            yield Verdict("racing_operators", kind, 16,
                          wrong + VersionChecker(fleet).regressions())


def _apply_concurrently(fleet: Fleet, notes: list[str]) -> int:
    """Applies the notes concurrently through different VMs; returns the number
    that was accepted."""
    statuses: list[int] = []
    threads = [threading.Thread(target=lambda n=note, v=vm: statuses.append(
        fleet.try_note(n, v).returncode))
        for note, vm in zip(notes, fleet.vms)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return statuses.count(0)


def platform_outage(seed: int = SEED) -> Iterator[Verdict]:
    """Calls are served as before while the platform is unavailable."""
    for faults in ({"down": True}, {"black_hole": True}, {"slow_ms": 3000}):
        with small_fleet() as fleet:
            fleet.start()
            load = BackgroundLoad(
                fleet, mixed_plan(SMALL_HANOI, OUTAGE_S + 3.0, seed,
                                  deadline_ms=3000))
            time.sleep(1.0)
            fleet.set_platform_faults(**faults)
            time.sleep(OUTAGE_S)
            fleet.set_platform_faults(**NO_PLATFORM_FAULTS)
            figures = load.finish()
            lost = int(figures["all.calls"] - figures["all.answered"])
            yield Verdict("calls_in_platform_outage", "+".join(faults),
                          int(figures["all.calls"]),
                          lost + int(figures["violations.total"]),
                          {"p99": figures["all.p99"]})
