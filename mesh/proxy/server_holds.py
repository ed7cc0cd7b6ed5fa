"""What the server beside a sidecar was told to hold, what it holds, and what it has let go of. No I/O.

Two bounds are kept for each range that the server was told to hold. `may_hold_until` is an upper bound, which
releases go by: it takes the server's clock to be slow, and counts each grant whether or not it was answered.
`holds_until` is a lower bound, which the gate for calls goes by. All times are seconds of this process's
monotonic clock, read by the caller when they are used.

A revoked range is reported as released only if

- the server has said so, and no grant that it has not answered can still reach it; or
- all that this process has told the server has run out, and it has run for the longest lease itself, so that
  all that an earlier process of the sidecar has told the server has run out as well; or
- the server process has certainly ended, and its successor has not taken a call for it: answers to heartbeats
  can't be misdirected, but calls can. An earlier process of the sidecar may have made such calls, so this
  counts only once they have run out, or have arrived and the successor's heartbeat does not list the range.

A key under a fence has one owner, so a range with its fence also names the server process.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from mesh.state.key_leases import CLOCK_DRIFT, LeaseBook, LeaseTimes, hold_duration
from mesh.state.shards import (
    DEFAULT_MAX_LEASE_MS,
    FencedRange,
    KeyRange,
    Owner,
    ReleasedRange,
    Shard,
    ShardTable,
    subtract,
)

GRANT_TRANSIT_S = 0.25  # the most time from reading the clock until the server counts a grant by call
ANSWER_TRANSIT_S = 0.02  # after which the server goes by the answer to its heartbeat
GATE_MARGIN_S = 0.05  # before the end of a hold, in which no more calls are sent: they would arrive too late
MAX_HOLD_FRACTION = 0.8  # of a lease, of a grant by call
MIN_HOLD_S = 0.1  # a grant for less is not worth its call
GRANTS_PER_HOLD = 3  # how often a hold is renewed by call
RETRY_DELAY_S = 0.1  # until a grant that was not answered is sent again
MAX_LEASE_SPREAD_FRACTION = 0.5  # of a lease, by which leases of one answer end at different times
MAX_ROWS_BYTES = 4000  # of an answer to a heartbeat, which may have 4 KiB altogether
EARLIER_CALLS_S = 1.0  # after which no call of an earlier process of this sidecar is on its way


class TableView(NamedTuple):
    """The ranges of one node, by this sidecar's copy of the table of its service."""

    owned: tuple[Shard, ...] = ()  # by the present server, unrevoked
    revoked: tuple[Shard, ...] = ()  # by the present server, or earlier ones of the same node
    promised: tuple[Shard, ...] = ()  # revoked ones of any owner that the present server is to get next
    max_lease_ms: int = DEFAULT_MAX_LEASE_MS  # that has been allowed on any of them

    @classmethod
    def of(cls, table: ShardTable, owner: Owner) -> TableView:
        """Returns the ranges of a server and of earlier servers of its node."""
        revoked = [shard for shard in table.shards if shard.revoked and shard.owner.node == owner.node]
        promised = [shard for shard in table.shards if shard.revoked and shard.successor == owner]
        return cls(tuple(table.owned_by(owner)), tuple(revoked), tuple(promised), table.max_lease_ms)


