"""A stand-in for the application server beside a sidecar: tells it of itself, and records all arrivals."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from zlib import crc32

from rehearsal.mesh import wire
from rehearsal.mesh.field import Machine
from rehearsal.mesh.judge import Arrival, History

SLOTS = 4
QUEUE = 8  # that wait for a slot; more are turned away
WORK_S = 0.008
ERRS, SPOILS = 0.01, 0.005  # parts of the runs that end with its own 500, and that break off their answer
BEAT_S = 0.4
DRAIN_S = 0.3
NOT_RUN = {"X-Not-Run": "1"}


def summary(method: str, target: str, body: bytes) -> str:
    """A request in short, by which it can be told that it came unchanged."""
    return f"{method} {target} {len(body)} {crc32(body):08x}"


class Server:
    """One server; each start is a life with an id of its own."""

    def __init__(
        self,
        machine: Machine,
        history: History,
        draw: random.Random,
        work_s: float = WORK_S,
        errs: bool = True,
        service: str = "",
    ) -> None:
        """`work_s`: what a run takes, about. `errs`: whether some runs fail or break off. `service`: what it
        belongs to, by default that of the machine."""
        self.machine, self._history, self._draw = machine, history, draw
        self._work_s, self._errs = work_s, errs
        self.service = service or machine.service
        self.instance = ""
        self.acknowledged = 0  # heartbeats of this life
        self._state = "ready"
        self._free = asyncio.Semaphore(SLOTS)
        self._waiting = self._count = self._call = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begin a life."""
        self.instance = f"i-{self._draw.getrandbits(32):08x}"
        self._state, self._call, self.acknowledged = "ready", 0, 0
        host, _, port = self.machine.at("app").rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=wire.MOST_HEAD)
        self._beats = asyncio.create_task(self._beat())

    @property
    def path(self) -> str:
        """Where it tells of itself."""
        return f"/-/instances/{self.instance}"

    def heartbeat_body(self) -> bytes:
        """The body of its next heartbeat."""
        self._call += 1
        told = {
            "service": self.service,
            "address": self.machine.at("app"),
            "revision": "v1",
            "slots": SLOTS,
            "state": self._state,
            "cold_left": "0ms",
            "call_seq": self._call,
        }
        return json.dumps(told).encode()

    async def beat(self) -> bool:
        """Tell the sidecar; whether it has acknowledged."""
        acknowledged = await self._tell("PUT", self.heartbeat_body())
        self.acknowledged += acknowledged
        return acknowledged

    async def _tell(self, method: str, body: bytes = b"") -> bool:
        answer = await wire.ask(self.machine.at("control"), method, self.path, body)
        return answer is not None and answer.status == 200

    async def _beat(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(BEAT_S)

    async def leave(self) -> None:
        """A planned end: say so, serve on for a while, say goodbye."""
        self._state = "draining"
        if await self.beat():
            await asyncio.sleep(DRAIN_S)
        await self._tell("DELETE")
        await self.stop()

    async def fall_silent(self) -> None:
        """Send no more heartbeats, and serve on."""
        if self._beats is not None:
            self._beats.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._beats
            self._beats = None

    async def stop(self) -> None:
        """End at once."""
        await self.fall_silent()
        if self._server is not None:
            self._server.close()
        for writer in list(self._open):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            while (asked := await wire.read(reader)) is not None:
                raw, keep = await self._answer(asked)
                writer.write(raw)
                await writer.drain()
                if not keep:
                    break
        except (wire.Broken, OSError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    def _refused(self, arrival: Arrival, status: int) -> tuple[bytes, bool]:
        arrival.ran, arrival.status = False, status
        headers = {"X-Attempt-Id": arrival.attempt, "X-Instance-Id": self.instance, **NOT_RUN}
        return wire.answer(status, headers, b"not run\n"), True

    async def _answer(self, asked: wire.Message) -> tuple[bytes, bool]:
        """The bytes of an answer, and whether the connection goes on after them."""
        now = time.monotonic()
        method, target, _ = asked.start.split(" ")
        if target == "/health":
            status = 200 if self._state == "ready" else 503
            return wire.answer(status, {"X-Instance-Id": self.instance}, b""), True
        arrival = Arrival(
            asked.header("x-attempt-id"),
            f"{self.machine.name}/{self.instance}",
            summary(method, target, asked.body),
            asked.header("x-caller-service"),
            asked.header("x-operation-key"),
            now,
            ran=False,
        )
        self._history.arrivals.append(arrival)
        if not arrival.attempt:
            return self._refused(arrival, 400)
        if asked.header("x-expect-instance") not in ("", self.instance):
            return self._refused(arrival, 421)
        if self._free.locked() and self._waiting >= QUEUE:
            return self._refused(arrival, 503)
        until = now + float(asked.header("x-deadline-ms") or 1000) / 1000
        self._waiting += 1
        await self._free.acquire()
        self._waiting -= 1
        try:
            if time.monotonic() >= until:
                return self._refused(arrival, 503)
            arrival.ran, arrival.at = True, time.monotonic()
            return await self._work(arrival, until)
        finally:
            self._free.release()

    async def _work(self, arrival: Arrival, until: float) -> tuple[bytes, bool]:
        draw = self._draw
        self._count += 1
        takes = draw.lognormvariate(0.0, 0.6) * self._work_s
        await asyncio.sleep(min(takes, max(0.0, until - time.monotonic())))
        echo = {"X-Attempt-Id": arrival.attempt}
        if time.monotonic() >= until:
            arrival.status = 504
            return wire.answer(504, echo, b"late\n"), True
        chance = draw.random() if self._errs else 1.0
        if chance < ERRS:
            arrival.status = 500
            return wire.answer(500, echo, b"error\n"), True
        arrival.body = b"%s ran as %d\n" % (arrival.attempt.encode(), self._count)
        arrival.body += draw.randbytes(draw.choice((0, 100, 3000, 20_000)))
        arrival.seal = f"{self.instance}.{self._count}.{crc32(arrival.body):08x}"
        raw = wire.answer(200, {**echo, "X-Server-Seal": arrival.seal}, arrival.body)
        if chance < ERRS + SPOILS:
            return raw[:-8], False
        return raw, True
