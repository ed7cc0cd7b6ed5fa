"""One request over HTTP as it came, and how answers to it begin. No I/O of its own."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Protocol

from hollyport.http import heads
from hollyport.http.back import Outgoing
from hollyport.http.heads import Headers

if TYPE_CHECKING:
    from hollyport.bodies.blocks import Blocks
    from hollyport.bodies.flow import Flow
    from hollyport.core.contract import Terms
    from hollyport.http.back import Flowing, Reply

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    417: "Expectation Failed",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


STARTS = {status: b"HTTP/1.1 %d %s\r\n" % (status, reason.encode()) for status, reason in REASONS.items()}


class Answering(Protocol):
    """Where answers to a request go."""

    def answer(self, message: Message, status: int, body: bytes, headers: Headers) -> None:
        """Send an answer whole."""

    def flow(self, message: Message, answer: Flowing) -> None:
        """Pass an answer on as it comes."""


class Message:
    """One request as it came, and where its one answer goes."""

    __slots__ = ("method", "target", "headers", "body", "keep_alive", "connection", "came", "request_id",
                 "_head", "length", "terms", "flow", "old", "sent_after", "blocks",
                 "charge")  # fmt: skip

    def __init__(self, connection: Answering) -> None:
        self.connection = connection
        self.method = self.target = self.body = b""
        self.headers: Headers = []
        self.keep_alive = True
        self.came = 0.0  # when its last byte was read, by the loop's clock
        self.request_id = ""  # for the owner: which request this became
        self._head = b""  # as it goes on, once it has been made
        self.length: int | None = None  # of the body, as the head tells it
        self.terms: Terms | None = None  # read from the head alone, where the body is too large to wait for
        self.flow: Flow | None = None  # the body, where it goes on while it comes
        self.old = False  # HTTP/1.0
        self.blocks: Blocks | None = None  # the whole body, where it is large and its owner takes blocks
        self.charge: object = None  # accounts for its memory for as long as it lives, where its owner does so
        self.sent_after: float | None = None  # its first byte was sent later than this, where that is known

    def header(self, name: bytes) -> bytes | None:
        """The first header of this lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    @property
    def size(self) -> int:
        """The length of a body that is whole."""
        return len(self.body) if self.blocks is None else self.blocks.size

    def pieces(self) -> Iterable[bytes]:
        """A whole body as it is kept."""
        return (self.body,) if self.blocks is None else self.blocks

    def whole_body(self) -> bytes:
        """A whole body as one object."""
        return self.body if self.blocks is None else self.blocks.join()

    def all(self, name: bytes) -> list[bytes]:
        """All headers of this lower-case name."""
        return [value for key, value in self.headers if key == name]

    def answer(self, status: int, body: bytes = b"", headers: Headers | None = None) -> None:
        """Send the answer. A second one is ignored, as is one to a client that has left."""
        self.connection.answer(self, status, body, headers or [])

    # --- for the core (hollyport.core.contract.Asked)

    def wire(self, left_s: float) -> bytes | Outgoing:
        """It as a node gets it."""
        if self.flow is not None:
            begin = heads.forwarded_growing(self.method, self.target, self.headers, self.length)
            return Outgoing(heads.with_time(begin, left_s, b""), self.length is None, self.flow)
        if not self._head:
            self._head = heads.forwarded(self.method, self.target, self.headers, self.body)
        return heads.with_time(self._head, left_s, self.body)

    def served(self, answer: Reply) -> None:
        """A node has answered."""
        self.answer(200, answer.body, heads.returned(answer.headers))

    def begun(self, answer: Flowing) -> None:
        """A node has begun a large answer."""
        self.connection.flow(self, answer)

    def refused(self, hold_off_ns: int) -> None:
        """It has not run: come back in so long."""
        self.answer(503, b"refused\n", heads.retry_after(hold_off_ns))

    def failed(self, late: bool) -> None:
        """It may have run, and there is no answer."""
        self.answer(504 if late else 502, b"failed\n")

    def broken(self) -> None:
        """An error of our own."""
        self.answer(500, b"failed\n")

    def repeated(self) -> None:
        """Its id is another's."""
        self.answer(409)


def head(status: int, length: int | None, headers: Headers, keep_alive: bool, old: bool = False) -> bytes:
    """The head of an answer. Without a length its end is told by chunks, or to an old client by the close."""
    begin = STARTS.get(status) or b"HTTP/1.1 %d Unknown\r\n" % status
    if length is not None:
        begin += b"Content-Length: %d\r\n" % length
    elif not old:
        begin += b"Transfer-Encoding: chunked\r\n"
    for pair in headers:
        begin += b"%s: %s\r\n" % pair
    return begin + (b"\r\n" if keep_alive else b"Connection: close\r\n\r\n")
