"""The `guards` table of the operators' file: who may connect, how often, what is kept for known clients."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from hollyport.guards.admission import Caps, Network, Rules, networks
from hollyport.settings.options import BadValue
from hollyport.settings.table import Table


@dataclass(frozen=True, slots=True)
class GuardOptions:
    """The whole table. Caps hold for each listener by itself."""

    address: Caps
    prefix: Caps
    reserve: float = 0.25
    known: tuple[Network, ...] = ()
    known_s: float = 60.0
    sources: int = 4096
    prefix_v4: int = 24
    prefix_v6: int = 48

    def rules(self, most: int) -> Rules:
        """As they hold for a listener of so many connections."""
        return Rules(
            most, self.address, self.prefix, int(most * self.reserve), self.known, self.known_s, self.sources,
            self.prefix_v4, self.prefix_v6,
        )  # fmt: skip


def _caps(table: Table | None, path: tuple[str | int, ...], plain: Caps) -> Caps:
    table = table or Table({}, path)
    made = Caps(
        int(table.number("connections", plain.connections, 1, 1 << 20)),
        table.number("per_s", plain.rate, 0.01, 1e6),
        table.number("burst", plain.burst, 1.0, 1e6),
    )
    table.done()
    return made


def read(raw: Mapping[str, Any]) -> GuardOptions:
    """Read the table; raise BadValue on what is unusable."""
    table = Table(raw, ())
    try:
        known = networks(table.texts("known"))
    except ValueError as error:
        raise BadValue(("known",), str(error)) from None
    made = GuardOptions(
        _caps(table.table("address"), ("address",), Caps(64, 50.0, 100.0)),
        _caps(table.table("prefix"), ("prefix",), Caps(128, 100.0, 200.0)),
        table.number("reserve", 0.25, 0.0, 0.9),
        known,
        table.number("known_s", 60.0, 1.0, 86400.0),
        int(table.number("sources", 4096, 16, 1 << 20)),
        int(table.number("prefix_v4", 24, 8, 32)),
        int(table.number("prefix_v6", 48, 16, 128)),
    )
    table.done()
    return made
