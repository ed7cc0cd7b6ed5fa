"""Servers and the pools of connections to them: attempts and probes, and what became of each."""

from __future__ import annotations

import asyncio
import errno
import sys
import traceback
from collections.abc import Callable, Iterator
from itertools import chain
from typing import Any

from dunefield.interface import IDLE_TIMEOUT_FRACTION, AttemptOutcome
from hollyport.core.contract import Answered, Ended
from hollyport.nodes.back import Back
from hollyport.nodes.carrier import Carrier
from hollyport.settings.config import Address

OWN_WANT = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
SWEEP_S = 1.0  # how often idle connections are looked through


def _no_request() -> Any:
    """Stands in for what made the request of an exchange that is over."""
    return b""


def _ignored(how: AttemptOutcome, answer: Answered | None) -> None:
    """Stands in for whoever was told how it ended."""


def _unwanted() -> bool:
    """Nobody waits for an exchange that is over."""
    return False


class Target:
    """One process of one server, and the idle connections to it."""

    __slots__ = ("address", "started_ns", "up", "back", "idle")

    def __init__(self, address: Address, started_ns: int, up: bool, back: Back) -> None:
        self.address, self.started_ns, self.up, self.back = address, started_ns, up, back
        self.idle: list[Carrier] = []  # the last used at the end: the rest may grow old


class Exchange:
    """One request to one server: one connection, written once at the most, ended exactly once."""

    def __init__(
        self, upstream: Upstream, target: Target, make: Callable[[], Any], limit_s: float, ended: Ended
    ) -> None:
        self._upstream, self._target, self._make, self._ended = upstream, target, make, ended
        self._loop = upstream.loop
        self._give_up = self._loop.time() + limit_s
        self._connection: Carrier | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._over = False
        self.touched = False  # something of it may have been written
        self._timer: asyncio.TimerHandle | None = None
        self._growing = False  # its request is still coming: the time to answer has not begun
        self._begun = False  # its answer is being passed on: the time to begin has been kept
        self.expect: tuple[bytes, bytes] | None = None  # header and value of its own answer
        self.on_begun: Callable[[Any], None] | None = None  # told of an answer passed on as it comes
        self.still_wanted: Callable[[], bool] = lambda: True  # asked once a new connection is up
        self.on_written: Callable[[], None] | None = None  # told once the last byte is written, where wanted

    def start(self) -> None:
        """Write to a pooled connection, or to a new one once it is up."""
        if self._give_up <= self._loop.time():
            self._end(AttemptOutcome.MOOT)
            return
        connection = self._upstream.take(self._target)
        if connection is not None:
            self._write(connection)
        elif not self._upstream.make_room():
            self._end(AttemptOutcome.MOOT)  # our own want of descriptors is no verdict on the server
        else:
            # A connection that comes up after its call has run out still goes to the pool: it is paid for.
            self._timer = self._loop.call_later(
                self._give_up - self._loop.time(), self._end, AttemptOutcome.MOOT
            )
            self._connecting = self._loop.create_task(self._connect())

    def cancel(self) -> None:
        """Stop waiting; what was written may have run."""
        self._end(AttemptOutcome.CANCELLED if self._connection is not None else AttemptOutcome.MOOT)

    async def _connect(self) -> None:
        target, address = self._target, self._target.address
        try:
            connection = await self._upstream.connect(address, target.back)
        except OSError as error:
            # Our own want of descriptors, ports or memory is no verdict on the server.
            self._end(AttemptOutcome.MOOT if error.errno in OWN_WANT else AttemptOutcome.CONNECT_FAILED)
            return
        except Exception:
            # Whatever went wrong, the attempt is over and must be told so, or its request would hang on it.
            traceback.print_exc(file=sys.stderr)
            self._end(AttemptOutcome.CONNECT_FAILED)
            return
        if self._over:
            self._upstream.release(target, connection)
        elif not self._may_write(address):
            self._upstream.release(target, connection)
            self._end(AttemptOutcome.MOOT)
        else:
            self._write(connection)

    def _may_write(self, address: Address) -> bool:
        """Whether to write after all. Connecting takes time in which the server may have begun to drain or
        the call have run out: look again before the first byte, for a send counts from there."""
        target = self._target
        if not target.up or target.address != address or self._loop.time() >= self._give_up:
            return False
        return self.still_wanted()

    def _write(self, connection: Carrier) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._connection = connection
        self.touched = True
        connection.on_written = self.on_written
        if self.expect is not None:
            connection.expect = self.expect
        if self.on_begun is not None:
            connection.on_begun = self._answer_begun
        connection.send(self._make(), self._replied)
        if not self._over and not self._growing:
            self._timer = self._loop.call_later(self._give_up - self._loop.time(), self._timed_out)

    def grow(self) -> None:
        """The request is still coming, so it may take any time; `expire` tells when that has an end."""
        self._growing = True

    def expire(self, at: float) -> None:
        """It has come whole: wait until then, by the loop's clock."""
        self._growing, self._give_up = False, at
        if self._over or self._begun:
            return
        if self._timer is not None:
            self._timer.cancel()
        late = self._end_moot if self._connection is None else self._timed_out
        self._timer = self._loop.call_later(at - self._loop.time(), late)

    def _end_moot(self) -> None:
        self._end(AttemptOutcome.MOOT)

    def _answer_begun(self, flowing: Any) -> None:
        if self._over or self.on_begun is None:
            return
        self._begun = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.on_begun(flowing)

    def _timed_out(self) -> None:
        # A request that never went out whole can't have run: servers begin with its last byte.
        assert self._connection is not None
        self._end(AttemptOutcome.TIMEOUT if self._connection.written else AttemptOutcome.CONNECT_FAILED)

    def _replied(self, answer: Answered | None) -> None:
        connection, self._connection = self._connection, None
        assert connection is not None
        if answer is None:
            if not connection.written:
                self._end(AttemptOutcome.CONNECT_FAILED)
            else:
                # A spoilt answer may come from any server and says nothing of its health, as a reset would:
                # it is we who withdraw, from a request that has run.
                self._end(AttemptOutcome.CANCELLED if connection.spoilt else AttemptOutcome.RESET)
            return
        if connection.written:
            self._upstream.release(self._target, connection)
        else:
            connection.abort()  # answered before the request was out: what is left of it would follow
        self._end(answer.how, answer)

    def _end(self, how: AttemptOutcome, answer: Answered | None = None) -> None:
        if self._over:
            return
        self._over = True
        if self._timer is not None:
            self._timer.cancel()
        if self._connection is not None:
            self._connection.forget()
            self._connection.abort()
            self._connection = None
        ended = self._ended
        self._let_go()
        ended(how, answer)

    def _let_go(self) -> None:
        """Refer to nothing of the call any more: the body would wait for a garbage collector, as whoever made
        the exchange may refer to it, and the traceback of a failed connection does."""
        self._make, self._ended = _no_request, _ignored
        self.on_begun = self.on_written = None
        self.still_wanted = _unwanted


