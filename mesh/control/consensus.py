"""Consensus on changes of the configuration, without a leader: the state of one copy, and how a proposer
combines several answers. No I/O, no clock.

The configuration is one register whose value is the table of items. Each change is agreed on by
single-decree Paxos among the voters of one epoch, for the next number in a sequence (Lamport, "Paxos Made
Simple", 2001; the same register without a log as in CASPaxos, Rystsov 2018). There is no log: a copy keeps
only its items, how many changes they contain (`sequence`), and at most one change that it has accepted
without knowing whether it was chosen (`draft`). Any controller can propose. The messages:

    PREPARE ballot              proposer to the voters -> PROMISE: sequence, draft, items that it lacks
    ACCEPT ballot, n, items     after a majority       -> ACCEPTED
    COMMIT n, ballot, items     after a majority       to everybody: the change was chosen

Each answer is sent only when its content is on disk. Committed items merge by version in any order and from
any source (`configuration.merge`); only `sequence` tells which changes are contained in full.

Invariants, which a model checker verifies after every step (`verify/items.py`):

1. For each sequence number at most one change is ever chosen: a majority of the voters has accepted it under
   one ballot. A proposer with a higher ballot has promises of a majority, so it knows of that change, and
   proposes it again before any change of its own.
2. Items hold chosen changes only, so two contents of one version are never in force anywhere, and an
   unfinished change of a failed proposer can't displace an acknowledged one.
3. A copy at `sequence` n holds each item of the first n changes, or a newer version of it.
4. A copy accepts a change for n + 1 only at `sequence` n, so an accepted change with a lower number is never
   dropped before its items are on the same disk.
5. A copy accepts only under the ballot that it promised last, and only in the incarnation of its process that
   made that promise.
6. A copy whose disk was wiped, or that joins, adopts the items, sequence, draft and promise of enough voters
   to intersect every majority; rounds that its earlier incarnation answered have timed out by then.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from mesh.state import configuration
from mesh.state.ballots import INITIAL_BALLOT, Ballot, Draft, draft_from_row
from mesh.state.configuration import EMPTY, Item, Items


class Replica(NamedTuple):
    """The state of one copy. All of it but `active_ballot` is kept on disk."""

    items: Items = EMPTY
    sequence: int = 0  # number of changes that the items contain
    promised: Ballot = INITIAL_BALLOT
    draft: Draft | None = None
    active_ballot: Ballot = INITIAL_BALLOT  # promised in this incarnation; only its change may be accepted

    @property
    def open_draft(self) -> Draft | None:
        """The draft, unless the copy already contains the change of its number."""
        return self.draft if self.draft is not None and self.draft.sequence > self.sequence else None

    def prepare(self, ballot: Ballot) -> Replica | None:
        """Promises to accept no lower ballot; None if this or a higher ballot was promised already."""
        if ballot <= self.promised:
            return None
        return self._replace(promised=ballot, active_ballot=ballot)

    def accept(self, ballot: Ballot, sequence: int, items: tuple[Item, ...]) -> Replica | None:
        """Accepts a change; None if another ballot was promised since, or if the copy does not contain
        exactly the changes before it."""
        if ballot != self.active_ballot or ballot < self.promised or self.sequence != sequence - 1:
            return None
        return self._replace(draft=Draft(sequence, ballot, items))

    def commit(self, sequence: int, items: Iterable[Item]) -> Replica:
        """Merges the items of a chosen change. `sequence` advances only if no earlier change was missed."""
        contained = sequence if self.sequence == sequence - 1 else self.sequence
        return self.learn(items, contained)

    def learn(self, items: Iterable[Item], sequence: int) -> Replica:
        """Merges the items of a copy that contains the first `sequence` changes."""
        merged = self._replace(
            items=configuration.merge(self.items, items), sequence=max(sequence, self.sequence)
        )
        return merged if merged.open_draft is not None else merged._replace(draft=None)

    def adopt(self, draft: Draft | None, promised: Ballot) -> Replica:
        """Takes over what another copy has accepted and promised, as if this copy had done so."""
        adopted = self._replace(promised=max(self.promised, promised))
        if draft is None or draft.sequence <= self.sequence:
            return adopted
        if self.open_draft is not None and (draft.sequence, draft.ballot) <= self.open_draft[:2]:
            return adopted
        return adopted._replace(draft=draft, promised=max(adopted.promised, draft.ballot))

    # --- disk records

    def records(self) -> Iterator[list[Any]]:
        """Yields the whole state as records, in the order in which they are loaded."""
        for item in self.items.values():
            yield ["item", list(item)]
        yield ["sequence", self.sequence]
        if self.promised != INITIAL_BALLOT:
            yield ["promise", *self.promised]
        if self.open_draft is not None:
            yield ["draft", self.open_draft.row()]

    def load(self, record: list[Any]) -> Replica:
        """Applies one record; records come oldest first."""
        kind = record[0]
        if kind == "item":
            return self._replace(items=configuration.merge(self.items, [Item(*record[1])]))
        if kind == "sequence":
            return self.learn((), record[1])
        if kind == "promise":
            return self._replace(promised=max(self.promised, Ballot(*record[1:3])))
        if kind == "draft":
            return self.adopt(draft_from_row(record[1]), INITIAL_BALLOT)
        return self


class Promise(NamedTuple):
    """One voter's answer to a prepare request."""

    sequence: int
    draft: Draft | None


class Plan(NamedTuple):
    """What a proposer may do next, with promises of a majority."""

    sequence: int  # number of changes that are known to be chosen
    unfinished: Draft | None  # a change that may have been chosen; it has to be proposed before any other


def plan(promises: Mapping[str, Promise], own_sequence: int) -> Plan:
    """Returns what to propose next.

    `own_sequence` is that of the proposer's copy, with the items of the promises merged. Only the draft of
    the next number with the highest ballot may have been chosen.
    """
    sequence = max([own_sequence, *(promise.sequence for promise in promises.values())])
    drafts = [
        promise.draft
        for promise in promises.values()
        if promise.draft is not None and promise.draft.sequence == sequence + 1
    ]
    return Plan(sequence, max(drafts, key=lambda draft: draft.ballot, default=None))
