"""One call for the local server of a sidecar, from its arrival until its result is known. No I/O."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hollyport.http.back import Outgoing, Reply
from hollyport.nodes.upstream import Exchange
from mesh.errors import ErrorKind
from mesh.state.shards import NO_KEY


class Job:
    """One call for the local server.

    `on_done` is called once, with the error (None if the server has answered), whether the call reached the
    server, and the reply. A call that starts by `due_at` is likely to be answered within its target latency,
    and one that starts by `latest_start_at` within its deadline.
    """

    __slots__ = (
        "build_request",
        "attempt_id",
        "deadline",
        "due_at",
        "latest_start_at",
        "on_done",
        "kind",
        "priority",
        "trial",
        "exchange",
        "started_at",
        "finished",
        "on_overdue",
        "repeatable",
        "timer",
        "cancelled",
        "shard_key",
        "key_lost",
        "key_wait_until",
    )

    def __init__(
        self,
        build_request: Callable[[float, str], bytes | Outgoing],
        attempt_id: bytes,
        deadline: float,
        due_at: float,
        latest_start_at: float,
        on_done: Callable[[ErrorKind | None, bool, Reply | None], None],
        kind: str = "",
    ) -> None:
        self.build_request, self.attempt_id, self.on_done, self.kind = (
            build_request,
            attempt_id,
            on_done,
            kind,
        )
        self.deadline, self.due_at, self.latest_start_at = deadline, due_at, latest_start_at
        self.priority = 0  # of its route; 0 is the highest
        self.trial = self.finished = False
        self.repeatable = False  # whether it may run more than once
        self.cancelled = False  # nobody waits for its answer any more
        self.on_overdue: Callable[[], None] | None = None  # called once if the server takes unusually long
        self.timer: asyncio.TimerHandle | None = None
        self.exchange: Exchange | None = None
        self.started_at = 0.0
        self.shard_key = NO_KEY  # if its service is sharded
        self.key_wait_until = due_at  # by then the server must have been given its shard key
        self.key_lost = False  # taken back before it reached the server, which holds its shard key no more
