"""Oneway calls: nobody is ever answered, and yet the four rules hold, and the module's books are closed."""

from __future__ import annotations

import asyncio
import json
import socket

import pytest
from backend import Client as HttpClient
from backend import play
from tongues import THRIFT, Asked, Node, Talk, sidecar

from dunefield import AttemptFinished, AttemptOutcome, ClientDisconnected, RequestArrived, SendAttempt
from hollyport.core.counters import Counters
from hollyport.core.requests import Core

TONGUE = THRIFT[0]
FORMS = pytest.mark.parametrize("tongue", THRIFT, ids=lambda tongue: tongue.name)


async def quiet(talk: Talk, asked: Asked) -> None:
    """What a node does with a oneway call: work, and no word."""


async def counted(world) -> dict:
    listening = world.sidecar._listener._socket.getsockname()
    client = HttpClient(*await asyncio.open_connection(*listening))
    await client.send(b"GET /-/counters HTTP/1.1\r\nHost: a\r\n\r\n")
    _, _, body = await client.answer()
    return json.loads(body)


async def response(told) -> AttemptFinished:
    while not isinstance(event := await told.get(), AttemptFinished):
        pass
    return event


@FORMS
def test_one_is_written_once_and_known_to_be_over_by_the_probe_behind_it(tongue):
    async def scene():
        async with Node(tongue, quiet) as node, sidecar(tongue, tongue.line("s1", node.port)) as world:
            told = world.watch()
            client = await world.client()
            await client.send("single_shot", oneway=True)
            event = await response(told)
            assert (event.outcome, event.closed, dict(event.load)) == (
                AttemptOutcome.OK,
                True,
                {"inflight": 0, "queue": 0},
            )
            assert [call.oneway for call in node.calls] == [True] and node.probes == 1
            assert not world.core._requests and not world.core._module.state.attempts
            assert (await counted(world))["oneway"] == {"single_shot": {"written": 1}}
            # The connection it went by serves the next call.
            node.script = lambda talk, asked: talk.serve(b"next")
            assert (await client.ask("free")).body == b"next" and node.connections == 1

    play(scene)


def test_the_order_in_the_modules_books():
    """From the last byte on the client is gone; the server stays as busy as it is until the call is over."""

    async def scene():
        go = asyncio.Event()

        class Slow(type(TONGUE.talk())):
            async def load(self, inflight, queue):
                await go.wait()
                await super().load(1, 0)

        async with Node(TONGUE, quiet) as node, sidecar(TONGUE, TONGUE.line("s1", node.port)) as world:
            node.tongue = type("T", (), {"talk": lambda self: Slow(TONGUE)})()
            told = world.watch()
            await (await world.client()).send("single_shot", oneway=True)
            while not node.probes:
                await asyncio.sleep(0.005)
            module = world.core._module
            assert module.state.servers["s1"].in_flight == 1 and not module.state.calls
            go.set()
            await response(told)
            assert module.state.servers["s1"].in_flight == 0

    play(scene)


def test_without_a_probe_it_counts_as_over_after_its_aim_and_blames_nobody():
    async def scene():
        raw = {
            "classes": [
                {"name": k, "onTimeNs": 3 * 10**8, "hardLimitNs": 6 * 10**9, "repeat": k}
                for k in ("free", "single_shot", "guarded")
            ],
            "discovery": "subscribe",
            "limits": {"maxAttempts": 3},
        }
        options = TONGUE.options(probe={"http_port": 9})
        async with (
            Node(TONGUE, quiet) as node,
            sidecar(TONGUE, TONGUE.line("s1", node.port), raw=raw, options=options) as world,
        ):
            told = world.watch()
            client = await world.client()
            await client.send("single_shot", oneway=True)
            event = await response(told)
            assert (event.outcome, event.closed) == (
                AttemptOutcome.CANCELLED,
                True,
            ) and event.latency_ns >= 2 * 10**8
            node.script = lambda talk, asked: talk.serve(b"next")
            assert (await client.ask("free")).body == b"next" and node.connections == 1

    play(scene)


def test_a_method_may_be_oneway_though_its_calls_do_not_say_so():
    """Some libraries write oneway calls as ordinary ones; no answer comes all the same."""

    async def scene():
        options = TONGUE.options(
            methods=[
                {"name": "single_shot", "class": "single_shot", "oneway": True},
                {"name": "*", "class": "free"},
            ]
        )
        async with (
            Node(TONGUE, quiet) as node,
            sidecar(TONGUE, TONGUE.line("s1", node.port), options=options) as world,
        ):
            told = world.watch()
            client = await world.client()
            await client.send("single_shot")
            assert (await response(told)).outcome == AttemptOutcome.OK
            node.script = lambda talk, asked: talk.serve(b"next")
            assert (await client.ask("free")).body == b"next"

    play(scene)


@pytest.mark.parametrize("script", ["resets", "closes"])
def test_a_node_that_dies_right_after_the_last_byte_gets_no_second_one_anywhere(script):
    async def dies(talk: Talk, asked: Asked) -> None:
        talk.reset() if script == "resets" else talk.close()

    async def scene():
        async with Node(TONGUE, dies) as node:
            lines = TONGUE.line("s1", node.port), TONGUE.line("s2", node.port)
            async with sidecar(TONGUE, *lines) as world:
                told = world.watch()
                for cls in ("single_shot", "free"):
                    await (await world.client()).send(cls, oneway=True)
                    event = await response(told)
                    assert (event.outcome, event.closed) == (AttemptOutcome.RESET, True)
                assert len(node.calls) == 2 and not world.core._requests

    play(scene)


