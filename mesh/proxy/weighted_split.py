"""Chooses the service that a request of a weighted route is sent to. No I/O.

The requests of one route at one sidecar take the points of a Weyl sequence: each lies one golden ratio
further round a circle than the one before, from a random start. Any arc then gets its share of any run of n
requests within O(log n) of them, where independent draws deviate by the square root of n. A change of weights
moves the arcs and needs no state of its own. Source: H. Weyl, 1916; D. Knuth, TAOCP 3, 6.4 (Fibonacci
hashing).
"""

from __future__ import annotations

from collections.abc import Callable

from mesh.state.configuration import Route

GOLDEN_RATIO_FRACTION = 0.6180339887498949  # gives the sequence with the smallest gaps
MAX_ROUTES = 4096  # routes whose points are kept


class WeightedSplit:
    """The current points of all routes at one sidecar."""

    def __init__(self, random: Callable[[], float]) -> None:
        self._random = random
        self._points: dict[str, float] = {}  # by route

    def choose(self, route: Route) -> str:
        """Returns the service for the next request of a route."""
        if len(route.targets) == 1:
            return route.targets[0][0]
        position = self._next(route.name) * route.targets[-1][1]
        return next(name for name, edge in route.targets if position < edge)

    def _next(self, name: str) -> float:
        """Advances a route to its next point, in [0, 1), and returns it."""
        point = self._points.get(name)
        if point is None:
            if len(self._points) >= MAX_ROUTES:
                self._points.clear()
            point = self._random()
        else:
            point = (point + GOLDEN_RATIO_FRACTION) % 1.0
        self._points[name] = point
        return point
