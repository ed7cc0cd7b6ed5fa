"""Renews the leases of the server beside a sidecar on its key ranges (`mesh.state.key_leases`).

All connected voters are asked to confirm the server's ranges at short intervals. `LeaseQuestions` decides
what their answers are worth, without I/O; `RangeLeases` asks.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from mesh.proxy.context import ProxyContext
from mesh.state.key_leases import DEFAULT_HOLD_MAX_S, LeaseBook, LeaseTimes
from mesh.state.quorum import Voters
from mesh.state.shards import FencedRange, Owner
from mesh.transport.connection import PeerConnection, pack
from mesh.transport.messages import LeaseAnswer, RenewLease

JITTER = 0.1  # relative, of the interval of renewals
FIRST_RETRY_DELAY_S = 0.1  # a range without a lease is asked for again, as voters may learn of it later


class LeaseQuestion(NamedTuple):
    """A question that was sent to the voters of one epoch, and for each range the voters that confirmed."""

    voters: Voters
    sent_at: float  # by the monotonic clock, read before the first byte was written
    ranges: tuple[FencedRange, ...]
    confirmed_by: tuple[set[str], ...]
    lease_s: float


class LeaseQuestions:
    """The questions of one sidecar, and the leases that answers to them make. Times are monotonic seconds.

    A lease counts from when its question was sent, however late the answers are. Only answers of voters of
    the epoch that is current when they arrive are counted, each voter once.
    """

    def __init__(self, book: LeaseBook) -> None:
        self._book = book
        self._open: dict[int, LeaseQuestion] = {}
        self.renewed = 0  # number of leases on one range, begun or prolonged
        self.refused = 0  # number of answers that don't confirm a range

    def ask(
        self, sent_at: float, number: int, voters: Voters, ranges: tuple[FencedRange, ...], lease_s: float
    ) -> None:
        """Notes a question that is about to be sent, for leases of a length."""
        self._open = {
            earlier: question
            for earlier, question in self._open.items()
            if question.sent_at + question.lease_s > sent_at
        }
        self._open[number] = LeaseQuestion(voters, sent_at, ranges, tuple(set() for _ in ranges), lease_s)

    def on_answer(self, voter: str, voters: Voters, answer: LeaseAnswer) -> bool:
        """Counts the answer of a voter; returns whether it has made or prolonged a lease."""
        question = self._open.get(answer.number)
        if question is None or voter not in voters.names:
            return False
        if question.voters != voters or answer.epoch != voters.epoch:
            return False
        if len(answer.confirmed) != len(question.ranges):
            return False
        renewed = [
            held
            for held, names, confirmed in zip(
                question.ranges, question.confirmed_by, answer.confirmed, strict=True
            )
            if confirmed and _completes_majority(names, voter, voters)
        ]
        for held in renewed:
            self._book.renew(held, question.sent_at + question.lease_s)
        self.renewed += len(renewed)
        self.refused += answer.confirmed.count(False)
        return bool(renewed)


def _completes_majority(names: set[str], voter: str, voters: Voters) -> bool:
    """Adds a voter to those that have confirmed a range; returns whether they are a majority now at last."""
    if voter in names:
        return False
    names.add(voter)
    return len(names) == voters.write_quorum


class RangeLeases:
    """The leases of the server beside. `connections` holds those to controllers, by address.

    `on_leased` is called whenever a range has been leased that was not, or for longer.
    """

    def __init__(
        self,
        context: ProxyContext,
        connections: Mapping[str, PeerConnection],
        voters: Callable[[], Voters],
        on_leased: Callable[[], None],
    ) -> None:
        self._context, self._connections, self._voters = context, connections, voters
        self._on_leased = on_leased
        hold_max_s = context.settings.bound("hold_max", DEFAULT_HOLD_MAX_S)
        self.times = LeaseTimes.of_bound(hold_max_s)
        self.book = LeaseBook()
        self.questions = LeaseQuestions(self.book)
        self._lease_ms = self.times.lease_ms
        self._service = context.settings.service
        self._owner = Owner(context.node_name, "")
        self._ranges: tuple[FencedRange, ...] = ()
        self._retry_delay_s = FIRST_RETRY_DELAY_S
        self._renewal: asyncio.TimerHandle | None = None
        self._retry: asyncio.TimerHandle | None = None

    def update(self, owner: Owner, ranges: Iterable[FencedRange], max_lease_ms: int) -> None:
        """Sets the ranges that are to be leased, and the longest lease that their table allows.

        New ranges without a lease are asked for at once.
        """
        self._lease_ms = min(self.times.lease_ms, max_lease_ms)
        before = self._ranges if owner == self._owner else ()
        self._owner, self._ranges = owner, tuple(ranges)
        if any(held not in before for held in self._without_lease()):
            self._retry_delay_s = FIRST_RETRY_DELAY_S
            self._ask_for_missing()
        if self._ranges and self._renewal is None:
            self._schedule_renewal()

    def on_lease_answer(self, connection: PeerConnection, answer: LeaseAnswer) -> None:
        """Handles the answer of a voter."""
        if self.questions.on_answer(connection.peer, self._voters(), answer):
            self._on_leased()

    def _without_lease(self) -> tuple[FencedRange, ...]:
        now = self._context.monotonic()
        return tuple(held for held in self._ranges if self.book.ends_at(now, held) <= now)

    def _schedule_renewal(self) -> None:
        jitter = 1.0 + JITTER * (2.0 * self._context.random() - 1.0)
        delay_s = self.times.renewal_interval_s * jitter
        self._renewal = self._context.loop.call_later(delay_s, self._renew)

    def _renew(self) -> None:
        self._renewal = None
        self.book.expire(self._context.monotonic())
        if self._ranges:
            self._ask(self._ranges)
            self._schedule_renewal()

    def _ask_for_missing(self) -> None:
        """Asks for the ranges without a lease, and again for as long as there are any, ever less often."""
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        missing = self._without_lease()
        if not missing:
            return
        self._ask(missing)
        self._retry = self._context.loop.call_later(self._retry_delay_s, self._ask_for_missing)
        self._retry_delay_s = min(2.0 * self._retry_delay_s, self.times.renewal_interval_s)

    def _ask(self, ranges: tuple[FencedRange, ...]) -> None:
        voters, number = self._voters(), self._context.next_number()
        self.questions.ask(self._context.monotonic(), number, voters, ranges, self._lease_ms / 1000)
        question = RenewLease(number, voters.epoch, self._service, self._owner, ranges, self._lease_ms)
        packed = pack(question)
        for name in voters.names:
            connection = self._connections.get(name)
            if connection is not None:
                connection.send_packed(packed)
