"""The `fleet` table of the operators' file: who may be of the fleet, and how its members speak."""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from hollyport.settings.options import BadValue
from hollyport.settings.table import Table

LEAST_KEY = 16  # bytes
MOST_KEY = 64  # what BLAKE2b takes
MOST_NAME = 64


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

    def fixed(self) -> tuple[Any, ...]:
        """What a running member can't change."""
        return (self.member, self.listen, self.advertise, self.period_s, self.view, self.facts)


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
    listen = _address(table.text("listen", "127.0.0.1:0"), ("listen",))
    advertise = table.text("advertise")
    made = FleetOptions(
        name,
        _halls(table.table("halls")),
        _keys(table.text("keys"), ("keys",)),
        table.texts("also"),
        table.text("member"),
        listen,
        _address(advertise, ("advertise",)) if advertise else "",
        int(table.number("datagram_bytes", 1200, 256, 1200)),
        table.number("period_s", 0.25, 0.1, 5.0),
        int(table.number("view", 256, 8, 4096)),
        int(table.number("facts", 1024, 16, 65536)),
    )
    table.done()
    halls = [member for _, members in made.halls for member in members]
    if len(halls) > made.view + 1 and not all(address for _, address in halls):
        # Whoever is met first could not tell a newcomer where those in its view are.
        raise BadValue(("view",), f"names {made.view} of {len(halls)}: then each name needs its @HOST:PORT")
    return made
