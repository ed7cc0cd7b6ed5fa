"""Claims: claimants with one key, the controllers that grant it, and all ways they can meet.

A claimant asks some controllers or all (CLAIM), counts their answers, and runs, gives back or repeats as the
real count says; then it tells those it asked (DONE, FREE, BROKE), or dies. A controller answers "granted"
once the grant lies on its disk. Controllers crash, lose their disks and ask the others; connections are cut,
and what was on them is lost or comes late. Time goes on by steps of `parts.TICK_S` whenever it likes, so
whoever stands still is among the cases. A claim's own time may run out at a controller at any moment. The
window is taken to outlast it all.

A state is (time, claimants, controllers, faults left). Controllers are alike and sorted; tokens are alike and
swapped.
    claimant: phase, when it began, or whose answer it repeats
    controller: counts, when its disk was lost, grant, grant on disk, whole on disk, records that wait for the
    disk,
        heard by the one that recovers, tokens whose claims come late, a link to each claimant
    link: asked, on its way there, on its way back, what the claimant heard
    grant: token, mark, whose answer
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from functools import cache
from typing import Any

from mesh.state.idempotency import ClaimDecision, Grant, GrantRow, OperationStatus, Registry, grant_to_row
from verify.parts import CLAIM_S, TICK_S, Parts
from verify.search import Model, Property, State, put

NONE: tuple[Any, ...] = ()
NOBODY = -1
FAILED, GRANTED, HELD = 0, 1, 2
KINDS = ("tick", "crash", "wipe", "cut", "late", "die", "expire")
LONG = 1000.0  # the window, and longer than anything here lasts
TIME = 100.0  # a claim's own time
MAY_HAVE_RUN = ("run", "done", "lost")
OPEN = ("idle", "out", "run")
WAIT_TICKS = 2  # of TICK_S: 1.1 s


class ClaimsModel(Model):
    """`faults` says how many of each kind of KINDS may happen; with `swift` answers are heard at once; with
    `few` a claimant asks so many controllers as are enough, and the others later or not at all. `head` is
    where A is at first: "" not there yet, "granted" by one controller, or at "run" with a grant of just
    enough. With `lost` the first that granted it has just lost its disk."""

    step_properties = ()

    def __init__(
        self,
        controllers: int = 3,
        claimants: int = 2,
        faults: dict[str, int] | None = None,
        parts: Parts | None = None,
        swift: bool = False,
        few: bool = False,
        head: str = "",
        lost: bool = False,
    ) -> None:
        self.name = f"claims-{controllers}"
        self.about = f"{claimants} claimants with one key, {controllers} controllers"
        self.parts = parts or Parts()
        self.controllers, self.claimants, self.swift, self.few = controllers, claimants, swift, few
        self.head, self.lost = head, lost
        self.faults = tuple((faults or {}).get(kind, 0) for kind in KINDS)
        self.voters = self.parts.voters(1, tuple(str(at) for at in range(controllers)))
        self.swaps = list(itertools.permutations(range(claimants)))
        self.properties = PROPERTIES
        self.apply = cache(self._apply)
        self.count = cache(self._count)

    def bounds(self) -> dict[str, Any]:
        return {
            "controllers": self.controllers,
            "claimants": self.claimants,
            "answers": "at once" if self.swift else "in flight",
            "asked": "enough" if self.few else "all",
            **self._headed(),
            **{k: n for k, n in zip(KINDS, self.faults, strict=True) if n},
        }

    def _headed(self) -> dict[str, str]:
        return {"A": self.head + (" by one that lost its disk" if self.lost else "")} if self.head else {}

    # --- the mesh's own code, remembered by what goes in

    def _apply(self, grant: State, what: str, token: int, other: State = NONE) -> tuple[State, int]:
        """What a controller's registry holds of the key after one event, and whether it says it is news."""
        made: Registry = self.parts.registry(LONG)
        if grant:
            made.merge(0.0, [self._row(grant)])
        news = 1
        if what == "claim":
            stands, fresh = made.claim(0.0, "k", str(token), TIME)
            news = int(fresh)
        elif what == "done":
            news = int(made.complete(0.0, "k", str(token), token))
        elif what == "broke":
            news = int(made.mark_broken(0.0, "k", str(token)))
        elif what == "free":
            news = int(made.release(0.0, "k", str(token)))
        elif what == "take":
            if other:
                made.merge(0.0, [self._row(other)])
        elif what == "late":
            made.get(TIME + 1.0, "k")
        rows = made.rows(0.0)
        if not rows:
            return NONE, news
        _, name, mark, _, _, answer = rows[0]
        return (int(name or NOBODY), mark, NOBODY if answer is None else answer), news

    @staticmethod
    def _row(grant: State) -> GrantRow:
        token, mark, answer = grant
        until = TIME if mark == OperationStatus.CLAIMED else 0.0
        name = "" if token == NOBODY else str(token)
        return grant_to_row(
            0.0, "k", Grant(name, OperationStatus(mark), until, LONG, None if answer == NOBODY else answer)
        )

    def _count(self, heard: tuple[State, ...], ticks: int, silent: bool) -> tuple[ClaimDecision, int, bool]:
        """A claimant's verdict, the answer that it repeats, and whether others may have to be asked."""
        made = self.parts.claim(self.controllers, self.voters.write_quorum, 0.0, CLAIM_S)
        for at, told in enumerate(heard):
            if told and told[0] == GRANTED:
                made.on_granted(str(at))
            elif told and told[0] == HELD:
                name = "" if told[1] == NOBODY else str(told[1])
                made.on_held_by_other(
                    str(at), name, OperationStatus(told[2]), None if told[3] == NOBODY else told[3]
                )
            elif told:
                made.on_unavailable(str(at))
        if silent:
            for at in range(self.controllers):
                made.on_timeout(str(at))
        verdict = made.decision(ticks * TICK_S)
        return verdict, NOBODY if made.response is None else made.response, made.has_refusal

    # --- states

    def start(self) -> State:
        link = (0, NONE, NONE, NONE)
        controller = (1, NOBODY, NONE, NONE, 1, NONE, 0, NONE, (link,) * self.claimants)
        claims, controllers = [("idle", 0)] * self.claimants, [controller] * self.controllers
        if self.head:
            claims[0] = ("run" if self.head == "run" else "out", 0)
            have = self.voters.write_quorum if self.head == "run" else 1
            grant = (0, int(OperationStatus.CLAIMED), NOBODY)
            for at in range(self.controllers):
                heard = (GRANTED,) if self.head == "granted" else NONE
                links = put(
                    controller[8], 0, (1, NONE, NONE, heard) if at < have else (1, ("claim",), NONE, NONE)
                )
                held = grant if at < have else NONE
                controllers[at] = (*controller[:2], held, held, *controller[4:8], links)
        if self.lost:
            controllers[0] = (0, 0, NONE, NONE, 0, *controllers[0][5:])
        return 0, tuple(claims), tuple(controllers), self.faults

    def plain(self, state: State) -> State:
        now, claims, controllers, left = state
        if not left[1]:  # nothing is ever read from a disk again: what lies there makes no difference
            controllers = tuple(
                (
                    *controller[:3],
                    NONE,
                    controller[0],
                    tuple(row for row in controller[5] if self._awaited(row)),
                    *controller[6:],
                )
                if controller[3] or controller[5]
                else controller
                for controller in controllers
            )
        return now, claims, controllers, left

    def same(self, state: State) -> State:
        now, claims, controllers, left = state
        return min(self._swapped(now, claims, controllers, left, swap) for swap in self.swaps)

    def _awaited(self, record: State) -> bool:
        if record[0] == "whole":
            return self.parts.counts_late
        return bool(record[0] == "key" and record[2] != NOBODY)

    def _swapped(
        self, now: int, claims: State, controllers: State, left: State, swap: tuple[int, ...]
    ) -> State:
        """With tokens by other names: `swap[t]` is the new name of t."""
        order = sorted(range(len(swap)), key=swap.__getitem__)

        def new(token: int) -> int:
            return token if token == NOBODY else swap[token]

        def grant(told: State) -> State:
            return told and (new(told[0]), told[1], new(told[2]))

        def answer(told: State) -> State:
            return told and told[0] == HELD and (HELD, *grant(told[1:])) or told

        def record(told: State) -> State:
            if told[0] == "key":
                return "key", grant(told[1]), new(told[2])
            return told if told[0] == "whole" else (told[0], new(told[1]))

        if swap != tuple(range(len(swap))):
            claims = tuple(
                (claims[t][0], new(claims[t][1])) if claims[t][0] == "repeat" else claims[t] for t in order
            )
            controllers = [
                (
                    counts,
                    since,
                    grant(held),
                    grant(disk),
                    whole,
                    tuple(map(record, waiting)),
                    heard,
                    tuple(sorted(map(new, late))),
                    tuple(
                        (links[t][0], links[t][1], answer(links[t][2]), answer(links[t][3])) for t in order
                    ),
                )
                for counts, since, held, disk, whole, waiting, heard, late, links in controllers
            ]
        return now, claims, tuple(sorted(controllers)), left

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        for say, made in self._steps(state):
            if self.swift:
                made = self._all_answered(made)
            yield say, made

    def _all_answered(self, state: State) -> State:
        """With every answer heard at once."""
        for at in range(self.controllers):
            for who in range(self.claimants):
                if state[2][at][8][who][2]:
                    state = self._answered(state, at, who)
        return state

    def _steps(self, state: State) -> Iterator[tuple[str, State]]:
        now, claims, controllers, left = state
        if not any(phase in OPEN for phase, _ in claims):
            return  # nobody is left who could run, or be answered
        for who in range(len(claims)):
            yield from self._claimant(state, who)
        for at, controller in enumerate(controllers):
            for who, link in enumerate(controller[8]):
                if link[1]:
                    yield (
                        f"controller {at} hears {link[1][0].upper()} of {name(who)}",
                        self._heard(state, at, who),
                    )
                if link[2]:
                    yield (
                        f"{name(who)} hears controller {at}: {said(link[2])}",
                        self._answered(state, at, who),
                    )
            if controller[5]:
                yield f"controller {at} syncs {controller[5][0][0]}", self._synced(state, at)
            if left[6] and controller[2] and controller[2][1] == OperationStatus.CLAIMED:
                made = put(controllers, at, put(controller, 2, self.apply(controller[2], "late", 0)[0]))
                yield (
                    f"the claim of {name(controller[2][0])} runs out at controller {at}",
                    (now, claims, made, spend(left, "expire")),
                )
            yield from self._recovers(state, at)
        yield from self._faults(state)

    def _claimant(self, state: State, who: int) -> Iterator[tuple[str, State]]:
        now, claims, controllers, left = state
        phase, began = claims[who]
        if phase == "idle":
            # The others may be asked at any time after, so that to ask all at once is among the cases.
            size = self.voters.write_quorum if self.few else len(controllers)
            for asked in itertools.combinations(range(len(controllers)), size):
                made = now, put(claims, who, ("out", now)), controllers, left
                yield (
                    f"{name(who)} asks controllers {', '.join(map(str, asked))}",
                    self._ask(made, who, asked),
                )
        elif phase == "out":
            if not all(controller[8][who][0] for controller in controllers):
                yield f"{name(who)} asks the others", self._ask(state, who, range(len(controllers)))
            yield f"{name(who)} waits no longer", self._judged(state, who, True)
        elif phase == "run":
            yield f"{name(who)} has run and has its answer", self._ends(state, who, "done", "done")
            yield f"{name(who)} may have run, and has no answer", self._ends(state, who, "lost", "broke")
            yield f"{name(who)} is given back before it ran", self._ends(state, who, "back", "free")

    @staticmethod
    def _ask(state: State, who: int, asked: Any) -> State:
        now, claims, controllers, left = state
        rows = [
            put(controller, 8, put(controller[8], who, (1, ("claim",), NONE, NONE)))
            if at in asked and not controller[8][who][0]
            else controller
            for at, controller in enumerate(controllers)
        ]
        return now, claims, tuple(rows), left

    def _ends(self, state: State, who: int, phase: str, word: str, number: int = 0) -> State:
        """A claimant is through, and tells those that it asked."""
        now, claims, controllers, left = state
        rows = []
        for controller in controllers:
            asked, queue, _, _ = controller[8][who]
            queue = (*queue, word) if asked and word else queue
            rows.append(put(controller, 8, put(controller[8], who, (asked, queue, NONE, NONE))))
        return now, put(claims, who, (phase, number)), tuple(rows), left

    def _judged(self, state: State, who: int, silent: bool = False) -> State:
        now, claims, controllers, left = state
        heard = tuple(sorted(controller[8][who][3] for controller in controllers))
        verdict, answer, troubled = self.count(heard, now - claims[who][1], silent)
        if verdict == ClaimDecision.WAIT:
            return self._ask(state, who, range(len(controllers))) if troubled else state
        if verdict == ClaimDecision.RUN:
            return self._ends(state, who, "run", "")
        word = "free" if self.parts.frees_own else "done"
        if verdict == ClaimDecision.REPEAT:
            return self._ends(state, who, "repeat", word, answer)
        return self._ends(state, who, "over", word)

    def _answered(self, state: State, at: int, who: int) -> State:
        now, claims, controllers, left = state
        asked, queue, back, _ = controllers[at][8][who]
        controller = put(controllers[at], 8, put(controllers[at][8], who, (asked, queue, NONE, back)))
        return self._judged((now, claims, put(controllers, at, controller), left), who)

    def _heard(self, state: State, at: int, who: int) -> State:
        """A controller hears the first message on its way from a claimant."""
        now, claims, controllers, left = state
        controller = controllers[at]
        asked, queue, back, heard = controller[8][who]
        controller = put(controller, 8, put(controller[8], who, (asked, queue[1:], back, heard)))
        if queue[0] == "claim":
            controller = self._claimed(controller, who, claims[who][0] == "out")
        else:
            grant, news = self.apply(controller[2], queue[0], who)
            controller = put(controller, 2, grant)
            if news:
                record = ("key", grant, NOBODY) if queue[0] == "done" else (queue[0], who)
                controller = put(controller, 5, (*controller[5], record))
        return now, claims, put(controllers, at, controller), left

    def _claimed(self, controller: State, who: int, waits: bool) -> State:
        """As `Controller._claim`: who has it, or the grant on its way to the disk."""
        if not controller[0]:
            return self._reply(controller, who, (FAILED,)) if waits else controller
        grant, _ = self.apply(controller[2], "claim", who)
        if grant[0] != who or grant[1] != OperationStatus.CLAIMED:
            return self._reply(controller, who, (HELD, *grant)) if waits else controller
        controller = put(controller, 2, grant)
        if waits and not self.parts.synced:
            controller, waits = self._reply(controller, who, (GRANTED,)), False
        return put(controller, 5, (*controller[5], ("key", grant, who if waits else NOBODY)))

    @staticmethod
    def _reply(controller: State, who: int, told: State) -> State:
        asked, queue, _, heard = controller[8][who]
        return put(controller, 8, put(controller[8], who, (asked, queue, told, heard)))

    def _synced(self, state: State, at: int) -> State:
        now, claims, controllers, left = state
        controller = controllers[at]
        record = controller[5][0]
        controller = put(controller, 5, controller[5][1:])
        if record[0] == "key":
            controller = put(controller, 3, self.apply(controller[3], "take", 0, record[1])[0])
            who = record[2]
            if who != NOBODY and claims[who][0] == "out" and controller[8][who][0]:
                controller = self._reply(controller, who, (GRANTED,))
        elif record[0] == "whole":
            controller = put(put(put(controller, 4, 1), 0, 1), 1, NOBODY)
        else:
            controller = put(controller, 3, self.apply(controller[3], record[0], record[1])[0])
        return now, claims, put(controllers, at, controller), left

    def _recovers(self, state: State, at: int) -> Iterator[tuple[str, State]]:
        """As `Controller._recover`: hear so many others that count; then count, and have it all written."""
        now, claims, controllers, left = state
        me = controllers[at]
        if me[0] or ("whole",) in me[5]:
            return
        if not self.parts.recovers:
            yield (
                f"controller {at} counts",
                (now, claims, put(controllers, at, put(put(me, 0, 1), 4, 1)), left),
            )
            return
        if self.parts.waits and now < me[1] + WAIT_TICKS:
            return
        for other, controller in enumerate(controllers):
            if other == at or not controller[0] or controller[6]:
                continue
            rows = put(controllers, other, put(controller, 6, 1))
            made = put(me, 2, self.apply(me[2], "take", 0, controller[2])[0])
            say = f"controller {at}, whose disk was lost, hears what controller {other} has"
            if sum(row[6] for row in rows) >= self.voters.read_quorum:
                rows = tuple(put(row, 6, 0) for row in rows)
                kept = (("key", made[2], NOBODY),) if made[2] else NONE
                made = put(made, 5, (*made[5], *kept, ("whole",)))
                if not self.parts.counts_late:
                    made = put(put(made, 0, 1), 1, NOBODY)
                say += "; that is enough"
            yield say, (now, claims, put(rows, at, made), left)

    def _faults(self, state: State) -> Iterator[tuple[str, State]]:
        now, claims, controllers, left = state
        tick, crash, wipe, cut, late, die, _ = left
        if tick and any(phase == "out" for phase, _ in claims) | any(
            not controller[0] for controller in controllers
        ):
            yield f"{TICK_S} s go by", (now + 1, claims, controllers, spend(left, "tick"))
        for who, (phase, _) in enumerate(claims):
            if die and phase in ("out", "run"):
                made = self._ends(state, who, "dead" if phase == "out" else "lost", "")
                yield f"{name(who)} dies", (*made[:3], spend(left, "die"))
        for at, controller in enumerate(controllers):
            if crash:
                yield f"controller {at} crashes and starts again", self._restarted(state, at, False)
            if wipe and all(other[0] for other in controllers):
                yield f"controller {at} loses its disk and starts again", self._restarted(state, at, True)
            for who, (asked, queue, back, heard) in enumerate(controller[8]):
                if not (cut or late) or not (queue or back):
                    continue
                lost = (FAILED,) if claims[who][0] == "out" and not heard else heard
                made = put(controller, 8, put(controller[8], who, (asked, NONE, NONE, lost)))
                if cut:
                    then = now, claims, put(controllers, at, made), spend(left, "cut")
                    if lost != heard:
                        then = self._judged(then, who)
                    yield f"what is between {name(who)} and controller {at} is lost", then
                if late and queue and queue[0] == "claim":
                    made = put(made, 7, tuple(sorted((*controller[7], who))))
                    then = now, claims, put(controllers, at, made), spend(left, "late")
                    if lost != heard:
                        then = self._judged(then, who)
                    yield f"CLAIM of {name(who)} to controller {at} stays behind on an older connection", then
            for who in sorted(set(controller[7])):
                rest = list(controller[7])
                rest.remove(who)
                made = self._claimed(put(controller, 7, tuple(rest)), who, False)
                yield (
                    f"controller {at} hears the late CLAIM of {name(who)}",
                    (now, claims, put(controllers, at, made), left),
                )

    def _restarted(self, state: State, at: int, wiped: bool) -> State:
        now, claims, controllers, left = state
        controller = controllers[at]
        disk, whole = (NONE, 0) if wiped else (controller[3], controller[4])
        links = tuple((asked, NONE, back, heard) for asked, _, back, heard in controller[8])
        since = NOBODY if whole else now
        rows = put(controllers, at, (whole, since, disk, disk, whole, NONE, 0, NONE, links))
        if not controller[0] or wiped:  # whoever asked has to ask again
            rows = tuple(put(row, 6, 0) for row in rows)
        made = now, claims, rows, spend(left, "wipe" if wiped else "crash")
        for who, (asked, _, back, heard) in enumerate(links):
            if claims[who][0] == "out" and asked and not back and not heard:
                rows = made[2]
                link = put(rows[at][8], who, (1, NONE, NONE, (FAILED,)))
                made = self._judged((made[0], made[1], put(rows, at, put(rows[at], 8, link)), made[3]), who)
        return made


