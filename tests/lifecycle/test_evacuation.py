"""A sidecar that is told to send its clients away, and back: over loopback, at every stage of a request."""

from __future__ import annotations

import asyncio
import contextlib
import json

import pytest
from backend import Client, Server, line, listing, ok, play, settings
from flow.raw import Node, get, message_of, post

from dunefield import Settings
from hollyport.lifecycle import machine
from hollyport.lifecycle.machine import State
from hollyport.settings.config import Address, Config
from hollyport.sidecar import Sidecar

READY = b"GET /-/ready HTTP/1.1\r\nHost: front\r\n\r\n"


class Staffed:
    """A sidecar with a second address."""

    def __init__(self, sidecar: Sidecar, port: int) -> None:
        self.sidecar, self.port, self.at = sidecar, port, sidecar.console_port

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    async def call(self, path: str, method: str = "PUT") -> tuple[int, dict]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.at)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n".encode())
        got = await reader.read()
        writer.close()
        head, _, body = got.partition(b"\r\n\r\n")
        return int(head.split()[1]), json.loads(body)

    async def ready(self) -> int:
        """As the front asks."""
        client = await self.client()
        await client.send(READY)
        status = (await client.answer())[0]
        client.writer.close()
        return status

    async def state(self, wanted: State) -> None:
        while self.sidecar.steward.machine.state is not wanted:
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def staffed(*lines):
    config = Config(
        "n0",
        Address("127.0.0.1", 0),
        Address("127.0.0.1", 1),
        7,
        1024,
        listing(*lines),
        Settings.parse(settings(discovery="subscribe")),
        Address("127.0.0.1", 0),
    )
    made = Sidecar(config, asyncio.get_running_loop())
    yield Staffed(made, await made.start())


def test_after_the_first_no_new_connections_are_served_and_none_is_kept():
    async def scene():
        async with Server(ok) as server, staffed(line("s1", server.port)) as world:
            used, idle = await world.client(), await world.client()
            for client in (used, idle):
                assert (await client.ask())[0] == 200
            assert (await world.call("/api/evacuate"))[0] == 200
            assert await world.ready() == 503 and (await world.call("/api/ready", "GET"))[0] == 503
            status, headers, _ = await used.ask()
            assert status == 200 and headers["connection"] == "close"
            late = await world.client()
            status, headers, _ = await late.ask()
            assert status == 200 and headers["connection"] == "close"
            assert await idle.reader.read() == b""  # closed where no request can cross it any more
            assert await late.reader.read() == await used.reader.read() == b""
            await world.state(State.EVACUATED)
            assert not world.sidecar._listener.connections
            assert (await world.call("/api/evacuate"))[0] == 200  # again is a yes and changes nothing
            assert (await world.call("/api/rejoin"))[0] == 200
            assert await world.ready() == 200
            back = await world.client()
            _, headers, _ = await back.ask()
            assert "connection" not in headers
            assert (await world.call("/api/rejoin"))[0] == 200  # and so is this

    play(scene)


def test_idle_connections_stay_for_as_long_as_a_request_may_be_on_its_way(monkeypatch):
    """Seeded: closing them at once fails this."""
    monkeypatch.setattr(machine, "EMPTY_AFTER_S", 0.6)

    async def scene():
        async with Server(ok) as server, staffed(line("s1", server.port)) as world:
            client = await world.client()
            assert (await client.ask())[0] == 200
            await world.call("/api/evacuate")
            await asyncio.sleep(0.2)
            assert (await client.ask())[0] == 200

    play(scene)


@pytest.mark.parametrize("stage", ["with a node", "half sent", "sent ahead", "in a large answer"])
def test_nothing_taken_is_lost_and_a_rejoin_at_any_moment_loses_nothing_either(stage):
    body = bytes(range(256)) * 4096 * 8

    async def scene(rejoin: bool):
        asked, go = asyncio.Event(), asyncio.Event()

        async def script(node, reader, writer):
            while True:
                got = await node.read(reader)
                asked.set()
                if stage == "in a large answer":
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
                    writer.write(body[: 1 << 20])
                    await go.wait()
                    writer.write(body[1 << 20 :])
                else:
                    await go.wait()
                    rid = got.headers["x-request-id"].encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(rid) + rid)

        async with Node(script) as node, staffed(line("s1", node.port)) as world:
            client = await world.client()
            sent = post("a", "Content-Length: 10") + b"0123456789" if stage == "half sent" else get("a")
            sent += get("b") if stage == "sent ahead" else b""
            cut = len(sent) - 5 if stage == "half sent" else len(sent)
            await client.send(sent[:cut])
            if stage != "half sent":
                await asked.wait()
            await world.call("/api/evacuate")
            await asyncio.sleep(machine.EMPTY_AFTER_S + 0.15)
            if rejoin:
                await world.call("/api/rejoin")
            await client.send(sent[cut:])
            go.set()
            for rid in (b"a", b"b") if stage == "sent ahead" else (b"a",):
                got = await message_of(client.reader)
                assert got.body == (body if stage == "in a large answer" else rid)
            if rejoin:
                assert await world.ready() == 200
            else:
                assert await client.reader.read() == b""
                await world.state(State.EVACUATED)
            assert world.sidecar.tally.in_progress == 0

    for rejoin in (False, True):
        play(lambda rejoin=rejoin: scene(rejoin))


def test_sigterm_in_the_middle_of_an_evacuation_answers_what_was_taken():
    async def scene():
        come, go = asyncio.Event(), asyncio.Event()

        async def slow(talk, call):
            come.set()
            await go.wait()
            await talk.answer(200, b"done")

        async with Server(slow) as server, staffed(line("s1", server.port)) as world:
            client = await world.client()
            asking = asyncio.ensure_future(client.ask())
            await come.wait()
            await world.call("/api/evacuate")
            stopping = asyncio.ensure_future(world.sidecar.stop())
            await world.state(State.ENDING)
            assert (await world.call("/api/rejoin"))[0] == 503  # there is no way back from an end
            go.set()
            assert (await asking)[2] == b"done"
            await stopping

    play(scene)
