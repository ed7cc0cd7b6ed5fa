"""State of a client's request from its arrival until it is answered."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from hollyport.http.message import Message as Request
from mesh.proxy.endpoints import Endpoint
from mesh.state.configuration import Route
from mesh.state.shards import NO_KEY


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request received by this sidecar. Times are those of the event loop, in seconds, unless stated."""

    message: Request
    route: Route
    service: str  # chosen by the weights of the route
    started_at: float
    deadline: float
    target_at: float  # an answer by then has its full value
    offered_until: float  # no further server is offered the request after this
    is_retry: bool = False  # whether its client has already spent time on it
    past_target: bool = False  # whether its target latency has already passed
    sent_after: float = 0.0  # by the monotonic clock: its client sent it later than this
    attempt_id: bytes = b""
    key: str = ""  # idempotency key; empty if its route uses none
    shard_key: int = NO_KEY  # if its service is sharded
    fence: int = 0  # of the assignment of its shard key under which it was last sent
    tried: list[Endpoint] = field(default_factory=list)
    arrivals: int = 0  # number of servers that it has reached
    open_offers: int = 0  # number of unanswered offers
    may_have_run: bool = False
    finished: bool = False
    timer: asyncio.TimerHandle | None = None
    wait_timer: asyncio.TimerHandle | None = None  # ends its wait for an owner of its shard key

    def __post_init__(self) -> None:
        self.attempt_id = self.message.header(b"x-attempt-id") or b""
        if self.route.variant == "idempotent":
            self.key = (self.message.header(b"x-operation-key") or b"").decode("latin-1")

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.variant == "pure"

    @property
    def is_sharded(self) -> bool:
        """Whether only the owner of its shard key can serve the request."""
        return self.shard_key != NO_KEY

    def finish(self) -> None:
        """Marks the request as answered or abandoned."""
        self.finished = True
        for timer in (self.timer, self.wait_timer):
            if timer is not None:
                timer.cancel()
