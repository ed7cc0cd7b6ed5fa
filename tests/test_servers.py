"""What servers may send the sidecar: spoilt answers, more than was asked for, and load reports."""

from __future__ import annotations

import asyncio
import socket

import pytest
from backend import Call, Conversation, Server, line, play, settings, sidecar

from dunefield import AttemptOutcome
from hollyport.http.back import Connection, HttpBack
from hollyport.http.heads import load
from hollyport.nodes.upstream import Upstream
from hollyport.settings.config import Address

GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"


def says(*parts: bytes):
    async def script(talk: Conversation, call: Call) -> None:
        for part in parts:
            talk.writer.write(part)
            await talk.writer.drain()
        await asyncio.sleep(60)  # the connection stays open

    return script


async def outcomes(
    script, number: int = 1, stall_s: float = 0.0
) -> tuple[list[tuple[AttemptOutcome, bytes]], Server]:
    found = []
    async with Server(script) as server:
        upstream = Upstream(asyncio.get_running_loop(), 10**9, 10**10, 10, stall_s, HttpBack(False))
        upstream.update("s1", Address("127.0.0.1", server.port), 0, True)
        for _ in range(number):
            done = asyncio.get_running_loop().create_future()
            upstream.exchange(
                "s1",
                lambda: b"GET / HTTP/1.1\r\nHost: s\r\n\r\n",
                15.0,
                lambda how, reply, done=done: done.set_result((how, reply)),
            ).start()
            how, reply = await done
            found.append((how, reply.body if reply is not None else b""))
    return found, server


@pytest.mark.parametrize(
    "spoilt",
    [
        b"\xcf\xe7LaO\x99\xdbq\r\n\r\n",
        b"HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\ngood",
        b"HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 4\r\n\r\ngood",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\ngood",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 4\r\n\r\ngood",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\ngood",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n100001\r\n" + b"x" * 1048577 + b"\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nno framing",
        b"HTTP/1.1 200 OK\r\nX-Odd: a\x00b\r\nContent-Length: 4\r\n\r\ngood",
        b"HTTP/1.1 200 OK\r\n" + b"X-Pad: pppppppppppppppppppppppp\r\n" * 2000,
        b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * 2000,
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
    ],
)
def test_a_spoilt_answer_is_known_early_and_blames_nobody(spoilt):
    """Found: waited for until the client's time was up, or told as a reset, which halves a budget."""

    async def scene():
        found, _ = await outcomes(says(spoilt), stall_s=0.2)
        assert found == [(AttemptOutcome.CANCELLED, b"")]

    play(scene)


