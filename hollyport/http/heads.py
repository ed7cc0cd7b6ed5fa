"""What passes from one side to the other in HTTP heads, and what a node reports in them. No I/O.

Source: RFC 9110 (section 7.6.1, hop-by-hop fields) and the platform's protocol for X-Timeout, X-Server-Load
and the paths of probes.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Sized
from functools import lru_cache

Headers = list[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset({
    b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization", b"proxy-connection", b"te",
    b"trailer", b"transfer-encoding", b"upgrade",
})  # fmt: skip
NOT_FORWARDED = HOP_BY_HOP | {b"content-length", b"expect", b"x-timeout"}
NOT_RETURNED = HOP_BY_HOP | {b"content-length", b"x-server-load", b"date", b"server"}
MOST_LOAD = 1e5  # a report of more is none
COMMON_LOAD = 256  # bytes; a longer report is not remembered


def forwarded(method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: Sized) -> bytes:
    """The head of a request as it goes on to a node, but for the time that is left and the empty line."""
    parts = [b"%s %s HTTP/1.1\r\n" % (method, target)]
    parts += [b"%s: %s\r\n" % pair for pair in headers if pair[0] not in NOT_FORWARDED]
    if body or method == b"POST":
        parts.append(b"Content-Length: %d\r\n" % len(body))
    return b"".join(parts)


def forwarded_growing(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], length: int | None
) -> bytes:
    """The same for one whose body is still coming; without a length it goes on in chunks."""
    parts = [b"%s %s HTTP/1.1\r\n" % (method, target)]
    parts += [b"%s: %s\r\n" % pair for pair in headers if pair[0] not in NOT_FORWARDED]
    parts.append(b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length)
    return b"".join(parts)


def origin(target: bytes) -> bytes:
    """A request target in origin form, whichever form it came in (RFC 9112, section 3.2.2)."""
    if target[:1] == b"/" or target[:7].lower() != b"http://":
        return target
    _, slash, path = target[7:].partition(b"/")
    if slash:
        return b"/" + path
    query = target[7:].partition(b"?")
    return b"/" + query[1] + query[2]


def with_time(head: bytes, left_s: float, body: bytes) -> bytes:
    """A whole request: how long we wait depends on when it is written."""
    return b"%sX-Timeout: %.4f\r\n\r\n%s" % (head, max(0.001, left_s), body)


def returned(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """The headers of a node's answer that go on to the client."""
    return [pair for pair in headers if pair[0] not in NOT_RETURNED]


def retry_after(hold_off_ns: int) -> Headers:
    """When a refused client is to come back, where that is told."""
    return [(b"Retry-After", b"%.3f" % (hold_off_ns / 1e9))] if hold_off_ns > 0 else []


def probe(reports: bool) -> bytes:
    """The question after a node's load, or where it has no reports, its health."""
    return b"GET %s HTTP/1.1\r\nHost: sidecar\r\n\r\n" % (b"/-/load" if reports else b"/-/healthy")


def load(text: bytes | None) -> dict[str, float]:
    """A load report; none where it can't be one: a wrong one would draw all calls to one server, or none."""
    if not text:
        return {}
    return _read_load(text) if len(text) <= COMMON_LOAD else _read_load.__wrapped__(text)


@lru_cache(maxsize=1024)
def _read_load(text: bytes) -> dict[str, float]:
    """Read a report. Small ones repeat all the time, and reading them anew took a tenth of a request's cost.
    Whoever gets one only reads it."""
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError):
        return {}
    if not isinstance(raw, dict):
        return {}
    numbers = {k: float(v) for k, v in raw.items() if isinstance(v, int | float) and not isinstance(v, bool)}
    return numbers if all(0.0 <= value <= MOST_LOAD for value in numbers.values()) else {}
