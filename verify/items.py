"""Items: two proposers at control machines, whose calls clash, and all that may happen to their messages.

A proposer asks the voters to prepare, and a majority promises (PREPARE); it finishes what they tell of a
change that may have been chosen, or checks its own call; a majority accepts that (ACCEPT); it says 200 and
tells all (COMMIT). A machine ends and starts with its disk as it was (crash), starts with an empty one and
asks the others (wipe), or loses what is on its way (cut). Requests come at any time, also long after whoever
sent them has given up; an answer is heard at once or never, as hearing it later only delays what its proposer
does next, and what it sends may be late by any time. Nobody waits for a turn: the courtesy by which machines
keep proposers apart (`mesh.state.quorum.WriteLease`) makes orders of steps rarer, never impossible.

A state is (proposers, machines, sidecar, faults left). Machines are sorted: they are alike.
    proposer: phase, tries, number of its ballot, number of the change, items proposed
    machine: counts, replica, its disk, whole on disk, heard by the one that recovers, a link to each proposer
    replica: items, sequence, promised, draft, active_ballot; as of `mesh.control.consensus.Replica`
    link: whether the proposer is at this machine, requests on their way there, what was heard from it
Sets of items are numbers of items, sorted; for each name one.
"""

from __future__ import annotations

import itertools
import json
from collections.abc import Iterable, Iterator
from functools import cache
from typing import Any

from mesh.control.consensus import Promise, Replica
from mesh.state.ballots import INITIAL_BALLOT, Ballot, Draft
from mesh.state.configuration import EMPTY, Item, Items
from verify.parts import Parts
from verify.search import Model, Property, State, StepProperty, put

NONE: tuple[Any, ...] = ()
KINDS = ("crash", "wipe", "cut", "agree", "hear", "again")
COUNTS, REPLICA, DISK, WHOLE, TOLD, LINKS = range(6)  # places in a machine
BUSY = ("prepare", "accept", "finish")


def rule(name: str, version: int, service: str = "s") -> Item:
    """A route at one place; all of these clash."""
    content = {
        "hostname": "shop.test",
        "rule": {
            "name": name,
            "revision": f"r{version}",
            "variant": "pure",
            "matcher": {"path_prefix": "/"},
            "effect": {"service": service, "timeout": "1s"},
        },
    }
    return Item(f"route/{name}", version, json.dumps(content, sort_keys=True))


def service(name: str, version: int) -> Item:
    """A service that routes may name."""
    return Item(f"service/{name}", version, json.dumps({"name": name, "revision": f"r{version}"}))


# What stands at first, and what each proposer sends.
CALLS: dict[str, tuple[tuple[Item, ...], tuple[tuple[Item, ...], ...]]] = {
    "one": ((service("s", 1),), ((rule("a", 2),),)),
    "place": ((service("s", 1),), ((rule("a", 2),), (rule("b", 2),))),
    "service": ((service("s", 1),), ((Item("service/s", 2),), (rule("b", 2),))),
    "same": ((service("s", 1), service("t", 1)), ((rule("a", 2),), (rule("a", 3, "t"),))),
    "twin": ((service("s", 1), service("t", 1)), ((rule("a", 2),), (rule("a", 2, "t"),))),
}


