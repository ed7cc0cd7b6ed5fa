"""The sidecar on loopback sockets over HTTP: one test for each failure found that is HTTP's, or its own.
The rules themselves are played over every protocol in tests/rules."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time

from backend import Call, Conversation, Server, dump, line, listing, ok, play, settings, sidecar

from dunefield import (
    AttemptOutcome,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchServerList,
    LogMessage,
    ProbeServer,
    RefuseRequest,
    RequestArrived,
    SendAttempt,
)
from hollyport.http.back import Connection, HttpBack
from hollyport.nodes.upstream import Upstream
from hollyport.settings.config import Address


async def reset(talk: Conversation, call: Call) -> None:
    talk.reset()


async def cut_off(talk: Conversation, call: Call) -> None:
    talk.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
    await talk.writer.drain()
    talk.writer.close()


def test_a_request_goes_through_unchanged_and_connections_are_kept():
    """Found: every connection to a server was closed after one answer, as the parser was asked too late."""

    async def scene():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            client = await world.client()
            for number in range(3):
                status, _, body = await client.ask(
                    "guarded",
                    f"id-{number}",
                    body=b"x" * 60_000,
                    Idempotency_Key="k1",
                    Connection="keep-alive",
                )
                assert (status, body) == (200, f"id-{number}".encode())
            call = server.calls[0]
            assert (call.method, call.target, call.body) == ("POST", "/guarded?q=1", b"x" * 60_000)
            assert call.headers["x-request-id"] == "id-0" and call.headers["idempotency-key"] == "k1"
            assert 4.0 < float(call.headers["X-Timeout"]) < 5.0
            assert "connection" not in call.headers and server.connections == 1

    play(scene)


def test_a_connection_that_ended_before_the_first_send_has_not_run():
    """A server at its limit accepts and closes; a write then raised, and the attempt had no outcome."""

    async def scene():
        async with Server(ok) as server:
            loop = asyncio.get_running_loop()
            lost, ended = asyncio.Event(), []
            _, connection = await loop.create_connection(
                lambda: Connection(lambda _: lost.set()), "127.0.0.1", server.port
            )
            sock = connection._transport.get_extra_info("socket")
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)  # the loop's doing
            connection.close()
            await lost.wait()
            connection.send(b"GET / HTTP/1.1\r\n\r\n", ended.append)
            assert ended == [None] and not connection.written

    play(scene)


def test_a_request_cut_off_before_its_last_byte_has_not_run():
    async def scene():
        begun, ended = asyncio.Event(), asyncio.Event()
        outcomes = []

        async def deaf(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await begun.wait()
            writer.transport.abort()

        server = await asyncio.start_server(deaf, "127.0.0.1", 0, limit=1)
        port = server.sockets[0].getsockname()[1]
        upstream = Upstream(asyncio.get_running_loop(), 10**9, 10**10, 10, 0.0, HttpBack(False))
        upstream.update("s1", Address("127.0.0.1", port), 0, True)
        size = 64 * 1024 * 1024  # more than the kernel takes in at once

        def made() -> bytes:
            asyncio.get_running_loop().call_soon(begun.set)
            return b"x" * size

        exchange = upstream.exchange("s1", made, 10.0, lambda how, _: (outcomes.append(how), ended.set()))
        exchange.start()
        await ended.wait()
        assert outcomes == [AttemptOutcome.CONNECT_FAILED]
        server.close()

    play(scene)


def test_idle_connections_give_way_when_descriptors_run_out():
    async def scene():
        async with contextlib.AsyncExitStack() as stack:
            servers = [await stack.enter_async_context(Server(ok)) for _ in range(4)]
            upstream = Upstream(asyncio.get_running_loop(), 10**9, 10**10, 2, 0.0, HttpBack(False))
            for number, server in enumerate(servers * 2):
                name = f"s{number % 4}"
                upstream.update(name, Address("127.0.0.1", server.port), 0, True)
                done: asyncio.Future[AttemptOutcome] = asyncio.get_running_loop().create_future()
                request = b"GET / HTTP/1.1\r\nHost: s\r\n\r\n"
                upstream.exchange(
                    name, lambda r=request: r, 10.0, lambda how, _, d=done: d.set_result(how)
                ).start()
                assert await done is AttemptOutcome.OK  # four servers by turns over two descriptors

    play(scene)


def test_requests_sent_ahead_are_answered_in_order_and_their_time_runs():
    async def scene():
        async def slow(talk: Conversation, call: Call) -> None:
            if len(server.calls) == 1:
                await asyncio.sleep(0.3)  # time passes for those behind
            await ok(talk, call)

        async with Server(slow) as server, sidecar(line("s1", server.port)) as world:
            client = await world.client()
            for rid in ("a", "b", "c"):
                head = f"GET /free HTTP/1.1\r\nHost: app\r\nX-Request-ID: {rid}\r\nX-Timeout: 5\r\n\r\n"
                await client.send(head.encode())
            assert [(await client.answer())[2] for _ in range(3)] == [b"a", b"b", b"c"]
            assert float(server.calls[1].headers["X-Timeout"]) < 4.8

    play(scene)


def test_time_that_the_process_stood_still_counts_for_the_client(capfd):
    """Found with a third of a core: a request read late was answered after its client's time."""

    async def scene():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            client = await world.client()
            assert (await client.ask())[0] == 200
            asking = asyncio.ensure_future(client.ask(rid="2"))
            await asyncio.sleep(0)  # written, and not read yet
            time.sleep(0.5)
            assert (await asking)[0] == 200
            assert float(server.calls[0].headers["X-Timeout"]) > 4.8
            assert float(server.calls[1].headers["X-Timeout"]) < 4.6

    play(scene)
    assert "stood still" in capfd.readouterr().err


