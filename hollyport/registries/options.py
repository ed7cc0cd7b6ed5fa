"""The `registries` table of the operators' file: which sources there are, and how they are taken together."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from hollyport.registries.http import Place, parse_place
from hollyport.settings.options import BadValue
from hollyport.settings.table import Table

PLATFORM, EUREKA = "platform", "eureka"


@dataclass(frozen=True, slots=True)
class Registration:
    """The application beside the daemon, as it is registered."""

    app: str
    instance: str
    host: str
    ip: str
    port: int
    vip: str = ""
    renew_s: float = 30.0
    lease_s: float = 90.0
    status: str = "UP"
    metadata: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EurekaOptions:
    """How a Eureka registry is read."""

    places: tuple[tuple[Place, str], ...]  # with the hall that each stands in, "" where that is not told
    apps: tuple[str, ...] = ()
    vips: tuple[str, ...] = ()
    format: str = "json"
    interval_s: float = 5.0
    jitter: float = 0.2
    timeout_s: float = 2.0
    refresh_s: float = 300.0
    max_mb: float = 64.0
    deltas: bool = True
    secure: bool = False
    prefer_ip: bool = True
    user: str = ""
    password_file: str = ""
    password_env: str = ""
    ca_file: str = ""
    hall_key: str = "zone"
    kind_key: str = ""
    group_key: str = ""
    weight_key: str = ""
    protocol_key: str = "protocol"
    registration: Registration | None = None


@dataclass(frozen=True, slots=True)
class RegistryOptions:
    """The whole table."""

    sources: tuple[str, ...]
    halls: Mapping[str, str]
    shrink: float
    confirm_s: float
    keep_s: float
    most: int
    cache_file: str
    eureka: EurekaOptions | None


def read(raw: Mapping[str, Any]) -> RegistryOptions:
    """Read the table; raise BadValue on what is unusable."""
    table = Table(raw, ())
    sources = table.texts("sources")
    table.must(
        bool(sources) and set(sources) <= {PLATFORM, EUREKA} and len(set(sources)) == len(sources),
        "sources",
        f"must name {PLATFORM} and {EUREKA}, or one of them",
    )
    halls = table.pairs("halls")
    for hall, owner in halls.items():
        if owner not in sources:
            raise BadValue(("halls", hall), f"must be one of the sources, is {owner!r}")
    made = RegistryOptions(
        sources,
        halls,
        table.number("shrink", 0.3, 0.0, 1.0),
        table.number("confirm_s", 2.0, 0.0, 3600.0),
        table.number("keep_s", 0.0, 0.0),
        int(table.number("most", 0, 0)),
        table.text("cache_file"),
        _eureka(table.table("eureka")),
    )
    table.must(
        (made.eureka is not None) == (EUREKA in sources),
        "eureka",
        "must be there if and only if it is one of the sources",
    )
    table.done()
    return made


def _eureka(table: Table | None) -> EurekaOptions | None:
    if table is None:
        return None
    places = []
    for number, item in enumerate(table.items("addresses")):
        path = (*table.path, "addresses")
        url, hall = (item, "") if isinstance(item, str) else (None, "")
        if isinstance(item, Mapping) and set(item) <= {"url", "hall"}:
            url, hall = item.get("url"), item.get("hall", "")
        if not isinstance(url, str) or not isinstance(hall, str):
            raise BadValue(path, f"number {number + 1} must be a URL, or {{ url = ..., hall = ... }}")
        try:
            places.append((parse_place(url), hall))
        except ValueError as error:
            raise BadValue(path, f"number {number + 1}: {error}") from None
    table.must(bool(places), "addresses", "must name one address at least")
    keys = table.table("map") or Table({}, (*table.path, "map"))
    made = EurekaOptions(
        tuple(places),
        table.texts("apps"),
        table.texts("vips"),
        table.text("format", "json", ("json", "xml")),
        table.number("interval_s", 5.0, 0.05, 3600.0),
        table.number("jitter", 0.2, 0.0, 0.9),
        table.number("timeout_s", 2.0, 0.05, 60.0),
        table.number("refresh_s", 300.0, 0.0),
        table.number("max_mb", 64.0, 0.01, 1024.0),
        table.flag("deltas", True),
        table.flag("secure", False),
        table.flag("prefer_ip", True),
        table.text("user"),
        table.text("password_file"),
        table.text("password_env"),
        table.text("ca_file"),
        keys.text("hall", "zone"),
        keys.text("kind"),
        keys.text("group"),
        keys.text("weight"),
        keys.text("protocol", "protocol"),
        _registration(table.table("register")),
    )
    table.must(
        bool(made.apps or made.vips), "apps", "must name one application at least, or vips one address"
    )
    table.must(
        not (made.password_file and made.password_env), "password_file", "not together with password_env"
    )
    keys.done()
    table.done()
    return made


def _registration(table: Table | None) -> Registration | None:
    if table is None:
        return None
    made = Registration(
        table.text("app"),
        table.text("instance"),
        table.text("host"),
        table.text("ip", "127.0.0.1"),
        int(table.number("port", 0, 1, 65535)),
        table.text("vip"),
        table.number("renew_s", 30.0, 0.05, 3600.0),
        table.number("lease_s", 90.0, 0.1, 86400.0),
        table.text("status", "UP", ("UP", "OUT_OF_SERVICE", "DOWN", "STARTING")),
        table.pairs("metadata"),
    )
    for key in ("app", "instance", "host"):
        table.must(bool(getattr(made, key)), key, "must be told")
    table.must(made.renew_s < made.lease_s, "renew_s", "must be under lease_s")
    table.done()
    return made