@dataclass(slots=True)
class Grant:
    """What the server was told of one range."""

    hold_s: float = 0.0  # of the last grant
    told_at: float = -math.inf
    may_hold_until: float = -math.inf
    may_hold_by_call_until: float = -math.inf  # also another server process that has taken the call
    holds_from: float = math.inf
    holds_until: float = -math.inf
    renew_at: float = -math.inf  # by call
    in_flight: bool = False  # a call has been written and is not answered
    unanswered_until: float = -math.inf  # until then a call that was given up may have effect

    def tell(self, now: float, hold_s: float, transit_s: float) -> None:
        """Notes a grant that is about to be written; the server counts it at most `transit_s` later."""
        self.hold_s, self.told_at = hold_s, now
        self.may_hold_until = max(self.may_hold_until, now + transit_s + hold_s / (1 - CLOCK_DRIFT))

    def may_last(self, now: float, has_owner_ended: bool) -> bool:
        """Returns whether a server may hold the range: its owner, or another one that has taken a call."""
        until = self.may_hold_by_call_until if has_owner_ended else self.may_hold_until
        return self.in_flight or until > now

    def take(self, holds_from: float, counted_from: float) -> None:
        """Notes that the server holds the range, counted from a time, for as long as it was told last."""
        if self.holds_until <= holds_from:
            self.holds_from = holds_from
        self.holds_until = counted_from + self.hold_s / (1 + CLOCK_DRIFT) - GATE_MARGIN_S


class HandoverRow(NamedTuple):
    """A range that a server has let go of, by its heartbeat."""

    range: KeyRange
    handover: str


class HeartbeatRanges(NamedTuple):
    """What a heartbeat says of ranges. The number increases with each heartbeat of a server process.

    `holds` are the ranges that the server holds or is still working on.
    """

    call_number: int
    holds: tuple[FencedRange, ...] = ()
    released: tuple[HandoverRow, ...] = ()


class GrantRow(NamedTuple):
    """A range that a server is told to hold in the answer to its heartbeat."""

    first: int
    last: int
    fence: int
    handover: str


class HeartbeatGrants(NamedTuple):
    """All that a server is to hold, for so many milliseconds from when it sent its heartbeat."""

    rows: tuple[GrantRow, ...]
    hold_ms: int


