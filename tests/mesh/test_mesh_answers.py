"""The right answer to the right caller, once: the real client side against a hostile server.

A state machine drives `ServerQueue`, its connections and its HTTP parser over transports that are made here,
byte by byte, on a clock that is set here. The server answers late, twice, without a length, in pieces, to
somebody else, or not at all; it resets and closes at any byte; callers leave at any moment.
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
from mesh.proxy.server_queue import Job, ServerQueue
from mesh.settings import Address

ATTEMPT = re.compile(rb"x-attempt-id: (\S+)\r\n")
DEADLINE_S = 5.0
LONG_S = 60.0  # by then every call has ended
TURNS = 6  # of the loop, for what one step sets off


class Loop(asyncio.SelectorEventLoop):
    """A loop whose clock is set, and whose connections end at a server of this file."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.wires: list[Wire] = []

    def time(self) -> float:
        return self.now

    async def create_connection(self, factory: Any, *address: Any, **more: Any) -> Any:
        wire = Wire(self, factory())
        self.wires.append(wire)
        wire.protocol.connection_made(wire)
        return wire, wire.protocol

    def turn(self) -> None:
        """Run what is due now."""
        asyncio._set_running_loop(None)
        for _ in range(TURNS):
            self.call_soon(self.stop)
            self.run_forever()


class Wire(asyncio.Transport):
    """One connection: what was written by the client, and what the server has on its way to it."""

    def __init__(self, loop: Loop, protocol: Any) -> None:
        super().__init__()
        self.loop, self.protocol = loop, protocol
        self.near, self.far = socket.socketpair()
        for end in (self.near, self.far):
            end.setblocking(False)
        self.written = b""
        self.seen: list[bytes] = []  # ids of requests, in order
        self.answered = 0  # of them
        self.open = True
        self.narrow = False  # the next request is not taken whole
        self.pending = False  # some of a request has not been taken: its rest would come next
        self.endless = False  # an answer without a length has begun: whatever follows is part of it

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.near if name == "socket" else default

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """What is not taken at once shows."""

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return not self.open

    def write(self, data: Any) -> None:
        assert self.open
        assert not self.pending, "a request goes where the rest of another one is due"
        self.written += data
        self.seen += ATTEMPT.findall(bytes(data))
        if self.narrow:
            self.pending = True
            self.protocol.pause_writing()

    def take_rest(self) -> None:
        """The server reads on."""
        self.narrow = False
        if self.open and self.pending:
            self.pending = False
            self.loop.call_soon(self.protocol.resume_writing)

    def pause_reading(self) -> None:
        """Nothing is read without being asked for."""

    def resume_reading(self) -> None:
        """The same."""

    def close(self) -> None:
        self.end(None)

    def abort(self) -> None:
        self.end(None)

    def end(self, error: Exception | None) -> None:
        if self.open:
            self.open = False
            self.near.close()
            self.far.close()
            self.loop.call_soon(self.protocol.connection_lost, error)

    def give(self, data: bytes) -> None:
        """The server sends; it is not there yet."""
        if self.open and not self.endless:
            self.endless = b"x-server-seal" in data and b"length" not in data and b"chunked" not in data
            with contextlib.suppress(BlockingIOError):
                self.far.send(data)

    def deliver(self, size: int) -> None:
        """So many bytes of it arrive."""
        if self.open:
            with contextlib.suppress(BlockingIOError):
                self.loop.call_soon(self.protocol.data_received, self.near.recv(size))


def body_of(attempt: bytes) -> bytes:
    return b"for " + attempt


def answer(attempt: bytes, shape: str) -> bytes:
    """An answer of the server to a request with this id."""
    body = body_of(attempt)
    head = b"x-attempt-id: %s\r\nx-server-seal: s\r\n" % attempt
    if shape == "chunked":
        return (
            b"HTTP/1.1 200 OK\r\n" + head + b"transfer-encoding: chunked\r\n\r\n"
            b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        )
    if shape == "endless":
        return b"HTTP/1.1 200 OK\r\n" + head + b"\r\n" + body
    if shape == "not run":
        return b"HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n" + head + b"\r\n"
    return b"HTTP/1.1 200 OK\r\n" + head + b"content-length: %d\r\n\r\n%s" % (len(body), body)


SHAPES = ("plain", "chunked", "endless", "not run")


