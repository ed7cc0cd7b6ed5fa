"""Floods on loopback: who is refused is told or closed at once, and known clients go on."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import socket

import psutil
import pytest
from backend import Client, play
from tongues import PROBED, THRIFT, Asked, Http, HttpClient, Node, Talk, ThriftClient, sidecar

from hollyport.guards.door import Door
from hollyport.guards.options import read
from hollyport.settings.options import Options

HTTP, TONGUE = Http(), THRIFT[0]
TIGHT = {"address": {"connections": 4, "per_s": 1000, "burst": 1000}, "prefix": {"connections": 100_000}}


async def ok(talk: Talk, asked: Asked) -> None:
    await talk.serve(asked.rid.encode())


def guarded(table, thrift=None) -> Options:
    sections = {"guards": read(table)}
    if thrift is not None:
        sections["thrift"] = thrift.options().sections["thrift"]
    return Options("test", sections)


async def connect(world, source: str, tongue=HTTP) -> Client:
    sock = socket.socket()
    sock.setblocking(False)
    sock.bind((source, 0))
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", world.port))
    client = HttpClient() if tongue is HTTP else ThriftClient(tongue)
    client.reader, client.writer = await asyncio.open_connection(sock=sock)
    return client


async def counted(world) -> dict:
    port = world.sidecar._listener._socket.getsockname()[1]
    client = Client(*await asyncio.open_connection("127.0.0.1", port))
    await client.send(b"GET /-/counters HTTP/1.1\r\nHost: a\r\n\r\n")
    _, _, body = await client.answer()
    return json.loads(body)


def test_one_address_is_held_to_its_cap_and_another_goes_on():
    async def scene():
        async with (
            Node(HTTP, ok) as node,
            sidecar(HTTP, HTTP.line("s1", node.port), raw=PROBED, options=guarded(TIGHT)) as world,
        ):
            usual = await connect(world, "127.0.0.2")
            assert (await usual.ask("free")).what == "served"
            greedy = [await connect(world, "127.0.0.3") for _ in range(4)]
            for client in greedy:
                assert (await client.ask("free")).what == "served"
            for _ in range(20):
                late = await connect(world, "127.0.0.3")
                assert await late.reader.read() == b""  # closed at once: it had begun nothing
            assert (await usual.ask("free")).what == "served"
            assert (await counted(world))["door"] == {"-": {"address full": 20}}
            greedy[0].writer.close()
            while len(world.sidecar._listener.connections) > 4:
                await asyncio.sleep(0.01)
            assert (await (await connect(world, "127.0.0.3")).ask("free")).what == "served"

    play(scene)


@pytest.mark.parametrize("tongue", [HTTP, *THRIFT], ids=lambda tongue: tongue.name)
def test_a_request_that_was_begun_is_refused_with_when_to_come_back(tongue):
    """It lies in the kernel when the connection is looked at; nothing of it is taken."""

    async def scene():
        options = guarded({**TIGHT, "address": {"connections": 1}}, tongue if tongue is not HTTP else None)
        async with (
            Node(tongue, ok) as node,
            sidecar(tongue, tongue.line("s1", node.port), raw=PROBED, options=options) as world,
        ):
            first = await connect(world, "127.0.0.2", tongue)
            assert (await first.ask("free")).what == "served"
            held = world.sidecar._listeners[-1]
            loop = asyncio.get_running_loop()
            loop.remove_reader(held._socket.fileno())  # it lies in the listen queue for a while
            second = await connect(world, "127.0.0.2", tongue)
            await second.send("single_shot")
            loop.add_reader(held._socket.fileno(), held._accept)
            if tongue is HTTP:
                head = await second.reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 429 ") and b"Retry-After: 1.000" in head
            else:
                got = await second.answer()
                assert (got.what, got.again_s) == ("refused", 1.0)
            assert len(node.calls) == 1

    play(scene)


def test_ten_thousand_unknown_connections_leave_known_clients_their_service():
    """From 5,000 addresses; each attempt is closed in time, and afterwards nothing of it is left."""

    async def scene():
        loop = asyncio.get_running_loop()
        table = {
            "address": {"connections": 8, "per_s": 100, "burst": 100},
            "reserve": 0.3,
            "prefix": {"connections": 20, "per_s": 200, "burst": 200},
        }
        async with (
            Node(HTTP, ok) as node,
            sidecar(
                HTTP, HTTP.line("s1", node.port), raw=PROBED, sockets=256, options=guarded(table)
            ) as world,
        ):
            known = [await connect(world, "127.0.0.2") for _ in range(4)]
            for client in known:
                for _ in range(3):
                    assert (await client.ask("free")).what == "served"
            process = psutil.Process()
            descriptors = process.num_fds()
            took: list[float] = []
            most = asyncio.Semaphore(200)

            async def attempt(number: int) -> None:
                async with most:
                    began = loop.time()
                    source = f"127.{1 + number % 5000 // 250}.{number % 250}.{1 + number % 7}"
                    try:
                        client = await connect(world, source)
                        await asyncio.wait_for(client.reader.read(), 8)
                        client.writer.close()
                    except (ConnectionError, TimeoutError):
                        pass
                    took.append(loop.time() - began)

            listener = world.sidecar._listener
            flood = [asyncio.ensure_future(attempt(n)) for n in range(10_000)]
            served = asked = 0
            while not all(task.done() for task in flood):
                for client in known:
                    asked += 1
                    served += (await client.ask("free")).what == "served"
                fresh = await connect(world, "127.0.0.2")
                asked += 1
                served += (await fresh.ask("free")).what == "served"
                fresh.writer.close()
                await asyncio.sleep(0.02)
            assert len(took) == 10_000 and max(took) < 8
            assert asked > 50 and served >= 0.99 * asked
            assert len(listener.connections) <= listener.most
            while len(listener.connections) > 8:
                await asyncio.sleep(0.05)
            assert process.num_fds() <= descriptors + 16
            assert len(listener._hosts) == len(listener.connections) == listener._door._admission.total
            assert listener._door.sizes()[1] <= 4096

    play(scene)


def test_without_descriptors_the_next_in_line_is_closed_and_not_left_waiting(monkeypatch):
    async def scene():
        async with (
            Node(HTTP, ok) as node,
            sidecar(HTTP, HTTP.line("s1", node.port), raw=PROBED, options=guarded({})) as world,
        ):
            listener = world.sidecar._listener
            real = listener._socket

            class Scarce:
                """Accepting fails as it does without descriptors, unless one has just been given up."""

                def __init__(self) -> None:
                    self.fails = True

                def accept(self):
                    if self.fails and listener._door._spare >= 0:
                        real.getsockname()
                        raise OSError(errno.EMFILE, "too many open files")
                    return real.accept()

                def __getattr__(self, name):
                    return getattr(real, name)

            scarce = Scarce()
            listener._socket = scarce
            refused = [await connect(world, "127.0.0.2") for _ in range(3)]
            for client in refused:
                assert await asyncio.wait_for(client.reader.read(), 5) == b""
            scarce.fails = False
            assert (await (await connect(world, "127.0.0.2")).ask("free")).what == "served"
            assert (await counted(world))["door"] == {"-": {"descriptors": 3}}

    play(scene)


def test_a_spare_descriptor_that_is_lost_is_taken_again():
    door = Door(read({}).rules(10), lambda *told: b"", lambda *told: None)
    os.close(door._spare)
    door._spare = -1
    with socket.create_server(("127.0.0.1", 0)) as listening:
        listening.setblocking(False)
        assert door.without_descriptors(listening) is False and door._spare >= 0
        assert door.without_descriptors(listening) is False and door._spare >= 0  # nobody there
    os.close(door._spare)
