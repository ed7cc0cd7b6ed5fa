"""What a request over HTTP asks for, read from its head; or the status with which it is turned away."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING

from dunefield.interface import Settings
from hollyport.core.contract import Terms

if TYPE_CHECKING:
    from hollyport.http.message import Message

ID = re.compile(rb"[!-~]{1,256}")
SECONDS = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,12})?")
ONCE = (b"x-request-id", b"x-timeout", b"idempotency-key", b"x-tenant-id")


class Gate:
    """Reads requests by the settings. Protects the servers, which turn away what they can't use and close
    the connection on what they can't read: nothing of that kind may reach them."""

    def __init__(self, settings: Settings) -> None:
        self._classes = {c.name.encode(): (i, c) for i, c in enumerate(settings.classes)}
        self._tenants = {t.name.encode(): i for i, t in enumerate(settings.tenants)}

    def admit(self, message: Message) -> Terms | int:
        """Read a request; the status for one that can't be used."""
        told: dict[bytes, bytes] = {}
        for name, value in message.headers:
            if name in told and name in ONCE:
                return 400  # two readers could take one each
            told.setdefault(name, value)
        rid = told.get(b"x-request-id", b"")
        if ID.fullmatch(rid) is None or message.target[:1] != b"/":
            return 400
        found = self._classes.get(message.target[1:].partition(b"?")[0].partition(b"/")[0])
        if found is None:
            return 404
        number, cls = found
        # The method tells how the request may be repeated: one that contradicts its class is a mistake.
        if message.method != (b"GET" if cls.retry_safety == "free" else b"POST"):
            return 405
        if message.method == b"GET" and (message.body or message.length):
            return 400
        if (cls.retry_safety == "guarded") != (b"idempotency-key" in told):
            return 400
        wait = cls.deadline_ns
        timeout = told.get(b"x-timeout")
        if timeout is not None:
            if SECONDS.fullmatch(timeout) is None or not (seconds := float(timeout)):
                return 400
            wait = min(wait, int(seconds * 1e9))
        cost = _number(told.get(b"x-cost"))
        return Terms(
            rid,
            number,
            wait,
            int(min(max(cost, 0.0), 1e9) * 1e3),
            self._tenants.get(told.get(b"x-tenant-id", b""), -1 if self._tenants else 0),
            _cookie(told.get(b"cookie"), b"key"),
            told.get(b"x-retried") == b"1",
            b"x-attrs" in told and _attrs(told[b"x-attrs"]).get("write") == "1",
        )


def _number(text: bytes | None) -> float:
    """A finite number; 0 for anything else."""
    if text is None:
        return 0.0
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if math.isfinite(value) else 0.0


def _cookie(header: bytes | None, name: bytes) -> str:
    for part in (header or b"").split(b";"):
        key, _, value = part.strip().partition(b"=")
        if key == name:
            return value.decode("latin-1")
    return ""


def _attrs(header: bytes) -> dict[str, str]:
    pairs = (part.partition("=") for part in header.decode("latin-1").split(","))
    return {name.strip(): value.strip() for name, _, value in pairs}
