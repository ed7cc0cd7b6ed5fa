"""The module's promises, held against what it does, from outside.

`watched(Balancer)` is that module with a witness beside it, which sees what the module sees and wants. It
raises `Broken` at the first act against a promise: a second final answer or none in time, an effect twice, a
refusal that may be untrue, a call to a server that is leaving, an attempt too many. What servers do is the
fleet's to check (`Node.check`). Times in nanoseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from dunefield import (
    AttemptFinished,
    ClientDisconnected,
    FailRequest,
    ProbeServer,
    RefuseRequest,
    RequestArrived,
    SendAttempt,
    ServerEntry,
    ServerListUpdate,
    Settings,
    StartTimer,
)
from dunefield.interface import NEVER_RAN, Event, RequestClass


class Broken(AssertionError):
    """A promise was broken; the text says which, and when."""


class Owed:
    """A request that a final answer is owed for."""

    __slots__ = ("cls", "deadline", "sends", "out", "ran")

    def __init__(self, cls: RequestClass, deadline: int) -> None:
        self.cls, self.deadline = cls, deadline
        self.sends: list[tuple[ServerEntry, int]] = []
        self.out: set[int] = set()
        self.ran: tuple[ServerEntry, int] | None = None  # the first attempt that may have run

    @property
    def uncertain(self) -> tuple[ServerEntry, int] | None:
        """The first attempt that ran, may have run or may yet."""
        return self.ran or (self.sends[min(self.out)] if self.out else None)


class Witness:
    """What one sidecar was told, and what it still owes."""

    def __init__(self, settings: Settings) -> None:
        self._set = settings
        self._owed: dict[str, Owed] = {}
        self._up: dict[str, ServerEntry] = {}

    @property
    def owed(self) -> int:
        """Requests without a final answer."""
        return len(self._owed)

    def saw(self, now: int, event: Event) -> None:
        """An event is about to reach the module."""
        if isinstance(event, RequestArrived):
            self._owed[event.request_id] = Owed(self._set.classes[event.class_index], now + event.timeout_ns)
        elif isinstance(event, AttemptFinished) and event.request_id in self._owed:
            owed = self._owed[event.request_id]
            owed.out.discard(event.attempt)
            if event.outcome not in NEVER_RAN and owed.ran is None:
                owed.ran = owed.sends[event.attempt]
            if event.closed:
                del self._owed[event.request_id]
        elif isinstance(event, ClientDisconnected):
            self._owed.pop(event.request_id, None)
        elif isinstance(event, ServerListUpdate) and event.scope != "FAILED":
            if event.scope != "INCREMENTAL":
                self._up = {}
            for entry in event.entries:
                self._up.pop(entry.server, None)
                if entry.lifecycle == "up":
                    self._up[entry.server] = entry

    def passed(self, now: int) -> None:
        """Time has passed: whatever is due by now must have been answered."""
        for request_id, owed in self._owed.items():
            if now > owed.deadline + self._set.invariants.response_grace_ns:
                raise Broken(f"no final answer in time for {request_id} at {now}")

    def did(self, now: int, action: Any) -> None:
        """The module wants this."""
        if isinstance(action, SendAttempt):
            self._sent(now, action)
        elif isinstance(action, RefuseRequest | FailRequest):
            owed = self._owed.pop(action.request_id, None)
            if owed is None:
                raise Broken(f"a second final answer for {action.request_id} at {now}")
            harmless = owed.cls.retry_safety == "free" or (
                owed.cls.retry_safety == "guarded" and owed.cls.retry_scope == "all"
            )
            if isinstance(action, RefuseRequest) and owed.uncertain and not harmless:
                raise Broken(f"a refusal that may be untrue: {action.request_id} at {now}")
        elif isinstance(action, StartTimer) and action.delay_ns <= 0:
            raise Broken(f"a timer in the past at {now}")
        elif isinstance(action, ProbeServer) and not self._set.limits.may_probe:
            raise Broken(f"a probe where none is allowed at {now}")

    def _sent(self, now: int, action: SendAttempt) -> None:
        owed, limits, which = (
            self._owed.get(action.request_id),
            self._set.limits,
            f"{action.request_id} at {now}",
        )
        if owed is None or now > owed.deadline:
            raise Broken(f"a send after the end: {which}")
        entry = self._up.get(action.server)
        if entry is None:
            raise Broken(f"a send to a server that is draining, gone or unlisted: {which}")
        if action.deadline_ns > owed.deadline:
            raise Broken(f"an attempt may outlive its client: {which}")
        if len(owed.sends) >= limits.max_attempts:
            raise Broken(f"more attempts than allowed: {which}")
        if owed.out and not limits.hedging:
            raise Broken(f"two attempts at once: {which}")
        cls = owed.cls
        if owed.uncertain and cls.retry_safety == "single_shot":
            raise Broken(f"an unsafe request may run twice: {which}")
        if owed.uncertain and cls.retry_safety == "guarded":
            first, at = owed.uncertain
            same = {"all": True, "zone": first.zone == entry.zone, "cell": first.cell == entry.cell}
            if not same[cls.retry_scope] or now >= at + cls.retry_window_ns:
                raise Broken(f"a keyed request repeated outside its group or window: {which}")
        owed.out.add(len(owed.sends))
        owed.sends.append((entry, now))


def watched(module: Callable[[Settings, int, int], Any]) -> type[Any]:
    """The module's class, with a witness in each instance."""
    base: Any = module

    class Watched(base):  # type: ignore[misc]
        def __init__(self, settings: Settings, seed: int, now: int) -> None:
            self.witness = Witness(settings)
            super().__init__(settings, seed, now)

        def handle(self, now: int, event: Event) -> list[Any]:
            self.witness.saw(now, event)
            acts: list[Any] = super().handle(now, event)
            for act in acts:
                self.witness.did(now, act)
            return acts

    return Watched
