"""A server's address goes to a server of another service, by real processes: it runs none of the requests."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from plays import room
from small_mesh import SERVICE, SmallMesh, send, small_mesh

from rehearsal.mesh import wire
from rehearsal.mesh.field import SERVICES
from rehearsal.mesh.server import Server

OTHER_SERVICE = next(service for service in SERVICES if service != SERVICE)
DEADLINE_S = 1.0
PAUSE_S = 0.02
WATCH_S = 5.0  # a server whose connections fail is tried again within 2 s
SOON_S = 1.0  # for a server that has sent one heartbeat; half of the time after which addresses are reused
numbers = itertools.count(1)


async def send_some(mesh: SmallMesh, until: Callable[[], bool], limit_s: float) -> bool:
    """Sends requests one after the other until a condition holds; returns whether it does in time."""
    ends_at = time.monotonic() + limit_s
    while not until():
        if time.monotonic() > ends_at:
            return False
        number = next(numbers)
        try:
            async with asyncio.timeout(DEADLINE_S):
                await send(mesh.callers[number % 2], f"a{number}", DEADLINE_S)
        except (OSError, TimeoutError, wire.Broken):
            pass
        await asyncio.sleep(PAUSE_S)
    return True


async def crash(mesh: SmallMesh) -> Server:
    """Crashes all servers of a service, and starts one of another service at the address of one of them."""
    for server in mesh.servers.values():
        if server.machine in mesh.called:
            await server.stop()
    stranger = mesh.server(mesh.called[0], OTHER_SERVICE)
    await stranger.start()
    return stranger


async def crash_while_the_sidecar_is_away(mesh: SmallMesh) -> Server:
    """The same while the sidecar beside it does not run."""
    await mesh.field.kill(mesh.called[0])
    stranger = await crash(mesh)
    await mesh.field.start(mesh.called[0])
    await mesh.ready(mesh.called[0])
    return stranger


async def crash_while_all_are_away(mesh: SmallMesh) -> Server:
    """The same while no process of the mesh runs."""
    machines = [*mesh.field.controllers, *mesh.field.sidecars]
    await mesh.field.kill(*machines)
    stranger = await crash(mesh)
    for machine in machines:
        await mesh.field.start(machine)
    await mesh.ready(*machines)
    return stranger


@pytest.mark.parametrize("trouble", [crash, crash_while_the_sidecar_is_away, crash_while_all_are_away])
def test_a_server_of_another_service_at_a_reused_address_runs_nothing(
    tmp_path: Path, trouble: Callable[[SmallMesh], Awaitable[Server]]
) -> None:
    # guards against a sidecar that takes any server at its server's address for one of its own service
    async def play() -> None:
        async with small_mesh(tmp_path) as mesh:
            stranger = await trouble(mesh)
            await send_some(mesh, lambda: bool(mesh.runs(stranger)), WATCH_S)
            assert not mesh.runs(stranger), "a server of another service has run a request"
            await stranger.stop()
            newcomer = mesh.server(mesh.called[0])
            await newcomer.start()
            async with asyncio.timeout(WATCH_S):
                while not newcomer.acknowledged:
                    await asyncio.sleep(PAUSE_S)
            await newcomer.fall_silent()
            assert await send_some(mesh, lambda: bool(mesh.runs(newcomer)), SOON_S), "a newcomer had to wait"

    with room():
        asyncio.run(play())


@pytest.mark.parametrize("all_processes", [False, True])
def test_a_sidecar_that_starts_again_beside_its_server_uses_it_without_a_heartbeat(
    tmp_path: Path, all_processes: bool
) -> None:
    # guards against a service without servers until their next heartbeats, once its sidecars start again
    async def play() -> None:
        async with small_mesh(tmp_path) as mesh:
            servers = [server for server in mesh.servers.values() if server.service == SERVICE]
            for server in servers:
                await server.fall_silent()
            machines = [*(mesh.field.controllers if all_processes else ()), *mesh.called]
            await mesh.field.kill(*machines)
            before = sum(len(mesh.runs(server)) for server in servers)
            for machine in machines:
                await mesh.field.start(machine)
            await mesh.ready(*machines)
            assert await send_some(
                mesh, lambda: sum(len(mesh.runs(server)) for server in servers) > before, WATCH_S
            ), "no server was used"

    with room():
        asyncio.run(play())
