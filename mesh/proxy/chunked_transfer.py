"""Large bodies between sidecars: the one that gets them says how much may be on its way. No I/O.

A machine's link serves in the order in which bytes come, and a few bodies of hundreds of kilobytes that
come together keep every small message there waiting for a second. So a body that would hold the link for
longer than `INLINE_S` is told of by its size, and fetched in pieces: as much is on its way to one machine as
its link carries in `WINDOW_S`, from whatever senders, the body with the least left to come first: on a
link that is full most are then in time, and whoever asks gives the large ones back that others overtake. (A
credit for waiting, a quarter of what the link carries meanwhile, made all of them late together.) What a link
carries is what the settings tell of it. Times are seconds of a steady clock, sizes bytes.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

INLINE_S = 0.02  # a body that takes the link for no longer goes with its request
WINDOW_S = 0.05  # so much of the link's time may be on its way
LEAST_WINDOW = 16 * 1024
MAX_CHUNK_BYTES = 16 * 1024  # at most so much in one message: small ones pass between
Key = TypeVar("Key", bound=Hashable)
STUCK_S = 0.5  # a sender that has sent nothing for so long holds up no other


class Load:
    """One body on its way."""

    __slots__ = ("size", "granted", "got", "moved_at")

    def __init__(self, size: int, now: float) -> None:
        self.size = size
        self.granted = self.got = 0
        self.moved_at = now

    @property
    def left(self) -> int:
        """What has not come yet."""
        return self.size - self.got


class Intake(Generic[Key]):
    """What comes in over one machine's link."""

    def __init__(self, bytes_s: float) -> None:
        self.bytes_s = max(1.0, bytes_s)
        self.inline_limit = int(self.bytes_s * INLINE_S)
        self._window = max(LEAST_WINDOW, int(self.bytes_s * WINDOW_S))
        self._loads: dict[Key, Load] = {}

    def __len__(self) -> int:
        return len(self._loads)

    def add(self, now: float, key: Key, size: int) -> None:
        """A sender has a body of this size."""
        self._loads[key] = Load(size, now)

    def drop(self, key: Key) -> None:
        """It is not wanted, or will not come."""
        self._loads.pop(key, None)

    def got(self, now: float, key: Key, size: int) -> bool:
        """A piece has come; whether the body is whole."""
        load = self._loads.get(key)
        if load is None:
            return False
        load.got += size
        load.granted = max(load.granted, load.got)
        load.moved_at = now
        return load.left <= 0

    def grants(self, now: float) -> dict[Key, int]:
        """Who may send more, and up to which byte of its body."""
        found: dict[Key, int] = {}
        loads = self._loads
        open_ = sum(load.granted - load.got for load in self._loads.values() if self._moves(now, load))
        while open_ < self._window:
            waiting = [key for key, load in self._loads.items() if load.granted < load.size]
            if not waiting:
                break
            key = min(waiting, key=lambda key: self._rank(now, loads[key]))
            load = loads[key]
            if load.granted == load.got:
                load.moved_at = now  # nothing was asked of it before: its time begins now
            more = min(MAX_CHUNK_BYTES, load.size - load.granted)
            load.granted += more
            found[key] = load.granted
            open_ += more
        return found

    def _rank(self, now: float, load: Load) -> tuple[bool, int]:
        return not self._moves(now, load), load.left

    @staticmethod
    def _moves(now: float, load: Load) -> bool:
        return load.granted == load.got or now - load.moved_at < STUCK_S

    def wait(self, size: int) -> float:
        """Seconds until a body of this size would be here if it were told of now, about."""
        ahead = sum(load.left for load in self._loads.values() if load.left <= size)
        return (ahead + size) / self.bytes_s
