"""The memory that clients and peers together make one process hold. No I/O.

Whatever is kept for a client is charged by what it costs here, not by what was sent: an object for each
header field, a block for each 64 KiB of a body. A charge lasts as long as the object that owns it, so that it
ends on each way out: an answer, a refusal, a reset, a deadline.
"""

from __future__ import annotations

from collections.abc import Iterable

MB = 1_000_000
PROCESS_MB = 56.0  # what a process needs itself, at least
PROCESS_FRACTION = 0.4  # of the machine's memory, where that is more
MIN_CAPACITY_MB = 8.0
MESSAGE_BYTES = 1024  # of a request, besides its fields and its body
FIELD_BYTES = 192  # of a header field, besides its name and its value
DECODED_BYTES = 128  # of a value in decoded JSON
JSON_MARKS = (b",", b":", b"[", b"{")  # each value is preceded by one of them, but for the first
DECODED_COPIES = 4  # of the text, while JSON is decoded and checked


class MemoryAccount:
    """The charges of one process, in bytes."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.held = self.peak = 0

    def charge(self, size: int = 0) -> Charge:
        """Returns a new charge."""
        return Charge(self, size)

    def add(self, size: int) -> None:
        """Changes what is held; used by charges only."""
        self.held += size
        if self.held > self.peak:
            self.peak = self.held

    @property
    def is_overdrawn(self) -> bool:
        """Whether more is held than may be."""
        return self.held > self.capacity

    def fits(self, size: int) -> bool:
        """Returns whether so many bytes more can be held."""
        return self.held + size <= self.capacity


class Charge:
    """The memory that one object is charged for. It is given back when this object goes, or before."""

    __slots__ = ("_account", "size")

    def __init__(self, account: MemoryAccount, size: int) -> None:
        self._account, self.size = account, size
        account.add(size)

    def resize(self, size: int) -> None:
        """Sets the size."""
        self._account.add(size - self.size)
        self.size = size

    def release(self) -> None:
        """Gives everything back."""
        self.resize(0)

    def __del__(self) -> None:
        self._account.add(-self.size)


def client_capacity(memory_mb: float, client_memory_mb: float) -> int:
    """Returns how many bytes clients may make a process hold, given the memory of its machine.

    `client_memory_mb` lowers it; 0 stands for no such setting.
    """
    capacity_mb = max(MIN_CAPACITY_MB, memory_mb - max(PROCESS_MB, PROCESS_FRACTION * memory_mb))
    if client_memory_mb:
        capacity_mb = min(capacity_mb, client_memory_mb)
    return int(capacity_mb * MB)


def request_bytes(fields: int, text_bytes: int, body_bytes: int) -> int:
    """Returns what a request costs, by the number of its header fields, the length of its head, and what its
    body takes."""
    return MESSAGE_BYTES + fields * FIELD_BYTES + 2 * text_bytes + body_bytes


def decoded_json_bytes(pieces: Iterable[bytes]) -> int:
    """Returns an upper bound on the memory that decoding a JSON text takes, which comes in pieces."""
    size, values = 0, 1
    for piece in pieces:
        size += len(piece)
        values += sum(map(piece.count, JSON_MARKS))
    return DECODED_COPIES * size + values * DECODED_BYTES