class ItemsModel(Model):
    """`calls` is a row of CALLS; `faults` says how many of each kind of KINDS may happen. With `in_turn` a
    call is sent once the one before has its answer."""

    def __init__(
        self,
        calls: str = "place",
        controllers: int = 3,
        faults: dict[str, int] | None = None,
        parts: Parts | None = None,
        in_turn: bool = False,
    ) -> None:
        self.name = f"items-{calls}"
        self.about = f"proposers of {calls}, {controllers} control machines"
        self.parts = parts or Parts()
        self.controllers, self.in_turn = controllers, in_turn
        self.faults = tuple((faults or {}).get(kind, 0) for kind in KINDS)
        base, sent = CALLS[calls]
        self.known = tuple(dict.fromkeys((*base, *itertools.chain(*sent))))
        self.number = {item: at for at, item in enumerate(self.known)}
        self.base = tuple(self.number[item] for item in base)
        self.calls = tuple(tuple(self.number[item] for item in call) for call in sent)
        self.voters = self.parts.voters(1, tuple(str(at) for at in range(controllers)))
        self.replica = cache(self._replica)
        self.prepared = cache(self._prepared)
        self.accepted = cache(self._accepted)
        self.committed = cache(self._committed)
        self.learnt = cache(self._learnt)
        self.adopted = cache(self._adopted)
        self.planned = cache(self._planned)
        self.checked = cache(self._checked)
        self.merged = cache(self._merged)
        self.clashing = cache(self._clashing)
        self.held_out = cache(self._held_out)
        self.agreed = cache(self._agreed)
        self.unsound = cache(self._unsound)
        self.covers = cache(self._covers)
        self.properties, self.step_properties = PROPERTIES, STEP_PROPERTIES

    def bounds(self) -> dict[str, Any]:
        faults = {k: n for k, n in zip(KINDS, self.faults, strict=True) if n}
        order = {"calls": "one after the other"} if self.in_turn else {}
        return {"controllers": self.controllers, **order, **faults}

    # --- the mesh's own code, remembered by what goes in

    def items(self, ids: Iterable[int]) -> Items:
        """The items of a set of numbers."""
        made: Items = EMPTY.update({self.known[at].name: self.known[at] for at in ids})
        return made

    def rows(self, ids: Iterable[int]) -> tuple[Item, ...]:
        """The same as a row."""
        return tuple(self.known[at] for at in ids)

    def draft(self, told: State) -> Draft | None:
        """A draft as it lies in a state, as the mesh has it."""
        return Draft(told[0], Ballot(*told[1]), self.rows(told[2])) if told else None

    def _replica(self, told: State) -> Replica:
        items, sequence, promised, draft, granted = told
        return self.parts.replica(
            self.items(items), sequence, Ballot(*promised), self.draft(draft), Ballot(*granted)
        )

    def told(self, made: Replica) -> State:
        """A replica as it lies in a state."""
        draft = made.open_draft
        return (
            tuple(sorted(self.number[item] for item in made.items.values())),
            made.sequence,
            tuple(made.promised),
            (draft.sequence, tuple(draft.ballot), tuple(self.number[row] for row in draft.items))
            if draft
            else NONE,
            tuple(made.active_ballot),
        )

    def _prepared(self, told: State, ballot: State) -> State:
        made = self.replica(told).prepare(Ballot(*ballot))
        return None if made is None else self.told(made)

    def _accepted(self, told: State, ballot: State, sequence: int, ids: State) -> State:
        made = self.replica(told).accept(Ballot(*ballot), sequence, self.rows(ids))
        return None if made is None else self.told(made)

    def _committed(self, told: State, sequence: int, ids: State) -> State:
        return self.told(self.replica(told).commit(sequence, self.rows(ids)))

    def _learnt(self, told: State, ids: State, sequence: int) -> State:
        return self.told(self.replica(told).learn(self.rows(ids), sequence))

    def _adopted(self, told: State, draft: State, promised: State) -> State:
        return self.told(self.replica(told).adopt(self.draft(draft), Ballot(*promised)))

    def _planned(self, heard: State, known: int) -> tuple[int, State]:
        promises = {str(at): Promise(told[0], self.draft(told[1])) for at, told in enumerate(heard)}
        made = self.parts.plan(promises, known)
        found = made.unfinished
        rows = tuple(self.number[row] for row in found.items) if found else NONE
        return made.sequence, rows

    def _merged(self, ids: State, news: State) -> State:
        made = self.parts.merge(self.items(ids), self.rows(news))
        return tuple(sorted(self.number[item] for item in made.values()))

    def _checked(self, ids: State, call: State) -> State:
        """What of a call is to be proposed; None where it is refused."""
        change = self.parts.change(self.items(ids), self.rows(call))
        return None if change.is_error() else tuple(self.number[item] for item in change.ok)

    def _clashing(self, ids: State) -> str:
        return "; ".join(clash.text for clash in self.parts.table(self.items(ids))[1])

    def _held_out(self, ids: State) -> State:
        table, wrong = self.parts.table(self.items(ids))
        names = set[str]().union(*(clash.names for clash in wrong))
        stand = {f"route/{route.name}" for rows in table.routes_by_host.values() for _, route in rows}
        return tuple(at for at in ids if self.known[at].name in names - stand)

    def _unsound(self, ids: State) -> str:
        """What of a table could not be served as it stands."""
        table = self.parts.table(self.items(ids))[0]
        for host, rows in table.routes_by_host.items():
            if len({prefix for prefix, _ in rows}) < len(rows):
                return f"two routes at one place of {host}"
            for _, route in rows:
                if any(name not in table.clusters for name, _ in route.targets):
                    return f"route {route.name} has no service"
        return ""

    def _agreed(self, copies: frozenset[State]) -> str:
        ends = set()
        for order in itertools.permutations(sorted(copies)):
            made: State = ()
            for ids in order:
                made = self.merged(made, ids)
            ends.add(made)
        return f"{len(ends)} different copies" if len(ends) > 1 else ""

    def _covers(self, ids: State, row: int) -> bool:
        """Whether an item is there with this very content, or a newer one of its name."""
        item = self.known[row]
        return any(
            at == row or (self.known[at].name == item.name and self.known[at].version > item.version)
            for at in ids
        )

    # --- states

    def start(self) -> State:
        replica = (self.base, 1, tuple(INITIAL_BALLOT), NONE, tuple(INITIAL_BALLOT))
        machine = (1, replica, replica, 1, 0, ((0, NONE, NONE),) * len(self.calls))
        idle = ("idle", 0, 0, 0, NONE)
        return (idle,) * len(self.calls), (machine,) * self.controllers, self.base, self.faults

    def plain(self, state: State) -> State:
        proposers, machines, sidecar, left = state
        if not left[0]:  # nothing is ever read from a disk again: what lies there makes no difference
            machines = tuple((*row[:DISK], NONE, row[COUNTS], *row[TOLD:]) for row in machines)
        return proposers, machines, sidecar, left

    def same(self, state: State) -> State:
        proposers, machines, sidecar, left = state
        return proposers, tuple(sorted(machines)), sidecar, left

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        proposers, machines, sidecar, left = state
        for who in range(len(proposers)):
            yield from self._proposer(state, who)
        for at, machine in enumerate(machines):
            for who, link in enumerate(machine[LINKS]):
                if link[1]:
                    yield from self._asked(state, at, who)
            if left[0] and not self.parts.synced and machine[REPLICA] != machine[DISK]:
                rows = put(machines, at, put(machine, DISK, machine[REPLICA]))
                yield f"machine {at} syncs", (proposers, rows, sidecar, left)
            yield from self._recovers(state, at)
        yield from self._faults(state)

    def kept(self, machine: State, replica: State) -> State:
        """A machine whose replica has changed, with its disk: answers wait for that."""
        made = put(machine, REPLICA, replica)
        return put(made, DISK, replica) if self.parts.synced else made

    def _proposer(self, state: State, who: int) -> Iterator[tuple[str, State]]:
        proposers, machines, sidecar, left = state
        phase, tries, number, sequence, rows = proposers[who]
        name = "AB"[who]
        if phase == "idle":
            if self.in_turn and who and proposers[who - 1][0] not in ("ok", "bad", "no"):
                return
            for home in range(self.controllers):
                at_home = any(machine[LINKS][who][0] for machine in machines)
                if not machines[home][COUNTS] or (at_home and not machines[home][LINKS][who][0]):
                    continue
                yield f"{name} prepares at machine {home}", self._begin(state, who, home)
        elif phase in BUSY:
            yield f"{name} gets 503: its round took too long", self._over(state, who, "no")
        elif phase == "no" and left[KINDS.index("again")]:
            made = put(proposers, who, ("idle", tries + 1, 0, 0, NONE))
            yield f"{name} is told to come again, and does", (made, machines, sidecar, spend(left, "again"))

    def _begin(self, state: State, who: int, home: int) -> State:
        """Ask all to prepare; the own copy promises at once."""
        proposers, machines, sidecar, left = state
        tries = proposers[who][1]
        number = machines[home][REPLICA][2][0] + 1
        made = []
        for at, machine in enumerate(machines):
            queue = machine[LINKS][who][1]
            link = (int(at == home), (*queue, ("prepare", number)), NONE)
            made.append(put(machine, LINKS, put(machine[LINKS], who, link)))
        state = put(proposers, who, ("prepare", tries, number, 0, NONE)), tuple(made), sidecar, left
        return self._hears_all(state, home, who)

    def _hears_all(self, state: State, at: int, who: int) -> State:
        """A machine hears all that is on its way to it from the proposer that is there itself."""
        while state[1][at][LINKS][who][1] and state[1][at][LINKS][who][0]:
            state = self._hears(state, at, who)
        return state

    def _asked(self, state: State, at: int, who: int) -> Iterator[tuple[str, State]]:
        message = state[1][at][LINKS][who][1][0]
        yield f"machine {at} hears {message[0].upper()} of {'AB'[who]}", self._hears(state, at, who)

    def _hears(self, state: State, at: int, who: int) -> State:
        """A machine hears the first message that is on its way from a proposer."""
        proposers, machines, sidecar, left = state
        machine = machines[at]
        home, queue, heard = machine[LINKS][who]
        message = queue[0]
        machine = put(machine, LINKS, put(machine[LINKS], who, (home, queue[1:], heard)))
        state = proposers, put(machines, at, machine), sidecar, left
        if message[0] == "commit":
            return self._commits(state, at, *message[1:])
        if not machine[COUNTS]:
            return state
        ballot = (message[1], "AB"[who])
        waits = proposers[who][2] == message[1]
        if message[0] == "prepare":
            replica = self.prepared(machine[REPLICA], ballot)
            if replica is None:
                return state
            answer = (replica[1], replica[3])
            state = self._answers(state, at, who, replica, waits and proposers[who][0] == "prepare", answer)
            if waits and proposers[who][0] == "prepare":
                state = self._told(state, who, replica)
            return self._goes_on(state, who)
        _, _, sequence, rows, base = message
        before = machine[REPLICA]
        if base:
            before = self.learnt(before, base, sequence - 1)
        replica = self.accepted(before, ballot, sequence, rows)
        if replica is None:
            return state
        state = self._answers(state, at, who, replica, waits and proposers[who][0] in BUSY[1:], (1,))
        return self._goes_on(state, who)

    def _answers(self, state: State, at: int, who: int, replica: State, heard: bool, answer: State) -> State:
        proposers, machines, sidecar, left = state
        machine = self.kept(machines[at], replica)
        if heard:
            home, queue, _ = machine[LINKS][who]
            machine = put(machine, LINKS, put(machine[LINKS], who, (home, queue, answer)))
        return proposers, put(machines, at, machine), sidecar, left

    def _commits(self, state: State, at: int, sequence: int, rows: State) -> State:
        proposers, machines, sidecar, left = state
        machine = self.kept(machines[at], self.committed(machines[at][REPLICA], sequence, rows))
        return proposers, put(machines, at, machine), sidecar, left

    @staticmethod
    def _home(state: State, who: int) -> int:
        return next(at for at, machine in enumerate(state[1]) if machine[LINKS][who][0])

    def _told(self, state: State, who: int, replica: State) -> State:
        """The machine where the proposer is takes over the items that another tells."""
        proposers, machines, sidecar, left = state
        at = self._home(state, who)
        machine = self.kept(machines[at], self.learnt(machines[at][REPLICA], replica[0], replica[1]))
        return proposers, put(machines, at, machine), sidecar, left

    def _goes_on(self, state: State, who: int) -> State:
        """Go on where a majority has answered."""
        proposers, machines, sidecar, left = state
        phase, tries, number, sequence, rows = proposers[who]
        heard = [machine[LINKS][who][2] for machine in machines if machine[LINKS][who][2]]
        if phase not in BUSY or len(heard) < self.voters.write_quorum:
            return state
        home = self._home(state, who)
        if phase == "prepare":
            items, known = machines[home][REPLICA][:2]
            sequence, unfinished = self.planned(tuple(sorted(heard)), known)
            rows = unfinished or self.checked(items, self.calls[who])
            if rows is None:
                return self._over(state, who, "bad")
            if not rows:
                return self._over(state, who, "ok")
            return self._propose(state, who, "finish" if unfinished else "accept", sequence, rows)
        # Chosen: told to all, the own copy first.
        made = []
        for machine in machines:
            at_home, queue, _ = machine[LINKS][who]
            queue = (*queue, ("commit", sequence, rows))
            made.append(put(machine, LINKS, put(machine[LINKS], who, (at_home, queue, NONE))))
        state = self._hears_all((proposers, tuple(made), sidecar, left), home, who)
        if phase == "accept":
            return self._over(state, who, "ok")
        return put(state, 0, put(proposers, who, ("idle", tries, 0, 0, NONE)))

    def _propose(self, state: State, who: int, phase: str, sequence: int, rows: State) -> State:
        """Ask all to accept. One that is behind is told all that the proposer's own copy holds."""
        proposers, machines, sidecar, left = state
        tries, number = proposers[who][1:3]
        home = self._home(state, who)
        whole, known = machines[home][REPLICA][:2]
        if known != sequence:  # its own copy has come further since
            return self._over(state, who, "no")
        made = []
        for machine in machines:
            at_home, queue, heard = machine[LINKS][who]
            base = whole if heard and heard[0] < sequence else NONE
            queue = (*queue, ("accept", number, sequence + 1, rows, base))
            made.append(put(machine, LINKS, put(machine[LINKS], who, (at_home, queue, NONE))))
        proposers = put(proposers, who, (phase, tries, number, sequence + 1, rows))
        return self._hears_all((proposers, tuple(made), sidecar, left), home, who)

    def _over(self, state: State, who: int, phase: str) -> State:
        """A proposer is done: answers are dropped from now on. What is on its way there stays so."""
        proposers, machines, sidecar, left = state
        made = tuple(
            put(machine, LINKS, put(machine[LINKS], who, (0, machine[LINKS][who][1], NONE)))
            for machine in machines
        )
        return put(proposers, who, (phase, proposers[who][1], 0, 0, NONE)), made, sidecar, left

    def _recovers(self, state: State, at: int) -> Iterator[tuple[str, State]]:
        """A machine that does not count hears what another has that does; with enough of them it counts."""
        proposers, machines, sidecar, left = state
        machine = machines[at]
        if machine[COUNTS]:
            return
        if self.parts.waits and any(link[2] for link in machine[LINKS]):
            return  # a round that had its answer from before the loss is void by the time it asks
        if not self.parts.recovers:
            made = put(put(machine, COUNTS, 1), WHOLE, 1)
            yield f"machine {at} counts", (proposers, put(machines, at, made), sidecar, left)
            return
        for other, row in enumerate(machines):
            if other == at or not row[COUNTS] or row[TOLD]:
                continue
            theirs = row[REPLICA]
            replica = self.learnt(machine[REPLICA], theirs[0], theirs[1])
            if self.parts.adopts:
                replica = self.adopted(replica, theirs[3], theirs[2])
            rows = put(put(machines, other, put(row, TOLD, 1)), at, put(machine, REPLICA, replica))
            say = f"machine {at}, whose disk was lost, hears what machine {other} has"
            if sum(one[TOLD] for one in rows) >= self.voters.read_quorum:
                rows = tuple(put(one, TOLD, 0) for one in rows)
                made = put(rows[at], COUNTS, 1)
                if self.parts.counts_late:
                    made = put(put(made, DISK, replica), WHOLE, 1)
                rows = put(rows, at, made)
                say += "; that is enough"
            yield say, (proposers, rows, sidecar, left)

    def _faults(self, state: State) -> Iterator[tuple[str, State]]:
        proposers, machines, sidecar, left = state
        crash, wipe, cut, agree, hear, _ = left
        for at, machine in enumerate(machines):
            if crash:
                yield f"machine {at} crashes and starts again", self._restarted(state, at, False)
            if wipe and all(other[COUNTS] for other in machines):
                yield f"machine {at} loses its disk and starts again", self._restarted(state, at, True)
            for who, link in enumerate(machine[LINKS]):
                if cut and link[1]:
                    made = put(machine, LINKS, put(machine[LINKS], who, (link[0], NONE, link[2])))
                    yield (
                        f"what is on its way from {'AB'[who]} to machine {at} is lost",
                        (proposers, put(machines, at, made), sidecar, spend(left, "cut")),
                    )
            items = machine[REPLICA][0]
            if hear and items != sidecar:
                yield (
                    f"a sidecar hears the items of machine {at}",
                    (proposers, machines, self.merged(sidecar, items), spend(left, "hear")),
                )
            for other, row in enumerate(machines):
                if agree and other != at and row[REPLICA][:2] != machine[REPLICA][:2]:
                    made = self.kept(machine, self.learnt(machine[REPLICA], *row[REPLICA][:2]))
                    yield (
                        f"machine {at} takes over what machine {other} has",
                        (proposers, put(machines, at, made), sidecar, spend(left, "agree")),
                    )

    def _restarted(self, state: State, at: int, wiped: bool) -> State:
        for who, link in enumerate(state[1][at][LINKS]):
            if link[0]:
                state = self._over(state, who, "no")
        proposers, machines, sidecar, left = state
        machine = machines[at]
        links = tuple((0, NONE, heard) for _, _, heard in machine[LINKS])
        empty = (NONE, 0, tuple(INITIAL_BALLOT), NONE, tuple(INITIAL_BALLOT))
        disk, whole = (empty, 0) if wiped else machine[DISK:TOLD]
        replica = put(disk, 4, tuple(INITIAL_BALLOT))
        rows = list(put(machines, at, (whole, replica, replica, whole, 0, links)))
        if not machine[COUNTS] or wiped:  # whoever asked has to ask again
            rows = [put(row, TOLD, 0) for row in rows]
        return proposers, tuple(rows), sidecar, spend(left, "wipe" if wiped else "crash")

    def acknowledged(self, state: State) -> Iterator[int]:
        """The items of all calls that were answered with 200."""
        for who, row in enumerate(state[0]):
            if row[0] == "ok":
                yield from self.calls[who]

    def reads(self, state: State) -> Iterator[State]:
        """What a reader finds, whichever machines that count it hears, if they are enough."""
        counting = [machine[REPLICA] for machine in state[1] if machine[COUNTS]]
        for heard in itertools.combinations(counting, self.voters.read_quorum):
            items: State = NONE
            for replica in heard:
                items = self.merged(items, replica[0])
            unfinished = self.planned(tuple(sorted((row[1], row[3]) for row in heard)), 0)[1]
            yield self.merged(items, unfinished)


