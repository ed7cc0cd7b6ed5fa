"""One request of a client, from its arrival to its one answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from hollyport.http.message import Message as Request
from mesh.proxy.endpoints import Endpoint
from mesh.state.configuration import Route


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that began at this sidecar. Times are those of the event loop, in seconds."""

    message: Request
    route: Route
    service: str  # the one that the route's weights have drawn
    started_at: float
    deadline: float
    target_at: float  # an answer by then earns its full worth
    offered_until: float  # after this it is offered to no other server
    is_retry: bool = False  # its client has spent time on it already
    past_target: bool = False  # so much that no answer can be within its aim
    attempt_id: bytes = b""
    key: str = ""  # of its operation; empty where its route has none
    tried: list[Endpoint] = field(default_factory=list)
    arrivals: int = 0  # servers that it has reached
    open_offers: int = 0  # that are not answered yet
    may_have_run: bool = False
    finished: bool = False
    timer: asyncio.TimerHandle | None = None

    def __post_init__(self) -> None:
        self.attempt_id = self.message.header(b"x-attempt-id") or b""
        if self.route.variant == "idempotent":
            self.key = (self.message.header(b"x-operation-key") or b"").decode("latin-1")

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self.route.variant == "pure"

    def finish(self) -> None:
        """It has its answer, or nobody waits for one."""
        self.finished = True
        if self.timer is not None:
            self.timer.cancel()
