"""Configuration items: versioned one by one, merged item by item, validated as a whole. No I/O.

An item's name is `route/NAME`, `service/NAME` or `limit`, or `shards/SERVICE` for the assignment of a
service's keys (`mesh.state.shards`), which no operator sends or reads. Of each name the highest version wins,
whether it was set or removed. Consensus never chooses two contents for one version (`consensus.py`); if a
caller merges such items all the same, the greater content wins, so that copies converge in any order.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Mapping
from functools import lru_cache
from hashlib import blake2b
from types import MappingProxyType
from typing import Any, NamedTuple

from expression import Error, Ok, Result
from pyrsistent import PMap, pmap

from mesh.settings import parse_duration
from mesh.state import shards
from mesh.state.shards import ShardTable

REVISION_PATTERN = re.compile(r"r([0-9]{1,40})")
MAX_TARGET_EXCESS_S = 60.0  # a target latency that exceeds the route's timeout by this much is a mistake
VARIANTS = ("pure", "effectful", "idempotent", "upload")
GRANTS_BY_HEARTBEAT = "heartbeat"  # in answers to the servers' heartbeats
GRANTS_BY_INVOCATION = "invocation"  # by calls to the servers


class Item(NamedTuple):
    """One item at one version; `content` is its JSON, empty if the item was removed."""

    name: str
    version: int
    content: str = ""

    def supersedes(self, other: Item | None) -> bool:
        """Whether this item wins over another one of the same name."""
        return other is None or (self.version, self.content) > (other.version, other.content)


Items = PMap[str, Item]
EMPTY: Items = pmap()


def merge(items: Items, others: Iterable[Item]) -> Items:
    """Merges two sets of items. The operation is commutative, associative and idempotent."""
    winners: dict[str, Item] = {}
    for item in others:
        if item.supersedes(winners.get(item.name, items.get(item.name))):
            winners[item.name] = item
    return items.update(winners) if winners else items


@lru_cache(maxsize=8192)
def item_hash(item: Item) -> int:
    """Returns a 64-bit hash of an item."""
    text = f"{item.name}\0{item.version}\0{item.content}"
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def validate_change(items: Items, change: Iterable[Item]) -> Result[tuple[Item, ...], str]:
    """Returns the items of a change that have an effect on the current ones, or why the change is invalid.

    An item with a lower version than the current one, or the same item again, has no effect. A different
    content under the current version is invalid, as its sender would believe it to be in force. The caller
    has to serialize changes: two of them that are validated against the same state could each be valid and
    conflict with each other.
    """
    rows = tuple(change)
    different = [
        f"{item.name} r{item.version} stands with another content"
        for item in rows
        if item.name in items and items[item.name].version == item.version and items[item.name] != item
    ]
    if different:
        return Error("; ".join(sorted(different)))
    newer = tuple(item for item in rows if item.name not in items or item.version > items[item.name].version)
    if all(item.name.startswith(shards.ITEM_PREFIX) for item in newer):
        return _validate_tables(newer)
    names = {item.name for item in newer}
    conflicts = build_table(items.update({item.name: item for item in newer}))[1]
    texts = [conflict.text for conflict in conflicts if conflict.names & names]
    return Error("; ".join(sorted(texts))) if texts else Ok(newer)


def _validate_tables(change: tuple[Item, ...]) -> Result[tuple[Item, ...], str]:
    """Returns a change that consists of tables of key ranges, or why one of them is invalid.

    No other item refers to a table, so the rest of the configuration need not be looked at.
    """
    try:
        for item in change:
            if item.content:
                parse_item(item)
    except (ValueError, KeyError, IndexError, TypeError) as error:
        return Error(str(error))
    return Ok(change)


def parse_revision(value: Any) -> int:
    """Parses a revision such as `r12` into its number; raises ValueError if it is malformed."""
    match = REVISION_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(f"{value!r} is no revision")
    return int(match[1])


def _name_of(raw: Any) -> str:
    name = raw.get("name") if isinstance(raw, dict) else None
    if not isinstance(name, str) or not name:
        raise ValueError("an item has no name")
    return name


def _list_of(raw: Mapping[str, Any], key: str) -> list[Any]:
    value = raw.get(key)
    if value is None:
        return []
    if not isinstance(value, list):
        raise ValueError(f"{key} is no list")
    return value


def _upserted_items(raw: Mapping[str, Any]) -> Iterable[Item]:
    limit = raw.get("limit_set")
    if limit is not None:
        if not isinstance(limit, dict):
            raise ValueError("limit_set is no object")
        yield Item("limit", parse_revision(limit.get("revision")), _encode(limit))
    for listener in _list_of(raw, "listener_list"):
        if not isinstance(listener, dict):
            raise ValueError("a listener is no object")
        host = listener.get("hostname")
        if not isinstance(host, str) or not host.strip():
            raise ValueError("a hostname is empty")
        for rule in _list_of(listener, "rule_set"):
            name = _name_of(rule)
            content = _encode({"hostname": host, "rule": rule})
            yield Item(f"route/{name}", parse_revision(rule.get("revision")), content)
    for cluster in _list_of(raw, "cluster_list"):
        yield Item(f"service/{_name_of(cluster)}", parse_revision(cluster.get("revision")), _encode(cluster))


def _encode(raw: Any) -> str:
    return json.dumps(raw, separators=(",", ":"), sort_keys=True)


def _reject_constant(text: str) -> None:
    """Rejects NaN and Infinity, which Python's JSON parser takes by default."""
    raise ValueError(f"{text} is no JSON")


