"""Tells the server beside a sidecar by calls what it is to hold and what to let go of.

The server counts a grant from when the call arrives, so the hold is computed just before the call is written,
and the call is given up if the kernel does not take it at once: on a connection that carries one call at a
time, nothing can be waiting before it. Grants go one after another. A release is answered once the work on
its keys has ended, so releases don't wait for each other; but none is sent while a grant of the same range is
on its way (`mesh.proxy.server_holds`).
"""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable
from typing import Any

from loguru import logger

from dunefield.interface import AttemptOutcome
from hollyport.http.back import HttpBack, Reply
from hollyport.nodes.upstream import Exchange, Upstream
from hollyport.settings.config import Address as NodeAddress
from mesh.figures import LabelledCounter
from mesh.proxy.context import ProxyContext
from mesh.proxy.server_holds import ServerHolds
from mesh.settings import Address
from mesh.state.shards import FencedRange, Shard

CONNECT_TIMEOUT_NS = 1_000_000_000
IDLE_TIMEOUT_NS = 15_000_000_000
CALL_TIMEOUT_S = 1.0
RELEASE_TIMEOUT_S = 5.0  # the work on its keys has to end first
RETRY_DELAY_S = 0.1  # after a call without an answer
REJECTED_RETRY_DELAY_S = 1.0  # after an answer that is not expected
MAX_WRITE_DELAY_S = 0.1  # from reading the clock until the kernel has taken the call
MAX_RELEASES = 4  # at the same time
MAX_CONNECTIONS = MAX_RELEASES + 1
GRANT_PATH, RELEASE_PATH = b"/-/grant", b"/-/release"


class _Write:
    """Whether and when the one call of an exchange was written, by the monotonic clock."""

    def __init__(self) -> None:
        self.begun_at: float | None = None  # when the clock was read for it
        self.done_at = math.inf  # when the kernel had taken it

    @property
    def was_prompt(self) -> bool:
        """Whether the kernel took the call at once."""
        return self.begun_at is not None and self.done_at - self.begun_at <= MAX_WRITE_DELAY_S

    def delay_s(self, now: float) -> float:
        """Returns how long the write took; one that is given up now ends now."""
        return min(self.done_at, now) - self.begun_at if self.begun_at is not None else 0.0


