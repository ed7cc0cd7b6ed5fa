"""Reconfiguration of the voters: acceptor state, a proposer's count, choice of the next voters. No I/O.

The voters of epoch 1 are named once. The voters of epoch e + 1 are decided by those of epoch e, in one
instance of single-decree Paxos (Lamport, "Paxos Made Simple", 2001) whose acceptors are the voters of e. Any
controller may propose. That usually only the coordinator does avoids contention; safety does not depend on
it. The messages:

    Bid (e, ballot)           proposer to the voters of e          -> promise, with the value accepted so far
    Seal (e, ballot, names)   the same, after a majority promised  -> accepted
    Hello (e + 1, names)      any controller to any other             the decision, after a majority accepted
    FetchGrants, Fetch        a controller that is not caught up   -> grants and items of a sealed voter
    (e, sealed)               in e + 1

A response is sent only after the state that it reports has been written to disk. Times are seconds of the
caller's own monotonic clock.

Invariants, which a model checker may check after every step:

1. For each epoch at most one set of voters is ever learned (`Member.learn`), by any process.
2. A voter that has accepted or learned a successor of e is sealed in e: from then on `votes(e)` is false, so
   it grants no key, gives no write lease and accepts no write in e. A power loss does not revert this.
3. `caught_up_epoch` = e: this disk holds every item that was acknowledged, and every key that was granted by
   a quorum, in an epoch below e, and it has not been wiped since it first responded as a voter of e.
4. A controller with a disk that was not wiped becomes caught up in e + 1 after it has received the state of a
   read quorum of the voters of e that were sealed and whose state of e was final (`has_final_state`). Each
   majority that granted or wrote in e shares a member with that quorum, and did so before that member was
   sealed. The alternative is a read quorum of voters of e + 1 that vote there.
5. A wiped disk recovers only by that alternative, and no earlier than the duration of a whole round after its
   process started. So a promise, grant or write of its former incarnation counts only where the voters that
   it reads from know of it. Since these were not sealed, e + 1 had no successor when the recovery began, so
   the controller has never voted in a later epoch.
6. Grants, write leases and writes are counted within one epoch only.

So the sets of two epochs can never both act: a majority of e is sealed before any process learns e + 1, and
whatever the remaining voters of e still grant falls short of a majority without one of the sealed ones, whose
state e + 1 has received.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from mesh.state.ballots import INITIAL_BALLOT, Accepted, Ballot, accepted_from_row, accepted_to_row
from mesh.state.quorum import NO_VOTERS, PeerView, Voters, majority

MIN_ODD_VOTERS = 3  # two voters are not reduced to one, which would hold the only copy


class Member:
    """State of one controller as an acceptor, and the epoch in which its disk is caught up.

    The caller writes `records` to disk, and waits for the write, before it sends a response.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.voters = NO_VOTERS
        self.previous_voters: tuple[str, ...] = ()  # voters of the previous epoch, if known
        self.caught_up_epoch = 0  # 0: not caught up in any epoch
        self.promised = INITIAL_BALLOT
        self.accepted: Accepted | None = None

    # --- disk

    def load(self, record: list[Any]) -> None:
        """Applies one record from disk. Records are loaded oldest first.

        A `whole` record without an epoch was written by an older version and stands for epoch 1.
        """
        if record[0] == "voters":
            self.learn(Voters(record[1], tuple(record[2])), tuple(record[3]) if len(record) > 3 else ())
        elif record[0] == "whole":
            self.caught_up_epoch = max(self.caught_up_epoch, record[1] if len(record) > 1 else 1)
        elif record[0] == "ballot" and record[1] == self.voters.epoch:
            self.promised = max(self.promised, Ballot(*record[2]))
            if record[3] is not None:
                self.accepted = accepted_from_row(record[3])

    def records(self) -> Iterator[list[Any]]:
        """Yields the records that restore this state.

        The `whole` record comes last, because it is true only together with the records before it.
        """
        if self.voters.epoch:
            yield ["voters", self.voters.epoch, list(self.voters.names), list(self.previous_voters)]
        if self.promised != INITIAL_BALLOT:
            yield ["ballot", self.voters.epoch, list(self.promised), accepted_to_row(self.accepted)]
        if self.caught_up_epoch:
            yield ["whole", self.caught_up_epoch]

    # --- permissions

    @property
    def caught_up(self) -> bool:
        """Whether this disk is caught up in the current epoch, or in epoch 1 while no voters are known."""
        return self.caught_up_epoch == max(1, self.voters.epoch)

    def votes(self, epoch: int) -> bool:
        """Returns whether this controller may grant keys, give write leases and accept writes in an epoch."""
        unsealed = self.voters.epoch == epoch and self.accepted is None
        return unsealed and self.caught_up_epoch == epoch and self.address in self.voters.names

    def sealed(self, epoch: int) -> bool:
        """Returns whether this controller will never vote in an epoch again."""
        return self.voters.epoch > epoch or (self.voters.epoch == epoch and self.accepted is not None)

    def has_final_state(self, epoch: int) -> bool:
        """Returns whether this disk holds everything of a sealed epoch that it will ever hold."""
        return self.caught_up_epoch >= epoch and self.sealed(epoch)

    # --- ballots

    def promise(self, epoch: int, ballot: Ballot) -> bool:
        """Promises to accept no lower ballot.

        Returns False if a higher ballot has been promised, and for a controller that is not a voter or is not
        caught up, as it may have lost an earlier promise.
        """
        if not self._may_respond(epoch) or ballot < self.promised:
            return False
        self.promised = ballot
        return True

    def accept(self, epoch: int, ballot: Ballot, names: tuple[str, ...]) -> bool:
        """Accepts the next voters, which seals this voter in the epoch. Returns False if it may not."""
        if not self._may_respond(epoch) or ballot < self.promised:
            return False
        self.promised, self.accepted = ballot, Accepted(ballot, names)
        return True

    def _may_respond(self, epoch: int) -> bool:
        return self.voters.epoch == epoch == self.caught_up_epoch and self.address in self.voters.names

    def learn(self, voters: Voters, previous: tuple[str, ...]) -> bool:
        """Learns the voters of a newer epoch. Returns whether they were new."""
        if not voters.supersedes(self.voters):
            return False
        if voters.epoch == self.voters.epoch + 1 and self.voters.epoch:
            previous = self.voters.names
        self.voters, self.previous_voters = voters, previous
        self.promised, self.accepted = INITIAL_BALLOT, None
        return True

    # --- catching up

    @property
    def ever_caught_up(self) -> bool:
        """Whether this disk was caught up in some epoch and has not been wiped since."""
        return self.caught_up_epoch > 0

    @property
    def may_have_promised(self) -> bool:
        """Whether an earlier incarnation, before its disk was wiped, may have responded as a voter here.

        Such a controller waits until the rounds of that incarnation are void before it reads from others. One
        that is not a voter of this epoch has made no promise that still counts (invariant 5) and need not
        wait.
        """
        return not self.ever_caught_up and self.address in self.voters.names

    def sources(self) -> Iterator[tuple[Voters, bool]]:
        """Yields the voters to read from in order to catch up, and whether they have to be sealed."""
        if self.ever_caught_up and self.previous_voters and self.caught_up_epoch < self.voters.epoch:
            yield Voters(self.voters.epoch - 1, self.previous_voters), True
        if self.voters.epoch:
            yield self.voters, False

    def observe_promise(self, epoch: int, promised: Ballot) -> None:
        """Takes over another voter's promise, the only trace of the promises that a wiped disk has lost."""
        if epoch == self.voters.epoch:
            self.promised = max(self.promised, promised)

    def mark_caught_up(self, epoch: int) -> None:
        """Records that this disk holds everything that it needs in an epoch."""
        self.caught_up_epoch = max(self.caught_up_epoch, epoch)


