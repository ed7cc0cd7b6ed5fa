"""Finds servers that owned one shard key at the same time. No I/O; times are seconds of one clock."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from itertools import combinations, product
from typing import NamedTuple

from rehearsal.mesh.key_holds import HoldEvent


class KeyRun(NamedTuple):
    """A server began to work on a request for a shard key."""

    server: str
    key: int
    at: float


class HoldSpan(NamedTuple):
    """A time without a gap for which a server held a key."""

    server: str
    since: float
    until: float


class SharedKey(NamedTuple):
    """Two servers that held a key at the same time and both began requests on it in that time."""

    key: int
    servers: tuple[str, str]
    since: float
    until: float


def spans_of_key(key: int, events: Iterable[HoldEvent]) -> list[HoldSpan]:
    """Returns when a server held a key, from all events of that server in the order of time."""
    spans: list[HoldSpan] = []
    for event in events:
        if key not in event.keys:
            continue
        last = spans[-1] if spans else None
        if last is not None and event.at < last.until:
            spans[-1] = HoldSpan(event.server, last.since, max(event.at, event.until))
        elif event.until > event.at:
            spans.append(HoldSpan(event.server, event.at, event.until))
    return spans


def shared_keys(events: Iterable[HoldEvent], runs: Iterable[KeyRun]) -> list[SharedKey]:
    """Returns each time for which two servers held a key and both began requests on it."""
    events_by_server: dict[str, list[HoldEvent]] = defaultdict(list)
    for event in sorted(events, key=lambda event: event.at):
        events_by_server[event.server].append(event)
    runs_by_key: dict[int, list[KeyRun]] = defaultdict(list)
    for run in runs:
        runs_by_key[run.key].append(run)
    found: list[SharedKey] = []
    for key, runs_of_key in sorted(runs_by_key.items()):
        servers = sorted({run.server for run in runs_of_key})
        spans = {server: spans_of_key(key, events_by_server[server]) for server in servers}
        for one, other in combinations(servers, 2):
            found += _shared_by_two(key, spans[one], spans[other], runs_of_key)
    return found


def _shared_by_two(
    key: int, spans: list[HoldSpan], other_spans: list[HoldSpan], runs: list[KeyRun]
) -> list[SharedKey]:
    found: list[SharedKey] = []
    for span, other in product(spans, other_spans):
        since = max(span.since, other.since)
        until = min(span.until, other.until)
        servers_that_began = {run.server for run in runs if since <= run.at < until}
        if {span.server, other.server} <= servers_that_began:
            found.append(SharedKey(key, (span.server, other.server), since, until))
    return found
