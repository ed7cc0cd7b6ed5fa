"""The `registries` table of the operators' file: which sources there are, and how they are taken together."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from hollyport.options import BadValue
from hollyport.registries.http import Place, parse_place

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


class _Table:
    """Typed access to one table: what is wrong or unknown is named by its path."""

    def __init__(self, raw: Any, path: tuple[str | int, ...]) -> None:
        if not isinstance(raw, Mapping):
            raise BadValue(path, f"must be a table, is {raw!r}")
        self._raw, self.path = dict(raw), path

    def _take(self, key: str, kinds: tuple[type, ...], default: Any, what: str) -> Any:
        value = self._raw.pop(key, default)
        if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
            raise BadValue((*self.path, key), f"must be {what}, is {value!r}")
        return value

    def number(self, key: str, default: float, least: float, most: float = math.inf) -> float:
        value = float(self._take(key, (int, float), default, "a number"))
        if not least <= value <= most or not math.isfinite(value):
            raise BadValue((*self.path, key), f"must be from {least:g} to {most:g}, is {value:g}")
        return value

    def text(self, key: str, default: str = "", among: tuple[str, ...] = ()) -> str:
        value = str(self._take(key, (str,), default, "a text"))
        if among and value not in among:
            raise BadValue((*self.path, key), f"must be one of {', '.join(among)}, is {value!r}")
        return value

    def flag(self, key: str, default: bool) -> bool:
        return bool(self._take(key, (bool,), default, "true or false"))

    def texts(self, key: str) -> tuple[str, ...]:
        value = self._take(key, (list,), [], "a list of texts")
        if not all(isinstance(item, str) and item for item in value):
            raise BadValue((*self.path, key), f"must be a list of texts, is {value!r}")
        return tuple(value)

    def items(self, key: str) -> list[Any]:
        return list(self._take(key, (list,), [], "a list"))

    def table(self, key: str) -> _Table | None:
        return _Table(self._raw.pop(key), (*self.path, key)) if key in self._raw else None

    def pairs(self, key: str) -> dict[str, str]:
        raw = self._take(key, (dict,), {}, "a table")
        for name, value in raw.items():
            if not isinstance(value, str):
                raise BadValue((*self.path, key, name), f"must be a text, is {value!r}")
        return dict(raw)

    def done(self) -> None:
        for key in self._raw:
            raise BadValue((*self.path, key), "no such key")

    def must(self, good: bool, key: str, what: str) -> None:
        if not good:
            raise BadValue((*self.path, key), what)


def read(raw: Mapping[str, Any]) -> RegistryOptions:
    """Read the table; raise BadValue on what is unusable."""
    table = _Table(raw, ())
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


def _eureka(table: _Table | None) -> EurekaOptions | None:
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
    keys = table.table("map") or _Table({}, (*table.path, "map"))
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


def _registration(table: _Table | None) -> Registration | None:
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