def name(token: int) -> str:
    """A claimant, as it is printed."""
    return "nobody" if token == NOBODY else "ABCDEF"[token]


def said(told: State) -> str:
    """An answer to a claim, as it is printed."""
    if told[0] != HELD:
        return "granted" if told[0] == GRANTED else "can't"
    return f"{OperationStatus(told[2]).name.lower()}, {name(told[1])}'s"


def spend(left: tuple[int, ...], kind: str) -> tuple[int, ...]:
    """One fault less."""
    at = KINDS.index(kind)
    return put(left, at, left[at] - 1)


# --- properties


def never_two_runs(model: ClaimsModel, state: State) -> str:
    """Of all claims of one key one at most is at work or has an answer."""
    runs = [name(who) for who, (phase, _) in enumerate(state[1]) if phase in ("run", "done")]
    return f"{' and '.join(runs)} run" if len(runs) > 1 else ""


def what_may_have_run_is_never_followed_by_a_run(model: ClaimsModel, state: State) -> str:
    """A claim that ended without an answer, and may have run, is the last to run."""
    runs = [name(who) for who, (phase, _) in enumerate(state[1]) if phase in MAY_HAVE_RUN]
    lost = [name(who) for who, (phase, _) in enumerate(state[1]) if phase == "lost"]
    return f"{lost[0]} may have run, and so may {len(runs) - 1} more" if lost and len(runs) > 1 else ""


def a_repeat_gets_the_answer_of_the_run(model: ClaimsModel, state: State) -> str:
    """Whoever is answered without a run gets what the one run made."""
    for who, (phase, answer) in enumerate(state[1]):
        if phase == "repeat" and state[1][answer][0] != "done":
            return f"{name(who)} gets an answer of {name(answer)}, which has none"
    return ""


def a_grant_that_ran_is_known_to_enough(model: ClaimsModel, state: State) -> str:
    """While a claim may have run, too few controllers that count could grant another."""
    for who, (phase, _) in enumerate(state[1]):
        if phase in MAY_HAVE_RUN:
            open_ = sum(1 for controller in state[2] if controller[0] and not controller[2])
            if open_ >= model.voters.write_quorum:
                return f"{open_} controllers would grant the key of {name(who)}"
    return ""


PROPERTIES: tuple[Property, ...] = (
    never_two_runs,
    what_may_have_run_is_never_followed_by_a_run,
    a_repeat_gets_the_answer_of_the_run,
    a_grant_that_ran_is_known_to_enough,
)
