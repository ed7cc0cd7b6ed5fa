"""What became of requests and attempts, counted once, where each end is final: by the core, for every front.

Taken requests add up: taken = passed + dropped + failed + left + in progress. All counts run from the start
of the process. Classes go by their number in the settings, so those that have had nothing stand at 0.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence


class End(enum.IntEnum):
    """The final state of a request."""

    PASSED = 0
    """Served by a server."""
    DROPPED = 1
    """Refused: trying again is harmless."""
    FAILED = 2
    """Any other answer."""
    LEFT = 3
    """The client went before any answer was final."""


class Tally:
    """Counts of one sidecar, all fronts and pools together."""

    __slots__ = ("classes", "taken", "tries", "_ended")

    def __init__(self, classes: Sequence[str]) -> None:
        self.classes = tuple(classes)
        self.taken = [0] * len(self.classes)
        self.tries = 0  # attempts whose last byte the kernel has taken
        self._ended = [[0] * len(self.classes) for _ in End]

    def take(self, cls: int) -> None:
        """A whole request has come."""
        self.taken[cls] += 1

    def end(self, cls: int, how: End) -> None:
        """And this was its end; called once for each."""
        self._ended[how][cls] += 1

    def tried(self) -> None:
        """An attempt was written whole to a server."""
        self.tries += 1

    def ended(self, how: End) -> dict[str, int]:
        """Requests that ended so, by class."""
        return dict(zip(self.classes, self._ended[how], strict=True))

    @property
    def in_progress(self) -> int:
        """Requests taken and not ended."""
        return sum(self.taken) - sum(map(sum, self._ended))
