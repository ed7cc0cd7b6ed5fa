"""Keeps the garbage collector off a list of many thousand nodes.

A full collection walks every container that there is, in one stretch: with 20,000 instances at hand that is
10 to 25 ms on the loop that serves requests, and building such a list brings on several of them. The objects
of a list form no cycles, so reference counts free them, and there is nothing for the collector to find. Full
collections therefore wait while a list is being built, and what was built is taken out of the collector's
sight (`gc.freeze`) afterwards.

A freeze also hides whatever else is alive at that moment, and cycles among that would never be freed. So it
is done only when the list has grown by a good part since the last time: a daemon sees a handful of freezes in
its life, not one with every fetch.
"""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager

WORTH = 2000  # instances from which a walk through them is noticed: about a millisecond
GROWTH = 1.25  # by how much the list has to outgrow the last freeze for another one
NEVER = 1 << 30


class Heap:
    """What the collector is told about one list."""

    def __init__(self) -> None:
        self._frozen = 0

    @contextmanager
    def building(self) -> Iterator[None]:
        """No full collection in here; young objects are collected as ever."""
        young, middle, old = gc.get_threshold()
        gc.set_threshold(young, middle, NEVER)
        try:
            yield
        finally:
            gc.set_threshold(young, middle, old)

    def built(self, count: int) -> bool:
        """A list of `count` instances stands; return whether it was taken out of the collector's sight."""
        if count < WORTH or count < GROWTH * self._frozen:
            return False
        self._frozen = count
        gc.freeze()
        return True
