"""What the parts of one sidecar share: settings, clock, identity, and how far its end has come."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from mesh.settings import Settings


class ProxyContext:
    """One process's. Times are those of the event loop, in seconds."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.node_name = settings.name
        self.incarnation = time.time_ns() // 1_000_000  # of this process: later ones are greater
        self.random: Callable[[], float] = random.random
        self.draining = False  # told to end: others send nothing more
        self.rejecting_requests = False  # what still comes is refused at once
        self.shutdown_deadline = float("inf")  # when everything will have been answered
        self.open_requests = 0  # begun here and not answered
        self.open_calls = 0  # for the server beside, and not ended
        self._last = 0

    def now(self) -> float:
        """The time."""
        return self.loop.time()

    def next_number(self) -> int:
        """A number that nothing else in this process has."""
        self._last += 1
        return self._last
