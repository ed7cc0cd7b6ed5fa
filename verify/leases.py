"""Leases on a key range: two servers, the voters that confirm their leases, and a move between the two.

The sidecar beside an owner asks the voters (ASK); each confirms by its copy of the table and by what it has
accepted; with a majority the sidecar has a lease, and tells its server a hold (GRANT). A proposer has a
majority promise, then accept, that the range is revoked, and later that it is assigned again. Servers,
sidecars and proposers end and come back without their memory, and a voter loses its disk. A question, its
answers and its count may each come as late as they like, or not at all, so that a sidecar or a voter that
stands still is among the cases.

Time is in whole milliseconds of the sidecars' clocks, and goes on to the next moment at which anything ends,
whenever it likes. Clocks are as bad as their bound allows: a server's is slow, a proposer's is fast.

What is left out as it makes nothing worse: proposers hear of each other's changes, and of releases, at once,
as whoever hears later waits longer; a voter that restarts has what is on its disk, and confirmations are
nowhere else. Ballots are played by `verify.items`: here a proposer hears a majority in one step, which ends
the round before.

Voters are alike and sorted, and so are proposers.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterator
from functools import cache
from typing import Any, NamedTuple

from mesh.state.key_leases import CLOCK_DRIFT, DEFAULT_HOLD_MAX_S
from mesh.state.shards import ALL_KEYS, Assignment, FencedRange, Owner, ReleasedRange, Revocation, Shard
from verify.parts import Parts
from verify.search import Model, Property, State, put

NONE: tuple[Any, ...] = ()
KINDS = ("ask", "round", "crash", "restart", "die", "wipe", "pause", "stall")
MS = 1000
DRIFT = 1 / (1 - CLOCK_DRIFT)  # what a slow clock makes of a time, by one that is right
ROUNDING_MS = 1e-6  # what arithmetic of floats may be off
NODES = ("A", "B")
BY_CALL, BY_BEAT = "call", "beat"
PAUSE_MS = 1000
TRANSIT_MS = 250  # the longest that a GRANT by call is on its way


class Row(NamedTuple):
    """The table: its version, the range's owner (node and life of its server), fence, and whether revoked."""

    version: int
    node: int
    life: int
    fence: int
    revoked: int


NO_ROW = Row(0, 0, 0, 0, 0)  # what an empty disk says: nobody owns the range


class Voter(NamedTuple):
    """A controller that votes: what its disk says, and its part in the round and the questions under way."""

    counts: int
    copy: Row
    draft: tuple[Any, ...]  # ballot and table of a change that it has accepted last
    accepted: int  # the round under way, also before its disk was lost
    promised: int  # to the round under way, in this life of its disk
    confirmed: tuple[int, ...]  # by node: the question under way

    def follows(self, row: Row) -> bool:
        """Whether a change is the next one for this copy."""
        return self.copy.version == row.version - 1


class Node(NamedTuple):
    """A server and the sidecar beside it. Times are what is left, in ms."""

    life: int = 1  # of the server
    hold: tuple[int, ...] = NONE  # fence and time, as the server has them
    answer: tuple[int, ...] = NONE  # by beat: fence and time of a hold that is on its way to the server
    call: tuple[int, ...] = NONE  # by call: the same, whether its sidecar still lives, and when it is there
    assigned: tuple[int, ...] = NONE  # fence and life that the range was last assigned to here
    question: tuple[int, ...] = NONE  # fence, life, and what a lease would have left
    lease: tuple[int, ...] = NONE  # fence and time
    told: int = 0  # until all has ended that this life of the sidecar has told its server
    unsure: int = 0  # until all has ended that earlier lives of the sidecar may have told it
    closed: int = 0  # the highest fence that the sidecar has reported released


class World(NamedTuple):
    """A state, by names."""

    chosen: Row  # the last change that a majority has accepted
    released: int  # the highest fence that was reported released
    round: tuple[Any, ...]  # ballot and table of the proposal under way
    ballot: int  # the last that was used
    waits: tuple[int, ...]  # by proposer: until it takes all leases on the revoked range to have ended
    nodes: tuple[Node, ...]
    voters: tuple[Voter, ...]
    left: tuple[int, ...]  # by KINDS: how often it may still happen


