"""Shares the processor among clients whose bytes take long to parse, as those of very small chunks do."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

EVENTS_PER_TURN = 256  # of the parser, for one client
EVENTS_PER_ITERATION = 2048  # for all clients that wait for a turn, in one iteration of the event loop


class Parsing(Protocol):
    """A client's connection, part of whose bytes are not parsed yet."""

    def parse_on(self) -> int:
        """Parses more; returns how many events of the parser that took."""


class ParseTurns:
    """The clients of one process that have more to be parsed, served in turn."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._queue: deque[Parsing] = deque()
        self._scheduled = False

    def enqueue(self, client: Parsing) -> None:
        """Gives a client a turn after those that wait already."""
        self._queue.append(client)
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        self._scheduled = False
        events = 0
        waiting, self._queue = self._queue, deque()
        while waiting and events < EVENTS_PER_ITERATION:
            events += 1 + waiting.popleft().parse_on()
        waiting.extend(self._queue)
        self._queue = waiting
        if self._queue and not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._run)
