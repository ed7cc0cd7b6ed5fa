"""Model of connections between sidecars and nodes: what opening costs, how many a node holds, when they end.

Units: nanoseconds. Simplified: a connection carries one call at a time; a handshake is one piece of work for
the node, which whoever plays the node charges, and one round trip for the caller; a node at its cap loses the
same share of its speed however many it turns away; a close takes no time.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Terms:
    """What connections cost at one kind of node."""

    cap: int = 512
    idle_ns: int = 10_000_000_000
    handshake_ns: int = 90_000  # the node's work for one
    full_tax: float = 0.0  # share of its speed that a node loses while it holds as many as it may

    def __post_init__(self) -> None:
        if self.cap < 1:
            raise ValueError("cap must be 1 or more")
        if self.idle_ns <= 0:
            raise ValueError("idle_ns must be above 0")
        if self.handshake_ns < 0:
            raise ValueError("handshake_ns must not be negative")
        if not (0 <= self.full_tax < 1 and math.isfinite(self.full_tax)):
            raise ValueError("full_tax must be from 0 to under 1")


@dataclass(slots=True)
class Count:
    """What became of all connections that were asked for; `Door.check` holds it against what is open."""

    opened: int = 0
    refused: int = 0
    idle_closed: int = 0
    closed: int = 0  # by the caller, or with the node
    reused: int = 0
    most: int = 0


class Door:
    """A node's side: the connections it holds, by caller."""

    def __init__(self, terms: Terms) -> None:
        self.terms = terms
        self.count = Count()
        self._busy: dict[Hashable, int] = {}
        # Idle ones by when they became so, oldest first; a caller's own are used from the youngest.
        self._idle: OrderedDict[int, tuple[Hashable, int]] = OrderedDict()
        self._by_caller: dict[Hashable, list[int]] = {}
        self._next = 0

    def held(self) -> int:
        """Connections that are open."""
        return sum(self._busy.values()) + len(self._idle)

    def tax(self) -> float:
        """The share of its speed that the node has for the connections it holds."""
        return 1.0 - self.terms.full_tax if self.held() >= self.terms.cap else 1.0

    def take(self, caller: Hashable, now: int) -> int | None:
        """A call wants a connection: 0 where one is idle, the handshake's work where one is opened, None
        where the node turns it away."""
        self.sweep(now)
        mine = self._by_caller.get(caller)
        work = 0
        if mine:
            del self._idle[mine.pop()]
            self.count.reused += 1
        elif self.held() >= self.terms.cap:
            self.count.refused += 1
            return None
        else:
            self.count.opened += 1
            work = self.terms.handshake_ns
        self._busy[caller] = self._busy.get(caller, 0) + 1
        self.count.most = max(self.count.most, self.held())
        return work

    def give_back(self, caller: Hashable, now: int, keep: bool = True) -> None:
        """The call is over; its connection is kept, or closed where it can't be used again."""
        busy = self._busy.get(caller, 0)
        if not busy:
            raise ValueError(f"{caller!r} has no call out here")
        if busy == 1:
            del self._busy[caller]
        else:
            self._busy[caller] = busy - 1
        if not keep:
            self.count.closed += 1
            return
        self._idle[self._next] = (caller, now)
        self._by_caller.setdefault(caller, []).append(self._next)
        self._next += 1

    def sweep(self, now: int) -> None:
        """Close what has been idle for long."""
        while self._idle:
            number, (caller, since) = next(iter(self._idle.items()))
            if now - since < self.terms.idle_ns:
                return
            self._drop(number, caller)
            self.count.idle_closed += 1

    def leave(self, caller: Hashable) -> None:
        """A caller closes all that it does not use, as it does when it ends."""
        for number in [*self._by_caller.get(caller, ())]:
            self._drop(number, caller)
            self.count.closed += 1

    def reset(self) -> None:
        """The node's process ends, and all connections with it."""
        self.count.closed += self.held()
        self._busy.clear()
        self._idle.clear()
        self._by_caller.clear()

    def check(self) -> None:
        """Every connection is open or ended once; raise AssertionError else."""
        count = self.count
        assert count.opened == self.held() + count.idle_closed + count.closed, f"{count}, {self.held()} open"
        assert sum(map(len, self._by_caller.values())) == len(self._idle)

    def _drop(self, number: int, caller: Hashable) -> None:
        del self._idle[number]
        mine = self._by_caller[caller]
        mine.remove(number)
        if not mine:
            del self._by_caller[caller]
