"""The stand-in for the node list: versions and what was told (pure), and how it answers on sockets."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time

from rehearsal import scenario as sc
from rehearsal.listing.board import Board
from rehearsal.listing.server import ListServer
from rehearsal.plan import Event, News, make
from rehearsal.worker import Clock, Lateness

LIMIT_S = 20
BASE = sc.load(sc.SHIPPED / "_base.toml")
PLAN = make(BASE, "listed", "small", 1)
ADDRESSES = {n: f"127.0.0.1:{1000 + n}" for n in range(len(PLAN.nodes))}


def ask(board, after, daemon=0, t_us=5):
    return board.answer(after, daemon, t_us, 1_700_000_000_000, ADDRESSES)


def test_whole_then_changes_then_nothing():
    board = Board(PLAN)
    whole = ask(board, None)
    assert whole["snapshot"] and len(whole["endpoints"]) == len(PLAN.nodes)
    board.learn(News(1, 3, "DRAINING", 0))
    board.learn(News(2, 4, "SERVING", 2_000_000))
    changes = ask(board, whole["index"])
    assert not changes["snapshot"] and changes["index"] == whole["index"] + 2
    assert [(e["name"], e["status"], e["since_ms"]) for e in changes["endpoints"]] == [
        (PLAN.nodes[3].name, "DRAINING", 0),
        (PLAN.nodes[4].name, "SERVING", 1_700_000_002_000),
    ]
    assert ask(board, changes["index"])["endpoints"] == [] and not board.newer(changes["index"])


def test_what_each_daemon_was_told_is_recorded_once_and_apart():
    board = Board(PLAN)
    first = ask(board, None)["index"]
    board.learn(News(1, 3, "DRAINING", 0))
    ask(board, first, daemon=1, t_us=70)
    ask(board, None, daemon=1, t_us=90)
    board.learn(News(2, 3, "DELETED", 0))
    ask(board, None, daemon=1, t_us=95)  # a whole list tells it by leaving it out
    ask(board, first, daemon=2, t_us=99)
    assert [row[1:5] for row in board.records] == [
        [1, 70, 3, "DRAINING"],
        [1, 95, 3, "DELETED"],
        [2, 99, 3, "DELETED"],
    ]


def test_a_list_that_forgets_answers_whole_with_lower_numbers():
    board = Board(PLAN)
    before = ask(board, None)["index"]
    board.learn(News(1, 3, "DELETED", 0))
    board.forget()
    assert board.version < before and board.newer(before)
    answer = ask(board, before)
    assert answer["snapshot"] and len(answer["endpoints"]) == len(PLAN.nodes) - 1


def test_a_daemon_that_starts_again_knows_what_it_was_told_and_no_more():
    board = Board(PLAN)
    first = ask(board, None)["index"]
    board.learn(News(1, 3, "DRAINING", 0))
    names = {e["name"]: e["status"] for e in board.known(0, 0, ADDRESSES)["endpoints"]}
    assert names[PLAN.nodes[3].name] == "SERVING"
    ask(board, first)
    names = {e["name"]: e["status"] for e in board.known(0, 0, ADDRESSES)["endpoints"]}
    assert names[PLAN.nodes[3].name] == "DRAINING"


class Asker:
    """A caller of the list."""

    def __init__(self, server, daemon=0):
        self.port = server.ports[daemon]

    async def __aenter__(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    async def __aexit__(self, *exc):
        self.writer.close()

    async def ask(self, query=""):
        self.writer.write(f"GET /api/targets{query} HTTP/1.1\r\nHost: l\r\n\r\n".encode())
        head = await self.reader.readuntil(b"\r\n\r\n")
        body = await self.reader.readexactly(int(head.lower().split(b"content-length:")[1]))
        return int(head.split()[1]), json.loads(body)


def play(plan, scene):
    async def whole():
        clock = Clock(time.monotonic_ns())
        doors = {n: [("127.0.0.1", 2000 + n)] * len(plan.halls) for n in range(len(plan.nodes))}
        server = ListServer(plan, clock, Lateness(), doors)
        await server.open()
        server.start()
        try:
            async with asyncio.timeout(LIMIT_S):
                await scene(server)
        finally:
            await server.close()

    asyncio.run(whole())


def test_a_watch_waits_for_news_and_gets_it():
    async def scene(server):
        async with Asker(server) as asker:
            status, whole = await asker.ask()
            assert status == 200 and whole["snapshot"]
            waiting = asyncio.ensure_future(asker.ask(f"?after={whole['index']}&wait_ms=60000"))
            while server.calls < 2:
                await asyncio.sleep(0)
            server.tell(News(0, 7, "DELETED", 0))
            status, news = await waiting
            assert [(e["name"], e["status"]) for e in news["endpoints"]] == [(PLAN.nodes[7].name, "DELETED")]
            status, none = await asker.ask(f"?after={news['index']}&wait_ms=1")
            assert none["endpoints"] == [] and not none["snapshot"]

    play(PLAN._replace(news=(), events=()), scene)


def test_an_outage_ends_watches_and_refuses_until_it_is_over():
    events = (Event(300_000, "list", 0, "down", 0.0), Event(900_000, "list", 0, "up", 1.0))

    async def scene(server):
        async with Asker(server) as asker:
            _, whole = await asker.ask()
            try:
                await asker.ask(f"?after={whole['index']}&wait_ms=60000")
                raise AssertionError("the watch outlived the list")
            except (OSError, asyncio.IncompleteReadError):
                pass
        assert server.down
        while server.down:
            await asyncio.sleep(0.01)
        async with Asker(server) as asker:
            status, again = await asker.ask(f"?after={whole['index']}&wait_ms=60000")
            assert status == 200 and again["snapshot"] and again["index"] < whole["index"]
        assert len(server.outages) == 1 and 0 < server.outages[0][1] - server.outages[0][0] < 10**7

    play(PLAN._replace(news=(), events=events), scene)


def test_a_hall_that_is_cut_off_is_told_nothing_and_nothing_counts_as_told():
    hall = PLAN.daemons[0]
    other = next(d for d, h in enumerate(PLAN.daemons) if h != hall)
    events = (Event(1, "hall", hall, "cut", 1.0), Event(1_500_000, "hall", hall, "cut", 0.0))

    async def scene(server):
        await asyncio.sleep(0.05)
        server.tell(News(0, 7, "DRAINING", 0))
        async with Asker(server, 0) as inside, Asker(server, other) as outside:
            _, told = await outside.ask("?after=100&wait_ms=1000")
            assert told["endpoints"][0]["status"] == "DRAINING"
            waiting = asyncio.ensure_future(inside.ask("?after=100&wait_ms=0"))
            await asyncio.sleep(0.2)
            assert not waiting.done() and [row[1] for row in server.board.records] == [other]
            await waiting
            assert [row[1] for row in server.board.records] == [other, 0]
            assert server.board.records[-1][2] >= 1_400_000

    play(PLAN._replace(news=(), events=events), scene)


def test_a_caller_that_has_left_was_not_told():
    async def scene(server):
        async with Asker(server) as asker:
            asker.writer.write(b"GET /api/targets?after=100&wait_ms=60000 HTTP/1.1\r\nHost: l\r\n\r\n")
            while server.calls < 1:
                await asyncio.sleep(0)
        await asyncio.sleep(0.05)
        server.tell(News(0, 7, "DELETED", 0))
        await asyncio.sleep(0.1)
        assert server.board.records == []

    play(PLAN._replace(news=(), events=()), scene)


def test_a_service_of_finite_capacity_answers_in_turn():
    slow = BASE.model_copy(update={"list": sc.NodeList(whole_ms=50.0, timeout_s=0.12)})
    plan = PLAN._replace(scenario=slow, news=(), events=())

    async def scene(server):
        async def one():
            async with Asker(server) as asker:
                return (await asker.ask())[0]

        statuses = await asyncio.gather(*(one() for _ in range(8)))
        assert set(statuses) == {200, 503} and statuses.count(200) >= 2

    play(plan, scene)


def test_nonsense_gets_no_answer_and_harms_nobody():
    async def scene(server):
        for data in (
            b"\r\n\r\n",
            b"GET /api/targets?after=x HTTP/1.1\r\n\r\n",
            b"GET\r\n\r\n",
            b"\xff" * 100_000,
        ):
            reader, writer = await asyncio.open_connection("127.0.0.1", server.ports[0])
            writer.write(data)
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b""
            writer.close()
        async with Asker(server) as asker:
            assert (await asker.ask())[0] == 200

    play(PLAN._replace(news=(), events=()), scene)
