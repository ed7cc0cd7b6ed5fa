"""Connections of clients while the memory is full, and what operators see of it."""

from __future__ import annotations

import select
import socket

import pytest

from hollyport.guests.listener import Listener
from mesh.transport.client_memory import ClientMemory
from mesh.transport.http_connection import HttpConnection
from mesh.transport.http_server import HttpServer
from mesh.transport.memory_account import MB
from mesh.transport.metrics_server import render
from mesh.transport.read_policy import MAX_PAUSE_S

HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"10000\r\n" + b"b" * 65_536 + b"\r\n"


class FakeLoop:
    """A clock, and callbacks that run when the test says so."""

    def __init__(self) -> None:
        self.now = 100.0
        self.ready: list = []

    def time(self) -> float:
        return self.now

    def call_soon(self, work, *args) -> None:
        self.ready.append(lambda: work(*args))

    def call_later(self, delay_s, work, *args) -> None:
        pass

    def run_ready(self) -> None:
        while self.ready:
            self.ready.pop(0)()


class FakeTransport:
    """A transport over a real socket, on which data can lie unread."""

    def __init__(self) -> None:
        self.here, self.there = socket.socketpair()
        self.written = b""
        self.closed = self.paused = False
        self.unsent = 0

    def write(self, data: bytes) -> None:
        self.written += data

    def close(self) -> None:
        self.closed = True

    abort = close

    def is_closing(self) -> bool:
        return self.closed

    def write_eof(self) -> None:
        pass

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def set_write_buffer_limits(self, high: int) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def get_extra_info(self, name: str):
        return self.here


class Door:
    """One address with its connections."""

    def __init__(self, capacity: int) -> None:
        self.loop = FakeLoop()
        self.memory = ClientMemory(self.loop, capacity)
        self.taken: list = []
        self.server = HttpServer(self.taken.append, lambda message: None, memory=self.memory)
        self.server.listener = Listener(lambda listener: self.connection(), 2, 2)
        self.server.listener._loop = self.loop

    def connection(self) -> HttpConnection:
        made = HttpConnection(self.server.listener, self.loop, self.server)
        made.connection_made(FakeTransport())
        return made

    def paused(self) -> HttpConnection:
        """Returns a connection whose body waits for room, and has bytes that are not read yet."""
        made = self.connection()
        made.data_received(HEAD)
        while not made._transport.paused:
            made.data_received(CHUNK)
            assert not made._transport.written
        made._transport.there.send(b"more")
        assert select.select([made._transport.here], [], [], 1.0)[0]
        return made


@pytest.fixture
def door():
    return Door(4 * MB)


def test_a_paused_client_makes_room_for_a_new_connection(door):
    """Guards against clients that wait for memory and keep all connections of an address."""
    waiting = door.paused()
    door.loop.now += 1.5
    assert door.server.listener._make_room()
    assert waiting._transport.written.startswith(b"HTTP/1.1 408") and waiting._transport.closed


def test_a_paused_client_is_not_timed_out_for_the_pause(door):
    waiting = door.paused()
    for _ in range(int(MAX_PAUSE_S) - 1):
        door.loop.now += 1.0
        door.server.listener._sweep()
    assert not waiting._transport.written


def test_a_client_that_waited_too_long_is_told_when_to_come_back(door):
    waiting = door.paused()
    door.loop.now += MAX_PAUSE_S
    door.memory.policy.tick(door.loop.now)
    answer = waiting._transport.written
    assert answer.startswith(b"HTTP/1.1 503") and b"\r\nRetry-After: 1\r\n" in answer and not door.taken


def test_answers_that_are_not_taken_are_charged_until_they_are(door):
    connection = door.connection()
    before = door.memory.account.held
    connection._transport.unsent = 500_000
    connection.pause_writing()
    assert door.memory.account.held == before + 500_000
    connection._transport.unsent = 0
    connection.resume_writing()
    assert door.memory.account.held == before and not len(door.memory.policy)


def test_bytes_that_wait_for_their_turn_are_parsed_in_the_end(door):
    connection = door.connection()
    chunks = b"1\r\nx\r\n" * 2000 + b"0\r\n\r\n"
    connection.data_received(HEAD + chunks)
    assert not door.taken and connection._transport.paused
    door.loop.run_ready()
    assert [message.body for message in door.taken] == [b"x" * 2000] and not connection._transport.paused


def test_bytes_sent_ahead_beyond_the_memory_are_dropped_and_refused_after_the_answer():
    """Guards against what was read and not parsed of many clients, each while an answer is owed."""
    door = Door(100_000)
    connection = door.connection()
    request = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 50000\r\n\r\n" + b"b" * 50_000
    connection.data_received(request)
    connection.data_received(request * 4)
    assert door.memory.account.held <= 100_000 and len(door.taken) == 1
    door.taken[0].answer(200, b"served")
    door.loop.run_ready()
    answers = connection._transport.written
    assert answers.startswith(b"HTTP/1.1 200") and b"HTTP/1.1 503" in answers and len(door.taken) == 1


def test_a_request_is_charged_about_what_it_costs():
    door = Door(10 * MB)
    for size in (0, 1000, 50_000, 500_000):
        connection = door.connection()
        before = door.memory.account.held
        head = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % size
        for at in range(0, size + 1, 60_000):
            connection.data_received((head if not at else b"") + b"b" * min(60_000, size - at))
        assert size < door.memory.account.held - before < 1.15 * size + 12_000


def test_a_closed_connection_holds_nothing(door):
    for connection in (door.paused(), door.connection()):
        connection.connection_lost(None)
    assert door.memory.account.held == 0


def test_what_clients_hold_is_exported(door):
    door.paused()
    text = render(door.memory.metrics()).decode()
    figures = dict(line.rsplit(" ", 1) for line in text.splitlines() if not line.startswith("#"))
    assert float(figures["mesh_client_bytes"]) > MB and float(figures["mesh_client_bytes_limit"]) == 4 * MB
    assert float(figures["mesh_clients_paused"]) == 1
    assert float(figures['mesh_clients_stopped_total{reason="paused"}']) == 1


def test_a_change_that_would_not_fit_once_decoded_is_refused():
    """Guards against JSON whose values cost many times its length."""
    from mesh.transport.memory_account import MemoryAccount, decoded_json_bytes

    account = MemoryAccount(20 * MB)
    assert account.fits(decoded_json_bytes([b'{"a": "' + b"x" * 3 * MB + b'"}']))
    assert not account.fits(decoded_json_bytes([b"[" + b"[]," * (MB // 3) + b"[]]"]))