class ServerHolds:
    """The ranges of the server beside one sidecar, and of earlier servers at the same address.

    `started_at` is when this process began.
    """

    def __init__(self, times: LeaseTimes, leases: LeaseBook, started_at: float) -> None:
        self._times, self._leases, self._started_at = times, leases, started_at
        self._owner = Owner("", "")
        self._view = TableView()
        self._has_table = False
        self._grants: dict[FencedRange, Grant] = {}
        self._closed: set[FencedRange] = set()  # no more calls for their keys are sent under these fences
        self._refused: set[FencedRange] = set()  # the server has seen a higher fence
        self._answers: list[tuple[float, ReleasedRange]] = []  # what the server let go of, and since when
        self._first_number: int | None = None  # of a heartbeat after all calls of earlier processes arrived
        self._listed: tuple[FencedRange, ...] | None = None  # by the latest heartbeat after that one
        self._left_out: dict[FencedRange, int] = {}  # from the answer to the heartbeat of this number on
        self.ended_instances: set[str] = set()  # server processes that have certainly ended

    @property
    def lease_s(self) -> float:
        """How long a lease lasts from the sending of its question."""
        return self._times.lease_s

    def update(self, owner: Owner, view: TableView | None) -> None:
        """Sets the present server and what this sidecar's copy of the table says of it.

        The view is None while there is no table here.
        """
        if owner != self._owner:
            for grant in self._grants.values():
                grant.holds_until = -math.inf
            self._left_out.clear()
            self._first_number = self._listed = None
        self._owner, self._has_table = owner, view is not None
        self._view = view = view or TableView()
        known = {shard.fence for shard in (*view.owned, *view.revoked)}
        known |= {held.fence for held in self._grants}
        self._closed = {held for held in self._closed if held.fence in known}
        self._refused = {held for held in self._refused if held.fence in known}
        self._left_out = {held: number for held, number in self._left_out.items() if held.fence in known}
        self._answers = [entry for entry in self._answers if entry[1].fence in known]
        if self._has_table:
            self._close_lost_ranges()

    def _close_lost_ranges(self) -> None:
        """Closes the gate for what the server was told to hold and the table says to be another's."""
        shards = (*self._view.owned, *self._view.revoked)
        for granted in self._grants:
            own = [shard.range for shard in shards if shard.fence == granted.fence]
            self._closed.update(FencedRange(keys, granted.fence) for keys in subtract(granted.range, own))

    def on_server_ended(self, instance: str) -> None:
        """Notes that a server process has certainly ended: another one answers at its address."""
        if instance != self._owner.instance:
            self.ended_instances.add(instance)

    # --- what the server holds

    def allows(self, now: float, key: int) -> bool:
        """Returns whether the server certainly holds a key, and is not about to let go of it."""
        return any(
            grant.holds_from <= now < grant.holds_until
            and held.range.first <= key <= held.range.last
            and not self._is_closed(held.fence, key)
            for held, grant in self._grants.items()
        )

    def expects(self, key: int) -> bool:
        """Returns whether the server is to hold a key, whether or not it does."""
        return any(shard.range.first <= key <= shard.range.last for shard in self._wanted())

    def _is_closed(self, fence: int, key: int) -> bool:
        return any(
            closed.fence == fence and closed.range.first <= key <= closed.range.last
            for closed in self._closed
        )

    def held_ranges(self, now: float) -> list[FencedRange]:
        """Returns the ranges that the server certainly holds."""
        return [held for held, grant in self._grants.items() if grant.holds_from <= now < grant.holds_until]

    def expire(self, now: float) -> None:
        """Forgets grants that have run out."""
        self._grants = {
            held: grant
            for held, grant in self._grants.items()
            if grant.in_flight or max(grant.may_hold_until, grant.renew_at) > now
        }

    # --- leases and grants

    def ranges_to_lease(self) -> list[FencedRange]:
        """Returns the ranges whose leases are to be renewed."""
        return [shard.fenced_range for shard in self._wanted()]

    def _wanted(self) -> list[Shard]:
        """Returns the shards that the server is to hold."""
        return [
            shard
            for shard in self._view.owned
            if not any(_overlap(shard.fenced_range, refused) for refused in self._refused)
        ]

    def hold_ms(self, now: float, held: FencedRange) -> int:
        """Returns for how long a call that is written now may grant a range; 0 if it may not."""
        if not any(shard.fenced_range == held for shard in self._wanted()):
            return 0
        lease_ends_at = self._leases.ends_at(now, held)
        longest_s = hold_duration(now, lease_ends_at, GRANT_TRANSIT_S)
        hold_s = min(self._times.lease_s * MAX_HOLD_FRACTION, longest_s)
        return int(hold_s * 1000) if hold_s >= MIN_HOLD_S else 0

    def grants_due(self, now: float) -> list[Shard]:
        """Returns the shards that are to be granted by call now: first those that the server doesn't hold."""
        due = [
            shard
            for shard in self._wanted()
            if self._renewal_time(shard) <= now and self.hold_ms(now, shard.fenced_range)
        ]
        return sorted(due, key=lambda shard: (self._is_held(now, shard), self._renewal_time(shard)))

    def _renewal_time(self, shard: Shard) -> float:
        grant = self._grants.get(shard.fenced_range)
        return grant.renew_at if grant is not None else -math.inf

    def _is_held(self, now: float, shard: Shard) -> bool:
        grant = self._grants.get(shard.fenced_range)
        return grant is not None and grant.holds_until > now

    def next_grant_at(self, now: float) -> float:
        """Returns when the next call is due; infinity if no leased range has one."""
        times = [
            self._renewal_time(shard)
            for shard in self._wanted()
            if self._leases.ends_at(now, shard.fenced_range) > now
        ]
        return min(times, default=math.inf)

    def on_grant_written(self, now: float, held: FencedRange, hold_ms: int) -> None:
        """Notes a call that is about to be written, for which the clock was read."""
        grant = self._grants.setdefault(held, Grant())
        grant.tell(now, hold_ms / 1000, GRANT_TRANSIT_S)
        grant.may_hold_by_call_until = grant.may_hold_until
        grant.in_flight = True
        grant.renew_at = now + grant.hold_s / GRANTS_PER_HOLD

    def on_grant_taken(self, now: float, held: FencedRange) -> None:
        """Notes that the server has answered 200."""
        grant = self._grants[held]
        grant.in_flight = False
        if any(shard.fenced_range == held for shard in self._wanted()):
            grant.take(now, grant.told_at)

    def on_grant_refused(self, held: FencedRange) -> None:
        """Notes that the server has seen a higher fence: it is never told to hold the range under this one.

        It may still hold a part of it from an earlier grant, so it is asked to let go of the whole.
        """
        self._grants[held].in_flight = False
        self._refused.add(held)
        self._closed.add(held)

    def on_grant_unanswered(self, now: float, held: FencedRange, write_delay_s: float = 0.0) -> None:
        """Notes that a call was given up after it was written; the server may have taken it, or may yet.

        `write_delay_s` is from when the clock was read for the call until the kernel took it.
        """
        grant = self._grants[held]
        grant.in_flight = False
        grant.may_hold_by_call_until += write_delay_s
        grant.may_hold_until = max(grant.may_hold_until, grant.may_hold_by_call_until)
        grant.unanswered_until = grant.may_hold_until
        grant.renew_at = now + RETRY_DELAY_S

    def postpone(self, now: float, held: FencedRange, delay_s: float) -> None:
        """Puts off the next call for a range."""
        self._grants.setdefault(held, Grant()).renew_at = now + delay_s

    # --- releases by call

    def releases_due(self, now: float) -> list[FencedRange]:
        """Returns the ranges that the server is to be asked to let go of.

        A release waits for a grant of the same range that is on its way, which could arrive after it; also
        for those of an earlier process of this sidecar.
        """
        return [
            held
            for held in (*self._revoked(), *self._refused)
            if not self._is_released(now, held) and not self._may_be_arriving(now, held)
        ]

    def _may_be_arriving(self, now: float, held: FencedRange) -> bool:
        """Returns whether a call that grants a part of a range may be on its way."""
        return now < self._started_at + EARLIER_CALLS_S or any(
            grant.in_flight and _overlap(held, granted) for granted, grant in self._grants.items()
        )

    def _revoked(self) -> Iterator[FencedRange]:
        """Yields the revoked ranges that the server at the address may hold."""
        for shard in self._view.revoked:
            if shard.owner == self._owner or shard.owner.instance in self.ended_instances:
                yield shard.fenced_range

    def close(self, held: FencedRange) -> None:
        """Closes the gate for the keys of a range under its fence, for good."""
        self._closed.add(held)

    def on_release_answered(self, now: float, held: FencedRange, handover: str) -> None:
        """Notes that the server has let go of a range; it has ended all work on its keys."""
        self._add_answer(now, ReleasedRange(held.range, held.fence, handover))

    def _add_answer(self, now: float, released: ReleasedRange) -> None:
        """Notes that the server has let go of a range, from when on no unanswered grant can reach it."""
        held = FencedRange(released.range, released.fence)
        since = now
        for granted, grant in self._grants.items():
            if _overlap(held, granted):
                since = max(since, grant.unanswered_until)
        answered = [earlier.range for _, earlier in self._answers if earlier.fence == held.fence]
        for keys in subtract(held.range, answered):
            self._answers.append((since, released._replace(range=keys)))

    # --- what is released

    def released(self, now: float) -> dict[Owner, list[ReleasedRange]]:
        """Returns the ranges that servers of this node certainly don't hold any more, by their owners."""
        result: dict[Owner, list[ReleasedRange]] = {}
        for shard in self._view.revoked:
            rows = self._released_parts(now, shard.owner, shard.fenced_range)
            if rows:
                result.setdefault(shard.owner, []).extend(rows)
        for held in sorted(self._refused):
            rows = self._released_parts(now, self._owner, held)
            if rows:
                result.setdefault(self._owner, []).extend(rows)
        return result

    def _is_released(self, now: float, held: FencedRange) -> bool:
        rows = self._released_parts(now, self._owner, held)
        return sum(row.range.size for row in rows) == held.range.size

    def _released_parts(self, now: float, owner: Owner, held: FencedRange) -> list[ReleasedRange]:
        """Returns those parts of a revoked range that are certainly not held under its fence any more."""
        released = [
            row._replace(range=row.range.intersection(held.range))
            for since, row in self._answers
            if since <= now and row.fence == held.fence and row.range.overlaps(held.range)
        ]
        rest = subtract(held.range, [row.range for row in released])
        for keys in self._not_held_by_time(now, owner, held.fence, rest):
            released.append(ReleasedRange(keys, held.fence, self._handover(FencedRange(keys, held.fence))))
        return released

    def _not_held_by_time(
        self, now: float, owner: Owner, fence: int, ranges: Iterable[KeyRange]
    ) -> Iterator[KeyRange]:
        """Yields the parts of some ranges that a server can't hold, as its time is over or it has ended."""
        has_ended = owner.instance in self.ended_instances
        held = [
            granted.range
            for granted, grant in self._grants.items()
            if granted.fence == fence and grant.may_last(now, has_ended)
        ]
        if now < self._started_at + LeaseTimes.of_lease(self._view.max_lease_ms / 1000).reassignment_delay_s:
            if not has_ended or self._listed is None:
                return
            held += [listed.range for listed in self._listed if listed.fence <= fence]
        for keys in ranges:
            yield from subtract(keys, held)

    def _handover(self, held: FencedRange) -> str:
        """Returns the token that the server gave for a range, if it gave one."""
        for _, row in self._answers:
            if row.fence == held.fence and row.range.contains(held.range):
                return row.handover
        return ""

    # --- heartbeats

    def on_heartbeat(self, now: float, heartbeat: HeartbeatRanges) -> bool:
        """Learns from a heartbeat what the server has let go of; returns whether it is anything new.

        Only what an answer to an earlier heartbeat has left out counts: the server has read that answer, or
        did not take any, before it sent this heartbeat.
        """
        self._list(now, heartbeat)
        before = len(self._answers)
        for left_out, number in self._left_out.items():
            if heartbeat.call_number > number:
                for released in _let_go(left_out, heartbeat):
                    self._add_answer(now, released)
        return len(self._answers) > before

    def _list(self, now: float, heartbeat: HeartbeatRanges) -> None:
        """Notes what the server lists, if it did so after all calls of earlier processes had arrived."""
        if now < self._started_at + EARLIER_CALLS_S:
            return
        if self._first_number is None:
            self._first_number = heartbeat.call_number  # it may have been on its way for long
        elif heartbeat.call_number > self._first_number:
            self._listed = heartbeat.holds

    def answer_heartbeat(
        self, now: float, received_after: float, heartbeat: HeartbeatRanges, max_hold_s: float
    ) -> HeartbeatGrants | None:
        """Returns what the server is told to hold by the answer that is written now.

        None stands for an answer that changes nothing. Whatever the answer leaves out is let go of. The
        heartbeat was sent after `received_after`, a few milliseconds at most disregarded.
        """
        wanted = self._wanted()
        leased = self._leased_for_longest(now, wanted)
        if not self._has_table or (wanted and not leased):
            return None
        rows = _rows_that_fit([_grant_row(shard, heartbeat) for shard in leased])
        told = [FencedRange(KeyRange(row.first, row.last), row.fence) for row in rows]
        ends = [self._leases.ends_at(now, held) for held in told]
        longest_s = hold_duration(now, min(ends, default=math.inf))
        hold_ms = int(min(longest_s, max_hold_s, self._times.lease_s) * 1000)
        if hold_ms <= 0:
            return None
        self._tell_by_answer(now, received_after, told, hold_ms)
        self._leave_out(now, heartbeat.call_number)
        return HeartbeatGrants(rows, hold_ms)

    def is_promised_ranges(self) -> bool:
        """Returns whether ranges are being taken from other servers to be given to the present one."""
        return bool(self._view.promised)

    def awaits_ranges(self, now: float, heartbeat: HeartbeatRanges) -> bool:
        """Returns whether an answer could soon tell of a range that it can't tell of now.

        It could not if there is a leased range that the server lacks: that one is to be told at once.
        """
        wanted = self._wanted()
        leased = self._leased_for_longest(now, wanted)
        if not all(_is_listed(shard, heartbeat) for shard in leased):
            return False
        return self.is_promised_ranges() or len(leased) < len(wanted)

    def _leased_for_longest(self, now: float, shards: Iterable[Shard]) -> list[Shard]:
        """Returns the leased ones of some shards, but none that would shorten the hold of all others by much.

        All ranges of an answer are held for the same time. Leases are renewed together, so one that ends
        much earlier is not confirmed any more: its range is about to be revoked.
        """
        ends = {shard: self._leases.ends_at(now, shard.fenced_range) for shard in shards}
        latest = max(ends.values(), default=now)
        earliest = max(now, latest - MAX_LEASE_SPREAD_FRACTION * self._times.lease_s)
        return [shard for shard, ends_at in ends.items() if ends_at > now and ends_at >= earliest]

    def _tell_by_answer(
        self, now: float, received_after: float, told: Sequence[FencedRange], hold_ms: int
    ) -> None:
        """Notes that an answer tells the server to hold these ranges and no others."""
        continued = {held for held in told if self._certainly_holds(now, held)}
        for grant in self._grants.values():
            grant.holds_until = min(grant.holds_until, now)
        for held in told:
            grant = self._grants.setdefault(held, Grant())
            grant.tell(now, hold_ms / 1000, 0.0)
            grant.take(now if held in continued else now + ANSWER_TRANSIT_S, received_after)

    def _certainly_holds(self, now: float, held: FencedRange) -> bool:
        return any(
            granted.fence == held.fence and granted.range.contains(held.range)
            for granted in self.held_ranges(now)
        )

    def _leave_out(self, now: float, call_number: int) -> None:
        """Closes the gate for what the server is told to let go of.

        That includes what a call for an earlier server may have given it. The next heartbeat shows that a
        range is not held only if no such call could arrive after this answer.
        """
        for held in self._revoked():
            self.close(held)
            if not self._may_be_arriving(now, held):
                self._left_out.setdefault(held, call_number)


