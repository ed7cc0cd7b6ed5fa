"""A stand-in for the application server beside a sidecar: tells it of itself, and records all arrivals.

A server whose service is divided by key runs a request only while it holds the request's shard key. It is
given keys either by calls at its address or in the answers to its heartbeats (`key_holds.py`).
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from zlib import crc32

from rehearsal.mesh import key_messages, wire
from rehearsal.mesh.field import BY_HEARTBEAT, BY_INVOCATION, HOLD_MAX_S, Machine
from rehearsal.mesh.judge import Arrival, History
from rehearsal.mesh.key_holds import KeyHolds, KeyStates

SLOTS = 4
QUEUE = 8  # that wait for a slot; more are turned away
WORK_S = 0.008
COLD_FACTOR = 3.0  # a run takes this much longer while its key's state isn't there
ERRS, SPOILS = 0.01, 0.005  # parts of the runs that end with its own 500, and that break off their answer
BEAT_S = 0.4
LETTING_GO_BEAT_S = 0.1  # between heartbeats while keys are being let go
LONGEST_ANSWER = 4096  # bytes of an acknowledgement
DRAIN_S = 0.3
NOT_RUN = {"X-Not-Run": "1"}
GRANT_PATH, RELEASE_PATH = "/-/grant", "/-/release"


def summary(method: str, target: str, body: bytes) -> str:
    """A request in short, by which it can be told that it came unchanged."""
    return f"{method} {target} {len(body)} {crc32(body):08x}"


def _is_held(holds: KeyHolds | None, key: int | None) -> bool:
    """Whether a request may start: its key is held, or the service isn't divided by key."""
    return holds is None or key is None or holds.holds(key, time.monotonic())


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
        key_states: KeyStates | None = None,
    ) -> None:
        """`work_s`: what a run takes, about. `errs`: whether some runs fail or break off. `service`: what it
        belongs to, by default that of the machine. `key_states`: what the servers of its service share, where
        that is divided by key."""
        self.machine, self._history, self._draw = machine, history, draw
        self._work_s, self._errs = work_s, errs
        self.service = service or machine.service
        sharding = machine.sharding
        self._grants = sharding.grants if self.service in sharding.services else ""
        self._key_states = key_states if key_states is not None else KeyStates()
        self.holds: KeyHolds | None = None  # of this life, where the service is divided by key
        self._work_ended = asyncio.Event()
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
        self.holds = self._new_holds() if self._grants else None
        host, _, port = self.machine.at("app").rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=wire.MOST_HEAD)
        self._beats = asyncio.create_task(self._beat())

    def _new_holds(self) -> KeyHolds:
        return KeyHolds(
            self.name,
            lambda: f"{self._draw.getrandbits(64):016x}",
            self._history.holds.append,
            self._key_states,
            self.machine.sharding.warm_s,
        )

    @property
    def name(self) -> str:
        """The name of this life in the history."""
        return f"{self.machine.name}/{self.instance}"

    @property
    def path(self) -> str:
        """Where it tells of itself."""
        return f"/-/instances/{self.instance}"

    def heartbeat_body(self) -> bytes:
        """The body of its next heartbeat."""
        self._call += 1
        told: dict[str, object] = {
            "service": self.service,
            "address": self.machine.at("app"),
            "revision": "v1",
            "slots": SLOTS,
            "state": self._state,
            "cold_left": "0ms",
            "call_seq": self._call,
        }
        if self.holds is not None:
            told |= key_messages.heartbeat_lists(
                self.holds.held_rows(time.monotonic()), self.holds.released_rows()
            )
        return json.dumps(told).encode()

    async def beat(self) -> bool:
        """Tell the sidecar; whether it has acknowledged."""
        sent_at, holds = time.monotonic(), self.holds
        released = []
        if holds is not None:
            holds.end_releases(sent_at)
            released = holds.released_rows()
        answer = await self._tell("PUT", self.heartbeat_body())
        if answer is None:
            return False
        self.acknowledged += 1
        if holds is not None and holds is self.holds:
            holds.on_told(released)
            self._apply_answer(holds, answer, sent_at)
        return True

    def _apply_answer(self, holds: KeyHolds, answer: wire.Message, sent_at: float) -> None:
        """Takes and lets go of keys as the answer to a heartbeat says."""
        if self._grants != BY_HEARTBEAT:
            return
        grants = key_messages.parse_heartbeat_answer(answer.body, HOLD_MAX_S)
        if grants is not None:
            holds.replace(grants.rows, grants.hold_s, sent_at, time.monotonic())

    async def _tell(self, method: str, body: bytes = b"") -> wire.Message | None:
        """A call to the sidecar; its answer where that is an acknowledgement."""
        answer = await wire.ask(self.machine.at("control"), method, self.path, body)
        if answer is None or answer.status != 200 or len(answer.body) > LONGEST_ANSWER:
            return None
        return answer

    async def _beat(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(self.next_beat_s())

    def next_beat_s(self) -> float:
        """The time until the next heartbeat."""
        holds = self.holds
        if self._grants == BY_HEARTBEAT and holds is not None and holds.is_letting_go(time.monotonic()):
            return LETTING_GO_BEAT_S
        return BEAT_S

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
        if self.holds is not None:
            self.holds.end(time.monotonic())
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
        if self.holds is not None and target in (GRANT_PATH, RELEASE_PATH):
            return await self._answer_key_call(self.holds, target, asked.body, now), True
        arrival = Arrival(
            asked.header("x-attempt-id"),
            self.name,
            summary(method, target, asked.body),
            asked.header("x-caller-service"),
            asked.header("x-operation-key"),
            now,
            ran=False,
            shard_key=key_messages.parse_shard_key(asked.header("x-shard-key"))
            if self.holds is not None
            else None,
        )
        holds = self.holds
        self._history.arrivals.append(arrival)
        if not arrival.attempt:
            return self._refused(arrival, 400)
        if asked.header("x-expect-instance") not in ("", self.instance):
            return self._refused(arrival, 421)
        if holds is not None and arrival.shard_key is None:
            return self._refused(arrival, 400)
        if not _is_held(holds, arrival.shard_key):
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
            if not _is_held(holds, arrival.shard_key):
                return self._refused(arrival, 421)
            arrival.ran, arrival.at = True, time.monotonic()
            return await self._work_on_key(arrival, until, holds)
        finally:
            self._free.release()

    async def _work_on_key(
        self, arrival: Arrival, until: float, holds: KeyHolds | None
    ) -> tuple[bytes, bool]:
        """Runs a request; it fails if the hold of its key ends meanwhile."""
        if holds is None or arrival.shard_key is None:
            return await self._work(arrival, until, self._work_s)
        arrival.cold = holds.is_cold(arrival.shard_key, arrival.at)
        work_s = self._work_s * (COLD_FACTOR if arrival.cold else 1.0)
        number = holds.begin_work(arrival.shard_key, arrival.at)
        try:
            answer = await self._work(arrival, until, work_s)
        finally:
            was_held = holds.end_work(number, time.monotonic())
            self._work_ended.set()
            self._work_ended = asyncio.Event()
        if was_held:
            return answer
        arrival.status, arrival.seal, arrival.body = 500, "", b""
        return wire.answer(500, {"X-Attempt-Id": arrival.attempt}, b"the hold has ended\n"), True

    async def _answer_key_call(self, holds: KeyHolds, path: str, body: bytes, now: float) -> bytes:
        """Answers a call that grants keys or takes them back."""
        if self._grants != BY_INVOCATION:
            return wire.answer(404, NOT_RUN, b"keys come with heartbeats\n")
        if path == GRANT_PATH:
            return wire.answer(self._status_of_grant(holds, body, now), {}, b"")
        release = key_messages.parse_release(body)
        if release is None:
            return wire.answer(400, {}, b"")
        holds.let_go(release.keys, now)
        while holds.is_working_on(release.keys):
            await self._work_ended.wait()
        return wire.answer(200, {"X-Handover": holds.end_release(release.keys, time.monotonic())}, b"")

    @staticmethod
    def _status_of_grant(holds: KeyHolds, body: bytes, now: float) -> int:
        """Takes a grant, if it may; returns the status of its answer."""
        grant = key_messages.parse_grant(body, HOLD_MAX_S)
        if grant is None:
            return 400
        return 200 if holds.grant(grant.row, grant.hold_s, now, now) else 409

    async def _work(self, arrival: Arrival, until: float, work_s: float) -> tuple[bytes, bool]:
        draw = self._draw
        self._count += 1
        takes = draw.lognormvariate(0.0, 0.6) * work_s
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
