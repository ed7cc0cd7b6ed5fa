"""Decides which key ranges of a sharded service change hands, and to whom. No I/O; time is an argument.

`plan` returns the next change of a service's table: ranges to revoke, each with a planned next owner, and
revoked ranges to assign again. Only `ShardFacts.reassignable` tells which revoked ranges may be assigned, so
no decision here can give a range to a second server too early. Each reason to move a range is one function:

- keys that nobody has owned yet are spread evenly over the servers, once these have stopped arriving;
- a server that has ended, is missing or closed gives up everything it owns;
- a server that refuses the fence of a range, as it has seen a higher one, gets it again under a new one;
- a server that owns nothing although others do is given a fair share;
- a server that is overloaded gives up its excess, or all but its busiest bucket.

Ranges are cut at the borders of load buckets. A moved key costs its share of all keys, so nothing moves
without one of these reasons, and a range that was assigned recently moves only off a server that has left.

Source: A. Adya et al., "Slicer: Auto-Sharding for Datacenter Applications", 2016, 4.4 (balance by load, with
the cost of moves weighed against it).
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Iterator, Mapping
from itertools import accumulate
from typing import NamedTuple

from mesh.control.server_directory import ServerNode
from mesh.control.shard_facts import ShardFacts
from mesh.state.shard_load import BUCKET_KEYS
from mesh.state.shards import KEY_COUNT, NOBODY, Assignment, KeyRange, Owner, Revocation, Shard, ShardTable

BUCKETS = KEY_COUNT // BUCKET_KEYS
MAX_SHARDS = 512  # of one table
MAX_SHARDS_OF_OWNER = 24  # the answer to a server's heartbeat, which lists them, may be 4 KiB

ARRIVAL_PAUSE_S = 0.5  # the first assignment waits until no server has opened for so long
MAX_ARRIVAL_S = 3.0  # from the opening of the first server to the first assignment
STRIPES_OF_SERVER = 2  # adjacent busy keys are spread over more servers than with one range each

MISSING_GRACE_S = 2.0  # a process that was killed is back sooner
PARTS_OF_FAIR_SHARE = 4  # a server that has left is replaced by so many, where its ranges can be cut

MAX_MOVING_SHARE = 1 / 16  # of all keys that are on the move to new servers at the same time
MAX_DONORS = 2  # servers that one new server gets keys from

SETTLE_S = 4.0  # a range that was assigned more recently stays
OVERLOAD_UTILIZATION = 0.6  # share of the slots that is at work
OVERLOAD_RATIO = 1.5  # of the load to the mean load
HOT_BUCKET_SHARE = 0.5  # of its server's load; a bucket with more can't be balanced by moving it
MIN_MOVED_WORK = 0.25  # requests at work; less is not worth a move
MAX_EXCESS_RATIO = 1.5  # of the load that is moved to the load that should be
MIN_TOTAL_WORK = 0.5  # requests at work; with less, only the number of keys counts as load


class Reason(enum.StrEnum):
    """Why keys change hands."""

    FIRST = "first"  # nobody has owned them yet
    ENDED = "ended"  # another server has taken the owner's place
    MISSING = "missing"
    CLOSED = "closed"
    REFUSED = "refused"  # the owner has seen a higher fence; it gets the range again under a new one
    NEW_SERVER = "new_server"
    OVERLOAD = "overload"
    HOT_KEY = "hot_key"


class Move(NamedTuple):
    """A range that changes hands, and why. It counts when it is revoked, or when it is first assigned."""

    reason: Reason
    keys: KeyRange


class Plan(NamedTuple):
    """The next change of a table; empty if nothing has to change."""

    revocations: tuple[Revocation, ...] = ()
    assignments: tuple[Assignment, ...] = ()
    moves: tuple[Move, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether nothing has to change."""
        return not self.revocations and not self.assignments


