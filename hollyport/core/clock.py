"""The clock that decisions go by, and whether this process stood still."""

from __future__ import annotations

import asyncio
import sys
import time

BEAT_S = 0.02  # how often the loop shows that it runs
STALL_S = 0.1  # from when on a standstill is worth a line in the log


class Clock:
    """Unix time in nanoseconds, anchored once: servers' starts are told in it, and it must not jump."""

    def __init__(self) -> None:
        self._anchor = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        return self._anchor + time.monotonic_ns()


class Beat:
    """Whether this process runs, or stands still for want of CPU."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._due = 0.0
        self._beat()

    def _beat(self) -> None:
        stalled = self.stalled()
        if stalled > STALL_S:
            print(f"loop: stood still for {stalled:.3f} s", file=sys.stderr, flush=True)
        self._due = time.monotonic() + BEAT_S
        self._loop.call_later(BEAT_S, self._beat)

    def stalled(self) -> float:
        """For how long this process may have stood still: what comes in now may have come that much earlier.

        Protects the client's deadline, which counts from its sending: a process short of CPU reads late and
        would count from there.
        """
        return max(0.0, time.monotonic() - self._due) if self._due else 0.0
