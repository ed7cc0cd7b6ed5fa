"""The `thrift` table of the operators' file: where Thrift is spoken, which methods are which classes, and
which nodes speak it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from ipaddress import IPv4Network, IPv6Network, ip_network
from typing import Any

from hollyport.settings.config import Address, parse_address
from hollyport.settings.options import BadValue
from hollyport.settings.table import Table
from hollyport.thrift.methods import UNITS_NS, Path
from hollyport.thrift.stream import FORMS

DETECT = "detect"
POOL = "thrift"


@dataclass(frozen=True, slots=True)
class ListenerOptions:
    """One place where Thrift clients connect."""

    address: Address
    form: str = DETECT
    member: str = ""


@dataclass(frozen=True, slots=True)
class MethodOptions:
    """Methods of one name, prefix (with a * at its end), or all (*)."""

    name: str
    cls: str
    oneway: bool = False
    deadline: Path = ()
    unit_ns: int = UNITS_NS["ms"]
    rid: Path = ()
    member: Path = ()
    key: Path = ()
    once: Path = ()


@dataclass(frozen=True, slots=True)
class NodeOptions:
    """Nodes that speak Thrift though their line in the list does not say so."""

    form: str
    names: tuple[str, ...] = ()
    halls: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    networks: tuple[IPv4Network | IPv6Network, ...] = ()
    ports: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class ProbeOptions:
    """How nodes are asked for their load: by a method without arguments, or over HTTP on another port."""

    method: str = ""
    inflight: Path = ()
    queue: Path = ()
    http_port: int = 0


@dataclass(frozen=True, slots=True)
class ThriftOptions:
    """The whole table."""

    listeners: tuple[ListenerOptions, ...]
    methods: tuple[MethodOptions, ...]
    nodes: tuple[NodeOptions, ...] = ()
    sources: tuple[tuple[IPv4Network | IPv6Network, str], ...] = ()
    probe: ProbeOptions | None = None
    most: int = 256 << 10  # bytes of a call
    connections: float = 0.25  # part of the descriptors for clients
    idle_s: float = 300.0  # how long a connection is kept between calls


def _networks(table: Table, key: str) -> tuple[IPv4Network | IPv6Network, ...]:
    found = []
    for text in table.texts(key):
        try:
            found.append(ip_network(text))
        except ValueError as error:
            raise BadValue((*table.path, key), str(error)) from None
    return tuple(found)


def _path(table: Table, key: str, least: int = 1) -> Path:
    path = table.numbers(key, -32768, 32767)
    table.must(len(path) <= 16, key, "leads deeper than 16 structs")
    return path


def _listener(table: Table) -> ListenerOptions:
    text = table.text("address")
    try:
        address = parse_address(text)
    except ValueError as error:
        raise BadValue((*table.path, "address"), str(error)) from None
    made = ListenerOptions(address, table.text("form", DETECT, (DETECT, *FORMS)), table.text("member"))
    table.done()
    return made


def _method(table: Table) -> MethodOptions:
    name = table.text("name")
    table.must(bool(name) and "*" not in name[:-1], "name", "must be a name, a prefix and *, or *")
    made = MethodOptions(
        name,
        table.text("class"),
        table.flag("oneway", False),
        _path(table, "deadline"),
        UNITS_NS[table.text("deadline_unit", "ms", tuple(UNITS_NS))],
        _path(table, "id"),
        _path(table, "member"),
        _path(table, "key"),
        _path(table, "idempotency_key"),
    )
    table.must(bool(made.cls), "class", "must be told")
    table.done()
    return made


def _node(table: Table) -> NodeOptions:
    made = NodeOptions(
        table.text("form", "", tuple(FORMS)),
        table.texts("names"),
        table.texts("halls"),
        table.texts("kinds"),
        _networks(table, "networks"),
        table.numbers("ports", 1, 65535),
    )
    table.done()
    return made


def _probe(table: Table | None) -> ProbeOptions | None:
    if table is None:
        return None
    made = ProbeOptions(
        table.text("method"),
        _path(table, "inflight"),
        _path(table, "queue"),
        int(table.number("http_port", 0, 0, 65535)),
    )
    table.must(bool(made.method) != bool(made.http_port), "method", "or http_port must be told, and not both")
    table.must(
        not made.method or bool(made.inflight and made.queue), "inflight",
        "and queue must be told with a method: paths of field ids into its result, which begin with 0",
    )  # fmt: skip
    table.done()
    return made


def read(raw: Mapping[str, Any]) -> ThriftOptions:
    """Read the table; raise BadValue on what is unusable. Names of classes and members are checked against
    the platform's settings when the daemon starts."""
    table = Table(raw, ())
    listeners = tuple(_listener(item) for item in table.tables("listeners"))
    table.must(bool(listeners), "listeners", "must hold one at least")
    methods = tuple(_method(item) for item in table.tables("methods"))
    table.must(bool(methods), "methods", "must hold one at least")
    for number, method in enumerate(methods):
        if method.name in {m.name for m in methods[:number]}:
            raise BadValue(("methods", number, "name"), f"{method.name!r} stands here twice")
    nodes = tuple(_node(item) for item in table.tables("nodes"))
    sources = []
    for text, member in table.pairs("sources").items():
        try:
            sources.append((ip_network(text), member))
        except ValueError as error:
            raise BadValue(("sources", text), str(error)) from None
    made = ThriftOptions(
        listeners,
        methods,
        nodes,
        tuple(sources),
        _probe(table.table("probe")),
        int(table.number("message_kb", 256, 1, 16384) * 1024),
        table.number("connections", 0.25, 0.01, 0.9),
        table.number("idle_s", 300.0, 2.0, 86400.0),
    )
    table.done()
    return made
