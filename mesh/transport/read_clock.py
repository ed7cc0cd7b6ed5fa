"""Bounds on how long ago data was sent that this process reads now.

A client's request carries no time of day, and a process that stands still reads late what its kernel has
accepted in time. The kernel does not tell when data arrived. An event loop, however, reads all that has
arrived whenever it polls its sockets, so whatever it reads now has arrived since it polled them before.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

TICK_INTERVAL_S = 0.25


class ReadTimes(Protocol):
    """A clock that bounds when data that is read now was sent."""

    def now(self) -> float:
        """Returns the current time in seconds."""

    def received_after(self) -> float:
        """Returns a time after which all data that is read now has arrived."""


class ReadClock:
    """Bounds when data that this process reads now has arrived.

    The event loop polls all sockets at least once between two ticks, and reads what had arrived before the
    earlier one. So data that is read after the later tick has arrived after the earlier one, however long the
    process stood still in between. `monotonic` is not the time of the event loop, which may be that of its
    latest poll. Times are in seconds.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, monotonic: Callable[[], float]) -> None:
        self._loop, self.now = loop, monotonic
        self._previous_tick = self._last_tick = monotonic()

    def start(self) -> None:
        """Starts the ticks; until then data counts as having arrived since this object was made."""
        self._loop.call_later(TICK_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        self._previous_tick, self._last_tick = self._last_tick, self.now()
        self._loop.call_later(TICK_INTERVAL_S, self._tick)

    def received_after(self) -> float:
        """Returns a time after which all data that is read now has arrived, from a socket that is polled."""
        return self._previous_tick


class PausedReads:
    """Bounds when data that is read now has arrived from one source that is not polled all the time.

    The source is a connection, or a listening socket, whose data are the connections to be accepted. It is
    paused at first. `opened_after` is a time after which it was opened, by default that of the clock.
    """

    def __init__(self, clock: ReadTimes, opened_after: float = math.inf) -> None:
        self._clock = clock
        self._unread_since = min(opened_after, clock.received_after())
        self._polled_since = math.inf

    def received_after(self) -> float:
        """Returns a time after which data that is read now has arrived."""
        bound = self._clock.received_after()
        return bound if bound > self._polled_since else min(bound, self._unread_since)

    def pause(self) -> None:
        """Data is left unread from now on."""
        self._unread_since = self.received_after()
        self._polled_since = math.inf

    def resume(self) -> None:
        """Data is read from now on; does nothing if it was not paused."""
        if math.isinf(self._polled_since):
            self._polled_since = self._clock.now()
