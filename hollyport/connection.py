"""One connection to a server or to discovery: requests out, answers in, and what makes an answer useless."""

from __future__ import annotations

import asyncio
import re
import select
from collections.abc import Callable
from typing import NamedTuple, cast

import httptools

from hollyport.http import heads

MAX_BODY = 1 << 20  # real answers are larger than the 64 KiB that are promised; 350 KB were seen
MAX_HEAD = 16 * 1024  # of one answer, the 1xx ahead of it included
DIGITS = re.compile(rb"[0-9]{1,18}")
SPLITS = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")  # what may end a header, or the answer, for some reader
NO_BODY = (204, 304)


class Reply(NamedTuple):
    """One whole answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """The first header of this lower-case name."""
        return next((value for key, value in self.headers if key == name), None)

    def riding(self) -> dict[str, float]:
        """The load report that rides along with an answer."""
        return heads.load(self.header(b"x-server-load"))

    def report(self) -> dict[str, float]:
        """The load report that is the answer to a probe."""
        return heads.load(self.body)


Done = Callable[["Reply | None"], None]


class Spoilt(Exception):
    """What comes can't be an answer; raised through the parser to stop it."""


class Connection(asyncio.Protocol):
    """One HTTP/1.1 connection as a client: one exchange at a time, and nothing is ever sent again.

    Answers are not trusted. One that can't be read, has no or an ambiguous length, is too long or stops half
    way is spoilt, and known to be as early as it can be: the request has run, and its client is waiting.
    """

    def __init__(
        self, on_lost: Callable[[Connection], None], max_body: int = MAX_BODY, stall_s: float = 0.0
    ) -> None:
        self._on_lost = on_lost
        self._max_body = max_body
        self._stall_s = stall_s  # how long an answer that has begun may pause; 0 for any time
        self._stall: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._done: Done | None = None
        self._poll: select.poll | None = None  # asked before each use
        self._blocked = False
        self._written = True
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._size = self._raw = 0
        self._in_head = True
        self._complete = False
        self._status = 0
        self.lost = False
        self.spoilt = False  # the last answer was no answer
        self.reusable = True
        self.idle_since = 0.0

    # --- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        # Without a buffer to hide in, a write that the kernel did not take whole shows in pause_writing.
        self._transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        self._blocked = True

    def resume_writing(self) -> None:
        self._blocked = False
        self._written = True

    def data_received(self, data: bytes) -> None:
        if self._done is None or self._parser is None:
            self.abort()  # nobody asked: the two sides disagree about where an answer ends
            return
        self._raw += len(data)
        spoilt = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:  # also what a callback found spoilt, and switched protocols
            spoilt = True
        if self._complete:
            # What may follow belongs to nobody. It does not make the answer worse, but ends the connection.
            self.reusable = self.reusable and not spoilt
            self._finish(Reply(self._status, self._headers, b"".join(self._body)))
        elif spoilt or (self._in_head and self._raw > MAX_HEAD):
            self._spoil()
        elif self._stall_s:
            if self._stall is not None:
                self._stall.cancel()
            self._stall = asyncio.get_running_loop().call_later(self._stall_s, self._spoil)

    def eof_received(self) -> None:
        # Also where an answer has no length: its end can't be told from a break, so it counts as one.
        self.reusable = False

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self.reusable = False
        self._parser = None  # it holds this connection: without the cycle both go at once
        self._finish(None)
        self._on_lost(self)

    def _spoil(self) -> None:
        self.spoilt = True
        self.abort()
        self._finish(None)

    # --- httptools

    def on_message_begin(self) -> None:
        if self._complete:
            self.reusable = False  # a second answer to one request
            raise Spoilt
        self._headers, self._body, self._size = [], [], 0
        self._in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        parser = self._parser
        assert parser is not None
        status = parser.get_status_code()
        if status == 101:
            raise Spoilt  # nobody asked for another protocol
        if status < 200:
            return
        self._in_head = False
        lengths, codings = [], []
        for name, value in self._headers:
            if SPLITS.search(value):
                raise Spoilt
            if name == b"content-length":
                lengths.append(value)
            elif name == b"transfer-encoding":
                codings.append(value.lower())
        framed = codings == [b"chunked"] if codings else len(lengths) == 1 and DIGITS.fullmatch(lengths[0])
        if not framed and status not in NO_BODY or (codings and lengths):
            raise Spoilt
        if lengths and int(lengths[0]) > self._max_body:
            raise Spoilt

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > self._max_body:
            raise Spoilt
        self._body.append(body)

    def on_message_complete(self) -> None:
        parser = self._parser
        assert parser is not None
        status = parser.get_status_code()
        if status < 200:
            return  # 1xx: the answer is still to come
        # Asked here and not after feed_data: the parser forgets the message's framing when it ends, and then
        # says that no connection can be kept.
        self.reusable = self.reusable and parser.should_keep_alive()
        self._status = status
        self._complete = True

    # --- for the owner

    @property
    def written(self) -> bool:
        """Whether the kernel has taken the last byte of the request."""
        return self._written

    def send(self, data: bytes, done: Done) -> None:
        """Write a request; `done` gets the answer, or None if the connection ends before its last byte."""
        assert self._done is None and self._transport is not None
        self._done, self._complete, self._raw, self._in_head = done, False, 0, True
        self._written = False
        if self._transport.is_closing():
            # A server at its limit accepts and closes: the end may be known before the first send, and a
            # write would then raise and leave the attempt without an outcome.
            self._finish(None)
            return
        self._transport.write(data)
        self._written = not self._blocked and not self._transport.is_closing()

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

    def _calm(self) -> None:
        if self._stall is not None:
            self._stall.cancel()
            self._stall = None

    def _finish(self, reply: Reply | None) -> None:
        self._calm()
        self._headers, self._body = [], []
        done, self._done = self._done, None
        if done is not None:
            done(reply)
