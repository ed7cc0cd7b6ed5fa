"""What one controller knows of a sharded service beside its agreed table. No I/O.

It is kept on every controller, as each may become the coordinator: when the controller learned of each
revocation, which revoked ranges were reported as released, and the servers' load. Times are seconds of one
process's monotonic clock.

A range may be assigned again only by `reassignable`: if its owner's sidecar has reported it as released under
its present fence, or if `reassignment_delay_s` has passed since this process learned that its revocation was
chosen. A revocation of a key under a fence is final, so both remain true as the table changes elsewhere.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from functools import lru_cache
from typing import NamedTuple

from mesh.state.configuration import Item
from mesh.state.shards import (
    ITEM_PREFIX,
    FencedRange,
    KeyRange,
    Owner,
    ReleasedRange,
    Shard,
    ShardTable,
    subtract,
)

LOAD_LIFETIME_S = 5.0  # sidecars report load each second
MAX_RELEASES = 256  # of one server that are remembered; a sidecar repeats those that still matter


@lru_cache(maxsize=64)
def decode_table(item: Item) -> ShardTable | None:
    """Returns the table of a configuration item; None if it was removed."""
    return ShardTable.decode(item.name, item.version, item.content) if item.content else None


def is_table(item: Item) -> bool:
    """Returns whether a configuration item is a table of key ranges."""
    return item.name.startswith(ITEM_PREFIX)


class ReassignableRange(NamedTuple):
    """A part of a revoked range that its owner can't hold any more."""

    shard: Shard  # narrowed to the part
    handover: str  # of the owner; empty if there is none


class ReportedLoad(NamedTuple):
    """One server's last report of its load."""

    reported_at: float
    work_by_bucket: Mapping[int, float]  # average number of requests at work


class ShardFacts:
    """One service's table as this controller has learned it, with the times of learning and all reports."""

    def __init__(self, service: str) -> None:
        self.table = ShardTable(service)
        self._revoked_at: dict[FencedRange, float] = {}  # parts of the table's revoked ranges
        self._assigned_at: dict[int, float] = {}  # by fence
        self._releases: dict[Owner, dict[FencedRange, ReleasedRange]] = {}
        self._loads: dict[Owner, ReportedLoad] = {}

    # --- events

    def learn(self, now: float, table: ShardTable) -> None:
        """Takes over a newer table that was chosen."""
        if table.version <= self.table.version:
            return
        self.table = table
        fences = {shard.fence for shard in table.shards}
        self._assigned_at = {fence: self._assigned_at.get(fence, now) for fence in fences}
        self._revoked_at = dict(self._times_of_revocations(now))
        for owner in list(self._releases):
            self._forget_releases(owner)

    def _times_of_revocations(self, now: float) -> Iterator[tuple[FencedRange, float]]:
        """Yields the parts of the table's revoked ranges, each with when this process learned of it."""
        known_by_fence: dict[int, list[tuple[KeyRange, float]]] = {}
        for (keys, fence), learned_at in sorted(self._revoked_at.items()):
            known_by_fence.setdefault(fence, []).append((keys, learned_at))
        for shard in self.table.shards:
            if not shard.revoked:
                continue
            next_key = shard.range.first
            for keys, learned_at in known_by_fence.get(shard.fence, ()):
                if not keys.overlaps(shard.range):
                    continue
                part = keys.intersection(shard.range)
                if next_key < part.first:
                    yield FencedRange(KeyRange(next_key, part.first - 1), shard.fence), now
                yield FencedRange(part, shard.fence), learned_at
                next_key = part.last + 1
            if next_key <= shard.range.last:
                yield FencedRange(KeyRange(next_key, shard.range.last), shard.fence), now

    def add_releases(self, owner: Owner, ranges: Iterable[ReleasedRange]) -> bool:
        """Adds what a server's sidecar has reported; returns whether any of it is new and matters."""
        known = self._releases.setdefault(owner, {})
        before = dict(known)
        for released in ranges:
            held = FencedRange(released.range, released.fence)
            if released.handover or held not in known:
                known[held] = released
        self._forget_releases(owner)
        return self._releases.get(owner, {}) != before

    def _forget_releases(self, owner: Owner) -> None:
        """Forgets the releases of ranges that the table shows to be assigned anew."""
        known = {
            held: released for held, released in self._releases[owner].items() if self._matters(owner, held)
        }
        if known:
            self._releases[owner] = dict(list(known.items())[-MAX_RELEASES:])
        else:
            del self._releases[owner]

    def _matters(self, owner: Owner, held: FencedRange) -> bool:
        """Returns whether a server owns any of a range under a fence, or may by a newer table."""
        return held.fence > self.table.version or any(
            shard.owner == owner and shard.fence == held.fence for shard in self.table.overlapping(held.range)
        )

    def add_load(self, now: float, owner: Owner, work_by_bucket: Mapping[int, float]) -> None:
        """Replaces the load of a server."""
        self._loads[owner] = ReportedLoad(now, work_by_bucket)

    # --- questions

    def work_by_bucket(self, now: float) -> dict[int, float]:
        """Returns the load of all servers by bucket, and forgets old reports.

        While a range changes hands, its previous owner's load fades as the next one's rises: the sum does not
        depend on the move.
        """
        self._loads = {
            owner: load for owner, load in self._loads.items() if load.reported_at > now - LOAD_LIFETIME_S
        }
        result: dict[int, float] = {}
        for load in self._loads.values():
            for bucket, work in load.work_by_bucket.items():
                result[bucket] = result.get(bucket, 0.0) + work
        return result

    def assigned_for_s(self, now: float, shard: Shard) -> float:
        """Returns how long ago this process learned of a shard's assignment."""
        return now - self._assigned_at.get(shard.fence, now)

    def reassignable(self, now: float, reassignment_delay_s: float) -> Iterator[ReassignableRange]:
        """Yields the parts of revoked ranges that may be assigned again; they don't overlap."""
        for shard in self.table.shards:
            if shard.revoked:
                yield from self._reassignable_parts(now, reassignment_delay_s, shard)

    def _reassignable_parts(
        self, now: float, reassignment_delay_s: float, shard: Shard
    ) -> Iterator[ReassignableRange]:
        candidates = [
            *self._released_parts(shard),
            *self._expired_parts(now, reassignment_delay_s, shard),
        ]
        candidates.sort(key=lambda candidate: not candidate[1])  # those with a handover first
        taken: list[KeyRange] = []
        for keys, handover in candidates:
            for part in subtract(keys, taken):
                taken.append(part)
                yield ReassignableRange(shard.narrowed(part), handover)

    def refused(self) -> Iterator[Shard]:
        """Yields the parts of active ranges that their owners were reported to have released, each key once.

        The owner has seen a higher fence on them, so it never holds them under this one.
        """
        for shard in self.table.shards:
            taken: list[KeyRange] = []
            for keys, _ in self._released_parts(shard) if shard.active else ():
                for part in subtract(keys, taken):
                    taken.append(part)
                    yield shard.narrowed(part)

    def _released_parts(self, shard: Shard) -> Iterator[tuple[KeyRange, str]]:
        for released in self._releases.get(shard.owner, {}).values():
            if released.fence == shard.fence and released.range.overlaps(shard.range):
                yield released.range.intersection(shard.range), released.handover

    def _expired_parts(
        self, now: float, reassignment_delay_s: float, shard: Shard
    ) -> Iterator[tuple[KeyRange, str]]:
        for (keys, fence), learned_at in self._revoked_at.items():
            is_part = fence == shard.fence and shard.range.contains(keys)
            if is_part and now - learned_at >= reassignment_delay_s:
                yield keys, ""