class Proposal:
    """One attempt to have the voters of the next epoch decided.

    It is void `limit_s` after it started. A controller whose disk was wiped waits as long before it reads
    from others, so a promise that it made to this proposal is either known to them or never counts.
    """

    def __init__(
        self, voters: Voters, ballot: Ballot, proposed: tuple[str, ...], now: float, limit_s: float
    ) -> None:
        self.voters, self.ballot, self.names = voters, ballot, tuple(sorted(proposed))
        self._ends_at = now + limit_s
        self._promised_by: set[str] = set()
        self._accepted_by: set[str] = set()
        self._highest_accepted = INITIAL_BALLOT
        self.prepared = False  # a majority has promised; `names` no longer changes

    def on_promise(self, now: float, controller: str, accepted: Accepted | None) -> bool:
        """Counts a voter's promise. Returns True once, when a majority has promised."""
        if self.prepared or controller not in self.voters.names or now > self._ends_at:
            return False
        self._promised_by.add(controller)
        if accepted is not None and accepted.ballot > self._highest_accepted:
            self._highest_accepted, self.names = accepted
        self.prepared = len(self._promised_by) >= self.voters.write_quorum
        return self.prepared

    def on_accepted(self, now: float, controller: str) -> bool:
        """Counts a voter's acceptance. Returns whether the proposal is decided."""
        if not self.prepared or controller not in self.voters.names or now > self._ends_at:
            return False
        self._accepted_by.add(controller)
        return len(self._accepted_by) >= self.voters.write_quorum

    @property
    def decided(self) -> Voters | None:
        """The voters of the next epoch, once decided."""
        is_decided = len(self._accepted_by) >= self.voters.write_quorum
        return Voters(self.voters.epoch + 1, self.names) if is_decided else None