class Situation(NamedTuple):
    """Everything that a plan for one service depends on. Times are seconds of the monotonic clock."""

    now: float
    facts: ShardFacts
    nodes: Mapping[str, ServerNode]
    watching_since: float  # since when this controller could hear of servers
    reassignment_delay_s: float

    @property
    def table(self) -> ShardTable:
        """The table that is in force."""
        return self.facts.table

    def open_servers(self) -> list[ServerNode]:
        """Returns the servers that keys can be given to, in a fixed order."""
        servers = [node for node in self.nodes.values() if node.is_open_for(self.table.service)]
        return sorted(servers, key=lambda server: server.owner)

    def is_settled(self, shard: Shard) -> bool:
        """Whether a shard was assigned long enough ago to be moved for the sake of balance."""
        return shard.active and self.facts.assigned_for_s(self.now, shard) >= SETTLE_S


class KeyLoad:
    """The load of a service by key range; within a bucket all keys count alike."""

    def __init__(self, work_by_bucket: Mapping[int, float]) -> None:
        work = [work_by_bucket.get(bucket, 0.0) for bucket in range(BUCKETS)]
        self._cumulative = [0.0, *accumulate(work)]
        self.total = self._cumulative[-1]

    def work(self, keys: KeyRange) -> float:
        """Returns the average number of requests for keys of a range that are at work."""
        return self._work_before(keys.last + 1) - self._work_before(keys.first)

    def _work_before(self, key: int) -> float:
        bucket, keys_of_bucket = divmod(key, BUCKET_KEYS)
        work = self._cumulative[bucket]
        if keys_of_bucket:
            work += (self._cumulative[bucket + 1] - work) * keys_of_bucket / BUCKET_KEYS
        return work

    def weight(self, keys: KeyRange) -> float:
        """Returns the share of a range in the service: of its keys and, if there is any, of its load.

        Keys count too, as it may change which of them are busy.
        """
        share = keys.size / KEY_COUNT
        if self.total < MIN_TOTAL_WORK:
            return share
        return (share + self.work(keys) / self.total) / 2


