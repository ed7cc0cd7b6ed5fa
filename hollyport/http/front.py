"""The application over HTTP/1.1: bytes in, requests out, one answer each."""

from __future__ import annotations

import asyncio
import re
import sys
import traceback
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

import httptools

from hollyport.contract import Service, Terms
from hollyport.guest import Guest
from hollyport.http import heads
from hollyport.http.heads import Headers
from hollyport.http.message import Message, head

if TYPE_CHECKING:
    from hollyport.listener import Listener

MAX_BODY = 64 * 1024
MAX_HEAD = 32 * 1024
PIECE = 4096  # bytes parsed at a time: bounds what one read can begin
CLOSING = frozenset({400, 404, 405, 408, 409, 413, 417, 431})  # answered and closed: what follows is as bad
DIGITS = re.compile(rb"[0-9]{1,18}")


class Refused(Exception):
    """What the client sends can't be a request; raised through the parser to stop it."""


class ClientConnection(Guest[Message]):
    """One connection of the application."""

    def __init__(
        self, listener: Listener, loop: asyncio.AbstractEventLoop, service: Service,
        admit: Callable[[Message], Terms | int], pages: Mapping[bytes, Callable[[], bytes]],
    ) -> None:
        super().__init__(listener, loop)
        self._service, self._admit, self._pages = service, admit, pages
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._message: Message | None = None  # being read
        self._raw = 0  # bytes since the message began, while its head is not whole
        self._in_head = True
        self._body: list[bytes] = []
        self._size = 0
        self._error = 0

    # --- Guest

    def _feed(self, data: bytes) -> None:
        """Parse piece by piece, for as long as more requests may wait."""
        at = 0
        while at < len(data) and not self._deaf:
            if self._enough():
                self._put_off(data[at:])
                return
            piece = data[at:at + PIECE] if len(data) > PIECE else data
            at += PIECE
            self._parse(piece)
        if self._active is None and not self._deaf:
            self._listener.move(self, self._place())

    def _parse(self, piece: bytes) -> None:
        assert self._parser is not None
        self._raw += len(piece)
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserError:  # also what a callback refused, CONNECT and upgrades
            self._error = self._error or 400
        # Counted raw: a header that never ends would only grow inside the parser.
        if self._in_head and self._raw > MAX_HEAD:
            self._error = self._error or 431
        # Where a request in this piece was answered with an error, what follows it gets no second one.
        if self._error and not self._deaf:
            self._deaf = True
            self._parser = None
            if self._active is None:
                self._reject()

    def eof_received(self) -> None:
        """A client that closes has gone away: the transport closes, and connection_lost tells the rest."""

    def _let_go(self) -> None:
        self._parser = None  # it holds this connection: without the cycle both go at once
        self._message = None

    def _hangup(self, active: Message) -> None:
        self._service.hangup(active)

    def reading(self) -> bool:
        """Whether part of a request has come."""
        return self._message is not None or self._raw > 0

    def time_out(self) -> None:
        """The request has been coming in for too long."""
        if not self._deaf and self._active is None:
            self._error = 408
            self._reject()

    # --- httptools

    def on_message_begin(self) -> None:
        self._message = Message(self)
        self._in_head = True
        self._body, self._size = [], 0

    def on_url(self, url: bytes) -> None:
        if self._message is not None:
            self._message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self._message is not None
        self._message.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Framing that two readers could read in two ways is refused: it may hide another request."""
        message, parser = self._message, self._parser
        assert message is not None and parser is not None
        self._in_head = False
        lengths, codings = message.all(b"content-length"), message.all(b"transfer-encoding")
        hosts, version = len(message.all(b"host")), parser.get_http_version()
        if (
            len(lengths) > 1 or any(DIGITS.fullmatch(value) is None for value in lengths)
            or (codings and (lengths or version != "1.1" or [v.lower() for v in codings] != [b"chunked"]))
            or hosts > 1 or (not hosts and version == "1.1") or version not in ("1.0", "1.1")
        ):
            self._error = 400
        elif lengths and int(lengths[0]) > MAX_BODY:
            self._error = 413
        else:
            expect = message.header(b"expect")
            if expect is not None and expect.lower() != b"100-continue":
                self._error = 417
            elif expect is not None and self._transport is not None and self._active is None:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if self._error:
            raise Refused

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > MAX_BODY:
            self._error = 413
            raise Refused
        self._body.append(body)

    def on_message_complete(self) -> None:
        message, parser = self._message, self._parser
        assert message is not None and parser is not None
        self._message = None
        self._raw, self._in_head, self._spoke = 0, True, True
        if self._deaf:
            return
        message.method = parser.get_method()
        message.body = b"".join(self._body)
        message.keep_alive = parser.should_keep_alive()
        message.came = self._loop.time()
        self._body = []
        self._came(message)

    # --- answers

    def _begin(self, message: Message) -> None:
        self._active = message
        self._listener.move(self, None)
        path = message.target.partition(b"?")[0]
        if path == b"/-/ready":
            message.answer(200 if self._service.ready() else 503)
        elif path in self._pages:
            message.answer(200, self._pages[path]())
        elif path.startswith(b"/-/"):
            message.answer(404)
        elif message.method not in (b"GET", b"POST"):
            message.answer(405, headers=[(b"Allow", b"GET, POST")])
        else:
            self._asked = True
            try:
                terms = self._admit(message)
                if isinstance(terms, int):
                    message.answer(terms)
                else:
                    self._service.request(message, terms)
            except Exception:
                # Raised through the parser it would pass for bad HTTP, and leave no trace.
                traceback.print_exc(file=sys.stderr)
                message.answer(500)

    def answer(self, message: Message, status: int, body: bytes, headers: Headers) -> None:
        """See Message.answer."""
        transport = self._transport
        if message is not self._active or transport is None:
            return
        self._active = None
        if status == 200 and self._asked:
            self._listener.served(self)
        last = self._listener.stopping and not self._waiting and not self._held_back
        keep = message.keep_alive and not last and status not in CLOSING
        # Clients have only so many connections: where many ask once and stay, kept ones would use them up.
        keep = keep and not (self._listener.crowded(self) and not self._waiting and not self._held_back)
        transport.write(head(status, len(body), headers, keep) + body)
        if not keep and status not in CLOSING and not self._error:
            self._deaf = True
            self._listener.move(self, self._listener.leaving)  # ends it where the client does not read
            transport.close()
        elif not keep:
            self._leave()
        elif self._error:
            self._reject()
        else:
            self._listener.move(self, self._place())
            if self._waiting or self._held_back:
                self._loop.call_soon(self._next)

    def _reject(self) -> None:
        """Answer what can't be served."""
        transport = self._transport
        if transport is not None and not transport.is_closing():
            transport.write(head(self._error, 0, [], False))
            self._leave()


def turned_away(begun: bytes, wait_s: float, own: bool) -> bytes:
    """What a client is told that is not let in though it has begun a request: nothing of it was taken."""
    status = 429 if own else 503
    return head(status, 0, heads.retry_after(int(wait_s * 1e9)), False)
