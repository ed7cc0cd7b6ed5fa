"""One call to the second address, read from bytes: what is asked for, or why it can't be. No I/O.

Source: RFC 9112 for the form; 405 names what is allowed (RFC 9110, section 15.5.6).
"""

from __future__ import annotations

import json
from typing import Any, NamedTuple

import httptools

MAX_HEAD = 8 * 1024
MAX_BODY = 64 * 1024  # nothing that is asked here needs one; what comes is dropped
REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
    413: "Content Too Large", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
    503: "Service Unavailable",
}  # fmt: skip
CALLS = {
    b"/api/ready": b"GET", b"/api/telemetry": b"GET", b"/api/evacuate": b"PUT", b"/api/rejoin": b"PUT",
    b"/api/fleet": b"GET",
}  # fmt: skip


class Verdict(NamedTuple):
    """What a call comes to: a path to be answered, or the status of its refusal."""

    path: bytes = b""
    status: int = 0  # 0: to be answered
    allow: bytes = b""


class _Stop(Exception):
    """Raised through the parser: the rest of the message is of no interest."""


class Reader:
    """Reads one call, fed in any pieces."""

    def __init__(self) -> None:
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._target = b""
        self._raw = self._head = self._body = 0
        self._in_head = True
        self._verdict: Verdict | None = None

    def feed(self, data: bytes) -> Verdict | None:
        """Take bytes; the verdict once there is one. What follows it is not read."""
        if self._parser is None:
            return self._verdict
        self._raw += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:  # also what a callback stopped, CONNECT and upgrades
            self._verdict = self._verdict or Verdict(status=400)
        if self._verdict is None and self._in_head and self._raw > MAX_HEAD:
            self._verdict = Verdict(status=431)
        if self._verdict is not None:
            self._parser = None  # it holds this reader in a cycle
        return self._verdict

    # --- httptools

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count(len(name) + len(value))

    def _count(self, size: int) -> None:
        """The head may come in one piece with the rest: what has been read of it is counted, too."""
        self._head += size
        if self._head > MAX_HEAD:
            self._verdict = Verdict(status=431)
            raise _Stop

    def on_headers_complete(self) -> None:
        self._in_head = False

    def on_body(self, body: bytes) -> None:
        self._body += len(body)
        if self._body > MAX_BODY:
            self._verdict = Verdict(status=413)
            raise _Stop

    def on_message_complete(self) -> None:
        assert self._parser is not None
        if self._verdict is None:
            self._verdict = judge(self._parser.get_method(), self._target)


def judge(method: bytes, target: bytes) -> Verdict:
    """What a call of this method and target comes to."""
    if target[:7].lower() == b"http://":  # the absolute form is to be understood, too
        target = b"/" + target[7:].partition(b"/")[2]
    path = target.partition(b"?")[0]
    allow = CALLS.get(path)
    if allow is None:
        return Verdict(status=404)
    if method != allow:
        return Verdict(status=405, allow=allow)
    return Verdict(path)


def answer(status: int, told: Any = None, allow: bytes = b"") -> bytes:
    """An answer, after which the connection ends."""
    body = json.dumps(told if told is not None else {"status": REASONS[status]}).encode() + b"\n"
    extra = b"Allow: %s\r\n" % allow if allow else b""
    return (
        b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%sConnection: close\r\n"
        b"\r\n%s" % (status, REASONS[status].encode(), len(body), extra, body)
    )
