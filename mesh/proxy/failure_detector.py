"""Which sidecars live, by probes to a few in turn, second opinions, and suspicion before removal.

The state machine and its datagrams are the daemon's fleet part (`hollyport.fleet`, SWIM with Lifeguard's
local health). Its names come here from the sidecars' records and not from a file. What it says is one more
reason to pass over it: whoever is held for dead and is not gets no requests until the next datagram.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from loguru import logger

from hollyport.fleet.options import FleetOptions
from hollyport.fleet.part import FleetPart

FLEET = "mesh"
KEY = b"mesh, no secret"  # machines of one system trust each other: a digest finds what was garbled
PERIOD_S = 0.5  # from probe to probe
LATER_S = 0.2  # names that come together are taken together
TOLD = frozenset({"dead", "stalled", "alone", "together", "name_in_use", "fault", "send_failed"})


class _Lines:
    """Events of the fleet part as log lines; those of single probes are left out."""

    def __init__(self, fleet: str, member: str) -> None:
        self.on_dead: Callable[[str], None] = lambda name: None

    def tell(self, event: str, **fields: Any) -> None:
        if event in TOLD:
            logger.info(
                "failure detector: {}", event, **{f"detector_{key}": value for key, value in fields.items()}
            )
        if event == "dead":
            self.on_dead(fields["member"])

    def rename(self, fleet: str) -> None:
        """Its name never changes."""


class FailureDetector:
    """One sidecar's part in it. `dead` is called with the name of whoever is held for dead."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, name: str, address: str, zone: str, dead: Callable[[str], None]
    ) -> None:
        self._loop, self._name = loop, name
        self._members: dict[str, tuple[str, str]] = {name: (zone, address)}
        self._options = FleetOptions(FLEET, self._halls(), (KEY,), listen=address, period_s=PERIOD_S)
        self._part = FleetPart(loop, self._options, name, False, self._lines(dead))
        self._due = False

    @staticmethod
    def _lines(dead: Callable[[str], None]) -> Callable[[str, str], _Lines]:
        def made(fleet: str, member: str) -> _Lines:
            lines = _Lines(fleet, member)
            lines.on_dead = dead
            return lines

        return made

    def _halls(self) -> tuple[tuple[str, tuple[tuple[str, str], ...]], ...]:
        halls: dict[str, list[tuple[str, str]]] = {}
        for name, (zone, address) in sorted(self._members.items()):
            halls.setdefault(zone, []).append((name, address))
        return tuple((zone, tuple(members)) for zone, members in sorted(halls.items()))

    def start(self) -> None:
        """Begin to probe."""
        self._part.start()

    def stop(self) -> None:
        """Say that this sidecar leaves."""
        self._part.stop()

    def update_member(self, name: str, zone: str, address: str) -> None:
        """A sidecar is there, or elsewhere than before."""
        if self._members.get(name) != (zone, address):
            self._members[name] = (zone, address)
            self._later()

    def remove_member(self, name: str) -> None:
        """A sidecar is gone for good."""
        if name != self._name and self._members.pop(name, None) is not None:
            self._later()

    def _later(self) -> None:
        if not self._due:
            self._due = True
            self._loop.call_later(LATER_S, self._take)

    def _take(self) -> None:
        self._due = False
        self._options = replace(self._options, halls=self._halls())
        self._part.take_options(self._options)

    def view(self) -> Mapping[str, Any]:
        """What is known, for whoever looks."""
        return self._part.page()
