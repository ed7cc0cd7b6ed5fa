"""Settings, events and actions of the balancer. All times are integer nanoseconds on one clock.

`Settings.parse` reads the settings object passed in at startup. Every optional key has a default here,
so the decision code never has to handle a missing key.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

SECOND = 1_000_000_000
# A connection is retired after being idle for this fraction of the servers' idle timeout; a burst of
# requests leaves many idle connections behind.
IDLE_TIMEOUT_FRACTION = 0.4


class AttemptOutcome(enum.IntEnum):
    """Outcome of an attempt. `MOOT` means that the attempt was never sent."""

    OK = 100
    ERROR = 301
    FULL = 302
    TIMEOUT = 303
    CONNECT_FAILED = 304
    RESET = 305
    CANCELLED = 306
    MOOT = 307


NEVER_RAN = frozenset({AttemptOutcome.FULL, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.MOOT})
"""Outcomes that guarantee that the server did not execute the request."""


class SettingsError(ValueError):
    """Raised when the settings object is invalid; the message names the key."""


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: value of a response, target latency and deadline, and retry rules."""

    name: str
    target_ns: int
    deadline_ns: int
    value: float = 1.0
    late_value: float = 0.0
    retry_safety: str = "single_shot"
    retry_scope: str = "all"
    retry_window_ns: int = 0
    stream: bool = False
    target_work_factor: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits that the deployment sets on attempts, connections, probes and CPU time."""

    max_attempts: int = 1
    hedging: bool = False
    retry_after: bool = False
    max_retry_after_ns: int = 0
    max_streams_per_connection: int = 1
    connection_idle_ns: int = 15 * SECOND
    connect_timeout_ns: int = SECOND // 4
    cancel: bool = False
    may_probe: bool = False
    peers: bool = False
    cpu_us_per_request: float = 0.0
    cpu_us_per_s: float = 0.0
    open_cap: int = 0


@dataclass(frozen=True, slots=True)
class Invariants:
    """Parameters of the four rules that a balancer must not break."""

    cold_start_fraction: float = 0.1
    warm_up_ns: int = 30 * SECOND
    fall_multiple: float = 2.0
    fall_ns: int = SECOND
    drain_grace_ns: int = 0
    subscribe_within_ns: int = 10 * SECOND
    response_grace_ns: int = 0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant with its share of the capacity and its allowed request rate."""

    name: str
    share: float = 1.0
    allowance_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Configuration of one balancer instance."""

    classes: tuple[RequestClass, ...]
    zones: tuple[str, ...] = ()
    zone: int = 0
    kinds: tuple[str, ...] = ()
    index: int = 0
    replicas: int = 1
    period_ns: int = 1_000_000
    must_subscribe: bool = False
    clients_mark_retries: bool = False
    warm_keys: bool = False
    passes_deadline: bool = False
    workload: str = ""
    tier: int = 0
    layers: tuple[str, ...] = ()
    value_by: str = "request"
    weights: str = "none"
    goal: Mapping[str, float] = field(default_factory=dict)
    over_share_value: float = 1.0
    reports: str = "none"
    columns: tuple[str, ...] = ()
    limits: Limits = field(default_factory=Limits)
    invariants: Invariants = field(default_factory=Invariants)
    prices: Mapping[str, float] = field(default_factory=dict)
    tenants: tuple[Tenant, ...] = ()

    @classmethod
    def parse(cls, raw: Any) -> Settings:
        """Parses a decoded JSON settings object. Raises SettingsError if a value is invalid."""
        root = _Reader(raw, "settings")
        classes = tuple(_request_class(item) for item in root.items("classes"))
        if not classes:
            raise SettingsError("settings.classes is empty or absent")
        return cls(
            classes=classes,
            zones=tuple(str(z) for z in root.list("failureDomains")),
            zone=root.int("zone", 0),
            kinds=tuple(str(k) for k in root.list("kinds")),
            index=root.int("index", 0),
            replicas=max(1, root.int("replicasOfMe", 1)),
            period_ns=max(1, root.int("periodNs", 1_000_000)),
            must_subscribe=root.text("discovery", "automatic") == "subscribe",
            clients_mark_retries=root.sub("clients").flag("marksRetry"),
            warm_keys=root.sub("familyInfo").flag("warmKeys"),
            passes_deadline=root.sub("familyInfo").flag("passesDeadline"),
            workload=root.text("workload", ""),
            tier=root.int("tier", 0),
            layers=tuple(str(name) for name in root.list("layers")),
            value_by=root.text("valueBy", "request"),
            weights=root.text("weights", "none"),
            goal=root.sub("goal").numbers(),
            over_share_value=root.number("overShareWorth", 1.0),
            reports=root.sub("reporting").text("how", "none"),
            columns=tuple(str(name) for name in root.sub("reporting").list("columns")),
            limits=_limits(root.sub("limits")),
            invariants=_invariants(root.sub("invariants")),
            prices=root.sub("prices").numbers(),
            tenants=tuple(
                Tenant(t.text("name", ""), t.number("share", 1.0), t.number("allowancePerS", 0.0))
                for t in root.items("projects")
            ),
        )


class _Reader:
    """Typed access to a JSON object that keeps the object's path for error messages."""

    def __init__(self, raw: Any, path: str) -> None:
        if not isinstance(raw, dict):
            raise SettingsError(f"{path} is not an object")
        self._raw, self._path = raw, path

    def _get(self, key: str, kinds: tuple[type, ...], default: Any) -> Any:
        value = self._raw.get(key)
        if value is None:
            return default
        if isinstance(value, float) and not math.isfinite(value):
            raise SettingsError(f"{self._path}.{key} is not a finite number: {value!r}")
        if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
            raise SettingsError(f"{self._path}.{key} has a value of the wrong type: {value!r}")
        return value

    def int(self, key: str, default: int) -> int:
        return int(self._get(key, (int, float), default))

    def number(self, key: str, default: float) -> float:
        return float(self._get(key, (int, float), default))

    def text(self, key: str, default: str) -> str:
        return str(self._get(key, (str,), default))

    def flag(self, key: str, default: bool = False) -> bool:
        return bool(self._get(key, (bool, int), default))

    def list(self, key: str) -> list[Any]:
        return list(self._get(key, (list,), []))

    def sub(self, key: str) -> _Reader:
        return _Reader(self._get(key, (dict,), {}), f"{self._path}.{key}")

    def items(self, key: str) -> Iterable[_Reader]:
        return [_Reader(item, f"{self._path}.{key}[{i}]") for i, item in enumerate(self.list(key))]

    def numbers(self) -> dict[str, float]:
        return {key: self.number(key, 0.0) for key in self._raw}


