"""A backend that behaves soundly: it runs a request once, echoes its id, signs
its answer, tells its load and stops work when the connection closes. Cases
derive from it and override the one thing that their disruption changes."""

from __future__ import annotations

import asyncio
import hashlib
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]
                       / "platform" / "soak"))

import http_messages as http  # noqa: E402

HEALTH_PATH = "/healthz"
SLOTS = 6
QUEUE_LIMIT = 12
HEARTBEAT_S = 1.5
CLOSE_CHECK_S = 0.005


def body_for(attempt: str) -> bytes:
    return (f"answer to {attempt} "
            + hashlib.sha256(attempt.encode()).hexdigest()).encode()


def signature_for(attempt: str, backend: str) -> str:
    return hashlib.sha256(f"{backend}/{attempt}".encode()).hexdigest()[:24]


class Backend:
    """One backend at a loopback address, registered in the store."""

    def __init__(self, name: str, service: str, zone: str, address: str,
                 work_s: float, store, record) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.work_s = work_s
        self.store = store
        self.record = record
        self.state = "ready"
        self.busy = 0
        self.waiting = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await http.serve(self.address, self._serve)
        await self._register()
        self._heartbeat = asyncio.create_task(self._beat())

    def stop(self) -> None:
        self._heartbeat.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self._register()

    async def _register(self) -> None:
        self._sequence += 1
        await self.store.put("servers", self.name, {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "max_concurrency": SLOTS,
            "state": self.state, "warmup_left_ms": 0, "born": self._born,
            "sequence": self._sequence})

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while await self._exchange(reader, writer):
                pass
        finally:
            self._writers.discard(writer)

    async def _exchange(self, reader, writer) -> bool:
        request = await http.read_head(reader)
        if request.start_line[1] == HEALTH_PATH:
            return await self.answer_health(request, reader, writer)
        await http.read_body(reader, request)
        if not request.complete:
            return False
        return await self.answer(request, reader, writer)

    def headers(self, attempt: str = "") -> dict[str, str]:
        """Header fields of an answer; to a health check it has no id, because
        the check has none."""
        result = {"Anvilturn-Instance-Id": self.name,
                  "Anvilturn-Backend-Load":
                      f"{self.busy},{self.waiting},{SLOTS},100"}
        if attempt:
            result["Anvilturn-Attempt-Id"] = attempt
        return result

    def is_healthy(self) -> bool:
        return self.state == "ready"

    async def answer_health(self, request, reader, writer) -> bool:
        await self.send(writer, self.health_answer())
        return True

    def health_answer(self) -> bytes:
        line = "200 OK" if self.is_healthy() else "503 Service Unavailable"
        return http.encode(f"HTTP/1.1 {line}", self.headers())

    def refusal(self, request) -> str:
        expected = request.header("Anvilturn-Expect-Instance")
        if expected and expected != self.name:
            return "421 Misdirected Request"
        if not request.header("Anvilturn-Attempt-Id"):
            return "400 Bad Request"
        if self.waiting >= QUEUE_LIMIT:
            return "503 Service Unavailable"
        return ""

    async def answer(self, request, reader, writer) -> bool:
        """Answers a request; returns whether the connection goes on."""
        attempt = request.header("Anvilturn-Attempt-Id")
        refusal = self.refusal(request)
        if refusal:
            await self.send(writer, http.encode(
                f"HTTP/1.1 {refusal}", {**self.headers(attempt),
                                        "Anvilturn-Not-Executed": "1"}))
            return True
        if not await self.run(request, reader):
            return False
        await self.send(writer, self.success(attempt))
        return True

    def success(self, attempt: str) -> bytes:
        return http.encode("HTTP/1.1 200 OK", {
            **self.headers(attempt),
            "Anvilturn-Backend-Signature": signature_for(attempt, self.name)},
            body_for(attempt))

    async def run(self, request, reader) -> bool:
        """Runs a request. Returns False if its connection closed meanwhile."""
        attempt = request.header("Anvilturn-Attempt-Id")
        left_s = float(request.header("Anvilturn-Deadline-Ms") or 1e9) / 1000.0
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        self.busy += 1
        self.record.write("run", attempt, self.name,
                          f"{request.start_line[0]} {request.start_line[1]}")
        self.record.runs.setdefault(attempt, []).append(self.name)
        try:
            end = time.monotonic() + min(self.work_s, left_s)
            while time.monotonic() < end:
                if reader.at_eof():
                    self.record.write("run-dropped", attempt, self.name, "")
                    return False
                await asyncio.sleep(CLOSE_CHECK_S)
        finally:
            self.busy -= 1
            self._slots.release()
        self.record.write("run-ended", attempt, self.name, "")
        return True

    async def send(self, writer, answer: bytes) -> None:
        writer.write(answer)
        await writer.drain()
