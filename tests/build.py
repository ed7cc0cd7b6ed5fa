"""Shared builders: settings and events with sensible defaults."""

from __future__ import annotations

from typing import Any

from dunefield import Accept, Balancer, Directory, Entry, How, Response, Settings, Submit

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


def fleet(count: int, lifecycle: str = "up", started_ns: int = 0) -> Directory:
    return Directory(
        "FULL",
        tuple(Entry(f"10.0.0.{i}:80", i % 2, 0, i // 2, lifecycle, 1.0, started_ns) for i in range(count)),
    )


def balancer(servers: int = 4, seed: int = 1, **changes: Any) -> Balancer:
    made = Balancer(settings(**changes), seed, 0)
    if servers:
        made.handle(0, fleet(servers))
    return made


def accept(tid: str, cls: int = 0, ttl_ns: int = SECOND) -> Accept:
    return Accept(tid, cls, ttl_ns)


def outcome(
    send: Submit, how: int = How.OK, lag_ns: int = 50 * MS, attempt: int = 0, **more: Any
) -> Response:
    return Response(send.tid, how, lag_ns, send.server, attempt, how == How.OK, **more)


def only(actions: list[Any], kind: type) -> list[Any]:
    return [action for action in actions if isinstance(action, kind)]
