"""A listening socket, whatever protocol is spoken there: who is let in, who has to go, and when."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from hollyport.guests.guest import Guest as AnyGuest

if TYPE_CHECKING:
    from hollyport.guards.door import Door

Guest = AnyGuest[Any]

BACKLOG = 1024
BATCH = 64  # connections taken in one go, so that a flood does not keep the loop from its other work
FEW = 8  # the same with a door: whoever waits can be told soon enough, and known clients' work comes between
SWEEP_S = 0.2
PAUSE_S = 0.02  # between looks at the listen queue while there is no room
WHOLE_S = 2.4  # from connecting, or the first byte of a later request, to its last; 3 s are the promise
SILENT_S = 2.1  # how long a connection may say nothing; 2 s are the promise
KEEP_S = 30.0  # how long one is kept between requests
LINGER_S = 2.0  # how long what a client still sends is read after its connection's last answer
SPARE_S = 2.0  # a connection between requests may be closed from here on
# Where there is no room, a connection that has said nothing is closed much sooner: the usual client
# sends as soon as it is connected, and its bytes would be in the kernel by now.
HUSH_S = 0.1
HURRY_S = 0.5  # so is one between requests, when it is the last resort
LOOK = 256  # connections looked at to find one of a source
SLOW_S = 1.0  # and so is one that has been sending a request for so long


class Listener:
    """The listening socket and all connections that came in by it.

    A connection stands in at most one queue, the longest there first; in none while an answer is owed.
    """

    def __init__(
        self,
        guest: Callable[[Listener], Guest],
        most: int,
        crowd: int,
        keep_s: float = KEEP_S,
        door: Door | None = None,
    ) -> None:
        self._guest = guest
        self.most = most
        self._crowd = crowd
        self._keep_s = keep_s
        self._door = door  # None: whoever comes is let in while there is room
        self._hosts: dict[Guest, str] = {}  # where guests come from, with a door
        self.stopping = False
        self.whole_s = WHOLE_S
        self.connections: set[Guest] = set()
        self.silent: dict[Guest, float] = {}  # nothing has come yet
        self.partial: dict[Guest, float] = {}  # part of a request has come
        self.kept: dict[Guest, float] = {}  # between requests
        self.visitors: dict[Guest, float] = {}  # have asked for readiness and nothing else
        self.leaving: dict[Guest, float] = {}  # had its last answer
        self._opening: set[asyncio.Task[None]] = set()
        self._socket: socket.socket | None = None
        self._shared = False  # the platform's, and perhaps another process's too: never bound or shut down
        self._accepting = False
        self._loop: asyncio.AbstractEventLoop | None = None
        self.on_lost: Callable[[], object] | None = None  # told where the listening socket itself has failed
        self.on_backlog: Callable[[bool], None] = lambda waiting: (
            None
        )  # told whether some are left unaccepted

    async def start(
        self, loop: asyncio.AbstractEventLoop, host: str, port: int, shared: socket.socket | None = None
    ) -> int:
        """Listen; return the port. A shared socket listens already, and is left alone until `accept`."""
        self._loop = loop
        if shared is not None:
            self._socket, self._shared = shared, True
        else:
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            self._socket = socket.create_server((host, port), family=family, backlog=BACKLOG)
            self._socket.setblocking(False)
            self.accept(True)
        loop.call_later(SWEEP_S, self._sweep)
        return int(self._socket.getsockname()[1])

    def accept(self, on: bool) -> None:
        """Take new connections, or leave them in the queue: of a shared socket, for whoever else accepts."""
        if self._socket is None or self._loop is None or on == self._accepting:
            return
        self._accepting = on
        if on:
            self._loop.add_reader(self._socket.fileno(), self._accept)
        else:
            self._loop.remove_reader(self._socket.fileno())

    def resize(self, most: int, crowd: int) -> None:
        """Hold at most so many connections from now on; those that are open go on."""
        self.most, self._crowd = most, crowd

    def patience(self, whole_s: float, keep_s: float) -> None:
        """How long a request may be coming in, and a connection idle between requests, from now on."""
        self.whole_s, self._keep_s = whole_s, keep_s

    def last_requests(self, on: bool = True) -> None:
        """Whether each answer closes its connection, from now on."""
        self.stopping = on

    def shut(self) -> None:
        """Listen no more. What waits in the queue of an own socket ends with it, so it is taken first; a
        shared one goes on elsewhere: only this process's hold on it is given up."""
        while self._socket is not None and not self._shared and self._take():
            pass
        if self._socket is not None:
            self.accept(False)
            self._socket.close()
            self._socket = None

    def empty(self) -> None:
        """Close what is between requests, but for what came so lately that its request is on its way."""
        assert self._loop is not None
        fresh = self._loop.time() - HUSH_S
        for connection in [*_older(self.silent, fresh), *self.visitors, *self.kept]:
            if connection.quiet():
                connection.close()

    def busy(self) -> bool:
        """Whether a connection is left that owes an answer or may hold an unread request."""
        if self._opening or len(self.connections) > len(self.leaving):
            return True
        return any(connection.unsent() for connection in self.leaving)

    # --- letting in

    def _accept(self) -> None:
        for _ in range(BATCH if self._door is None else FEW):
            if self._door is not None:
                if not self._take():
                    return
                continue
            if len(self.connections) + len(self._opening) >= self.most and not self._make_room():
                self._pause()
                return
            if not self._take():
                return
        self.on_backlog(True)

    def _take(self) -> bool:
        """Accept one connection; False if there is none, or no descriptor for it."""
        assert self._socket is not None and self._loop is not None
        try:
            made, peer = self._socket.accept()
        except BlockingIOError:
            self.on_backlog(False)
            return False
        except InterruptedError:
            return False
        except OSError as error:
            if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                if self._door is not None and self._door.without_descriptors(self._socket):
                    return True
                # The queue stays readable: without a pause this would be called again and again.
                self._pause()
                return False
            if error.errno in (errno.EINVAL, errno.EBADF, errno.ENOTSOCK):
                # The socket itself is gone, most likely shut down elsewhere: it would stay readable for good.
                self.accept(False)
                if self.on_lost is not None:
                    self.on_lost()
                return False
            return True  # that one client is gone already
        host = str(peer[0])
        if self._door is not None and not self._let_in(made, host):
            return True
        made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task = self._loop.create_task(self._open(self._guest(self), made, host))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)
        return True

    def _let_in(self, made: socket.socket, host: str) -> bool:
        """Ask the door; whoever is not let in is told so, or closed, at once."""
        assert self._loop is not None and self._door is not None
        now = self._loop.time()
        verdict = self._door.ask(host, now)
        if verdict.evict:
            verdict = verdict if not self._end_one_of(verdict.evict) else self._door.ask(host, now)
        # What is being closed may still hold its descriptor.
        crowded = verdict.admitted and len(self.connections) + len(self._opening) >= self.most
        if crowded and not self._make_room():
            verdict = verdict.full()
        if not verdict.admitted:
            self._door.turn_away(made, verdict)
            return False
        self._door.opened(host, now)
        return True

    def _end_one_of(self, host: str) -> bool:
        """End the connection of one source that is missed least. One that owes an answer never is."""
        now = self._loop.time() if self._loop is not None else 0.0
        for queue, age in (
            (self.leaving, 0.0), (self.visitors, HUSH_S), (self.silent, HUSH_S), (self.partial, SLOW_S),
            (self.kept, HURRY_S),
        ):  # fmt: skip
            for looked, (guest, since) in enumerate(queue.items()):
                if now - since < age or looked >= LOOK:
                    break
                if self._hosts.get(guest) == host and (queue is self.leaving or guest.quiet()):
                    if queue is self.partial:
                        guest.time_out()
                    self._end(guest)
                    return True
        return False

    async def _open(self, guest: Guest, made: socket.socket, host: str) -> None:
        assert self._loop is not None
        loop = self._loop
        if self._door is not None:
            self._hosts[guest] = host
        try:
            made.setblocking(False)
            await loop.connect_accepted_socket(lambda: guest, made)
        except OSError:
            made.close()  # the client is gone, or descriptors are
            self.lost(guest)

    def _pause(self) -> None:
        self.on_backlog(True)
        if self._socket is not None and self._loop is not None and self._accepting:
            self._loop.remove_reader(self._socket.fileno())
            self._loop.call_later(PAUSE_S, self._go_on)

    def _go_on(self) -> None:
        if self._socket is not None and self._loop is not None and self._accepting:
            self._loop.add_reader(self._socket.fileno(), self._accept)
            self._accept()

    def _make_room(self) -> bool:
        """End the connection that is missed least. Protects the usual client, which else waits in the listen
        queue behind hundreds that look in once, or say nothing, and stay: those go first. Idle clients go
        from 2 s on, and sooner only where nothing else is left to end."""
        assert self._loop is not None
        now = self._loop.time()
        for queue, age in (
            (self.leaving, HUSH_S),
            (self.visitors, HUSH_S),
            (self.silent, HUSH_S),
            (self.kept, SPARE_S),
            (self.kept, HURRY_S),
        ):
            for connection, since in list(queue.items()) if queue else ():
                if now - since < age:
                    break
                if queue is self.leaving or (connection.quiet() and not self._known(connection)):
                    self._end(connection)
                    return True
        for connection, since in list(self.partial.items()):
            if now - since >= SLOW_S and connection.quiet():
                connection.time_out()
                self._end(connection)
                return True
        return False

    def _end(self, connection: Guest) -> None:
        self.lost(connection)  # its descriptor is free with the loop's next turn
        connection.close()

    # --- for the connections

    def crowded(self, connection: Guest) -> bool:
        """Whether a connection is better closed after its answer than kept. Those of known clients are kept:
        what crowds them out here can only be others."""
        return len(self.connections) > self._crowd and not self._known(connection)

    def _known(self, connection: Guest) -> bool:
        if self._door is None or self._loop is None:
            return False
        host = self._hosts.get(connection)
        return host is not None and self._door.known(host, self._loop.time())

    def made(self, connection: Guest) -> None:
        """A connection is up."""
        self.connections.add(connection)
        self.move(connection, self.silent)

    def lost(self, connection: Guest) -> None:
        """A connection has ended."""
        self.connections.discard(connection)
        self.move(connection, None)
        if self._door is not None and self._loop is not None:
            host = self._hosts.pop(connection, None)
            if host is not None:
                self._door.closed(host, self._loop.time())

    def served(self, connection: Guest) -> None:
        """A request of a connection was answered by a node: its source is known for that."""
        if self._door is not None and self._loop is not None and connection in self._hosts:
            self._door.served(self._hosts[connection], self._loop.time())

    def move(self, connection: Guest, queue: dict[Guest, float] | None) -> None:
        """Put a connection at the end of a queue, or in none. A request that is coming in keeps its time."""
        assert self._loop is not None
        place = connection.place
        if place is queue and queue is self.partial:
            return
        if place is not None:
            place.pop(connection, None)
        connection.place = queue
        if queue is not None:
            fresh = queue is self.partial and connection.fresh()
            queue[connection] = connection.accepted if fresh else self._loop.time()

    # --- time limits

    def _sweep(self) -> None:
        assert self._loop is not None
        now = self._loop.time()
        limits = ((self.silent, SILENT_S), (self.kept, self._keep_s), (self.visitors, self._keep_s))
        for queue, age in limits:
            for connection in _older(queue, now - age):
                if connection.quiet():
                    connection.close()
        for connection in _older(self.leaving, now - LINGER_S):
            if connection.unsent_shrinks():
                self.move(connection, self.leaving)  # a slow client still takes the end of its answer
            else:
                connection.abort()
        for connection, since in list(self.partial.items()):
            if now - since >= connection.patience(since) and connection.quiet():
                connection.time_out()
        self._loop.call_later(SWEEP_S, self._sweep)


def _older(queue: dict[Guest, float], than: float) -> list[Guest]:
    """Those at the front of a queue that have stood there since before `than`."""
    found = []
    for connection, since in queue.items():
        if since > than:
            break
        found.append(connection)
    return found