class FailureDetector:
    """Tracks when each peer last responded, and since when without an interruption.

    A silence longer than `max_silence_s` is an interruption.
    """

    def __init__(self, now: float, max_silence_s: float) -> None:
        self._started_at, self._max_silence_s = now, max_silence_s
        self._last_contact: dict[str, float] = {}
        self._contact_since: dict[str, float] = {}

    def add(self, now: float, name: str) -> None:
        """Starts to track a peer."""
        self._last_contact.setdefault(name, now)

    def on_response(self, now: float, name: str) -> None:
        """Records that a peer has responded."""
        if name not in self._contact_since or now - self._last_contact[name] > self._max_silence_s:
            self._contact_since[name] = now
        self._last_contact[name] = now

    def on_disconnect(self, name: str) -> None:
        """Ends the current period of contact, as the connection to the peer was lost."""
        self._contact_since.pop(name, None)

    def remove(self, name: str) -> None:
        """Stops tracking a peer."""
        self._contact_since.pop(name, None)
        self._last_contact.pop(name, None)

    def silence_s(self, now: float, name: str) -> float:
        """Returns the seconds since a peer last responded, or 0 if contact is not interrupted."""
        silence_s = now - self._last_contact.get(name, self._started_at)
        return 0.0 if name in self._contact_since and silence_s <= self._max_silence_s else silence_s

    def contact_s(self, now: float, name: str) -> float:
        """Returns the seconds of uninterrupted contact with a peer, or 0 if there is no contact now."""
        return (
            now - self._contact_since[name]
            if name in self._contact_since and not self.silence_s(now, name)
            else 0.0
        )


class ReplacementDelays(NamedTuple):
    """How long a voter has to be absent, or a spare present, before the voters are changed."""

    replace_after_s: float  # absence after which a voter is replaced by a caught-up spare
    remove_after_s: float  # absence after which a voter is removed without a successor
    spare_contact_s: float  # uninterrupted contact that a spare needs


def voter_count(machines: int, losses: int) -> int:
    """Returns how many of a number of control machines should vote.

    An even set tolerates no more losses than the odd set below it, and when it is partitioned into halves
    neither is a majority, so one machine stays a learner. All vote where the odd set would keep too few
    copies to survive the loss of `losses` disks, or would have fewer than three voters.
    """
    odd = machines - 1 + machines % 2
    return odd if odd >= max(MIN_ODD_VOTERS, 2 * losses + 1) else machines


def initial_voters(zones: Mapping[str, str], losses: int) -> tuple[str, ...]:
    """Returns the voters of epoch 1, chosen from all control machines given with their zones."""
    names = sorted(zones)
    while len(names) > voter_count(len(zones), losses):
        names.remove(_from_fullest_zone(names, zones))
    return tuple(names)


def _from_fullest_zone(names: Iterable[str], zones: Mapping[str, str]) -> str:
    """Returns the last machine of the zone that has the most of them."""
    per_zone = Counter(zones.get(name, "") for name in names)
    return max(names, key=lambda name: (per_zone[zones.get(name, "")], name))


