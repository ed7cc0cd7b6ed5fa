"""Which members a member keeps in view. No I/O.

A fleet of at most `most` names is known whole by everyone. In a larger one, half of a view goes to the own
hall and the rest evenly to the others: on the ring of each hall's names, placed by their digests, those
nearest to the own name's place. Nearness is mutual, so whoever I watch mostly watches me: each member is
watched by about as many as it watches, whatever the size of the fleet, and rumours of it meet those who
want them. Views of neighbours overlap by all but one name, so each hall's ring hangs together unless a
whole view's width dies at once; the other halls' parts tie the rings to each other.
"""

from __future__ import annotations

import bisect
import hashlib
from collections.abc import Iterable, Mapping


def place(name: str) -> int:
    """Where a name stands on the ring: 64 bits."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


class Universe:
    """All names that a fleet may have, by hall, with the addresses that are known beforehand."""

    def __init__(self, halls: Mapping[str, Iterable[tuple[str, str]]]) -> None:
        self.hall: dict[str, str] = {}
        self.address: dict[str, str] = {}
        self._rings: dict[str, list[tuple[int, str]]] = {}
        for hall, members in halls.items():
            ring = []
            for name, address in members:
                self.hall[name] = hall
                if address:
                    self.address[name] = address
                ring.append((place(name), name))
            self._rings[hall] = sorted(ring)

    def __len__(self) -> int:
        return len(self.hall)

    def view(self, name: str, most: int) -> frozenset[str]:
        """The names that `name` keeps in view, without itself: `most` at the most."""
        if len(self.hall) <= most + 1:
            return frozenset(self.hall) - {name}
        own = self.hall[name]
        others = [hall for hall in self._rings if hall != own and self._rings[hall]]
        part = max(1, most // 2 // len(others)) if others else 0
        at = place(name)
        taken = set(self._near(own, at, most + 1 - part * len(others)))
        for hall in others:
            taken.update(self._near(hall, at, part))
        return frozenset(taken - {name})

    def _near(self, hall: str, at: int, count: int) -> list[str]:
        """So many names around a place, as many before it as behind it."""
        ring = self._rings[hall]
        if count >= len(ring):
            return [name for _, name in ring]
        first = bisect.bisect_left(ring, (at, "")) - count // 2
        return [ring[(first + i) % len(ring)][1] for i in range(count)]