def spend(left: tuple[int, ...], kind: str) -> tuple[int, ...]:
    """One fault less."""
    at = KINDS.index(kind)
    return put(left, at, left[at] - 1)


# --- properties


def acknowledged_items_are_kept(model: ItemsModel, state: State) -> str:
    """What was answered with 200 lies in a memory or on a disk, it or a newer one of its name."""
    for row in model.acknowledged(state):
        held = [copy for machine in state[1] for copy in machine[REPLICA:WHOLE] if copy]
        if not any(model.covers((*copy[0], *(copy[3][2] if copy[3] else ())), row) for copy in held):
            return f"no machine has {model.known[row][:2]}"
    return ""


def acknowledged_items_are_read(model: ItemsModel, state: State) -> str:
    """Whichever machines that count are heard, if they are enough for a reader it finds all of it, with the
    very content that was acknowledged."""
    rows = list(model.acknowledged(state))
    for found in model.reads(state) if rows else ():
        for row in rows:
            if not model.covers(found, row):
                return f"{model.known[row][:2]} is not what is read"
    return ""


def acknowledged_items_stay_in_force(model: ItemsModel, state: State) -> str:
    """Nothing without an answer of 200 holds out what has one."""
    rows = list(model.acknowledged(state))
    for found in model.reads(state) if rows else ():
        out = model.held_out(found)
        lost = [row for row in rows if row in out]
        if lost:
            return f"{model.known[lost[0]][:2]} is held out of force"
    return ""


