"""One connection of the application, whatever protocol it speaks: requests one after the other, one answer
each, and bounds on what is read ahead and on what is not read."""

from __future__ import annotations

import asyncio
import select
from collections import deque
from typing import Any, Generic, Protocol, TypeVar, cast

MAX_DRAIN = 96 * 1024 * 1024  # what is read on after an error, so that the client gets to read it
LINGER_MOST_S = 20.0  # for so long what it sends keeps it from being ended
AHEAD = 8  # requests read ahead of the answer before; the rest waits unparsed or in the kernel


class Taken(Protocol):
    """What a guest's requests are to it; all else is the front's and the core's."""

    request_id: str


M = TypeVar("M", bound=Taken)
Queue = dict["Guest[Any]", float]


class House(Protocol):
    """What a guest needs of whoever let it in. The queues end those that stand in them for too long."""

    partial: Queue
    kept: Queue
    visitors: Queue
    leaving: Queue
    stopping: bool
    whole_s: float

    def made(self, connection: Guest[Any]) -> None:
        """A connection is up."""

    def lost(self, connection: Guest[Any]) -> None:
        """A connection has ended."""

    def served(self, connection: Guest[Any]) -> None:
        """A request of a connection was answered by a node."""

    def crowded(self, connection: Guest[Any]) -> bool:
        """Whether a connection is better closed after its answer than kept."""

    def move(self, connection: Guest[Any], queue: Queue | None) -> None:
        """Put a connection at the end of a queue, or in none."""


class Guest(asyncio.Protocol, Generic[M]):
    """One connection of the application.

    One request at a time is with the core (`_active`); those sent ahead wait for its answer. A protocol's
    part parses in `_feed`, begins a request in `_begin` and answers what can't be served in `_reject`.
    """

    def __init__(self, listener: House, loop: asyncio.AbstractEventLoop) -> None:
        self._listener, self._loop = listener, loop
        self.place: Queue | None = None  # the listener's queue that it stands in
        self.accepted = loop.time()
        self._transport: asyncio.Transport | None = None
        self._held_back = False  # what has come is not parsed yet: enough requests wait already
        self._rest = b""  # and this is it
        self._active: M | None = None  # owed an answer
        self._waiting: deque[M] = deque()  # sent ahead of the answer before
        self._spoke = False  # a whole request has come
        self._asked = False  # one that was more than a look at readiness
        self._deaf = False  # nothing more is read from here
        self._drained = 0
        self._unsent = 1 << 62  # of its answers, when that was looked at last
        self._left_at = 0.0  # when its last answer was written
        self._full = False  # the client does not read its answers

    # --- the protocol's part

    def _feed(self, data: bytes) -> None:
        """Parse, for as long as more requests may wait; keep what is left in `_rest`."""
        raise NotImplementedError

    def _begin(self, request: M) -> None:
        """Hand a request to the core."""
        raise NotImplementedError

    def _let_go(self) -> None:
        """The connection ends or reads no more: drop what is half read."""

    def reading(self) -> bool:
        """Whether part of a request has come."""
        raise NotImplementedError

    def time_out(self) -> None:
        """The request has been coming in for too long."""
        raise NotImplementedError

    # --- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        self._listener.made(self)

    def data_received(self, data: bytes) -> None:
        if self._deaf:
            # Read on for a while, or the close would reset the connection and take the error with it.
            self._drained += len(data)
            if self._drained > MAX_DRAIN:
                self.abort()
            elif self.place is self._listener.leaving and self._loop.time() - self._left_at < LINGER_MOST_S:
                self._listener.move(self, self._listener.leaving)  # it still sends, and can't read yet
            return
        if self._held_back:
            self._rest += data
            return
        self._feed(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._listener.lost(self)
        self._deaf = True
        self._let_go()
        self._rest, self._held_back = b"", False
        self._waiting.clear()
        active, self._active = self._active, None
        if active is not None:
            self._hangup(active)

    def _hangup(self, active: M) -> None:
        """The client has left while a request was with the core."""
        raise NotImplementedError

    def pause_writing(self) -> None:
        self._full = True  # nothing further is begun for a client that does not read

    def resume_writing(self) -> None:
        self._full = False
        if self._active is None:
            self._next()

    # --- one after the other

    def _came(self, request: M) -> None:
        """A whole request has come."""
        if self._active is None and not self._waiting and not self._full:
            self._begin(request)
        else:
            self._waiting.append(request)

    def _enough(self) -> bool:
        """Whether no more is to be parsed for now."""
        return len(self._waiting) >= AHEAD or self._full

    def _put_off(self, data: bytes) -> None:
        """Keep what is not to be parsed yet, and read no more."""
        self._rest, self._held_back = data, True
        if self._transport is not None:
            self._transport.pause_reading()

    def _next(self) -> None:
        """Begin what was sent ahead, and parse on what was read ahead."""
        if self._active is not None or self._full or self._transport is None or self._transport.is_closing():
            return
        if self._waiting:
            self._begin(self._waiting.popleft())
        elif self._held_back:
            rest, self._rest, self._held_back = self._rest, b"", False
            self._transport.resume_reading()
            self._feed(rest)

    def _place(self) -> Queue:
        """The queue to stand in while no answer is owed."""
        if self.reading():
            return self._listener.partial
        return self._listener.kept if self._asked else self._listener.visitors

    def _leave(self) -> None:
        """Close once all is written and the client has had time to read it. The listener ends it in the end,
        also where the client neither reads nor closes."""
        self._deaf = True
        self._waiting.clear()
        self._rest, self._held_back = b"", False
        self._let_go()
        self._left_at = self._loop.time()
        transport = self._transport
        if transport is not None and not transport.is_closing():
            transport.resume_reading()
            transport.write_eof()
            self._listener.move(self, self._listener.leaving)

    # --- for the listener

    def unsent(self) -> int:
        """Bytes of answers that the kernel has not taken yet."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def unsent_shrinks(self) -> bool:
        """Whether some are left, and fewer than when this was asked last."""
        before, self._unsent = self._unsent, self.unsent()
        return 0 < self._unsent < before

    def patience(self, since: float) -> float:
        """For how long a request that has been coming in since then may go on doing so, in seconds."""
        return self._listener.whole_s

    def fresh(self) -> bool:
        """Whether no whole request has ever come."""
        return not self._spoke

    def busy(self) -> bool:
        """Whether an answer is owed."""
        return self._active is not None or bool(self._waiting)

    def quiet(self) -> bool:
        """Whether nothing that was sent here is left unread.

        Protects a request that has come and was not read yet: closing would cut it off.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return True
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not poll.poll(0)

    def close(self) -> None:
        """Close; with an answer that the client does not read, a mere close would never come to its end."""
        transport = self._transport
        if transport is not None and transport.get_write_buffer_size():
            transport.abort()
        elif transport is not None:
            transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()
