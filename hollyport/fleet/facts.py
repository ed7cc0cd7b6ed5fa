"""Small facts that members tell all: each has an owner, a version and an end. No I/O.

One key of one owner has one value. A newer version wins, and there is no way back: versions are pairs of the
owner's incarnation, which only grows, and a serial of its process. Time left is handed on as a rest, never
as a date: each who holds a fact counts it down by its own clock, so a fact ends within its life after it
was told last, whatever the clocks say. What ends, ends everywhere: a tombstone of the version is kept for
as long as an older copy could live elsewhere.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from hollyport.fleet.wire import Fact

LONGEST_S = 600.0  # a fact's life at the most
VALUE = 128  # bytes
KEY = 32  # characters
EACH = 16  # facts of one owner


class Held(NamedTuple):
    """A fact as one reads it."""

    owner: str
    key: str
    value: bytes
    left_s: float  # until it ends, unless it is told anew
    version: tuple[int, int]


@dataclass(slots=True)
class _Entry:
    fact: Fact
    ends: float
    times: int  # it may still go out as news
    gone: bool = False  # a tombstone


class Facts:
    """All facts that one member knows, its own among them. `most` bounds them, tombstones included."""

    def __init__(self, own: str, most: int = 1024, refresh: float = 0.4) -> None:
        """`refresh`: the part of its life after which an own fact is told anew, under a new serial."""
        self._own, self._most, self._refresh = own, most, refresh
        self._entries: dict[tuple[str, str], _Entry] = {}
        self._counts: dict[str, int] = {}
        self._mine: dict[str, tuple[bytes, float, float]] = {}  # value, life, when to tell anew
        self._serial = 0
        self._incarnation = 0  # under which the own facts were told last
        self._idle: list[tuple[str, str]] = []
        self.changed: Callable[[str, str], None] = lambda owner, key: None
        """Called when a fact appears, changes its value or ends."""
        self.refused = 0  # facts not taken for want of room

    def __len__(self) -> int:
        return len(self._entries)

    # --- the owner's side

    def tell(self, now: float, incarnation: int, key: str, value: bytes, life_s: float, times: int) -> None:
        """Tell all something, until it is withdrawn or this member ends. Raise ValueError on what is too
        large."""
        if not key or len(key) > KEY or len(value) > VALUE or not 0 < life_s <= LONGEST_S:
            raise ValueError(f"no fact: key {key!r}, {len(value)} bytes, {life_s:g} s")
        if key not in self._mine and len(self._mine) >= EACH:
            raise ValueError(f"a member tells {EACH} facts at the most")
        self._mine[key] = (value, life_s, now + life_s * self._refresh)
        self._publish(now, incarnation, key, value, life_s, times)

    def withdraw(self, now: float, incarnation: int, key: str, times: int) -> None:
        """Tell it no more: an empty value is the end of a fact."""
        told = self._mine.pop(key, None)
        if told is not None:
            self._publish(now, incarnation, key, b"", told[1], times)

    def _publish(
        self, now: float, incarnation: int, key: str, value: bytes, life_s: float, times: int
    ) -> None:
        self._serial += 1
        fact = Fact(self._own, key, incarnation, self._serial, int(life_s * 1000), value)
        self._store(now, fact, times)

    def refresh(self, now: float, incarnation: int, times: int) -> None:
        """Tell own facts anew, well before they end, and at once under a new incarnation: who held this
        member for dead has buried the old ones. End those of others that are over."""
        anew, self._incarnation = incarnation != self._incarnation, incarnation
        for key, (value, life_s, due) in self._mine.items():
            if anew or now >= due:
                self._mine[key] = (value, life_s, now + life_s * self._refresh)
                self._publish(now, incarnation, key, value, life_s, times)
        for at in [at for at, entry in self._entries.items() if now >= entry.ends]:
            self._drop(at)

    # --- what others tell

    def hear(self, now: float, fact: Fact, times: int) -> bool:
        """Take in one that came; True if it was news."""
        if fact.owner == self._own:
            return False  # nobody tells me mine
        if len(fact.value) > VALUE or fact.left_ms <= 0:
            return False
        entry = self._entries.get((fact.owner, fact.key))
        if entry is not None and (entry.fact.incarnation, entry.fact.serial) >= (
            fact.incarnation,
            fact.serial,
        ):
            return False
        if entry is None and not self._room(fact.owner):
            self.refused += 1
            return False
        self._store(now, fact, times)
        return True

    def _room(self, owner: str) -> bool:
        """Whether one more may be held: nobody takes the room of all."""
        if self._counts.get(owner, 0) >= 2 * EACH:
            return False
        if len(self._entries) < self._most:
            return True
        buried = min((e.ends, at) for at, e in self._entries.items())[1]
        entry = self._entries[buried]
        if not entry.gone:
            return False
        self._drop(buried)
        return True

    def _store(self, now: float, fact: Fact, times: int) -> None:
        at = (fact.owner, fact.key)
        before = self._entries.get(at)
        if before is None:
            self._counts[fact.owner] = self._counts.get(fact.owner, 0) + 1
        gone = not fact.value
        life = min(LONGEST_S, fact.left_ms / 1000)
        self._entries[at] = _Entry(fact, now + life, times, gone)
        if before is None or before.gone != gone or before.fact.value != fact.value:
            self.changed(*at)

    def _drop(self, at: tuple[str, str]) -> None:
        entry = self._entries.pop(at)
        self._counts[at[0]] -= 1
        if not self._counts[at[0]]:
            del self._counts[at[0]]
        if not entry.gone:
            self.changed(*at)

    def retire(self, now: float, owner: str) -> None:
        """An owner has left or died: its facts end here. Tombstones of their versions stay for their rest, so
        that copies which are still under way don't bring them back; a new incarnation tells its own."""
        for at, entry in list(self._entries.items()):
            if at[0] == owner and not entry.gone:
                entry.gone, entry.times = True, 0
                self.changed(*at)

    # --- reading

    def of(self, now: float, key: str) -> Iterator[Held]:
        """Each owner's fact under a key."""
        for (owner, name), entry in self._entries.items():
            if name == key and not entry.gone and now < entry.ends:
                fact = entry.fact
                yield Held(owner, name, fact.value, entry.ends - now, (fact.incarnation, fact.serial))

    def all(self, now: float) -> Iterator[Held]:
        """Every fact that holds."""
        for (owner, key), entry in self._entries.items():
            if not entry.gone and now < entry.ends:
                fact = entry.fact
                yield Held(owner, key, fact.value, entry.ends - now, (fact.incarnation, fact.serial))

    # --- what goes out

    def news(self, now: float) -> Iterator[Fact]:
        """What is new, the least told first; then, in turn, one that is not."""
        fresh = [(entry.times, at) for at, entry in self._entries.items() if entry.times > 0]
        for _, at in sorted(fresh, reverse=True):
            entry = self._entries[at]
            entry.times -= 1
            if (made := self._rest(now, entry)) is not None:
                yield made
        for _ in range(min(2, len(self._entries))):
            if not self._idle:
                self._idle = list(self._entries)
            old = self._entries.get(self._idle.pop())
            # A retired owner's facts are not told on: only a withdrawal, which its owner signed, is.
            if old is None or (old.gone and old.fact.value):
                continue
            if (made := self._rest(now, old)) is not None:
                yield made

    def _rest(self, now: float, entry: _Entry) -> Fact | None:
        left = math.floor((entry.ends - now) * 1000)
        if left <= 0:
            return None
        fact = entry.fact
        return Fact(fact.owner, fact.key, fact.incarnation, fact.serial, left, fact.value)