def _request_class(item: _Reader) -> RequestClass:
    deadline = item.int("hardLimitNs", 0)
    if deadline <= 0:
        raise SettingsError(f"{item._path}.hardLimitNs must be above 0")
    return RequestClass(
        name=item.text("name", ""),
        target_ns=min(item.int("onTimeNs", deadline) or deadline, deadline),
        deadline_ns=deadline,
        value=item.number("credit", 1.0),
        late_value=item.number("lateWorth", 0.0),
        retry_safety=item.text("repeat", "single_shot"),
        retry_scope=item.text("group", "all"),
        retry_window_ns=item.int("windowNs", 0),
        stream=item.flag("stream"),
        target_work_factor=item.number("aimStretch", 0.0),
    )


def _limits(item: _Reader) -> Limits:
    return Limits(
        max_attempts=max(1, item.int("maxAttempts", 1)),
        hedging=item.flag("secondCopies"),
        retry_after=item.flag("retryAfter"),
        max_retry_after_ns=item.int("maxRetryAfterNs", 0),
        max_streams_per_connection=max(1, item.int("streamsPerConn", 1)),
        connection_idle_ns=item.int("connIdleNs", 15 * SECOND),
        connect_timeout_ns=item.int("connectTimeoutNs", SECOND // 4),
        cancel=item.flag("cancel"),
        may_probe=item.flag("mayProbe"),
        peers=item.flag("peers"),
        cpu_us_per_request=item.number("cpuUsPerRequest", 0.0),
        cpu_us_per_s=item.number("cpuUsPerS", 0.0),
        open_cap=item.int("openCap", 0),
    )


def _invariants(item: _Reader) -> Invariants:
    return Invariants(
        cold_start_fraction=min(1.0, max(0.01, item.number("coldFrom", 0.1))),
        warm_up_ns=max(1, item.int("coldNs", 30 * SECOND)),
        fall_multiple=max(1.0, item.number("fallMultiple", 2.0)),
        fall_ns=item.int("fallNs", SECOND),
        drain_grace_ns=item.int("drainGraceNs", 0),
        subscribe_within_ns=max(SECOND, item.int("mustAskInNs", 10 * SECOND)),
        response_grace_ns=item.int("graceToAnswerNs", 0),
    )


# --- Events: inputs of the balancer -------------------------------------------------------------


class ServerEntry(NamedTuple):
    """One server in a server list."""

    server: str
    zone: int = 0
    kind: int = 0
    cell: int = 0
    lifecycle: str = "up"
    weight: float = 1.0
    started_ns: int = 0


class ServerListUpdate(NamedTuple):
    """A change of the server list. `scope` is INCREMENTAL, FULL, SAVED or FAILED."""

    scope: str
    entries: tuple[ServerEntry, ...] = ()
    generation: int = 0


class RequestArrived(NamedTuple):
    """A client request has arrived; it must get exactly one final response."""

    request_id: str
    class_index: int
    timeout_ns: int
    expected_work_ns: int = 0
    tenant: int = 0
    key: str = ""
    retry: bool = False
    write: bool = False
    body_incomplete: bool = False  # relayed while it arrives, until `BodyCompleted`


class AttemptFinished(NamedTuple):
    """An attempt has ended; sent once per attempt. `load` is the server's load report, empty if none came."""

    request_id: str
    outcome: int
    latency_ns: int
    server: str
    attempt: int
    closed: bool
    load: Mapping[str, float] = {}


class ResponseStarted(NamedTuple):
    """A streamed response has started: from now on the attempt is bound to the client."""

    request_id: str
    server: str = ""
    attempt: int = 0
    latency_ns: int = 0


class BodyCompleted(NamedTuple):
    """An incomplete request body has arrived in full: from now on a server may process the request."""

    request_id: str


class BodyDiscarded(NamedTuple):
    """Part of an incomplete body was sent and is no longer buffered: no further attempt is possible."""

    request_id: str


class ClientDisconnected(NamedTuple):
    """The client has disconnected; it needs no response."""

    request_id: str


class TimerFired(NamedTuple):
    """A timer started by `StartTimer` has expired."""

    tag: int


class ProbeResult(NamedTuple):
    """The result of a `ProbeServer` action. `load` is the server's load report, empty if none came."""

    server: str
    outcome: int
    latency_ns: int
    load: Mapping[str, float] = {}


class PeerMessage(NamedTuple):
    """Bytes that a peer sent with `SendPeerMessage`."""

    peer: int
    data: bytes


Event = (
    ServerListUpdate
    | RequestArrived
    | AttemptFinished
    | ResponseStarted
    | BodyCompleted
    | BodyDiscarded
    | ClientDisconnected
    | TimerFired
    | ProbeResult
    | PeerMessage
)


# --- Actions: outputs of the balancer ------------------------------------------------------


class SendAttempt(NamedTuple):
    """Start the next attempt of a request; it times out at `deadline_ns`."""

    request_id: str
    server: str
    deadline_ns: int


class RefuseRequest(NamedTuple):
    """Final response: the request was not executed and may safely be retried."""

    request_id: str
    retry_after_ns: int


class FailRequest(NamedTuple):
    """Final response: the request failed and may or may not have been executed."""

    request_id: str


class CancelAttempt(NamedTuple):
    """Cancel one attempt."""

    request_id: str
    attempt: int


class SubscribeServerList(NamedTuple):
    """Subscribe to the server list and its changes, or unsubscribe if `want` is false."""

    want: bool = True


class FetchServerList(NamedTuple):
    """Request the full server list from discovery once."""


class ProbeServer(NamedTuple):
    """Probe a server; a `ProbeResult` follows."""

    server: str


class CloseIdleConnections(NamedTuple):
    """Close the idle connections to a server."""

    server: str


class SendPeerMessage(NamedTuple):
    """Send bytes to the peer with this index, or to all peers if it is -1."""

    peer: int
    data: bytes


class LogMessage(NamedTuple):
    """Write a line to the log."""

    text: str


class StartTimer(NamedTuple):
    """Request a `TimerFired` event after `delay_ns`."""

    delay_ns: int
    tag: int


Action = (
    SendAttempt
    | RefuseRequest
    | FailRequest
    | CancelAttempt
    | SubscribeServerList
    | FetchServerList
    | ProbeServer
    | CloseIdleConnections
    | SendPeerMessage
    | LogMessage
    | StartTimer
)
