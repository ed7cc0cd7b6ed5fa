"""From a judgement to a verdict: pass, fail or void, with reasons. Pure."""

from __future__ import annotations

import statistics
from collections.abc import Sequence

from rehearsal.judge import RULES, Judgement, Sample
from rehearsal.plan import Plan

PASS, FAIL, VOID = "pass", "fail", "void"
EXIT = {PASS: 0, FAIL: 1, VOID: 3}


def verdict(
    plan: Plan,
    found: Judgement,
    samples: Sequence[Sample],
    late_ms: float,
    troubles: Sequence[str],
    void: Sequence[str],
    sidecar: bool = True,
) -> tuple[str, list[str]]:
    """What the play was, and why. `troubles` are the daemons', `void` what spoilt the play itself.

    A rig that ran late says nothing of the daemon, neither good nor bad: void comes before everything else.
    """
    aims = plan.scenario.criteria
    reasons = list(void)
    if late_ms > aims.rig_late_ms:
        reasons.append(
            f"the rig itself ran {late_ms:.1f} ms late (99th percentile), {aims.rig_late_ms:g} allowed"
        )
    if reasons:
        return VOID, reasons
    for rule in RULES:
        count = found.count(rule)
        if count:
            kinds = sorted({b.what.partition(" (")[0] for b in found.breaches if b.rule == rule})
            reasons.append(f"rule {rule} broken {count} times: {'; '.join(kinds)[:200]}")
    if found.unreadable:
        reasons.append(f"nodes were sent {found.unreadable} times what they can't read")
    reasons += troubles
    probes = found.probes / max(1, len(found.ends))
    for name, value, least in (
        ("served_worth", found.whole, aims.served_worth),
        ("weighted", found.weighted, aims.weighted),
        ("worst_10s", found.worst_10s, aims.worst_10s),
        ("worst_class", found.worst_class, aims.worst_class),
        ("worst_member", found.worst_member, aims.worst_member),
    ):
        if value < least:
            reasons.append(f"{name} is {value:.3f}, at least {least:g} is asked")
    for name, value, most in (
        ("cross_hall", found.cross_hall, aims.cross_hall),
        ("probes_per_request", probes, aims.probes_per_request),
        ("bad_clients_unheard", found.bad["unheard"] / max(1, found.bad["asked"]), aims.bad_clients_unheard),
    ):
        if value > most:
            reasons.append(f"{name} is {value:.3f}, at most {most:g} is allowed")
    if sidecar:
        growth = memory_growth(samples, plan.seconds)
        if growth > aims.memory_growth_mb:
            reasons.append(f"memory_growth_mb is {growth:.1f}, at most {aims.memory_growth_mb:g} is allowed")
    return (FAIL, reasons) if reasons else (PASS, [])


def quarters(samples: Sequence[Sample], seconds: float, of: str) -> list[float]:
    """The most that any daemon had, in each quarter of the play."""
    most = [0.0] * 4
    for sample in samples:
        quarter = min(3, max(0, int(sample.t_us / 1e6 / seconds * 4)))
        most[quarter] = max(most[quarter], float(getattr(sample, of)))
    return [round(value, 2) for value in most]


def memory_growth(samples: Sequence[Sample], seconds: float) -> float:
    """How much the memory of the worst daemon grew from the second quarter to the last, median to median."""
    by_daemon: dict[int, list[Sample]] = {}
    for sample in samples:
        by_daemon.setdefault(sample.daemon, []).append(sample)
    worst = 0.0
    for rows in by_daemon.values():
        second = [s.memory_mb for s in rows if 0.25 <= s.t_us / 1e6 / seconds < 0.5]
        last = [s.memory_mb for s in rows if 0.75 <= s.t_us / 1e6 / seconds < 1.0]
        if second and last:
            worst = max(worst, statistics.median(last) - statistics.median(second))
    return worst
