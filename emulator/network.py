"""Model of the network between halls, and of a machine that is cut off.

Units: nanoseconds, one way. Simplified: delays are drawn for each message by itself, so two messages of one
connection may pass each other only if the caller lets them; there is no loss but by a cut, and no bandwidth.
"""

from __future__ import annotations

import random
from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Distance:
    """How long a message takes: within a hall, and between two."""

    same_ns: int = 150_000
    cross_ns: int = 370_000
    jitter: float = 0.2  # the most that is added, as a share
    pairs: Mapping[tuple[str, str], int] = field(default_factory=dict)  # in place of `cross_ns`, either way

    def __post_init__(self) -> None:
        for name in ("same_ns", "cross_ns"):
            if getattr(self, name) < 0:
                raise ValueError(f"{name} must not be negative")
        if not 0 <= self.jitter < 10:
            raise ValueError("jitter must be from 0 to under 10")
        for pair, span in self.pairs.items():
            if span < 0:
                raise ValueError(f"pairs: {pair[0]} to {pair[1]} must not be negative")

    def base(self, here: str, there: str) -> int:
        """The delay without jitter."""
        if here == there:
            return self.same_ns
        return self.pairs.get((here, there), self.pairs.get((there, here), self.cross_ns))


class Network:
    """Delays by draw, cuts by name, and a count of what crossed."""

    def __init__(self, distance: Distance, draws: random.Random) -> None:
        self._distance, self._draw = distance, draws.random
        self._cut: set[Hashable] = set()
        self._apart: set[str] = set()
        self.crossed: dict[tuple[str, str], int] = {}  # messages that left their hall, by pair as sent

    def cut(self, machine: Hashable) -> None:
        """From now on nothing reaches that machine, and nothing of it reaches anybody."""
        self._cut.add(machine)

    def mend(self, machine: Hashable) -> None:
        """It is back. What was lost in between stays lost."""
        self._cut.discard(machine)

    def reaches(self, *machines: Hashable) -> bool:
        """Whether messages between these arrive."""
        return self._cut.isdisjoint(machines)

    def part(self, hall: str) -> None:
        """From now on nothing passes between that hall and the others; within it all does."""
        self._apart.add(hall)

    def join(self, hall: str) -> None:
        """Its lines are back."""
        self._apart.discard(hall)

    def joined(self, here: str, there: str) -> bool:
        """Whether messages between these halls arrive."""
        return here == there or not (here in self._apart or there in self._apart)

    def delay(self, here: str, there: str) -> int:
        """Draw the time that one message takes, and count it where it leaves its hall."""
        if here != there:
            self.crossed[here, there] = self.crossed.get((here, there), 0) + 1
        return int(self._distance.base(here, there) * (1.0 + self._distance.jitter * self._draw()))
