"""What all clients of one process hold together, over all its addresses: the account, who is read from, and
what operators see of it."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from loguru import logger

from hollyport.http.front import MAX_BODY
from mesh.figures import MetricFamily, gauge
from mesh.settings import Settings
from mesh.transport.memory_account import MemoryAccount, client_capacity
from mesh.transport.parse_turns import ParseTurns
from mesh.transport.read_policy import ReadPolicy

TICK_INTERVAL_S = 0.05  # while clients wait to be read from
LOG_INTERVAL_S = 10.0  # between two lines on clients that are paused or refused


class ClientMemory:
    """The memory of one process that its clients hold."""

    def __init__(self, loop: asyncio.AbstractEventLoop, capacity: int) -> None:
        """`capacity`: bytes that clients may hold together."""
        self._loop = loop
        self.account = MemoryAccount(capacity)
        self.policy = ReadPolicy(self.account, MAX_BODY)
        self.turns = ParseTurns(loop)
        self._ticking = False
        self._next_log_at = 0.0

    @classmethod
    def of(cls, loop: asyncio.AbstractEventLoop, settings: Settings) -> ClientMemory:
        """Returns that of a process with these settings."""
        return cls(loop, client_capacity(settings.memory_mb, settings.client_memory_mb))

    def allow_bodies_of(self, size: int) -> None:
        """Learns the greatest size that an address allows a body to have."""
        self.policy.largest_body = max(size, self.policy.largest_body)

    def apply(self, settings: Settings) -> None:
        """Takes over the limit of changed settings."""
        self.account.capacity = client_capacity(settings.memory_mb, settings.client_memory_mb)

    def on_stopped(self) -> None:
        """Handles a client that is paused or refused: says so, and looks after those that wait."""
        if not self._ticking:
            self._ticking = True
            self._loop.call_later(TICK_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        now = self._loop.time()
        if now >= self._next_log_at:
            self._next_log_at = now + LOG_INTERVAL_S
            held, waiting = self.account.held, self.policy.waiting
            logger.warning("clients fill the memory", held_bytes=held, waiting=waiting)
        self._ticking = False
        if self.policy.tick(now):
            self.on_stopped()

    def metrics(self) -> Iterator[MetricFamily]:
        """Returns the metric families."""
        account = self.account
        yield gauge("mesh_client_bytes", "Memory that clients hold.", account.held)
        yield gauge("mesh_client_bytes_peak", "The most memory that clients have held.", account.peak)
        yield gauge("mesh_client_bytes_limit", "Memory that clients may hold.", account.capacity)
        yield gauge("mesh_clients_paused", "Clients that wait to be read from.", self.policy.waiting)
        yield self.policy.outcomes.family()
