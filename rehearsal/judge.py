"""The judge: what clients and nodes recorded, against the four rules, and the worth that was served. Pure.

It is independent of the daemon: it sees what clients sent and were answered, what nodes were sent and did,
and what the node list told, and nothing that a daemon says of itself. Rows are lists as the rig's processes
write them; times are microseconds of the play.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from rehearsal.clients.policy import BROKEN, FAILED, LEFT, REFUSED, SERVED, SILENT, TOLD, UNTAKEN, WRONG
from rehearsal.plan import FOREVER, Plan

SOCKETS_US = 50_000  # what every time limit is longer by on sockets (the platform's protocol)
WATCH_US = 2_000_000  # how long after the end of its wait a call that waits may still tell
EXAMPLES = 5
WINDOW_S = 10
RULES = ("lost", "repeated", "drained", "cold")
KNOWN_NOT_RUN = frozenset({"away", "late"})
WEIGHTS = {"whole": 0.40, "worst_10s": 0.15, "worst_class": 0.20, "worst_member": 0.25}


class Sent(NamedTuple):
    """One try of a client."""

    call: int
    number: int
    daemon: int
    sent: int
    end: int
    outcome: str  # as the client saw it when it went on
    final: str  # what came after all, within the grace
    status: int
    final_at: int
    rid: str
    retry_after: int | None


class Got(NamedTuple):
    """One attempt at a node."""

    rid: str
    node: int
    door: int
    first: int
    whole: int
    began: int
    ended: int
    answered: int
    how: str


class Life(NamedTuple):
    """What happened to one daemon's process, planned or not: killed, restart, ready, crashed."""

    daemon: int
    t_us: int
    what: str


class Sample(NamedTuple):
    """What one daemon's process held and used."""

    t_us: int
    daemon: int
    memory_mb: float
    descriptors: int
    cpu_s: float


@dataclass(slots=True)
class Records:
    """All that a play left behind."""

    tries: list[Sent] = field(default_factory=list)
    attempts: list[Got] = field(default_factory=list)
    told: list[tuple[int, int, int, str]] = field(default_factory=list)  # daemon, t, node, status
    surplus: list[tuple[str, int]] = field(default_factory=list)
    falls: list[tuple[int, int]] = field(default_factory=list)  # node, t
    aliens: list[tuple[int, int, str]] = field(default_factory=list)  # node, t, id
    bad: list[tuple[int, int, str, int, int]] = field(
        default_factory=list
    )  # daemon, began, kind, heard, status
    doors: list[tuple[int, int, int, int]] = field(default_factory=list)  # node, hall, probes, handshakes
    nodes: list[tuple[int, int, int]] = field(default_factory=list)  # node, jams, unreadable
    loads: list[tuple[int, int, int, int]] = field(default_factory=list)  # node, t, held, jammed
    outages: list[tuple[int, int]] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    # t, daemon, event, fields
    fleet: list[tuple[int, int, str, dict[str, Any]]] = field(default_factory=list)
    fabric: list[tuple[int, int, int]] = field(default_factory=list)  # t, number of the fault, on

    def take(self, rows: Iterable[Sequence[Any]]) -> None:
        """Sort rows, as the rig's processes write them, by what they are."""
        for kind, *row in rows:
            if kind == "try":
                self.tries.append(Sent(*row))
            elif kind == "attempt":
                self.attempts.append(Got(*row))
            elif kind == "told":
                self.told.append((row[0], row[1], row[2], row[3]))
            elif kind == "surplus":
                self.surplus.append((row[0], row[1]))
            elif kind == "fell":
                self.falls.append((row[0], row[1]))
            elif kind == "alien":
                self.aliens.append((row[0], row[1], row[2]))
            elif kind == "bad":
                self.bad.append((row[0], row[1], row[2], row[3], row[4]))
            elif kind == "door":
                self.doors.append((row[0], row[1], row[2], row[3]))
            elif kind == "node":
                self.nodes.append((row[0], row[1], row[2]))
            elif kind == "load":
                self.loads.append((row[0], row[1], row[2], row[3]))
            elif kind == "outage":
                self.outages.append((row[0], row[1]))
            elif kind == "life":
                self.lives.append(Life(*row))
            elif kind == "sample":
                self.samples.append(Sample(*row))
            elif kind == "fleet":
                self.fleet.append((row[0], row[1], row[2], row[3]))
            elif kind == "fabric":
                self.fabric.append((row[0], row[1], row[2]))


