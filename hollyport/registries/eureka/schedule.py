"""Which registry address to ask, for what, and when. No I/O; times are seconds on one clock.

The own hall's addresses come first. One that fails is set aside for a time that doubles, and is asked again
when that is over, or when all are set aside, the one whose time is over soonest. A whole answer first, then
deltas; a registry that knows no deltas is asked for everything each time.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

WHOLE, DELTA = "whole", "delta"
FIRST_PAUSE_S = 0.25  # after the first failure of an address, with jitter
MOST_PAUSE_S = 60.0


@dataclass(slots=True)
class _Place:
    """One registry address."""

    number: int
    near: bool
    failures: int = 0
    shut_until: float = 0.0
    deltas: bool = True


class Schedule:
    """The next question, and what its answer changes."""

    def __init__(
        self,
        near: Sequence[bool],
        interval_s: float,
        jitter: float,
        draw: Callable[[], float],
        deltas: bool = True,
        refresh_s: float = 0.0,
    ) -> None:
        self._places = [_Place(number, is_near, deltas=deltas) for number, is_near in enumerate(near)]
        self._interval_s, self._jitter, self._draw = interval_s, jitter, draw
        self._refresh_s = refresh_s  # how often a whole answer is asked for all the same; 0: never
        self._whole = True  # the next question must be for everything
        self._whole_at = 0.0
        self.due = 0.0

    def ask(self, now: float) -> tuple[int, str]:
        """Which address to ask now, and what for."""
        place = self._best(now)
        aged = self._refresh_s and now - self._whole_at >= self._refresh_s
        return place.number, WHOLE if self._whole or aged or not place.deltas else DELTA

    def answered(self, now: float, number: int, what: str) -> None:
        """It was answered, and the answer could be used."""
        place = self._places[number]
        place.failures, place.shut_until = 0, 0.0
        if what == WHOLE:
            self._whole, self._whole_at = False, now
        self.due = now + self._interval_s * (1.0 + self._jitter * (2.0 * self._draw() - 1.0))

    def failed(self, now: float, number: int) -> None:
        """It was not, or with nothing that could be used. Another address is asked at once, if there is
        one."""
        place = self._places[number]
        place.failures += 1
        pause = min(MOST_PAUSE_S, FIRST_PAUSE_S * 2.0 ** min(20, place.failures - 1))
        place.shut_until = now + pause * (0.75 + 0.5 * self._draw())
        self.due = max(now, self._best(now).shut_until)

    def mismatch(self, now: float) -> None:
        """Deltas do not add up to what the registry says it has: everything, at once."""
        self._whole = True
        self.due = now

    def no_deltas(self, now: float, number: int) -> None:
        """This address knows no deltas (404): everything from it, at once."""
        self._places[number].deltas = False
        self.due = now

    def hurry(self, now: float) -> None:
        """Something wants to know sooner."""
        self.due = min(self.due, now)

    def elsewhere(self, number: int) -> bool:
        """Whether another address than this one can confirm an answer."""
        return any(place.number != number for place in self._places)

    def avoid(self, now: float, number: int, for_s: float) -> None:
        """Ask another address next, if there is one: this one has said something doubtful."""
        if self.elsewhere(number):
            self._places[number].shut_until = max(self._places[number].shut_until, now + for_s)

    def _best(self, now: float) -> _Place:
        open_ones = [place for place in self._places if place.shut_until <= now]
        if open_ones:
            return min(open_ones, key=lambda p: (not p.near, p.failures, p.number))
        return min(self._places, key=lambda p: (p.shut_until, p.number))
