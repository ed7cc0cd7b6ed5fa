"""What a played day was worth: served in time, by window, class and tenant, less what the fleet spent.

All figures are sums over the fleet, as its operators price it; one sidecar alone sees none of them. Units:
nanoseconds; prices and figures as shares of all worth that was asked for.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

SECOND = 1_000_000_000
WINDOW_NS = 10 * SECOND
STEP_NS = SECOND


@dataclass(slots=True)
class Asked:
    """One request of a client, over all its tries."""

    at: int
    cls: int
    tenant: int
    worth: float
    heavy: bool = False  # it costs many times the usual work
    end: str = ""  # served, late, refused, failed, or nothing yet


@dataclass(frozen=True, slots=True)
class Goal:
    """How much each view of a day counts."""

    whole: float = 0.4
    window: float = 0.15
    cls: float = 0.2
    tenant: float = 0.25


@dataclass(slots=True)
class Spent:
    """What the fleet did, counted where it was done."""

    tries: int = 0
    attempts: int = 0
    probes: int = 0
    handshakes: int = 0
    lists: int = 0
    work: float = 0.0  # of all attempts that began, nanoseconds
    wasted: float = 0.0  # of those whose answer reached nobody in time
    crossed: int = 0
    late_failed: int = 0


@dataclass(frozen=True, slots=True)
class Verdict:
    """A day in figures."""

    figure: float  # G: the goal's mix, less prices
    whole: float
    window: float
    cls: float
    tenant: float
    prices: Mapping[str, float]
    ends: Mapping[str, float]  # share of the requests
    by_class: Sequence[float] = field(default=())


def judge(
    asked: Sequence[Asked], spent: Spent, prices: Mapping[str, float], goal: Goal | None = None
) -> Verdict:
    """Mix the views of a day and take off what was spent.

    Source: the site's goal and prices; a window is the worst ten seconds, moved on by one.
    """
    goal = goal or Goal()
    if not asked:
        raise ValueError("a day without requests has no worth")
    by_class: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    by_tenant: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    steps: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    total = [0.0, 0.0]
    for request in asked:
        got = request.worth if request.end == "served" else 0.0
        for pair in (total, by_class[request.cls], by_tenant[request.tenant], steps[request.at // STEP_NS]):
            pair[0] += got
            pair[1] += request.worth
    span = WINDOW_NS // STEP_NS
    first, last = min(steps), max(steps)
    windows = []
    for start in range(first, max(first, last - span + 1) + 1):
        got, worth = (sum(steps[i][j] for i in range(start, start + span) if i in steps) for j in (0, 1))
        if worth > 0:
            windows.append(got / worth)
    shares = {name: _share(pairs.values()) for name, pairs in (("cls", by_class), ("tenant", by_tenant))}
    whole, window = total[0] / total[1], min(windows)
    count = len(asked)
    cost = {
        "waste": prices.get("waste", 0.0) * spent.wasted / max(1.0, spent.work),
        "probe": prices.get("probe", 0.0) * spent.probes / count,
        "handshake": prices.get("handshake", 0.0) * spent.handshakes / count,
        "discovery": prices.get("discovery", 0.0) * spent.lists / count,
        "crossZone": prices.get("crossZone", 0.0) * spent.crossed / count,
        "lateFail": prices.get("lateFail", 0.0) * spent.late_failed / count,
    }
    mixed = goal.whole * whole + goal.window * window + goal.cls * shares["cls"]
    mixed += goal.tenant * shares["tenant"]
    ends = Counter(request.end or "open" for request in asked)
    return Verdict(
        mixed - sum(cost.values()),
        whole,
        window,
        shares["cls"],
        shares["tenant"],
        cost,
        {name: number / count for name, number in ends.items()},
        [by_class[i][0] / by_class[i][1] for i in sorted(by_class)],
    )


def _share(pairs: Iterable[list[float]]) -> float:
    return min(got / worth for got, worth in pairs if worth > 0)
