"""One history of all processes of a play: when each ran, what befell it, and what each held of each other.

Joined by the rig's clock: the daemons' log lines carry the machine's monotonic clock, and the rig counts
by the same. Times are microseconds of the play.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from rehearsal.fabric import rules
from rehearsal.judge import Records
from rehearsal.plan import Plan

GONE = ("dead", "left")
STATUS = {"alive": "alive", "restarted": "alive", "suspect": "suspect", "dead": "dead", "left": "left"}


@dataclass(frozen=True, slots=True)
class Span:
    """From a time to another."""

    start: int
    end: int

    def holds(self, t: int) -> bool:
        return self.start <= t < self.end


class History:
    """What is known of a play, as questions that invariants ask."""

    def __init__(self, plan: Plan, records: Records) -> None:
        part = plan.scenario.fleet
        assert part is not None
        self.plan, self.count, self._fleets = plan, len(plan.daemons), part.fleets
        self.known_us, self.agree_us = int(part.known_s * 1e6), int(part.agree_s * 1e6)
        self.end = int(plan.seconds * 1e6)
        self.up: dict[int, list[Span]] = {n: [] for n in range(self.count)}  # from ready to its end
        self.stalls: dict[int, list[Span]] = {n: [] for n in range(self.count)}
        self.twins: dict[int, list[Span]] = {n: [] for n in range(self.count)}
        self.changes: list[int] = []  # instants at which something was done to the fleet
        self._lives(records)
        self.links: list[tuple[int, Span]] = []  # by number of the fault, while it is on
        self._links(records)
        self._rules = rules(plan)
        self.told = sorted(records.fleet, key=lambda row: row[0])
        self._views: dict[tuple[int, int], list[tuple[int, str]]] = {}
        for t, who, event, fields in self.told:
            if event == "started":
                for other in range(self.count):
                    self._views.setdefault((who, other), []).append((t, "unknown"))
            elif event in STATUS:
                named = self.number(fields.get("member", ""))
                if named is not None:
                    self._views.setdefault((who, named), []).append((t, STATUS[event]))

    def _lives(self, records: Records) -> None:
        began: dict[tuple[int, str], int] = {}
        for life in sorted(records.lives, key=lambda life: life.t_us):
            n, t, what = life.daemon, life.t_us, life.what
            if what != "start":
                self.changes.append(t)
            if what == "ready":
                began.setdefault((n, "up"), max(0, t))
            elif what in ("killed", "crashed", "restart", "stopped") and (n, "up") in began:
                self.up[n].append(Span(began.pop((n, "up")), t))
            elif what in ("stalled", "twin"):
                began[n, what] = t
            elif what in ("woke", "single"):
                kind = "stalled" if what == "woke" else "twin"
                (self.stalls if what == "woke" else self.twins)[n].append(Span(began.pop((n, kind), 0), t))
        for (n, what), t in began.items():
            {"up": self.up, "stalled": self.stalls, "twin": self.twins}[what][n].append(Span(t, self.end))

    def _links(self, records: Records) -> None:
        began: dict[int, int] = {}
        for t, number, on in records.fabric:
            self.changes.append(t)
            if on:
                began.setdefault(number, t)
            elif number in began:
                self.links.append((number, Span(began.pop(number), t)))
        self.links += [(number, Span(t, self.end)) for number, t in began.items()]

    def same(self, one: int, other: int) -> bool:
        """Whether two are of one fleet."""
        return (one - other) % self._fleets == 0

    def number(self, name: str) -> int | None:
        """The number of a daemon by its name; None for one that is not of this play."""
        digits = name.removeprefix("d")
        return int(digits) if digits.isdigit() and int(digits) < self.count else None

    def runs(self, n: int, t: int) -> bool:
        """Whether a daemon runs at a time, and is neither stalled nor double."""
        return any(s.holds(t) for s in self.up[n]) and not any(
            s.holds(t) for s in (*self.stalls[n], *self.twins[n])
        )

    def whole(self, n: int, start: int, end: int) -> bool:
        """Whether it ran all the time between."""
        return (
            any(s.start <= start and end <= s.end for s in self.up[n])
            and not any(s.start < end and start < s.end for s in (*self.stalls[n], *self.twins[n]))
        )  # fmt: skip

    def reached(self, n: int, start: int, end: int) -> bool:
        """Whether no cut touched its lines between. Loss and delay don't count as cuts."""
        for number, span in self.links:
            rule = self._rules[number]
            if span.start < end and start < span.end and rule.fault.lost >= 0.9:
                # The smaller side is what is cut off; of two halves neither can be called the fleet.
                here, there = len(rule.here), len(rule.there)
                touched = (
                    rule.here if here < there else rule.there if there < here else rule.here | rule.there
                )
                if n in touched:
                    return False
        return True

    def held(self, who: int, of: int, t: int) -> str:
        """What one held of another at a time."""
        found = "unknown"
        for at, status in self._views.get((who, of), ()):
            if at > t:
                break
            found = status
        return found

    def holds(self, who: int, of: int) -> Iterator[tuple[Span, str]]:
        """What one held of another, span by span."""
        rows = self._views.get((who, of), [])
        for (t, status), (after, _) in zip(rows, [*rows[1:], (self.end, "")], strict=True):
            yield Span(t, after), status