def test_a_fault_while_a_request_is_taken_is_logged_and_answered(monkeypatch, capfd):
    async def scene():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            client = await world.client()
            with monkeypatch.context() as patch:
                patch.setattr(world.sidecar.core, "_new_id", lambda rid, now: 1 // 0)
                assert (await client.ask())[0] == 500
            assert (await client.ask())[0] == 200

    play(scene)
    assert "ZeroDivisionError" in capfd.readouterr().err


def test_every_action_is_carried_out(capfd):
    async def scene():
        came, told = asyncio.Event(), asyncio.Queue()

        async def script(talk: Conversation, call: Call) -> None:
            if call.target == "/-/load":
                await talk.answer(200, b'{"inflight": 3, "odd": "x"}')
            elif call.target.startswith("/api/targets"):
                await talk.answer(200, dump(listing(line("s1", server.port), index=5)))
            else:
                came.set()
                await asyncio.sleep(60)

        async with Server(script) as server:
            raw = settings(discovery="subscribe", reporting={"how": "probe"}, limits={"mayProbe": True})
            async with sidecar(line("s1", server.port), discovery=server.port, raw=raw) as world:
                acts = [ProbeServer("s1"), ProbeServer("nobody"), LogMessage("a word"), FetchServerList()]

                def handle(now, event):
                    told.put_nowait(event)
                    if isinstance(event, RequestArrived):
                        return [SendAttempt(event.request_id, "s1", now + 5 * 10**9), *acts]
                    return []

                world.sidecar.core._module.handle = handle
                asking = asyncio.ensure_future((await world.client()).ask("single_shot"))
                events = {}
                while len(events) < 4:
                    event = await told.get()
                    events[type(event).__name__, getattr(event, "server", "")] = event
                assert (
                    events["ProbeResult", "s1"].load == {"inflight": 3.0}
                    and events["ProbeResult", "s1"].outcome == AttemptOutcome.OK
                )
                assert events["ProbeResult", "nobody"].outcome == AttemptOutcome.MOOT
                assert (
                    events["ServerListUpdate", ""].scope == "FULL"
                    and events["ServerListUpdate", ""].generation == 5
                )
                await came.wait()
                request_id = events["RequestArrived", ""].request_id
                idle = len(world.sidecar._upstream._targets["s1"].idle)
                for action in (
                    CancelAttempt(request_id, 0),
                    CloseIdleConnections("s1"),
                    RefuseRequest(request_id, 250_000_000),
                    FailRequest(request_id),
                ):
                    world.sidecar.core._perform(action)
                assert (await told.get()).outcome == AttemptOutcome.CANCELLED
                assert idle and not world.sidecar._upstream._targets["s1"].idle
                status, headers, _ = await asking  # one answer: the first
                assert status == 503 and headers["retry-after"] == "0.250"

    play(scene)
    assert "a word" in capfd.readouterr().err


def test_alarms_never_come_early():
    """The loop counts whole milliseconds; the module lets an alarm that is early by its clock pass."""

    async def scene():
        async with sidecar() as world:
            told = asyncio.Queue()
            clock = world.sidecar._clock
            world.sidecar.core._module.handle = lambda now, e: told.put_nowait((clock(), e)) or []
            due = {}
            for tag in range(100):
                due[tag] = clock() + 1_000_000 + tag * 70_000
                world.sidecar.core._defer(due[tag], tag)
            while due:
                at, alarm = await told.get()
                assert at >= due.pop(alarm.tag)

    play(scene)


def test_an_exception_fails_its_request_and_no_other(monkeypatch, capfd):
    async def scene():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            client = await world.client()
            real = world.sidecar.core._module.handle
            monkeypatch.setattr(world.sidecar.core._module, "handle", lambda now, event: 1 // 0)
            assert (await client.ask("single_shot", "1"))[0] == 503  # never sent, so a retry is harmless
            monkeypatch.setattr(world.sidecar.core._module, "handle", real)
            assert (await client.ask("single_shot", "2"))[0] == 200

    play(scene)
    assert "ZeroDivisionError" in capfd.readouterr().err


def test_ready_only_with_a_server():
    async def scene():
        async with sidecar() as world:
            client = await world.client()
            await client.send(b"GET /-/ready HTTP/1.1\r\nHost: app\r\n\r\n")
            assert (await client.answer())[0] == 503

    play(scene)
