"""Counts of what became of requests at one sidecar. No I/O."""

from __future__ import annotations

from collections.abc import Iterator

from mesh.errors import ErrorKind
from mesh.figures import Figure, LabelledCounts

NO_ROUTE = ""  # the label of requests that ended before they had one
CLIENT_LEFT = "client_left"


class RequestCounts:
    """What a sidecar counts of the requests that begin there."""

    def __init__(self) -> None:
        self._requests = LabelledCounts(
            "mesh_requests", "Requests that began here, by route and outcome.", ("route", "outcome")
        )
        self._seconds = LabelledCounts(
            "mesh_request_seconds", "Seconds from a request to the server's answer, added up.", ("route",)
        )
        self._offers = LabelledCounts(
            "mesh_offers",
            "Offers to sidecars beside servers, by service and place in line.",
            ("service", "place"),
        )

    def answered(self, route: str, status: int, took_s: float) -> None:
        """A server has answered."""
        self._requests.add((route, f"server_{status // 100}xx"))
        self._seconds.add((route,), took_s)

    def failed(self, route: str, error: ErrorKind) -> None:
        """This system has answered."""
        self._requests.add((route, error.name.lower()))

    def client_left(self, route: str) -> None:
        """Nobody waits for the answer any more."""
        self._requests.add((route, CLIENT_LEFT))

    def offered(self, service: str, first: bool) -> None:
        """A request was offered to a sidecar beside a server."""
        self._offers.add((service, "first" if first else "further"))

    def metrics(self) -> Iterator[Figure]:
        """All families."""
        yield self._requests.figure()
        yield self._seconds.figure()
        yield self._offers.figure()