@pytest.mark.parametrize(
    ("parts", "connections"),
    [
        ((GOOD + GOOD,), 2),
        ((GOOD + b"\x00\xffnoise\r\n\r\n",), 2),
        ((b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + GOOD,), 1),
        ((b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",), 1),
        ((GOOD[:20], GOOD[20:50], GOOD[50:]), 1),
        ((b"HTTP/1.1 200 OK\r\nContent-Length: 4 \t \r\n\r\ngood",), 1),
        ((b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked \r\n\r\n4;x=1\r\ngood\r\n0\r\nX-T: 1\r\n\r\n",), 1),
    ],
)
def test_a_good_answer_is_served_whatever_follows_it(parts, connections):
    """Found: noise behind a good answer turned it into a reset. What follows answers nobody."""

    async def scene():
        async def script(talk: Conversation, call: Call) -> None:
            for part in parts:
                talk.writer.write(part)
                await talk.writer.drain()

        found, server = await outcomes(script, number=2)
        assert found == [(AttemptOutcome.OK, b"good")] * 2 and server.connections == connections

    play(scene)


def test_an_answer_larger_than_promised_is_served():
    """Found: real answers of 350 KB were taken for spoilt, a fifth of all."""

    async def scene():
        body = b"x" * 350_000
        found, _ = await outcomes(says(b"HTTP/1.1 200 OK\r\nContent-Length: 350000\r\n\r\n" + body))
        assert found == [(AttemptOutcome.OK, body)]

    play(scene)


def test_a_spoilt_answer_is_repeated_only_if_free():
    async def scene():
        noise = says(b"\xcf\xe7LaO\x99\xdbq\r\n\r\n")
        for cls, expected in (("single_shot", (502, 1)), ("free", (503, 2))):
            async with Server(noise) as bad, sidecar(line("s1", bad.port), line("s2", bad.port)) as world:
                status, _, _ = await (await world.client()).ask(cls)
                assert (status, len(bad.calls)) == expected

    play(scene)


@pytest.mark.parametrize(
    "text",
    [
        b'{"',
        b"%%%",
        b"[1]",
        b'{"inflight": -3, "queue": 0}',
        b'{"inflight": 1e999}',
        b'{"inflight": NaN}',
        b'{"inflight": 1, "queue": 1e30}',
        b"",
        b"{" * 5000,
    ],
)
def test_a_load_report_that_cannot_be_one_is_dropped_whole(text):
    """It would draw all calls to one server, or keep them away."""
    assert load(text) == {}
    assert load(b'{"inflight": 2, "queue": 0.5, "note": "x"}') == {"inflight": 2.0, "queue": 0.5}


def test_a_connection_lost_before_its_task_resumes_does_not_count_for_good(monkeypatch):
    """Found on reading: the count leaked until no room was left."""

    async def scene():
        loop = asyncio.get_running_loop()
        upstream = Upstream(loop, 10**9, 10**10, 10, 0.0, HttpBack(False))

        class Loop:
            async def create_connection(self, make, host, port):
                connection = make()
                connection.connection_lost(None)
                return None, connection

        monkeypatch.setattr(upstream, "loop", Loop())
        assert isinstance(await upstream.connect(Address("127.0.0.1", 1), HttpBack(False)), Connection)
        assert not upstream._open and not upstream._dialling

    play(scene)


@pytest.mark.parametrize(
    ("error", "how"),
    [
        (OSError(24, "too many open files"), AttemptOutcome.MOOT),
        (ConnectionRefusedError(), AttemptOutcome.CONNECT_FAILED),
        (ValueError("odd"), AttemptOutcome.CONNECT_FAILED),
    ],
)
def test_every_failed_connect_ends_its_attempt_and_own_want_blames_nobody(monkeypatch, capfd, error, how):
    """Found: EMFILE was told as a failed connect, and muted healthy servers one after the other."""

    async def scene():
        upstream = Upstream(asyncio.get_running_loop(), 10**9, 10**10, 10, 0.0, HttpBack(False))
        upstream.update("s1", Address("127.0.0.1", 1), 0, True)

        async def fails(address, back):
            raise error

        monkeypatch.setattr(upstream, "connect", fails)
        done = asyncio.get_running_loop().create_future()
        upstream.exchange("s1", lambda: b"", 5.0, lambda how, _: done.set_result(how)).start()
        assert await done is how

    play(scene)


def test_closing_with_unsent_bytes_to_a_silent_peer_comes_to_an_end():
    async def scene():
        listening = socket.create_server(("127.0.0.1", 0))
        lost = asyncio.Event()
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: Connection(lambda _: lost.set()), *listening.getsockname()
        )
        connection.send(b"x" * (64 << 20), lambda reply: None)
        connection.close()
        await lost.wait()
        listening.close()

    play(scene)


def test_probes_of_one_server_are_shared_by_the_calls_that_wait():
    """Found: a probe for each call and server; in a storm probes fed on themselves."""

    async def scene():
        go, probes = asyncio.Event(), []

        async def script(talk: Conversation, call: Call) -> None:
            if call.target == "/-/load":
                probes.append(call)
                await go.wait()
                await talk.answer(200, b'{"inflight": 0, "queue": 0}')
            else:
                await talk.answer(200, b"done")

        async with Server(script) as server:
            raw = settings(reporting={"how": "probe"}, limits={"mayProbe": True})
            async with sidecar(line("s1", server.port), raw=raw) as world:
                asks = [asyncio.ensure_future((await world.client()).ask()) for _ in range(8)]
                while len(world.sidecar.core._requests) < 8 or not probes:
                    await asyncio.sleep(0.005)
                assert len(probes) == 1
                go.set()
                assert [(await asking)[0] for asking in asks] == [200] * 8

    play(scene)


def test_the_pace_of_the_wire_is_no_work_of_the_servers():
    """Found: answers that came in slow pieces passed for servers that are crowded."""

    async def scene():
        async def script(talk: Conversation, call: Call) -> None:
            talk.writer.write(GOOD[:-2])
            await asyncio.sleep(0.4)
            talk.writer.write(GOOD[-2:])

        async with Server(script) as server, sidecar(line("s1", server.port)) as world:
            lags, plain = [], world.sidecar.core._module.handle

            def handle(now, event):
                lags.extend([event.latency_ns] if hasattr(event, "attempt") else [])
                return plain(now, event)

            world.sidecar.core._module.handle = handle
            assert (await (await world.client()).ask())[0] == 200
            assert len(lags) == 1 and lags[0] < 0.35e9

    play(scene)
