"""Configuration: items with a version of their own, merged item by item, checked as a whole. No I/O.

An item's name is `route/NAME`, `service/NAME` or `limit`. Per name the highest version wins, whether it was
set or dropped. Two contents of one version are never agreed on (`consensus.py`); should a caller merge such
all the same, they are told apart by their bytes, so that copies agree in any order.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Mapping
from functools import lru_cache
from hashlib import blake2b
from typing import Any, NamedTuple

from expression import Error, Ok, Result
from pyrsistent import PMap, pmap

from mesh.settings import seconds

VERSION = re.compile(r"r([0-9]{1,40})")
SLACK_S = 60.0  # a target that exceeds its route's time-out by so much is a mistake
VARIANTS = ("pure", "effectful", "idempotent", "upload")


class Item(NamedTuple):
    """One item at one version; `content` is the item's JSON as it was sent, empty where it was dropped."""

    name: str
    version: int
    content: str = ""

    def supersedes(self, other: Item | None) -> bool:
        """Whether it wins over another of its name."""
        return other is None or (self.version, self.content) > (other.version, other.content)


Items = PMap[str, Item]
EMPTY: Items = pmap()


def merge(items: Items, news: Iterable[Item]) -> Items:
    """Both; commutes, associates, and a repeat does nothing."""
    best: dict[str, Item] = {}
    for item in news:
        if item.supersedes(best.get(item.name, items.get(item.name))):
            best[item.name] = item
    return items.update(best) if best else items


@lru_cache(maxsize=8192)
def mark(item: Item) -> int:
    """64 bits of one item."""
    text = f"{item.name}\0{item.version}\0{item.content}"
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def validate_change(items: Items, call: Iterable[Item]) -> Result[tuple[Item, ...], str]:
    """What of an operator's call has an effect on what stands, or why it is invalid there.

    A version that is lower than what stands has no effect, and neither has the same item once more. Another
    content under the version that stands is invalid: its sender would take it for being in force. Serialised
    by the caller: two changes that are checked against the same state could each be valid, and clash.
    """
    rows = tuple(call)
    other = [
        f"{item.name} r{item.version} stands with another content"
        for item in rows
        if item.name in items and items[item.name].version == item.version and items[item.name] != item
    ]
    if other:
        return Error("; ".join(sorted(other)))
    news = tuple(item for item in rows if item.name not in items or item.version > items[item.name].version)
    names = {item.name for item in news}
    wrong = build_table(items.update({item.name: item for item in news}))[1]
    clashes = [clash.text for clash in wrong if clash.names & names]
    return Error("; ".join(sorted(clashes))) if clashes else Ok(news)


def version(value: Any) -> int:
    """The number of a version as text; ValueError where it is none."""
    found = VERSION.fullmatch(value) if isinstance(value, str) else None
    if found is None:
        raise ValueError(f"{value!r} is no revision")
    return int(found[1])


def _named(raw: Any) -> str:
    name = raw.get("name") if isinstance(raw, dict) else None
    if not isinstance(name, str) or not name:
        raise ValueError("an item has no name")
    return name


def _lists(raw: Mapping[str, Any], key: str) -> list[Any]:
    value = raw.get(key)
    if value is None:
        return []
    if not isinstance(value, list):
        raise ValueError(f"{key} is no list")
    return value


def _sets(raw: Mapping[str, Any]) -> Iterable[Item]:
    limit = raw.get("limit_set")
    if limit is not None:
        if not isinstance(limit, dict):
            raise ValueError("limit_set is no object")
        yield Item("limit", version(limit.get("revision")), _content(limit))
    for listener in _lists(raw, "listener_list"):
        if not isinstance(listener, dict):
            raise ValueError("a listener is no object")
        host = listener.get("hostname")
        if not isinstance(host, str) or not host.strip():
            raise ValueError("a hostname is empty")
        for rule in _lists(listener, "rule_set"):
            name = _named(rule)
            content = _content({"hostname": host, "rule": rule})
            yield Item(f"route/{name}", version(rule.get("revision")), content)
    for cluster in _lists(raw, "cluster_list"):
        yield Item(f"service/{_named(cluster)}", version(cluster.get("revision")), _content(cluster))


