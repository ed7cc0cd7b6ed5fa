"""A small mesh of real processes without clients of its own, for tests that send each request themselves."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from rehearsal.mesh import wire
from rehearsal.mesh.field import KEY_WINDOW_S, NO_SHARDING, Field, Machine, Sharding
from rehearsal.mesh.judge import Arrival, History
from rehearsal.mesh.key_holds import KeyStates
from rehearsal.mesh.operator import HOST, MAX_BODY_BYTES, PATHS, Operator
from rehearsal.mesh.server import Server

_, SERVICE = PATHS["idempotent"]
SETTLE_S = 1.0  # until all connections are up
READY_S = 15.0


@dataclass
class SmallMesh:
    """Three controllers, and two sidecars of each of two services with a server each."""

    field: Field
    history: History
    servers: dict[str, Server]  # by machine
    operator: Operator
    key_states: KeyStates  # of the service that is divided by key, where one is

    @property
    def callers(self) -> list[Machine]:
        """The machines that are not of the service that keyed requests go to."""
        return [machine for machine in self.field.sidecars if machine.service != SERVICE]

    @property
    def called(self) -> list[Machine]:
        """The machines of the service that keyed requests go to."""
        return [machine for machine in self.field.sidecars if machine.service == SERVICE]

    def server(self, machine: Machine, service: str = "") -> Server:
        """Returns a server for the address of a machine, which is not started yet."""
        draw = random.Random(f"{machine.name} {len(self.servers)}")
        made = self.servers[f"{machine.name} {len(self.servers)}"] = Server(
            machine, self.history, draw, errs=False, service=service, key_states=self.key_states
        )
        return made

    def runs(self, server: Server) -> list[Arrival]:
        """Returns what the current life of a server has run."""
        return [one for one in self.history.arrivals if one.ran and one.server.endswith(server.instance)]

    async def ready(self, *machines: Machine) -> None:
        """Waits until some machines say that they are ready."""
        async with asyncio.timeout(READY_S):
            for machine in machines:
                while not await machine.ready():
                    await asyncio.sleep(0.02)


@asynccontextmanager
async def small_mesh(
    folder: Path,
    key_window_s: float = KEY_WINDOW_S,
    sharding: Sharding = NO_SHARDING,
    limits: Mapping[str, int] | None = None,
    max_body_bytes: int = MAX_BODY_BYTES,
) -> AsyncIterator[SmallMesh]:
    """Starts a mesh with its first configuration, and ends all its processes afterwards."""
    history = History()
    field = Field(folder, history, key_window_s=key_window_s, sharding=sharding, limits=limits)
    operator = Operator(
        field.controllers, history, random.Random(1), itertools.count(1), sharding, max_body_bytes
    )
    made = SmallMesh(field, history, {}, operator, KeyStates())
    try:
        await field.start_all()
        for machine in field.sidecars:
            await made.server(machine).start()
        assert await operator.first() == 200
        await made.ready(*field.sidecars)
        await asyncio.sleep(SETTLE_S)
        yield made
    finally:
        for server in made.servers.values():
            await server.stop()
        await field.close()


async def send(machine: Machine, attempt: str, deadline_s: float, key: str = "") -> wire.Message:
    """Sends a request, which may run once, on a connection of its own; returns the answer."""
    prefix, _ = PATHS["idempotent" if key else "effectful"]
    line = await wire.Line.open(machine.at("outbound"))
    headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": str(int(deadline_s * 1000))}
    if key:
        headers["X-Operation-Key"] = key
    try:
        return await line.ask(wire.request("POST", f"{prefix}{key or attempt}", headers, b"berth 7"))
    finally:
        line.close()