Steps = Iterator[tuple[str, World]]


class LeasesModel(Model):
    """`faults` says how often each of KINDS may happen; `way` is how servers are given keys. With `again` A
    has released the range once before, under a lower fence."""

    def __init__(
        self,
        faults: dict[str, int],
        parts: Parts | None = None,
        way: str = BY_CALL,
        voters: int = 3,
        again: bool = False,
    ) -> None:
        self.name = f"leases-{way}"
        self.about = f"two servers, {voters} voters, keys are given by {way}"
        self.parts = parts or Parts()
        self.faults, self.way, self.again = tuple(faults.get(kind, 0) for kind in KINDS), way, again
        self.voters = self.parts.voters(1, tuple(str(at) for at in range(voters)))
        times = self.parts.lease_times(DEFAULT_HOLD_MAX_S)
        self.delay_s = times.reassignment_delay_s
        self.lease_ms = round(times.lease_s * MS)
        self.wait_ms = math.floor(self.delay_s * MS / DRIFT + ROUNDING_MS)
        if not self.parts.waits_out_leases:
            self.wait_ms = 0
        self.needed = self.voters.write_quorum if self.parts.majority_confirms else 1
        self.properties = PROPERTIES
        self.confirms = cache(self._confirms)
        self.changed = cache(self._changed)
        self.renewed = cache(self._renewed)
        self.free = cache(self._free)

    def bounds(self) -> dict[str, Any]:
        return {
            "voters": len(self.voters.names),
            "proposers": 2,
            "keys are given by": self.way,
            **({"A": "has released before"} if self.again else {}),
            **{kind: left for kind, left in zip(KINDS, self.faults, strict=True) if left},
        }

    # --- the mesh's own code, remembered by what goes in

    def _table(self, row: Row) -> Any:
        shard = Shard(ALL_KEYS, owner(row.node, row.life), row.fence, bool(row.revoked))
        return self.parts.shard_table("s", row.version, (shard,))

    def _confirms(self, row: Row, node: int, life: int, fence: int) -> bool:
        """Whether a table says that a server owns the range under a fence."""
        return bool(self._table(row).confirms(owner(node, life), FencedRange(ALL_KEYS, fence)))

    def _changed(self, row: Row, node: int | None, life: int) -> Row:
        """The table after the range is assigned, or revoked where no node is given."""
        if node is None:
            made = self._table(row).change([Revocation(ALL_KEYS)])
        else:
            made = self._table(row).change([], [Assignment(ALL_KEYS, owner(node, life))])
        (shard,) = made.shards
        return Row(
            made.version,
            NODES.index(shard.owner.node),
            int(shard.owner.instance),
            shard.fence,
            int(shard.revoked),
        )

    def _free(self, row: Row, wait: int, released: int) -> bool:
        """Whether a proposer may assign a revoked range again. `wait` is what it has still to wait by a clock
        that is right, and `released` the fence that the owner's sidecar has reported released, or 0."""
        facts = self.parts.shard_facts("s")
        facts.learn(0.0, self._table(row))
        if released:
            facts.add_releases(owner(row.node, row.life), [ReleasedRange(ALL_KEYS, released, "")])
        now = self.delay_s - wait * DRIFT / MS if wait else self.delay_s
        return any(facts.reassignable(now, self.delay_s))

    def _renewed(self, lease: tuple[int, ...], fence: int, left: int) -> tuple[int, ...]:
        """A sidecar's lease after a majority has confirmed one."""
        book, held = self.parts.lease_book(), FencedRange(ALL_KEYS, fence)
        if lease and lease[0] == fence:
            book.renew(held, lease[1] / MS)
        book.renew(held, left / MS)
        return fence, round(book.ends_at(0.0, held) * MS)

    def hold_ms(self, left: int) -> int:
        """How long a server with a slow clock holds what it is told with so much of a lease left."""
        transit_s = TRANSIT_MS / MS if self.way == BY_CALL else 0.0
        return math.ceil(self.parts.hold_duration(0.0, left / MS, transit_s) * DRIFT * MS - ROUNDING_MS)

    # --- states

    def start(self) -> State:
        version = 5 if self.again else 1
        row = Row(version, 0, 1, version, 0)
        voter = Voter(1, row, NONE, 0, 0, (0,) * len(NODES))
        nodes = (Node(assigned=(version, 1)), Node())
        voters = (voter,) * len(self.voters.names)
        return packed(World(row, int(self.again), NONE, 0, (0, 0), nodes, voters, self.faults))

    def same(self, state: State) -> State:
        chosen, released, round_, ballot, waits, nodes, voters, left = state
        ranks = self._ballots_in_order(round_, voters)
        if round_:
            round_ = (ranks[round_[0]], round_[1])
        voters = [put(voter, 2, (ranks[voter[2][0]], voter[2][1])) if voter[2] else voter for voter in voters]
        return (
            chosen,
            released,
            round_,
            len(ranks),
            tuple(sorted(waits)),
            nodes,
            tuple(sorted(voters)),
            left,
        )

    @staticmethod
    def _ballots_in_order(round_: State, voters: State) -> dict[int, int]:
        """Of each ballot that still matters its place among them: only the order of ballots matters."""
        ballots = {voter[2][0] for voter in voters if voter[2]}
        if round_:
            ballots.add(round_[0])
        return {ballot: place for place, ballot in enumerate(sorted(ballots), 1)}

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        for say, made in self._steps(unpacked(state)):
            yield say, packed(made)

    def _steps(self, world: World) -> Steps:
        for at in range(len(NODES)):
            yield from self._leases(world, at)
            yield from self._grants(world, at)
            yield from self._releases(world, at)
        for at in range(len(world.voters)):
            yield from self._votes(world, at)
            yield from self._recovers(world, at)
        yield from self._proposes(world)
        yield from self._time(world)
        yield from self._faults(world)

    # --- leases

    def _leases(self, world: World, at: int) -> Steps:
        node, name = world.nodes[at], NODES[at]
        may_ask = node.assigned and node.assigned[0] > node.closed
        if may_ask and not node.question and has(world, "ask"):
            asked = node._replace(question=(*node.assigned, self.lease_ms))
            yield f"{name} ASKs", forget_answers(with_node(spend(world, "ask"), at, asked), at)
        confirmed = sum(voter.confirmed[at] for voter in world.voters)
        if node.question and confirmed >= self.needed:
            fence, _, left = node.question
            left = left if self.parts.counts_from_question else self.lease_ms
            made = node._replace(question=NONE, lease=self.renewed(node.lease, fence, left))
            yield f"{name} counts {confirmed} confirmations", forget_answers(with_node(world, at, made), at)

    def _grants(self, world: World, at: int) -> Steps:
        node, name = world.nodes[at], NODES[at]
        yield from self._arrives(world, at)
        if not node.lease or (node.lease[0] <= node.closed and self.parts.stays_released):
            return
        fence, left = node.lease
        hold = fence, self.hold_ms(left)
        granted = node._replace(told=max(node.told, left))
        if self.way == BY_BEAT:
            # A server sends one beat at a time, and the answer goes to the life that sent it.
            if not node.answer and node.assigned[1] == node.life:
                yield f"{name}'s beat is answered", with_node(world, at, granted._replace(answer=hold))
        elif hold[1] and not node.call:
            yield f"{name}'s server is GRANTed", with_node(world, at, granted._replace(hold=hold))
            if has(world, "stall"):
                stalled = granted._replace(call=(*hold, 1, TRANSIT_MS))
                yield f"{name} GRANTs", with_node(spend(world, "stall"), at, stalled)

    @staticmethod
    def _arrives(world: World, at: int) -> Steps:
        node, name = world.nodes[at], NODES[at]
        if node.answer:
            taken = node._replace(hold=node.answer, answer=NONE)
            yield f"{name}'s server hears the answer to its beat", with_node(world, at, taken)
        if node.call:
            lost = node._replace(call=NONE)
            yield f"{name}'s GRANT is lost", with_node(world, at, lost)
            yield f"{name}'s server hears GRANT", with_node(world, at, lost._replace(hold=node.call[:2]))

    def _releases(self, world: World, at: int) -> Steps:
        """The sidecar reports that its server holds nothing under the fence that it was assigned."""
        node, name = world.nodes[at], NODES[at]
        if not node.assigned or node.assigned[0] <= node.closed:
            return
        fence = node.assigned[0]
        if world.chosen.fence == fence and not world.chosen.revoked:
            return
        made = world._replace(released=max(world.released, fence))
        if not self.parts.awaits_arrival or not self._may_be_on_its_way(node):
            let_go = node._replace(hold=NONE, told=0, closed=fence)
            yield f"{name}'s server answers RELEASE", with_node(made, at, let_go)
        silent = node._replace(closed=fence)
        if not node.told and not node.unsure:
            yield f"{name} knows that all it told has run out", with_node(made, at, silent)
        if node.assigned[1] < node.life and (self.way == BY_BEAT or not self.parts.ends_by_beat):
            yield f"{name} knows that this life of its server is over", with_node(made, at, silent)

    def _may_be_on_its_way(self, node: Node) -> bool:
        """Whether a hold may reach the server after its release: in an answer to a beat before the one that
        tells of the release, in a call without an answer, or in a call of an earlier life of the sidecar."""
        if self.way == BY_BEAT:
            return bool(node.answer)
        just_started = node.unsure >= self.lease_ms - TRANSIT_MS and self.parts.heeds_earlier_calls
        return bool(node.call and node.call[2]) or just_started

    # --- voters

    def _votes(self, world: World, at: int) -> Steps:
        voter = world.voters[at]
        if not voter.counts:
            return
        for which, node in enumerate(world.nodes):
            if node.question and not voter.confirmed[which] and self._would_confirm(voter, which, node):
                made = voter._replace(confirmed=put(voter.confirmed, which, 1))
                yield f"voter {at} confirms {NODES[which]}", with_voter(world, at, made)
        if world.round and voter.promised and not voter.accepted and voter.follows(world.round[1]):
            yield f"voter {at} accepts {told(world.round[1])}", self._accepted(world, at)
        if voter.copy < world.chosen:
            yield (
                f"voter {at} learns {told(world.chosen)}",
                with_voter(world, at, learned(voter, world.chosen)),
            )

    def _would_confirm(self, voter: Voter, which: int, node: Node) -> bool:
        fence, life, _ = node.question
        tables = [voter.copy]
        if voter.draft and self.parts.heeds_draft:
            tables.append(voter.draft[1])
        return all(self.confirms(table, which, life, fence) for table in tables)

    def _accepted(self, world: World, at: int) -> World:
        """With one voter more that has accepted the proposal; a majority chooses it."""
        voter = world.voters[at]._replace(draft=world.round, accepted=1)
        made = with_voter(world, at, voter)
        if sum(other.accepted for other in made.voters) < self.voters.write_quorum:
            return made
        row = world.round[1]
        made = without_round(made)
        if row == world.chosen:
            return made
        made = made._replace(chosen=row)
        if row.revoked:
            return made._replace(waits=(self.wait_ms,) * 2) if self.parts.waits_from_chosen else made
        owner_node = made.nodes[row.node]._replace(assigned=(row.fence, row.life))
        return with_node(made._replace(waits=(0, 0)), row.node, owner_node)

    def _recovers(self, world: World, at: int) -> Steps:
        """A voter whose disk was lost counts again with what enough others have."""
        voter = world.voters[at]
        if voter.counts or (voter.accepted and self.parts.waits):
            return
        others = [other for other in world.voters if other.counts]
        for heard in itertools.combinations(others, self.voters.read_quorum):
            made = voter._replace(counts=1, copy=max(other.copy for other in heard))
            drafts = [other.draft for other in heard if other.draft]
            if drafts and self.parts.adopts:
                made = made._replace(draft=max(drafts))
            made = learned(made, made.copy)
            yield f"voter {at}, whose disk was lost, has heard enough others", with_voter(world, at, made)

    # --- proposers

    def _proposes(self, world: World) -> Steps:
        """A proposer has the promises of a majority: what it proposes, as `consensus.plan` has it."""
        if not has(world, "round"):
            return
        counting = [voter for voter in world.voters if voter.counts]
        for promised in set(itertools.combinations(counting, self.voters.write_quorum)):
            base = max(voter.copy for voter in promised)
            drafts = [voter.draft for voter in promised if voter.draft]
            unfinished = [draft for draft in drafts if draft[1].version == base.version + 1]
            if unfinished:
                row = max(unfinished)[1]
                yield f"{told(row)} is proposed again", self._opened(world, row)
                continue
            for row in set(self._wanted(world, base)):
                yield f"{told(row)} is proposed", self._opened(world, row)

    def _wanted(self, world: World, base: Row) -> Iterator[Row]:
        """What proposers may want to change in a table that they know to be chosen."""
        if not base.revoked:
            yield self.changed(base, None, 0)
            return
        if any(self.free(base, wait, world.released) for wait in world.waits):
            for at, node in enumerate(world.nodes):
                if (at, node.life) != (base.node, base.life):
                    yield self.changed(base, at, node.life)

    def _opened(self, world: World, row: Row) -> World:
        """With a proposal under way in place of the one before."""
        made = spend(without_round(world), "round")
        ballot = made.ballot + 1
        voters = tuple(voter._replace(promised=voter.counts) for voter in made.voters)
        made = made._replace(round=(ballot, row), ballot=ballot, voters=voters)
        if row.revoked and not self.parts.waits_from_chosen:
            made = made._replace(waits=(self.wait_ms,) * 2)
        return made

    # --- time and faults

    def _time(self, world: World) -> Steps:
        if any(node.call and not node.call[-1] for node in world.nodes):
            return  # a call is there by now, or lost
        ends = [left for left in self._times(world) if left > 0]
        if ends:
            yield f"{min(ends)} ms go by", self._later(world, min(ends))
        if has(world, "pause") and ends and min(ends) > PAUSE_MS:
            yield f"{PAUSE_MS} ms go by", self._later(spend(world, "pause"), PAUSE_MS)

    def _times(self, world: World) -> Iterator[int]:
        yield from world.waits
        for node in world.nodes:
            yield from (node.told, node.unsure, node.unsure - self.lease_ms + TRANSIT_MS)
            timed = node.hold, node.answer, node.call, node.question, node.lease
            yield from (row[-1] for row in timed if row)

    def _later(self, world: World, by: int) -> World:
        nodes = tuple(self._node_later(node, by) for node in world.nodes)
        made = world._replace(nodes=nodes, waits=tuple(max(0, wait - by) for wait in world.waits))
        for at, node in enumerate(nodes):
            if not node.question:
                made = forget_answers(made, at)
        return made

    def _node_later(self, node: Node, by: int) -> Node:
        question = after(node.question, by)
        if node.question and not question and not self.parts.counts_from_question:
            question = (*node.question[:2], 0)
        return node._replace(
            hold=after(node.hold, by),
            answer=after(node.answer, by),
            call=(*node.call[:3], node.call[3] - by) if node.call else NONE,
            question=question,
            lease=after(node.lease, by),
            told=max(0, node.told - by),
            unsure=max(0, node.unsure - by),
        )

    def _faults(self, world: World) -> Steps:
        for at, (name, node) in enumerate(zip(NODES, world.nodes, strict=True)):
            if has(world, "crash"):
                fresh = node._replace(life=node.life + 1, hold=NONE, answer=NONE, call=NONE)
                yield f"{name}'s server crashes, another starts", with_node(spend(world, "crash"), at, fresh)
            if has(world, "restart"):
                fresh = node._replace(question=NONE, lease=NONE, told=0, closed=0)
                fresh = fresh._replace(unsure=self.lease_ms if self.parts.waits_after_start else 0)
                if node.call:
                    fresh = fresh._replace(call=put(node.call, 2, 0))
                made = forget_answers(with_node(spend(world, "restart"), at, fresh), at)
                yield f"the sidecar {name} restarts", made
        if has(world, "die") and world.chosen.revoked:
            wait = self.wait_ms if self.parts.successor_waits else 0
            for at in range(len(world.waits)):
                yield (
                    f"proposer {at} ends, another starts",
                    spend(world, "die")._replace(waits=put(world.waits, at, wait)),
                )
        if has(world, "wipe") and all(voter.counts for voter in world.voters):
            for at, voter in enumerate(world.voters):
                wiped = voter._replace(counts=0, copy=NO_ROW, draft=NONE, promised=0)
                yield f"voter {at} loses its disk", with_voter(spend(world, "wipe"), at, wiped)