def no_two_acknowledged_items_clash(model: ItemsModel, state: State) -> str:
    """All that was answered with 200 is valid together, as far as nothing newer stands in its place."""
    stands: dict[str, int] = {model.known[row].name: row for row in model.base}
    for row in model.acknowledged(state):
        item = model.known[row]
        other = stands.get(item.name, row)
        if other != row and model.known[other].version == item.version:
            return f"two contents of {item[:2]} are acknowledged"
        if item.version >= model.known[other].version:
            stands[item.name] = row
    return model.clashing(tuple(sorted(stands.values())))


def nothing_invalid_is_in_force(model: ItemsModel, state: State) -> str:
    """No table has two routes at one place, or a route of no service."""
    for ids in {state[2], *(machine[REPLICA][0] for machine in state[1])}:
        why = model.unsound(ids)
        if why:
            return why
    return ""


def copies_agree_at_the_end(model: ItemsModel, state: State) -> str:
    """Once every machine has heard every other, in whatever order, all have the same."""
    return model.agreed(frozenset(machine[REPLICA][0] for machine in state[1]))


def nobody_goes_back(model: ItemsModel, state: State, follower: State) -> str:
    """No machine within one life, and no sidecar, has a lower version of a name than before, or another
    content under the same."""
    pairs = [(state[2], follower[2])]
    if state[3][:2] == follower[3][:2]:  # no process ended
        pairs += [(old[REPLICA][0], new[REPLICA][0]) for old, new in zip(state[1], follower[1], strict=True)]
    for old, new in pairs:
        for row in old if new != old else ():
            if not model.covers(new, row):
                return f"{model.known[row][:2]} was there"
    return ""


PROPERTIES: tuple[Property, ...] = (
    acknowledged_items_are_kept,
    acknowledged_items_are_read,
    acknowledged_items_stay_in_force,
    no_two_acknowledged_items_clash,
    nothing_invalid_is_in_force,
    copies_agree_at_the_end,
)
STEP_PROPERTIES: tuple[StepProperty, ...] = (nobody_goes_back,)
