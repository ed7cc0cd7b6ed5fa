"""HTTP/1.1 towards nodes and discovery: requests out, answers in, and what makes an answer useless."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any, NamedTuple

import httptools

from dunefield.interface import How
from hollyport.carrier import Carrier
from hollyport.contract import Beside
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

    @property
    def how(self) -> How:
        """What an answer says of the attempt; only a server that says so has not run it."""
        if self.status == 200:
            return How.OK
        if self.status in (503, 504) and self.header(b"x-not-processed") == b"1":
            return How.FULL
        return How.ERROR

    def riding(self) -> dict[str, float]:
        """The load report that rides along with an answer."""
        return heads.load(self.header(b"x-server-load"))

    def report(self) -> dict[str, float]:
        """The load report that is the answer to a probe."""
        return heads.load(self.body)


class Spoilt(Exception):
    """What comes can't be an answer; raised through the parser to stop it."""


class Connection(Carrier):
    """One HTTP/1.1 connection as a client. An answer that has no or an ambiguous length is spoilt, too."""

    def __init__(
        self, on_lost: Callable[[Connection], None], max_body: int = MAX_BODY, stall_s: float = 0.0
    ) -> None:
        super().__init__(on_lost, stall_s)
        self._max_body = max_body
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._size = self._raw = 0
        self._in_head = True
        self._complete = False
        self._status = 0

    # --- Carrier

    def _write(self, request: Any) -> None:
        self._complete, self._raw, self._in_head = False, 0, True
        self._put(request)

    def _let_go(self) -> None:
        self._parser = None  # it holds this connection: without the cycle both go at once
        self._headers, self._body = [], []

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
            reply = Reply(self._status, self._headers, b"".join(self._body))
            self._headers, self._body = [], []
            self._finish(reply)
        elif spoilt or (self._in_head and self._raw > MAX_HEAD):
            self._spoil()
        else:
            self._wait_on()

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


class HttpBack:
    """Nodes that speak HTTP/1.1 (hollyport.contract.Back)."""

    def __init__(self, reports: bool) -> None:
        self.probe = heads.probe(reports)
        self.beside: Beside | None = None

    def connection(self, on_lost: Callable[[Any], None], stall_s: float) -> Connection:
        """A connection to be opened."""
        return Connection(on_lost, stall_s=stall_s)
