"""The settings file, described by one table of fields, checks and defaults. Unknown fields are ignored."""

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
    """An IP address and a port."""

    host: str
    port: int

    @classmethod
    def read(cls, text: str) -> Address:
        """Parses `host:port`; raises ValueError if the text is not of that form."""
        host, _, port = text.rpartition(":")
        if not host or not 0 <= int(port) < 65536:
            raise ValueError(f"{text!r} is not an address of the form host:port")
        return cls(host, int(port))

    @property
    def text(self) -> str:
        """The address in the form `host:port`."""
        return f"{self.host}:{self.port}"


def parse_duration(value: Any) -> float:
    """Parses a duration such as `1500ms` or `2.5s` into seconds; raises ValueError if it is none."""
    match = DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(f"{value!r} is no time")  # this text is part of API responses
    return float(match[1]) / (1000.0 if match[2] == "ms" else 1.0)


class Field(NamedTuple):
    """One field of the settings file."""

    path: tuple[str, ...]
    parse: Callable[[Any], Any]  # raises ValueError if the value is not valid
    default: Any = None  # None: the field is required


def _string(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a string")
    return value


def _boolean(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"{value!r} is not a boolean")
    return value


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise ValueError(f"{value!r} is not a non-negative number")
    return float(value)


def _integer(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"{value!r} is not a non-negative integer")
    return int(value)


def _strings(value: Any) -> tuple[str, ...]:
    if isinstance(value, str):
        value = [part.strip() for part in value.split(",") if part.strip()]
    if not isinstance(value, list):
        raise ValueError(f"{value!r} is not a list")
    return tuple(_string(item) for item in value)


def _addresses(value: Any) -> tuple[Address, ...]:
    return tuple(Address.read(text) for text in _strings(value))


def _address(value: Any) -> Address | None:
    return Address.read(_string(value)) if value != "" else None


def _port_range(value: Any) -> tuple[int, int]:
    if not isinstance(value, list) or len(value) != 2 or not all(type(port) is int for port in value):
        raise ValueError(f"{value!r} is not a pair of ports")
    first, last = value
    if not 0 <= first <= last < 65536:
        raise ValueError(f"{value!r} is not a range of ports")
    return first, last


def _bounds(value: Any) -> Mapping[str, float]:
    bounds: dict[str, float] = {}
    for text in _strings(value):
        name, _, number = text.partition("=")
        if number in ("true", "false"):
            bounds[name] = float(number == "true")
            continue
        try:
            bounds[name] = parse_duration(number)
        except ValueError:
            bounds[name] = _number(float(number))
    return bounds


FIELDS: dict[str, Field] = {
    "name": Field(("node_name",), _string),
    "ip": Field(("ip",), _string),
    "zone": Field(("zone",), _string, ""),
    "region": Field(("region",), _string, ""),
    "ports": Field(("port_range",), _port_range),
    "seeds": Field(("seed_list",), _addresses, ()),
    "first_start": Field(("first_start",), _boolean, False),
    "counted": Field(("counted",), _boolean, False),
    "data_dir": Field(("data_dir",), _string, ""),
    "beat_s": Field(("beat",), parse_duration, 1.5),
    "bounds": Field(("bound_set",), _bounds, {}),
    "app": Field(("app_addr",), _address, ""),
    "service": Field(("service",), _string, ""),
    "outbound": Field(("listen_map", "outbound"), _address, ""),
    "inbound": Field(("listen_map", "inbound"), _address, ""),
    "ready": Field(("listen_map", "ready"), _address, ""),
    "control": Field(("listen_map", "control"), _address, ""),
    "max_fds": Field(("limit_set", "max_fds"), _integer, 1024),
    "link_mbps": Field(("limit_set", "link_mbps"), _number, 1000.0),
    "memory_mb": Field(("limit_set", "memory_mb"), _number, 300.0),
    "client_memory_mb": Field(("limit_set", "client_memory_mb"), _number, 0.0),
    "disk_mb": Field(("limit_set", "disk_mb"), _number, 0.0),
    "grants": Field(("grants",), _string, ""),
    "losses": Field(("fault_budget", "machine_loss"), _integer, 1),
}


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a process. Times are in seconds, hosts are IP addresses."""

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
    client_memory_mb: float  # the most that clients may hold together; 0: what memory_mb allows
    disk_mb: float
    grants: str  # how servers are given keys, where a service does not say so
    losses: int

    def bound(self, name: str, default: float) -> float:
        """Returns a value of `bound_set`, in seconds if it is a duration, or the default."""
        return self.bounds.get(name, default)

    @property
    def peer_address(self) -> Address:
        """The address where this process listens for other processes of the mesh."""
        return Address(self.ip, self.ports[0])

    @property
    def seed_peers(self) -> list[str]:
        """The addresses where the seeds listen for other processes; all machines use the same port."""
        return sorted(Address(seed.host, self.ports[0]).text for seed in self.seeds)


def read(text: str) -> Result[Settings, str]:
    """Parses the text of a settings file; an error names the field that is not valid."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Error(f"not TOML: {error}")
    values: dict[str, Any] = {}
    for name, field in FIELDS.items():
        value: Any = raw
        path = ".".join(field.path)
        for part in field.path:
            if not isinstance(value, dict):
                return Error(f"{path}: a parent is not a table")
            value = value.get(part)
            if value is None:
                break
        if value is None:
            if field.default is None:
                return Error(f"{path} is missing")
            value = field.default
            if not isinstance(value, str | list):
                values[name] = value
                continue
        try:
            values[name] = field.parse(value)
        except ValueError as error:
            return Error(f"{path}: {error}")
    return Ok(Settings(**values))
