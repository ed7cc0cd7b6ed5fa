"""Key ranges of a sharded service and the servers that own them. No I/O.

The assignment of a service's keys is one item of the replicated configuration, `shards/SERVICE`. Its version
counts the changes of the assignment, so a change is a compare-and-set on the version: two proposers that
start from the same version can't both succeed. The ranges of a table cover all keys without gaps.

A range changes hands in two agreed changes: `revoke` makes its owner unable to renew its lease
(`mesh.state.key_leases`), and `assign` names the next owner once the previous one is known not to hold the
range any more. The fence of an assignment is the version that it was made in: versions are never reused, so
fences only increase, also after the loss of all processes or of a tolerated number of disks.

Source: the fencing tokens of M. Burrows, "The Chubby lock service", 2006, 2.4.
"""

from __future__ import annotations

import json
from bisect import bisect_right
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from typing import Any, NamedTuple

KEY_COUNT = 65536  # keys are whole numbers from 0
LAST_KEY = KEY_COUNT - 1
ITEM_PREFIX = "shards/"  # of the names of configuration items
NO_KEY = -1  # of a request to a service that isn't sharded
DEFAULT_MAX_LEASE_MS = 5000  # of tables that don't name it


class KeyRange(NamedTuple):
    """A range of keys; both ends are included."""

    first: int
    last: int

    @property
    def size(self) -> int:
        """The number of keys."""
        return self.last - self.first + 1

    def contains(self, other: KeyRange) -> bool:
        """Returns whether all keys of another range are in this one."""
        return self.first <= other.first and other.last <= self.last

    def overlaps(self, other: KeyRange) -> bool:
        """Returns whether any key is in both ranges."""
        return self.first <= other.last and other.first <= self.last

    def intersection(self, other: KeyRange) -> KeyRange:
        """Returns the keys that are in both of two overlapping ranges."""
        return KeyRange(max(self.first, other.first), min(self.last, other.last))


ALL_KEYS = KeyRange(0, LAST_KEY)


def subtract(keys: KeyRange, taken: Iterable[KeyRange]) -> list[KeyRange]:
    """Returns the parts of a range that are in none of some others, in order."""
    parts: list[KeyRange] = []
    next_key = keys.first
    for other in sorted(taken):
        if other.last < next_key or other.first > keys.last:
            continue
        if other.first > next_key:
            parts.append(KeyRange(next_key, other.first - 1))
        next_key = other.last + 1
    if next_key <= keys.last:
        parts.append(KeyRange(next_key, keys.last))
    return parts


class Owner(NamedTuple):
    """A server: the node of the sidecar beside it, and the id of the server process."""

    node: str
    instance: str


NOBODY = Owner("", "")


class FencedRange(NamedTuple):
    """A range as it was assigned to a server; the fence is a whole number."""

    range: KeyRange
    fence: int


class ReleasedRange(NamedTuple):
    """A range that a server has let go of, and its handover token; empty if there is none."""

    range: KeyRange
    fence: int
    handover: str


class Shard(NamedTuple):
    """One range and its owner.

    A revoked range is owned by a server that may still hold it, but renews no lease. `successor` is the
    planned next owner of a revoked range. `handover` is the token of the previous owner, which the owner's
    server gets with the grant.
    """

    range: KeyRange
    owner: Owner = NOBODY
    fence: int = 0
    revoked: bool = False
    handover: str = ""
    successor: Owner = NOBODY

    @property
    def active(self) -> bool:
        """Whether the owner may renew its lease."""
        return bool(self.owner.instance) and not self.revoked

    @property
    def fenced_range(self) -> FencedRange:
        """The range with the fence of its present assignment."""
        return FencedRange(self.range, self.fence)

    def narrowed(self, keys: KeyRange) -> Shard:
        """Returns the part of this shard that is in a range."""
        return self._replace(range=self.range.intersection(keys))


class Revocation(NamedTuple):
    """A range to be taken from its owner, for a planned next owner."""

    range: KeyRange
    successor: Owner = NOBODY


class Assignment(NamedTuple):
    """A range to be given to a server, with the handover token of its previous owner."""

    range: KeyRange
    owner: Owner
    handover: str = ""


