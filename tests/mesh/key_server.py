"""A stand-in server of a sharded service on a simulated machine, beside a real sidecar.

It sends heartbeats to its sidecar's control address and answers calls at its own, over byte streams, and goes
by `rehearsal.mesh.key_holds` in what it holds. It works on random keys that it holds, so that releases have
to wait.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import httptools
from fake_machines import Process

from mesh.state.configuration import GRANTS_BY_HEARTBEAT, GRANTS_BY_INVOCATION
from rehearsal.mesh import key_messages
from rehearsal.mesh.key_holds import KeyHolds

if TYPE_CHECKING:
    from owner_world import OwnerWorld

SERVER_PORT, CONTROL_PORT = 9000, 82
SLOTS = 4
LETTING_GO_BEAT_S = 0.1  # between heartbeats while keys are being let go
ANSWER_TIMEOUT_S = 1.0  # of a heartbeat; an answer that comes later is never read
WORK_INTERVAL_S = (0.02, 0.5)  # between two requests
WORK_S = (0.005, 0.6)
HEARTBEAT_LOSS = 0.3  # share of the heartbeats, and of their answers, that are lost while they are disturbed


class HeartbeatCall:
    """The protocol of a connection that carries one request to the sidecar."""

    def __init__(self, request: bytes, answer: asyncio.Future[bytes | None]) -> None:
        self._request, self._answer = request, answer
        self._parser = httptools.HttpResponseParser(self)
        self._body = b""

    def connection_made(self, transport: Any) -> None:
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        self._end(self._body if self._parser.get_status_code() == 200 else None)

    def connection_lost(self, exc: Exception | None) -> None:
        self._end(None)

    def _end(self, body: bytes | None) -> None:
        if not self._answer.done():
            self._answer.set_result(body)


class ServerConnection:
    """The protocol of one connection to a server's address: calls one after another."""

    def __init__(self, serve: Callable[[str, bytes, Callable[[bytes], None]], None]) -> None:
        self._serve = serve
        self._parser = httptools.HttpRequestParser(self)
        self._path, self._body = "", b""
        self._transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Calls that came are handled nevertheless."""

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        self._path, self._body = "", b""

    def on_url(self, url: bytes) -> None:
        self._path += url.decode()

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        self._serve(self._path, self._body, self._transport.write)


class KeyServer:
    """One life of a server. Its process outlives crashes of the sidecar beside it."""

    def __init__(self, world: OwnerWorld, host: str) -> None:
        self._world, self.host = world, host
        self._random: random.Random = world.random
        self.process = Process(world, world.machines[host])
        self.instance = f"i-{self._random.getrandbits(32):08x}"
        self.holds = KeyHolds(
            f"{host}/{self.instance}", self._new_handover, world.judge.on_hold, world.key_states, 0.0
        )
        self.is_ready = True
        self._call_number = 0
        self._work_ended = asyncio.Event()

    def start(self) -> None:
        """Listens, and begins to send heartbeats."""
        listener = (self.process, lambda: ServerConnection(self._serve))
        self._world.machines[self.host].listening[SERVER_PORT] = listener
        self.process.run(self._send_heartbeats())
        self.process.run(self._work_on_random_keys())

    def end(self, quietly: bool = False) -> None:
        """Crashes."""
        if self.process.alive:
            self.process.end(quietly)
            self.holds.end(self._world.now)

    async def leave(self, drain_s: float, linger_s: float) -> None:
        """Drains, says goodbye, and ends a moment later."""
        if drain_s:
            self.is_ready = False
            await self._send_heartbeat()
            await asyncio.sleep(drain_s)
        self.is_ready = False
        await self._tell("DELETE", b"")
        self._world.after(linger_s, self.end)

    def _new_handover(self) -> str:
        return f"{self._random.getrandbits(64):016x}"

    # --- heartbeats

    async def _send_heartbeats(self) -> None:
        await asyncio.sleep(self._random.uniform(0.0, 0.1))
        while True:
            await self._send_heartbeat()
            await asyncio.sleep(self._heartbeat_interval_s())

    def _heartbeat_interval_s(self) -> float:
        by_heartbeat = self._world.way == GRANTS_BY_HEARTBEAT
        if by_heartbeat and self.holds.is_letting_go(self._world.now):
            return LETTING_GO_BEAT_S
        return self._world.beat_s

    async def _send_heartbeat(self) -> None:
        sent_at = self._world.now
        self.holds.end_releases(sent_at)
        released = self.holds.released_rows()
        body = self._heartbeat_body()
        if self._is_lost():
            return
        answer = await self._tell("PUT", body)
        if answer is None or self._is_lost():
            return
        self.holds.on_told(released)
        if self._world.way == GRANTS_BY_HEARTBEAT:
            self._apply_answer(answer, sent_at)

    def _is_lost(self) -> bool:
        return self._world.is_disturbed(self.host) and self._random.random() < HEARTBEAT_LOSS

    def _heartbeat_body(self) -> bytes:
        self._call_number += 1
        fields = {
            "service": self._world.service,
            "address": f"{self.host}:{SERVER_PORT}",
            "slots": SLOTS,
            "state": "ready" if self.is_ready else "draining",
            "cold_left": "0ms",
            "call_seq": self._call_number,
            **key_messages.heartbeat_lists(self.holds.held_rows(self._world.now), self.holds.released_rows()),
        }
        return json.dumps(fields).encode()

    def _apply_answer(self, answer: bytes, sent_at: float) -> None:
        grants = key_messages.parse_heartbeat_answer(answer, self._world.hold_max_s)
        if grants is not None:
            self.holds.replace(grants.rows, grants.hold_s, sent_at, self._world.now)

    async def _tell(self, method: str, body: bytes) -> bytes | None:
        """Sends a request to the sidecar; returns the body of an answer that comes in time."""
        loop = self.process.loop
        answer: asyncio.Future[bytes | None] = loop.create_future()
        head = f"{method} /-/instances/{self.instance} HTTP/1.1\r\nHost: sidecar\r\n"
        request = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        transport = None
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                transport, _ = await loop.create_connection(
                    lambda: HeartbeatCall(request, answer), self.host, CONTROL_PORT
                )
                return await answer
        except OSError:  # also the end of the time
            return None
        finally:
            if transport is not None:
                transport.close()

    # --- calls

    def _serve(self, path: str, body: bytes, write: Callable[[bytes], None]) -> None:
        now = self._world.now
        if path == "/health":
            status = 200 if self.is_ready else 503
            write(_answer(status, f"X-Instance-Id: {self.instance}\r\n"))
        elif self._world.way != GRANTS_BY_INVOCATION:
            write(_answer(404))
        elif path == "/-/grant":
            write(_answer(self._status_of_grant(body, now)))
        else:
            release = key_messages.parse_release(body)
            assert release is not None
            self.holds.let_go(release.keys, now)
            self.process.run(self._end_release(release, write))

    def _status_of_grant(self, body: bytes, now: float) -> int:
        grant = key_messages.parse_grant(body, self._world.hold_max_s)
        if grant is None:
            return 400
        return 200 if self.holds.grant(grant.row, grant.hold_s, now, now) else 409

    async def _end_release(self, release: key_messages.Release, write: Callable[[bytes], None]) -> None:
        while self.holds.is_working_on(release.keys):
            await self._work_ended.wait()
        handover = self.holds.end_release(release.keys, self._world.now)
        write(_answer(200, f"X-Handover: {handover}\r\n"))

    # --- work

    async def _work_on_random_keys(self) -> None:
        while True:
            await asyncio.sleep(self._random.uniform(*WORK_INTERVAL_S))
            now = self._world.now
            key = self._world.draw_key(self.holds.held_rows(now))
            if key is not None and self.holds.holds(key, now):
                number = self.holds.begin_work(key, now)
                self.process.loop.call_later(self._random.uniform(*WORK_S), self._end_work, number, key, now)

    def _end_work(self, number: int, key: int, began: float) -> None:
        self.holds.end_work(number, self._world.now)
        self._world.count_work(self.host, key, self._world.now - began)
        self._work_ended.set()
        self._work_ended = asyncio.Event()


def _answer(status: int, headers: str = "") -> bytes:
    return f"HTTP/1.1 {status} Told\r\nContent-Length: 0\r\n{headers}\r\n".encode()
