"""The fleet part of a running sidecar: one UDP socket, one timer, and a `Member` between them.

Nothing of a request's path waits for it. What it raises is told and costs at most the fleet.
"""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import os
import random
import socket
import time
from typing import TYPE_CHECKING, Any, Protocol

from hollyport.fleet.member import Member, page
from hollyport.fleet.membership import Own, Rules
from hollyport.fleet.options import FleetOptions
from hollyport.fleet.view import Universe
from hollyport.settings.options import BadValue

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from hollyport.fleet.facts import Held
    from hollyport.fleet.log import Log

BUFFER = 1 << 18  # of the socket, so that a burst finds room
BATCH = 64  # datagrams read in a row: requests go on between
REBIND_S = 2.0  # how often an heir tries for the address that its predecessor still has
REFUSED_S = 10.0  # how often it is told what was refused
STEP_S = 0.002  # timers that lie closer together run as one
AGAIN_S = 0.5  # after a fault of this program in a timer
PLACES = 4096  # addresses that are kept as read


def clock() -> float:
    """Seconds of this machine's monotonic clock. Tests put one here that runs wrongly."""
    return time.monotonic()


def wall_ms() -> int:
    """The wall clock, in milliseconds: only the first incarnation is taken from it, and may be wrong."""
    return time.time_ns() // 1_000_000


def place(address: str) -> tuple[str, int] | None:
    """An address as a socket takes it; None for one that is no IP literal with a port. Others tell
    addresses, and a name among them would be looked up, which holds up the loop and with it requests."""
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        return None
    return (host, number) if 0 < number < 65536 else None


class Tells(Protocol):
    """What takes the events."""

    def tell(self, event: str, **fields: Any) -> None:
        """Take one."""

    def rename(self, fleet: str) -> None:
        """The fleet is called otherwise from now on."""


def _log(fleet: str, member: str) -> Log:
    from hollyport.fleet.log import Log  # others bring a log of their own, and not what this one needs

    return Log(fleet, member)


class FleetPart:
    """Runs one member."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        options: FleetOptions,
        name: str,
        heir: bool,
        log: Callable[[str, str], Tells] = _log,
    ) -> None:
        """`heir`: this process takes over from another of its name. `log` makes what takes the events, from
        the fleet's and the member's name. Raise BadValue where the table doesn't fit."""
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
        self._log = log(options.name, own)
        self._socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._told = dict(self.member.refused)
        self._failed = ""  # why sending failed last: told once, not each time
        self._places: dict[str, tuple[str, int] | None] = {}
        self.faults = 0  # of this program, in the fleet part: told, and nothing else ends
        self.changed: Callable[[], None] = lambda: None
        """Called when what is known of others has changed."""
        self.member.facts.changed = self._fact_changed
        self.fact_changed: Callable[[str, str], None] = lambda owner, key: None
        """Called with owner and key when a fact appears, changes its value or ends."""

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

    def stop(self, handed_over: bool = False) -> None:
        """Say that this member leaves, and end; without a word where another process goes on under its
        name."""
        if self._socket is None:
            return
        with contextlib.suppress(Exception):
            self.member.leave(clock(), not handed_over)
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
            self._log.rename(options.name)
            self._log.tell("reloaded", names=len(universe), keys=len(options.keys))
        return fits

    def page(self) -> dict[str, Any]:
        """For the second address."""
        return page(self.member, clock())

    # --- what other parts use

    def live(self) -> list[str]:
        """Other members that are held for alive, and are believed."""
        return self.member.membership.live()

    def tell(self, key: str, value: bytes, life_s: float) -> None:
        """Tell all a fact until it is withdrawn; ValueError on one that is too large."""
        self.member.tell(clock(), key, value, life_s)
        self._after()

    def withdraw(self, key: str) -> None:
        """End a fact of one's own everywhere."""
        self.member.withdraw(clock(), key)
        self._after()

    def told(self, key: str) -> Iterator[Held]:
        """Each member's fact under a key, own word included."""
        return self.member.told(clock(), key)

    def _fact_changed(self, owner: str, key: str) -> None:
        self.fact_changed(owner, key)

    # --- events

    def _guarded(self, step: Callable[[], None]) -> None:
        """A fault of the fleet part costs what was being done, and neither the part nor the process."""
        try:
            step()
        except Exception as error:
            self.faults += 1
            if self.faults <= 10 or self.faults % 1000 == 0:
                self._log.tell("fault", error=f"{type(error).__name__}: {error}"[:200], count=self.faults)

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
            self._guarded(lambda data=data: self._take_in(data))  # type: ignore[misc]
        self._after()

    def _take_in(self, data: bytes) -> None:
        self.member.handle(clock(), data)

    def _tick(self) -> None:
        self._timer = None
        faults = self.faults
        self._guarded(lambda: self.member.tick(clock()))
        if self.faults > faults:
            # What is due may be what failed: not at once again.
            self._timer_at = clock() + AGAIN_S
            self._timer = self._loop.call_later(AGAIN_S, self._tick)
        self._after()

    def _after(self) -> None:
        self._guarded(self._go_on)

    def _go_on(self) -> None:
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
            # An answer that came does away with a timer: it would wake the loop for nothing, so it is set
            # anew.
            if abs(due - self._timer_at) < STEP_S:
                return
            self._timer.cancel()
        wait = max(STEP_S, due - clock())
        self._timer_at = clock() + wait
        self._timer = self._loop.call_later(wait, self._tick)

    def _send(self) -> None:
        out, self.member.out = self.member.out, []
        if self._socket is None:
            return
        for address, data in out:
            if address not in self._places:
                if len(self._places) >= PLACES:
                    self._places.clear()
                self._places[address] = place(address)
            at = self._places[address]
            if at is None:
                self._failing(f"{address!r} is no address")
                continue
            try:
                self._socket.sendto(data, at)
            except (BlockingIOError, InterruptedError):
                continue  # a datagram may be lost anywhere
            except OSError as error:
                self._failing(" ".join(str(error).split()))

    def _failing(self, why: str) -> None:
        if why != self._failed:
            self._failed = why
            self._log.tell("send_failed", error=why[:200])

    def _tell_refused(self) -> None:
        if self._socket is None:
            return
        now = self.member.refused
        counts = {why: now[why] - self._told[why] for why in now if now[why] > self._told[why]}
        if counts:
            self._told = dict(now)
            self._log.tell("refused", counts=counts)
        self._loop.call_later(REFUSED_S, self._tell_refused)