def _content(raw: Any) -> str:
    return json.dumps(raw, separators=(",", ":"), sort_keys=True)


def _no_number(text: str) -> None:
    raise ValueError(f"{text} is no JSON")


def parse_change(body: bytes) -> Result[tuple[Item, ...], str]:
    """The items of an operator's call, or why it can't be read whole. Each item's own shape is checked."""
    try:
        raw = json.loads(body, parse_constant=_no_number)
        json.dumps(raw, ensure_ascii=False).encode()  # half a character can't be passed on
        if not isinstance(raw, dict) or not ({"upserts", "removals"} & raw.keys()):
            raise ValueError("neither upserts nor removals")
        upserts, removals = raw.get("upserts", {}), raw.get("removals", {})
        if not isinstance(upserts, dict) or not isinstance(removals, dict):
            raise ValueError("upserts or removals is no object")
        found: dict[str, Item] = {}
        for item in _sets(upserts):
            if item.name in found:
                raise ValueError(f"{item.name} is there twice")
            parse_item(item)
            found[item.name] = item
        for key, kind in (("route_list", "route"), ("service_list", "service")):
            for dropped in _lists(removals, key):
                item = Item(f"{kind}/{_named(dropped)}", version(dropped.get("revision")))
                if item.supersedes(found.get(item.name)):
                    found[item.name] = item
    except (ValueError, RecursionError) as error:
        return Error(str(error))
    return Ok(tuple(found.values()))


# --- what items mean


class Route(NamedTuple):
    """One routing rule. Times in seconds."""

    name: str
    host: str
    prefix: str
    variant: str
    targets: tuple[tuple[str, float], ...]  # services, and the running sum of their weights
    timeout_s: float
    target_s: float
    max_attempts: int
    priority: int


class Cluster(NamedTuple):
    """One service."""

    name: str
    health_path: str
    max_conns: int
    dedupes: bool


class Limits(NamedTuple):
    """What a client may send, and how long it may take."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 48 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


def _weight(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e12:
        raise ValueError(f"{value!r} is no weight")
    return float(value)


def _count(value: Any, least: int = 0) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < least:
        raise ValueError(f"{value!r} is no number from {least} on")
    return int(value)


def parse_item(item: Item) -> Route | Cluster | Limits:
    """What an item says; ValueError where it can't be."""
    raw = json.loads(item.content)
    if item.name == "limit":
        return Limits(
            _count(raw.get("max_header_bytes", 16384), 1),
            _count(raw.get("max_body_bytes", 48 << 20), 1),
            seconds(raw.get("header_timeout", "3s")),
            seconds(raw.get("idle_timeout", "15s")),
        )
    if item.name.startswith("service/"):
        health = raw.get("health_path", "/health")
        if not isinstance(health, str) or not health.startswith("/"):
            raise ValueError(f"{health!r} is no path")
        most = _count(raw.get("max_conns", 64), 1)
        return Cluster(raw["name"], health, most, raw.get("idempotent") is True)
    rule = raw["rule"]
    matcher, effect = rule.get("matcher"), rule.get("effect")
    if not isinstance(matcher, dict) or not isinstance(effect, dict):
        raise ValueError(f"{item.name} has no matcher or no effect")
    prefix = matcher.get("path_prefix")
    if not isinstance(prefix, str) or not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(f"{prefix!r} does not begin and end with a slash")
    variant = rule.get("variant")
    if variant not in VARIANTS:
        raise ValueError(f"{variant!r} is no variant")
    split = effect.get("weighted_split")
    targets: list[tuple[str, float]] = []
    total = 0.0
    if split is None:
        split = [{"service": effect.get("service"), "weight": 1}]
    if not isinstance(split, list):
        raise ValueError("a split is no list")
    for part in split:
        service = part.get("service") if isinstance(part, dict) else None
        if not isinstance(service, str) or not service:
            raise ValueError(f"{item.name} names no service")
        total += _weight(part.get("weight", 1))
        targets.append((service, total))
    if total <= 0:
        raise ValueError(f"{item.name}: its weights add up to 0")
    timeout = seconds(effect.get("timeout"))
    aim = seconds(rule.get("target", effect["timeout"]))
    if aim >= timeout + SLACK_S:
        raise ValueError(f"{item.name}: its target exceeds its time-out")
    return Route(
        rule["name"],
        raw["hostname"].strip().lower(),
        prefix,
        variant,
        tuple(targets),
        timeout,
        aim,
        _count(effect.get("max_attempts", 1), 1),
        _count(rule.get("priority", 0)),
    )


