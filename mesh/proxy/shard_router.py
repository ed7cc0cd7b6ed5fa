"""Finds the server for each request to a sharded service. No I/O; times are seconds of the event loop.

A request goes to the owner of its key, as the table of this sidecar has it, and to no other server. It is
sent once under each assignment of its key: an owner that was asked in vain is not asked again before the key
is assigned anew. Until then, and while the owner can't be reached, the request waits here.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterator, Mapping

from mesh.figures import MetricFamily, counter
from mesh.proxy.directory import Directory
from mesh.proxy.endpoints import Endpoint
from mesh.proxy.pending_request import PendingRequest
from mesh.state.shards import ALL_KEYS, Shard, ShardTable

MAX_WAIT_FRACTION = 0.25  # of the time from a request's start to its target latency
WAIT_MARGIN_S = 0.02  # taken off a wait, so that its client learns in time that the request is refused
UNASSIGNED = Shard(ALL_KEYS)


class NoOwner(enum.Enum):
    """What happens to a request while there is no server that it can be sent to."""

    WAIT = enum.auto()  # until its key is assigned anew or its owner can be reached
    REFUSE = enum.auto()


def wait_until(request: PendingRequest) -> float:
    """Returns how long a request may wait for an owner of its key."""
    fraction_at = request.started_at + (request.target_at - request.started_at) * MAX_WAIT_FRACTION
    return min(fraction_at, request.offered_until) - WAIT_MARGIN_S


class ShardRouter:
    """Decides where requests to sharded services go, and keeps those that wait for an owner.

    `tables` returns the tables of all services by name.
    """

    def __init__(self, directory: Directory, tables: Callable[[], Mapping[str, ShardTable]]) -> None:
        self._directory, self._tables = directory, tables
        self.waiting: dict[PendingRequest, None] = {}  # in order of arrival
        self.resumed = 0  # requests that were sent after a wait

    def route(self, now: float, request: PendingRequest) -> Endpoint | NoOwner:
        """Returns the server that a request is to be sent to now, or what is to be done without one.

        The owner of a revoked range may still hold it, so requests go to it until it says otherwise. The
        planned successor gets none before it is the owner.
        """
        shard = self._shard_of(request)
        endpoint = self._owner_of(shard)
        if endpoint is not None and shard.fence != request.fence:
            return endpoint
        is_expected = bool(shard.owner.instance or shard.successor.instance)
        return NoOwner.WAIT if is_expected and now < wait_until(request) else NoOwner.REFUSE

    def _shard_of(self, request: PendingRequest) -> Shard:
        table = self._tables().get(request.service)
        return UNASSIGNED if table is None else table.find(request.shard_key)

    def _owner_of(self, shard: Shard) -> Endpoint | None:
        """Returns the server that owns a range, if it is known and requests can be sent to it."""
        endpoint = self._directory.endpoints.get(shard.owner.node)
        if endpoint is None or endpoint.instance != shard.owner.instance:
            return None
        return endpoint if self._directory.usable(endpoint) else None

    def hold(self, request: PendingRequest) -> None:
        """Keeps a request that waits for an owner of its key."""
        self.waiting[request] = None

    def on_sent(self, request: PendingRequest) -> None:
        """Notes that a request is being sent to the present owner of its key."""
        request.fence = self._shard_of(request).fence
        self.resumed += request in self.waiting
        self.discard(request)

    def discard(self, request: PendingRequest) -> None:
        """Forgets a request that waits no longer, if it did."""
        self.waiting.pop(request, None)

    def metrics(self) -> Iterator[MetricFamily]:
        """Returns the metric families."""
        yield counter(
            "mesh_shard_requests_resumed",
            "Requests that waited for an owner of their key and were sent to it.",
            self.resumed,
        )
