"""Items: two writers at barns, whose calls clash, and all that may happen to their messages.

A writer hears so many barns as a write takes (SYNC), which gives it their turns; checks its call; has the
items on so many disks (PUT); and says 200. A barn ends and starts with its disk as it was (crash), starts
with an empty one and asks the others (wipe), or loses what is on its way (cut). A writer's turn may lapse
whenever another asks, so a writer that stood still is among the cases. OVER only makes turns end sooner.

A state is (writers, barns, stile, faults left). Barns are sorted: they are alike.
    writer: phase, tries
    barn: counts, items, items on disk, whole on disk, records that wait for the disk, whose turn, heard by
        the one that recovers, a link to each writer
    link: home of that writer, on its way there, on its way back, said yes
On the way there: SYNC (token), PUT (token, rows, and 0 if its HAVE is not to count). Each try of a writer
has a token of its own.
Sets of items are numbers of items, sorted; for each name one.
"""

from __future__ import annotations

import itertools
import json
from collections.abc import Iterable, Iterator
from functools import cache
from typing import Any

from orchard.catalog import EMPTY, Item, Items
from verify.parts import Parts
from verify.search import Model, Property, State, StepProperty, put

NONE: tuple[Any, ...] = ()
NOBODY = -1
WHOLE = -2  # waits for the disk: the record that this disk counts
KINDS = ("crash", "wipe", "cut", "agree", "hear", "again")


def rule(name: str, version: int, service: str = "s") -> Item:
    """A route at one place; all of these clash."""
    content = {"hostname": "shop.test", "rule": {
        "name": name, "revision": f"r{version}", "variant": "pure", "matcher": {"path_prefix": "/"},
        "effect": {"service": service, "timeout": "1s"},
    }}  # fmt: skip
    return Item(f"route/{name}", version, json.dumps(content, sort_keys=True))


def service(name: str, version: int) -> Item:
    """A service that routes may name."""
    return Item(f"service/{name}", version, json.dumps({"name": name, "revision": f"r{version}"}))


# What stands at first, and what each writer sends.
CALLS: dict[str, tuple[tuple[Item, ...], tuple[tuple[Item, ...], ...]]] = {
    "one": ((service("s", 1),), ((rule("a", 2),),)),
    "place": ((service("s", 1),), ((rule("a", 2),), (rule("b", 2),))),
    "service": ((service("s", 1),), ((Item("service/s", 2),), (rule("b", 2),))),
    "same": ((service("s", 1), service("t", 1)), ((rule("a", 2),), (rule("a", 3, "t"),))),
    "twin": ((service("s", 1), service("t", 1)), ((rule("a", 2),), (rule("a", 2, "t"),))),
}


