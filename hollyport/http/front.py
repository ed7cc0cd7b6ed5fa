"""The application over HTTP/1.1: bytes in, requests out, one answer each."""

from __future__ import annotations

import asyncio
import re
import sys
import traceback
from collections.abc import Callable, Mapping
from functools import partial
from typing import TYPE_CHECKING

import httptools

from hollyport.bodies.blocks import Blocks
from hollyport.bodies.flow import Flow
from hollyport.core.contract import Service, Terms
from hollyport.guests.guest import AHEAD, Guest
from hollyport.http import heads
from hollyport.http.heads import Headers
from hollyport.http.message import Message, head

if TYPE_CHECKING:
    from hollyport.bodies.ledger import Ledger
    from hollyport.guests.listener import Listener
    from hollyport.http.back import Flowing

HOLD = 64 * 1024  # a body of up to so much is whole before anything is done about it
MAX_BODY = 48 << 20  # 32 MB are the promise
MAX_HEAD = 32 * 1024
PIECE = 4096  # bytes parsed at a time: bounds what one read can begin
LARGE_PIECE = 256 * 1024
LEAST_RATE = 48_000.0  # bytes a second of a body; 64 kB are what a client may take its time for
BODY_GRACE_S = 0.8  # and so long before the first of them: with the 2 s of a head within the 3 s of an error
STILL_S = 4.0  # how long a large body may come more slowly than that
PACE_S = 1.0  # how often that is looked at
UNREAD_S = 15.0  # how long a client may take nothing of a large answer
OWS = b" \t"  # may stand behind a value and is no part of it (RFC 9110, section 5.6.3); the parser leaves it
CLOSED = 405  # for a body that is sent to one of the sidecar's own pages
CLOSING = frozenset({400, 404, 405, 408, 409, 413, 417, 431})  # answered and closed: what follows is as bad
DIGITS = re.compile(rb"[0-9]{1,18}")


class Refused(Exception):
    """What the client sends can't be a request; raised through the parser to stop it."""


