"""How configuration reaches the sidecars: each follows one controller, and looks to others when it lacks
something.

A whole table goes over a sidecar's link once, and a change once, however many controllers there are: each
other controller tells eight bytes, the digest of all that it may tell (`Digest`). Who finds that a
controller's digest is not its own, and does not hear the difference from the controller it follows, asks that
one for what it lacks (`Pull`). So a controller that is frozen, cut off or behind costs its followers
`PULL_DELAY_S`, not their configuration. No I/O; times are seconds of a steady clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from functools import lru_cache
from hashlib import blake2b
from zlib import crc32

from mesh.state import configuration
from mesh.state.configuration import Item, Items

BUCKETS = 64  # of a copy's digest: what differs is told by bucket
PULL_DELAY_S = 0.15  # how long a sidecar waits for its own controller before it asks another that knows more
MOST_LOOK_S = 0.6  # at most so long, also where its own controller says something all the time
RECORDS_PULL_DELAY_S = 0.8  # how long records that another controller holds may be on their way
MOST_RECORDS_WAIT_S = 4.0
STANDS_PART = 0.9  # of that time: timers fire late, never early
RECORDS_PAUSE_S = 2.0  # between two questions for all records
PULL_TIMEOUT_S = 1.0  # how long the answer of the one that was asked is waited for


class ConfigurationCopy:
    """Items as they stand at one place, their digest, and that of each bucket of names."""

    def __init__(self) -> None:
        self.items: Items = configuration.EMPTY
        self.digest = 0
        self._buckets = [0] * BUCKETS
        self._names: list[dict[str, None]] = [{} for _ in range(BUCKETS)]

    def merge(self, news: Iterable[Item]) -> list[Item]:
        """Merge; what of it is news here."""
        rows = list(news)
        before, self.items = self.items, configuration.merge(self.items, rows)
        found = []
        for name in dict.fromkeys(item.name for item in rows):
            old, item = before.get(name), self.items[name]
            if item != old:
                changed = configuration.mark(item) ^ (configuration.mark(old) if old is not None else 0)
                bucket = crc32(name.encode()) % BUCKETS
                self.digest ^= changed
                self._buckets[bucket] ^= changed
                self._names[bucket][name] = None
                found.append(item)
        return found

    def bucket_digests(self) -> bytes:
        """The digest of each bucket, eight bytes each: so much goes over a link where copies are compared,
        however many items there are."""
        return b"".join(digest.to_bytes(8, "big") for digest in self._buckets)

    def differing(self, buckets: bytes) -> list[Item]:
        """The items of all buckets that are not as another copy has them; it merges, so what is older here
        does nothing there."""
        return [
            self.items[name]
            for at, digest in enumerate(self._buckets)
            if buckets[8 * at : 8 * at + 8] != digest.to_bytes(8, "big")
            for name in self._names[at]
        ]


@lru_cache(maxsize=8192)
def record_mark(node: str, life: int, number: int) -> int:
    """64 bits of one sidecar's record."""
    return int.from_bytes(blake2b(f"{node}\0{life}\0{number}".encode(), digest_size=8).digest(), "big")


class RecordsDigest:
    """The digest of all sidecars' records at one place, whatever order they came in."""

    def __init__(self) -> None:
        self.value = 0
        self._marks: dict[str, int] = {}  # by node

    def update(self, node: str, life: int, number: int) -> None:
        """That record stands for a node now."""
        self.remove(node)
        self._marks[node] = record_mark(node, life, number)
        self.value ^= self._marks[node]

    def remove(self, node: str) -> None:
        """Nothing is known of a node any more."""
        self.value ^= self._marks.pop(node, 0)