class ItemsModel(Model):
    """`calls` is a row of CALLS; `faults` says how many of each kind of KINDS may happen. With `swift`
    answers are heard at once; with `in_turn` a call is sent once the one before has its answer."""

    def __init__(
        self, calls: str = "place", barns: int = 3, faults: dict[str, int] | None = None,
        parts: Parts | None = None, in_force: bool = False, swift: bool = False,
        in_turn: bool = False,
    ) -> None:
        self.name = f"items-{calls}"
        self.about = f"writers of {calls}, {barns} barns"
        self.parts = parts or Parts()
        self.barns, self.swift, self.in_turn = barns, swift, in_turn
        self.faults = tuple((faults or {}).get(kind, 0) for kind in KINDS)
        base, sent = CALLS[calls]
        self.known = tuple(dict.fromkeys((*base, *itertools.chain(*sent))))
        number = {item: at for at, item in enumerate(self.known)}
        self.base = tuple(number[item] for item in base)
        self.calls = tuple(tuple(number[item] for item in call) for call in sent)
        self.voters = self.parts.voters(1, tuple(str(at) for at in range(barns)))
        self.merged = cache(self._merged)
        self.checked = cache(self._checked)
        self.given = cache(self._given)
        self.clashing = cache(self._clashing)
        self.held_out = cache(self._held_out)
        self.agreed = cache(self._agreed)
        self.unsound = cache(self._unsound)
        self.covers = cache(self._covers)
        self.holds = cache(self._holds)
        self.properties = (*PROPERTIES, *((acknowledged_items_stay_in_force,) if in_force else ()))
        self.step_properties = STEP_PROPERTIES

    def bounds(self) -> dict[str, Any]:
        answers = {"answers": "at once" if self.swift else "in flight"}
        faults = {k: n for k, n in zip(KINDS, self.faults, strict=True) if n}
        order = {"calls": "one after the other"} if self.in_turn else {}
        return {"barns": self.barns, **answers, **order, **faults}

    # --- the mesh's own code, remembered by what goes in

    def items(self, ids: Iterable[int]) -> Items:
        """The items of a set of numbers."""
        made: Items = EMPTY.update({self.known[at].name: self.known[at] for at in ids})
        return made

    def _merged(self, ids: tuple[int, ...], news: tuple[int, ...]) -> tuple[int, ...]:
        made = self.parts.merge(self.items(ids), [self.known[at] for at in news])
        return tuple(sorted(self.known.index(item) for item in made.values()))

    def _checked(self, ids: tuple[int, ...], call: tuple[int, ...]) -> tuple[int, ...] | None:
        """What is to be written, as `Barn._patch` lays it out; None where the call is refused."""
        items = self.items(ids)
        change = self.parts.change(items, [self.known[at] for at in call])
        if change.is_error():
            return None
        news = {item.name: item for item in change.ok}
        names = [self.known[at].name for at in call]
        return tuple(self.known.index(news.get(name) or items[name]) for name in names)

    def _given(self, holder: int, writer: int, lapsed: bool) -> bool:
        """Whether a barn gives its turn to a writer while another, or nobody, has it."""
        turn = self.parts.turn(1.0)
        if holder != NOBODY:
            turn.take(0.0, str(holder))
        return turn.take(2.0 if lapsed else 0.5, str(writer))

    def _holds(self, holder: int, writer: int) -> bool:
        """Whether a barn whose turn went to `holder` takes a write of `writer`."""
        turn = self.parts.turn(1.0)
        if holder != NOBODY:
            turn.take(0.0, str(holder))
        return turn.holds(str(writer))

    def _clashing(self, ids: tuple[int, ...]) -> str:
        return "; ".join(clash.text for clash in self.parts.table(self.items(ids))[1])

    def _held_out(self, ids: tuple[int, ...]) -> tuple[int, ...]:
        wrong = self.parts.table(self.items(ids))[1]
        names = set[str]().union(*(clash.names for clash in wrong))
        table = self.parts.table(self.items(ids))[0]
        stand = {f"route/{route.name}" for rows in table.hosts.values() for _, route in rows}
        return tuple(at for at in ids if self.known[at].name in names - stand)

    def _unsound(self, ids: tuple[int, ...]) -> str:
        """What of a table could not be served as it stands."""
        table = self.parts.table(self.items(ids))[0]
        for host, rows in table.hosts.items():
            if len({prefix for prefix, _ in rows}) < len(rows):
                return f"two routes at one place of {host}"
            for _, route in rows:
                if any(name not in table.clusters for name, _ in route.targets):
                    return f"route {route.name} has no service"
        return ""

    def _agreed(self, copies: frozenset[tuple[int, ...]]) -> str:
        ends = set()
        for order in itertools.permutations(sorted(copies)):
            made: tuple[int, ...] = ()
            for ids in order:
                made = self.merged(made, ids)
            ends.add(made)
        return f"{len(ends)} different copies" if len(ends) > 1 else ""

    # --- states

    def start(self) -> State:
        link = (0, NONE, NONE, 0)
        barn = (1, self.base, self.base, 1, NONE, NOBODY, 0, (link,) * len(self.calls))
        return (("idle", 0),) * len(self.calls), (barn,) * self.barns, self.base, self.faults

    def plain(self, state: State) -> State:
        writers, barns, stile, left = state
        if not left[0]:  # nothing is ever read from a disk again: what lies there makes no difference
            barns = tuple(
                (*barn[:2], NONE, barn[0], tuple(row for row in barn[4] if self._awaited(row)), *barn[5:])
                if barn[2] or barn[4] else barn for barn in barns
            )
        return writers, barns, stile, left

    def same(self, state: State) -> State:
        writers, barns, stile, left = state
        return writers, tuple(sorted(barns)), stile, left

    def _awaited(self, record: tuple[Any, int]) -> bool:
        return record[1] >= 0 or (record[1] == WHOLE and self.parts.counts_late)

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        for say, made in self._steps(state):
            if self.swift:
                made = self._all_told(made)
            yield say, made

    def _all_told(self, state: State) -> State:
        """With every answer heard at once."""
        for at in range(self.barns):
            for who in range(len(self.calls)):
                while state[1][at][7][who][2]:
                    state = next(self._told(state, at, who))[1]
        return state

    def _steps(self, state: State) -> Iterator[tuple[str, State]]:
        writers, barns, stile, left = state
        for who in range(len(writers)):
            yield from self._writer(state, who)
        for at, barn in enumerate(barns):
            for who, link in enumerate(barn[7]):
                if link[1]:
                    yield from self._asked(state, at, who)
                if link[2]:
                    yield from self._told(state, at, who)
            if barn[4]:
                yield f"barn {at} syncs", self._synced(state, at)
            yield from self._recovers(state, at)
        yield from self._faults(state)

    # Each of these makes a state of a state.

    def _writer(self, state: State, who: int) -> Iterator[tuple[str, State]]:
        writers, barns, stile, left = state
        phase, tries = writers[who]
        name = "AB"[who]
        token = who + 2 * tries
        if phase == "idle":
            if self.in_turn and any(writers[other][0] in ("idle", "sync", "put") for other in range(who)):
                return
            for home in range(len(barns)):
                for lapsed in self._ways(barns[home], token):
                    rows = list(barns)
                    for at, barn in enumerate(barns):
                        links = put(barn[7], who, (int(at == home), (*barn[7][who][1], (token,)), NONE, 0))
                        rows[at] = put(barn, 7, links)
                    barn = rows[home]
                    gives = bool(barn[0]) and self.given(barn[5], token, lapsed)
                    barn = put(barn, 7, put(barn[7], who, (1, NONE, NONE, int(gives))))
                    rows[home] = put(barn, 5, token) if gives else barn
                    made = put(writers, who, ("sync", tries)), tuple(rows), stile, left
                    say = f"{name}'s call reaches barn {home}" + self._turned(barns[home], token, gives)
                    yield say, self._heard(made, who)
        elif phase in ("sync", "put"):
            yield f"{name} gets 503: its round took too long", self._over(state, who, "no")
        elif phase == "no" and left[KINDS.index("again")]:
            spent = spend(left, "again")
            yield f"{name} is told to come again, and does", (
                put(writers, who, ("idle", tries + 1)), barns, stile, spent)

    def _ways(self, barn: State, token: int) -> tuple[bool, ...]:
        """The turn of another may have lapsed by now, or not."""
        return (False, True) if barn[0] and barn[5] not in (NOBODY, token) else (False,)

    def _turned(self, barn: State, token: int, gives: bool) -> str:
        if barn[5] in (NOBODY, token) or not barn[0]:
            return ""
        return f"; the turn of {'AB'[barn[5] % 2]} there " + ("has lapsed" if gives else "stands")

    def _asked(self, state: State, at: int, who: int) -> Iterator[tuple[str, State]]:
        """A barn hears the first message that is on its way from a writer."""
        writers, barns, stile, left = state
        barn = barns[at]
        home, queue, back, yes = barn[7][who]
        name = "AB"[who]
        token = queue[0][0]
        phase, tries = writers[who]
        current = token == who + 2 * tries
        if len(queue[0]) == 1:
            for lapsed in self._ways(barn, token):
                gives = bool(barn[0]) and self.given(barn[5], token, lapsed)
                waits = current and phase == "sync"
                told = (*back, ("synced", int(gives), barn[1])) if waits else back
                made = put(barn, 7, put(barn[7], who, (home, queue[1:], told, yes)))
                if gives:
                    made = put(made, 5, token)
                say = f"barn {at} hears SYNC of {name}" + self._turned(barn, token, gives)
                yield say, (writers, put(barns, at, made), stile, left)
            return
        made = put(barn, 7, put(barn[7], who, (home, queue[1:], back, yes)))
        taken = bool(barn[0]) and self.holds(barn[5], token)
        if taken:
            waits = current and phase == "put" and len(queue[0]) == 2
            made = self._stored(made, queue[0][1], who if waits else NOBODY)
        say = f"barn {at} hears PUT of {name}" + ("" if taken else " and does not take it")
        yield say, (writers, put(barns, at, made), stile, left)

    def _stored(self, barn: State, rows: tuple[int, ...], who: int) -> State:
        """Merge, and write what stands for these names; the writer is told then."""
        items = self.merged(barn[1], rows)
        names = {self.known[row].name for row in rows}
        stands = tuple(row for row in items if self.known[row].name in names)
        made = put(barn, 1, items)
        if not self.parts.synced and who != NOBODY:
            made = self._have(made, who)
            who = NOBODY
        return put(made, 4, (*barn[4], (stands, who)))

    def _have(self, barn: State, who: int) -> State:
        home, queue, back, yes = barn[7][who]
        link = (home, queue, back, 1) if home else (home, queue, (*back, ("have", 1, NONE)), yes)
        return put(barn, 7, put(barn[7], who, link))

    def _told(self, state: State, at: int, who: int) -> Iterator[tuple[str, State]]:
        """A writer hears the first answer on its way from a barn."""
        writers, barns, stile, left = state
        barn = barns[at]
        home, queue, back, yes = barn[7][who]
        word, says, rows = back[0]
        made = put(barn, 7, put(barn[7], who, (home, queue, back[1:], int(yes or says))))
        made = writers, put(barns, at, made), stile, left
        if word == "synced":
            made = self._learnt(made, self._home(made, who), rows)
        yield f"{'AB'[who]} hears {word.upper()} of barn {at}", self._heard(made, who)

    def _learnt(self, state: State, at: int, rows: tuple[int, ...]) -> State:
        """A barn merges what another told, and has it written; nobody waits for that."""
        writers, barns, stile, left = state
        barn = barns[at]
        items = self.merged(barn[1], rows)
        news = tuple(row for row in items if row not in barn[1])
        if not news:
            return state
        barn = put(put(barn, 1, items), 4, (*barn[4], (news, NOBODY)))
        return writers, put(barns, at, barn), stile, left

    @staticmethod
    def _home(state: State, who: int) -> int:
        return next(at for at, barn in enumerate(state[1]) if barn[7][who][0])

    def _heard(self, state: State, who: int) -> State:
        """Go on where enough have said yes."""
        writers, barns, stile, left = state
        phase, tries = writers[who]
        if sum(barn[7][who][3] for barn in barns) < self.voters.write:
            return state
        if phase == "put":
            return self._over(state, who, "ok")
        home = self._home(state, who)
        rows = self.checked(barns[home][1], self.calls[who])
        if rows is None:
            return self._over(state, who, "bad")
        made, token = [], who + 2 * tries
        for at, barn in enumerate(barns):
            _, queue, _, _ = barn[7][who]
            if at != home:
                heard = barn[7][who][3] or not self.parts.turns_heard
                sent = (token, rows) if heard else (token, rows, 0)
                made.append(put(barn, 7, put(barn[7], who, (0, (*queue, sent), NONE, 0))))
                continue
            barn = put(barn, 7, put(barn[7], who, (1, NONE, NONE, 0)))
            if barn[0] and self.holds(barn[5], token):
                barn = self._stored(barn, rows, who)
            made.append(barn)
        return put(writers, who, ("put", tries)), tuple(made), stile, left

    def _over(self, state: State, who: int, phase: str) -> State:
        """A writer is done: what comes back is dropped from now on. What is on its way there stays so."""
        writers, barns, stile, left = state
        made = []
        for barn in barns:
            queue = barn[7][who][1]
            pending = tuple((rows, NOBODY if waits == who else waits) for rows, waits in barn[4])
            made.append(put(put(barn, 4, pending), 7, put(barn[7], who, (0, queue, NONE, 0))))
        return put(writers, who, (phase, writers[who][1])), tuple(made), stile, left

    def _synced(self, state: State, at: int) -> State:
        """The first record that waits lies on the disk, and whoever waited is told."""
        writers, barns, stile, left = state
        barn = barns[at]
        rows, waits = barn[4][0]
        barn = put(barn, 4, barn[4][1:])
        barn = put(barn, 2, self.merged(barn[2], rows))
        if waits == WHOLE:
            barn = put(barn, 3, 1)
            if self.parts.counts_late:
                barn = put(barn, 0, 1)
        if waits >= 0:
            barn = self._have(barn, waits)
        made = writers, put(barns, at, barn), stile, left
        return self._heard(made, waits) if waits >= 0 and barn[7][waits][0] else made

    def _recovers(self, state: State, at: int) -> Iterator[tuple[str, State]]:
        """A barn that does not count hears what another has that does; with enough of them it counts."""
        writers, barns, stile, left = state
        if barns[at][0]:
            return
        if any(waits == WHOLE for _, waits in barns[at][4]):
            return
        if self.parts.waits and any(
            writers[who][0] in ("sync", "put") and (link[2] or link[3])
            for who, link in enumerate(barns[at][7])
        ):
            return  # a round that had its answer from before the loss is void by the time it asks
        if not self.parts.recovers:
            yield f"barn {at} counts", (
                writers, put(barns, at, put(put(barns[at], 0, 1), 3, 1)), stile, left)
            return
        for other, barn in enumerate(barns):
            if other == at or not barn[0] or barn[6]:
                continue
            made = writers, put(barns, other, put(barn, 6, 1)), stile, left
            made = self._learnt(made, at, barn[1])
            say = f"barn {at}, whose disk was lost, hears what barn {other} has"
            if sum(row[6] for row in made[1]) >= self.voters.read:
                rows = tuple(put(row, 6, 0) for row in made[1])
                me = rows[at]
                me = put(me, 4, (*me[4], (me[1], WHOLE)))
                if not self.parts.counts_late:
                    me = put(me, 0, 1)
                made = writers, put(rows, at, me), stile, left
                say += "; that is enough"
            yield say, made

    def _faults(self, state: State) -> Iterator[tuple[str, State]]:
        writers, barns, stile, left = state
        crash, wipe, cut, agree, hear, _ = left
        for at, barn in enumerate(barns):
            if crash:
                yield f"barn {at} crashes and starts again", self._restarted(state, at, False)
            if wipe and all(other[0] for other in barns):
                yield f"barn {at} loses its disk and starts again", self._restarted(state, at, True)
            for who, link in enumerate(barn[7]):
                if cut and (link[1] or link[2]):
                    made = put(barn, 7, put(barn[7], who, (link[0], NONE, NONE, link[3])))
                    yield f"what is between {'AB'[who]} and barn {at} is lost", (
                        writers, put(barns, at, made), stile, spend(left, "cut"))
            if hear and barn[1] != stile:
                made_ = self.merged(stile, barn[1])
                yield f"a stile hears the items of barn {at}", (
                    writers, barns, made_, spend(left, "hear"))
            for other, row in enumerate(barns):
                if agree and other != at:
                    made = self._learnt(state, at, row[1])
                    if made is not state:
                        yield f"barn {at} takes over what barn {other} has", (
                            *made[:3], spend(left, "agree"))

    def _restarted(self, state: State, at: int, wiped: bool) -> State:
        writers, barns, stile, left = state
        barn = barns[at]
        for who, link in enumerate(barn[7]):
            if link[0]:
                state = self._over(state, who, "no")
        writers, barns, stile, left = state
        barn = barns[at]
        links = tuple((0, NONE, back, yes) for _, _, back, yes in barn[7])
        disk, whole = ((), 0) if wiped else barn[2:4]
        rows = list(put(barns, at, (whole, disk, disk, whole, NONE, NOBODY, 0, links)))
        if not barn[0] or wiped:  # whoever asked has to ask again
            rows = [put(row, 6, 0) for row in rows]
        return writers, tuple(rows), stile, spend(left, "wipe" if wiped else "crash")

    def stands(self, state: State) -> tuple[int, ...]:
        """What all barns hold together."""
        made: tuple[int, ...] = ()
        for barn in state[1]:
            made = self.merged(made, barn[1])
        return made

    def acknowledged(self, state: State) -> Iterator[int]:
        """The items of all calls that were answered with 200."""
        for who, (phase, _) in enumerate(state[0]):
            if phase == "ok":
                yield from self.calls[who]

    def _covers(self, ids: tuple[int, ...], row: int) -> bool:
        """Whether an item is there, or a newer one of its name."""
        item = self.known[row]
        return any(self.known[at].name == item.name and self.known[at].version >= item.version for at in ids)


