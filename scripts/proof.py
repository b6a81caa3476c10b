"""Shared parts of the proofs, which test the load balancer's guarantees on real
processes: the verdict, the load that runs during faults, and the faults by
name."""

from __future__ import annotations

import contextlib
import dataclasses
import random
import signal
import time
from collections.abc import Callable, Iterator

from deployments import HANOI, SLOTS, Deployment, TargetPlacement, \
    VmPlacement, stream
from fleet import Figures, Fleet, FleetOptions

SEED = 20261204
VM_COUNT = 5
# A deployment small enough for many runs on one machine.
SMALL_HANOI = HANOI.scaled(0.35)
SERVICE_MS = 10.0
CALLER_TIMEOUT_MS = "6000"
NO_TARGET_FAULTS = {
    "straggle": 1, "drain": False, "fail_fast": "none", "late_ms": 0,
    "refuse_after_body": False, "close_idle": False, "lie_not_run": False,
    "truncate": False, "surplus": False, "two_lengths": False, "mislead": False,
    "freeze": False, "closed_listener": False, "share": 1, "shed_above": -1}
NO_PLATFORM_FAULTS = {
    "down": False, "black_hole": False, "away": False, "over_rate": False,
    "slow_ms": 0, "lose_answers": 0, "stale_read_ms": 0,
    "reorder_watch": False}
NO_LINK_FAULTS = {"refuse": False, "hold_up": False, "hold_down": False,
                  "delay_ms": 0}


@dataclasses.dataclass(frozen=True)
class Verdict:
    """The result of checking one guarantee under one set of faults."""

    promise: str
    faults: str
    calls: int
    violations: int
    # Further figures that describe the run.
    details: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def passed(self) -> bool:
        # A run without calls proves nothing.
        return self.violations == 0 and self.calls > 0

    def __str__(self) -> str:
        details = "".join(f" {k}={v:g}" for k, v in self.details.items())
        return (f"promise={self.promise} faults={self.faults} "
                f"calls={self.calls} violations={self.violations}{details} "
                f"verdict={'pass' if self.passed else 'fail'}")


def mixed_plan(deployment: Deployment, seconds: float, seed: int,
               busy_share: float = 0.4, deadline_ms: float = 400.0) -> dict:
    """Returns a load plan with calls of all rules, with short deadlines, that
    keeps busy_share of the slots busy."""
    streams = []
    for service in deployment.services:
        rules = [r for r in deployment.rules if r.service == service.name]
        rate = service.targets * SLOTS * busy_share * 1000.0 / SERVICE_MS
        streams += [stream(deployment, r.name, rate / len(rules),
                           service_ms=SERVICE_MS, deadline_ms=deadline_ms,
                           answer_bytes=3000,
                           body_bytes=0 if r.methods[0] == "GET" else 700)
                    for r in rules]
    return {"seed": seed, "duration_ms": seconds * 1000.0, "streams": streams}


def small_fleet(vms: int = VM_COUNT, **options: object) -> Fleet:
    return Fleet(SMALL_HANOI, vms,
                 FleetOptions(**{"log_level": "info", **options}))


class BackgroundLoad:
    """Calls that are sent in the background while faults are injected."""

    def __init__(self, fleet: Fleet, plan: dict, *extra: str) -> None:
        self._fleet = fleet
        self._process = fleet.start_load(
            plan, "--timeout-ms", CALLER_TIMEOUT_MS, "--settle-ms", "1500",
            *extra)

    def finish(self) -> Figures:
        return self._fleet.finish_load(self._process)


@contextlib.contextmanager
def paused(fleet: Fleet, vm: VmPlacement) -> Iterator[None]:
    """Pauses a VM's process, as if its machine were paused."""
    process = fleet.processes[vm.name]
    process.signal(signal.SIGSTOP)
    try:
        yield
    finally:
        process.signal(signal.SIGCONT)


