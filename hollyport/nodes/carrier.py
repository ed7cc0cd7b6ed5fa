"""One connection to a node, whatever protocol it speaks: what was written, what came, and when it can be
used again."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from typing import Any, cast

from hollyport.core.contract import Answered

Done = Callable[["Answered | None"], None]


class Carrier(asyncio.Protocol):
    """One exchange at a time, and nothing is ever sent again.

    Answers are not trusted. One that can't be read, is too long or stops half way is spoilt, and known to be
    as early as it can be: the request has run, and its client is waiting. A protocol's part writes in
    `_write`, reads in `_read` and ends each exchange by `_finish` or `_spoil`.
    """

    def __init__(self, on_lost: Callable[[Any], None], stall_s: float = 0.0) -> None:
        self._on_lost = on_lost
        self._stall_s = stall_s  # how long an answer that has begun may pause; 0 for any time
        self._stall: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None
        self._done: Done | None = None
        self._poll: select.poll | None = None  # asked before each use
        self._blocked = False
        self._written = True
        self._open_ended = False  # more of the request is to come
        self._last = 0.0  # when something of an answer came last
        self.lost = False
        self.spoilt = False  # the last answer was no answer
        self.reusable = True
        self.idle_since = 0.0
        self.expect: tuple[bytes, bytes] | None = None  # header and value by which an answer is known, if set
        self.on_written: Callable[[], None] | None = None  # told once the kernel has the last byte
        self.on_begun: Callable[[Any], None] | None = None  # told of an answer passed on as it comes

    # --- the protocol's part

    def _write(self, request: Any) -> None:
        """Write a request by `_put`."""
        raise NotImplementedError

    def _read(self, data: bytes) -> None:
        """Bytes have come while an answer is waited for."""
        raise NotImplementedError

    def _let_go(self) -> None:
        """The connection has ended: drop what would hold it in a cycle."""

    # --- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        # Without a buffer to hide in, a write that the kernel did not take whole shows in pause_writing.
        self._transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        self._blocked = True

    def resume_writing(self) -> None:
        self._blocked = False
        if not self._open_ended:
            self._whole()

    def data_received(self, data: bytes) -> None:
        if self._done is None:
            self.abort()  # nobody asked: the two sides disagree about where an answer ends
            return
        self._read(data)

    def eof_received(self) -> None:
        # Also where an answer has no length: its end can't be told from a break, so it counts as one.
        self.reusable = False

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self.reusable = False
        self._let_go()
        self._finish(None)
        self._on_lost(self)

    # --- for the owner

    @property
    def written(self) -> bool:
        """Whether the kernel has taken the last byte of the request."""
        return self._written

    def send(self, request: Any, done: Done) -> None:
        """Write a request; `done` gets the answer, or None if the connection ends before its last byte."""
        assert self._done is None and self._transport is not None
        self._done = done
        self._written = False
        if self._transport.is_closing():
            # A server at its limit accepts and closes: the end may be known before the first send, and a
            # write would then raise and leave the attempt without an outcome.
            self._finish(None)
            return
        self._write(request)
        if not self._blocked and not self._open_ended and not self._transport.is_closing():
            self._whole()

    def silent(self) -> bool:
        """Whether an idle connection has nothing to read, neither an end nor a stray byte.

        Protects against sending on a connection whose end has arrived but was not read yet: that send would
        count as run. Nor may a second copy of the last answer pass for the answer to the next request.
        """
        transport = self._transport
        if transport is None or transport.is_closing() or not self.reusable:
            return False
        if self._poll is None:
            self._poll = select.poll()
            self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not self._poll.poll(0)

    def forget(self) -> None:
        """Nobody waits for the answer any more."""
        self._done = None
        self.on_written = self.on_begun = None
        self._calm()

    def close(self) -> None:
        """Close; with bytes that the peer does not take, a mere close would never come to its end."""
        self.reusable = False
        transport = self._transport
        if transport is not None and transport.get_write_buffer_size():
            transport.abort()
        elif transport is not None:
            transport.close()

    def abort(self) -> None:
        """Close at once."""
        self.reusable = False
        self._calm()
        if self._transport is not None:
            self._transport.abort()

    # --- for the protocol's part

    def _put(self, data: bytes) -> None:
        assert self._transport is not None
        self._transport.write(data)

    def _whole(self) -> None:
        """The kernel has taken all that was written."""
        self._written = True
        told, self.on_written = self.on_written, None
        if told is not None:
            told()

    def _wait_on(self) -> None:
        """An answer has begun and is not whole: it may not pause for long. One timer looks at when something
        came last: answers may come in thousands of pieces."""
        if self._stall_s:
            loop = asyncio.get_running_loop()
            self._last = loop.time()
            if self._stall is None:
                self._stall = loop.call_later(self._stall_s, self._look)

    def _look(self) -> None:
        loop = asyncio.get_running_loop()
        left = self._last + self._stall_s - loop.time()
        if left <= 0.001:
            self._stall = None
            self._spoil()
        else:
            self._stall = loop.call_later(left, self._look)

    def _spoil(self) -> None:
        self.spoilt = True
        self.abort()
        self._finish(None)

    def _calm(self) -> None:
        if self._stall is not None:
            self._stall.cancel()
            self._stall = None

    def _finish(self, answer: Answered | None) -> None:
        self._calm()
        self.on_written = self.on_begun = None
        done, self._done = self._done, None
        if done is not None:
            done(answer)