class Placement:
    """What each open server owns and is planned to own. It is updated as a plan is made."""

    def __init__(self, situation: Situation) -> None:
        table, servers = situation.table, situation.open_servers()
        self.load = KeyLoad(situation.facts.work_by_bucket(situation.now))
        self.slots = {server.owner: server.slots for server in servers}
        self.weights = {server.owner: 0.0 for server in servers}
        self.shard_counts = {server.owner: 0 for server in servers}
        self.moving = {shard.owner for shard in table.shards if shard.revoked}
        self.shards = len(table.shards)
        self._max_shards = min(MAX_SHARDS, len(servers) * MAX_SHARDS_OF_OWNER // 2)
        for shard in table.shards:
            self.add(shard.successor if shard.revoked else shard.owner, shard.range)
            if shard.revoked:
                self.moving.add(shard.successor)

    @property
    def fair_weight(self) -> float:
        """The weight of each server if all had the same."""
        return 1 / max(1, len(self.weights))

    def add(self, owner: Owner, keys: KeyRange) -> None:
        """Counts a range for a server; ignored if the server isn't open."""
        if owner in self.weights:
            self.weights[owner] += self.load.weight(keys)
            self.shard_counts[owner] += 1

    def least_loaded(self, excluded: Iterable[Owner] = ()) -> Owner | None:
        """Returns the open server that should get the next range, if there is any."""
        candidates = self.weights.keys() - set(excluded)
        return min(
            candidates,
            key=lambda owner: (
                self.shard_counts[owner] >= MAX_SHARDS_OF_OWNER,
                self.weights[owner],
                self.shard_counts[owner],
                owner,
            ),
            default=None,
        )

    def can_cut(self, cuts: int) -> bool:
        """Returns whether the table may get so many more shards."""
        return self.shards + cuts <= self._max_shards


def plan(situation: Situation) -> Plan:
    """Returns the next change of a service's table."""
    if not situation.table.version:
        return _plan_first_assignment(situation)
    placement = Placement(situation)
    assignments = list(_reassign(situation, placement))
    moves = list(_assign_free(situation, placement, assignments))
    revocations: list[Revocation] = []
    for leave in (
        _move_off_absent_servers,
        _renew_refused_fences,
        _move_to_new_servers,
        _move_off_overloaded_servers,
    ):
        for reason, revocation in leave(situation, placement):
            revocations.append(revocation)
            moves.append(Move(reason, revocation.range))
    return Plan(tuple(revocations), tuple(assignments), tuple(moves))


# --- assignments


def _plan_first_assignment(situation: Situation) -> Plan:
    """Spreads all keys over the servers, in stripes of equal width."""
    servers = situation.open_servers()
    if not servers or not _has_everybody_arrived(situation.now, servers):
        return Plan()
    stripes_of_server = STRIPES_OF_SERVER if STRIPES_OF_SERVER * len(servers) <= MAX_SHARDS // 2 else 1
    count = min(stripes_of_server * len(servers), MAX_SHARDS)
    assignments = tuple(
        Assignment(stripe, servers[number % len(servers)].owner)
        for number, stripe in enumerate(_stripes(count))
    )
    return Plan((), assignments, tuple(Move(Reason.FIRST, assignment.range) for assignment in assignments))


def _has_everybody_arrived(now: float, servers: list[ServerNode]) -> bool:
    arrivals = [server.open_since for server in servers]
    return now >= min(max(arrivals) + ARRIVAL_PAUSE_S, min(arrivals) + MAX_ARRIVAL_S)


def _stripes(count: int) -> Iterator[KeyRange]:
    borders = [round(number * BUCKETS / count) * BUCKET_KEYS for number in range(count + 1)]
    for first, end in zip(borders, borders[1:], strict=False):
        yield KeyRange(first, end - 1)


def _reassign(situation: Situation, placement: Placement) -> Iterator[Assignment]:
    """Assigns the revoked ranges that nobody can hold any more: to their successors, if these are open."""
    for shard, handover in situation.facts.reassignable(situation.now, situation.reassignment_delay_s):
        owner: Owner | None = shard.successor
        if owner not in placement.weights:
            owner = placement.least_loaded()
            if owner is None:
                return
            placement.add(owner, shard.range)
        assert owner is not None
        yield Assignment(shard.range, owner, handover)


def _assign_free(situation: Situation, placement: Placement, assignments: list[Assignment]) -> Iterator[Move]:
    """Assigns the ranges that nobody has owned yet, and yields them."""
    for shard in situation.table.shards:
        owner = placement.least_loaded() if shard.owner == NOBODY else None
        if owner is not None:
            placement.add(owner, shard.range)
            assignments.append(Assignment(shard.range, owner))
            yield Move(Reason.FIRST, shard.range)


# --- revocations

ReasonedRevocation = tuple[Reason, Revocation]


def reason_to_leave(situation: Situation, owner: Owner) -> Reason | None:
    """Returns why a server has to give up everything that it owns; None if it need not."""
    node = situation.nodes.get(owner.node)
    is_connected = node is not None and node.missing_since is None
    if node is not None and is_connected:
        if node.owner != owner or node.service != situation.table.service:
            return Reason.ENDED
        return None if node.is_open else Reason.CLOSED
    missing_since = situation.watching_since + MISSING_GRACE_S
    if node is not None and node.missing_since is not None:
        missing_since = max(node.missing_since, situation.watching_since)
    return Reason.MISSING if situation.now >= missing_since + MISSING_GRACE_S else None


def _move_off_absent_servers(situation: Situation, placement: Placement) -> Iterator[ReasonedRevocation]:
    """Revokes everything that servers own which have ended, are missing or closed.

    Keys stay with a closed server while there is no open one.
    """
    reasons = {
        owner: reason_to_leave(situation, owner)
        for owner in {shard.owner for shard in situation.table.shards if shard.active}
    }
    for shard in situation.table.shards:
        reason = reasons.get(shard.owner) if shard.active else None
        if reason is None or (reason == Reason.CLOSED and not placement.weights):
            continue
        for part, successor in _successors(situation, placement, shard, reason):
            placement.add(successor, part)
            yield reason, Revocation(part, successor)


def _renew_refused_fences(situation: Situation, placement: Placement) -> Iterator[ReasonedRevocation]:
    """Revokes what servers have refused to hold under its fence, for the same server."""
    for shard in situation.facts.refused():
        if reason_to_leave(situation, shard.owner) is None:
            placement.moving.add(shard.owner)  # nothing else of it is revoked by the same change
            yield Reason.REFUSED, Revocation(shard.range, shard.owner)


def _successors(
    situation: Situation, placement: Placement, shard: Shard, reason: Reason
) -> Iterator[tuple[KeyRange, Owner]]:
    """Yields the parts of a shard whose owner leaves, each with its next owner.

    The next server at the same place gets the whole, so that a restart of all servers leaves them with equal
    shares.
    """
    if reason == Reason.ENDED:
        node = situation.nodes[shard.owner.node]
        if node.service == situation.table.service:
            yield shard.range, node.owner
            return
    for part in _small_parts(placement, shard.range):
        yield part, placement.least_loaded() or NOBODY


def _small_parts(placement: Placement, keys: KeyRange) -> list[KeyRange]:
    """Cuts a range into parts of at most a fraction of a fair share."""
    max_weight = placement.fair_weight / PARTS_OF_FAIR_SHARE
    count = min(round(placement.load.weight(keys) / max_weight), PARTS_OF_FAIR_SHARE, len(placement.weights))
    parts = []
    while count > 1 and placement.can_cut(1):
        cut = _part_of_weight(keys, placement.load.weight(keys) / count, placement.load.weight, prefixes=True)
        if cut is None:
            break
        parts.append(cut)
        keys = KeyRange(cut.last + 1, keys.last)
        placement.shards += 1
        count -= 1
    return [*parts, keys]


def _move_to_new_servers(situation: Situation, placement: Placement) -> Iterator[ReasonedRevocation]:
    """Gives servers that own nothing a part of the most loaded servers' ranges.

    Only a small share of all keys is on the move at a time, or what one server gives.
    """
    newcomers = [owner for owner, count in placement.shard_counts.items() if not count]
    if not newcomers or len(newcomers) == len(placement.weights):
        return
    moving_share = _moving_share(situation, placement)
    donors = _donors(situation, placement)
    for position, newcomer in enumerate(newcomers):
        donor_count = max(1, min(MAX_DONORS, len(donors) // (len(newcomers) - position)))
        for donor in donors[:donor_count]:
            part = _donation(situation, placement, donor, donor_count)
            if part is None or (moving_share and moving_share + part.size / KEY_COUNT > MAX_MOVING_SHARE):
                continue
            moving_share += part.size / KEY_COUNT
            placement.shards += 1
            placement.moving |= {donor, newcomer}
            placement.add(newcomer, part)
            yield Reason.NEW_SERVER, Revocation(part, newcomer)
        del donors[:donor_count]


def _moving_share(situation: Situation, placement: Placement) -> float:
    """Returns the share of the keys that open servers are giving up."""
    moving = [
        shard.range.size
        for shard in situation.table.shards
        if shard.revoked and shard.owner in placement.weights
    ]
    return sum(moving) / KEY_COUNT


def _donors(situation: Situation, placement: Placement) -> list[Owner]:
    """Returns the servers that can give up a range, the most loaded first."""
    settled = {shard.owner for shard in situation.table.shards if situation.is_settled(shard)}
    donors = [owner for owner in placement.weights if owner in settled and owner not in placement.moving]
    return sorted(donors, key=lambda owner: (-placement.weights[owner], owner))


def _donation(situation: Situation, placement: Placement, donor: Owner, donor_count: int) -> KeyRange | None:
    """Returns the range that a server gives to a new one, which gets as much as its donors keep."""
    if not placement.can_cut(1):
        return None
    weight = placement.weights[donor] / (donor_count + 1)
    return _best_part(situation, donor, weight, placement.load.weight)


def _move_off_overloaded_servers(situation: Situation, placement: Placement) -> Iterator[ReasonedRevocation]:
    """Moves the excess of overloaded servers to the least loaded ones."""
    load = placement.load
    work = dict.fromkeys(placement.weights, 0.0)
    for shard in situation.table.shards:
        if shard.active and shard.owner in work:
            work[shard.owner] += load.work(shard.range)
    mean = sum(work.values()) / max(1, len(work))
    for source in sorted(work, key=lambda owner: (-work[owner], owner)):
        is_overloaded = work[source] > max(
            OVERLOAD_UTILIZATION * placement.slots[source], OVERLOAD_RATIO * mean
        )
        if not is_overloaded or source in placement.moving:
            continue
        hot_bucket = _hot_bucket(situation, placement, source, work[source])
        if hot_bucket is not None:
            yield from _isolate(situation, placement, source, hot_bucket)
        else:
            yield from _move_excess(situation, placement, source, work, mean)


def _hot_bucket(situation: Situation, placement: Placement, owner: Owner, work: float) -> KeyRange | None:
    """Returns the bucket that most of a server's load is on, if there is one."""
    for shard in situation.table.owned_by(owner):
        for keys in _buckets(shard.range):
            if placement.load.work(keys) > HOT_BUCKET_SHARE * work:
                return keys
    return None


def _isolate(
    situation: Situation, placement: Placement, source: Owner, hot_bucket: KeyRange
) -> Iterator[ReasonedRevocation]:
    """Moves everything but one bucket off a server."""
    for shard in situation.table.owned_by(source):
        if not situation.is_settled(shard):
            continue
        for part in _around(shard.range, hot_bucket):
            target = placement.least_loaded({source} | placement.moving)
            if target is None or not placement.can_cut(1):
                return
            placement.shards += 1
            placement.moving.add(target)
            placement.add(target, part)
            yield Reason.HOT_KEY, Revocation(part, target)
    placement.moving.add(source)


def _move_excess(
    situation: Situation, placement: Placement, source: Owner, work: dict[Owner, float], mean: float
) -> Iterator[ReasonedRevocation]:
    """Moves about as much load to the least loaded server as there is too much, if any range fits."""
    target = placement.least_loaded({source} | placement.moving)
    if target is None or not placement.can_cut(1):
        return
    wanted = min(work[source] - mean, (work[source] - work[target]) / 2)
    part = _best_part(situation, source, wanted, placement.load.work)
    if part is None or not MIN_MOVED_WORK <= placement.load.work(part) <= MAX_EXCESS_RATIO * wanted:
        return
    placement.shards += 1
    placement.moving |= {source, target}
    placement.add(target, part)
    yield Reason.OVERLOAD, Revocation(part, target)


# --- cutting ranges


def _buckets(keys: KeyRange) -> Iterator[KeyRange]:
    """Yields the parts of a range by bucket."""
    first = keys.first
    while first <= keys.last:
        last = min(keys.last, first - first % BUCKET_KEYS + BUCKET_KEYS - 1)
        yield KeyRange(first, last)
        first = last + 1


def _around(keys: KeyRange, hole: KeyRange) -> Iterator[KeyRange]:
    """Yields the parts of a range below and above another one."""
    if keys.first < hole.first:
        yield KeyRange(keys.first, min(keys.last, hole.first - 1))
    if keys.last > hole.last:
        yield KeyRange(max(keys.first, hole.last + 1), keys.last)


def _end_parts(keys: KeyRange, prefixes: bool = False) -> Iterator[KeyRange]:
    """Yields the parts of a range on either side of each border of buckets, or only those below it."""
    first_border = keys.first - keys.first % BUCKET_KEYS + BUCKET_KEYS
    for border in range(first_border, keys.last + 1, BUCKET_KEYS):
        yield KeyRange(keys.first, border - 1)
        if not prefixes:
            yield KeyRange(border, keys.last)


def _part_of_weight(
    keys: KeyRange, wanted: float, weigh: Callable[[KeyRange], float], prefixes: bool = False
) -> KeyRange | None:
    """Returns the part at an end of a range whose weight is closest to the wanted one, the smallest such."""
    return min(
        _end_parts(keys, prefixes),
        key=lambda part: (round(abs(weigh(part) - wanted), 9), part.size),
        default=None,
    )


def _best_part(
    situation: Situation, owner: Owner, wanted: float, weigh: Callable[[KeyRange], float]
) -> KeyRange | None:
    """Returns the part of a server's settled ranges whose weight is closest to the wanted one."""
    settled = [shard.range for shard in situation.table.owned_by(owner) if situation.is_settled(shard)]
    parts = [part for keys in settled if (part := _part_of_weight(keys, wanted, weigh)) is not None]
    if len(settled) > 1:  # a server keeps at least one range
        parts += settled
    return min(parts, key=lambda part: (round(abs(weigh(part) - wanted), 9), part.size), default=None)
