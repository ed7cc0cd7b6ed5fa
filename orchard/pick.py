"""The pick in the caller's stile: the less loaded of two servers drawn, by own calls in flight. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

GAIN = 0.2  # weight of one answer's time against what was known
DRAWS = 6
FAR = 1.1  # times as long that an answer from another zone counts for: a small one is worth the way
MOST_KINDS = 64  # kinds of calls whose paces are kept for one server


class Bed:
    """A server and the stile beside it, as seen from here. Times in seconds."""

    __slots__ = ("node", "link", "service", "instance", "zone", "slots", "draining", "inflight", "latency",
                 "closed_until", "cold_until", "room", "paces", "free_at")  # fmt: skip

    def __init__(self, node: str, service: str) -> None:
        self.node, self.service = node, service
        self.link = ""
        self.instance = self.zone = ""
        self.slots = 1
        self.draining = False
        self.inflight = 0  # own calls
        self.latency = 0.0
        self.closed_until = 0.0  # its stile has said that it takes nothing until then
        self.cold_until = 0.0
        self.room = 1
        self.paces: dict[str, float] = {}  # by kind of call: what its stile told that it takes, of late
        self.free_at = 0.0  # when a call sent now would go, as its stile told

    def renew(self) -> None:
        """Another process serves there: nothing learned of the old one holds."""
        self.latency = self.closed_until = self.free_at = 0.0
        self.paces.clear()

    def told(self, now: float, kind: str, wait: float, pace: float) -> None:
        """Its stile has told how long a call waits there, and what one of this kind takes, in seconds."""
        self.free_at = now + wait
        if pace > 0 and (kind in self.paces or len(self.paces) < MOST_KINDS):
            self.paces[kind] = pace

    def answered(self, took: float) -> None:
        """One call was served."""
        self.latency = took if not self.latency else self.latency + (took - self.latency) * GAIN

    def expects(self, now: float, kind: str) -> float:
        """Seconds to an answer: what is left of the wait told last, and what a call of this kind takes. All
        callers of a server learn of its pace with any answer, not from their own few calls of all kinds."""
        return max(0.0, self.free_at - now) + self.paces.get(kind, self.latency)


def choose(
    now: float, beds: Sequence[Bed], tried: Iterable[Bed], random: Callable[[], float],
    usable: Callable[[Bed], bool], zone: str = "", near: int = 0, kind: str = "",
) -> Bed | None:
    """The less loaded of two, ties by the time to an answer of late; None where none can take it.

    With `near`, a bed of the own zone that has room is taken all the same while it holds at most so many own
    calls more than that one: large bodies and answers are dear to carry over.
    """
    found = _two(now, beds, tried, random, usable, zone, kind)
    if near and found is not None and found.zone != zone:
        local = [bed for bed in beds if bed.zone == zone and now >= bed.closed_until]
        other = _two(now, local, tried, random, usable, zone, kind) if local else None
        if other is not None and (other.inflight <= found.inflight + near or now < found.closed_until):
            return other
    return found


def _two(
    now: float, beds: Sequence[Bed], tried: Iterable[Bed], random: Callable[[], float],
    usable: Callable[[Bed], bool], zone: str, kind: str,
) -> Bed | None:
    best: Bed | None = None
    seen: Bed | None = None
    size = len(beds)
    if not size:
        return None
    for _ in range(DRAWS):
        bed = beds[int(random() * size)]
        if bed is seen or bed in tried or not usable(bed) or now < bed.closed_until:
            continue
        if seen is None:
            seen = best = bed
            continue
        assert best is not None
        if _rank(now, bed, zone, kind) < _rank(now, best, zone, kind):
            best = bed
        return best
    if best is not None:
        return best
    left = [bed for bed in beds if usable(bed) and bed not in tried]
    return min(left, key=lambda bed: (now < bed.closed_until, *_rank(now, bed, zone, kind))) if left else None


def _rank(now: float, bed: Bed, zone: str, kind: str) -> tuple[int, float, bool]:
    far = bed.zone != zone
    return bed.inflight, bed.expects(now, kind) * (FAR if far else 1.0), far
