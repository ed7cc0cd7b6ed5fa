"""The report as JSON. Its keys are documented in docs/operators/rehearsal.md and only ever added to. Pure."""

from __future__ import annotations

import platform
from importlib import metadata
from typing import Any

from rehearsal.criteria import memory_growth, quarters, verdict
from rehearsal.history import History
from rehearsal.invariants import ALL
from rehearsal.judge import EXAMPLES, RULES, Judgement, Records, judge, timeline
from rehearsal.plan import Plan
from rehearsal.play import Played

FORMAT = 1


def versions() -> dict[str, str]:
    """What played."""
    found = {"python": platform.python_version(), "system": f"{platform.system()} {platform.machine()}"}
    for name in ("hollyport", "uvloop", "httptools"):
        try:
            found[name] = metadata.version(name)
        except metadata.PackageNotFoundError:
            found[name] = "source tree"
    return found


def report(plan: Plan, played: Played, against: str | None) -> tuple[dict[str, Any], Judgement]:
    """Judge a play and say all of it."""
    sidecar = against is None
    found = judge(plan, played.records, sidecar, played.until_us)
    late = max(played.late_ms.values(), default=0.0)
    broken = _fleet(plan, played) if sidecar and not played.void else {}
    troubles = [*played.troubles, *(f"{name}: {rows[0]}" for name, rows in broken.items() if rows)]
    said, reasons = verdict(plan, found, played.records.samples, late, troubles, played.void, sidecar)
    return {
        "format": FORMAT,
        "verdict": said,
        "reasons": reasons,
        "scenario": plan.name,
        "title": plan.scenario.title,
        "scale": plan.scale,
        "seed": plan.seed,
        "plan": plan.digest(),
        "against": against,
        "served_worth": round(found.whole, 4),
        "weighted": round(found.weighted, 4),
        "worst_10s": round(found.worst_10s, 4),
        "worst_class": round(found.worst_class, 4),
        "worst_member": round(found.worst_member, 4),
        "classes": {name: tally.as_json() for name, tally in found.classes.items()},
        "members": {
            name: {**tally.as_json(), "within_share": round(found.within[name].ratio(), 4)}
            for name, tally in found.members.items()
        },
        "protocols": {
            name: {**tally.as_json(), "on_time_by_class": _by_class(plan, found, name)}
            for name, tally in found.protocols.items()
        },
        "rules": {rule: _rule(plan, played.records, found, rule) for rule in RULES},
        "calls": len(found.ends),
        "tries": len(played.records.tries),
        "rate": round(len(found.ends) / max(0.001, min(plan.seconds, played.until_us / 1e6)), 1),
        "latency_ms": _latencies(found),
        "cross_hall": round(found.cross_hall, 4),
        "probes": found.probes,
        "unreadable": found.unreadable,
        "attempts": found.attempts,
        "handshakes": found.handshakes,
        "list_calls": played.list_calls,
        "bad_clients": found.bad,
        "fleet": {name: {"count": len(rows), "examples": rows[:EXAMPLES]} for name, rows in broken.items()},
        "jams": sum(row[1] for row in played.records.nodes),
        "daemon": _daemon(plan, played.records) if sidecar else None,
        "rig": {
            "late_ms_p99": round(late, 1),
            "by_process": played.late_ms,
            "daemons": len(plan.daemons),
            "nodes": plan.size.nodes,
            "hosts": plan.size.hosts,
            "callers": plan.size.callers,
        },
        "versions": versions(),
    }, found


def _fleet(plan: Plan, played: Played) -> dict[str, list[str]]:
    """What the joined history of the daemons breaks, where they are a fleet."""
    if plan.scenario.fleet is None:
        return {}
    history = History(plan, played.records)
    return {name: check(history) for name, check in ALL.items()}


def _rule(plan: Plan, records: Records, found: Judgement, rule: str) -> dict[str, Any]:
    breaches = [b for b in found.breaches if b.rule == rule]
    return {
        "count": len(breaches),
        "examples": [
            {
                "what": b.what,
                "t_ms": round(b.t_us / 1000, 1),
                "request": b.rid,
                "daemon": f"d{b.daemon}" if b.daemon >= 0 else "",
                "node": plan.nodes[b.node].name if b.node >= 0 else "",
                "timeline": timeline(plan, records, b),
            }
            for b in breaches[:EXAMPLES]
        ],
    }


def _latencies(found: Judgement) -> dict[str, float]:
    """From when a call was due to its answer, retries included; answered calls only."""
    took = sorted(end.latency_us for end in found.ends if end.how in ("on_time", "late"))
    if not took:
        return {}
    return {
        name: round(took[min(len(took) - 1, int(len(took) * part))] / 1000, 2)
        for name, part in (("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p999", 0.999))
    }


def _daemon(plan: Plan, records: Records) -> dict[str, Any]:
    samples = records.samples
    used: dict[int, float] = {}
    for sample in samples:
        used[sample.daemon] = max(used.get(sample.daemon, 0.0), sample.cpu_s)
    calls = max(1, len(records.tries))
    return {
        "cpu": {
            "seconds": round(sum(used.values()), 2),
            "most_of_a_core": round(max(used.values(), default=0.0) / plan.seconds, 3),
            "ms_per_try": round(sum(used.values()) * 1000 / calls, 3),
        },
        "memory_mb": {
            "most": max((round(s.memory_mb, 1) for s in samples), default=0.0),
            "by_quarter": quarters(samples, plan.seconds, "memory_mb"),
            "growth": round(memory_growth(samples, plan.seconds), 2),
        },
        "descriptors": {
            "most": max((s.descriptors for s in samples), default=0),
            "by_quarter": quarters(samples, plan.seconds, "descriptors"),
        },
        "starts": sum(1 for life in records.lives if life.what == "start"),
    }


def _by_class(plan: Plan, found: Judgement, protocol: str) -> dict[str, float]:
    """The part of each class's calls over one protocol that was answered on time."""
    counts: dict[str, list[int]] = {}
    for end in found.ends:
        call = plan.calls[end.call]
        if ("thrift" if call.speaks else "http") == protocol:
            row = counts.setdefault(plan.classes[call.cls], [0, 0])
            row[0] += 1
            row[1] += end.how == "on_time"
    return {name: round(good / asked, 4) for name, (asked, good) in sorted(counts.items())}