class Breach(NamedTuple):
    """One broken rule."""

    rule: str
    what: str
    t_us: int
    rid: str = ""
    daemon: int = -1
    node: int = -1


@dataclass(slots=True)
class Tally:
    """What was asked of one class or member, and what came of it."""

    offered: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    left: int = 0
    asked_worth: float = 0.0
    served_worth: float = 0.0

    def ratio(self) -> float:
        """Worth served over worth asked; 1 where nothing was."""
        return self.served_worth / self.asked_worth if self.asked_worth else 1.0

    def as_json(self) -> dict[str, Any]:
        return {
            "served_worth": round(self.ratio(), 4),
            "offered": self.offered,
            "on_time": self.on_time,
            "late": self.late,
            "refused": self.refused,
            "failed": self.failed,
            "left": self.left,
        }


class CallEnd(NamedTuple):
    """How one call ended for its client."""

    call: int
    how: str  # on_time, late, refused, failed, left
    latency_us: int  # from when it was due to its answer, or to its end


@dataclass(slots=True)
class Judgement:
    """All that the judge has to say."""

    breaches: list[Breach]
    ends: list[CallEnd]
    whole: float
    worst_10s: float
    weighted: float
    worst_class: float
    worst_member: float
    classes: dict[str, Tally]
    members: dict[str, Tally]
    within: dict[str, Tally]  # members, within their shares
    protocols: dict[str, Tally]  # what calls came over
    cross_hall: float
    probes: int
    attempts: int
    handshakes: int
    unreadable: int  # how often nodes were sent what they can't read
    bad: dict[str, int]

    def count(self, rule: str) -> int:
        """How often a rule was broken."""
        return sum(1 for breach in self.breaches if breach.rule == rule)