class RoutingTable(NamedTuple):
    """What stands in force: an immutable snapshot, swapped whole."""

    routes_by_host: Mapping[str, tuple[tuple[str, Route], ...]]  # by host, the longest prefix first
    clusters: Mapping[str, Cluster]
    limits: Limits

    def route(self, host: str, path: str) -> Route | None:
        """The route of the longest prefix that begins the path."""
        for prefix, route in self.routes_by_host.get(host, ()):
            if path.startswith(prefix):
                return route
        return None


EMPTY_TABLE = RoutingTable({}, {}, Limits())
_built: dict[Item, Route | Cluster | Limits] = {}


class Conflict(NamedTuple):
    """Why a route is held out of force, and the items that it is about."""

    names: frozenset[str]
    text: str


def build_table(items: Items) -> tuple[RoutingTable, list[Conflict]]:
    """The snapshot that items make, and what of them is held out, as two at one place or of no service."""
    hosts: dict[str, dict[str, Route]] = {}
    clusters: dict[str, Cluster] = {}
    limits = Limits()
    wrong: list[Conflict] = []
    routes: list[Route] = []
    if len(_built) > 4 * len(items) + 64:
        _built.clear()
    for item in items.values():
        if not item.content:
            continue
        made = _built.get(item)
        if made is None:
            made = _built[item] = parse_item(item)
        if isinstance(made, Cluster):
            clusters[made.name] = made
        elif isinstance(made, Limits):
            limits = made
        else:
            routes.append(made)
    for route in sorted(routes, key=lambda r: r.name):
        missing = [name for name, _ in route.targets if name not in clusters]
        if missing:
            about = frozenset((f"route/{route.name}", f"service/{missing[0]}"))
            wrong.append(Conflict(about, f"route {route.name} names the unknown service {missing[0]}"))
            continue
        other = hosts.setdefault(route.host, {}).setdefault(route.prefix, route)
        if other is not route:
            about = frozenset((f"route/{route.name}", f"route/{other.name}"))
            wrong.append(Conflict(about, f"routes {other.name} and {route.name} share host and prefix"))
    sorted_hosts = {
        host: tuple(sorted(found.items(), key=lambda pair: -len(pair[0]))) for host, found in hosts.items()
    }
    return RoutingTable(sorted_hosts, clusters, limits), wrong


def whole(items: Items) -> bytes:
    """All items that stand, laid out as in an operator's first call."""
    hosts: dict[str, list[Any]] = {}
    clusters: list[Any] = []
    found: dict[str, Any] = {}
    for name in sorted(items):
        content = items[name].content
        if not content:
            continue
        raw = json.loads(content)
        if name == "limit":
            found["limit_set"] = raw
        elif name.startswith("route/"):
            hosts.setdefault(raw["hostname"], []).append(raw["rule"])
        else:
            clusters.append(raw)
    found["listener_list"] = [{"hostname": host, "rule_set": rules} for host, rules in sorted(hosts.items())]
    found["cluster_list"] = clusters
    return json.dumps(found, separators=(",", ":")).encode()
