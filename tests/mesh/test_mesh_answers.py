"""Each caller gets its own answer, once: the real client side against a hostile server.

A state machine drives `ServerQueue`, its connections and its HTTP parser over fake transports, byte by byte,
with a simulated clock. The server answers late, twice, without a length, in pieces, to another request, or
not at all. It resets and closes connections at any byte, and callers disconnect at any time.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from hollyport.http.back import Connection, Reply
from hollyport.nodes.upstream import Upstream
from mesh.errors import ErrorKind
from mesh.proxy.server_job import Job
from mesh.proxy.server_queue import ServerQueue
from mesh.settings import Address

ATTEMPT_ID = re.compile(rb"x-attempt-id: (\S+)\r\n")
DEADLINE_S = 5.0
ALL_ENDED_S = 60.0  # after which every call has ended
ITERATIONS = 6  # of the event loop that one step may need


class FakeLoop(asyncio.SelectorEventLoop):
    """An event loop with a simulated clock, whose connections lead to the fake server."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.connections: list[FakeConnection] = []

    def time(self) -> float:
        return self.now

    async def create_connection(self, factory: Any, *address: Any, **more: Any) -> Any:
        connection = FakeConnection(self, factory())
        self.connections.append(connection)
        connection.protocol.connection_made(connection)
        return connection, connection.protocol

    def run_ready(self) -> None:
        """Runs the callbacks that are ready."""
        asyncio._set_running_loop(None)
        for _ in range(ITERATIONS):
            self.call_soon(self.stop)
            self.run_forever()


