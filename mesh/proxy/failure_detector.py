"""Detects dead sidecars by probing a few in turn, directly and through others, with suspicion before removal.

The protocol and its datagrams are those of the daemon's fleet membership (`hollyport.fleet`, SWIM with
Lifeguard's local health awareness). Here the members come from the sidecars' records instead of a file. A
verdict is only one more reason to skip a sidecar: one that is wrongly declared dead gets no requests until
its next datagram.
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
KEY = b"mesh, no secret"  # not a secret, as the machines trust each other: the digest detects corruption only
PROBE_INTERVAL_S = 0.5
MEMBERS_DELAY_S = 0.2  # member changes within this time are applied together
LOGGED_EVENTS = frozenset(
    {"dead", "stalled", "alone", "together", "name_in_use", "fault", "send_failed"}
)  # those of single probes are left out


class _EventLog:
    """Logs events of the fleet membership and reports dead members."""

    def __init__(self, fleet: str, member: str) -> None:
        self.on_dead: Callable[[str], None] = lambda name: None

    def tell(self, event: str, **fields: Any) -> None:
        if event in LOGGED_EVENTS:
            logger.info(
                "failure detector: {}", event, **{f"detector_{key}": value for key, value in fields.items()}
            )
        if event == "dead":
            self.on_dead(fields["member"])

    def rename(self, fleet: str) -> None:
        """Does nothing, as the fleet's name never changes."""


class FailureDetector:
    """One sidecar's member of the failure detector.

    `on_dead` is called with the name of each sidecar that is declared dead.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        address: str,
        zone: str,
        on_dead: Callable[[str], None],
    ) -> None:
        self._loop, self._name = loop, name
        self._members: dict[str, tuple[str, str]] = {name: (zone, address)}
        self._options = FleetOptions(FLEET, self._halls(), (KEY,), listen=address, period_s=PROBE_INTERVAL_S)
        self._part = FleetPart(loop, self._options, name, False, self._event_log_factory(on_dead))
        self._update_scheduled = False

    @staticmethod
    def _event_log_factory(on_dead: Callable[[str], None]) -> Callable[[str, str], _EventLog]:
        def create(fleet: str, member: str) -> _EventLog:
            log = _EventLog(fleet, member)
            log.on_dead = on_dead
            return log

        return create

    def _halls(self) -> tuple[tuple[str, tuple[tuple[str, str], ...]], ...]:
        """Returns the members by zone, in the form of the fleet's options."""
        halls: dict[str, list[tuple[str, str]]] = {}
        for name, (zone, address) in sorted(self._members.items()):
            halls.setdefault(zone, []).append((name, address))
        return tuple((zone, tuple(members)) for zone, members in sorted(halls.items()))

    def start(self) -> None:
        """Starts probing."""
        self._part.start()

    def stop(self) -> None:
        """Announces to the other members that this sidecar leaves."""
        self._part.stop()

    def update_member(self, name: str, zone: str, address: str) -> None:
        """Adds a sidecar, or updates its zone and address."""
        if self._members.get(name) != (zone, address):
            self._members[name] = (zone, address)
            self._schedule_update()

    def remove_member(self, name: str) -> None:
        """Removes a sidecar that is gone for good."""
        if name != self._name and self._members.pop(name, None) is not None:
            self._schedule_update()

    def _schedule_update(self) -> None:
        if not self._update_scheduled:
            self._update_scheduled = True
            self._loop.call_later(MEMBERS_DELAY_S, self._update)

    def _update(self) -> None:
        self._update_scheduled = False
        self._options = replace(self._options, halls=self._halls())
        self._part.take_options(self._options)

    def view(self) -> Mapping[str, Any]:
        """Returns the state of all members for diagnosis."""
        return self._part.page()