def kill(fleet: Fleet, vm: VmPlacement) -> None:
    """Kills a VM's process, so that it cannot clean up."""
    fleet.processes.pop(vm.name).kill()


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault that begins and ends while calls are sent."""

    name: str
    begin: Callable[[Fleet, TargetPlacement, VmPlacement], None]
    end: Callable[[Fleet, TargetPlacement, VmPlacement], None]


def _clear_target(fleet: Fleet, target: TargetPlacement, vm: VmPlacement
                  ) -> None:
    fleet.set_target_faults(NO_TARGET_FAULTS)


def _target_fault(name: str, everywhere: bool = False, **faults: object
                  ) -> Fault:
    def begin(fleet: Fleet, target: TargetPlacement, vm: VmPlacement) -> None:
        fleet.set_target_faults(faults, None if everywhere else target)
    return Fault(name, begin, _clear_target)


def _link_fault(name: str, everywhere: bool = False, **faults: object
                ) -> Fault:
    def begin(fleet: Fleet, target: TargetPlacement, vm: VmPlacement) -> None:
        fleet.set_link_faults(faults, "" if everywhere else target.name)

    def end(fleet: Fleet, target: TargetPlacement, vm: VmPlacement) -> None:
        fleet.set_link_faults(NO_LINK_FAULTS)
    return Fault(name, begin, end)


def _platform_fault(name: str, **faults: object) -> Fault:
    def begin(fleet: Fleet, target: TargetPlacement, vm: VmPlacement) -> None:
        fleet.set_platform_faults(**faults)

    def end(fleet: Fleet, target: TargetPlacement, vm: VmPlacement) -> None:
        fleet.set_platform_faults(**NO_PLATFORM_FAULTS)
    return Fault(name, begin, end)


def _kill_vm(fleet: Fleet, target: TargetPlacement, vm: VmPlacement) -> None:
    if vm.name in fleet.processes:
        kill(fleet, vm)


def _restart_vm(fleet: Fleet, target: TargetPlacement, vm: VmPlacement) -> None:
    if vm.name not in fleet.processes:
        fleet.start_vm(vm)


def _pause_vm(fleet: Fleet, target: TargetPlacement, vm: VmPlacement) -> None:
    if vm.name in fleet.processes:
        fleet.processes[vm.name].signal(signal.SIGSTOP)


def _resume_vm(fleet: Fleet, target: TargetPlacement, vm: VmPlacement) -> None:
    if vm.name in fleet.processes:
        fleet.processes[vm.name].signal(signal.SIGCONT)


def _stop_vm(fleet: Fleet, target: TargetPlacement, vm: VmPlacement) -> None:
    if vm.name in fleet.processes:
        fleet.processes[vm.name].signal(signal.SIGTERM)


def _replace_vm(fleet: Fleet, target: TargetPlacement, vm: VmPlacement) -> None:
    if vm.name in fleet.processes:
        status = fleet.processes.pop(vm.name).wait()
        if status != 0:
            fleet.failures.append(f"{vm.name} exited with status {status}")
        fleet.start_vm(vm)


FAULTS = {fault.name: fault for fault in (
    _target_fault("truncate", True, truncate=True, share=0.1),
    _target_fault("surplus", True, surplus=True, share=0.1),
    _target_fault("two_lengths", True, two_lengths=True, share=0.1),
    _target_fault("fail_fast", fail_fast="error"),
    _target_fault("reset_calls", True, fail_fast="reset", share=0.1),
    _target_fault("refuse_after_body", True, refuse_after_body=True,
                  share=0.2),
    _target_fault("close_idle", True, close_idle=True, share=0.2),
    _target_fault("late_answers", True, late_ms=395, share=1),
    _target_fault("straggle", straggle=20),
    _target_fault("freeze", freeze=True),
    _target_fault("drain", drain=True),
    _target_fault("shed", True, shed_above=0),
    _target_fault("closed_listener", closed_listener=True),
    _link_fault("links_reset", True, reset=True),
    _link_fault("link_black_hole", hold_up=True, hold_down=True),
    _link_fault("link_up_only", hold_down=True),
    _link_fault("link_down_only", hold_up=True),
    _link_fault("links_half_open", True, half_open=True),
    _link_fault("link_refuses", refuse=True, reset=True),
    _platform_fault("platform_down", down=True),
    _platform_fault("platform_black_hole", black_hole=True),
    _platform_fault("platform_slow", slow_ms=900),
    Fault("kill_vm", _kill_vm, _restart_vm),
    Fault("pause_vm", _pause_vm, _resume_vm),
    Fault("stop_vm", _stop_vm, _replace_vm),
)}


def inject_faults(fleet: Fleet, names: tuple[str, ...],
                  random_source: random.Random, seconds: float) -> None:
    """Begins the faults one after the other, waits, and ends them in the same
    order. Each affects a random target and VM."""
    chosen = [(FAULTS[name], random_source.choice(fleet.targets),
               random_source.choice(fleet.vms)) for name in names]
    for fault, target, vm in chosen:
        fault.begin(fleet, target, vm)
        time.sleep(0.1)
    time.sleep(seconds)
    for fault, target, vm in chosen:
        fault.end(fleet, target, vm)
