"""Agreement on changes of the configuration, without a leader: what one machine's copy holds, and what a
proposer makes of several answers. No I/O, no clock.

The configuration is one register whose value is the table of items; a change is agreed on by single-decree
Paxos over the voters of one epoch, for the next number in a sequence (Lamport, "Paxos Made Simple", 2001; the
same register without a log as in CASPaxos, Rystsov 2018). There is no log: of the past a copy keeps only its
items, how many changes they contain (`sequence`), and at most one change that it has accepted and of which it
does not know yet whether it was chosen (`draft`). Any control machine proposes. The messages, by their words:

    PREPARE ballot              proposer to the voters -> PROMISE: sequence, draft, items that it lacks
    ACCEPT ballot, n, items     after a majority       -> ACCEPTED
    COMMIT n, ballot, items     after a majority       to everybody: the change was chosen

Each answer waits until what it says lies on the disk. Items that were committed merge by version in any order
and from anybody (`configuration.merge`); only `sequence` says which changes they contain in full.

Invariants, which an explorer looks at after every step (`verify/items.py`):

1. For each number of the sequence at most one change is ever chosen: a majority of the voters has accepted it
   under one ballot. Whoever proposes under a higher ballot has heard a majority, hence of it, and proposes it
   again before anything of its own.
2. Items hold chosen changes only, so no two contents of one version are ever in force anywhere, and what was
   left half way by a proposer that ended can't hold out what was acknowledged.
3. A copy at `sequence` n holds each item of the first n changes, or a newer one of its name.
4. A copy accepts a change for n + 1 only at `sequence` n, so no accepted change of a lower number is ever
   dropped before it is among the items of the same disk.
5. A copy accepts only under the ballot that it promised last, in the same life of its process.
6. An emptied copy, or one that joins, takes over items, sequence, draft and promise of as many voters as meet
   every majority; rounds that its former life answered are void by then.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from mesh.state import configuration
from mesh.state.ballots import FIRST, Ballot, Draft, draft_of
from mesh.state.configuration import EMPTY, Item, Items


class Replica(NamedTuple):
    """One machine's copy. `granted` is not kept on the disk; all else is."""

    items: Items = EMPTY
    sequence: int = 0  # changes that the items contain
    promised: Ballot = FIRST
    draft: Draft | None = None
    active_ballot: Ballot = FIRST  # whose change may be accepted in this life of the process

    @property
    def open_draft(self) -> Draft | None:
        """The draft, where it is not known to be settled."""
        return self.draft if self.draft is not None and self.draft.sequence > self.sequence else None

    def prepare(self, ballot: Ballot) -> Replica | None:
        """Promise to accept nothing lower; None where something higher, or the same, has that promise."""
        if ballot <= self.promised:
            return None
        return self._replace(promised=ballot, active_ballot=ballot)

    def accept(self, ballot: Ballot, sequence: int, items: tuple[Item, ...]) -> Replica | None:
        """Accept a change; None where another proposer was promised something since, or the copy does not
        contain just the changes before."""
        if ballot != self.active_ballot or ballot < self.promised or self.sequence != sequence - 1:
            return None
        return self._replace(draft=Draft(sequence, ballot, items))

    def commit(self, sequence: int, items: Iterable[Item]) -> Replica:
        """A change was chosen. Its items stand; that all before are contained is not known of a copy that has
        missed one."""
        contained = sequence if self.sequence == sequence - 1 else self.sequence
        return self.learn(items, contained)

    def learn(self, items: Iterable[Item], sequence: int) -> Replica:
        """Merge all that a copy at some place of the sequence holds and this one lacks."""
        made = self._replace(
            items=configuration.merge(self.items, items), sequence=max(sequence, self.sequence)
        )
        return made if made.open_draft is not None else made._replace(draft=None)

    def adopt(self, draft: Draft | None, promised: Ballot) -> Replica:
        """Take over what another has accepted and promised, as if this copy had."""
        made = self._replace(promised=max(self.promised, promised))
        if draft is None or draft.sequence <= self.sequence:
            return made
        if self.open_draft is not None and (draft.sequence, draft.ballot) <= self.open_draft[:2]:
            return made
        return made._replace(draft=draft, promised=max(made.promised, draft.ballot))

    # --- the disk

    def records(self) -> Iterator[list[Any]]:
        """All of it, in the order in which it is loaded."""
        for item in self.items.values():
            yield ["item", list(item)]
        yield ["sequence", self.sequence]
        if self.promised != FIRST:
            yield ["promise", *self.promised]
        if self.open_draft is not None:
            yield ["draft", self.open_draft.row()]

    def load(self, record: list[Any]) -> Replica:
        """One record, oldest first."""
        kind = record[0]
        if kind == "item":
            return self._replace(items=configuration.merge(self.items, [Item(*record[1])]))
        if kind == "sequence":
            return self.learn((), record[1])
        if kind == "promise":
            return self._replace(promised=max(self.promised, Ballot(*record[1:3])))
        if kind == "draft":
            return self.adopt(draft_of(record[1]), FIRST)
        return self


class Promise(NamedTuple):
    """What one voter told a proposer."""

    sequence: int
    draft: Draft | None


class Plan(NamedTuple):
    """What a proposer may do next, having heard a majority."""

    sequence: int  # changes that are known to be chosen
    unfinished: Draft | None  # a change that may have been chosen: it has to be proposed before any other


def plan(heard: Mapping[str, Promise], known: int) -> Plan:
    """Of all that was heard, and of the own copy's sequence once it holds what was told: the draft of the
    next number with the highest ballot may have been chosen, and nothing else may."""
    sequence = max([known, *(promise.sequence for promise in heard.values())])
    drafts = [
        promise.draft
        for promise in heard.values()
        if promise.draft is not None and promise.draft.sequence == sequence + 1
    ]
    return Plan(sequence, max(drafts, key=lambda draft: draft.ballot, default=None))
