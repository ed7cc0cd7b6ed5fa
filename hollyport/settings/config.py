"""What a sidecar is told at its start: the environment and a JSON file, checked and typed."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from dunefield.interface import Settings, SettingsError


class ConfigError(ValueError):
    """The configuration cannot be used; the message names the key."""


class Address(NamedTuple):
    """A host, as an IP literal, and a port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Config:
    """All that one sidecar is told."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    known: Mapping[str, Any]
    settings: Settings
    console: Address | None = None  # the second address; None: there is none
    memory_mb: int = 192
    peer_listen: Any = None  # of the platform's datagrams between sidecars; read by the fleet part alone
    peers: Any = None
    accept_fd: int | None = None  # the descriptor of a listening socket that the platform holds


def parse_address(text: Any) -> Address:
    """Read "host:port"; raise ValueError on anything else."""
    if not isinstance(text, str):
        raise ValueError(f"not an address: {text!r}")
    host, colon, port = text.rpartition(":")
    if not colon or not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise ValueError(f"not an address: {text!r}")
    return Address(host.strip("[]"), int(port))


def load(env: Mapping[str, str], again: bool = False) -> Config:
    """Read the configuration; single variables win over the file that NODE_CONFIG names.

    Read again, a running sidecar's file wins: the variables tell what held at the start and can't change.
    """
    path = env.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"NODE_CONFIG: {path}: {' '.join(str(error).split())}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"NODE_CONFIG: {path} does not hold an object")
    for key in ("name", "listen", "discovery"):
        set_to = None if again and key == "discovery" else env.get(f"NODE_{key.upper()}")
        raw[key] = set_to or raw.get(key)
    limits = raw.get("limits", {})
    sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else None
    if not isinstance(sockets, int) or isinstance(sockets, bool) or sockets < 32:
        raise ConfigError(f"limits.sockets must be a whole number from 32 up, is {sockets!r}")
    memory = limits.get("memory_mb", 192)
    if not isinstance(memory, int | float) or isinstance(memory, bool) or not memory > 0:
        raise ConfigError(f"limits.memory_mb must be a number above 0, is {memory!r}")
    known = raw.get("known")
    if not isinstance(known, dict) or not isinstance(known.get("endpoints"), list):
        raise ConfigError("known.endpoints is not a list")
    if not isinstance(raw["name"], str):
        raise ConfigError(f"name is not a text: {raw['name']!r}")
    told = (None if again else env.get("NODE_CONSOLE")) or raw.get("console")
    try:
        settings = Settings.parse(raw.get("settings"))
    except SettingsError as error:
        raise ConfigError(str(error)) from None
    return Config(
        name=raw["name"],
        listen=_address(raw, "listen"),
        discovery=_address(raw, "discovery"),
        seed=_seed(raw.get("seed")),
        sockets=sockets,
        known=known,
        settings=settings,
        console=_address({"console": told}, "console") if told else None,
        memory_mb=int(memory),
        peer_listen=raw.get("peer_listen"),
        peers=raw.get("peers"),
        accept_fd=_descriptor(env.get("NODE_ACCEPT_FD")),
    )


def _address(raw: Mapping[str, Any], key: str) -> Address:
    try:
        return parse_address(raw[key])
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None


def _descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not (text.isascii() and text.isdigit()) or len(text) > 9:
        raise ConfigError(f"NODE_ACCEPT_FD is not the number of a descriptor: {text!r}")
    return int(text)


def _seed(value: Any) -> int:
    try:
        return int(value, 16)
    except (TypeError, ValueError):
        raise ConfigError(f"seed is not a text of hex digits: {value!r}") from None