class Upstream:
    """All servers that the list has named, and the connections to them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connect_timeout_ns: int,
        idle_ns: int,
        most: int,
        stall_s: float,
        back: Back,
    ) -> None:
        self.loop = loop
        self.connect_timeout_s = connect_timeout_ns / 1e9
        self._idle_s = idle_ns / 1e9 * IDLE_TIMEOUT_FRACTION
        self._most = most
        self._stall_s = stall_s
        self._back = back  # of nodes that are told without one
        self._open: set[Carrier] = set()
        self._dialling = 0
        self._targets: dict[str, Target] = {}
        self._sides: dict[str, Target] = {}  # of those that are probed on another port
        loop.call_later(SWEEP_S, self._sweep)

    def resize(self, most: int) -> None:
        """Hold at most so many connections from now on; idle ones beyond that are closed."""
        beyond = len(self._open) + self._dialling - most
        self._most = most
        for target in self._all():
            while target.idle and beyond > 0:
                target.idle.pop(0).close()
                beyond -= 1

    def keep(self, idle_s: float) -> None:
        """Retire connections that have been idle for so long from now on, in seconds."""
        self._idle_s = idle_s

    # --- the list

    def update(
        self, name: str, address: Address, started_ns: int, up: bool, back: Back | None = None
    ) -> None:
        """Take over one line of the list. A new process, address or protocol starts a pool of its own."""
        target, back = self._targets.get(name), back or self._back
        if target is None:
            self._enter(name, Target(address, started_ns, up, back))
        elif target.address != address or target.started_ns != started_ns or target.back is not back:
            self._retire(target)
            self._enter(name, Target(address, started_ns, up, back))
        else:
            target.up = up
            if not up:
                self._retire(target)

    def _enter(self, name: str, target: Target) -> None:
        self._targets[name] = target
        side = self._sides.pop(name, None)
        if side is not None:
            self._retire(side)
        beside = target.back.beside
        if beside is not None:
            address = target.address._replace(port=beside.port)
            self._sides[name] = Target(address, target.started_ns, True, beside.back)

    def keep_only(self, names: set[str]) -> None:
        """After a whole list: servers that are not in it are gone."""
        for name in self._targets.keys() - names:
            self.remove(name)

    def remove(self, name: str) -> None:
        """A server is gone; deploys bring new names all the time, so nothing of it is kept."""
        target = self._targets.pop(name, None)
        if target is not None:
            self._retire(target)
        side = self._sides.pop(name, None) if self._sides else None
        if side is not None:
            self._retire(side)

    def any_up(self) -> bool:
        """Whether the list has a server that takes requests."""
        return any(target.up for target in self._targets.values())

    def _retire(self, target: Target) -> None:
        target.up = False
        self._close_idle(target)

    @staticmethod
    def _close_idle(target: Target) -> None:
        while target.idle:
            target.idle.pop().close()

    # --- exchanges

    def exchange(self, name: str, make: Callable[[], Any], limit_s: float, ended: Ended) -> Exchange | None:
        """A request to a server, to be started by the caller; None if the list never named it as up."""
        target = self._targets.get(name)
        return Exchange(self, target, make, limit_s, ended) if target is not None else None

    def probe(self, name: str, limit_s: float, ended: Ended) -> Exchange | None:
        """A probe of a server, likewise; None also where it can't be probed."""
        target = self._sides.get(name) or self._targets.get(name)
        if target is None or target.back.probe is None:
            return None
        return Exchange(self, target, lambda: target.back.probe, limit_s, ended)

    def close_idle(self, name: str) -> None:
        """Close the idle connections to a server."""
        target = self._targets.get(name)
        if target is not None:
            self._close_idle(target)

    # --- connections

    def take(self, target: Target) -> Carrier | None:
        """The idle connection used last, if one is still good."""
        oldest = self.loop.time() - self._idle_s
        while target.idle:
            connection = target.idle.pop()
            if connection.idle_since > oldest and connection.silent():
                return connection
            connection.close()
        return None

    def release(self, target: Target, connection: Carrier) -> None:
        """Keep a connection for later, unless it or its process is done with."""
        if target.up and connection.reusable:
            connection.idle_since = self.loop.time()
            target.idle.append(connection)
        else:
            connection.close()

    def make_room(self) -> bool:
        """Whether one more connection may be opened; the longest idle one gives way to it."""
        if len(self._open) + self._dialling < self._most:
            return True
        idle = [(c.idle_since, t) for t in self._all() for c in t.idle[:1]]
        if not idle:
            return False
        min(idle, key=lambda pair: pair[0])[1].idle.pop(0).abort()
        return True

    async def connect(self, address: Address, back: Back) -> Carrier:
        """A new connection, within the connect timeout."""
        connection = back.connection(self._lost, self._stall_s)
        self._dialling += 1
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await self.loop.create_connection(lambda: connection, address.host, address.port)
        except BaseException:
            connection.abort()  # it may have come up at the very moment of the timeout
            raise
        finally:
            self._dialling -= 1
        if not connection.lost:  # else its end was told before it was known here, and would count for good
            self._open.add(connection)
        return connection

    def _all(self) -> Iterator[Target]:
        return chain(self._targets.values(), self._sides.values())

    def _lost(self, connection: Carrier) -> None:
        self._open.discard(connection)
        if not connection.idle_since:
            return
        for target in self._all():
            if connection in target.idle:
                target.idle.remove(connection)
                return

    def _sweep(self) -> None:
        """Retire what has been idle for long, safely before the server does: a send that crosses the
        server's close ends as a reset, which may have run."""
        oldest = self.loop.time() - self._idle_s
        for target in self._all():
            while target.idle and target.idle[0].idle_since <= oldest:
                target.idle.pop(0).close()
        self.loop.call_later(SWEEP_S, self._sweep)
