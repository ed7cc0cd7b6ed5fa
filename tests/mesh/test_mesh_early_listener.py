"""A heartbeat that comes while a sidecar's program is still being loaded is answered, not refused."""

from __future__ import annotations

import asyncio
import itertools
from pathlib import Path

import pytest
from plays import room
from small_mesh import send, small_mesh

from mesh.transport.early_listener import open_control_socket
from rehearsal.mesh import wire

WAIT_S = 10.0
DEADLINE_S = 1.0
numbers = itertools.count(1)


def test_a_heartbeat_during_a_sidecars_start_is_answered_and_its_server_is_used(tmp_path: Path) -> None:
    # guards against a newcomer that has to wait, as its first heartbeat came before its sidecar listened
    async def play() -> None:
        async with small_mesh(tmp_path) as mesh:
            machine = mesh.called[0]
            await mesh.field.kill(machine)
            server = next(server for server in mesh.servers.values() if server.machine is machine)
            await server.stop()
            await mesh.field.start(machine)
            line = None
            while line is None:  # from here on the sidecar listens, and has not loaded the rest
                try:
                    line = await wire.Line.open(machine.at("control"))
                except OSError:
                    await asyncio.sleep(0.001)
            with pytest.raises(OSError):  # it is opened before the control address, once all is loaded
                await wire.Line.open(machine.at("outbound"))
            newcomer = mesh.server(machine)
            await newcomer.start()
            await newcomer.fall_silent()  # before its first heartbeat
            headers = {"Host": machine.at("control"), "Content-Type": "application/json"}
            heartbeat = wire.request("PUT", newcomer.path, headers, newcomer.heartbeat_body())
            async with asyncio.timeout(WAIT_S):
                answer = await line.ask(heartbeat)
                assert answer.status == 200
                while not mesh.runs(newcomer):
                    await send(mesh.callers[0], f"a{next(numbers)}", DEADLINE_S)
            line.close()

    with room():
        asyncio.run(play())


@pytest.mark.parametrize(
    "text", [None, "", "listen_map = 7", "[listen_map]\ncontrol = 5", '[listen_map]\ncontrol = "a:b"', "\0"]
)
def test_settings_that_name_no_usable_address_open_no_socket(tmp_path: Path, text: str | None) -> None:
    path = tmp_path / "settings.toml"
    if text is not None:
        path.write_text(text)
    assert open_control_socket(str(path)) is None


def test_the_socket_takes_connections_before_anything_accepts_them(tmp_path: Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text('[listen_map]\ncontrol = "127.0.0.1:0"\n')
    opened = open_control_socket(str(path))
    assert opened is not None and not opened.getblocking()

    async def connect() -> None:
        line = await wire.Line.open(f"127.0.0.1:{opened.getsockname()[1]}")
        line.close()

    with opened:
        asyncio.run(connect())