class RecordsComparison:
    """One sidecar's choice of when to ask a controller that it does not follow for all records.

    The one that it follows tells it each record that is news; the others tell a digest. Who is cut off from
    the one that is followed, and known to another, is found by this. While records change everywhere two
    digests of one moment are hardly ever at hand, so it is looked again until both have stood for
    `RECORDS_PULL_DELAY_S`, or a difference has lasted for `MOST_RECORDS_WAIT_S`.
    """

    def __init__(self) -> None:
        self._told: dict[str, tuple[int, float]] = {}  # by controller: its digest, and when it came
        self._asked: dict[str, tuple[int, int]] = {}  # by controller: its digest and the own one then
        self._differs: dict[str, float] = {}  # by controller: since when
        self._mine, self._mine_at = 0, 0.0  # the own digest, and since when
        self._asked_at = -RECORDS_PAUSE_S

    def on_digest(self, now: float, controller: str, digest: int, mine: int) -> bool:
        """A controller's digest has come; whether to look again after `RECORDS_PULL_DELAY_S`."""
        self._told[controller] = digest, now
        self._note(now, mine)
        if digest == mine:
            self._differs.pop(controller, None)
            return False
        first = controller not in self._differs
        self._differs.setdefault(controller, now)
        return first

    def _note(self, now: float, mine: int) -> None:
        if mine != self._mine:
            self._mine, self._mine_at = mine, now

    def on_disconnect(self, controller: str) -> None:
        """The connection to a controller has ended."""
        self._told.pop(controller, None)
        self._asked.pop(controller, None)
        self._differs.pop(controller, None)

    def should_pull(self, now: float, controller: str, mine: int) -> bool | None:
        """Whether to ask it; None where to look again after `RECORDS_PULL_DELAY_S`."""
        self._note(now, mine)
        told, told_at = self._told.get(controller, (mine, now))
        if told == mine or self._asked.get(controller) == (told, mine):
            self._differs.pop(controller, None)
            return False
        moves = now < max(told_at, self._mine_at) + STANDS_PART * RECORDS_PULL_DELAY_S
        lasts = now >= self._differs.get(controller, now) + MOST_RECORDS_WAIT_S
        if (moves and not lasts) or now < self._asked_at + RECORDS_PAUSE_S:
            return None
        self._asked[controller], self._asked_at = (told, mine), now
        self._differs.pop(controller, None)
        return True


class ControllerSelector:
    """One sidecar's choice of whom to follow, and of when to ask another."""

    def __init__(self, me: str, zone: str) -> None:
        self._me, self._zone = me, zone
        self.controller = ""  # whom it follows
        self._told: dict[str, tuple[int, float]] = {}  # by controller: the digest that it told last, and when
        # by controller: its digest and the own one, when it was asked
        self._asked: dict[str, tuple[int, int]] = {}
        self._until = 0.0  # an answer is waited for
        self._outdated: set[str] = set()  # controllers that said that they are out of contact with a majority

    def set_in_contact(self, controller: str, yes: bool) -> None:
        """A controller says whether it is in contact with a majority: one that is not is neither followed nor
        asked, as what it has may be old."""
        (self._outdated.discard if yes else self._outdated.add)(controller)

    def choose(self, linked: Iterable[str], zones: Mapping[str, str]) -> str | None:
        """Whom to follow from now on, where that is another than before. The own zone's come first; among
        equals each sidecar has an order of its own, so that no controller has them all."""

        def rank(controller: str) -> tuple[bool, int]:
            return zones.get(controller) != self._zone, crc32(f"{self._me} {controller}".encode())

        there = [
            controller for controller in linked if controller in zones and controller not in self._outdated
        ]
        best = min(there, key=rank, default="")
        kept = self.controller in there and (
            best == self.controller or rank(self.controller)[0] == rank(best)[0]
        )
        if kept or best == self.controller:
            return None
        self.controller = best
        return best

    def on_digest(self, now: float, controller: str, digest: int, mine: int) -> bool:
        """A controller's digest has come; whether to look again after `PULL_DELAY_S`."""
        self._told[controller] = digest, now
        return digest not in (mine, 0)

    def should_pull(self, now: float, controller: str, mine: int, heard_at: float) -> bool | None:
        """Whether to ask a controller for what is lacking; None where to look again later. `heard_at`: when
        the controller that is followed said anything last, as it may still be telling it."""
        told, since = self._told.get(controller, (0, now))
        if controller in self._outdated or told in (mine, 0) or self._asked.get(controller) == (told, mine):
            return False
        speaks = now - heard_at < PULL_DELAY_S / 2 and now - since < MOST_LOOK_S
        if now < self._until or speaks:
            return None
        self._asked[controller] = told, mine
        self._until = now + PULL_TIMEOUT_S
        return True

    def on_pull_answered(self) -> None:
        """What was asked for has come."""
        self._until = 0.0

    def on_disconnect(self, controller: str) -> None:
        """The connection to a controller has ended."""
        self._told.pop(controller, None)
        self._asked.pop(controller, None)
        self._outdated.discard(controller)
        self._until = 0.0
        if controller == self.controller:
            self.controller = ""
