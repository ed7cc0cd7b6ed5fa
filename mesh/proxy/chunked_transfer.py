"""Flow control for large bodies sent between sidecars. No I/O.

A link transmits bytes in the order of their arrival, so a few bodies of hundreds of kilobytes that come
together would delay every small message behind them by a second. A body that would occupy the link for longer
than `INLINE_S`, or that is larger than `MAX_INLINE_BYTES`, is therefore announced by its size and fetched in
chunks. The receiver limits the bytes in flight to what its link carries in `WINDOW_S`, and to
`MAX_WINDOW_BYTES`, over all senders, and serves the body with the fewest remaining bytes first. On a
saturated link most bodies are then in time, and the receiver rejects the large ones that are overtaken. (A
credit for waiting, of a quarter of the link's capacity meanwhile, made all of them late together.) The
capacity of the link is taken from the settings. Times are seconds of a monotonic clock, sizes are bytes.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

INLINE_S = 0.02  # a body that occupies the link for no longer is sent within its request
WINDOW_S = 0.05  # transmission time of the bytes that may be in flight
MIN_WINDOW_BYTES = 16 * 1024
MAX_WINDOW_BYTES = 1 << 20  # senders and receivers hold copies of what is in flight
MAX_INLINE_BYTES = 512 * 1024  # messages are buffered whole, on each of many connections
MAX_CHUNK_BYTES = 16 * 1024  # small enough that other messages are sent in between
Key = TypeVar("Key", bound=Hashable)
STALL_TIMEOUT_S = 0.5  # after which a sender without progress no longer delays others


class Transfer:
    """The state of one body in transfer."""

    __slots__ = ("size", "granted", "received", "progress_at")

    def __init__(self, size: int, now: float) -> None:
        self.size = size
        self.granted = self.received = 0
        self.progress_at = now

    @property
    def remaining(self) -> int:
        """Number of bytes not received yet."""
        return self.size - self.received


class ReceiveWindow(Generic[Key]):
    """Allocates the capacity of one machine's incoming link to bodies."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = max(1.0, bytes_per_s)
        self.inline_limit = min(int(self.bytes_per_s * INLINE_S), MAX_INLINE_BYTES)
        self._window = min(max(MIN_WINDOW_BYTES, int(self.bytes_per_s * WINDOW_S)), MAX_WINDOW_BYTES)
        self._transfers: dict[Key, Transfer] = {}

    def __len__(self) -> int:
        return len(self._transfers)

    def add(self, now: float, key: Key, size: int) -> None:
        """Adds a body of this size."""
        self._transfers[key] = Transfer(size, now)

    def drop(self, key: Key) -> None:
        """Removes a body."""
        self._transfers.pop(key, None)

    def on_received(self, now: float, key: Key, size: int) -> bool:
        """Records the arrival of a chunk; returns whether the body is complete."""
        transfer = self._transfers.get(key)
        if transfer is None:
            return False
        transfer.received += size
        transfer.granted = max(transfer.granted, transfer.received)
        transfer.progress_at = now
        return transfer.remaining <= 0

    def grants(self, now: float) -> dict[Key, int]:
        """Returns which bodies may be sent further, with the new end offset of each."""
        offsets: dict[Key, int] = {}
        transfers = self._transfers
        outstanding = sum(
            transfer.granted - transfer.received
            for transfer in self._transfers.values()
            if self._progresses(now, transfer)
        )
        while outstanding < self._window:
            waiting = [key for key, transfer in self._transfers.items() if transfer.granted < transfer.size]
            if not waiting:
                break
            key = min(waiting, key=lambda key: self._sort_key(now, transfers[key]))
            transfer = transfers[key]
            if transfer.granted == transfer.received:
                transfer.progress_at = now  # it had no grant before, so its stall timeout starts now
            count = min(MAX_CHUNK_BYTES, transfer.size - transfer.granted)
            transfer.granted += count
            offsets[key] = transfer.granted
            outstanding += count
        return offsets

    def _sort_key(self, now: float, transfer: Transfer) -> tuple[bool, int]:
        return not self._progresses(now, transfer), transfer.remaining

    @staticmethod
    def _progresses(now: float, transfer: Transfer) -> bool:
        return transfer.granted == transfer.received or now - transfer.progress_at < STALL_TIMEOUT_S

    def expected_transfer_s(self, size: int) -> float:
        """Returns the expected time until a body of this size would be complete if it were added now."""
        earlier = sum(
            transfer.remaining for transfer in self._transfers.values() if transfer.remaining <= size
        )
        return (earlier + size) / self.bytes_per_s

    def own_transfer_s(self, size: int) -> float:
        """Returns the transfer time of a body of this size on an idle link."""
        return size / self.bytes_per_s
