"""The key ranges of the server beside a sidecar: assembles what leases, grants, releases and reports them.

It does nothing unless the service of the server is sharded.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from typing import NamedTuple

from loguru import logger

from mesh.proxy.context import ProxyContext
from mesh.proxy.control_client import ControlClient
from mesh.proxy.grant_calls import GrantCalls
from mesh.proxy.range_leases import RangeLeases
from mesh.proxy.range_reports import RangeReports
from mesh.proxy.server_heartbeats import ServerHeartbeats
from mesh.proxy.server_holds import ANSWER_TRANSIT_S, ServerHolds, TableView
from mesh.proxy.server_queue import ServerQueue
from mesh.state.configuration import GRANTS_BY_HEARTBEAT, GRANTS_BY_INVOCATION
from mesh.state.shards import NO_KEY, Owner

GRANT_WAYS = frozenset({GRANTS_BY_HEARTBEAT, GRANTS_BY_INVOCATION})
PROBE_INTERVAL_S = 2.0  # while the table names an earlier server of which the end is not certain


class ToldWay(NamedTuple):
    """How the servers of a service are given keys, and what says so."""

    source: str
    way: str


class KeyRanges:
    """The key ranges of the server beside one sidecar.

    An earlier server process has certainly ended once the present one, known by its heartbeat, has answered
    at the server's address. A heartbeat alone may come late, from a process that has been replaced.
    """

    def __init__(self, context: ProxyContext, control: ControlClient, queue: ServerQueue) -> None:
        assert context.settings.app is not None
        self._context, self._control, self._queue = context, control, queue
        self._service = context.settings.service
        self._owner = Owner(context.node_name, "")
        self._heartbeats: ServerHeartbeats | None = None
        self._next_probe_at = context.monotonic()
        self._logged_way = ""
        self.leases = RangeLeases(
            context, control.connections, lambda: control.key_claims.voters, self._on_leased
        )
        self.holds = ServerHolds(self.leases.times, self.leases.book, context.monotonic())
        self.calls = GrantCalls(context, context.settings.app, self.holds)
        self.reports = RangeReports(context, self.holds, control.send)
        self.calls.on_released = self.reports.report_releases
        self.calls.on_refused = self.update
        self.calls.on_gate_changed = queue.recheck_keys
        queue.key_gate = self._allows
        queue.key_expected = self.holds.expects
        queue.on_key_work = self.reports.on_key_work

    def attach(self, heartbeats: ServerHeartbeats) -> None:
        """Sets the heartbeats of the server, which tell of ranges and of the server's life."""
        self._heartbeats = heartbeats
        heartbeats.on_released = self.reports.report_releases
        heartbeats.on_grants_answered = self._on_grants_answered
        self.calls.on_contact = self._queue.on_contact = heartbeats.on_contact
        self.reports.on_tick = self._on_tick

    def _on_leased(self) -> None:
        """Tells the server of ranges that have just been leased, in the way that it is told."""
        self.calls.wake()
        if self._heartbeats is not None:
            self._heartbeats.check_postponed()

    def _on_tick(self) -> None:
        """Does what depends on the time alone."""
        if self._heartbeats is not None:
            self._heartbeats.check_suspicion()
        self.calls.wake()
        self._probe_for_earlier_servers()

    def _on_grants_answered(self) -> None:
        """Lets the queue see the gate as it is now, and when the server has read the answer."""
        self._queue.recheck_keys()
        self._context.loop.call_later(ANSWER_TRANSIT_S, self._queue.recheck_keys)

    def _allows(self, key: int) -> bool:
        """Returns whether the server may get a call for a key now."""
        if key == NO_KEY:
            return not self._control.table.is_sharded(self._service)
        return self.holds.allows(self._context.monotonic(), key)

    def update(self) -> None:
        """Applies a change of the table, of the server, or of the suspicion that it is dead."""
        heartbeats, queue, table = self._heartbeats, self._queue, self._control.table
        assert heartbeats is not None
        is_sharded = heartbeats.is_sharded = table.is_sharded(self._service)
        if not is_sharded and not self._owner.instance:
            return
        way = self._grants_way()
        heartbeats.grants_by_heartbeat = is_sharded and way == GRANTS_BY_HEARTBEAT
        if queue.instance:
            self._owner = self._owner._replace(instance=queue.instance)
        view = self._view()
        self.holds.update(self._owner, view)
        ranges = () if heartbeats.is_suspected else self.holds.ranges_to_lease()
        self.leases.update(self._owner, ranges, (view or TableView()).max_lease_ms)
        queue.recheck_keys()
        self.reports.update(self._owner if is_sharded else None)
        self.reports.report_new_releases()
        self.calls.update(self._owner.instance if is_sharded and way == GRANTS_BY_INVOCATION else "")
        heartbeats.check_postponed()
        self._probe_for_earlier_servers()

    # --- earlier servers

    def _earlier_instances(self) -> set[str]:
        """Returns the ids of earlier servers whose ranges the table has and whose end is not certain."""
        shard_table = self._control.table.shards.get(self._service)
        if shard_table is None or not self._control.table.is_sharded(self._service):
            return set()
        owners = {shard.owner for shard in shard_table.shards if shard.owner.node == self._owner.node}
        return {owner.instance for owner in owners - {self._owner}} - self.holds.ended_instances

    def _probe_for_earlier_servers(self) -> None:
        """Asks who answers at the server's address, if that can show that an earlier server has ended."""
        now, earlier = self._context.monotonic(), self._earlier_instances()
        cluster = self._control.table.clusters.get(self._service)
        is_useful = bool(earlier) or (self._heartbeats is not None and self._heartbeats.is_server_in_doubt)
        if now < self._next_probe_at or not is_useful or not self._queue.instance or cluster is None:
            return
        self._next_probe_at = now + PROBE_INTERVAL_S
        asked = self._queue.instance
        self._queue.probe(cluster.health_path, partial(self._on_probe_answered, earlier, asked))

    def _on_probe_answered(self, earlier: set[str], asked: str, instance: str) -> None:
        """Handles the id of the server that answered while another one, or the same, was used here."""
        if self._heartbeats is not None and asked == self._queue.instance:
            self._heartbeats.on_server_answered(instance)
        if instance != self._owner.instance or instance in earlier:
            return
        for ended in earlier:
            self.holds.on_server_ended(ended)
        self.reports.report_releases()
        self.calls.wake()

    def _grants_way(self) -> str:
        """Returns how the servers of the service are given keys; empty until that is known.

        Where neither the configuration nor the settings name a known way, the server's heartbeats tell: one
        that lists what it holds is given keys by heartbeat.
        """
        known = (told for told in self._ways_told() if told.way in GRANT_WAYS)
        told = next(known, ToldWay("", ""))
        if told.way != self._logged_way:
            self._logged_way = told.way
            logger.info("how the server is given keys", way=told.way, by=told.source)
        return told.way

    def _ways_told(self) -> Iterator[ToldWay]:
        """Yields what tells how the servers are given keys, by precedence; a word may be unknown."""
        assert self._heartbeats is not None
        cluster = self._control.table.clusters.get(self._service)
        if cluster is not None:
            yield ToldWay("configuration", cluster.grants)
        yield ToldWay("settings", self._context.settings.grants)
        if self._heartbeats.lists_holds is not None:
            lists_holds = self._heartbeats.lists_holds
            yield ToldWay("heartbeats", GRANTS_BY_HEARTBEAT if lists_holds else GRANTS_BY_INVOCATION)

    def _view(self) -> TableView | None:
        """Returns the ranges of the server by the table; one that has ended is to hold none."""
        table = self._control.table
        shard_table = table.shards.get(self._service)
        if shard_table is None or not table.is_sharded(self._service):
            return None
        view = TableView.of(shard_table, self._owner)
        return view if self._queue.instance else view._replace(owned=())
