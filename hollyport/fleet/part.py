"""The fleet part of a running sidecar: one UDP socket, one timer, and a `Member` between them.

Nothing of a request's path waits for it. What it raises is told and costs at most the fleet.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import socket
import time
from typing import TYPE_CHECKING, Any, cast

from hollyport.fleet.log import Log
from hollyport.fleet.member import Member, page
from hollyport.fleet.membership import Own, Rules
from hollyport.fleet.options import FleetOptions
from hollyport.fleet.view import Universe
from hollyport.settings.options import BadValue

if TYPE_CHECKING:
    from collections.abc import Callable

BUFFER = 1 << 18  # of the socket, so that a burst finds room
BATCH = 64  # datagrams read in a row: requests go on between
REBIND_S = 2.0  # how often an heir tries for the address that its predecessor still has
REFUSED_S = 10.0  # how often it is told what was refused
STEP_S = 0.002  # timers that lie closer together run as one


def clock() -> float:
    """Seconds of this machine's monotonic clock. The rehearsal kit puts one here that runs wrongly."""
    return time.monotonic()


def wall_ms() -> int:
    """The wall clock, in milliseconds: only the first incarnation is taken from it, and may be wrong."""
    return time.time_ns() // 1_000_000


class FleetPart:
    """Runs one member."""

    def __init__(self, loop: asyncio.AbstractEventLoop, options: FleetOptions, name: str, heir: bool) -> None:
        """`heir`: this process takes over from another of its name. Raise BadValue where the table doesn't
        fit."""
        self._loop, self._options, self._heir = loop, options, heir
        own = options.member or name
        universe = Universe(dict(options.halls))
        if own not in universe.hall:
            raise BadValue(("member",), f"halls doesn't name this sidecar, {own!r}")
        process = int.from_bytes(os.urandom(8), "big") >> 1 | 1
        rules = Rules.of(options.period_s, options.view)
        self.member = Member(
            options.name, Own(own, process, wall_ms(), "", heir), universe, options.keys, rules,
            random.Random(process), options.datagram_bytes, options.also, options.facts,
        )  # fmt: skip
        self._log = Log(options.name, own)
        self._socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._told = dict(self.member.refused)
        self._failed = ""  # why sending failed last: told once, not each time
        self.changed: Callable[[], None] = lambda: None
        """Called when what is known of others has changed."""

    # --- life

    def start(self) -> None:
        """Open the socket and begin. Raise OSError where the address can't be had, but for an heir."""
        self._open()
        own = self.member.own
        self._log.tell("started", address=own.address, process=own.process, incarnation=own.incarnation)
        self.member.start(clock())
        self._after()
        self._loop.call_later(REFUSED_S, self._tell_refused)

    def _open(self) -> None:
        host, _, port = self._options.listen.rpartition(":")
        host = host.strip("[]")
        made = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
        try:
            made.setblocking(False)
            made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            try:
                made.bind((host, int(port)))
            except OSError:
                if not self._heir:
                    raise
                made.bind((host, 0))  # the predecessor has it still; others learn where I am
                self._loop.call_later(REBIND_S, self._rebind)
        except OSError:
            made.close()
            raise
        self._take(made)

    def _take(self, made: socket.socket) -> None:
        if self._socket is not None:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()
        self._socket = made
        at = made.getsockname()
        told = f"[{at[0]}]:{at[1]}" if ":" in at[0] else f"{at[0]}:{at[1]}"
        self.member.own.address = self._options.advertise or told
        self._loop.add_reader(made.fileno(), self._read)

    def _rebind(self) -> None:
        """Take the stated address once the predecessor has let go of it."""
        if self._socket is None:
            return
        host, _, port = self._options.listen.rpartition(":")
        made = socket.socket(self._socket.family, socket.SOCK_DGRAM)
        try:
            made.setblocking(False)
            made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            made.bind((host.strip("[]"), int(port)))
        except OSError:
            made.close()
            self._loop.call_later(REBIND_S, self._rebind)
            return
        self._take(made)
        self._log.tell("moved", address=self.member.own.address)

    def stop(self) -> None:
        """Say that this member leaves, and end."""
        if self._socket is None:
            return
        with contextlib.suppress(Exception):
            self.member.leave(clock())
            self._send()
        self._loop.remove_reader(self._socket.fileno())
        self._socket.close()
        self._socket = None
        if self._timer is not None:
            self._timer.cancel()
        self._log.tell("ended")

    def take_options(self, options: FleetOptions) -> bool:
        """Names, keys and other names of the fleet change in service; False where a restart is needed for
        more."""
        member = self.member
        fits = options.fixed() == self._options.fixed()
        universe = Universe(dict(options.halls))
        if member.own.name not in universe.hall:
            return False
        if options != self._options:
            self._options = options
            member.keys = options.keys
            member.fleet, member.fleets = options.name, (options.name, *options.also)
            member.take(clock(), universe)
            self._log.tell("reloaded", names=len(universe), keys=len(options.keys))
        return fits

    def page(self) -> dict[str, Any]:
        """For the second address."""
        return page(self.member, clock())

    # --- events

    def _read(self) -> None:
        for _ in range(BATCH):
            if self._socket is None:
                return
            try:
                data, _ = self._socket.recvfrom(2048)
            except (BlockingIOError, InterruptedError):
                break
            except OSError:
                continue  # what an ICMP answer to something sent leaves behind
            self.member.handle(clock(), data)
        self._after()

    def _tick(self) -> None:
        self._timer = None
        self.member.tick(clock())
        self._after()

    def _after(self) -> None:
        self._send()
        events, self.member.events = self.member.events, []
        for event in events:
            self._log.tell(event.name, **event.fields)
        if events:
            self.changed()
        if self._socket is None:
            return
        due = self.member.due()
        if self._timer is not None:
            if due >= self._timer_at - STEP_S:
                return  # it runs in time; or a little early, and sets itself anew
            self._timer.cancel()
        wait = max(STEP_S, due - clock())
        self._timer_at = clock() + wait
        self._timer = self._loop.call_later(wait, self._tick)

    def _send(self) -> None:
        out, self.member.out = self.member.out, []
        if self._socket is None:
            return
        for address, data in out:
            host, _, port = address.rpartition(":")
            try:
                self._socket.sendto(data, (host.strip("[]"), int(port)))
            except (BlockingIOError, InterruptedError):
                continue  # a datagram may be lost anywhere
            except (OSError, ValueError, OverflowError) as error:
                # An address that another told may be nonsense; and a network may be gone.
                if (why := type(error).__name__) != self._failed:
                    self._failed = why
                    self._log.tell("send_failed", error=" ".join(str(error).split())[:200])

    def _tell_refused(self) -> None:
        if self._socket is None:
            return
        now = self.member.refused
        counts = {why: now[why] - self._told[why] for why in now if now[why] > self._told[why]}
        if counts:
            self._told = dict(now)
            self._log.tell("refused", counts=cast(Any, counts))
        self._loop.call_later(REFUSED_S, self._tell_refused)
