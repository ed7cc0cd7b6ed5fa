"""The second address over loopback: honest calls beside callers that say nothing, stall or never read."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import socket

import pytest
from backend import Call, Conversation, Server, line, listing, play, settings

from dunefield import Settings
from hollyport.console import server as console
from hollyport.console.server import MOST, Console
from hollyport.settings.config import Address, Config
from hollyport.sidecar import Sidecar


async def call(port: int, path: str, method: str = "GET") -> tuple[int, dict]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: c\r\n\r\n".encode())
    got = await reader.read()  # the answer ends the connection
    writer.close()
    head, _, body = got.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body)


@contextlib.asynccontextmanager
async def standing(handlers=None):
    made = Console(asyncio.get_running_loop(), handlers or {b"/api/ready": lambda: (200, {"state": "ready"})})
    try:
        yield made, made.start(Address("127.0.0.1", 0))
    finally:
        made.close()


def silent(port: int, count: int, say: bytes = b"") -> list[socket.socket]:
    made = []
    for _ in range(count):
        sock = socket.create_connection(("127.0.0.1", port))
        sock.sendall(say)
        made.append(sock)
    return made


@pytest.mark.parametrize("half_closed", [False, True])
def test_an_answer_that_the_kernel_does_not_take_at_once_comes_whole(half_closed):
    async def scene():
        text = "x" * 8_000_000
        async with standing({b"/api/fleet": lambda: (200, {"page": text})}) as (made, port):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /api/fleet HTTP/1.1\r\nHost: c\r\n\r\n")
            if half_closed:
                writer.write_eof()
            async with asyncio.timeout(10):
                got = await reader.read()
            writer.close()
            assert json.loads(got.partition(b"\r\n\r\n")[2]) == {"page": text}
            for _ in range(200):
                await asyncio.sleep(0)
            assert made.callers <= 1

    play(scene)


@pytest.mark.parametrize("say", [b"", b"GET /api/re"], ids=["nothing", "half a call"])
def test_an_honest_call_is_answered_behind_a_thousand_that_stay(say):
    """A ring that waited for its callers would keep it out for as long as they stay."""

    async def scene():
        async with standing() as (made, port):
            crowd = await asyncio.to_thread(silent, port, 900, say)
            async with asyncio.timeout(5):
                assert (await call(port, "/api/ready"))[0] == 200
            assert made.callers <= MOST
            for sock in crowd:
                sock.close()

    play(scene)


def test_a_caller_that_is_put_out_gets_the_answer_to_what_it_has_sent():
    """Only the loop was late: its call had come whole."""

    async def scene():
        async with standing() as (made, port):
            made._loop.remove_reader(made._socket.fileno())  # the loop has other work
            held = await asyncio.to_thread(
                silent, port, 3 * MOST, b"GET /api/ready HTTP/1.1\r\nHost: c\r\n\r\n"
            )
            made._loop.add_reader(made._socket.fileno(), made._accept)
            loop = asyncio.get_running_loop()
            for sock in held:
                sock.setblocking(False)
                assert (await loop.sock_recv(sock, 100)).startswith(b"HTTP/1.1 200")
                sock.close()

    play(scene)


def test_half_a_call_is_told_so_in_the_end(monkeypatch):
    monkeypatch.setattr(console, "WAIT_S", 0.2)

    async def scene():
        async with standing() as (made, port):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /api/re")
            assert (await reader.read()).startswith(b"HTTP/1.1 408")
            writer.close()
            while made.callers:
                await asyncio.sleep(0.01)

    play(scene)


def test_callers_that_never_read_hold_nothing_for_long(monkeypatch):
    monkeypatch.setattr(console, "LINGER_S", 0.2)

    async def scene():
        async with standing() as (made, port):
            held = await asyncio.to_thread(silent, port, 5, b"GET /api/ready HTTP/1.1\r\nHost: c\r\n\r\n")
            while not made.callers:
                await asyncio.sleep(0.01)
            while made.callers:
                await asyncio.sleep(0.01)
            for sock in held:
                sock.close()

    play(scene)


def test_a_handler_that_fails_costs_its_call_and_no_other():
    def broken():
        raise RuntimeError("seeded")

    async def scene():
        handlers = {b"/api/ready": broken, b"/api/telemetry": lambda: (200, {})}
        async with standing(handlers) as (_, port):
            assert (await call(port, "/api/ready"))[0] == 500
            assert (await call(port, "/api/telemetry"))[0] == 200

    play(scene)


@contextlib.asynccontextmanager
async def staffed(*lines):
    """A sidecar with a second address."""
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
    port = await made.start()
    yield made, port, made.console_port


def test_figures_add_up_and_name_every_class():
    from backend import Client

    async def scene():
        come = asyncio.Event()

        async def script(talk: Conversation, asked: Call) -> None:
            if asked.target.startswith("/guarded"):
                come.set()
                await asyncio.sleep(60)
            elif asked.target.startswith("/single_shot"):
                await talk.answer(500)
            else:
                await talk.answer(200, b"done")

        async with Server(script) as server, staffed(line("s1", server.port)) as (_, port, at):
            clients = [Client(*await asyncio.open_connection("127.0.0.1", port)) for _ in range(3)]
            for _ in range(3):
                assert (await clients[0].ask())[0] == 200
            assert (await clients[1].ask("single_shot"))[0] == 502
            waiting = asyncio.ensure_future(clients[2].ask("guarded", Idempotency_Key="k"))
            await come.wait()
            status, told = await call(at, "/api/telemetry")
            assert status == 200
            assert told["passed"] == {"free": 3, "single_shot": 0, "guarded": 0}
            assert told["bad_gateway"] == {"free": 0, "single_shot": 1, "guarded": 0}
            assert told["dropped"] == {"free": 0, "single_shot": 0, "guarded": 0}
            assert told["in_progress"] == 1 and told["upstream_tries"] == 5
            assert told["known_servers"] == 1 and told["skipped_servers"] in (0, 1)
            waiting.cancel()
            clients[2].writer.close()
            while (await call(at, "/api/telemetry"))[1]["in_progress"]:
                pass  # the client has left: in progress no more, and in none of the ends that are told
            assert (await call(at, "/api/telemetry"))[1]["passed"] == told["passed"]

    play(scene)


def test_a_server_that_drains_is_skipped_and_one_that_is_gone_is_not_known():
    async def scene():
        lines = line("s1", 1), line("s2", 2, status="DRAINING"), line("s3", 3, status="DELETED")
        async with staffed(*lines) as (_, _, at):
            told = (await call(at, "/api/telemetry"))[1]
            assert (told["known_servers"], told["skipped_servers"]) == (2, 1)

    play(scene)


WANTING = ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"]


class Wanting:
    """Stands before a socket or loop: `name` fails the first `times` times for want of something."""

    def __init__(self, plain, name, error, times=1):
        self._plain, self._name, self._error, self.left = plain, name, error, times

    def __getattr__(self, name):
        plain = getattr(self._plain, name)
        if name != self._name or not self.left:
            return plain

        def failing(*args, **more):
            if self.left:
                self.left -= 1
                raise OSError(getattr(errno, self._error), self._error)
            return plain(*args, **more)

        return failing


async def served_after_one_that_was_not(made: Console, port: int, say: bytes, later: bytes = b"") -> None:
    """The first caller gets an end, with an answer or without; the next is answered, and nothing is held."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(say)
    if later:
        while not made.callers:  # it is let in before it says anything
            await asyncio.sleep(0.01)
        writer.write(later)
    async with asyncio.timeout(2.5):  # less than a caller that says nothing is held
        with contextlib.suppress(ConnectionError):
            await reader.read()
        writer.close()
        assert (await call(port, "/api/ready"))[0] == 200
        while made.callers:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("error", [*WANTING, "ECONNABORTED"])
