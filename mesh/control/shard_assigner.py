"""Proposes the assignments of key ranges to servers, on the coordinator.

Every controller collects what the planner needs to know, as each may become the coordinator. Only one
proposes, which avoids contention; safety does not depend on it: each change is made from one version of a
table to the next, and a second proposer's change of the same version is refused or has no effect.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import Iterable, Iterator
from functools import lru_cache
from typing import NamedTuple

from loguru import logger

from mesh.control.agreement import Agreement
from mesh.control.context import Context
from mesh.control.elections import Reconfiguration
from mesh.control.heartbeats import Heartbeats
from mesh.control.publisher import Publisher
from mesh.control.shard_facts import ShardFacts, decode_table, is_table
from mesh.control.shard_planner import Plan, Situation, plan
from mesh.figures import LabelledCounter, MetricFamily, MetricKind
from mesh.state import configuration
from mesh.state.configuration import EMPTY, Cluster, Item, Items
from mesh.state.key_leases import DEFAULT_HOLD_MAX_S, LeaseTimes
from mesh.state.shards import Shard
from mesh.transport.connection import PeerConnection
from mesh.transport.messages import RangesReleased, ShardLoad

BUSY_INTERVAL_S = 0.05  # between plans while ranges are on the move
IDLE_INTERVAL_S = 0.25
MIN_INTERVAL_S = 0.03  # between two plans: leaves turns to operators' changes, and shares a plan among events
MAX_TABLE_BYTES_PER_S = 100_000  # of tables that every sidecar gets
PROPOSAL_TIMEOUT_S = 1.0
SERVICE_PREFIX = "service/"  # of the names of configuration items


class ProposedChange(NamedTuple):
    """The next version of one service's table, and the plan behind it."""

    item: Item
    plan: Plan