class FakeConnection(asyncio.Transport):
    """One connection: data written by the client, and data in transit from the server."""

    def __init__(self, loop: FakeLoop, protocol: Any) -> None:
        super().__init__()
        self.loop, self.protocol = loop, protocol
        self.client_end, self.server_end = socket.socketpair()
        for end in (self.client_end, self.server_end):
            end.setblocking(False)
        self.written = b""
        self.attempt_ids: list[bytes] = []  # of requests, in order
        self.answered = 0  # number of requests answered
        self.open = True
        self.read_partially = False  # the server reads only part of the next request
        self.rest_unread = False  # the rest of a request has not been read yet
        self.until_close = False  # an answer without a length has begun, so all that follows is part of it

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.client_end if name == "socket" else default

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Ignored."""

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return not self.open

    def write(self, data: Any) -> None:
        assert self.open
        assert not self.rest_unread, "a request was written before the rest of another one"
        self.written += data
        self.attempt_ids += ATTEMPT_ID.findall(bytes(data))
        if self.read_partially:
            self.rest_unread = True
            self.protocol.pause_writing()

    def resume_server_reading(self) -> None:
        """The server reads the rest of the request."""
        self.read_partially = False
        if self.open and self.rest_unread:
            self.rest_unread = False
            self.loop.call_soon(self.protocol.resume_writing)

    def pause_reading(self) -> None:
        """Ignored: data arrives only by `deliver`."""

    def resume_reading(self) -> None:
        """Ignored."""

    def close(self) -> None:
        self.end(None)

    def abort(self) -> None:
        self.end(None)

    def end(self, error: Exception | None) -> None:
        if self.open:
            self.open = False
            self.client_end.close()
            self.server_end.close()
            self.loop.call_soon(self.protocol.connection_lost, error)

    def send_to_client(self, data: bytes) -> None:
        """The server sends data, which is in transit until `deliver`."""
        if self.open and not self.until_close:
            self.until_close = b"x-server-seal" in data and b"length" not in data and b"chunked" not in data
            with contextlib.suppress(BlockingIOError):
                self.server_end.send(data)

    def deliver(self, size: int) -> None:
        """Delivers up to `size` bytes to the client."""
        if self.open:
            with contextlib.suppress(BlockingIOError):
                self.loop.call_soon(self.protocol.data_received, self.client_end.recv(size))


def body_of(attempt: bytes) -> bytes:
    return b"for " + attempt


def answer(attempt: bytes, framing: str) -> bytes:
    """Returns an answer of the server to the request with this attempt id."""
    body = body_of(attempt)
    head = b"x-attempt-id: %s\r\nx-server-seal: s\r\n" % attempt
    if framing == "chunked":
        return (
            b"HTTP/1.1 200 OK\r\n" + head + b"transfer-encoding: chunked\r\n\r\n"
            b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        )
    if framing == "endless":
        return b"HTTP/1.1 200 OK\r\n" + head + b"\r\n" + body
    if framing == "not run":
        return b"HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n" + head + b"\r\n"
    return b"HTTP/1.1 200 OK\r\n" + head + b"content-length: %d\r\n\r\n%s" % (len(body), body)


FRAMINGS = ("plain", "chunked", "endless", "not run")


class HostileServerMachine(RuleBasedStateMachine):
    """Callers, the client side under test, and a hostile server."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = FakeLoop()
        self.queue = ServerQueue(self.loop, Address("127.0.0.1", 9), 64)
        self.queue.update_server("i-1", 9, 0.0, True)
        self.jobs: dict[bytes, Job] = {}
        self.results: dict[bytes, list[tuple[ErrorKind | None, bool, Reply | None]]] = {}
        self.left_before_sending: set[bytes] = set()  # callers that left before their request was sent

    def teardown(self) -> None:
        self._step(ALL_ENDED_S)
        self._step(ALL_ENDED_S)
        for attempt, results in self.results.items():
            assert len(results) == 1, f"{attempt!r} ended {len(results)} times"
        for connection in self.loop.connections:
            connection.end(None)
        self.loop.run_ready()
        self.loop.close()

    def _step(self, seconds: float = 0.0) -> None:
        self.loop.now += seconds
        self.loop.run_ready()

    def _connection(self, number: int) -> FakeConnection | None:
        connections = [connection for connection in self.loop.connections if connection.open]
        return connections[number % len(connections)] if connections else None

    def _sent(self) -> list[bytes]:
        return [attempt for connection in self.loop.connections for attempt in connection.attempt_ids]

    @rule(repeatable=st.booleans())
    def call(self, repeatable: bool) -> None:
        attempt = b"t%d" % len(self.jobs)
        results = self.results[attempt] = []
        now = self.loop.now

        def make(left_s: float, instance: str) -> bytes:
            return b"GET / HTTP/1.1\r\nhost: h\r\nx-attempt-id: %s\r\n\r\n" % attempt

        job = Job(
            make, attempt, now + DEADLINE_S, now + 1.0, now + 2.0, lambda *result: results.append(result), "k"
        )
        job.repeatable = repeatable
        self.jobs[attempt] = job
        self.loop.call_soon(self.queue.submit, job)
        self._step()

    @rule(number=st.integers(0, 9), framing=st.sampled_from(FRAMINGS))
    def answer(self, number: int, framing: str) -> None:
        """The server answers the oldest unanswered request of a connection."""
        connection = self._connection(number)
        if connection is not None and connection.answered < len(connection.attempt_ids):
            connection.send_to_client(answer(connection.attempt_ids[connection.answered], framing))
            connection.answered += 1

    @rule(number=st.integers(0, 9), other=st.integers(0, 9), framing=st.sampled_from(FRAMINGS))
    def answer_elsewhere(self, number: int, other: int, framing: str) -> None:
        """The server sends an answer to an earlier request again, or on another connection."""
        connection, sent = self._connection(number), self._sent()
        if connection is not None and sent:
            connection.send_to_client(answer(sent[other % len(sent)], framing))

    @rule(number=st.integers(0, 9), data=st.sampled_from([b"\r\n", b"x", b"HTTP/1.1 200 OK\r\n\r\n", b"\0"]))
    def send_garbage(self, number: int, data: bytes) -> None:
        """The server sends data that is not an answer to any request."""
        connection = self._connection(number)
        if connection is not None:
            connection.send_to_client(data)

    @rule(number=st.integers(0, 9), size=st.one_of(st.integers(1, 40), st.just(4096)))
    def deliver(self, number: int, size: int) -> None:
        connection = self._connection(number)
        if connection is not None:
            connection.deliver(size)
            self._step()

    @rule(number=st.integers(0, 9), kind=st.sampled_from(["reset", "close"]))
    def break_connection(self, number: int, kind: str) -> None:
        """The server resets or closes a connection; a reset loses the data in transit."""
        connection = self._connection(number)
        if connection is None:
            return
        if kind == "close":
            connection.deliver(4096)
            self.loop.call_soon(connection.protocol.eof_received)
            self._step()
        connection.end(ConnectionResetError() if kind == "reset" else None)
        self._step()

    @rule(number=st.integers(0, 9), read_partially=st.booleans())
    def read_partially(self, number: int, read_partially: bool) -> None:
        """The server reads only part of the next request, so that it may answer before the rest; or it reads
        on."""
        connection = self._connection(number)
        if connection is not None and read_partially:
            connection.read_partially = True
        elif connection is not None:
            connection.resume_server_reading()
            self._step()

    @precondition(lambda self: self.jobs)
    @rule(number=st.integers(0, 99))
    def withdraw_call(self, number: int) -> None:
        """A caller disconnects."""
        attempt = b"t%d" % (number % len(self.jobs))
        if attempt not in self._sent() and not self.results[attempt]:
            self.left_before_sending.add(attempt)
        self.loop.call_soon(self.queue.withdraw, self.jobs[attempt])
        self._step()

    @rule(seconds=st.sampled_from([0.01, 0.3, 1.0, DEADLINE_S]))
    def advance_time(self, seconds: float) -> None:
        self._step(seconds)

    @invariant()
    def each_answer_reaches_its_caller(self) -> None:
        for attempt, results in self.results.items():
            assert len(results) <= 1, f"{attempt!r} ended {results}"
            for error, arrived, reply in results:
                if error is None and reply is not None and reply.status == 200:
                    assert reply.body == body_of(attempt), f"{attempt!r} got {reply.body!r}"
                if not arrived:
                    assert attempt not in self._sent(), f"{attempt!r} was sent but reported as not sent"

    @invariant()
    def no_call_is_sent_twice_or_after_its_withdrawal(self) -> None:
        sent = self._sent()
        assert len(sent) == len(set(sent))
        assert not self.left_before_sending & set(sent)


