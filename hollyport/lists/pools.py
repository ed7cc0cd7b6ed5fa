"""Which pool of nodes a node belongs to: nodes of one pool speak one protocol and are chosen by one decision
module. No I/O.

A node speaks what its own line says (`protocol` in the list's entry or in a registry's metadata); where that
is silent, the first of the operators' rules that fits decides; else it speaks HTTP/1.1. A node that comes to
speak another protocol leaves its old pool as one that is gone, and is new in the other. One that speaks
what is not switched on is in no pool: bytes of a protocol that it does not speak would do it no good.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from fnmatch import fnmatchcase
from ipaddress import IPv4Network, IPv6Network, ip_address
from typing import NamedTuple

from dunefield.interface import Settings
from hollyport.lists.discovery import HTTP, Line, Listing

MOST_TOLD = 64  # protocols that are told of once each in the log


@dataclass(frozen=True, slots=True)
class NodeRule:
    """Nodes that all of what is given fits speak a protocol. Empty conditions fit every node."""

    protocol: str
    names: tuple[str, ...] = ()  # patterns as of file names
    halls: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    networks: tuple[IPv4Network | IPv6Network, ...] = ()
    ports: tuple[int, ...] = ()

    def fits(self, line: Line, settings: Settings) -> bool:
        """Whether this node is one of those."""
        entry, address = line.entry, line.address
        return (
            (not self.names or any(fnmatchcase(entry.server, pattern) for pattern in self.names))
            and (not self.halls or _named(settings.zones, entry.zone) in self.halls)
            and (not self.kinds or _named(settings.kinds, entry.kind) in self.kinds)
            and (not self.ports or address.port in self.ports)
            and (not self.networks or _inside(address.host, self.networks))
        )


def _named(names: Sequence[str], number: int) -> str:
    return names[number] if 0 <= number < len(names) else ""


def _inside(host: str, networks: Iterable[IPv4Network | IPv6Network]) -> bool:
    try:
        address = ip_address(host)
    except ValueError:
        return False  # a name: rules by address don't speak of it
    return any(address in network for network in networks)


class Dealt(NamedTuple):
    """One list, dealt out."""

    lines: tuple[Line, ...]  # of all pools, in the list's order
    shares: dict[str, Listing]


def gone(line: Line) -> Line:
    """The same node, and it is there no more."""
    return line._replace(entry=line.entry._replace(lifecycle="removed"))


class Pools:
    """Deals the list's lines out to the pools."""

    def __init__(
        self,
        speak: Mapping[str, str],
        rules: Sequence[NodeRule],
        settings: Settings,
        note: Callable[[str], None] | None = None,
    ) -> None:
        """`speak`: the pool of each protocol that is switched on."""
        self._speak, self._rules, self._settings = dict(speak), tuple(rules), settings
        self._note = note or (lambda text: print(text, file=sys.stderr, flush=True))
        self._at: dict[str, str] = {}  # the pool that each node is in
        self._told: set[str] = set()
        self.names = tuple(dict.fromkeys(self._speak.values()))

    def protocol(self, line: Line) -> str:
        """What a node speaks."""
        if line.protocol:
            return line.protocol
        return next((rule.protocol for rule in self._rules if rule.fits(line, self._settings)), HTTP)

    def deal(self, listing: Listing) -> Dealt:
        """What each pool is to be told of a list, lines with their protocol filled in. Every pool is told of
        every list, if of none of its nodes: that there is news of none is news as well."""
        lines: dict[str, list[Line]] = {name: [] for name in self.names}
        order: list[Line] = []

        def put(pool: str, line: Line) -> None:
            lines[pool].append(line)
            order.append(line)

        seen = set()
        for line in listing.lines:
            name = line.entry.server
            before = self._at.get(name)
            if line.entry.lifecycle == "removed":
                if before is not None:
                    del self._at[name]
                    put(before, line)
                continue
            seen.add(name)
            protocol = self.protocol(line)
            pool = self._speak.get(protocol)
            if pool is None:
                self._unknown(protocol, name)
            if before is not None and before != pool:
                # In the order of the list: it may stand there twice.
                del self._at[name]
                put(before, gone(line))
            if pool is not None:
                self._at[name] = pool
                put(pool, line._replace(protocol=protocol))
        if listing.whole:
            for name in self._at.keys() - seen:
                del self._at[name]
        shares = {pool: listing._replace(lines=tuple(told)) for pool, told in lines.items()}
        return Dealt(tuple(order), shares)

    def _unknown(self, protocol: str, name: str) -> None:
        if protocol not in self._told and len(self._told) < MOST_TOLD:
            self._told.add(protocol)
            self._note(f"nodes that speak {protocol!r:.60} get nothing: not switched on (first: {name})")
