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
    usable: Callable[[Bed], bool],
) -> Bed | None:
    """The less loaded of two, ties by recent latency; None where none can take it."""
    best: Bed | None = None
    seen: Bed | None = None
    size = len(beds)
    if not size:
        return None
    for turn in range(DRAWS):
        bed = beds[int(random() * size)]
        if bed is seen or bed in tried or not usable(bed) or (now < bed.closed_until and turn < DRAWS - 1):
            continue
        if seen is None:
            seen = best = bed
            continue
        assert best is not None
        if (bed.inflight, bed.latency) < (best.inflight, best.latency):
            best = bed
        return best
    if best is not None:
        return best
    left = [bed for bed in beds if usable(bed) and bed not in tried]
    return min(left, key=lambda bed: (now < bed.closed_until, bed.inflight, bed.latency)) if left else None
