"""HTTP/1.1 towards nodes and discovery: requests out, answers in, and what makes an answer useless."""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

import httptools

from dunefield.interface import AttemptOutcome
from hollyport.bodies.flow import Flow, Sink
from hollyport.bodies.ledger import Ledger
from hollyport.http import heads
from hollyport.nodes.back import Beside
from hollyport.nodes.carrier import Carrier

MAX_BODY = 1 << 20  # of an answer that is held whole
MAX_FLOW = 64 << 20  # of one that is passed on as it comes; 32 MB are the promise
LARGE = 64 * 1024  # from here on an answer is passed on as it comes
UNSURE_S = 1.0  # and so is one of unknown length that has been coming for so long
SILENT_S = 5.0  # how long one may stand still that is being passed on
UNREAD_S = 10.0  # how long a node may take nothing of a body that is being sent to it
MAX_HEAD = 16 * 1024  # of one answer, the 1xx ahead of it included
DIGITS = re.compile(rb"[0-9]{1,18}")
SPLITS = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")  # what may end a header, or the answer, for some reader
NO_BODY = (204, 304)


class Reply(NamedTuple):
    """One whole answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    transfer_s: float = 0.0

    def header(self, name: bytes) -> bytes | None:
        """The first header of this lower-case name."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def how(self) -> AttemptOutcome:
        """What an answer says of the attempt; only a server that says so has not run it."""
        if self.status == 200:
            return AttemptOutcome.OK
        if self.status in (503, 504) and self.header(b"x-not-processed") == b"1":
            return AttemptOutcome.FULL
        return AttemptOutcome.ERROR

    def riding(self) -> dict[str, float]:
        """The load report that rides along with an answer."""
        return heads.load(self.header(b"x-server-load"))

    def report(self) -> dict[str, float]:
        """The load report that is the answer to a probe."""
        return heads.load(self.body)


class Flowing(NamedTuple):
    """An answer that has begun, and is passed on as it comes."""

    headers: list[tuple[bytes, bytes]]
    length: int | None  # None: its end shows when it is there
    flow: Flow


class Feed(Protocol):
    """Where the body of a request comes from, piece by piece."""

    def attach(self, sink: Sink) -> None:
        """Give a sink what has come, and all that will."""

    def detach(self, sink: Sink) -> None:
        """The sink takes no more."""

    def hold(self) -> None:
        """The sink can't take more for now."""

    def go_on(self) -> None:
        """It can."""


class Outgoing(NamedTuple):
    """A request whose body goes out piece by piece."""

    head: bytes
    chunked: bool
    flow: Feed


class Spoilt(Exception):
    """What comes can't be an answer; raised through the parser to stop it."""