def _is_listed(shard: Shard, heartbeat: HeartbeatRanges) -> bool:
    """Returns whether a server says that it holds a range under its present fence."""
    return any(row.fence == shard.fence and row.range.contains(shard.range) for row in heartbeat.holds)


def _grant_row(shard: Shard, heartbeat: HeartbeatRanges) -> GrantRow:
    """Returns the row of a range, with its handover token unless the server has it already."""
    handover = "" if _is_listed(shard, heartbeat) else shard.handover
    return GrantRow(*shard.range, shard.fence, handover)


def _rows_that_fit(rows: Iterable[GrantRow]) -> tuple[GrantRow, ...]:
    """Returns as many rows as fit into an answer, first those that the server has already."""
    result: list[GrantRow] = []
    size = 0
    for row in sorted(rows, key=lambda row: bool(row.handover)):
        size += len(json.dumps(row, separators=(",", ":"))) + len(",")
        if size > MAX_ROWS_BYTES:
            break
        result.append(row)
    return tuple(sorted(result))


def _let_go(left_out: FencedRange, heartbeat: HeartbeatRanges) -> Iterator[ReleasedRange]:
    """Yields the parts of a range that the server neither holds nor works on any more."""
    held = [row.range for row in heartbeat.holds if row.fence <= left_out.fence]
    for keys in subtract(left_out.range, held):
        handed_over = [row for row in heartbeat.released if row.range.overlaps(keys)]
        for row in handed_over:
            yield ReleasedRange(row.range.intersection(keys), left_out.fence, row.handover)
        for rest in subtract(keys, [row.range for row in handed_over]):
            yield ReleasedRange(rest, left_out.fence, "")


def _overlap(one: FencedRange, other: FencedRange) -> bool:
    return one.fence == other.fence and one.range.overlaps(other.range)
