"""What the fleet part logs: one JSON object a line, fixed names and fields (`EVENTS`), never blocking the
loop.

structlog renders; the writer is this file's, as a full pipe must cost lines and not time.
"""

from __future__ import annotations

import os
import select
import time
from typing import Any

import structlog

EVENTS: dict[str, tuple[str, ...]] = {
    "started": ("address", "process", "incarnation"),
    "alive": ("member", "incarnation"),
    "suspect": ("member", "by", "incarnation"),
    "dead": ("member", "incarnation"),
    "left": ("member", "incarnation"),
    "restarted": ("member", "incarnation"),
    "refuted": ("held", "incarnation"),
    "stalled": ("seconds",),
    "alone": (),
    "together": (),
    "twins": ("member",),
    "name_in_use": ("process",),
    "retired": ("heir",),
    "refused": ("counts",),
    "moved": ("address",),
    "reloaded": ("names", "keys"),
    "send_failed": ("error",),
    "left_out": ("lines",),
    "fault": ("error", "count"),
    "ended": (),
}
"""Every event with its own fields; `event`, `member_name`, `fleet` and `mono_ns` stand in each line.
docs/operators/fleet.md tells what they mean."""
LINES_A_SECOND = 50


class Log:
    """Writes events to a descriptor. What can't be written at once is left out, and counted."""

    def __init__(self, fleet: str, member: str, descriptor: int = 2) -> None:
        self._descriptor = descriptor
        self._left = float(LINES_A_SECOND)
        self._at = time.monotonic()
        self.lost = 0
        self._render = structlog.processors.JSONRenderer()
        self._fixed = {"fleet": fleet, "member_name": member}

    def rename(self, fleet: str) -> None:
        """Lines from now on are of a fleet of another name."""
        self._fixed["fleet"] = fleet

    def tell(self, event: str, **fields: Any) -> None:
        """Write one line; ValueError where its fields are not those of the table."""
        if tuple(fields) != EVENTS[event]:
            raise ValueError(f"event {event} has the fields {EVENTS[event]}, not {tuple(fields)}")
        now = time.monotonic()
        self._left = min(LINES_A_SECOND, self._left + (now - self._at) * LINES_A_SECOND)
        self._at = now
        if self._left < 1:
            self.lost += 1
            return
        self._left -= 1
        lost, self.lost = self.lost, 0
        if lost and not self._write("left_out", {"lines": lost}):
            self.lost = lost
        if not self._write(event, fields):
            self.lost += 1

    def _write(self, event: str, fields: dict[str, Any]) -> bool:
        told = {"event": event, **self._fixed, "mono_ns": time.monotonic_ns(), **fields}
        line = self._render(None, "", told)
        data = (line if isinstance(line, bytes) else line.encode()) + b"\n"
        # A pipe that is full blocks a write, and the descriptor is shared with whoever started this process:
        # it must not be set non-blocking. What poll calls writable takes PIPE_BUF (4 KiB) without waiting.
        try:
            return _writable(self._descriptor) and os.write(self._descriptor, data[:4096]) == len(data)
        except OSError:
            return False


def _writable(descriptor: int) -> bool:
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return any(mask & select.POLLOUT for _, mask in poll.poll(0))