def spend(left: tuple[int, ...], kind: str) -> tuple[int, ...]:
    """One fault less."""
    at = KINDS.index(kind)
    return put(left, at, left[at] - 1)


# --- properties


def acknowledged_items_are_kept(model: ItemsModel, state: State) -> str:
    """What was answered with 200 lies in a memory or on a disk, it or a newer one of its name."""
    for row in model.acknowledged(state):
        if not any(model.covers(barn[1], row) or model.covers(barn[2], row) for barn in state[1]):
            return f"no barn has {model.known[row][:2]}"
    return ""


def acknowledged_items_are_read(model: ItemsModel, state: State) -> str:
    """Whichever barns that count are heard, if they are enough for a reader they know all of it."""
    counting = [barn[1] for barn in state[1] if barn[0]]
    need = len(state[1]) - (len(state[1]) // 2 + 1) + 1
    for row in model.acknowledged(state):
        if sum(not model.covers(ids, row) for ids in counting) >= need:
            return f"{need} barns that count know nothing of {model.known[row][:2]}"
    return ""


def no_two_acknowledged_items_clash(model: ItemsModel, state: State) -> str:
    """All that was answered with 200 is valid together, as far as nothing newer stands in its place."""
    stands: dict[str, int] = {model.known[row].name: row for row in model.base}
    for row in model.acknowledged(state):
        name = model.known[row].name
        if name not in stands or model.known[row].version > model.known[stands[name]].version:
            stands[name] = row
    return model.clashing(tuple(sorted(stands.values())))


def nothing_invalid_is_in_force(model: ItemsModel, state: State) -> str:
    """No table has two routes at one place, or a route of no service."""
    for ids in {state[2], *(barn[1] for barn in state[1])}:
        why = model.unsound(ids)
        if why:
            return why
    return ""


def copies_agree_at_the_end(model: ItemsModel, state: State) -> str:
    """Once every barn has heard every other, in whatever order, all have the same."""
    return model.agreed(frozenset(barn[1] for barn in state[1]))


def acknowledged_items_stay_in_force(model: ItemsModel, state: State) -> str:
    """Nothing without an answer of 200 holds out what has one."""
    out = model.held_out(model.stands(state))
    lost = [row for row in model.acknowledged(state) if row in out]
    return f"{model.known[lost[0]][:2]} is held out of force" if lost else ""


def nobody_goes_back(model: ItemsModel, state: State, follower: State) -> str:
    """No barn within one life, and no stile, has a lower version of a name than before."""
    pairs = [(state[2], follower[2])]
    if state[3][:2] == follower[3][:2]:  # no process ended
        pairs += [(old[1], new[1]) for old, new in zip(state[1], follower[1], strict=True)]
    for old, new in pairs:
        for row in old if new != old else ():
            if not model.covers(new, row):
                return f"{model.known[row][:2]} was there"
    return ""


PROPERTIES: tuple[Property, ...] = (
    acknowledged_items_are_kept, acknowledged_items_are_read, no_two_acknowledged_items_clash,
    nothing_invalid_is_in_force, copies_agree_at_the_end,
)  # fmt: skip
STEP_PROPERTIES: tuple[StepProperty, ...] = (nobody_goes_back,)
