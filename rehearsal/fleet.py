"""Daemons of one fleet: their tables, their second processes, and what their logs tell."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import random
import secrets
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from rehearsal.daemon import Daemon, own_address
from rehearsal.fabric import Fabric
from rehearsal.plan import Plan

NAME = "rehearsed"


class Members:
    """What the operators' file tells each daemon of the fleet."""

    def __init__(self, plan: Plan, folder: Path, fabric: Fabric) -> None:
        self._plan, self._folder, self._fabric = plan, folder, fabric
        self._keys = folder / "fleet.keys"
        self._keys.write_text(secrets.token_hex(32) + "\n", encoding="ascii")
        self._real: list[str] = []  # where each daemon's latest process listens
        self._fronts: list[str] = []  # where the others send
        self._first: list[str] = []

    async def open(self) -> None:
        """Draw addresses, and open the fabric's sockets for them."""
        for number in range(len(self._plan.daemons)):
            self._real.append(own_address(random.SystemRandom()))
            self._fronts.append(await self._fabric.front(number, self._real[number]))
        self._first = list(self._fronts)

    async def renew(self, number: int) -> None:
        """A process that runs beside the present one has an address of its own."""
        self._real[number] = own_address(random.SystemRandom())
        self._fronts[number] = await self._fabric.front(number, self._real[number])

    def options(self, number: int) -> str:
        """The table of one daemon's file."""
        plan, part = self._plan, self._plan.scenario.fleet
        assert part is not None
        halls: dict[str, list[str]] = {}
        for other, hall in enumerate(plan.daemons):
            halls.setdefault(plan.halls[hall], []).append(f"d{other}@{self._first[other]}")
        lines = [
            "[fleet]",
            f'name = "{NAME}-{number % part.fleets}"', f'member = "d{number}"', f'keys = "{self._keys}"',
            f'listen = "{self._real[number]}"', f'advertise = "{self._fronts[number]}"',
            f"period_s = {part.period_s}", f"datagram_bytes = {part.datagram_bytes}", "[fleet.halls]",
            *(f"{json.dumps(hall)} = {json.dumps(names)}" for hall, names in halls.items()),
        ]  # fmt: skip
        return "\n".join(lines) + "\n"

    async def twin(self, daemon: Daemon, seconds: float) -> None:
        """Start a second process under a daemon's name in the fleet, with addresses of its own, and end
        it."""
        second = copy.copy(daemon)
        second.address = own_address(random.SystemRandom())
        second.lives, second.samples, second.troubles = [], [], []
        second._folder = self._folder / f"twin-{daemon.number}"
        second._folder.mkdir(exist_ok=True)
        await self.renew(daemon.number)
        config = json.loads(daemon.config.read_text(encoding="utf-8"))
        second.write({**config, "listen": second.address})
        second.write_options(self.options(daemon.number))
        daemon.lives.append(type(daemon.lives[0])(daemon.number, daemon._clock(), "twin"))
        await second.start()
        try:
            await asyncio.sleep(seconds)
        finally:
            await second.kill()
            daemon.lives.append(type(daemon.lives[0])(daemon.number, daemon._clock(), "single"))


def events(log: Path, number: int, start_ns: int) -> Iterator[list[Any]]:
    """What a daemon's fleet part logged, on the play's clock. Both count by the machine's monotonic clock."""
    with contextlib.suppress(OSError):
        for line in log.read_text(encoding="utf-8", errors="replace").splitlines():
            if not line.startswith('{"event"'):
                continue
            with contextlib.suppress(ValueError, KeyError):
                row = json.loads(line)
                t_us = (row.pop("mono_ns") - start_ns) // 1000
                event, name = row.pop("event"), row.pop("member_name")
                if name == f"d{number}":
                    row.pop("fleet", None)
                    yield [t_us, number, event, row]