class GrantCalls:
    """Grants and releases of key ranges by calls to the server beside.

    `on_released` is called when the server has let go of a range, `on_gate_changed` when it has taken a grant
    and before it is asked to let go, `on_refused` when it has seen a higher fence, and `on_contact` after
    each call with whether the server has answered.
    """

    def __init__(self, context: ProxyContext, address: Address, holds: ServerHolds) -> None:
        self._context, self._holds = context, holds
        self._address = NodeAddress(address.host, address.port)
        self.upstream = Upstream(
            context.loop, CONNECT_TIMEOUT_NS, IDLE_TIMEOUT_NS, MAX_CONNECTIONS, 0.0, HttpBack(False)
        )
        self.on_released: Callable[[], None] = lambda: None
        self.on_gate_changed: Callable[[], None] = lambda: None
        self.on_refused: Callable[[], None] = lambda: None
        self.on_contact: Callable[[bool], None] = lambda answered: None
        self.outcomes = LabelledCounter(
            "mesh_grant_calls", "Calls that grant or release key ranges.", ("call", "outcome")
        )
        self._instance = ""  # of the server that is called; empty: none
        self._granting = False
        self._releasing: set[FencedRange] = set()
        self._retry_releases_at: dict[FencedRange, float] = {}
        self._timer: asyncio.TimerHandle | None = None

    def update(self, instance: str) -> None:
        """Sets the server process that is called, or none, and does what is due."""
        if instance != self._instance:
            if self._instance:
                self.upstream.remove(self._instance)
            if instance:
                self.upstream.update(instance, self._address, 0, True)
            self._instance = instance
        self.wake()

    def wake(self) -> None:
        """Sends what is due, and schedules what is due later."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._instance:
            return
        now = self._context.monotonic()
        self._send_releases(now)
        if not self._granting:
            due = self._holds.grants_due(now)
            if due:
                self._send_grant(due[0])
        self._set_timer(now)

    def _set_timer(self, now: float) -> None:
        times = [at for held, at in self._retry_releases_at.items() if held not in self._releasing]
        if not self._granting:
            times.append(self._holds.next_grant_at(now))
        at = min(times, default=math.inf)
        if at < math.inf:
            # A grant that is due but may not be sent, as its lease is about to end, is looked at again later.
            self._timer = self._context.loop.call_later(max(RETRY_DELAY_S, at - now), self.wake)

    # --- grants

    def _send_grant(self, shard: Shard) -> None:
        held, write = shard.fenced_range, _Write()

        def build() -> bytes:
            """Returns the call, or nothing if the range may not be granted any more."""
            now = self._context.monotonic()
            hold_ms = self._holds.hold_ms(now, held)
            if not hold_ms:
                self._context.loop.call_soon(exchange.cancel)
                return b""
            write.begun_at = now
            self._holds.on_grant_written(now, held, hold_ms)
            self._context.loop.call_soon(self._check_written, exchange, write)
            return _request(GRANT_PATH, _grant_body(shard, hold_ms))

        exchange = self._exchange(build, write, CALL_TIMEOUT_S, self._on_grant_end, held)
        self._granting = True
        exchange.start()

    def _on_grant_end(self, held: FencedRange, write: _Write, reply: Reply | None) -> None:
        self._granting = False
        now = self._context.monotonic()
        outcome = "unanswered" if write.begun_at is not None else "not_sent"
        if write.begun_at is None:
            self._holds.postpone(now, held, RETRY_DELAY_S)
        elif reply is not None and reply.status == 200:
            outcome = "taken"
            self._holds.on_grant_taken(now, held)
            self.on_gate_changed()
        elif reply is not None and reply.status == 409:
            outcome = "refused"
            logger.warning("the server has seen a higher fence", range=held.range, fence=held.fence)
            self._holds.on_grant_refused(held)
            self.on_refused()
        else:
            self._holds.on_grant_unanswered(now, held, write.delay_s(now))
            if reply is not None:
                outcome = "rejected"
                logger.warning("the server rejected a grant", status=reply.status)
                self._holds.postpone(now, held, REJECTED_RETRY_DELAY_S)
        self.outcomes.add(("grant", outcome))

    # --- releases

    def _send_releases(self, now: float) -> None:
        due = self._holds.releases_due(now)
        self._retry_releases_at = {held: at for held, at in self._retry_releases_at.items() if held in due}
        for held in due:
            if len(self._releasing) >= MAX_RELEASES:
                return
            if held not in self._releasing and self._retry_releases_at.get(held, now) <= now:
                self._send_release(held)

    def _send_release(self, held: FencedRange) -> None:
        write = _Write()

        def build() -> bytes:
            write.begun_at = self._context.monotonic()
            return _request(RELEASE_PATH, _release_body(held))

        self._releasing.add(held)
        self._holds.close(held)
        self.on_gate_changed()
        self._exchange(build, write, RELEASE_TIMEOUT_S, self._on_release_end, held).start()

    def _on_release_end(self, held: FencedRange, write: _Write, reply: Reply | None) -> None:
        self._releasing.discard(held)
        now = self._context.monotonic()
        if reply is not None and reply.status == 200:
            handover = reply.header(b"x-handover") or b""
            self._holds.on_release_answered(now, held, handover.decode("latin-1"))
            self.on_released()
        # It is due again if the answer does not show yet that nothing is held.
        self._retry_releases_at[held] = now + (RETRY_DELAY_S if reply is None else REJECTED_RETRY_DELAY_S)
        self.outcomes.add(("release", "answered" if reply is not None else "unanswered"))

    # --- calls

    def _exchange(
        self,
        build: Callable[[], bytes],
        write: _Write,
        timeout_s: float,
        on_end: Callable[[FencedRange, _Write, Reply | None], None],
        held: FencedRange,
    ) -> Exchange:
        """Returns a call to be started; `on_end` is called once with the answer, or None without any."""

        def on_exchange_end(outcome: AttemptOutcome, answer: Any) -> None:
            reply: Reply | None = answer
            on_end(held, write, reply)
            if outcome not in (AttemptOutcome.MOOT, AttemptOutcome.CANCELLED):
                self.on_contact(reply is not None)
            self._context.loop.call_soon(self.wake)

        def on_written() -> None:
            write.done_at = self._context.monotonic()

        exchange = self.upstream.exchange(self._instance, build, timeout_s, on_exchange_end)
        assert exchange is not None
        exchange.on_written = on_written
        return exchange

    def _check_written(self, exchange: Exchange, write: _Write) -> None:
        """Gives a call up that was not written at once: the server would count too late a beginning."""
        if not write.was_prompt:
            exchange.cancel()


def _grant_body(shard: Shard, hold_ms: int) -> dict[str, Any]:
    body = {**_release_body(shard.fenced_range), "hold": f"{hold_ms}ms"}
    return {**body, "handover": shard.handover} if shard.handover else body


def _release_body(held: FencedRange) -> dict[str, Any]:
    return {"source": held.range.first, "target_version": held.range.last, "fence": held.fence}


def _request(path: bytes, fields: dict[str, Any]) -> bytes:
    body = json.dumps(fields, separators=(",", ":")).encode()
    return (
        b"POST %s HTTP/1.1\r\nHost: sidecar\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
        % (path, len(body), body)
    )
