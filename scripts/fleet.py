"""Starts and stops an entire system on loopback: a fake platform, the targets
of a deployment and a number of VMs, each on its own address.

    with Fleet(HANOI, vm_count=3) as fleet:
        fleet.start()
        figures = fleet.load(plan)

All processes are stopped, by their ids, when the block ends.
"""

from __future__ import annotations

import dataclasses
import functools
import http.client
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from types import TracebackType

import deployments
from deployments import Deployment, TargetPlacement, VmPlacement

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build" / "release"
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 45.0
CALL_TIMEOUT_S = 5.0
# First three octets of the addresses; a fleet uses one half of the /24 network.
NETWORK = os.environ.get("ANVILTURN_NETWORK", "127.0.21")
ADDRESSES_PER_FLEET = 128
# An address that no fleet uses; binding it claims the network.
CLAIMED_HOST = 255
CLAIMED_PORT = 47001

Figures = dict[str, float]


class FleetError(RuntimeError):
    """A process or a call of the fleet failed."""


def call(address: str, method: str, path: str, body: str = "",
         timeout: float = CALL_TIMEOUT_S) -> tuple[int, str]:
    """Makes one HTTP call; raises OSError if there is no valid response."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body or None)
        response = connection.getresponse()
        return response.status, response.read().decode()
    except http.client.HTTPException as failure:
        raise OSError(str(failure)) from failure
    finally:
        connection.close()


def wait_until(condition, what: str, timeout: float = READY_TIMEOUT_S) -> float:
    """Polls until the condition holds; returns the seconds that it took. Raises
    FleetError after the timeout."""
    start = time.monotonic()
    while time.monotonic() - start < timeout:
        try:
            if condition():
                return time.monotonic() - start
        except OSError:
            pass
        time.sleep(0.02)
    raise FleetError(f"timed out after {timeout} s waiting until {what}")


def parse_figures(text: str) -> Figures:
    """Parses "figure=NAME value=V unit=U" lines; ignores all others."""
    figures: Figures = {}
    for line in text.splitlines():
        if line.startswith("figure="):
            pairs = dict(part.split("=", 1) for part in line.split())
            figures[pairs["figure"]] = float(pairs["value"])
    return figures


class IdleMeter:
    """Measures the share of the machine's processor time that is idle."""

    def __init__(self) -> None:
        self._start = self._read()

    @staticmethod
    def _read() -> tuple[int, int]:
        fields = pathlib.Path("/proc/stat").read_text().splitlines()[0].split()
        times = [int(f) for f in fields[1:9]]
        return times[3] + times[4], sum(times)

    def share(self) -> float:
        """Returns the idle share since the construction of this meter."""
        idle, total = self._read()
        return (idle - self._start[0]) / max(1, total - self._start[1])


@functools.lru_cache(maxsize=None)
def claim_network(network: str) -> socket.socket:
    """Claims the network until this process ends, since VMs of two fleets on
    one network would join each other and distort the figures of both. Raises
    FleetError if another process has claimed it."""
    claim = socket.socket()
    try:
        claim.bind((f"{network}.{CLAIMED_HOST}", CLAIMED_PORT))
    except OSError as failure:
        raise FleetError(
            f"network {network} is in use by another fleet; set "
            "ANVILTURN_NETWORK to another network, such as 127.0.22"
        ) from failure
    return claim


@dataclasses.dataclass
class Usage:
    """The resources that a process has used since its start."""

    cpu_seconds: float
    resident_mb: float


class Process:
    """One process of the fleet, in its own session."""

    def __init__(self, name: str, command: list[str],
                 folder: pathlib.Path) -> None:
        self.name = name
        self.log_path = folder / f"{name}.log"
        with self.log_path.open("ab") as log:
            self._child = subprocess.Popen(command, stdout=log, stderr=log,
                                           stdin=subprocess.DEVNULL,
                                           start_new_session=True)

    @property
    def pid(self) -> int:
        return self._child.pid

    def is_running(self) -> bool:
        return self._child.poll() is None

    def signal(self, number: signal.Signals) -> None:
        if self.is_running():
            self._child.send_signal(number)

    def kill(self) -> None:
        """Kills the process, so that it cannot clean up."""
        self._child.kill()
        self._child.wait()

    def wait(self, timeout: float = STOP_TIMEOUT_S) -> int:
        """Waits for the process to exit and returns its status; kills it after
        the timeout."""
        try:
            return self._child.wait(timeout)
        except subprocess.TimeoutExpired:
            self._child.kill()
            return self._child.wait()

    def usage(self) -> Usage:
        stat_text = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        # The process name, in parentheses, may contain spaces.
        fields_after_name = stat_text.rsplit(")", 1)[1].split()
        ticks = int(fields_after_name[11]) + int(fields_after_name[12])
        pages = int(fields_after_name[21])
        return Usage(ticks / os.sysconf("SC_CLK_TCK"),
                     pages * os.sysconf("SC_PAGE_SIZE") / 1e6)


