"""Responses from servers: malformed, with extra data, and with load reports."""

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

VALID_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"


def sends(*parts: bytes):
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
                lambda outcome, reply, done=done: done.set_result((outcome, reply)),
            ).start()
            outcome, reply = await done
            found.append((outcome, reply.body if reply is not None else b""))
    return found, server


@pytest.mark.parametrize(
    "malformed",
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
def test_a_malformed_response_is_detected_early_and_not_counted_as_a_reset(malformed):
    """It was waited for until the client's timeout, or reported as a reset, which halves a budget."""

    async def scene():
        found, _ = await outcomes(sends(malformed), stall_s=0.2)
        assert found == [(AttemptOutcome.CANCELLED, b"")]

    play(scene)


@pytest.mark.parametrize(
    ("parts", "connections"),
    [
        ((VALID_RESPONSE + VALID_RESPONSE,), 2),
        ((VALID_RESPONSE + b"\x00\xffnoise\r\n\r\n",), 2),
        (
            (
                b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
                + VALID_RESPONSE,
            ),
            1,
        ),
        ((b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",), 1),
        ((VALID_RESPONSE[:20], VALID_RESPONSE[20:50], VALID_RESPONSE[50:]), 1),
        ((b"HTTP/1.1 200 OK\r\nContent-Length: 4 \t \r\n\r\ngood",), 1),
        ((b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked \r\n\r\n4;x=1\r\ngood\r\n0\r\nX-T: 1\r\n\r\n",), 1),
    ],
)
def test_a_valid_response_is_served_whatever_follows_it(parts, connections):
    """Noise after a valid response turned it into a reset."""

    async def scene():
        async def script(talk: Conversation, call: Call) -> None:
            for part in parts:
                talk.writer.write(part)
                await talk.writer.drain()

        found, server = await outcomes(script, number=2)
        assert found == [(AttemptOutcome.OK, b"good")] * 2 and server.connections == connections

    play(scene)


def test_a_response_of_350_kb_is_served():
    """Real responses of 350 KB, a fifth of all, were rejected as malformed."""

    async def scene():
        body = b"x" * 350_000
        found, _ = await outcomes(sends(b"HTTP/1.1 200 OK\r\nContent-Length: 350000\r\n\r\n" + body))
        assert found == [(AttemptOutcome.OK, body)]

    play(scene)


def test_a_malformed_response_is_retried_only_if_the_class_allows():
    async def scene():
        noise = sends(b"\xcf\xe7LaO\x99\xdbq\r\n\r\n")
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
def test_an_invalid_load_report_is_dropped_entirely(text):
    """It would attract all calls to one server, or none."""
    assert load(text) == {}
    assert load(b'{"inflight": 2, "queue": 0.5, "note": "x"}') == {"inflight": 2.0, "queue": 0.5}


def test_a_connection_lost_before_its_task_resumes_is_not_counted_as_open(monkeypatch):
    """The count of open connections leaked until no more were allowed."""

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
    ("error", "outcome"),
    [
        (OSError(24, "too many open files"), AttemptOutcome.MOOT),
        (ConnectionRefusedError(), AttemptOutcome.CONNECT_FAILED),
        (ValueError("odd"), AttemptOutcome.CONNECT_FAILED),
    ],
)
def test_failed_connects_end_the_attempt_and_own_limits_blame_no_server(monkeypatch, capfd, error, outcome):
    """EMFILE was reported as a failed connect, and ejected healthy servers one after the other."""

    async def scene():
        upstream = Upstream(asyncio.get_running_loop(), 10**9, 10**10, 10, 0.0, HttpBack(False))
        upstream.update("s1", Address("127.0.0.1", 1), 0, True)

        async def fails(address, back):
            raise error

        monkeypatch.setattr(upstream, "connect", fails)
        done = asyncio.get_running_loop().create_future()
        upstream.exchange("s1", lambda: b"", 5.0, lambda outcome, _: done.set_result(outcome)).start()
        assert await done is outcome

    play(scene)


def test_closing_with_unsent_bytes_to_a_silent_peer_completes():
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


def test_waiting_calls_share_the_probe_of_a_server():
    """Each call sent its own probe to each server, so in a retry storm probes caused more load."""

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


def test_slow_transfer_does_not_count_as_server_latency():
    """Responses that arrived in slow pieces made servers look overloaded."""

    async def scene():
        async def script(talk: Conversation, call: Call) -> None:
            talk.writer.write(VALID_RESPONSE[:-2])
            await asyncio.sleep(0.4)
            talk.writer.write(VALID_RESPONSE[-2:])

        async with Server(script) as server, sidecar(line("s1", server.port)) as world:
            latencies, original = [], world.sidecar.core._module.handle

            def handle(now, event):
                latencies.extend([event.latency_ns] if hasattr(event, "attempt") else [])
                return original(now, event)

            world.sidecar.core._module.handle = handle
            assert (await (await world.client()).ask())[0] == 200
            assert len(latencies) == 1 and latencies[0] < 0.35e9

    play(scene)
