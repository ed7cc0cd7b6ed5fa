"""What the kit's own processes have in common: a clock they share, a leash, and lines of JSON in and out.

A worker is started with the path of its configuration, says what it has opened on standard output, waits for
the start, plays, and on "stop" writes its records to a file. It ends when its standard input does and when
its parent dies, so that no end of the kit leaves one behind.
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import resource
import signal
import sys
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, Protocol

import uvloop

PR_SET_PDEATHSIG = 1  # prctl(2)
BEAT_S = 0.02
FLUSH_US = 250_000


def leash(parent: int, number: int = signal.SIGKILL) -> None:
    """Die with the parent, however it ends. Linux only; elsewhere the end of standard input has to do."""
    if sys.platform == "linux":
        ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, number, 0, 0, 0)
        if os.getppid() != parent:  # it died before the leash was on
            os._exit(1)


def raise_descriptors() -> None:
    """As many descriptors as the machine allows this process."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


class Clock:
    """Microseconds of the play. All processes count from one instant of the machine's monotonic clock."""

    def __init__(self, start_ns: int = 0) -> None:
        self.start_ns = start_ns

    def __call__(self) -> int:
        return (time.monotonic_ns() - self.start_ns) // 1000


class Lateness:
    """How late this process was: the rig's own figure, which decides whether a play counts.

    What was due is counted apart from a steady beat: much work on time must not hide a standstill between.
    """

    def __init__(self) -> None:
        self._beats = _Counts()
        self._work = _Counts()

    def add(self, us: int) -> None:
        """Note one thing that was done so many microseconds after it was due."""
        self._work.add(us)

    def beat(self, us: int, every_us: int) -> None:
        """Note a beat that came so late. A standstill delays all beats that were due in it, not only one
        (the omission that wrk2 was written against), so each of them counts with its own lateness."""
        self._beats.add(us)
        while (us := us - every_us) > 0:
            self._beats.add(us)

    def quantile(self, part: float) -> float:
        """The lateness in milliseconds that this part stayed within, of beats or of work, whichever is
        worse."""
        return max(self._beats.quantile(part), self._work.quantile(part))


class _Counts:
    """A histogram."""

    def __init__(self) -> None:
        self._counts: dict[
            int, int
        ] = {}  # by tenths of a millisecond: bounded by what was late, not how often

    def add(self, us: int) -> None:
        """Note one thing that was done so many microseconds after it was due."""
        step = max(0, us) // 100
        self._counts[step] = self._counts.get(step, 0) + 1

    def quantile(self, part: float) -> float:
        """The lateness in milliseconds that this part stayed within; 0 if nothing was noted."""
        left = sum(self._counts.values()) * part
        for step in sorted(self._counts):
            left -= self._counts[step]
            if left <= 0:
                return (step + 1) / 10
        return 0.0


class Role(Protocol):
    """What a worker plays."""

    def opened(self) -> dict[str, Any]:
        """What the conductor has to know before the start."""

    def start(self) -> None:
        """The start is set, and lies a moment ahead."""

    def command(self, told: dict[str, Any]) -> None:
        """A line from the conductor."""

    def records(self) -> Iterable[list[Any]]:
        """All that was recorded."""


def say(line: dict[str, Any]) -> None:
    """Tell the conductor something."""
    sys.stdout.write(json.dumps(line) + "\n")
    sys.stdout.flush()


async def _play(make: Callable[[dict[str, Any], Clock, Lateness], Role], config: dict[str, Any]) -> None:
    loop = asyncio.get_running_loop()
    clock, late = Clock(time.monotonic_ns() + 10**15), Lateness()
    role = make(config, clock, late)
    say({"opened": role.opened()})
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        told = json.loads(line)
        if "start_ns" in told:
            clock.start_ns = told["start_ns"]
            role.start()
            beat = _Beat(loop, late)
            beat.start()
        elif "stop" in told:
            late_ms = late.quantile(0.99)
            with open(config["records"], "w", encoding="utf-8") as file:
                for row in role.records():
                    file.write(json.dumps(row, separators=(",", ":")) + "\n")
            say({"stopped": True, "late_ms_p99": late_ms, "late_ms_max": late.quantile(1.0)})
        else:
            role.command(told)


class _Beat:
    """A timer that shows how late the loop is when it has other work."""

    def __init__(self, loop: asyncio.AbstractEventLoop, late: Lateness) -> None:
        self._loop, self._late, self._due = loop, late, 0.0

    def start(self) -> None:
        self._due = time.monotonic() + BEAT_S
        self._loop.call_later(BEAT_S, self._beat)

    def _beat(self) -> None:
        self._late.beat(int((time.monotonic() - self._due) * 1e6), int(BEAT_S * 1e6))
        self.start()


def main(make: Callable[[dict[str, Any], Clock, Lateness], Role]) -> None:
    """Entry point of a worker's process: `python -m MODULE CONFIG PARENT`."""
    leash(int(sys.argv[2]))
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C is the conductor's: it ends the rest in order
    raise_descriptors()
    uvloop.run(_play(make, json.loads(Path(sys.argv[1]).read_text(encoding="utf-8"))))