@dataclasses.dataclass(frozen=True)
class FleetOptions:
    """The options of a fleet."""

    threads_per_vm: int = 1
    policy: str = "home_dispatch"
    # Additional fields of each service in the first release note.
    service_fields: dict = dataclasses.field(default_factory=dict)
    target_options: tuple[str, ...] = ()
    platform_options: tuple[str, ...] = ()
    # Runs a fault_relay in front of each target and between VMs and platform.
    with_relay: bool = False
    balancer_lag_ms: int = 1000
    shutdown_deadline_ms: int = 15000
    log_level: str = "info"


class Fleet:
    """A deployment on loopback addresses. From first_host on, the first address
    is the platform's and the second that of the control interfaces of targets
    and relay; those of the targets start at the 10th, those of the VMs at the
    60th."""

    def __init__(self, deployment: Deployment, vm_count: int,
                 options: FleetOptions = FleetOptions(),
                 build: pathlib.Path = BUILD, first_host: int = 0) -> None:
        claim_network(NETWORK)
        self.deployment = deployment
        self.options = options
        self.platform = f"{NETWORK}.{first_host + 1}:9000"
        self.targets = deployments.place_targets(deployment, NETWORK,
                                                 first_host + 10)
        self.vms = deployments.place_vms(deployment, NETWORK, vm_count,
                                         first_host + 60)
        self.controls = {s.name: f"{NETWORK}.{first_host + 2}:{9101 + i}"
                         for i, s in enumerate(deployment.services)}
        self.relay_control = f"{NETWORK}.{first_host + 2}:9100"
        self.version = 0
        self.processes: dict[str, Process] = {}
        self.failures: list[str] = []
        self.build = build
        self._bin = build / "bin"
        self._folder = tempfile.TemporaryDirectory(prefix="anvilturn-")
        self.folder = pathlib.Path(self._folder.name)
        self._runs = 0

    def __enter__(self) -> Fleet:
        return self

    def __exit__(self, kind: type[BaseException] | None,
                 error: BaseException | None,
                 trace: TracebackType | None) -> None:
        if kind is not None and kind is not SystemExit:
            self.print_logs()
        self.stop()
        self._folder.cleanup()

    # Starting and stopping

    def start(self) -> None:
        """Starts all processes, applies the first release note and waits until
        the VMs are ready."""
        self.start_platform()
        self.start_targets()
        if self.options.with_relay:
            self.start_relay()
        for vm in self.vms:
            self.start_vm(vm)
        self.publish_vms(self.vms)
        self.wait_listening()
        self.apply_note(deployments.first_note(
            self.deployment, [self.relayed(t) for t in self.targets],
            self.options.policy, **self.options.service_fields))
        self.wait_ready()

    def start_platform(self) -> None:
        self._start("platform", ["fake_platform", "--listen", self.platform,
                                 *self.options.platform_options])
        wait_until(lambda: call(self.platform, "GET", "/v1/vms")[0] > 0,
                   "the platform answers")

    def start_targets(self) -> None:
        """Starts one process for each service."""
        for service, control in self.controls.items():
            listen = ",".join(t.address for t in self.targets_of(service))
            self._start(f"targets-{service}",
                        ["fake_target", "--listen", listen, "--control",
                         control, "--name", service,
                         *self.options.target_options])
        for control in self.controls.values():
            wait_until(
                lambda c=control: call(c, "GET", "/control/counts")[0] == 200,
                f"targets of {control} answer")

    def start_relay(self) -> None:
        """Starts the relay, with one link named after each target and one named
        "platform-VM" for each VM."""
        links = [f"{t.name}={self.relayed(t).address}={t.address}"
                 for t in self.targets]
        links += [f"platform-{vm.name}={self.platform_of(vm)}={self.platform}"
                  for vm in self.vms]
        self._start("relay", ["fault_relay", "--links", ",".join(links),
                              "--control", self.relay_control])
        wait_until(lambda: call(self.relay_control, "GET", "/control/counts"
                                )[0] == 200, "the relay answers")

    def relayed(self, target: TargetPlacement) -> TargetPlacement:
        """Returns the target with the address at which VMs reach it."""
        if not self.options.with_relay:
            return target
        return dataclasses.replace(
            target, address=target.address.replace(":8000", ":8500"))

    def platform_of(self, vm: VmPlacement) -> str:
        """Returns the address at which a VM reaches the platform."""
        if not self.options.with_relay:
            return self.platform
        host = self.platform.split(":", 1)[0]
        return f"{host}:{9500 + self.vms.index(vm)}"

    def start_vm(self, vm: VmPlacement) -> None:
        settings = self.folder / f"{vm.name}.yaml"
        settings.write_text(
            deployments.vm_settings(self.deployment, vm, self.vms,
                                    self.platform_of(vm),
                                    self.options.threads_per_vm,
                                    self.options.log_level)
            + f"shutdown: {{balancer_lag_ms: {self.options.balancer_lag_ms}, "
            f"deadline_ms: {self.options.shutdown_deadline_ms}}}\n")
        self._start(vm.name, ["anvilturnd", "--settings", str(settings)])

    def stop_vm(self, vm: VmPlacement) -> int:
        """Stops a VM gracefully; returns its exit status."""
        process = self.processes.pop(vm.name)
        process.signal(signal.SIGTERM)
        return process.wait()

    def stop(self) -> None:
        """Stops VMs first, then targets and platform. Adds processes that had
        exited before, or exit with a status other than 0, to failures."""
        vm_names = {vm.name for vm in self.vms}
        for chosen in (vm_names, set(self.processes) - vm_names):
            group = [self.processes.pop(name) for name in sorted(chosen)
                     if name in self.processes]
            for process in group:
                if not process.is_running():
                    self.failures.append(
                        f"{process.name} had exited before the stop")
                process.signal(signal.SIGCONT)
                process.signal(signal.SIGTERM)
            for process in group:
                status = process.wait()
                if status != 0:
                    self.failures.append(
                        f"{process.name} exited with status {status}")
        for failure in self.failures:
            print(f"event=stop_failed detail=\"{failure}\"", file=sys.stderr)

    # Membership, readiness and releases

    def publish_vms(self, vms: list[VmPlacement],
                    leaving: frozenset[str] = frozenset()) -> None:
        """Sets the platform's list of VMs. The platform serves it after a lag,
        see its option --list-lag-ms."""
        entries = [{"name": vm.name, "failure_domain": vm.domain,
                    "peer_address": vm.peers,
                    "state": "leaving" if vm.name in leaving else "live"}
                   for vm in vms]
        self._post_control(self.platform, "/control/vms",
                           json.dumps({"vms": entries}))

    def wait_listening(self) -> None:
        for vm in self.vms:
            wait_until(lambda v=vm: call(v.operators, "GET", "/v1/dump")[0] > 0,
                       f"{vm.name} listens")

    def is_ready(self, vm: VmPlacement) -> bool:
        return call(vm.callers, "GET", "/.anvilturn/ready")[0] == 200

    def wait_ready(self, vms: list[VmPlacement] | None = None) -> None:
        for vm in vms or self.vms:
            wait_until(lambda v=vm: self.is_ready(v), f"{vm.name} is ready")

    def apply_note(self, note: str, vm: VmPlacement | None = None) -> None:
        """Applies a release note through a VM; raises FleetError if it is
        refused. try_note() returns the result instead."""
        result = self.try_note(note, vm)
        if result.returncode != 0:
            raise FleetError(
                f"release apply failed: {result.stdout}{result.stderr}")
        self.version += 1

    def try_note(self, note: str, vm: VmPlacement | None = None
                 ) -> subprocess.CompletedProcess[str]:
        """Applies a release note through a VM; returns the result of
        anvilturnctl."""
        self._runs += 1
        path = self.folder / f"note-{self._runs}.yaml"
        path.write_text(note)
        return subprocess.run(
            [str(self._bin / "anvilturnctl"), "--vm",
             (vm or self.vms[0]).operators, "release", "apply", str(path)],
            capture_output=True, text=True, timeout=60, check=False)

    def version_at(self, vm: VmPlacement) -> int:
        """Returns the version of the release in force at a VM; 0 for none."""
        status, text = call(vm.operators, "GET", "/v1/release")
        if status != 200:
            return 0
        for line in text.splitlines():
            key, _, value = line.strip().partition(":")
            if key == "version":
                return int(value)
        return 0

    def wait_in_force(self, vms: list[VmPlacement] | None = None) -> float:
        """Waits until the newest version is in force at all VMs; returns the
        seconds that it took."""
        return wait_until(
            lambda: all(self.version_at(v) >= self.version
                        for v in vms or self.vms),
            f"version {self.version} is in force everywhere")

    def use_policy(self, policy: str, **fields: object) -> None:
        """Changes the choice policy of all services and waits until all VMs
        apply it."""
        note = deployments.release_note(
            f"policy-{self.version + 1}", self.version, policy, "change",
            deployments.service_items(
                self.deployment, policy,
                **{**self.options.service_fields, **fields}))
        self.apply_note(note)
        self.wait_in_force()

    def alive_peers(self, vm: VmPlacement) -> set[str]:
        """Returns the names of the VMs that a VM considers alive."""
        text = call(vm.operators, "GET", "/v1/vms")[1]
        return set(re.findall(
            r"- name: (\S+)\n\s+failure_domain: \S+\n\s+condition: alive",
            text))

    # Faults and counts

    def set_target_faults(self, faults: dict,
                          target: TargetPlacement | None = None) -> None:
        """Sets faults of one target, or of all."""
        for service, control in self.controls.items():
            if target is None or target.service == service:
                name = f"?target={target.name}" if target else ""
                self._post_control(control, f"/control/faults{name}",
                                   json.dumps(faults))

    def set_link_faults(self, faults: dict, link: str = "") -> None:
        """Sets faults of the links with this name, or of all."""
        query = f"?link={link}" if link else ""
        self._post_control(self.relay_control, f"/control/faults{query}",
                           json.dumps(faults))

    def set_platform_faults(self, **faults: object) -> None:
        self._post_control(self.platform, "/control/faults", json.dumps(faults))

    def target_counts(self) -> dict[str, dict[str, str]]:
        """Returns each target's counts, by the name of the target."""
        counts = {}
        for control in self.controls.values():
            for line in call(control, "GET", "/control/counts")[1].splitlines():
                pairs = dict(part.split("=", 1) for part in line.split())
                counts[pairs["target"]] = pairs
        return counts

    def probe_times_ms(self) -> dict[str, list[float]]:
        """Returns the monotonic times of the probes at each target."""
        times: dict[str, list[float]] = {t.name: [] for t in self.targets}
        for control in self.controls.values():
            for line in call(control, "GET", "/control/probes")[1].splitlines():
                name, at = line.split()
                times[name].append(float(at))
        return times

    def platform_counts(self) -> dict[str, float]:
        text = call(self.platform, "GET", "/control/counts")[1]
        return {k: float(v) for k, v in
                (part.split("=", 1) for part in text.split())}

    def reset_counts(self) -> None:
        for control in self.controls.values():
            self._post_control(control, "/control/reset", "")
        self._post_control(self.platform, "/control/reset", "")

    # Load

    def targets_of(self, service: str) -> list[TargetPlacement]:
        return [t for t in self.targets if t.service == service]

    def load(self, plan: dict, *extra: str) -> Figures:
        """Sends the plan's calls to the VMs, waits for their end and returns
        the figures."""
        process = self.start_load(plan, *extra)
        return self.finish_load(process)

    def start_load(self, plan: dict, *extra: str) -> subprocess.Popen[str]:
        """Starts to send the plan's calls to the VMs, or, with the options
        --direct or --central in extra, elsewhere. finish_load() waits for
        them."""
        self._runs += 1
        path = self.folder / f"plan-{self._runs}.yaml"
        path.write_text(json.dumps(plan))
        command = [str(self._bin / "call_load"), "--plan", str(path),
                   "--run", f"r{self._runs}", "--controls",
                   ",".join(self.controls.values()), *extra]
        if not {"--direct", "--central"} & set(extra):
            command += ["--vms", ",".join(vm.callers for vm in self.vms)]
        return subprocess.Popen(command, stdout=subprocess.PIPE,
                                stderr=subprocess.PIPE, text=True)

    def finish_load(self, process: subprocess.Popen[str]) -> Figures:
        """Waits for the calls to end and returns the figures, which include the
        violations."""
        output, errors = process.communicate()
        sys.stderr.write(errors)
        if process.returncode not in (0, 1):
            raise FleetError(
                f"call_load exited with status {process.returncode}")
        return parse_figures(output)

    def central_map(self) -> str:
        """Returns the value of --central: the targets of each service."""
        return ";".join(
            service + "=" + ",".join(t.address
                                     for t in self.targets_of(service))
            for service in self.controls)

    # Helpers

    def print_logs(self, lines: int = 3) -> None:
        """Prints the last lines of each process's log."""
        for log in sorted(self.folder.glob("*.log")):
            for line in log.read_text(errors="replace").splitlines()[-lines:]:
                print(f"{log.stem}: {line}", file=sys.stderr)

    def _start(self, name: str, command: list[str]) -> None:
        path = str(self._bin / command[0])
        self.processes[name] = Process(name, [path, *command[1:]], self.folder)

    def _post_control(self, address: str, path: str, body: str) -> None:
        status, text = call(address, "POST", path, body)
        if status != 200:
            raise FleetError(f"{address}{path}: {status} {text}")


def exit_on_signals() -> None:
    """Raises SystemExit on SIGTERM and SIGINT, so that fleets are stopped."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda n, _: sys.exit(128 + n))