def judge(plan: Plan, records: Records, sidecar: bool = True, until_us: int = FOREVER) -> Judgement:
    """Judge a play, or as much of one as was played. Without a sidecar nobody has promised an answer."""
    breaches = [*_repeated(plan, records), *_drained(plan, records), *_cold(records)]
    if sidecar:
        breaches += _lost(plan, records)
    breaches.sort(key=lambda b: (b.t_us, b.rule, b.rid))
    ends = _ends(plan, records, until_us)
    classes, members, within = (
        {name: Tally() for name in names} for names in (plan.classes, plan.members, plan.members)
    )
    spoken = {"http", *("thrift" for call in plan.calls if call.speaks)}
    protocols = {name: Tally() for name in sorted(spoken)}
    whole = Tally()
    by_second: dict[int, Tally] = defaultdict(Tally)
    for end in ends:
        call = plan.calls[end.call]
        worth = worth_of(plan, end.call)
        tallies = [
            whole,
            by_second[call.due_us // 1_000_000],
            classes[plan.classes[call.cls]],
            members[plan.members[call.member]],
            protocols["thrift" if call.speaks else "http"],
        ]
        if not call.over:
            tallies.append(within[plan.members[call.member]])
        for tally in tallies:
            tally.offered += 1
            tally.asked_worth += worth
            setattr(tally, end.how, getattr(tally, end.how) + 1)
            if end.how == "on_time":
                tally.served_worth += worth
    figures = {
        "whole": whole.ratio(),
        "worst_10s": worst_window(by_second, min(plan.seconds, until_us / 1e6)),
        "worst_class": min((t.ratio() for t in classes.values() if t.offered), default=1.0),
        "worst_member": min((t.ratio() for t in within.values() if t.offered), default=1.0),
    }
    crossed = sum(1 for a in records.attempts if plan.nodes[a.node].hall != a.door)
    return Judgement(
        breaches,
        ends,
        figures["whole"],
        figures["worst_10s"],
        sum(weight * figures[key] for key, weight in WEIGHTS.items()),
        figures["worst_class"],
        figures["worst_member"],
        classes,
        members,
        within,
        protocols,
        crossed / len(records.attempts) if records.attempts else 0.0,
        sum(door[2] for door in records.doors),
        len(records.attempts),
        sum(door[3] for door in records.doors),
        sum(unreadable for _, _, unreadable in records.nodes),
        _bad(records),
    )


def worth_of(plan: Plan, number: int) -> float:
    """What one call is worth: less beyond its member's share."""
    call = plan.calls[number]
    worth = list(plan.scenario.classes.values())[call.cls].worth
    return worth * plan.scenario.arrivals.over_share_worth if call.over else worth


def worst_window(by_second: dict[int, Tally], seconds: float) -> float:
    """The least served worth in any ten seconds that begin with a whole one; of all where there are fewer."""
    last = max(0, math.ceil(seconds) - WINDOW_S)
    worst = 1.0
    for first in range(last + 1):
        asked = served = 0.0
        for second in range(first, first + WINDOW_S):
            if second in by_second:
                asked += by_second[second].asked_worth
                served += by_second[second].served_worth
        if asked:
            worst = min(worst, served / asked)
    return worst


# --- how calls ended


def _ends(plan: Plan, records: Records, until_us: int) -> list[CallEnd]:
    """One end for each call that was due in what was played: retries join their first try."""
    by_call: dict[int, list[Sent]] = defaultdict(list)
    for sent in records.tries:
        by_call[sent.call].append(sent)
    aims = [int(c.aim_ms * 1000) for c in plan.scenario.classes.values()]
    ended = {a.rid: a.ended for a in records.attempts if a.ended >= 0}
    ends = []
    for number, call in enumerate(plan.calls):
        if call.due_us >= until_us:
            break
        tries = sorted(by_call.get(number, ()), key=lambda s: s.end)
        if not tries:
            ends.append(CallEnd(number, "failed", 0))
            continue
        last = tries[-1]
        latency = last.end - call.due_us
        if last.outcome == SERVED:
            how = "on_time" if latency <= aims[call.cls] else "late"
        elif last.outcome == LEFT:
            how = "left"
        elif last.outcome == TOLD:
            # Its client hears nothing more: what counts is whether a node did the work, and when.
            latency = ended.get(last.rid, last.end) - call.due_us
            on_time = "on_time" if latency <= aims[call.cls] else "late"
            how = on_time if last.rid in ended else "refused"
        else:
            how = "refused" if last.outcome in (REFUSED, UNTAKEN) else "failed"
        ends.append(CallEnd(number, how, latency))
    return ends


# --- rule: exactly one final answer, in time


def _lost(plan: Plan, records: Records) -> list[Breach]:
    ran = {a.rid for a in records.attempts if a.began >= 0}
    kills: dict[int, list[int]] = defaultdict(list)
    for life in records.lives:
        if life.what in ("killed", "crashed"):
            kills[life.daemon].append(life.t_us)
        elif life.what == "stalled":
            # Nothing is answered by a process that the rig has stopped: marks that any try meets within it.
            woke = (x.t_us for x in records.lives if x.daemon == life.daemon and x.what == "woke")
            until = min((t for t in woke if t >= life.t_us), default=life.t_us)
            kills[life.daemon] += range(life.t_us, until + 100_000, 100_000)
    found = []
    answered: dict[str, Sent] = {}
    for sent in records.tries:
        if sent.sent < 0:
            continue  # never taken
        if sent.outcome in (SERVED, REFUSED, FAILED):
            answered[sent.rid] = sent
        if sent.final == SERVED and sent.rid not in ran:
            found.append(Breach("lost", "served, and no node has run it", sent.end, sent.rid, sent.daemon))
        elif sent.final == WRONG:
            found.append(
                Breach("lost", "served with what no node made for it", sent.end, sent.rid, sent.daemon)
            )
        elif sent.final == SILENT:
            what = "no answer within the client's time"
        elif sent.final == BROKEN and not sent.status:
            what = "its connection ended with no answer"
        else:
            continue
        if sent.final in (SILENT, BROKEN) and not any(
            sent.sent - SOCKETS_US <= at <= sent.final_at + SOCKETS_US for at in kills[sent.daemon]
        ):
            found.append(Breach("lost", what, sent.end, sent.rid, sent.daemon))
    daemons = {sent.rid: sent.daemon for sent in records.tries}
    for rid, at in records.surplus:
        found.append(Breach("lost", "more than one answer", at, rid, daemons.get(rid, -1)))
    for attempt in records.attempts:
        end = answered.get(attempt.rid)
        if end is not None and attempt.first > end.end + SOCKETS_US:
            found.append(
                Breach(
                    "lost",
                    "sent on after its final answer",
                    attempt.first,
                    attempt.rid,
                    end.daemon,
                    attempt.node,
                )
            )
    for node, at, rid in records.aliens:
        found.append(Breach("lost", "a node was sent what no client asked", at, rid, -1, node))
    for daemon, began, kind, _, status in records.bad:
        if status == 200:
            found.append(Breach("lost", f"a bad client ({kind}) was served", began, "", daemon))
    return found


# --- rule: no effect twice


def _same_group(plan: Plan, group: str, one: int, other: int) -> bool:
    a, b = plan.nodes[one], plan.nodes[other]
    return one == other or group == "all" or (a.hall == b.hall if group == "zone" else a.cell == b.cell)


def _repeated(plan: Plan, records: Records) -> list[Breach]:
    """An attempt that came in whole may have run, unless its node said that it had not, and had said so
    before the next one was sent."""
    by_rid: dict[str, list[Got]] = defaultdict(list)
    for attempt in records.attempts:
        by_rid[attempt.rid].append(attempt)
    kinds = list(plan.scenario.classes.values())
    found = []
    for sent in records.tries:
        kind = kinds[plan.calls[sent.call].cls]
        attempts = by_rid.get(sent.rid)
        if kind.repeat == "free" or not attempts:
            continue
        attempts.sort(key=lambda a: a.first)
        open_ones: list[Got] = []
        for attempt in attempts:
            for before in open_ones:
                if before.how in KNOWN_NOT_RUN and before.answered <= attempt.first:
                    continue
                if (
                    kind.repeat == "keyed"
                    and _same_group(plan, kind.group, before.node, attempt.node)
                    and (attempt.first - before.first <= kind.window_ms * 1000 + SOCKETS_US)
                ):
                    continue
                both = before.began >= 0 and attempt.began >= 0
                what = "ran twice" if both else f"sent again though it may have run ({before.how})"
                found.append(Breach("repeated", what, attempt.first, sent.rid, sent.daemon, attempt.node))
                break
            open_ones.append(attempt)
        maybe = [a for a in attempts if a.how not in KNOWN_NOT_RUN]
        if sent.final == REFUSED and maybe:
            what = (
                "refused though it ran"
                if any(a.began >= 0 for a in maybe)
                else "refused though it may have run"
            )
            found.append(Breach("repeated", what, sent.end, sent.rid, sent.daemon, maybe[0].node))
    return found


# --- rule: drains are kept


def _drained(plan: Plan, records: Records) -> list[Breach]:
    """Nothing new to a node later than the grace after the daemon was told, or must have asked."""
    grace = int(plan.scenario.daemon.drain_grace_ms * 1000) + SOCKETS_US
    history: dict[tuple[int, int], list[tuple[int, str]]] = defaultdict(list)
    for daemon, at, node, status in records.told:
        history[daemon, node].append((at, status))
    for daemon, at, node, status in _must_know(plan, records, history):
        history[daemon, node].append((at, status))
    for known in history.values():
        known.sort()
    daemons = {sent.rid: sent.daemon for sent in records.tries}
    found = []
    for attempt in records.attempts:
        sender = daemons.get(attempt.rid)
        rows = history.get((sender, attempt.node)) if sender is not None else None
        if not rows or sender is None:
            continue
        last = bisect_right(rows, (attempt.first, "~")) - 1
        if last < 0 or rows[last][1] == "SERVING":
            continue
        first = last  # when it was told first: DRAINING, then DELETED
        while first > 0 and rows[first - 1][1] != "SERVING":
            first -= 1
        if attempt.first > rows[first][0] + grace:
            after_s = (attempt.first - rows[first][0]) / 1e6
            what = f"sent after the grace ({after_s:.2f} s after it was told: {rows[first][1]})"
            found.append(Breach("drained", what, attempt.first, attempt.rid, sender, attempt.node))
    return found


def _must_know(
    plan: Plan, records: Records, history: dict[tuple[int, int], list[tuple[int, str]]]
) -> Iterable[tuple[int, int, int, str]]:
    """What counts as told though it was not: a daemon has to ask often enough, where the list can be
    reached."""
    wait = int(plan.scenario.list.must_ask_s * 1e6) + WATCH_US
    cuts: dict[int, list[tuple[int, int]]] = defaultdict(list)
    for event in plan.events:
        if event.target == "hall":
            if event.value:
                cuts[event.which].append((event.t_us, FOREVER))
            else:
                cuts[event.which][-1] = (cuts[event.which][-1][0], event.t_us)
    down: dict[int, list[tuple[int, int]]] = defaultdict(list)
    for life in records.lives:
        if life.what in ("killed", "restart", "crashed"):
            down[life.daemon].append((life.t_us, FOREVER))
        elif life.what == "ready" and down[life.daemon]:
            down[life.daemon][-1] = (down[life.daemon][-1][0], life.t_us)
    later = {}
    for i, news in enumerate(plan.news):
        later[i] = (
            next(
                (n.t_us for n in plan.news[i + 1 :] if n.node == news.node and n.status == "SERVING"), FOREVER
            )
            if news.status != "SERVING"
            else 0
        )
    for daemon, hall in enumerate(plan.daemons):
        blind = sorted([*records.outages, *cuts[hall], *down[daemon]])
        for i, news in enumerate(plan.news):
            if news.status == "SERVING":
                continue
            latest = news.t_us + wait
            for start, end in blind:
                if start <= latest and end >= news.t_us:
                    latest = max(latest, end + wait)
            told = any(
                news.t_us <= at <= latest and status != "SERVING"
                for at, status in history.get((daemon, news.node), ())
            )
            if not told and latest < min(later[i], FOREVER):
                yield daemon, latest, news.node, news.status


# --- rule: no cold server is pushed over


def _cold(records: Records) -> list[Breach]:
    return [Breach("cold", "pushed over while cold", at, "", -1, node) for node, at in records.falls]


# --- bad clients


def _bad(records: Records) -> dict[str, int]:
    owed = 3_000_000 + SOCKETS_US
    return {
        "asked": len(records.bad),
        "unheard": sum(1 for _, began, _, heard, _ in records.bad if heard < 0 or heard - began > owed),
        "served": sum(1 for row in records.bad if row[4] == 200),
    }


# --- the story of one request


def timeline(plan: Plan, records: Records, breach: Breach) -> list[str]:
    """What client, daemon and nodes did about one request, in order of time."""
    rows: list[tuple[int, str]] = []
    nodes = {breach.node} if breach.node >= 0 else set()
    for sent in records.tries:
        if breach.rid and sent.rid == breach.rid:
            kind, member = plan.classes[plan.calls[sent.call].cls], plan.members[plan.calls[sent.call].member]
            rows.append(
                (sent.sent, f"client of {member}: {kind}, try {sent.number}, to daemon d{sent.daemon}")
            )
            rows.append(
                (sent.end, f"client: {sent.outcome}" + (f", status {sent.status}" if sent.status else ""))
            )
            if sent.final != sent.outcome or sent.final_at != sent.end:
                rows.append((sent.final_at, f"client: after all {sent.final}"))
    for attempt in records.attempts:
        if breach.rid and attempt.rid == breach.rid:
            name = plan.nodes[attempt.node].name
            nodes.add(attempt.node)
            rows.append(
                (attempt.first, f"daemon sends to node {name}; its last byte came {_ms(attempt.whole)}")
            )
            if attempt.began >= 0:
                rows.append((attempt.began, f"node {name}: begins"))
            at = attempt.answered if attempt.answered >= 0 else max(attempt.whole, attempt.ended)
            rows.append((at, f"node {name}: {attempt.how}"))
    for daemon, at, node, status in records.told:
        if node in nodes and (breach.daemon in (-1, daemon)):
            rows.append((at, f"list tells d{daemon}: {plan.nodes[node].name} is {status}"))
    for node, at in records.falls:
        if node in nodes:
            rows.append(
                (
                    at,
                    f"node {plan.nodes[node].name}: falls over, {(at - plan.nodes[node].born_us) / 1e6:.2f}"
                    " s old by the plan",
                )
            )
    rows.sort()
    return [f"{_ms(at)}  {what}" for at, what in rows[:40]]


def _ms(us: int) -> str:
    return f"{us / 1000:.1f} ms"