def parse_change(body: bytes) -> Result[tuple[Item, ...], str]:
    """Parses the items of an admin call, each validated by itself, or returns why the call is malformed."""
    try:
        raw = json.loads(body, parse_constant=_reject_constant)
        json.dumps(raw, ensure_ascii=False).encode()  # raises for lone surrogates, which can't be encoded
        if not isinstance(raw, dict) or not ({"upserts", "removals"} & raw.keys()):
            raise ValueError("neither upserts nor removals")
        upserts, removals = raw.get("upserts", {}), raw.get("removals", {})
        if not isinstance(upserts, dict) or not isinstance(removals, dict):
            raise ValueError("upserts or removals is no object")
        items: dict[str, Item] = {}
        for item in _upserted_items(upserts):
            if item.name in items:
                raise ValueError(f"{item.name} is there twice")
            parse_item(item)
            items[item.name] = item
        for key, kind in (("route_list", "route"), ("service_list", "service")):
            for removal in _list_of(removals, key):
                item = Item(f"{kind}/{_name_of(removal)}", parse_revision(removal.get("revision")))
                if item.supersedes(items.get(item.name)):
                    items[item.name] = item
    except (ValueError, RecursionError) as error:
        return Error(str(error))
    return Ok(tuple(items.values()))


# --- parsed items


class Route(NamedTuple):
    """One routing rule. Times are in seconds."""

    name: str
    host: str
    prefix: str
    variant: str
    targets: tuple[tuple[str, float], ...]  # services, each with the cumulative sum of weights
    timeout_s: float
    target_s: float
    max_attempts: int
    priority: int


class Cluster(NamedTuple):
    """One service. If it is sharded, each of its servers runs only requests for keys that it holds."""

    name: str
    health_path: str
    max_conns: int
    idempotent: bool
    sharded: bool = False
    grants: str = ""  # how its servers are given keys: GRANTS_BY_HEARTBEAT or GRANTS_BY_INVOCATION


class Limits(NamedTuple):
    """Limits on the size and duration of clients' requests."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 48 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


def _parse_weight(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e12:
        raise ValueError(f"{value!r} is no weight")
    return float(value)


def _parse_count(value: Any, minimum: int = 0) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < minimum:
        raise ValueError(f"{value!r} is no number from {minimum} on")
    return int(value)


ParsedItem = Route | Cluster | Limits | ShardTable


def parse_item(item: Item) -> ParsedItem:
    """Parses the content of an item; raises ValueError if it is invalid."""
    if item.name.startswith(shards.ITEM_PREFIX):
        return ShardTable.decode(item.name, item.version, item.content)
    raw = json.loads(item.content)
    if item.name == "limit":
        return Limits(
            _parse_count(raw.get("max_header_bytes", 16384), 1),
            _parse_count(raw.get("max_body_bytes", 48 << 20), 1),
            parse_duration(raw.get("header_timeout", "3s")),
            parse_duration(raw.get("idle_timeout", "15s")),
        )
    if item.name.startswith("service/"):
        health_path = raw.get("health_path", "/health")
        if not isinstance(health_path, str) or not health_path.startswith("/"):
            raise ValueError(f"{health_path!r} is no path")
        max_conns = _parse_count(raw.get("max_conns", 64), 1)
        return Cluster(
            name=raw["name"],
            health_path=health_path,
            max_conns=max_conns,
            idempotent=raw.get("idempotent") is True,
            sharded=raw.get("sharded") is True,
            grants=str(raw.get("grants", "")),
        )
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
        total += _parse_weight(part.get("weight", 1))
        targets.append((service, total))
    if total <= 0:
        raise ValueError(f"{item.name}: its weights add up to 0")
    timeout_s = parse_duration(effect.get("timeout"))
    target_s = parse_duration(rule.get("target", effect["timeout"]))
    if target_s >= timeout_s + MAX_TARGET_EXCESS_S:
        raise ValueError(f"{item.name}: its target exceeds its time-out")
    return Route(
        rule["name"],
        raw["hostname"].strip().lower(),
        prefix,
        variant,
        tuple(targets),
        timeout_s,
        target_s,
        _parse_count(effect.get("max_attempts", 1), 1),
        _parse_count(rule.get("priority", 0)),
    )


class RoutingTable(NamedTuple):
    """The configuration in force: an immutable snapshot, replaced as a whole."""

    routes_by_host: Mapping[str, tuple[tuple[str, Route], ...]]  # of each host, the longest prefix first
    clusters: Mapping[str, Cluster]
    limits: Limits
    shards: Mapping[str, ShardTable] = MappingProxyType({})  # by service

    def is_sharded(self, service: str) -> bool:
        """Returns whether a service is split by key."""
        cluster = self.clusters.get(service)
        return cluster is not None and cluster.sharded

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that matches the path."""
        for prefix, route in self.routes_by_host.get(host, ()):
            if path.startswith(prefix):
                return route
        return None