class ShardTable(NamedTuple):
    """The assignment of all keys of one service: an immutable snapshot with a version.

    `max_lease_ms` is the longest lease that may be confirmed on its ranges (`mesh.state.key_leases`). It
    never decreases from one version to the next, so it bounds the leases under all earlier versions too.
    """

    service: str
    version: int = 0
    shards: tuple[Shard, ...] = (Shard(ALL_KEYS),)
    max_lease_ms: int = DEFAULT_MAX_LEASE_MS

    @property
    def item_name(self) -> str:
        """The name of the configuration item that holds this table."""
        return ITEM_PREFIX + self.service

    def find(self, key: int) -> Shard:
        """Returns the shard of a key from 0 to `LAST_KEY`."""
        position = bisect_right(self.shards, key, key=lambda shard: shard.range.first) - 1
        return self.shards[position]

    def overlapping(self, keys: KeyRange) -> Iterator[Shard]:
        """Yields the shards of which any key is in a range, in order."""
        position = bisect_right(self.shards, keys.first, key=lambda shard: shard.range.first) - 1
        for shard in self.shards[position:]:
            if shard.range.first > keys.last:
                return
            yield shard

    def owned_by(self, owner: Owner) -> list[Shard]:
        """Returns the shards that a server owns and may renew."""
        return [shard for shard in self.shards if shard.active and shard.owner == owner]

    def confirms(self, owner: Owner, held: FencedRange) -> bool:
        """Returns whether a server owns all of a range under a fence, and none of it is revoked."""
        return all(
            shard.active and shard.owner == owner and shard.fence == held.fence
            for shard in self.overlapping(held.range)
        )

    def allowing_leases(self, lease_ms: int) -> ShardTable:
        """Returns the table with leases of a length allowed; longer ones stay allowed once they were."""
        return self._replace(max_lease_ms=max(lease_ms, self.max_lease_ms if self.version else 0))

    def change(
        self, revocations: Iterable[Revocation] = (), assignments: Iterable[Assignment] = ()
    ) -> ShardTable:
        """Returns the next version of the table.

        The caller makes sure that the previous owner of an assigned range does not hold it any more. Ranges
        may be any part of the table's; ranges of one change don't overlap.
        """
        version = self.version + 1
        shards = self.shards
        for revocation in revocations:
            shards = _replaced(shards, revocation.range, partial(_revoked, successor=revocation.successor))
        for assignment in assignments:
            assigned = Shard(assignment.range, assignment.owner, version, handover=assignment.handover)
            shards = _replaced(shards, assignment.range, partial(_assigned, assigned=assigned))
        return self._replace(version=version, shards=_merged(shards))

    # --- encoding

    def encode(self) -> str:
        """Returns the content of the configuration item: JSON with each server named once."""
        owners = sorted({owner for shard in self.shards for owner in (shard.owner, shard.successor)})
        numbers = {owner: number for number, owner in enumerate(owners)}
        rows = [
            [
                *shard.range,
                numbers[shard.owner],
                shard.fence,
                int(shard.revoked),
                shard.handover,
                numbers[shard.successor],
            ]
            for shard in self.shards
        ]
        content = {"owners": owners, "shards": rows, "max_lease_ms": self.max_lease_ms}
        return json.dumps(content, separators=(",", ":"))

    @classmethod
    def decode(cls, name: str, version: int, content: str) -> ShardTable:
        """Returns the table of a configuration item. Raises ValueError if it does not cover all keys."""
        raw = json.loads(content)
        owners = [Owner(*owner) for owner in raw["owners"]]
        table = cls(
            name.removeprefix(ITEM_PREFIX),
            version,
            tuple(_decode_row(row, owners) for row in raw["shards"]),
            int(raw.get("max_lease_ms", DEFAULT_MAX_LEASE_MS)),
        )
        next_key = 0
        for shard in table.shards:
            if shard.range.first != next_key or shard.range.last < next_key:
                raise ValueError(f"{name}: the ranges don't cover all keys once")
            next_key = shard.range.last + 1
        if next_key != KEY_COUNT:
            raise ValueError(f"{name}: the ranges don't cover all keys once")
        return table


def _decode_row(row: list[Any], owners: list[Owner]) -> Shard:
    first, last, owner, fence, revoked, handover, successor = row
    return Shard(KeyRange(first, last), owners[owner], fence, bool(revoked), handover, owners[successor])


def _revoked(shard: Shard, successor: Owner) -> Shard:
    if not shard.owner.instance:
        return shard
    return shard._replace(revoked=True, successor=successor)


def _assigned(shard: Shard, assigned: Shard) -> Shard:
    return assigned._replace(range=shard.range)


def _replaced(
    shards: tuple[Shard, ...], keys: KeyRange, replace: Callable[[Shard], Shard]
) -> tuple[Shard, ...]:
    """Returns shards of which those parts that are in a range are replaced."""
    result: list[Shard] = []
    for shard in shards:
        if not shard.range.overlaps(keys):
            result.append(shard)
            continue
        if shard.range.first < keys.first:
            result.append(shard.narrowed(KeyRange(shard.range.first, keys.first - 1)))
        result.append(replace(shard.narrowed(keys)))
        if shard.range.last > keys.last:
            result.append(shard.narrowed(KeyRange(keys.last + 1, shard.range.last)))
    return tuple(result)


def _merged(shards: tuple[Shard, ...]) -> tuple[Shard, ...]:
    """Returns shards with adjacent ones joined that differ in nothing but their range."""
    result: list[Shard] = []
    for shard in shards:
        if result and result[-1]._replace(range=shard.range) == shard:
            result[-1] = shard._replace(range=KeyRange(result[-1].range.first, shard.range.last))
        else:
            result.append(shard)
    return tuple(result)
