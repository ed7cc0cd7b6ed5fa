"""Ids of requests that were taken of late. No I/O."""

from __future__ import annotations


class Ids:
    """Ids of requests that were taken of late, by all fronts together."""

    def __init__(self, life_s: float) -> None:
        self._life_s = life_s
        self._taken: dict[bytes, float] = {}  # by when

    def new(self, rid: bytes, now: float) -> bool:
        """Whether no request with this id is open or was lately.

        Protects unsafe requests: an id is new with every request, so a second one is a copy, and the copy
        must not run beside the first, nor right after it.
        """
        taken = self._taken
        while taken:
            oldest = next(iter(taken))
            if now - taken[oldest] < self._life_s:
                break
            del taken[oldest]
        return rid not in taken and taken.setdefault(rid, now) == now

    def forget(self, rid: bytes) -> None:
        """A request with this id never came whole, so nothing can have run: its client may send it again."""
        self._taken.pop(rid, None)
