"""Request metrics of a sidecar. No I/O."""

from __future__ import annotations

from collections.abc import Iterator

from mesh.errors import ErrorKind
from mesh.figures import LabelledCounter, MetricFamily

NO_ROUTE = ""  # label of requests that ended before a route was found
CLIENT_LEFT = "client_left"


class RequestCounts:
    """Counts the requests received by a sidecar, by outcome."""

    def __init__(self) -> None:
        self._requests = LabelledCounter(
            "mesh_requests", "Requests that began here, by route and outcome.", ("route", "outcome")
        )
        self._seconds = LabelledCounter(
            "mesh_request_seconds", "Seconds from a request to the server's answer, added up.", ("route",)
        )
        self._offers = LabelledCounter(
            "mesh_offers",
            "Offers to sidecars beside servers, by service and place in line.",
            ("service", "place"),
        )

    def answered(self, route: str, status: int, elapsed_s: float) -> None:
        """Counts a request answered by a server."""
        self._requests.add((route, f"server_{status // 100}xx"))
        self._seconds.add((route,), elapsed_s)

    def failed(self, route: str, error: ErrorKind) -> None:
        """Counts a request answered by the mesh itself with an error."""
        self._requests.add((route, error.name.lower()))

    def client_left(self, route: str) -> None:
        """Counts a request whose client has disconnected."""
        self._requests.add((route, CLIENT_LEFT))

    def offered(self, service: str, first: bool) -> None:
        """Counts an offer of a request to the sidecar of a server."""
        self._offers.add((service, "first" if first else "further"))

    def metrics(self) -> Iterator[MetricFamily]:
        """Returns the metric families."""
        yield self._requests.family()
        yield self._seconds.family()
        yield self._offers.family()