def test_an_accept_that_fails_costs_a_pause_and_no_later_call(error):
    """Want of descriptors keeps the queue readable: the loop must neither spin nor give the console up."""

    async def scene():
        async with standing() as (made, port):
            made._socket = failing = Wanting(made._socket, "accept", error, 3)
            assert (await call(port, "/api/ready"))[0] == 200
            assert not failing.left

    play(scene)


@pytest.mark.parametrize("error", WANTING)
@pytest.mark.parametrize(
    ("name", "later"),
    [
        ("setblocking", False),
        ("recv", False),
        ("send", False),
        ("shutdown", False),
        ("recv", True),
        ("send", True),
        ("shutdown", True),  # found on the loop's own call, with nobody above
    ],
)
def test_a_callers_call_that_fails_costs_that_caller_alone(name, later, error, monkeypatch):
    monkeypatch.setattr(console, "WAIT_S", 60.0)  # the sweep, which ends everybody in time, is no help here
    monkeypatch.setattr(console, "LINGER_S", 60.0)

    async def scene():
        async with standing() as (made, port):
            plain, first = made._socket, [True]

            class Listening:
                def accept(self):
                    sock, peer = plain.accept()
                    if not (first and first.pop()):
                        return sock, peer
                    wanting = Wanting(sock, name, error, 0 if later else 10**6)
                    asyncio.get_running_loop().call_soon(lambda: setattr(wanting, "left", 10**6))
                    return wanting, peer

                def __getattr__(self, name):
                    return getattr(plain, name)

            made._socket = Listening()
            words = b"GET /api/ready HTTP/1.1\r\nHost: c\r\n\r\n"
            await served_after_one_that_was_not(made, port, *((b"", words) if later else (words,)))

    play(scene)


@pytest.mark.parametrize("error", WANTING)
def test_a_caller_that_cannot_be_watched_is_let_go(error):
    async def scene():
        async with standing() as (made, port):
            made._loop = failing = Wanting(made._loop, "add_reader", error)
            await served_after_one_that_was_not(made, port, b"")  # has said nothing yet
            assert not failing.left

    play(scene)


@pytest.mark.parametrize("error", WANTING)
def test_a_start_without_descriptors_is_an_error_and_leaves_nothing_open(error, monkeypatch):
    async def scene():
        before = len(os.listdir("/proc/self/fd"))
        monkeypatch.setattr(console, "socket", Wanting(socket, "create_server", error))
        made = Console(asyncio.get_running_loop(), {})
        with pytest.raises(OSError, match=error):
            made.start(Address("127.0.0.1", 0))
        made.close()
        assert len(os.listdir("/proc/self/fd")) == before and not made.callers

    play(scene)