class ShardAssigner:
    """One controller's knowledge of all sharded services, and its proposals."""

    def __init__(
        self,
        context: Context,
        agreement: Agreement,
        heartbeats: Heartbeats,
        elections: Reconfiguration,
        publisher: Publisher,
    ) -> None:
        self._context, self._agreement, self._heartbeats = context, agreement, heartbeats
        self._elections, self._publisher = elections, publisher
        self._facts: dict[str, ShardFacts] = {}  # by service
        self._sharded: tuple[Items, list[str]] = EMPTY, []  # services, and the items that they are of
        self._in_contact_since: float | None = None
        hold_max_s = context.settings.bound("hold_max", DEFAULT_HOLD_MAX_S)
        self._lease_ms = LeaseTimes.of_bound(hold_max_s).lease_ms
        self._busy = False
        self._wake = asyncio.Event()
        self.moves = LabelledCounter(
            "mesh_shard_moves", "Key ranges that this controller has moved.", ("reason",)
        )
        self.keys_moved = LabelledCounter(
            "mesh_shard_keys_moved", "Keys in the ranges that this controller has moved.", ("reason",)
        )

    # --- events

    def learn(self, items: Iterable[Item]) -> None:
        """Takes over tables that are new among this controller's chosen items."""
        now = self._context.monotonic_time()
        for item in items:
            if is_table(item):
                table = decode_table(item)
                if table is not None:
                    self._facts_of(table.service).learn(now, table)
            if not item.name.startswith("route/"):
                self._wake.set()

    def on_released(self, link: PeerConnection, message: RangesReleased) -> None:
        """Handles the report that a server does not hold some ranges any more."""
        facts = self._facts.get(message.service)
        if facts is not None and facts.add_releases(message.owner, message.ranges):
            self._wake.set()

    def on_load(self, link: PeerConnection, message: ShardLoad) -> None:
        """Handles a server's report of its load."""
        facts = self._facts.get(message.service)
        if facts is not None:
            work_by_bucket = {load.bucket: load.work for load in message.loads}
            facts.add_load(self._context.monotonic_time(), message.owner, work_by_bucket)

    def on_servers_changed(self) -> None:
        """Plans again at once, as a server has come, gone, opened or closed."""
        self._wake.set()

    def _facts_of(self, service: str) -> ShardFacts:
        return self._facts.setdefault(service, ShardFacts(service))

    # --- proposals

    async def run(self) -> None:
        """Plans and proposes for as long as the process runs."""
        while True:
            await self._wait(BUSY_INTERVAL_S if self._busy else IDLE_INTERVAL_S)
            self._watch_contact()
            self._busy = False
            changes = list(self._due_changes()) if self._may_propose() else []
            if changes:
                await self._propose(changes)
            await asyncio.sleep(_pause_after(changes))

    async def _wait(self, limit_s: float) -> None:
        """Waits for an event, at most for a time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._wake.wait()
        self._wake.clear()

    def _watch_contact(self) -> None:
        """Notes since when this controller has been in contact.

        Servers that it does not hear of count as missing only from then on: after a cut the sidecars need a
        moment to connect again.
        """
        if not self._heartbeats.in_contact:
            self._in_contact_since = None
        elif self._in_contact_since is None:
            self._in_contact_since = self._context.monotonic_time()

    def _may_propose(self) -> bool:
        return (
            self._in_contact_since is not None
            and self._context.is_voter
            and not self._context.stopping
            and self._elections.is_coordinator()
        )

    def _sharded_services(self) -> list[str]:
        """Returns the sharded services of the configuration; computed again only when an item changes."""
        items = self._agreement.replica.items
        if self._sharded[0] is not items:
            services = [
                item for item in items.values() if item.content and item.name.startswith(SERVICE_PREFIX)
            ]
            self._sharded = items, sorted(filter(None, map(_sharded_service, services)))
        return self._sharded[1]

    def _due_changes(self) -> Iterator[ProposedChange]:
        """Yields the changes of all services' tables that are due."""
        for service in self._sharded_services():
            facts = self._facts_of(service)
            planned = plan(self._situation(facts))
            self._busy |= any(shard.revoked or not shard.owner.instance for shard in facts.table.shards)
            if not planned.is_empty:
                table = facts.table.allowing_leases(self._lease_ms)
                table = table.change(planned.revocations, planned.assignments)
                yield ProposedChange(Item(table.item_name, table.version, table.encode()), planned)

    def _situation(self, facts: ShardFacts) -> Situation:
        assert self._in_contact_since is not None
        return Situation(
            now=self._context.monotonic_time(),
            facts=facts,
            nodes=self._publisher.servers.nodes,
            watching_since=self._in_contact_since,
            reassignment_delay_s=LeaseTimes.of_lease(facts.table.max_lease_ms / 1000).reassignment_delay_s,
        )

    async def _propose(self, changes: list[ProposedChange]) -> None:
        """Proposes changes of several services as one change of the configuration."""
        self._busy = True
        items = tuple(change.item for change in changes)
        await self._agreement.propose_change(items, PROPOSAL_TIMEOUT_S)
        for change in changes:
            # The outcome alone doesn't tell: a change of a version that exists already has no effect.
            if self._agreement.replica.items.get(change.item.name) == change.item:
                self._count(change)

    def _count(self, change: ProposedChange) -> None:
        for move in change.plan.moves:
            self.moves.add((move.reason,))
            self.keys_moved.add((move.reason,), move.keys.size)
        logger.info(
            "key ranges change hands",
            table=change.item.name,
            version=change.item.version,
            moves=dict(Counter(str(move.reason) for move in change.plan.moves)),
            assigned=len(change.plan.assignments),
        )

    # --- figures

    def metrics(self) -> Iterator[MetricFamily]:
        """Yields the metrics of key ranges."""
        counts = Counter(
            (service, _state(shard)) for service, facts in self._facts.items() for shard in facts.table.shards
        )
        yield MetricFamily(
            "mesh_shards",
            "Key ranges by state.",
            MetricKind.GAUGE,
            {labels: float(count) for labels, count in counts.items()},
            ("service", "state"),
        )
        yield self.moves.family()
        yield self.keys_moved.family()


def _pause_after(changes: list[ProposedChange]) -> float:
    """Returns how long to wait after a proposal: the larger the tables, the more moves share a change."""
    size = sum(len(change.item.content) for change in changes)
    return max(MIN_INTERVAL_S, size / MAX_TABLE_BYTES_PER_S)


def _state(shard: Shard) -> str:
    if not shard.owner.instance:
        return "free"
    return "revoked" if shard.revoked else "owned"


@lru_cache(maxsize=1024)
def _sharded_service(item: Item) -> str | None:
    """Returns the name of a sharded service; None if the service isn't sharded."""
    parsed = configuration.parse_item(item)
    return parsed.name if isinstance(parsed, Cluster) and parsed.sharded else None
