"""A stand-in server that holds shard keys, over real sockets: key calls and heartbeats."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest

from rehearsal.mesh import wire
from rehearsal.mesh.field import BY_HEARTBEAT, BY_INVOCATION, DOORS, HOLD_MAX_S, Machine, Sharding
from rehearsal.mesh.field import free_ports as find_free_ports
from rehearsal.mesh.judge import History
from rehearsal.mesh.key_messages import parse_shard_key
from rehearsal.mesh.server import Server

HOST = "127.0.0.1"
SERVICE = "ferry"
WORK_S = 0.2  # of each request, about; a few tests need one that is under way
LONG_WORK_S = 1.0  # of a request during which a test makes a call
LIMIT_S = 10.0
numbers = itertools.count(1)

GRANT: dict[str, Any] = {"source": 4096, "target_version": 8191, "fence": 12, "hold": "4000ms"}
RELEASE: dict[str, Any] = {"source": 4096, "target_version": 8191, "fence": 12}


class Sidecar:
    """Answers the heartbeats of a server with what a test says, and keeps their bodies."""

    def __init__(self) -> None:
        self.answer: dict[str, Any] = {}
        self.heartbeats: list[dict[str, Any]] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        message = await wire.read(reader)
        if message is not None and message.body:
            self.heartbeats.append(json.loads(message.body))
            writer.write(wire.answer(200, {}, json.dumps(self.answer).encode()))
        writer.close()


class World:
    """One server of a service that is divided by key, and the sidecar that it reports to."""

    def __init__(self, server: Server, sidecar: Sidecar, history: History) -> None:
        self.server, self.sidecar, self.history = server, sidecar, history

    async def post(self, path: str, body: Any) -> wire.Message:
        answer = await wire.ask(
            self.server.machine.at("app"),
            "POST",
            path,
            body if type(body) is bytes else json.dumps(body).encode(),
        )
        assert answer is not None
        return answer

    async def get(self, key: str) -> wire.Message:
        """A request; `key` is its shard key, none if empty."""
        headers = {"Host": HOST, "X-Attempt-Id": f"a{next(numbers)}", "X-Deadline-Ms": "5000"}
        if key:
            headers["X-Shard-Key"] = key
        line = await wire.Line.open(self.server.machine.at("app"))
        try:
            return await line.ask(wire.request("GET", "/", headers, b""))
        finally:
            line.close()

    async def beat(self, answer: dict[str, Any]) -> dict[str, Any]:
        """Has the server send a heartbeat that gets this answer; returns what the heartbeat said."""
        self.sidecar.answer = answer
        assert await self.server.beat()
        return self.sidecar.heartbeats[-1]


@asynccontextmanager
async def open_world(grants: str, work_s: float = 0.001) -> AsyncIterator[World]:
    """Starts a server that sends heartbeats only when a test has it do so."""
    ports = dict(zip(DOORS, find_free_ports([HOST], len(DOORS)), strict=True))
    machine = Machine("sidecar0", "sidecar", HOST, ports, SERVICE, Sharding(grants, (SERVICE,)))
    sidecar, history = Sidecar(), History()
    control = await asyncio.start_server(sidecar.serve, HOST, machine.port("control"))
    server = Server(machine, history, random.Random(1), work_s, errs=False)
    await server.start()
    await server.fall_silent()
    try:
        yield World(server, sidecar, history)
    finally:
        await server.stop()
        control.close()


def run(grants: str, body: Callable[[World], Awaitable[None]], work_s: float = 0.001) -> None:
    async def play() -> None:
        async with asyncio.timeout(LIMIT_S), open_world(grants, work_s) as world:
            await body(world)

    asyncio.run(play())


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.002)


@pytest.mark.parametrize("text", ["", "-1", "65536", "1.5", "0x10", "\u0662"])
def test_what_is_no_shard_key(text: str) -> None:
    assert parse_shard_key(text) is None


def test_the_lowest_and_the_highest_shard_key() -> None:
    assert (parse_shard_key("0"), parse_shard_key("65535")) == (0, 65_535)


def test_a_server_runs_requests_on_granted_keys_alone() -> None:
    async def body(world: World) -> None:
        refused = await world.get("4096")
        assert (refused.status, refused.header("x-not-run")) == (421, "1")
        assert refused.header("x-instance-id") == world.server.instance
        assert (await world.post("/-/grant", GRANT)).status == 200
        assert [(await world.get(key)).status for key in ("4095", "4096", "8191", "8192", "")] == [
            421,
            200,
            200,
            421,
            400,
        ]
        assert [arrival.shard_key for arrival in world.history.runs] == [4096, 8191]

    run(BY_INVOCATION, body)


def test_a_grant_with_a_lower_fence_gets_409_and_a_repeated_one_200() -> None:
    async def body(world: World) -> None:
        fences = [12, 12, 11, 13]
        assert [(await world.post("/-/grant", {**GRANT, "fence": fence})).status for fence in fences] == [
            200,
            200,
            409,
            200,
        ]

    run(BY_INVOCATION, body)


@pytest.mark.parametrize(
    "wrong",
    [
        {"source": 8192},
        {"source": -1},
        {"target_version": 65_536},
        {"source": "4096"},
        {"source": True},
        {"fence": 1.5},
        {"fence": None},
        {"hold": "4"},
        {"hold": 4000},
        {"hold": "0ms"},
        {"hold": f"{HOLD_MAX_S + 1:g}s"},
        {"handover": 7},
    ],
)
def test_a_malformed_grant_gets_400(wrong: dict[str, Any]) -> None:
    async def body(world: World) -> None:
        assert (await world.post("/-/grant", {**GRANT, **wrong})).status == 400
        assert (await world.get("5000")).status == 421

    run(BY_INVOCATION, body)


@pytest.mark.parametrize("path", ["/-/grant", "/-/release"])
@pytest.mark.parametrize("wrong", [b"{", b"[]", b"{}", b"7"])
def test_a_call_that_is_no_object_gets_400(path: str, wrong: bytes) -> None:
    async def body(world: World) -> None:
        assert (await world.post(path, wrong)).status == 400

    run(BY_INVOCATION, body)


def test_a_release_stops_new_work_at_once_and_is_answered_when_the_running_work_has_ended() -> None:
    async def body(world: World) -> None:
        await world.post("/-/grant", GRANT)
        request = asyncio.create_task(world.get("5000"))
        await wait_until(lambda: bool(world.history.runs))
        release = asyncio.create_task(
            world.post("/-/release", {**RELEASE, "target_version": 5000, "fence": 3})
        )
        await wait_until(lambda: len(world.history.holds) > 1)
        assert (await world.get("4096")).status == 421
        assert not request.done() and not release.done()
        answer = await release
        assert request.done() and request.result().status == 200
        assert answer.status == 200 and answer.header("x-handover")
        assert (await world.get("5001")).status == 200  # the other part is still held

    run(BY_INVOCATION, body, WORK_S)


def test_work_whose_hold_ends_gets_500() -> None:
    async def body(world: World) -> None:
        await world.post("/-/grant", GRANT)
        asked = asyncio.ensure_future(world.get("5000"))
        await wait_until(lambda: any(arrival.ran for arrival in world.history.arrivals))
        await world.post("/-/grant", {**GRANT, "hold": "1ms"})  # a shorter hold counts from now
        answer = await asked
        assert (answer.status, answer.header("x-server-seal")) == (500, "")
        assert [(arrival.ran, arrival.status) for arrival in world.history.arrivals] == [(True, 500)]

    run(BY_INVOCATION, body, LONG_WORK_S)


def test_heartbeats_grant_keys_and_release_what_their_answers_leave_out() -> None:
    async def body(world: World) -> None:
        both = [[0, 4095, 7, ""], [9000, 9999, 12, "7a21d94b36f85c0e"]]
        told = await world.beat({"holds": both, "hold": "4000ms"})
        assert (told["holds"], told["released"]) == ([], [])
        assert [(await world.get(key)).status for key in ("4095", "4096", "9000")] == [200, 421, 200]
        told = await world.beat({"holds": both[1:], "hold": "4000ms"})
        assert told["holds"] == [[0, 4095, 7], [9000, 9999, 12]]
        assert [(await world.get(key)).status for key in ("4095", "9000")] == [421, 200]
        told = await world.beat({})
        assert told["holds"] == [[9000, 9999, 12]]
        assert [row[:2] for row in told["released"]] == [[0, 4095]] and told["released"][0][2]
        assert (await world.beat({}))["released"] == []

    run(BY_HEARTBEAT, body)


@pytest.mark.parametrize(
    "answer",
    [
        {},
        {"beat_target": ""},
        {"holds": [[0, 1, 1]], "hold": "1s"},
        {"holds": [], "hold": "1"},
        {"holds": [[5, 4, 1, ""]], "hold": "1s"},
    ],
)
def test_an_answer_without_valid_holds_changes_nothing(answer: dict[str, Any]) -> None:
    async def body(world: World) -> None:
        await world.beat({"holds": [[0, 4095, 7, ""]], "hold": "4000ms"})
        events = len(world.history.holds)
        await world.beat(answer)
        assert len(world.history.holds) == events
        assert (await world.get("4095")).status == 200

    run(BY_HEARTBEAT, body)


def test_an_answer_that_is_too_long_is_no_acknowledgement() -> None:
    async def body(world: World) -> None:
        world.sidecar.answer = {"holds": [[0, 4095, 7, "h" * 5000]], "hold": "4000ms"}
        assert not await world.server.beat()
        assert (await world.get("4095")).status == 421

    run(BY_HEARTBEAT, body)


def test_a_server_that_lets_go_of_keys_sends_its_next_heartbeat_within_100_ms() -> None:
    async def body(world: World) -> None:
        await world.beat({"holds": [[0, 4095, 7, ""]], "hold": "4000ms"})
        assert world.server.next_beat_s() > 0.1
        await world.beat({"holds": [], "hold": "4000ms"})
        assert world.server.next_beat_s() <= 0.1
        await world.beat({"holds": [], "hold": "4000ms"})
        assert world.server.next_beat_s() > 0.1

    run(BY_HEARTBEAT, body)


def test_each_way_of_granting_is_taken_only_where_the_service_uses_it() -> None:
    async def invocation(world: World) -> None:
        await world.beat({"holds": [[0, 4095, 7, ""]], "hold": "4000ms"})
        assert (await world.get("4095")).status == 421

    async def heartbeat(world: World) -> None:
        assert (await world.post("/-/grant", GRANT)).status == 404
        assert (await world.get("4096")).status == 421

    run(BY_INVOCATION, invocation)
    run(BY_HEARTBEAT, heartbeat)


def test_a_new_life_holds_nothing() -> None:
    async def body(world: World) -> None:
        await world.post("/-/grant", GRANT)
        await world.server.stop()
        await world.server.start()
        assert (await world.get("4096")).status == 421
        assert (await world.post("/-/grant", {**GRANT, "fence": 1})).status == 200  # it has seen no fence

    run(BY_INVOCATION, body)