def owner(node: int, life: int) -> Owner:
    """A life of a node's server, as the table names it."""
    return Owner(NODES[node], str(life))


def told(row: Row) -> str:
    """A change, as it is printed."""
    return "the revocation" if row.revoked else f"the assignment to {NODES[row.node]}"


def learned(voter: Voter, row: Row) -> Voter:
    """A voter whose copy is a chosen table; its draft is kept only if it comes after."""
    draft = voter.draft if voter.draft and voter.draft[1].version > row.version else NONE
    return voter._replace(copy=row, draft=draft)


def after(timed: tuple[int, ...], by: int) -> tuple[int, ...]:
    """What ends after a time, later; nothing if it has ended."""
    return (*timed[:-1], timed[-1] - by) if timed and timed[-1] > by else NONE


def has(world: World, kind: str) -> bool:
    """Whether something may still happen."""
    return bool(world.left[KINDS.index(kind)])


def spend(world: World, kind: str) -> World:
    """With something that may happen once less."""
    at = KINDS.index(kind)
    return world._replace(left=put(world.left, at, world.left[at] - 1))


def with_node(world: World, at: int, node: Node) -> World:
    """A world with another state of one node."""
    return world._replace(nodes=put(world.nodes, at, node))


def with_voter(world: World, at: int, voter: Voter) -> World:
    """A world with another state of one voter."""
    return world._replace(voters=put(world.voters, at, voter))