def next_voters(
    voters: Voters, losses: int, views: Mapping[str, PeerView], delays: ReplacementDelays
) -> tuple[str, ...] | None:
    """Returns the voters to propose given the views just collected, or None to keep the current ones.

    A voter that a majority of the voters has not heard from for `replace_after_s`, or that is shutting down,
    is replaced by a spare: a controller that is caught up, is not shutting down, and has been in contact with
    a majority for `spare_contact_s`. Absent voters are replaced first. Further spares are added up to twice
    the losses to tolerate plus one. Voters absent for `remove_after_s` that have no successor are removed if
    that makes the majority smaller and the majority still exceeds the losses; a voter that is shutting down
    may be back in a moment, so it keeps a place that nobody takes. An even set drops one voter
    (`voter_count`): an absent one, else one that is shutting down, else one that is not caught up, else one
    of the fullest zone. Nothing changes while any process runs a version without epochs.
    """
    voter_views = [views[name] for name in voters.names if name in views and views[name].votes]
    if len(voter_views) < voters.write_quorum or any(view.has_legacy_peer for view in views.values()):
        return None
    observed = Observations(voters, voter_views)
    spares = [
        name
        for name, view in views.items()
        if name not in voters.names
        and view.caught_up
        and not view.stopping
        and observed.in_contact(name, delays.spare_contact_s)
    ]
    absent = [name for name in voters.names if name not in views]
    stopping = [name for name in voters.names if name in views and views[name].stopping]
    vacant = [name for name in absent if observed.is_absent(name, delays.replace_after_s)] + stopping
    names = [name for name in voters.names if name not in vacant]
    open_places = len(vacant) + max(0, 2 * losses + 1 - len(voters.names))
    zones = {name: view.zone for name, view in views.items()}
    joining = _choose_spares(spares, open_places, names, zones)
    names += joining
    unreplaced = vacant[len(joining) :]
    removable = [
        name for name in unreplaced if name in absent and observed.is_absent(name, delays.remove_after_s)
    ]
    names += _voters_kept(len(names), unreplaced, removable, losses)
    if voter_count(len(names), losses) < len(names):
        behind = [name for name in names if name in views and not views[name].caught_up]
        names.remove(_voter_to_drop(names, [absent, stopping, behind], zones))
    chosen = Voters(voters.epoch + 1, tuple(sorted(names)))
    ready = sum(name in views and views[name].caught_up for name in chosen.names)
    return chosen.names if chosen.names != voters.names and ready >= chosen.write_quorum else None


class Observations(NamedTuple):
    """The views of the voters that responded. A majority of the voters has to agree on a machine's state."""

    voters: Voters
    views: list[PeerView]

    def is_absent(self, name: str, min_s: float) -> bool:
        """Returns whether a majority has not heard from a machine for at least `min_s`."""
        return self._majority_value(view.silence_s.get(name, 0.0) for view in self.views) >= min_s

    def in_contact(self, name: str, min_s: float) -> bool:
        """Returns whether a majority has been in contact with a machine for `min_s` without a break."""
        return self._majority_value(view.contact_s.get(name, 0.0) for view in self.views) >= min_s

    def _majority_value(self, seconds: Iterable[float]) -> float:
        """Returns the largest duration that a majority of the voters confirms, or -1 with too few of them."""
        longest = sorted(seconds, reverse=True)
        return longest[self.voters.write_quorum - 1] if len(longest) >= self.voters.write_quorum else -1.0


def _choose_spares(spares: list[str], limit: int, names: list[str], zones: Mapping[str, str]) -> list[str]:
    """Chooses up to `limit` spares, each from the zone with the fewest voters so far."""
    candidates, joining = sorted(spares), list[str]()
    while candidates and len(joining) < limit:
        per_zone = Counter(zones[name] for name in names + joining if name in zones)
        best = min(candidates, key=lambda name: (per_zone[zones[name]], name))
        candidates.remove(best)
        joining.append(best)
    return joining


def _voters_kept(live: int, unreplaced: list[str], removable: list[str], losses: int) -> list[str]:
    """Returns the voters without a successor that keep their place beside `live` others."""
    kept = [name for name in unreplaced if name not in removable]
    needed = majority(live + len(kept))
    return kept if losses < needed < majority(live + len(unreplaced)) else unreplaced


def _voter_to_drop(names: list[str], groups: Iterable[list[str]], zones: Mapping[str, str]) -> str:
    """Returns the voter that an even set drops: one of the first group that has any."""
    for group in groups:
        candidates = [name for name in names if name in group]
        if candidates:
            return candidates[-1]
    return _from_fullest_zone(names, zones)


def coordinator(voters: Voters, live: Iterable[str], successor: str) -> str:
    """Returns who proposes: the successor that the last coordinator named, else the lowest live address.

    Empty if no voter is live.
    """
    candidates = sorted(name for name in live if name in voters.names)
    return successor if successor in candidates else candidates[0] if candidates else ""
