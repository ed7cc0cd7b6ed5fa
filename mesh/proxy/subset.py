"""Chooses the servers of one service that a sidecar keeps connections to.

No I/O; times are seconds of a monotonic clock.

With connections from each sidecar to each other one, connections and the bytes that keep them open grow with
the square of the system's size. Choosing between two random servers works with few of them, so each sidecar
uses a subset of a service's servers: mostly servers of its own zone, and some of other zones in case its zone
is overloaded or cut off. Servers are ordered by rendezvous hashing (Thaler and Ravishankar, 1998): each
sidecar has an order of its own, so that load spreads evenly over the servers, and a server that is added or
removed changes one place of a subset. Of a small service all servers are kept, and of a sharded one, as only
the owner of its key can serve a request.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import lru_cache
from hashlib import blake2b

from mesh.proxy.endpoints import Endpoint

SUBSET_SIZE = 12  # servers of a service that is called
MIN_OTHER_ZONE_SERVERS = 4  # of SUBSET_SIZE, if there are so many
IDLE_SUBSET_SIZE = 3  # servers of an idle service, so that its first call has two to choose from
IDLE_TIMEOUT_S = 60.0  # time without calls after which a service is idle
WIDENED_FOR_S = 10.0  # how long a subset that was too small stays widened
MAX_SUBSET_SIZE = 4 * SUBSET_SIZE  # overload of a whole service must not connect all sidecars to all servers
WIDEN_INTERVAL_S = 0.5  # time for new connections to be made before a subset is widened again
CONNECT_TIMEOUT_S = 1.0  # a server that has not been connected for so long counts as unreachable
MIN_REACHABLE_FRACTION = 0.5  # of the size; if fewer are reachable, further servers are added
MAX_EXTRA_FACTOR = 2  # times the size: bound on the added servers if hardly any are reachable

Reachable = Callable[[Endpoint], bool]


@lru_cache(maxsize=4096)
def rendezvous_weight(sidecar: str, node: str) -> int:
    """Returns 64 bits that order servers for one sidecar, lowest first."""
    return int.from_bytes(blake2b(f"{sidecar}\0{node}".encode(), digest_size=8).digest(), "big")


class Subset:
    """The known servers of one service, and those of them that one sidecar keeps connections to."""

    def __init__(self, sidecar: str, zone: str, now: float) -> None:
        self._sidecar, self._zone = sidecar, zone
        self.known: list[Endpoint] = []  # usable or not, in this sidecar's rendezvous order
        self.chosen: list[Endpoint] = []
        self.keeps_all = False  # whether all known servers are chosen
        self._last_request_at = now
        self._widened_at, self._widened_size = now - WIDENED_FOR_S, SUBSET_SIZE

    def add(self, endpoint: Endpoint) -> None:
        """Adds a server to the known ones."""
        self.known.append(endpoint)
        self.known.sort(key=lambda server: rendezvous_weight(self._sidecar, server.node))

    def remove(self, endpoint: Endpoint) -> None:
        """Removes a server from the known ones and from the subset."""
        self.known.remove(endpoint)
        if endpoint in self.chosen:
            self.chosen.remove(endpoint)

    def on_request(self, now: float) -> bool:
        """Notes a request; returns whether the service was idle, so that the subset must be chosen anew."""
        idle = now - self._last_request_at >= IDLE_TIMEOUT_S
        self._last_request_at = now
        return idle

    def widen(self, now: float) -> bool:
        """Enlarges a subset of which fewer than two servers can take a request.

        Returns whether the subset must be chosen anew.
        """
        if len(self.chosen) == len(self.known) or now < self._widened_at + WIDEN_INTERVAL_S:
            return False
        self._widened_size = min(2 * self._size(now), MAX_SUBSET_SIZE)
        self._widened_at = now
        return True

    def _size(self, now: float) -> int:
        if now < self._widened_at + WIDENED_FOR_S:
            return self._widened_size
        return SUBSET_SIZE if now - self._last_request_at < IDLE_TIMEOUT_S else IDLE_SUBSET_SIZE

    def choose(self, now: float, reachable: Reachable) -> None:
        """Chooses the subset anew.

        `reachable` returns whether a server is connected or can be expected to be connected soon.
        """
        size = self._size(now)
        if self.keeps_all or len(self.known) <= size:
            self.chosen = list(self.known)
            return
        serving = [server for server in self.known if server.instance and not server.draining]
        own_zone = [server for server in serving if server.zone == self._zone]
        other_zones = [server for server in serving if server.zone != self._zone]
        own_count = size - min(size * MIN_OTHER_ZONE_SERVERS // SUBSET_SIZE, len(other_zones))
        chosen = own_zone[:own_count]
        other_count = size - len(chosen)
        chosen += other_zones[:other_count]
        missing = int(size * MIN_REACHABLE_FRACTION) - sum(map(reachable, chosen))
        rest = [*own_zone[own_count:], *other_zones[other_count:]][: MAX_EXTRA_FACTOR * size]
        self.chosen = chosen + _until_reachable(rest, missing, reachable)


def _until_reachable(ordered: Iterable[Endpoint], missing: int, reachable: Reachable) -> list[Endpoint]:
    """Returns servers from the start of `ordered` until `missing` of them are reachable."""
    found: list[Endpoint] = []
    for endpoint in ordered:
        if missing <= 0:
            break
        found.append(endpoint)
        missing -= reachable(endpoint)
    return found
