"""The pick in the caller's stile: the less loaded of two servers drawn, by own calls in flight. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

GAIN = 0.2  # weight of one answer's time against what was known
DRAWS = 6


class Bed:
    """A server and the stile beside it, as seen from here. Times in seconds."""

    __slots__ = ("node", "link", "service", "instance", "zone", "slots", "draining", "inflight", "latency",
                 "closed_until", "cold_until", "room")  # fmt: skip

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

    def answered(self, took: float) -> None:
        """One call was served."""
        self.latency = took if not self.latency else self.latency + (took - self.latency) * GAIN


def choose(
    now: float, beds: Sequence[Bed], tried: Iterable[Bed], random: Callable[[], float],
    usable: Callable[[Bed], bool], zone: str = "", near: int = 0,
) -> Bed | None:
    """The less loaded of two, ties by zone and recent latency; None where none can take it.

    With `near`, a bed of the own zone that has room is taken all the same while it holds at most so many own
    calls more than that one: large bodies and answers are dear to carry over.
    """
    found = _two(now, beds, tried, random, usable, zone)
    if near and found is not None and found.zone != zone:
        local = [bed for bed in beds if bed.zone == zone and now >= bed.closed_until]
        other = _two(now, local, tried, random, usable, zone) if local else None
        if other is not None and (other.inflight <= found.inflight + near or now < found.closed_until):
            return other
    return found


def _two(
    now: float, beds: Sequence[Bed], tried: Iterable[Bed], random: Callable[[], float],
    usable: Callable[[Bed], bool], zone: str,
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
        if _rank(bed, zone) < _rank(best, zone):
            best = bed
        return best
    if best is not None:
        return best
    left = [bed for bed in beds if usable(bed) and bed not in tried]
    return min(left, key=lambda bed: (now < bed.closed_until, *_rank(bed, zone))) if left else None


def _rank(bed: Bed, zone: str) -> tuple[int, bool, float]:
    return bed.inflight, bed.zone != zone, bed.latency