class ClientConnection(Guest[Message]):
    """One connection of the application.

    It is the source of a large request's body and the sink of a large answer's (hollyport.bodies.flow).
    """

    def __init__(
        self,
        listener: Listener,
        loop: asyncio.AbstractEventLoop,
        service: Service,
        admit: Callable[[Message], Terms | int],
        pages: Mapping[bytes, Callable[[], bytes]],
        ledger: Ledger,
    ) -> None:
        super().__init__(listener, loop)
        self._service, self._admit, self._pages, self._ledger = service, admit, pages, ledger
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._message: Message | None = None  # being read
        self._raw = 0  # bytes since the message began, while its head is not whole
        self._framing = 0  # bytes between two pieces of the body: sizes and extensions of chunks, trailers
        self._in_head = True
        self._headed = 0.0  # when the head was whole
        self._body: Blocks | None = None  # as far as it has come, where it is not passed on
        self._size = 0
        self._error = 0
        self._max_body, self._max_head = MAX_BODY, MAX_HEAD
        self._stopped = False  # the large body that is being read waits for its node
        self._paced = 0.0, 0  # how far it was, when it was looked at last
        self._down: Flow | None = None  # the large answer that is being passed on
        self._chunked = self._keep = False  # how
        self._unread: asyncio.TimerHandle | None = None

    # --- Guest

    def _feed(self, data: bytes) -> None:
        """Parse piece by piece, for as long as more requests may wait."""
        at = 0
        while at < len(data) and not self._deaf:
            if self._enough():
                self._put_off(data[at:])
                return
            size = self._piece()
            piece = data[at : at + size] if len(data) - at > size or at else data
            at += size
            self._parse(piece)
        if self._active is None and not self._deaf:
            self._listener.move(self, self._place())

    def _piece(self) -> int:
        """How much to parse at a time. In a large body of known length even many bytes begin nothing."""
        message = self._message
        if message is None or message.length is None or message.flow is None:
            return PIECE
        return max(1, min(message.length - self._size, LARGE_PIECE))

    def _enough(self) -> bool:
        message = self._message
        if message is not None and message.terms is not None:
            if message.flow is not None:
                return self._stopped
            if self._size > HOLD:
                return True  # not first in line, it stays where it is: there is no room for it here
        return self._full or len(self._waiting) >= AHEAD

    def _parse(self, piece: bytes) -> None:
        assert self._parser is not None
        self._raw += len(piece)
        size = self._size
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserError:  # also what a callback refused, CONNECT and upgrades
            self._error = self._error or 400
        self._framing = self._framing + len(piece) if self._size == size else 0
        # Counted raw: a header or a trailer that never ends would only grow inside the parser.
        if (self._raw if self._in_head else self._framing) > self._max_head:
            self._error = self._error or 431
        # Where a request in this piece was answered with an error, what follows it gets no second one.
        if self._error and not self._deaf:
            self._deaf = True
            self._parser = None
            if self._message is not None and self._message is self._active:
                self._break_off(self._message)
            if self._active is None:
                self._reject()
        elif self._message is not None and self._message.terms is not None:
            self._grow()

    def eof_received(self) -> None:
        """A client that closes has gone away: the transport closes, and connection_lost tells the rest."""

    def _let_go(self) -> None:
        self._parser = None  # it holds this connection: without the cycle both go at once
        self._body = None
        message, self._message = self._message, None
        if message is not None and message.flow is not None:
            message.flow.end(False)
        down, self._down = self._down, None
        if down is not None:
            down.drop()

    def _hangup(self, active: Message) -> None:
        if active.flow is not None:
            active.flow.drop()
        self._service.hangup(active)

    def _next(self) -> None:
        message = self._message
        if message is not None and message.terms is not None and not self._waiting:
            self._grow()
        super()._next()

    def reading(self) -> bool:
        """Whether part of a request has come."""
        return self._message is not None or self._raw > 0

    def time_out(self) -> None:
        """The request has been coming in for too long."""
        if not self._deaf and self._active is None:
            self._error = 408
            self._reject()

    def patience(self, since: float) -> float:
        """For how long a request may be coming in, in seconds: a body as long as its bytes take."""
        if self._in_head:
            return super().patience(since)
        return max(super().patience(since), self._headed - since + BODY_GRACE_S + self._size / LEAST_RATE)

    # --- httptools

    def on_message_begin(self) -> None:
        self._message = Message(self)
        self._in_head = True
        self._body, self._size, self._framing = None, 0, 0

    def on_url(self, url: bytes) -> None:
        if self._message is not None:
            self._message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_head:  # trailers are no part of the head, and nothing may be hidden in them
            assert self._message is not None
            self._message.headers.append((name.lower(), value.rstrip(OWS)))

    def on_headers_complete(self) -> None:
        """Framing that two readers could read in two ways is refused: it may hide another request."""
        message, parser = self._message, self._parser
        assert message is not None and parser is not None
        self._in_head, self._headed = False, self._loop.time()
        lengths, codings = message.all(b"content-length"), message.all(b"transfer-encoding")
        hosts, version = len(message.all(b"host")), parser.get_http_version()
        message.method = parser.get_method()
        if message.target[:1] != b"/":
            message.target = heads.origin(message.target)
        message.old = version == "1.0"
        if (
            len(lengths) > 1
            or any(DIGITS.fullmatch(value) is None for value in lengths)
            or (codings and (lengths or version != "1.1" or [v.lower() for v in codings] != [b"chunked"]))
            or hosts > 1
            or (not hosts and version == "1.1")
            or version not in ("1.0", "1.1")
        ):
            self._error = 400
        elif lengths and int(lengths[0]) > self._max_body:
            self._error = 413
        else:
            message.length = int(lengths[0]) if lengths else None
            if message.length is not None and message.length > HOLD:
                self._read_terms(message)
            expect = message.header(b"expect")
            if expect is not None and expect.lower() != b"100-continue":
                self._error = 417
            elif expect is not None and self._transport is not None and not (self._active or self._error):
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if self._error:
            raise Refused

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        message = self._message
        assert message is not None
        if self._size > self._max_body:
            self._error = 413
            raise Refused
        if message.flow is not None:
            message.flow.put(body)
            return
        if self._body is None:
            self._body = Blocks()
        self._body.append(body)
        if self._size > HOLD and message.terms is None:
            self._read_terms(message)
            if self._error:
                raise Refused

    def on_message_complete(self) -> None:
        message, parser = self._message, self._parser
        assert message is not None and parser is not None
        self._message = None
        self._raw, self._in_head, self._spoke = 0, True, True
        if self._deaf:
            return
        message.keep_alive = parser.should_keep_alive()
        message.came = self._loop.time()
        if message.flow is not None:
            message.flow.end(True)
            self._service.whole(message)
            return
        body, self._body = self._body, None
        if body is not None:
            self._keep_body(message, body)
        self._came(message)

    def _keep_body(self, message: Message, body: Blocks) -> None:
        """Give a request its whole body."""
        message.body = body.join()

    # --- a large request

    def _read_terms(self, message: Message) -> None:
        """Read what a request asks for while its body is still to come: what is no use need not be sent."""
        terms = CLOSED if message.target[:3] == b"/-/" else self._admit(message)
        if isinstance(terms, int):
            self._error = terms
        else:
            message.terms = terms._replace(growing=True)

    def _grow(self) -> None:
        """Hand over a large request, once as much of it has come as is held and nothing is before it."""
        message = self._message
        assert message is not None and message.terms is not None
        if message.flow is not None or self._size <= HOLD or self._active is not None or self._waiting:
            return
        if self._full or self._deaf:
            return
        self._active, self._asked = message, True
        self._listener.move(self, None)
        message.came = self._loop.time()
        message.flow = flow = Flow(self, self._ledger, replay=True)
        flow.on_spent = partial(self._service.spent, message)
        body, self._body = self._body, None
        for piece in body or ():
            flow.put(piece)
        self._paced = self._loop.time(), self._size
        self._loop.call_later(PACE_S, self._pace, message)
        try:
            self._service.request(message, message.terms)
        except Exception:
            traceback.print_exc(file=sys.stderr)
            message.answer(500)

    def _pace(self, message: Message) -> None:
        """A body may come slowly, but it has to come."""
        if message is not self._message or message.flow is None:
            return
        now, (since, size) = self._loop.time(), self._paced
        if self._stopped or self._size - size >= (now - since) * LEAST_RATE:
            self._paced = now, self._size
        elif now - since >= STILL_S:
            self._error = 408
            self._deaf = True
            self._break_off(message)
            self._reject()
            return
        self._loop.call_later(PACE_S, self._pace, message)

    def _break_off(self, message: Message) -> None:
        """What comes is no body: the request will never be whole."""
        self._active = None
        assert message.flow is not None
        message.flow.end(False)
        self._service.hangup(message)

    # --- source of its body

    def hold(self) -> None:
        """Read no more for now."""
        self._stopped = True
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def go_on(self) -> None:
        """Read on."""
        if self._stopped:
            self._stopped = False
            self._loop.call_soon(self._read_on)

    def unwanted(self) -> None:
        """Nobody takes the rest: whoever answers sees to it."""

    def _read_on(self) -> None:
        if self._stopped or self._deaf or self._transport is None or self._transport.is_closing():
            return
        rest, self._rest, self._held_back = self._rest, b"", False
        self._transport.resume_reading()
        self._feed(rest)

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
        keep = status not in CLOSING and self._keeps(message)
        transport.write(head(status, len(body), headers, keep) + (b"" if message.method == b"HEAD" else body))
        if message.flow is not None:
            message.flow.drop()
            if message is self._message:
                # It is answered before it was whole. What still comes of it is read and dropped, so that the
                # client gets to read the answer.
                self._message = None
                self._leave()
                return
        self._go_on_after(keep, status)

    def _keeps(self, message: Message) -> bool:
        """Whether the connection goes on after the answer to a request."""
        if message is self._message or not message.keep_alive:
            return False
        if self._waiting or self._held_back:
            return True  # what was sent ahead is owed an answer
        # Clients have only so many connections: where many ask once and stay, kept ones would use them up.
        return not (self._listener.stopping or self._listener.crowded(self))

    def _go_on_after(self, keep: bool, status: int) -> None:
        transport = self._transport
        assert transport is not None
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
            transport.write(head(self._error, 0, self._error_headers(), False))
            self._leave()

    def _error_headers(self) -> Headers:
        """What goes with the answer to what can't be served."""
        return []

    # --- a large answer

    def flow(self, message: Message, answer: Flowing) -> None:
        """Pass on an answer as it comes."""
        transport = self._transport
        if message is not self._active or transport is None or transport.is_closing():
            answer.flow.drop()
            return
        self._listener.served(self)
        self._chunked = answer.length is None and not message.old
        self._keep = self._keeps(message) and (answer.length is not None or self._chunked)
        begin = head(200, answer.length, heads.returned(answer.headers), self._keep, message.old)
        transport.write(begin)
        if message.flow is not None:
            message.flow.drop()
        self._down = answer.flow
        if self._full:
            answer.flow.hold()
        answer.flow.attach(self)

    def more(self, data: bytes) -> None:
        """The next piece (hollyport.bodies.flow.Sink)."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(b"%x\r\n%s\r\n" % (len(data), data) if self._chunked else data)

    def ended(self, whole: bool) -> None:
        """The end of the answer, or a break that the client has to see (hollyport.bodies.flow.Sink)."""
        self._down = None
        self._calm()
        transport, self._active = self._transport, None
        if transport is None or transport.is_closing():
            return
        if whole:
            if self._chunked:
                transport.write(b"0\r\n\r\n")
            self._go_on_after(self._keep, 200)
            return
        # What the node gave still goes out. Where nothing but the close tells the end, it has to be a reset.
        self._deaf = True
        if self._chunked or self._keep:
            self._listener.move(self, self._listener.leaving)
            transport.close()
        else:
            transport.abort()

    def pause_writing(self) -> None:
        super().pause_writing()
        if self._down is not None:
            self._down.hold()
            self._unread = self._loop.call_later(UNREAD_S, self.abort)

    def resume_writing(self) -> None:
        self._calm()
        if self._down is not None:
            self._full = False
            self._down.go_on()
        else:
            super().resume_writing()

    def _calm(self) -> None:
        if self._unread is not None:
            self._unread.cancel()
            self._unread = None

    def connection_lost(self, exc: Exception | None) -> None:
        self._calm()
        super().connection_lost(exc)


def turned_away(begun: bytes, wait_s: float, own: bool) -> bytes:
    """What a client is told that is not let in though it has begun a request: nothing of it was taken."""
    status = 429 if own else 503
    return head(status, 0, heads.retry_after(int(wait_s * 1e9)), False)
