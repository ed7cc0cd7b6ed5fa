"""Upgrades of real daemons under load: one listening socket, which this side holds as the platform does."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
from pathlib import Path

import pytest
from backend import Call, Conversation, Server, line, listing, ok, play, settings
from flow.raw import get, message_of

from hollyport.guests import inherit
from hollyport.settings.config import Address, ConfigError

ROOT = Path(__file__).parent.parent.parent
DEADLINE_S = 0.5
ROUNDS = 20


class Platform:
    """Holds the listening socket, starts processes of one sidecar and asks them."""

    def __init__(self, folder: Path, server_port: int, discovery: int = 1) -> None:
        self.folder = folder
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self.sock.getsockname()[1]
        raw = settings(discovery="subscribe")
        for cls in raw["classes"]:
            cls.update(onTimeNs=int(DEADLINE_S / 2 * 1e9), hardLimitNs=int(DEADLINE_S * 1e9))
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "ff",
            "discovery": f"127.0.0.1:{discovery}",
            "limits": {"sockets": 384, "memory_mb": 80},
            "known": listing(*(line(f"s{n}", server_port) for n in range(6))),
            "settings": raw,
        }
        (folder / "config.json").write_text(json.dumps(config))

    async def start(self) -> tuple[asyncio.subprocess.Process, int]:
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            console = free.getsockname()[1]
        env = {
            **os.environ,
            "NODE_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder),
            "NODE_ACCEPT_FD": str(self.sock.fileno()),
            "NODE_CONSOLE": f"127.0.0.1:{console}",
        }
        made = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hollyport",
            cwd=ROOT,
            env=env,
            stderr=asyncio.subprocess.DEVNULL,
            pass_fds=(self.sock.fileno(),),
        )
        return made, console

    async def ready(self, console: int) -> None:
        while (await ask(console, "/api/ready")) != 200:
            await asyncio.sleep(0.02)


async def ask(console: int, path: str, method: str = "GET") -> int:
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", console)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: c\r\n\r\n".encode())
        got = await reader.read()
        writer.close()
        return int(got.split()[1])
    except (OSError, IndexError):
        return 0


class Load:
    """Clients that keep their connections, ask on, and note what becomes of each request."""

    def __init__(self, port: int, clients: int) -> None:
        self.port, self.clients = port, clients
        self.served = self.refused = self.turned_back = 0
        self.lost: list[str] = []
        self.on = True

    async def run(self) -> None:
        await asyncio.gather(*(self.client(number) for number in range(self.clients)))

    async def client(self, number: int) -> None:
        reader = writer = None
        count = 0
        while self.on:
            count += 1
            for fresh in (False, True):  # a kept connection may be closed by what crosses; then once more
                if writer is None or fresh:
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                    fresh = True
                try:
                    writer.write(get(f"c{number}-{count}").replace(b"X-Timeout: 5", b"X-Timeout: 0.5"))
                    got = await message_of(reader)
                except (asyncio.IncompleteReadError, OSError) as error:
                    writer = None
                    if fresh or getattr(error, "partial", b""):
                        self.lost.append(f"{number}-{count}: {error!r}")
                        break
                    self.turned_back += 1
                    continue
                status = got.first.split()[1]
                self.served += status == "200"
                self.refused += status == "503"
                if status not in ("200", "503"):
                    self.lost.append(f"{number}-{count}: {status}")
                if got.headers.get("connection") == "close":
                    writer.close()
                    writer = None
                break
            await asyncio.sleep(0.002)


def test_twenty_upgrades_in_a_row_under_load_lose_nothing(tmp_path):
    """SIGTERM and SIGKILL at random moments; every fourth new process is killed before its yes."""

    async def scene():
        rng = random.Random(11)

        async def lists(talk: Conversation, call: Call) -> None:
            if "wait_ms=0" not in call.target and "?" in call.target:
                await asyncio.sleep(60)
            told = listing(*(line(f"s{n}", server.port) for n in range(6)))
            await talk.answer(200, json.dumps(told).encode())

        async with Server(ok) as server, Server(lists) as discovery:
            platform = Platform(tmp_path, server.port, discovery.port)
            old, console = await platform.start()
            await platform.ready(console)
            load = Load(platform.port, 6)
            running = asyncio.ensure_future(load.run())
            for number in range(ROUNDS):
                new, at = await platform.start()
                if number % 4 == 3:
                    await asyncio.sleep(rng.uniform(0.0, 0.15))  # before it can have said yes
                    if await ask(at, "/api/ready") != 200:
                        new.kill()
                        await new.wait()
                        continue
                await platform.ready(at)
                await asyncio.sleep(rng.uniform(0.0, 0.1))
                old.send_signal(signal.SIGTERM)
                try:
                    # The platform kills 0.7 s after the deadline; a busy machine may be late by some.
                    async with asyncio.timeout(DEADLINE_S + 0.7 + 2.0):
                        assert await old.wait() == 0
                except TimeoutError:
                    old.kill()
                old = new
            load.on = False
            await running
            old.send_signal(signal.SIGTERM)
            await old.wait()
            print(f"served {load.served}, refused {load.refused}, turned back {load.turned_back}")
            assert not load.lost, load.lost
            assert load.served > 500 and load.turned_back <= 2 * ROUNDS
            assert [name for name in os.listdir(tmp_path) if name.startswith("hollyport-")] == []
            platform.sock.close()

    play(scene, limit_s=120)


def test_the_new_one_ended_first_leaves_the_old_one_and_an_evacuated_one_is_replaced(tmp_path):
    async def scene():
        async with Server(ok) as server:
            platform = Platform(tmp_path, server.port)
            old, console = await platform.start()
            await platform.ready(console)
            new, at = await platform.start()
            await platform.ready(at)
            new.send_signal(signal.SIGTERM)
            assert await new.wait() == 0
            load = Load(platform.port, 2)
            running = asyncio.ensure_future(load.run())
            while load.served < 50:
                await asyncio.sleep(0.01)
            load.on = False
            await running
            assert await ask(console, "/api/ready") == 200 and not load.lost
            assert await ask(console, "/api/evacuate", "PUT") == 200
            assert await ask(console, "/api/ready") == 503
            new, at = await platform.start()
            await platform.ready(at)
            old.kill()  # at any moment
            await old.wait()
            load = Load(platform.port, 2)
            running = asyncio.ensure_future(load.run())
            while load.served < 50:
                await asyncio.sleep(0.01)
            load.on = False
            await running
            assert not load.lost
            new.send_signal(signal.SIGTERM)
            assert await new.wait() == 0
            platform.sock.close()

    play(scene)


def test_what_the_old_one_has_accepted_it_reads_and_answers(tmp_path):
    """A connection that is open and silent at the signal sends its request after it."""

    async def scene():
        async with Server(ok) as server:
            platform = Platform(tmp_path, server.port)
            old, console = await platform.start()
            await platform.ready(console)
            reader, writer = await asyncio.open_connection("127.0.0.1", platform.port)
            writer.write(get("a"))
            assert (await message_of(reader)).body == b"a"
            old.send_signal(signal.SIGTERM)
            while await ask(console, "/api/ready") == 200:
                pass
            writer.write(get("b"))
            got = await message_of(reader)
            assert got.body == b"b" and got.headers["connection"] == "close"
            assert await old.wait() == 0
            platform.sock.settimeout(0.0)  # it is as it was: open, listening, with nobody in front of it
            assert platform.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN) == 1
            platform.sock.close()

    play(scene)


@pytest.mark.parametrize("kind", ["closed", "file", "udp", "not listening", "other address"])
def test_a_wrong_descriptor_ends_the_start_and_names_the_variable(tmp_path, kind):
    made = {
        "closed": lambda: None,
        "file": lambda: open(tmp_path / "f", "w"),  # noqa: SIM115
        "udp": lambda: socket.socket(socket.AF_INET, socket.SOCK_DGRAM),
        "not listening": lambda: socket.socket(),
        "other address": lambda: socket.create_server(("127.0.0.1", 0)),
    }[kind]()
    number = made.fileno() if made is not None else 1000
    with pytest.raises(ConfigError, match="NODE_ACCEPT_FD"):
        inherit.listening(number, Address("127.0.0.1", 9))
    if made is not None:
        os.fstat(made.fileno())  # what is turned down is left open
        made.close()


def test_a_socket_that_fails_for_good_ends_the_sidecar_in_place_of_spinning(tmp_path):
    async def scene():
        async with Server(ok) as server:
            platform = Platform(tmp_path, server.port)
            old, console = await platform.start()
            await platform.ready(console)
            platform.sock.shutdown(socket.SHUT_RDWR)
            assert await old.wait() == 1
            platform.sock.close()

    play(scene)