def without_round(world: World) -> World:
    """A world with no proposal under way."""
    voters = tuple(voter._replace(accepted=0, promised=0) for voter in world.voters)
    return world._replace(round=NONE, voters=voters)


def forget_answers(world: World, at: int) -> World:
    """A world in which no voter has confirmed a node's question."""
    voters = tuple(voter._replace(confirmed=put(voter.confirmed, at, 0)) for voter in world.voters)
    return world._replace(voters=voters)


def packed(value: Any) -> State:
    """A state in plain tuples."""
    return tuple(map(packed, value)) if isinstance(value, tuple) else value


def unpacked(state: State) -> World:
    """A state by names."""
    chosen, released, round_, ballot, waits, nodes, voters, left = state
    return World(
        Row(*chosen),
        released,
        change(round_),
        ballot,
        waits,
        tuple(Node(*node) for node in nodes),
        tuple(Voter(counts, Row(*copy), change(draft), *rest) for counts, copy, draft, *rest in voters),
        left,
    )


def change(state: State) -> tuple[Any, ...]:
    """A ballot and a table, by names; nothing if there is none."""
    return (state[0], Row(*state[1])) if state else NONE


# --- properties


def holders(world: World) -> list[int]:
    """The nodes whose servers hold the range."""
    return [at for at, node in enumerate(world.nodes) if node.hold]


def never_two_holders(model: LeasesModel, state: State) -> str:
    """OWNER: no two servers that are up hold the range at the same time."""
    return "both servers hold the range" if len(holders(unpacked(state))) > 1 else ""


def what_is_assigned_is_held_by_nobody_else(model: LeasesModel, state: State) -> str:
    """Once the range is assigned to a server, no other server holds it."""
    world = unpacked(state)
    for at in holders(world):
        if not world.chosen.revoked and at != world.chosen.node:
            return f"{NODES[at]}'s server holds what is {NODES[world.chosen.node]}'s"
    return ""


PROPERTIES: tuple[Property, ...] = (never_two_holders, what_is_assigned_is_held_by_nobody_else)
