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
        if what == "oneway" and reason in UNSEEN:
            self._untold[cls, reason] += 1

    def page(self) -> bytes:
        """All counts, as JSON: what, then class, then reason."""
        made: dict[str, dict[str, dict[str, int]]] = {}
        for (what, cls, reason), count in sorted(self._counts.items()):
            made.setdefault(what, {}).setdefault(cls or "-", {})[reason] = count
        return json.dumps(made).encode()

    def tell(self, now: float) -> None:
        """Say in the log which oneway calls were not delivered since the last time, at most every TELL_S."""
        if self._untold and now - self._told_at >= TELL_S:
            self._told_at = now
            untold = sorted(self._untold.items())
            parts = [f"{cls or '-'} {reason} {count}" for (cls, reason), count in untold]
            self._untold.clear()
            self._say(f"thrift: oneway calls not delivered: {', '.join(parts)}")
