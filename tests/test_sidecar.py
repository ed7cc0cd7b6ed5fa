"""The sidecar on loopback sockets: one test for each failure found and each promise made."""

from __future__ import annotations

import asyncio

import pytest
from backend import Call, Conversation, Server, line, ok, play, sidecar


async def reset(talk: Conversation, call: Call) -> None:
    talk.reset()


async def cut_off(talk: Conversation, call: Call) -> None:
    talk.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
    await talk.writer.drain()
    talk.writer.close()


async def busy(talk: Conversation, call: Call) -> None:
    await talk.answer(503, b"", "X-Not-Processed: 1")


async def vague(talk: Conversation, call: Call) -> None:
    await talk.answer(503)


def test_a_request_goes_through_unchanged_and_connections_are_kept():
    """Found: every connection to a server was closed after one answer, as the parser was asked too late."""
    async def scene():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            client = await world.client()
            for number in range(3):
                status, _, body = await client.ask("guarded", f"id-{number}", body=b"x" * 60_000,
                                                   Idempotency_Key="k1", Connection="keep-alive")
                assert (status, body) == (200, f"id-{number}".encode())
            call = server.calls[0]
            assert (call.method, call.target, call.body) == ("POST", "/guarded?q=1", b"x" * 60_000)
            assert call.headers["x-request-id"] == "id-0" and call.headers["idempotency-key"] == "k1"
            assert 4.0 < float(call.headers["X-Timeout"]) < 5.0
            assert "connection" not in call.headers and server.connections == 1
    play(scene)


@pytest.mark.parametrize("script", [reset, cut_off, vague])
def test_what_may_have_run_is_repeated_only_if_free(script):
    async def scene():
        for cls, method, repeated in (("single_shot", "POST", False), ("unknown-class", "GET", False),
                                      ("free", "POST", False), ("free", "GET", True)):
            # "free" by POST with no key contradicts its class and is read with care.
            async with Server(script) as bad, sidecar(line("s1", bad.port), line("s2", bad.port)) as world:
                status, _, _ = await (await world.client()).ask(cls, method=method)
                assert (status, len(bad.calls)) == ((503, 2) if repeated else (502, 1))
    play(scene)


def test_what_has_not_run_is_repeated_or_refused():
    async def scene():
        async with Server(busy) as full, Server(ok) as good:
            gone = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
            port = gone.sockets[0].getsockname()[1]
            gone.close()
            await gone.wait_closed()
            async with sidecar(line("s1", full.port), line("s2", port)) as world:
                client = await world.client()
                status, _, _ = await client.ask("single_shot")
                assert status == 503
            async with sidecar(line("s1", full.port), line("s2", port), line("s3", good.port)) as world:
                client = await world.client()
                for number in range(5):
                    status, _, _ = await client.ask("single_shot", f"{number}")
                    assert status == 200
                assert len(good.calls) == 5
    play(scene)


def test_a_connection_closed_while_idle_is_not_sent_on():
    """A send on it would count as run, and an unsafe request would be lost for nothing."""
    async def once(talk: Conversation, call: Call) -> None:
        await ok(talk, call)
        talk.writer.close()

    async def scene():
        async with Server(once) as server, sidecar(line("s1", server.port)) as world:
            client = await world.client()
            for number in range(20):
                assert (await client.ask("single_shot", f"{number}"))[0] == 200
            assert len(server.calls) == 20
    play(scene)


def test_a_silent_server_costs_one_answer_in_time():
    async def silent(talk: Conversation, call: Call) -> None:
        await asyncio.sleep(60)

    async def scene():
        async with Server(silent) as server, sidecar(line("s1", server.port)) as world:
            client = await world.client()
            start = asyncio.get_running_loop().time()
            status, _, _ = await client.ask("single_shot", timeout="1.5")
            assert status == 504 and asyncio.get_running_loop().time() - start > 1.0
            assert len(server.calls) == 1
    play(scene)


def test_two_live_requests_with_one_id_get_an_answer_each():
    async def scene():
        seen = asyncio.Event()

        async def pair(talk: Conversation, call: Call) -> None:
            if len(server.calls) == 2:
                seen.set()
            await seen.wait()
            await talk.answer(200, call.body)

        async with Server(pair) as server, sidecar(line("s1", server.port)) as world:
            asks = [(await world.client()).ask("single_shot", "same", body=text) for text in (b"one", b"two")]
            answers = await asyncio.gather(*asks)
            assert [(status, body) for status, _, body in answers] == [(200, b"one"), (200, b"two")]
    play(scene)


def test_bad_input_is_answered_and_hurts_nobody_else():
    async def scene():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            client = await world.client()
            await client.send(b"nonsense\r\n\r\n")
            assert (await client.answer())[0] == 400
            client = await world.client()
            await client.send(b"POST /free HTTP/1.1\r\nX-Request-ID: 1\r\nContent-Length: 65537\r\n\r\n")
            assert (await client.answer())[0] == 413
            client = await world.client()
            chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
            await client.send(b"POST /free HTTP/1.1\r\nX-Request-ID: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
            await client.send(chunk + chunk)
            assert (await client.answer())[0] == 413
            client = await world.client()
            await client.send(b"GET /free HTTP/1.1\r\nHost: app\r\n\r\nDELETE /free HTTP/1.1\r\n\r\n")
            assert [(await client.answer())[0] for _ in range(2)] == [400, 405]
            for timeout in (None, "nan", "inf", "soon", "1e300"):
                assert (await client.ask(timeout=timeout))[0] == 200
            assert (await client.ask(timeout="-1"))[0] == 503
            await client.send(b"GET /-/ready HTTP/1.1\r\n\r\n")
            assert (await client.answer())[0] == 200
    play(scene)


def test_an_exception_fails_its_request_and_no_other(monkeypatch, capfd):
    async def scene():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            client = await world.client()
            real = world.sidecar._module.handle
            monkeypatch.setattr(world.sidecar._module, "handle", lambda now, event: 1 // 0)
            assert (await client.ask("single_shot", "1"))[0] == 503  # never sent, so a retry is harmless
            monkeypatch.setattr(world.sidecar._module, "handle", real)
            assert (await client.ask("single_shot", "2"))[0] == 200
    play(scene)
    assert "ZeroDivisionError" in capfd.readouterr().err


def test_ready_only_with_a_server():
    async def scene():
        async with sidecar() as world:
            client = await world.client()
            await client.send(b"GET /-/ready HTTP/1.1\r\n\r\n")
            assert (await client.answer())[0] == 503
    play(scene)


