"""Builders of settings, events and balancers with default values, shared by the tests."""

from __future__ import annotations

from typing import Any

from dunefield import (
    AttemptFinished,
    AttemptOutcome,
    Balancer,
    RequestArrived,
    SendAttempt,
    ServerEntry,
    ServerListUpdate,
    Settings,
)

MS = 1_000_000
SECOND = 1000 * MS
CLASSES = ("free", "single_shot", "guarded")


def settings(**changes: Any) -> Settings:
    raw: dict[str, Any] = {
        "classes": [
            {
                "name": name,
                "onTimeNs": 400 * MS,
                "hardLimitNs": SECOND,
                "repeat": name,
                "credit": 1.0 + i,
                "group": "zone",
                "windowNs": SECOND,
            }
            for i, name in enumerate(CLASSES)
        ],
        "failureDomains": ["a", "b"],
        "limits": {"maxAttempts": 3, "retryAfter": True, "maxRetryAfterNs": SECOND},
        "invariants": {
            "coldFrom": 0.3,
            "coldNs": 5 * SECOND,
            "fallMultiple": 3.0,
            "fallNs": SECOND,
            "drainGraceNs": SECOND,
            "mustAskInNs": 10 * SECOND,
            "graceToAnswerNs": 20 * MS,
        },
        "periodNs": MS,
    }
    for key, value in changes.items():
        raw[key] = {**raw.get(key, {}), **value} if isinstance(value, dict) else value
    return Settings.parse(raw)


def fleet(count: int, lifecycle: str = "up", started_ns: int = 0) -> ServerListUpdate:
    return ServerListUpdate(
        "FULL",
        tuple(
            ServerEntry(f"10.0.0.{i}:80", i % 2, 0, i // 2, lifecycle, 1.0, started_ns) for i in range(count)
        ),
    )


def balancer(servers: int = 4, seed: int = 1, **changes: Any) -> Balancer:
    made = Balancer(settings(**changes), seed, 0)
    if servers:
        made.handle(0, fleet(servers))
    return made


def request_arrived(request_id: str, cls: int = 0, timeout_ns: int = SECOND) -> RequestArrived:
    return RequestArrived(request_id, cls, timeout_ns)


def attempt_finished(
    send: SendAttempt,
    outcome: int = AttemptOutcome.OK,
    latency_ns: int = 50 * MS,
    attempt: int = 0,
    **more: Any,
) -> AttemptFinished:
    return AttemptFinished(
        send.request_id, outcome, latency_ns, send.server, attempt, outcome == AttemptOutcome.OK, **more
    )


def of_type(actions: list[Any], kind: type) -> list[Any]:
    return [action for action in actions if isinstance(action, kind)]
