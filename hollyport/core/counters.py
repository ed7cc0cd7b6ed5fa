"""How often what has happened, for operators: a fixed set of names, read over HTTP and told in the log.

Ends that no client sees (a oneway call that was refused) can be seen nowhere else.
"""

from __future__ import annotations

import json
import sys
from collections import Counter
from collections.abc import Callable

TELL_S = 10.0  # between two lines in the log, at least
UNSEEN = frozenset({"refused", "late", "failed", "broken", "repeated", "unknown method", "unusable"})


class Counters:
    """Counts by what, class and reason. Names come from the program and its settings, never from peers."""

    def __init__(self, say: Callable[[str], None] | None = None) -> None:
        self._say = say or (lambda text: print(text, file=sys.stderr, flush=True))
        self._counts: Counter[tuple[str, str, str]] = Counter()
        self._untold: Counter[tuple[str, str]] = Counter()
        self._told_at = -TELL_S

    def add(self, what: str, cls: str, reason: str) -> None:
        """Count one."""
        self._counts[what, cls, reason] += 1
        if what == "door":
            self._untold["door", reason] += 1
        elif what == "oneway" and reason in UNSEEN:
            self._untold[f"oneway {cls or '-'}", reason] += 1

    def page(self) -> bytes:
        """All counts, as JSON: what, then class, then reason."""
        made: dict[str, dict[str, dict[str, int]]] = {}
        for (what, cls, reason), count in sorted(self._counts.items()):
            made.setdefault(what, {}).setdefault(cls or "-", {})[reason] = count
        return json.dumps(made).encode()

    def tell(self, now: float) -> None:
        """Say in the log what was turned away since the last time that no client or node tells, at most every
        TELL_S: a line for each would be a flood of its own."""
        if self._untold and now - self._told_at >= TELL_S:
            self._told_at = now
            untold = sorted(self._untold.items())
            parts = [f"{what} {reason} {count}" for (what, reason), count in untold]
            self._untold.clear()
            self._say(f"not served, and nobody else tells: {', '.join(parts)}")
