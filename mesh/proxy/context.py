"""State shared by the components of one sidecar: settings, clock, identity, and shutdown progress."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from mesh.settings import Settings
from mesh.transport.client_memory import ClientMemory
from mesh.transport.read_clock import ReadClock


class ProxyContext:
    """The shared state of one sidecar process. Times are those of the event loop, in seconds."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.read_clock = ReadClock(self.loop, self.monotonic)
        self.memory = ClientMemory.of(self.loop, settings)
        self.node_name = settings.name
        self.incarnation = time.time_ns() // 1_000_000  # greater in each later process of this node
        self.random: Callable[[], float] = random.random
        self.draining = False  # shutdown has begun, and other sidecars send no more calls here
        self.rejecting_requests = False  # new requests are refused at once
        self.shutdown_deadline = float("inf")  # by then all requests must have been answered
        self.open_requests = 0  # requests that entered the mesh here and have not been answered
        self.open_calls = 0  # calls for the server beside this sidecar that have not ended
        self._last_number = 0

    def now(self) -> float:
        """Returns the event loop's time."""
        return self.loop.time()

    def monotonic(self) -> float:
        """Returns the monotonic clock, which the event loop's time may trail while the loop is busy."""
        return time.monotonic()

    def next_number(self) -> int:
        """Returns a number that is unique in this process."""
        self._last_number += 1
        return self._last_number