class Hostile(RuleBasedStateMachine):
    """Callers, a client side and a server."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = Loop()
        self.queue = ServerQueue(self.loop, Address("127.0.0.1", 9), 64)
        self.queue.update_server("i-1", 9, 0.0, True)
        self.jobs: dict[bytes, Job] = {}
        self.ends: dict[bytes, list[tuple[ErrorKind | None, bool, Reply | None]]] = {}
        self.left: set[bytes] = set()  # callers that left before anything was sent

    def teardown(self) -> None:
        self._step(LONG_S)
        self._step(LONG_S)
        for attempt, ends in self.ends.items():
            assert len(ends) == 1, f"{attempt!r} ended {len(ends)} times"
        for wire in self.loop.wires:
            wire.end(None)
        self.loop.turn()
        self.loop.close()

    def _step(self, seconds: float = 0.0) -> None:
        self.loop.now += seconds
        self.loop.turn()

    def _wire(self, number: int) -> Wire | None:
        wires = [wire for wire in self.loop.wires if wire.open]
        return wires[number % len(wires)] if wires else None

    def _sent(self) -> list[bytes]:
        return [attempt for wire in self.loop.wires for attempt in wire.seen]

    @rule(repeatable=st.booleans())
    def call(self, repeatable: bool) -> None:
        attempt = b"t%d" % len(self.jobs)
        ends = self.ends[attempt] = []
        now = self.loop.now

        def make(left_s: float, instance: str) -> bytes:
            return b"GET / HTTP/1.1\r\nhost: h\r\nx-attempt-id: %s\r\n\r\n" % attempt

        job = Job(make, attempt, now + DEADLINE_S, now + 1.0, now + 2.0, lambda *told: ends.append(told), "k")
        job.repeatable = repeatable
        self.jobs[attempt] = job
        self.loop.call_soon(self.queue.submit, job)
        self._step()

    @rule(number=st.integers(0, 9), shape=st.sampled_from(SHAPES))
    def answer(self, number: int, shape: str) -> None:
        """The server answers the oldest request of a connection that it has not answered."""
        wire = self._wire(number)
        if wire is not None and wire.answered < len(wire.seen):
            wire.give(answer(wire.seen[wire.answered], shape))
            wire.answered += 1

    @rule(number=st.integers(0, 9), other=st.integers(0, 9), shape=st.sampled_from(SHAPES))
    def answer_of_another(self, number: int, other: int, shape: str) -> None:
        """It sends an answer to some earlier request, once more or on a connection that never carried it."""
        wire, sent = self._wire(number), self._sent()
        if wire is not None and sent:
            wire.give(answer(sent[other % len(sent)], shape))

    @rule(number=st.integers(0, 9), data=st.sampled_from([b"\r\n", b"x", b"HTTP/1.1 200 OK\r\n\r\n", b"\0"]))
    def noise(self, number: int, data: bytes) -> None:
        """It sends what is no answer, or none to anybody."""
        wire = self._wire(number)
        if wire is not None:
            wire.give(data)

    @rule(number=st.integers(0, 9), size=st.one_of(st.integers(1, 40), st.just(4096)))
    def deliver(self, number: int, size: int) -> None:
        wire = self._wire(number)
        if wire is not None:
            wire.deliver(size)
            self._step()

    @rule(number=st.integers(0, 9), how=st.sampled_from(["reset", "close"]))
    def broken(self, number: int, how: str) -> None:
        """The server resets or closes a connection; what is under way is lost with a reset."""
        wire = self._wire(number)
        if wire is None:
            return
        if how == "close":
            wire.deliver(4096)
            self.loop.call_soon(wire.protocol.eof_received)
            self._step()
        wire.end(ConnectionResetError() if how == "reset" else None)
        self._step()

    @rule(number=st.integers(0, 9), narrow=st.booleans())
    def narrow(self, number: int, narrow: bool) -> None:
        """A server takes the next request in part only, and may answer before it has read the rest; or it
        reads on."""
        wire = self._wire(number)
        if wire is not None and narrow:
            wire.narrow = True
        elif wire is not None:
            wire.take_rest()
            self._step()

    @precondition(lambda self: self.jobs)
    @rule(number=st.integers(0, 99))
    def leave(self, number: int) -> None:
        """A caller leaves."""
        attempt = b"t%d" % (number % len(self.jobs))
        if attempt not in self._sent() and not self.ends[attempt]:
            self.left.add(attempt)
        self.loop.call_soon(self.queue.withdraw, self.jobs[attempt])
        self._step()

    @rule(seconds=st.sampled_from([0.01, 0.3, 1.0, DEADLINE_S]))
    def time_goes_on(self, seconds: float) -> None:
        self._step(seconds)

    @invariant()
    def each_answer_is_its_callers(self) -> None:
        for attempt, ends in self.ends.items():
            assert len(ends) <= 1, f"{attempt!r} ended {ends}"
            for error, arrived, reply in ends:
                if error is None and reply is not None and reply.status == 200:
                    assert reply.body == body_of(attempt), f"{attempt!r} got {reply.body!r}"
                if not arrived:
                    assert attempt not in self._sent(), f"{attempt!r} was sent, and was told that it was not"

    @invariant()
    def nothing_is_sent_twice_or_after_its_caller_has_left(self) -> None:
        sent = self._sent()
        assert len(sent) == len(set(sent))
        assert not self.left & set(sent)


CHECKS = settings(
    max_examples=120, stateful_step_count=40, deadline=None, derandomize=True, database=None,
    suppress_health_check=list(HealthCheck),
)  # fmt: skip


def test_each_caller_gets_its_own_answer_or_none() -> None:
    run_state_machine_as_test(Hostile, settings=CHECKS)


def any_id(patch: pytest.MonkeyPatch) -> None:
    """An answer is not known by its id."""
    patch.setattr(Connection, "_foreign", lambda connection, name, value: False)


def any_id_at_the_end(patch: pytest.MonkeyPatch) -> None:
    """One that ends with its connection is not (as it was: found by this machine)."""

    def ended(connection: Connection) -> None:
        connection.reusable = False
        if connection._until_close and not connection._complete and connection._done is not None:
            connection._complete = True
            connection._answered()

    patch.setattr(Connection, "eof_received", ended)


def leaves_unheard(patch: pytest.MonkeyPatch) -> None:
    """The call of a caller that has left stays in the queue."""
    patch.setattr(ServerQueue, "withdraw", _gives_up_without_word)


@pytest.mark.parametrize("defence", [any_id, any_id_at_the_end, leaves_unheard])
def test_found_without(
    defence: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    defence(monkeypatch)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            Hostile, settings=settings(CHECKS, max_examples=1500, phases=[Phase.generate])
        )


def _gives_up_without_word(queue: ServerQueue, job: Job) -> None:
    """A caller that left is told its end, and its call stays in the queue."""
    if not job.finished:
        job.done(ErrorKind.REFUSED, False, None)
        job.done = lambda *told: None


def test_upstream_is_the_real_one() -> None:
    machine = Hostile()
    assert type(machine.queue.upstream) is Upstream
    machine.teardown()
