"""Bad clients: what they send, and whether they hear of it in time."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

from rehearsal.plan import BAD_KINDS, Bad
from rehearsal.worker import Clock

OWED_S = 3.0  # an error or a close is owed within this time of connecting
WAIT_S = 4.0

HEAD = b"GET /%s?q=1 HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: bad-%d\r\nX-Timeout: 0.4\r\n"


def payload(kind: str, number: int) -> bytes:
    """What a bad client of this kind sends; the id is none that a node would take."""
    if kind == "silent":
        return b""
    if kind == "noise":
        return bytes((number * 37 + i * 101) % 251 for i in range(400)) + b"\r\n\r\n"
    if kind == "endless-head":
        return HEAD % (b"avail-read", number) + b"".join(
            b"X-%d: %s\r\n" % (i, b"a" * 100) for i in range(2000)
        )
    if kind == "wrong-length":
        return HEAD % (b"booking-confirm", number) + b"Content-Length: -5\r\n\r\nhello"
    if kind == "half":
        return HEAD % (b"avail-read", number)
    if kind == "no-such-class":
        return HEAD % (b"no-such-class", number) + b"\r\n"
    return (
        HEAD % (b"avail-read", number)
        + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        + HEAD % (b"avail-read", number + 1)
        + b"\r\n"
    )


class BadClient:
    """One connection of a bad client; it reads what it is sent."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, bad: Bad, target: str, rows: list[list[Any]]
    ) -> None:
        self._loop, self._clock, self._bad, self._target, self._rows = loop, clock, bad, target, rows

    async def play(self) -> None:
        """Connect, send, and record when an error or a close came."""
        host, _, port = self._target.rpartition(":")
        kind = BAD_KINDS[self._bad.kind]
        began, status, heard = self._clock(), 0, -1
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self._rows.append(["bad", self._bad.daemon, began, kind, self._clock(), 0])
            return
        try:
            writer.write(payload(kind, self._bad.t_us))
            if kind == "half":
                return  # it closes by itself: nothing is owed
            with contextlib.suppress(TimeoutError, OSError):
                async with asyncio.timeout(WAIT_S):
                    first = await reader.read(4096)
                    heard = self._clock()
                    if first.startswith(b"HTTP/1.1 "):
                        status = int(first[9:12])
            if heard < 0 and writer.transport.is_closing():
                heard = self._clock()
        except (OSError, ValueError):
            heard = self._clock()
        finally:
            writer.transport.abort()
            if kind != "half":
                self._rows.append(["bad", self._bad.daemon, began, kind, heard, status])
