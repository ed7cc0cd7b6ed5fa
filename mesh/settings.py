"""The settings file: one table of name, type, default and check. Unknown fields are ignored."""

from __future__ import annotations

import math
import re
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from expression import Error, Ok, Result

DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")


class Address(NamedTuple):
    """A host by number, and a port."""

    host: str
    port: int

    @classmethod
    def read(cls, text: str) -> Address:
        """From `host:port`; ValueError where it is not one."""
        host, _, port = text.rpartition(":")
        if not host or not 0 <= int(port) < 65536:
            raise ValueError(f"{text!r} is no address")
        return cls(host, int(port))

    @property
    def text(self) -> str:
        """As `host:port`."""
        return f"{self.host}:{self.port}"


def parse_duration(value: Any) -> float:
    """A time as text (`1500ms`, `2.5s`), in seconds; ValueError where it is none."""
    found = DURATION.fullmatch(value) if isinstance(value, str) else None
    if found is None:
        raise ValueError(f"{value!r} is no time")
    return float(found[1]) / (1000.0 if found[2] == "ms" else 1.0)


class Row(NamedTuple):
    """One setting."""

    path: tuple[str, ...]
    read: Callable[[Any], Any]
    default: Any = None  # None: it must be there


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is no text")
    return value


def _flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"{value!r} is neither true nor false")
    return value


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise ValueError(f"{value!r} is no number from 0 on")
    return float(value)


def _whole(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"{value!r} is no whole number from 0 on")
    return int(value)


def _texts(value: Any) -> tuple[str, ...]:
    if isinstance(value, str):
        value = [part.strip() for part in value.split(",") if part.strip()]
    if not isinstance(value, list):
        raise ValueError(f"{value!r} is no list")
    return tuple(_text(item) for item in value)


def _addresses(value: Any) -> tuple[Address, ...]:
    return tuple(Address.read(text) for text in _texts(value))


def _address(value: Any) -> Address | None:
    return Address.read(_text(value)) if value != "" else None


def _ports(value: Any) -> tuple[int, int]:
    if not isinstance(value, list) or len(value) != 2 or not all(type(p) is int for p in value):
        raise ValueError(f"{value!r} is no pair of ports")
    first, last = value
    if not 0 <= first <= last < 65536:
        raise ValueError(f"{value!r} is no range of ports")
    return first, last


def _bounds(value: Any) -> Mapping[str, float]:
    found: dict[str, float] = {}
    for text in _texts(value):
        name, _, figure = text.partition("=")
        if figure in ("true", "false"):
            found[name] = float(figure == "true")
            continue
        try:
            found[name] = parse_duration(figure)
        except ValueError:
            found[name] = _number(float(figure))
    return found


TABLE: dict[str, Row] = {
    "name": Row(("node_name",), _text),
    "ip": Row(("ip",), _text),
    "zone": Row(("zone",), _text, ""),
    "region": Row(("region",), _text, ""),
    "ports": Row(("port_range",), _ports),
    "seeds": Row(("seed_list",), _addresses, ()),
    "first_start": Row(("first_start",), _flag, False),
    "counted": Row(("counted",), _flag, False),
    "data_dir": Row(("data_dir",), _text, ""),
    "beat_s": Row(("beat",), parse_duration, 1.5),
    "bounds": Row(("bound_set",), _bounds, {}),
    "app": Row(("app_addr",), _address, ""),
    "service": Row(("service",), _text, ""),
    "outbound": Row(("listen_map", "outbound"), _address, ""),
    "inbound": Row(("listen_map", "inbound"), _address, ""),
    "ready": Row(("listen_map", "ready"), _address, ""),
    "control": Row(("listen_map", "control"), _address, ""),
    "max_fds": Row(("limit_set", "max_fds"), _whole, 1024),
    "link_mbps": Row(("limit_set", "link_mbps"), _number, 1000.0),
    "memory_mb": Row(("limit_set", "memory_mb"), _number, 300.0),
    "disk_mb": Row(("limit_set", "disk_mb"), _number, 0.0),
    "losses": Row(("fault_budget", "machine_loss"), _whole, 1),
}


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a process is told. Times in seconds, addresses by number."""

    name: str
    ip: str
    zone: str
    region: str
    ports: tuple[int, int]
    seeds: tuple[Address, ...]
    first_start: bool
    counted: bool
    data_dir: str
    beat_s: float
    bounds: Mapping[str, float]
    app: Address | None
    service: str
    outbound: Address | None
    inbound: Address | None
    ready: Address | None
    control: Address | None
    max_fds: int
    link_mbps: float
    memory_mb: float
    disk_mb: float
    losses: int

    def bound(self, name: str, default: float) -> float:
        """One of the rules' figures; times in seconds."""
        return self.bounds.get(name, default)

    @property
    def peer_address(self) -> Address:
        """Where this process listens for others of the system."""
        return Address(self.ip, self.ports[0])

    @property
    def seed_peers(self) -> list[str]:
        """Where the seeds listen for others: ports are the same on all machines."""
        return sorted(Address(seed.host, self.ports[0]).text for seed in self.seeds)


def read(text: str) -> Result[Settings, str]:
    """Settings from the text of a file, or what is wrong with which field."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Error(f"not TOML: {error}")
    values: dict[str, Any] = {}
    for name, row in TABLE.items():
        value: Any = raw
        path = ".".join(row.path)
        for part in row.path:
            if not isinstance(value, dict):
                return Error(f"{path}: there is no table above it")
            value = value.get(part)
            if value is None:
                break
        if value is None:
            if row.default is None:
                return Error(f"{path} is missing")
            value = row.default
            if not isinstance(value, str | list):
                values[name] = value
                continue
        try:
            values[name] = row.read(value)
        except ValueError as error:
            return Error(f"{path}: {error}")
    return Ok(Settings(**values))