class Connection(Carrier):
    """One HTTP/1.1 connection as a client. An answer that has no or an ambiguous length is spoilt, too."""

    def __init__(
        self,
        on_lost: Callable[[Connection], None],
        max_body: int = MAX_BODY,
        stall_s: float = 0.0,
        ledger: Ledger | None = None,
        unread_s: float = UNREAD_S,
    ) -> None:
        """`unread_s`: how long a node may take nothing of a body that is being sent; 0 for any time."""
        super().__init__(on_lost, stall_s)
        self._unread_s = unread_s
        self._max_body = max_body
        self._usual_stall_s, self._ledger = stall_s, ledger
        self._length: int | None = None
        self._until_close = False
        self._since = 0.0  # when the answer's head was there
        self._down: Flow | None = None  # the answer, while it is passed on
        self._up: Feed | None = None  # the request's body, while it comes
        self._chunked = False
        self._unread: asyncio.TimerHandle | None = None
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._size = self._raw = 0
        self._in_head = True
        self._complete = False
        self._status = 0

    # --- Carrier

    def _write(self, request: Any) -> None:
        self._complete, self._raw, self._in_head, self._until_close = False, 0, True, False
        if type(request) is bytes:
            self._put(request)
        else:
            self._up, self._chunked, self._open_ended = request.flow, request.chunked, True
            self._put(request.head)
            request.flow.attach(self)

    def _let_go(self) -> None:
        self._parser = None  # it holds this connection: without the cycle both go at once
        self._headers, self._body = [], []
        self._take_no_more()
        if self._down is not None:
            self._down.end(False)

    def _take_no_more(self) -> None:
        """The body that is being sent here may go elsewhere, before anybody hears that this one is over."""
        up, self._up = self._up, None
        if up is not None:
            up.detach(self)

    def forget(self) -> None:
        super().forget()
        self._take_no_more()
        down, self._down = self._down, None
        if down is not None:
            down.end(False)

    def pause_writing(self) -> None:
        super().pause_writing()
        if self._up is not None:
            self._up.hold()
            if self._unread_s:
                self._unread = asyncio.get_running_loop().call_later(self._unread_s, self.abort)

    def resume_writing(self) -> None:
        self._read_on()
        super().resume_writing()
        if self._up is not None:
            self._up.go_on()

    def _read_on(self) -> None:
        if self._unread is not None:
            self._unread.cancel()
            self._unread = None

    def _calm(self) -> None:
        if self._stall is not None:
            self._stall.cancel()
            self._stall = None
        if self._unread is not None:
            self._read_on()

    def eof_received(self) -> None:
        """The end of an answer that has no other; elsewhere a break."""
        super().eof_received()
        if self._until_close and not self._complete and self._done is not None:
            if self.expect is not None and self._foreign(*self.expect):
                return  # a late answer to a request before this one: the own one will not come any more
            self._complete = True
            self._answered()

    # --- sink of a request's body (hollyport.bodies.flow.Sink)

    def more(self, data: bytes) -> None:
        """The next piece of the body."""
        if self._transport is not None and not self._transport.is_closing():
            self._put(b"%x\r\n%s\r\n" % (len(data), data) if self._chunked else data)

    def ended(self, whole: bool) -> None:
        """The body's end; a body that breaks off takes the connection with it."""
        if not whole:
            self._up = None
            self.abort()
            return
        if self._chunked and self._transport is not None and not self._transport.is_closing():
            self._put(b"0\r\n\r\n")
        self._open_ended = False
        if not self._blocked and self._transport is not None and not self._transport.is_closing():
            self._whole()

    # --- source of an answer's body (hollyport.bodies.flow.Source)

    def hold(self) -> None:
        """Read no more for now: the client takes no more."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()
        self._calm()

    def go_on(self) -> None:
        """Read on."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
            self._wait_on()

    def unwanted(self) -> None:
        """The client has left."""
        self._down = None
        self.abort()

    def _begin_flow(self) -> None:
        """Pass on what has come, and then the rest as it comes."""
        begun, self.on_begun = self.on_begun, None
        assert begun is not None and self._ledger is not None
        self._down = flow = Flow(self, self._ledger)
        self._stall_s = SILENT_S
        body, self._body = self._body, []
        for piece in body:
            flow.put(piece)
        begun(Flowing(self._headers, self._length, flow))

    def _read(self, data: bytes) -> None:
        if self._parser is None:
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
            self._answered()
        elif spoilt or (self._in_head and self._raw > MAX_HEAD):
            self._spoil()
        elif self._down is None and self.on_begun is not None and self._flows():
            self._begin_flow()
        elif self._down is None or not self._down.held:
            self._wait_on()

    def _flows(self) -> bool:
        """Whether an answer that has begun is to be passed on as it comes."""
        if self._in_head or self._status != 200:
            return False
        if self._length is not None:
            return self._length > LARGE
        return self._size > LARGE or time.monotonic() - self._since > UNSURE_S

    def _answered(self) -> None:
        """The answer is whole."""
        if self._up is not None:
            self._take_no_more()  # it came before the request was whole
        self._stall_s = self._usual_stall_s
        took = time.monotonic() - self._since
        body = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        reply = Reply(self._status, self._headers, body, took)
        self._headers, self._body = [], []
        down, self._down = self._down, None
        if down is not None:
            down.end(True)
            if self._transport is not None and not self._transport.is_closing():
                self._transport.resume_reading()  # its end may have come while the client was slow
        self._finish(reply)

    # --- httptools

    def on_message_begin(self) -> None:
        if self._complete:
            self.reusable = False  # a second answer to one request
            raise Spoilt
        self._headers, self._body, self._size = [], [], 0
        self._in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_head:  # trailers are no part of the head: nobody reads them
            # White space behind a value is no part of it (RFC 9110, section 5.6.3); the parser leaves it.
            self._headers.append((name.lower(), value.rstrip(b" \t")))

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
        if codings:
            framed = codings == [b"chunked"] and not lengths
        elif lengths:
            framed = len(lengths) == 1 and DIGITS.fullmatch(lengths[0]) is not None
        else:
            framed = True
            self._until_close = status not in NO_BODY
        if not framed:
            raise Spoilt
        self._status, self._since = status, time.monotonic()
        self._length = int(lengths[0]) if lengths else None
        if self._until_close:
            self.reusable = False
        if self._length is not None and self._length > (MAX_FLOW if self.on_begun else self._max_body):
            raise Spoilt

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._down is not None:
            if self._size > MAX_FLOW:
                raise Spoilt
            self._down.put(body)
            return
        if self._size > self._max_body:
            raise Spoilt
        self._body.append(body)

    def _foreign(self, name: bytes, value: bytes) -> bool:
        return any(key == name and found != value for key, found in self._headers)

    def on_message_complete(self) -> None:
        parser = self._parser
        assert parser is not None
        status = parser.get_status_code()
        if status < 200:
            return  # 1xx: the answer is still to come
        if self.expect is not None and self._foreign(*self.expect):
            self.reusable = False  # a late answer to a request before this one: the own one may still come
            return
        # Asked here and not after feed_data: the parser forgets the message's framing when it ends, and then
        # says that no connection can be kept.
        self.reusable = self.reusable and parser.should_keep_alive()
        self._complete = True


class HttpBack:
    """Nodes that speak HTTP/1.1 (hollyport.nodes.back.Back)."""

    def __init__(self, reports: bool, ledger: Ledger | None = None, unread_s: float = UNREAD_S) -> None:
        """`unread_s`: see Connection."""
        self._unread_s = unread_s
        self.probe = heads.probe(reports)
        self.beside: Beside | None = None
        self._ledger = ledger or Ledger(0)

    def connection(self, on_lost: Callable[[Any], None], stall_s: float) -> Connection:
        """A connection to be opened."""
        return Connection(on_lost, stall_s=stall_s, ledger=self._ledger, unread_s=self._unread_s)
