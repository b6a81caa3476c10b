"""A small deployment on loopback addresses: gateways as separate processes,
started by the command of the deploy file with settings from its template; a
store, backends and clients in this process."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform" / "soak"))

import http_messages as http  # noqa: E402
from store import Store  # noqa: E402

import template  # noqa: E402

# A loopback address of its own, so that scripts that run side by side don't
# take each other's ports.
HOST = ".".join(["127", *(str(random.randint(2, 250)) for _ in range(3))])
READY_S = 20.0
SETTINGS_PATH = "/etc/anvilturn/settings.yaml"
# Whether the disruption takes place; the same run without it must pass.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Exit statuses of a case's program; run.sh turns them into those of a case, so
# that a program that fails on the way does not count as a broken rule.
HELD, BROKEN, NOT_RUN = 0, 10, 2

_taken: set[int] = set()


class CaseError(RuntimeError):
    """The case can't run."""


def free_address() -> str:
    """Returns a loopback address with a port that is free, below the range
    from which outgoing connections take theirs."""
    for _ in range(1000):
        port = random.randint(20000, 32000)
        if port in _taken:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _taken.add(port)
        return f"{HOST}:{port}"
    raise CaseError("no free port")


class Record:
    """What was sent, answered and run, also as lines of record.txt."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()
        self.runs: dict[str, list[str]] = {}

    def write(self, event: str, attempt: str, who: str, detail: str) -> None:
        at = time.monotonic() - self._began
        self._file.write(f"{at:8.3f} s  {event:12} {attempt:18} {who:12} "
                         f"{detail}\n")

    def conclude(self, text: str) -> None:
        print(text)
        self._file.write(text + "\n")
        self._file.flush()


class Gateway:
    """One process of the project."""

    def __init__(self, number: int, zone: str, folder: pathlib.Path) -> None:
        self.name = f"edge-{zone}-{number}"
        self.zone = zone
        self.front = free_address()
        self.readiness = free_address()
        self.control = free_address()
        self.port = int(free_address().rsplit(":", 1)[1])
        self._folder = folder
        self.process: subprocess.Popen | None = None
        # Whether a process of its own collects the log, by a pipe.
        self.has_collector = False
        self.collector: subprocess.Popen | None = None

    def start(self, store: str, seeds: list[str], bounds: dict) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        fields = {
            "node": self.name, "zone": self.zone, "ip": HOST,
            "seed_nodes": seeds, "port_range": [self.port, self.port],
            "listen": {"front": self.front, "control": self.control,
                       "readiness_addr": self.readiness},
            "platform": {"address": store}, "heartbeat_ms": 1500,
            "bounds": bounds}
        settings = self._folder / f"{self.name}.yaml"
        settings.write_text(template.render(
            (ROOT / role["template"]).read_text(), [fields]))
        command = role["run"].replace(SETTINGS_PATH, str(settings)).split()
        with (self._folder / f"{self.name}.log").open("ab") as log:
            output = log
            if self.has_collector:
                self.collector = subprocess.Popen(
                    ["cat"], stdin=subprocess.PIPE, stdout=log)
                output = self.collector.stdin
            self.process = subprocess.Popen(
                command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=output,
                stderr=output,
                env={"PATH": os.environ.get("PATH", ""),
                     "ANVILTURN_NODE_FILE": str(settings)})
            if self.has_collector:
                output.close()

    async def is_ready(self) -> bool:
        try:
            answer = await http.exchange(self.readiness, http.encode(
                "GET /-/readyz HTTP/1.1", {"Host": self.readiness}), 1.0)
            return answer.status == 200
        except (*http.CONNECTION_ERRORS, asyncio.TimeoutError):
            return False

    def stop(self) -> None:
        for process in (self.process, self.collector):
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()


@dataclasses.dataclass
class Rule:
    """One route of the manifest."""

    prefix: str
    service: str
    idempotent: bool
    timeout_ms: int
    objective_ms: int = 400


# How long the store takes for an answer.
STORE_ANSWER_S = 0.004
# The bounds of the sheet on which the cases are laid.
BOUNDS = {"grace_s": 6, "retry_ratio": 0.2}
ROUTE_HOST = "hire.example"


class Deployment:
    """Use it as an asynchronous context manager."""

    def __init__(self, folder: pathlib.Path, zones: list[str],
                 rules: list[Rule]) -> None:
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory(prefix="anvilturn-case-")
        self.folder = pathlib.Path(self._temporary.name)
        self.store = Store(random.Random(1))
        self.store_address = free_address()
        self.gateways = [Gateway(i + 1, zone, self.folder)
                         for i, zone in enumerate(zones)]
        self.backends: list = []
        self._rules = rules

    async def __aenter__(self) -> "Deployment":
        self.store.faults.slow_s = STORE_ANSWER_S
        await self.store.start(self.store_address)
        await self.store.put("config", "main", self._manifest())
        return self

    async def __aexit__(self, *_: object) -> None:
        for gateway in self.gateways:
            gateway.stop()
        for backend in self.backends:
            backend.stop()
        self.store.stop()
        self._temporary.cleanup()

    async def add(self, backend) -> None:
        await backend.start()
        self.backends.append(backend)

    def start_gateway(self, gateway: Gateway) -> None:
        """Starts a process, also once more after its end."""
        seeds = [g.control for g in self.gateways[:3]]
        gateway.start(self.store_address, seeds, BOUNDS)

    async def start_gateways(self) -> None:
        for gateway in self.gateways:
            self.start_gateway(gateway)
        end = time.monotonic() + READY_S
        while time.monotonic() < end:
            if all([await g.is_ready() for g in self.gateways]):
                return
            await asyncio.sleep(0.1)
        raise CaseError("the gateways did not become ready")

    def _manifest(self) -> dict:
        return {
            "version": "00000007",
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "listeners": [{"host": ROUTE_HOST, "routing_rules": [
                {"name": f"r{rule.prefix.strip('/')}",
                 "type": "idempotent" if rule.idempotent else "non_idempotent",
                 "target_latency_ms": rule.objective_ms, "priority": 1,
                 "match": {"path_prefix": rule.prefix},
                 "action": {"service": rule.service,
                            "timeout_ms": rule.timeout_ms, "max_attempts": 2}}
                for rule in self._rules]}],
            "clusters": [
                {"name": name, "health_path": "/healthz", "max_conns": 328,
                 "protocol": "h1", "tls": False}
                for name in sorted({r.service for r in self._rules})]}


@dataclasses.dataclass
class Attempt:
    """One client attempt and what the client saw."""

    name: str
    sent_at: float
    # 0 while there is no complete answer.
    status: int = 0
    answer: http.Message | None = None
    took_s: float = 0.0
    end: str = "no answer"


class Client:
    """Sends requests with a body or without, on one kept connection or on a
    new one each time."""

    def __init__(self, record: Record, gateway: Gateway, keeps: bool) -> None:
        self._record = record
        self._gateway = gateway
        self._keeps = keeps
        self._streams: tuple | None = None

    async def send(self, method: str, path: str, name: str, deadline_ms: int,
                   body: bytes = b"") -> Attempt:
        """Sends one attempt and waits for its answer until the deadline."""
        attempt = Attempt(name, time.monotonic())
        self._record.write("sent", name, self._gateway.name,
                           f"{method} {path}")
        try:
            await asyncio.wait_for(
                self._exchange(attempt, method, path, deadline_ms, body),
                deadline_ms / 1000.0)
        except asyncio.TimeoutError:
            attempt.end = "no answer until the client's time was over"
            self.close()
        except http.CONNECTION_ERRORS as failure:
            attempt.end = f"connection ended: {type(failure).__name__}"
            self.close()
        attempt.took_s = time.monotonic() - attempt.sent_at
        self._record.write("answered" if attempt.status else "unanswered",
                           name, self._gateway.name, self._describe(attempt))
        return attempt

    @staticmethod
    def _describe(attempt: Attempt) -> str:
        if not attempt.status:
            return f"{attempt.end} after {attempt.took_s:.3f} s"
        signature = attempt.answer.header("Anvilturn-Backend-Signature")
        return (f"{attempt.status} after {attempt.took_s:.3f} s, signature "
                f"{signature or 'none'}, "
                f"Retry-After {attempt.answer.header('Retry-After') or 'none'}")

    async def _exchange(self, attempt: Attempt, method: str, path: str,
                        deadline_ms: int, body: bytes) -> None:
        if self._streams is None:
            self._streams = await asyncio.open_connection(
                *http.split_address(self._gateway.front))
        reader, writer = self._streams
        writer.write(http.encode(f"{method} {path} HTTP/1.1", {
            "Host": ROUTE_HOST, "Anvilturn-Attempt-Id": attempt.name,
            "Anvilturn-Deadline-Ms": str(deadline_ms)}, body))
        await writer.drain()
        answer = await http.read_head(reader)
        await http.read_body(reader, answer, ends_with_connection=True)
        if not answer.complete:
            raise EOFError("the body ended early")
        attempt.answer = answer
        attempt.status = answer.status
        attempt.end = "answered"
        if not self._keeps or answer.header("Connection") == "close":
            self.close()

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None


def attempt_id() -> str:
    return f"{random.getrandbits(64):016x}"


def count_ends(world: Deployment, attempts: list[Attempt]) -> None:
    """Records how the attempts ended."""
    ends: dict = {}
    for attempt in attempts:
        key = attempt.status or attempt.end
        ends[key] = ends.get(key, 0) + 1
    world.record.conclude(f"{len(attempts)} requests: {ends}")


# Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)


def judge_refused(world: Deployment, attempts: list[Attempt]) -> int:
    """Checks REFUSED and TWICE for requests that aren't idempotent."""
    count_ends(world, attempts)
    runs = world.record.runs
    refused = [a for a in attempts if a.status in PROMISES]
    have_run = [a for a in refused if a.name in runs]
    twice = [a for a in attempts if len(runs.get(a.name, [])) > 1]
    for attempt in have_run:
        world.record.conclude(f"{attempt.name} was answered {attempt.status} "
                              f"and ran on {', '.join(runs[attempt.name])}")
    for attempt in twice:
        world.record.conclude(f"{attempt.name} ran more than once")
    world.record.conclude(
        f"{len(refused)} got a promise that they have not run, "
        f"{len(have_run)} of them have run; {len(twice)} ran more than once")
    is_broken = bool(have_run or twice)
    world.record.conclude("REFUSED is broken" if is_broken
                          else "REFUSED holds")
    return BROKEN if is_broken else HELD


def run_case(case, limit_s: float = 110.0) -> None:
    """Runs the coroutine function and exits with its result."""
    async def limited() -> int:
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(case(), limit_s)
    try:
        sys.exit(asyncio.run(limited()))
    except (CaseError, OSError, asyncio.TimeoutError,
            asyncio.CancelledError) as failure:
        print(f"the case could not run: {failure!r}", file=sys.stderr)
        sys.exit(NOT_RUN)
