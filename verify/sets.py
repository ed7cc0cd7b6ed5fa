"""Voters that follow voters: who proposes them, who seals, who becomes whole, and claims all the while.

Controllers w, x and y vote in epoch 1, and z is a learner; or all four vote, as on the disks of a program
that let an even set vote. Two of them propose different voters for epoch 2: one is promoted, one demoted.
claimants with one key ask the voters of some epoch that some controller knows of. A controller takes a
question, has its answer on its disk, and is heard, in one step: what is lost or late is a step that is not
taken, or taken late. So it is where a controller hears as many as it needs to be whole. Disks are lost,
controllers hear CONTROLLER of each other, and time goes on by steps of `parts.TICK_S`, all whenever they
like.

A state is (time, proposals, controllers, claims, faults left).
    proposal: home, number, when it began, what it was told
    controller: its member's records, the same on disk, grant, grant on disk, when its disk was lost
    claim: phase, when it began, epoch, who granted it
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from functools import cache
from typing import Any

from mesh.control.ballot import Proposal
from mesh.state.ballots import Accepted, Ballot
from mesh.state.idempotency import ClaimDecision, OperationStatus
from mesh.state.quorum import Voters, majority
from verify.claims import MAY_HAVE_RUN, WAIT_TICKS, ClaimsModel, name
from verify.parts import CLAIM_S, TICK_S, Parts
from verify.search import Model, Property, State, StepProperty, put

NONE: tuple[Any, ...] = ()
NOBODY = -1
KINDS = ("tick", "wipe", "crash")
NAMES = "wxyz"
WISHES = {  # by how many vote at first: of two proposers, w and y
    3: (("w", "x", "z"), ("x", "y", "z")),
    4: (("w", "x", "y"), ("x", "y", "z")),
}


class SetsModel(Model):
    """`faults` says how many of each kind of KINDS may happen."""

    def __init__(
        self,
        proposers: int = 2,
        claimants: int = 2,
        faults: dict[str, int] | None = None,
        parts: Parts | None = None,
        voters: int = 3,
    ) -> None:
        self.name = "sets" if voters == 3 else "sets-even"
        self.about = (
            f"{proposers} proposals of other voters, {claimants} claimants with one key, 4 controllers, "
            f"{voters} of them vote at first"
        )
        self.parts = parts or Parts()
        self.proposers, self.claimants = proposers, claimants
        self.faults = tuple((faults or {}).get(kind, 0) for kind in KINDS)
        self.first = self.parts.voters(1, tuple(NAMES[:voters]))
        self.keys = ClaimsModel(3, claimants, None, self.parts)
        self.properties, self.step_properties = PROPERTIES, STEP_PROPERTIES
        self.count = cache(self._count)
        self.told = cache(self._told)
        self.can = cache(self._can)

    def bounds(self) -> dict[str, Any]:
        return {
            "proposals": self.proposers,
            "claimants": self.claimants,
            **{k: n for k, n in zip(KINDS, self.faults, strict=True) if n},
        }

    # --- the mesh's own code

    def member(self, at: int, records: State) -> Any:
        """A member that holds what its records say."""
        made = self.parts.member(NAMES[at])
        for record in records:
            made.load(list(record))
        # A set has the rules of the voters under test.
        made.voters = self.parts.voters(*made.voters)
        return made

    @staticmethod
    def records(member: Any) -> State:
        """The records of a member, as they lie in a state."""

        def plain(value: Any) -> Any:
            return tuple(map(plain, value)) if isinstance(value, list | tuple) else value

        return plain(list(member.records()))

    def _can(self, at: int, records: State) -> tuple[int, tuple[str, ...], int, int, bool]:
        """Of a controller: its epoch, who votes there, where it votes and where it is sealed (0 for nowhere),
        whether it counts."""
        member = self.member(at, records)
        epoch = member.voters.epoch
        votes = next((e for e in (1, 2) if member.votes(e)), 0)
        sealed = next((e for e in (2, 1) if epoch and member.sealed(e)), 0)
        return epoch, member.voters.names, votes, sealed, member.caught_up

    def _told(self, number: int, home: int, began: int, told: State) -> tuple[str, tuple[str, ...]]:
        """How far a proposal is, and the names that it stands for, by the real count."""
        made = self.proposal(number, home, began, told)
        return ("decided" if made.decided else "seal" if made.prepared else "bid"), made.names

    def proposal(self, number: int, home: int, began: int, told: State) -> Proposal:
        """A proposal that was told some things."""
        made = Proposal(self.first, self._ballot(number, home), self._wish(home), began * TICK_S, CLAIM_S)
        for word, at, now, accepted in told:
            if word == "bound":
                said = Accepted(Ballot(*accepted[0]), accepted[1]) if accepted else None
                made.on_promise(now * TICK_S, NAMES[at], said)
            else:
                made.on_accepted(now * TICK_S, NAMES[at])
        if self.parts.obeys:
            return made
        made.names = self._wish(home)
        return made

    def _wish(self, home: int) -> tuple[str, ...]:
        return WISHES[len(self.first.names)][home // 2]

    @staticmethod
    def _ballot(number: int, home: int) -> Ballot:
        return Ballot(number, NAMES[home])

    def _count(self, names: tuple[str, ...], granted: int, ticks: int) -> ClaimDecision:
        made = self.parts.claim(len(names), self.parts.voters(1, names).write_quorum, 0.0, CLAIM_S)
        for at in range(granted):
            made.on_granted(str(at))
        return made.decision(ticks * TICK_S)

    # --- states

    def start(self) -> State:
        first = ("voters", 1, self.first.names, ()), ("whole", 1)
        controller = (first, first, NONE, NONE, NOBODY)
        proposals = ((0, 0, 0, NONE), (2, 0, 0, NONE))[: self.proposers]
        return 0, proposals, (controller,) * 4, (("idle", 0, 0, NONE),) * self.claimants, self.faults

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        now, proposals, controllers, claims, left = state
        for which in range(len(proposals)):
            yield from self._proposal(state, which)
        for at, controller in enumerate(controllers):
            if controller[0] != controller[1] or controller[2] != controller[3]:
                rows = put(
                    controllers,
                    at,
                    (controller[0], controller[0], controller[2], controller[2], *controller[4:]),
                )
                yield f"controller {NAMES[at]} syncs", (now, proposals, rows, claims, left)
            yield from self._learns(state, at)
            yield from self._settles(state, at)
        for who in range(len(claims)):
            yield from self._claim(state, who)
        tick, wipe, crash = left
        if tick:
            yield f"{TICK_S} s go by", (now + 1, proposals, controllers, claims, (tick - 1, wipe, crash))
        for at, controller in enumerate(controllers):
            if wipe and all(any(row[0] == "whole" for row in other[0]) for other in controllers):
                rows = put(controllers, at, (NONE, NONE, NONE, NONE, now))
                yield (
                    f"controller {NAMES[at]} loses its disk and starts again",
                    (now, proposals, rows, claims, (tick, wipe - 1, crash)),
                )
            if crash and (controller[0] != controller[1] or controller[2] != controller[3]):
                rows = put(
                    controllers,
                    at,
                    (controller[1], controller[1], controller[3], controller[3], controller[4]),
                )
                yield (
                    f"controller {NAMES[at]} crashes and starts again",
                    (now, proposals, rows, claims, (tick, wipe, crash - 1)),
                )

    def _kept(self, controller: State, **values: Any) -> State:
        """A controller that has changed, with its disk."""
        records, disk, grant, grant_disk, since = controller
        records, grant = values.get("records", records), values.get("grant", grant)
        if self.parts.synced:
            disk, grant_disk = records, grant
        return records, disk, grant, grant_disk, since

    def _proposal(self, state: State, which: int) -> Iterator[tuple[str, State]]:
        now, proposals, controllers, claims, left = state
        home, number, began, told = proposals[which]
        me = self.member(home, controllers[home][0])
        say = f"the proposal of {NAMES[home]}"
        if not number:
            if me.votes(1) or (me.accepted and me.caught_up):
                made = put(proposals, which, (home, me.promised.number + 1, now, NONE))
                yield (
                    f"{NAMES[home]} proposes {''.join(self._wish(home))}",
                    (now, made, controllers, claims, left),
                )
            return
        phase, names = self.told(number, home, began, told)
        if phase == "decided":
            if me.voters.epoch == 1:
                me.learn(Voters(2, names), self.first.names)
                row = self._kept(controllers[home], records=self.records(me))
                yield (
                    f"{say} is decided, it learns that {''.join(names)} vote",
                    (now, proposals, put(controllers, home, row), claims, left),
                )
            return
        word = "bound" if phase == "bid" else "sealed"
        for at in range(len(self.first.names)):
            if any(row[0] == word and row[1] == at for row in told):
                continue
            member = self.member(at, controllers[at][0])
            ballot = self._ballot(number, home)
            yes = member.promise(1, ballot) if phase == "bid" else member.accept(1, ballot, names)
            if not yes:
                continue
            accepted = NONE
            if phase == "bid" and member.accepted:
                accepted = (tuple(member.accepted.ballot), tuple(member.accepted.names))
            row = self._kept(controllers[at], records=self.records(member))
            heard = tuple(sorted((*told, (word, at, now, accepted))))
            made = put(proposals, which, (home, number, began, heard))
            yield (
                f"controller {NAMES[at]} says yes to {'BID' if phase == 'bid' else 'SEAL'} of {say}",
                (now, made, put(controllers, at, row), claims, left),
            )

    def _learns(self, state: State, at: int) -> Iterator[tuple[str, State]]:
        """A controller hears CONTROLLER of another."""
        now, proposals, controllers, claims, left = state
        seen = set()
        for other, row in enumerate(controllers):
            theirs = self.can(other, row[0])[:2]
            if theirs[0] <= self.can(at, controllers[at][0])[0] or theirs in seen:
                continue
            seen.add(theirs)
            member = self.member(at, controllers[at][0])
            member.learn(Voters(*theirs), self.member(other, row[0]).previous_voters)
            made = self._kept(controllers[at], records=self.records(member))
            yield (
                f"controller {NAMES[at]} hears that {''.join(theirs[1])} vote in epoch {theirs[0]}",
                (now, proposals, put(controllers, at, made), claims, left),
            )

    def _settles(self, state: State, at: int) -> Iterator[tuple[str, State]]:
        """A controller that is not whole hears another that its sources name."""
        now, proposals, controllers, claims, left = state
        controller = controllers[at]
        me = self.member(at, controller[0])
        if me.caught_up or not me.voters.epoch:
            return
        if not self.parts.recovers:
            me.mark_caught_up(me.voters.epoch)
            yield (
                f"controller {NAMES[at]} counts",
                (
                    now,
                    proposals,
                    put(controllers, at, self._kept(controller, records=self.records(me))),
                    claims,
                    left,
                ),
            )
            return
        if self.parts.waits and me.may_have_promised and now < controller[4] + WAIT_TICKS:
            return
        for told, sealed in me.sources():
            voters = self.parts.voters(*told)
            own = int(sealed and me.address in voters.names and me.has_final_state(voters.epoch))
            there = []
            for other in range(4):
                member = self.member(other, controllers[other][0])
                answers = member.has_final_state(voters.epoch) if sealed else member.votes(voters.epoch)
                if other != at and member.address in voters.names and answers:
                    there.append(other)
            for heard in itertools.combinations(there, max(0, voters.read_quorum - own)):
                grant = controller[2]
                mine = self.member(at, controller[0])
                for other in heard:
                    grant = self.keys.apply(grant, "take", 0, controllers[other][2])[0]
                    mine.observe_promise(voters.epoch, self.member(other, controllers[other][0]).promised)
                mine.mark_caught_up(mine.voters.epoch)
                row = self._kept(controller, records=self.records(mine), grant=grant)
                whom = ", ".join(NAMES[other] for other in heard) + (", sealed," if sealed else "")
                yield (
                    f"controller {NAMES[at]} hears what {whom} have, and is whole",
                    (now, proposals, put(controllers, at, row), claims, left),
                )

    def _claim(self, state: State, who: int) -> Iterator[tuple[str, State]]:
        now, proposals, controllers, claims, left = state
        phase, began, epoch, heard = claims[who]
        if phase == "idle":
            for known in sorted(
                {self.can(at, controller[0])[0] for at, controller in enumerate(controllers)} - {0}
            ):
                made = put(claims, who, ("out", now, known, NONE))
                yield (
                    f"{name(who)} asks the voters of epoch {known}",
                    (now, proposals, controllers, made, left),
                )
        if phase != "out":
            return
        known_sets = dict(self.can(at, controller[0])[:2] for at, controller in enumerate(controllers))
        names = known_sets.get(epoch, self.first.names if epoch == 1 else ())
        for at, controller in enumerate(controllers):
            if NAMES[at] not in names or at in heard or self.can(at, controller[0])[2] != epoch:
                continue
            grant = self.keys.apply(controller[2], "claim", who)[0]
            if grant[0] != who or grant[1] != OperationStatus.CLAIMED:
                continue  # who does not grant adds nothing: nobody repeats an answer here
            granted = tuple(sorted((*heard, at)))
            runs = self.count(names, len(granted), now - began) == ClaimDecision.RUN
            made = put(claims, who, ("run", 0, 0, NONE) if runs else ("out", began, epoch, granted))
            yield (
                f"controller {NAMES[at]} grants the key to {name(who)}" + (", who runs" if runs else ""),
                (now, proposals, put(controllers, at, self._kept(controller, grant=grant)), made, left),
            )


# --- properties


def one_set_for_each_epoch(model: SetsModel, state: State) -> str:
    """Of all that was decided or learned there is one set of voters for epoch 2."""
    found = {model.can(at, controller[0])[:2] for at, controller in enumerate(state[2])}
    for home, number, began, told in state[1]:
        if number:
            phase, names = model.told(number, home, began, told)
            if phase == "decided":
                found.add((2, names))
    sets = sorted({names for epoch, names in found if epoch == 2})
    return " and ".join("".join(names) for names in sets) if len(sets) > 1 else ""


def never_two_sets_that_both_count(model: SetsModel, state: State) -> str:
    """Where so many vote in epoch 2 that they could grant, too few are left in epoch 1."""
    rows = [model.can(at, controller[0]) for at, controller in enumerate(state[2])]
    later = next((names for epoch, names, *_ in rows if epoch == 2), ())
    old = sum(votes == 1 for _, _, votes, _, _ in rows)
    new = sum(votes == 2 for _, _, votes, _, _ in rows)
    both = later and new >= majority(len(later)) and old >= majority(len(model.first.names))
    return f"{old} vote in epoch 1 and {new} in epoch 2" if both else ""


def never_two_runs_over_epochs(model: SetsModel, state: State) -> str:
    """Whatever epochs they asked in, one claimant at most runs."""
    runs = [name(who) for who, row in enumerate(state[3]) if row[0] in MAY_HAVE_RUN]
    return f"{' and '.join(runs)} run" if len(runs) > 1 else ""


def no_grant_is_lost_over_a_change(model: SetsModel, state: State) -> str:
    """Once a claimant runs, those who vote and know nothing of it are too few to grant it to another."""
    rows = [model.can(at, controller[0]) for at, controller in enumerate(state[2])]
    if not any(row[0] in MAY_HAVE_RUN for row in state[3]):
        return ""
    for epoch, names in ((1, model.first.names), *{row[:2] for row in rows if row[0] == 2}):
        free = sum(row[2] == epoch and not state[2][at][2] for at, row in enumerate(rows))
        if free >= majority(len(names)):
            return f"{free} that vote in epoch {epoch} know nothing of it"
    return ""


def sealed_stays_sealed(model: SetsModel, state: State, follower: State) -> str:
    """No controller votes again in an epoch where it was sealed, unless its disk is lost."""
    for at, (old, new) in enumerate(zip(state[2], follower[2], strict=True)):
        if new[0] and model.can(at, old[0])[3] and model.can(at, new[0])[3] < model.can(at, old[0])[3]:
            return f"controller {NAMES[at]} is no longer sealed"
    return ""


PROPERTIES: tuple[Property, ...] = (
    one_set_for_each_epoch,
    never_two_sets_that_both_count,
    never_two_runs_over_epochs,
    no_grant_is_lost_over_a_change,
)
STEP_PROPERTIES: tuple[StepProperty, ...] = (sealed_stays_sealed,)