SETTINGS = settings(
    max_examples=120, stateful_step_count=40, deadline=None, derandomize=True, database=None,
    suppress_health_check=list(HealthCheck),
)  # fmt: skip


def test_each_caller_gets_its_own_answer_or_none() -> None:
    run_state_machine_as_test(HostileServerMachine, settings=SETTINGS)


def ignore_attempt_ids(patch: pytest.MonkeyPatch) -> None:
    """Answers are accepted whatever their attempt id."""
    patch.setattr(Connection, "_foreign", lambda connection, name, value: False)


def ignore_attempt_ids_at_close(patch: pytest.MonkeyPatch) -> None:
    """Answers that end with their connection are accepted whatever their attempt id, a fault found by this
    test."""

    def ended(connection: Connection) -> None:
        connection.reusable = False
        if connection._until_close and not connection._complete and connection._done is not None:
            connection._complete = True
            connection._answered()

    patch.setattr(Connection, "eof_received", ended)


def ignore_withdrawals(patch: pytest.MonkeyPatch) -> None:
    """Withdrawn calls stay in the queue."""
    patch.setattr(ServerQueue, "withdraw", _withdraw_without_dequeueing)


@pytest.mark.parametrize("mutation", [ignore_attempt_ids, ignore_attempt_ids_at_close, ignore_withdrawals])
def test_mutations_are_detected(
    mutation: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    mutation(monkeypatch)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            HostileServerMachine, settings=settings(SETTINGS, max_examples=1500, phases=[Phase.generate])
        )


def _withdraw_without_dequeueing(queue: ServerQueue, job: Job) -> None:
    """Reports the result of a withdrawn call but leaves the call in the queue."""
    if not job.finished:
        job.on_done(ErrorKind.REFUSED, False, None)
        job.on_done = lambda *result: None


def test_the_real_upstream_is_used() -> None:
    machine = HostileServerMachine()
    assert type(machine.queue.upstream) is Upstream
    machine.teardown()
