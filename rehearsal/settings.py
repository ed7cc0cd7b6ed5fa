"""The configuration that a daemon gets: the platform's JSON, made from the plan. Pure."""

from __future__ import annotations

import random
from typing import Any

from rehearsal.plan import Plan

REPEAT = {"free": "free", "unsafe": "single_shot", "keyed": "guarded"}
RETRY_AFTER_MOST_NS = 2_000_000_000
COLUMNS = ["inflight", "queue"]


def _ns(ms: float) -> int:
    return round(ms * 1e6)


def settings(plan: Plan, daemon: int) -> dict[str, Any]:
    """The settings object of one daemon, with the names and units of the platform's protocol."""
    scenario = plan.scenario
    node, box = scenario.node, scenario.daemon
    total = sum(member.share for member in scenario.member.values())
    return {
        "classes": [
            {
                "name": name,
                "onTimeNs": _ns(c.aim_ms),
                "hardLimitNs": _ns(c.deadline_ms),
                "credit": c.worth,
                "lateWorth": 0.0,
                "repeat": REPEAT[c.repeat],
                "group": c.group,
                "windowNs": _ns(c.window_ms),
            }
            for name, c in scenario.classes.items()
        ],
        "failureDomains": list(plan.halls),
        "zone": plan.daemons[daemon],
        "kinds": ["std-1c"],
        "index": daemon,
        "replicasOfMe": len(plan.daemons),
        "periodNs": 1_000_000,
        "discovery": "subscribe",
        "clients": {"marksRetry": False},
        "familyInfo": {"warmKeys": False, "passesDeadline": node.drops_expired},
        "valueBy": "request",
        "weights": "none",
        "overShareWorth": scenario.arrivals.over_share_worth,
        "goal": {"whole": 0.4, "worstWindow": 0.15, "worstClass": 0.2, "worstTenant": 0.25},
        "reporting": {"how": "probe" if box.probes else "none", "columns": COLUMNS if box.probes else []},
        "limits": {
            "maxAttempts": box.max_attempts,
            "secondCopies": True,
            "retryAfter": box.retry_after,
            "maxRetryAfterNs": RETRY_AFTER_MOST_NS,
            "streamsPerConn": 1,
            "connIdleNs": _ns(node.idle_s * 1000),
            "connectTimeoutNs": _ns(box.connect_timeout_ms),
            "cancel": True,
            "mayProbe": box.probes,
            "peers": False,
        },
        "invariants": {
            "coldFrom": node.cold_from,
            "coldNs": _ns(node.cold_s[1] * 1000),
            "fallMultiple": node.fall_multiple,
            "fallNs": _ns(node.fall_s * 1000),
            "drainGraceNs": _ns(box.drain_grace_ms),
            "mustAskInNs": _ns(scenario.list.must_ask_s * 1000),
            "graceToAnswerNs": 0,
        },
        "prices": {"cross_zone": 0.005, "waste": 0.2, "probe": 0.002, "late_fail": 0.08},
        "projects": [
            {
                "name": name,
                "share": member.share / total,
                "allowancePerS": plan.scenario.arrivals.quota * plan.capacity * member.share / total,
            }
            for name, member in scenario.member.items()
        ],
    }


def config(
    plan: Plan, daemon: int, life: int, listen: str, discovery: str, known: dict[str, Any]
) -> dict[str, Any]:
    """The whole file for one start of one daemon; `life` counts its starts, each with a seed of its own."""
    draw = random.Random(f"{plan.seed}/daemon/{daemon}/{life}")
    box = plan.scenario.daemon
    return {
        "name": f"d{daemon}",
        "listen": listen,
        "discovery": discovery,
        "seed": f"{draw.getrandbits(64):016x}",
        "limits": {"cores": 1.0, "memory_mb": int(box.memory_mb), "sockets": box.sockets},
        "known": known,
        "settings": settings(plan, daemon),
    }
