"""What a sidecar reports to the controllers of its server's key ranges: releases and load."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from mesh.proxy.context import ProxyContext
from mesh.proxy.server_holds import ServerHolds
from mesh.state.shard_load import LoadByBucket
from mesh.state.shards import Owner, ReleasedRange
from mesh.transport.messages import BucketLoad, Message, RangesReleased, ShardLoad

RELEASES_INTERVAL_S = 0.5
TICKS_PER_LOAD = 2  # the load is reported at every so manieth tick


class RangeReports:
    """Reports to all controllers by `send`, while the service is sharded.

    Releases are repeated until the table shows no revoked range that the server does not hold. `on_tick` is
    called at the same interval.
    """

    def __init__(self, context: ProxyContext, holds: ServerHolds, send: Callable[[Message], None]) -> None:
        self._context, self._holds, self._send = context, holds, send
        self._service = context.settings.service
        self.on_tick: Callable[[], None] = lambda: None
        self._owner: Owner | None = None
        self._load = LoadByBucket(context.monotonic())
        self._ticks = 0
        self._reported: set[tuple[Owner, ReleasedRange]] = set()  # what was released when last looked
        self._timer: asyncio.TimerHandle | None = None

    def update(self, owner: Owner | None) -> None:
        """Sets the server beside; None while its service is not sharded."""
        if owner != self._owner:
            self._load = LoadByBucket(self._context.monotonic())
        self._owner = owner
        if owner is not None and self._timer is None:
            self._schedule()

    def on_key_work(self, key: int, work_s: float) -> None:
        """Counts a call that was at the server for `work_s` seconds."""
        self._load.add(self._context.monotonic(), key, work_s)

    def report_releases(self) -> None:
        """Reports the ranges that are certainly not held any more, if there are any."""
        released = self._holds.released(self._context.monotonic())
        for owner, ranges in released.items():
            self._send(RangesReleased(self._service, owner, tuple(ranges)))
        self._reported = {(owner, row) for owner, ranges in released.items() for row in ranges}

    def report_new_releases(self) -> None:
        """Reports releases at once, after a change of the table, if there is one that was not reported.

        Ranges of a server process that has ended are released as soon as they are revoked.
        """
        released = self._holds.released(self._context.monotonic())
        rows = {(owner, row) for owner, ranges in released.items() for row in ranges}
        if not rows <= self._reported:
            self.report_releases()

    def _schedule(self) -> None:
        self._timer = self._context.loop.call_later(RELEASES_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        if self._owner is None:
            return
        self._schedule()
        self._ticks += 1
        self.on_tick()
        self._holds.expire(self._context.monotonic())
        self.report_releases()
        if self._ticks % TICKS_PER_LOAD == 0:
            self._report_load(self._owner)

    def _report_load(self, owner: Owner) -> None:
        loads = self._load.report(self._context.monotonic())
        if owner.instance:
            rows = tuple(BucketLoad(bucket, work) for bucket, work in loads)
            self._send(ShardLoad(self._service, owner, rows))