def test_a_node_that_dies_before_the_last_byte_has_not_run_it_and_another_gets_it():
    """Seven megabytes do not fit the kernel's buffers: the first node reads a part and dies."""

    async def scene():
        begun = asyncio.Event()

        async def half(reader, writer):
            await reader.read(1000)
            begun.set()
            writer.transport.abort()

        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listening.bind(("127.0.0.1", 0))
        dying = await asyncio.start_server(half, sock=listening, limit=1)
        options = TONGUE.options(message_kb=8192)
        async with Node(TONGUE, quiet) as node:
            ports = dying.sockets[0].getsockname()[1], node.port
            lines = [TONGUE.line(f"s{number}", port) for number, port in enumerate(ports)]
            async with sidecar(TONGUE, *lines, options=options) as world:
                told = world.watch()
                client = await world.client()
                bodies, hows = [], []
                while not begun.is_set():  # two nodes are drawn from: it falls to the dying one soon
                    bodies.append(b"%d" % len(bodies) + b"x" * (7 << 20))
                    await client.send("single_shot", body=bodies[-1], oneway=True)
                    hows.append(await response(told))
                    while not hows[-1].closed:
                        hows.append(await response(told))
                assert [event.outcome for event in hows if event.server == "s0"] == [
                    AttemptOutcome.CONNECT_FAILED
                ]
                assert [call.body for call in node.calls] == bodies
        dying.close()

    play(scene)


def test_what_is_not_delivered_is_counted_by_reason_and_class_and_told(capfd):
    async def scene():
        async with sidecar(TONGUE) as world:
            client = await world.client()
            for _ in range(3):
                await client.send("single_shot", timeout_s=0.2, oneway=True)
            await client.send("nobody", method="nobody", oneway=True)
            module = world.core._module
            while len(world.sidecar._counters._counts) < 2:
                await asyncio.sleep(0.01)
            assert (await counted(world))["oneway"] == {
                "single_shot": {"refused": 3},
                "-": {"unknown method": 1},
            }
            world.sidecar._counters.tell(10**9)
            assert not module.state.calls and not world.core._requests

    play(scene)
    told = "nobody else tells: oneway - unknown method 1, oneway single_shot refused 3"
    assert told in capfd.readouterr().err


def test_the_log_is_told_at_most_every_ten_seconds():
    said = []
    counters = Counters(said.append)
    for now in (0.0, 1.0, 9.9, 10.0, 11.0):
        counters.add("oneway", "c", "refused")
        counters.add("oneway", "c", "written")
        counters.add("call", "c", "refused")
        counters.tell(now)
    assert said == [
        "not served, and nobody else tells: oneway c refused 1",
        "not served, and nobody else tells: oneway c refused 3",
    ]


def test_a_oneway_that_nothing_takes_is_given_up_in_time_and_leaves_nothing():
    async def scene():
        async with Node(TONGUE, quiet) as node, sidecar(TONGUE, TONGUE.line("s1", node.port)) as world:
            module = world.core._module
            module.handle = lambda now, event: []  # the module forgets: the guard does not
            client = await world.client()
            await client.send("single_shot", timeout_s=0.2, oneway=True)
            while not (counts := world.sidecar._counters._counts):
                await asyncio.sleep(0.01)
            assert dict(counts) == {("oneway", "single_shot", "refused"): 1} and not node.calls
            assert not world.core._requests

    play(scene)


def test_the_check_can_fail(monkeypatch):
    """Seeded: the module is not told that the client is gone, so a reset sends a safe one again."""

    async def dies(talk: Talk, asked: Asked) -> None:
        talk.reset()

    monkeypatch.setattr(Core, "_delivered", lambda self, request: None)

    async def scene():
        async with Node(TONGUE, dies) as node:
            lines = TONGUE.line("s1", node.port), TONGUE.line("s2", node.port)
            async with sidecar(TONGUE, *lines) as world:
                told = world.watch()
                await (await world.client()).send("free", oneway=True)
                await response(told)
                await response(told)
                assert len(node.calls) == 2

    play(scene)


def test_many_are_held_by_the_budget_as_other_calls_are():
    async def scene():
        go = asyncio.Event()

        class Slow(type(TONGUE.talk())):
            async def load(self, inflight, queue):
                await go.wait()
                await super().load(0, 0)

        async with Node(TONGUE, quiet) as node, sidecar(TONGUE, TONGUE.line("s1", node.port)) as world:
            node.tongue = type("T", (), {"talk": lambda self: Slow(TONGUE)})()
            told = world.watch()
            clients = [await world.client() for _ in range(12)]
            for client in clients:
                await client.send("free", oneway=True)
            seen = 0
            while seen < 12:
                seen += isinstance(await told.get(), RequestArrived)
            server = world.core._module.state.servers["s1"]
            assert server.in_flight <= server.limit + server.trial_in_flight < 12
            go.set()
            while world.core._requests or world.core._module.state.attempts:
                await asyncio.sleep(0.01)
            ends = world.sidecar._counters._counts
            assert ends["oneway", "free", "written"] == len(node.calls)
            assert sum(ends.values()) == 12

    play(scene)


def test_events_come_in_order():
    async def scene():
        async with Node(TONGUE, quiet) as node, sidecar(TONGUE, TONGUE.line("s1", node.port)) as world:
            told = world.watch()
            await (await world.client()).send("free", oneway=True)
            kinds = [type(await told.get()) for _ in range(3)]
            assert kinds == [RequestArrived, ClientDisconnected, AttemptFinished] and SendAttempt not in kinds

    play(scene)