EMPTY_TABLE = RoutingTable({}, {}, Limits())
_parsed: dict[Item, ParsedItem] = {}


class Conflict(NamedTuple):
    """Why a route is left out of the table, and the items involved."""

    names: frozenset[str]
    text: str


def build_table(items: Items) -> tuple[RoutingTable, list[Conflict]]:
    """Builds the table of a set of items.

    A route to an unknown service, or with the same host and prefix as another route, is left out and reported
    as a conflict.
    """
    routes_by_host: dict[str, dict[str, Route]] = {}
    clusters: dict[str, Cluster] = {}
    limits = Limits()
    tables: dict[str, ShardTable] = {}
    conflicts: list[Conflict] = []
    routes: list[Route] = []
    if len(_parsed) > 4 * len(items) + 64:
        _parsed.clear()
    for item in items.values():
        if not item.content:
            continue
        parsed = _parsed.get(item)
        if parsed is None:
            parsed = _parsed[item] = parse_item(item)
        if isinstance(parsed, Cluster):
            clusters[parsed.name] = parsed
        elif isinstance(parsed, Limits):
            limits = parsed
        elif isinstance(parsed, ShardTable):
            tables[parsed.service] = parsed
        else:
            routes.append(parsed)
    for route in sorted(routes, key=lambda r: r.name):
        missing = [name for name, _ in route.targets if name not in clusters]
        if missing:
            names = frozenset((f"route/{route.name}", f"service/{missing[0]}"))
            conflicts.append(Conflict(names, f"route {route.name} names the unknown service {missing[0]}"))
            continue
        other = routes_by_host.setdefault(route.host, {}).setdefault(route.prefix, route)
        if other is not route:
            names = frozenset((f"route/{route.name}", f"route/{other.name}"))
            conflicts.append(Conflict(names, f"routes {other.name} and {route.name} share host and prefix"))
    sorted_routes = {
        host: tuple(sorted(by_prefix.items(), key=lambda pair: -len(pair[0])))
        for host, by_prefix in routes_by_host.items()
    }
    return RoutingTable(sorted_routes, clusters, limits, tables), conflicts


def with_shards(table: RoutingTable, items: Iterable[Item]) -> RoutingTable:
    """Returns a table with some new assignments of keys; all items are `shards/...` items."""
    tables = dict(table.shards)
    for item in items:
        if item.content:
            shard_table = ShardTable.decode(item.name, item.version, item.content)
            tables[shard_table.service] = shard_table
        else:
            tables.pop(item.name.removeprefix(shards.ITEM_PREFIX), None)
    return table._replace(shards=tables)


def to_json(items: Items) -> bytes:
    """Returns the operators' items in force as the `upserts` of an admin call."""
    rules_by_host: dict[str, list[Any]] = {}
    clusters: list[Any] = []
    upserts: dict[str, Any] = {}
    for name in sorted(items):
        content = items[name].content
        if not content or name.startswith(shards.ITEM_PREFIX):
            continue
        raw = json.loads(content)
        if name == "limit":
            upserts["limit_set"] = raw
        elif name.startswith("route/"):
            rules_by_host.setdefault(raw["hostname"], []).append(raw["rule"])
        else:
            clusters.append(raw)
    upserts["listener_list"] = [
        {"hostname": host, "rule_set": rules} for host, rules in sorted(rules_by_host.items())
    ]
    upserts["cluster_list"] = clusters
    return json.dumps(upserts, separators=(",", ":")).encode()
