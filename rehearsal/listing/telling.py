"""What each daemon has been told of each node, by all sources together. Pure.

The judge counts a drain from the first word of it. With several sources: whoever says that a node drains is
enough; it is gone when no source lists it any more; it serves while one says so and none says otherwise.
"""

from __future__ import annotations

from typing import Any

SERVING, DRAINING, DELETED = "SERVING", "DRAINING", "DELETED"


class Telling:
    """The last word of each source to each daemon, and a record of each change of what they come to."""

    def __init__(self, daemons: int, start: dict[int, tuple[str, int]]) -> None:
        self._words: list[dict[int, dict[str, tuple[str, int]]]] = [
            {node: {"start": state} for node, state in start.items()} for _ in range(daemons)
        ]
        self.records: list[list[Any]] = []

    def say(self, daemon: int, t_us: int, source: str, node: int, status: str, since_us: int) -> None:
        """A source has told a daemon something of a node."""
        words = self._words[daemon].setdefault(node, {})
        before = self.state(daemon, node)
        words.pop("start", None)  # the list from the start was the word of whoever speaks first
        if status == DELETED:
            words.pop(source, None)
        else:
            words[source] = (status, since_us)
        after = self.state(daemon, node)
        if after != before:
            self.records.append(["told", daemon, t_us, node, after[0], after[1]])

    def state(self, daemon: int, node: int) -> tuple[str, int]:
        """What the sources come to."""
        words = self._words[daemon].get(node, {})
        for wanted in (DRAINING, SERVING):
            for status, since in words.values():
                if status == wanted:
                    return status, since
        return DELETED, 0

    def known(self, daemon: int) -> dict[int, tuple[str, int]]:
        """The nodes that a daemon knows of."""
        states = {node: self.state(daemon, node) for node in self._words[daemon]}
        return {node: state for node, state in states.items() if state[0] != DELETED}
