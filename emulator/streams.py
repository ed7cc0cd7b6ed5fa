"""Random numbers in separate streams by purpose, so that two designs meet the same arrivals and faults."""

from __future__ import annotations

import hashlib
import random


class Streams:
    """One seed, many streams: each named by what it is for, and by whom.

    A stream depends on seed and names alone: not on which streams were asked for before, how much was drawn
    from them, the hash seed, or the number of worker processes. So a design that draws more often in its
    picks leaves arrivals, work and faults as they are (common random numbers), and a difference between two
    designs is theirs.
    """

    def __init__(self, seed: int) -> None:
        self._seed = seed

    def of(self, purpose: str, *whose: str | int) -> random.Random:
        """The stream of a purpose, at its beginning."""
        names = "\0".join((str(self._seed), purpose, *map(str, whose)))
        digest = hashlib.sha256(names.encode()).digest()
        return random.Random(int.from_bytes(digest[:16], "big"))
