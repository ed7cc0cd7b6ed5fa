"""The `fleet` table of the operators' file: who may be of the fleet, and how its members speak."""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from hollyport.settings.options import BadValue
from hollyport.settings.table import Table

LEAST_KEY = 16  # bytes
MOST_KEY = 64  # what BLAKE2b takes
MOST_NAME = 64
PEERS_BYTES = 256  # what the platform carries between sidecars


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """The whole table."""

    name: str
    halls: tuple[tuple[str, tuple[tuple[str, str], ...]], ...]  # by hall: names with their addresses, or ""
    keys: tuple[bytes, ...]  # the first signs, all verify
    also: tuple[str, ...] = ()
    member: str = ""  # empty: the sidecar's own name
    listen: str = "127.0.0.1:0"
    advertise: str = ""  # empty: where it listens
    datagram_bytes: int = 1200
    period_s: float = 0.25
    view: int = 256
    facts: int = 1024
    peers: bool = False  # the platform's configuration tells who is there, and where

    def fixed(self) -> tuple[Any, ...]:
        """What a running member can't change."""
        return (self.member, self.listen, self.advertise, self.period_s, self.view, self.facts, self.peers)

    def of_platform(self, allowed: bool, listen: Any, peers: Any, index: int) -> FleetOptions:
        """With what the platform's configuration tells of sidecars of this tier: names are their numbers.
        Raise BadValue where its settings don't allow datagrams, or the configuration doesn't tell."""
        if not allowed:
            raise BadValue(("peers",), "the platform's settings allow no datagrams between sidecars")
        try:
            addresses = [_address(peer, ()) for peer in peers]
            where = _address(listen, ())
            own = addresses[index]
        except (BadValue, TypeError, AttributeError, IndexError):
            raise BadValue(("peers",), "the configuration's peer_listen, peers and index don't fit") from None
        tier = tuple((str(number), address) for number, address in enumerate(addresses))
        return replace(self, halls=(("tier", tier),), member=str(index), listen=where, advertise=own)


def _address(text: str, path: tuple[str | int, ...]) -> str:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))  # a name would have to be looked up, and that takes time
    except ValueError:
        host = ""
    if not host or not (port.isascii() and port.isdigit()) or int(port) > 65535 or len(text) > 64:
        raise BadValue(path, f"must be HOST:PORT, with an IP literal, is {text!r}")
    return text


def _keys(text: str, path: tuple[str | int, ...]) -> tuple[bytes, ...]:
    """The keys in a file: lines of hex digits, the first to sign, a second only to verify. `#` begins a
    remark."""
    try:
        lines = Path(text).read_text(encoding="ascii").splitlines()
    except (OSError, ValueError) as error:
        raise BadValue(path, f"can't be read: {' '.join(str(error).split())}") from None
    made: list[bytes] = []
    for number, line in enumerate(lines, 1):
        word = line.partition("#")[0].strip()
        if not word:
            continue
        try:
            key = bytes.fromhex(word)
        except ValueError:
            raise BadValue(path, f"{text}:{number}: a key is written in hex digits") from None
        if not LEAST_KEY <= len(key) <= MOST_KEY:
            raise BadValue(
                path, f"{text}:{number}: a key has {LEAST_KEY} to {MOST_KEY} bytes, not {len(key)}"
            )
        made.append(key)
    if not 1 <= len(made) <= 2:
        raise BadValue(
            path, f"{text}: one key is wanted, or two while they are changed; there are {len(made)}"
        )
    return tuple(made)


def _halls(table: Table | None) -> tuple[tuple[str, tuple[tuple[str, str], ...]], ...]:
    if table is None:
        raise BadValue(("halls",), "is missing: a table of halls with their members")
    made, seen = [], set()
    for hall in table.names():
        members = []
        for number, text in enumerate(table.texts(hall)):
            name, _, address = text.partition("@")
            path = (*table.path, hall, number)
            if not name or len(name) > MOST_NAME:
                raise BadValue(
                    path, f"must be NAME or NAME@HOST:PORT, with a name of 1 to {MOST_NAME}, is {text!r}"
                )
            if name in seen:
                raise BadValue(path, f"a name stands twice: {name!r}")
            seen.add(name)
            members.append((name, _address(address, path) if address else ""))
        made.append((hall, tuple(members)))
    table.done()
    if not seen:
        raise BadValue(("halls",), "names nobody")
    return tuple(made)


def read(raw: Mapping[str, Any]) -> FleetOptions:
    """Read the table; raise BadValue on what is unusable."""
    table = Table(raw, ())
    name = table.text("name")
    table.must(
        0 < len(name) <= MOST_NAME, "name", f"must be a text of 1 to {MOST_NAME} characters, is {name!r}"
    )
    peers = table.flag("peers", False)
    listen = _address(table.text("listen", "127.0.0.1:0"), ("listen",))
    advertise = table.text("advertise")
    size = table.number("datagram_bytes", PEERS_BYTES if peers else 1200, 256, PEERS_BYTES if peers else 1200)
    halls = table.table("halls")
    table.must(not (peers and halls is not None), "halls", "peers = true takes them from the configuration")
    made = FleetOptions(
        name,
        () if peers else _halls(halls),
        _keys(table.text("keys"), ("keys",)),
        table.texts("also"),
        table.text("member"),
        listen,
        _address(advertise, ("advertise",)) if advertise else "",
        int(size),
        table.number("period_s", 0.25, 0.1, 5.0),
        int(table.number("view", 256, 8, 4096)),
        int(table.number("facts", 1024, 16, 65536)),
        peers,
    )
    table.done()
    named = [member for _, members in made.halls for member in members]
    if len(named) > made.view + 1 and not all(address for _, address in named):
        # Whoever is met first could not tell a newcomer where those in its view are.
        raise BadValue(("view",), f"names {made.view} of {len(named)}: then each name needs its @HOST:PORT")
    return made
