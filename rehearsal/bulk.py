"""Large bodies that either end checks byte by byte and never holds: a pattern made from the call's id."""

from __future__ import annotations

import hashlib

BLOCK = 64 * 1024


def _block(rid: bytes) -> bytes:
    return hashlib.sha256(rid).digest() * (BLOCK // 32)


def body(rid: bytes, kb: int) -> bytes:
    """The body of so many KiB that belongs to an id."""
    return _block(rid) * (kb * 1024 // BLOCK) + _block(rid)[: kb * 1024 % BLOCK]


class Check:
    """Holds what comes in pieces against the body of an id and a size in KiB."""

    __slots__ = ("_block", "_size", "_seen", "_same")

    def __init__(self, rid: bytes, kb: int) -> None:
        self._block, self._size = _block(rid) if kb else b"", kb * 1024
        self._seen, self._same = 0, True

    def feed(self, data: bytes) -> None:
        """The next piece."""
        at = 0
        while at < len(data) and self._same:
            start = self._seen % BLOCK
            take = min(len(data) - at, BLOCK - start)
            self._same = data[at : at + take] == self._block[start : start + take]
            self._seen += take
            at += take

    @property
    def whole(self) -> bool:
        """Whether exactly that body has come."""
        return self._same and self._seen == self._size
