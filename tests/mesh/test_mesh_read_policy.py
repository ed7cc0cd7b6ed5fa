"""Who is read from when clients fill the memory: limits, grants, stalled clients, and the way back to
nothing."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hollyport.bodies.blocks import BLOCK_BYTES, Blocks
from mesh.transport.memory_account import MB, MemoryAccount, client_capacity, decoded_json_bytes
from mesh.transport.read_policy import (
    MAX_GRANT_WAIT_S,
    MAX_PAUSE_S,
    MEDIUM_BODY_BYTES,
    MIN_BODY_RATE,
    NO_ROOM,
    REQUEST_TIMEOUT,
    STALL_TIMEOUT_S,
    ReadPolicy,
    ReadState,
)

CAPACITY = 40 * MB
LARGEST_BODY = 12 * MB
TICK_S = 0.05


class Client:
    """A client whose body is `size` bytes long, which it tells or not."""

    def __init__(self, policy: ReadPolicy, account: MemoryAccount, size: int, tells_size: bool) -> None:
        self._policy, self._account, self.size, self._tells_size = policy, account, size, tells_size
        self.charge = account.charge()
        self.state = ReadState(self)
        self.sent = 0
        self.taken = False  # whether its client takes its answers
        self.status = 0  # of a refusal
        self.dropped = False

    @property
    def is_reading(self) -> bool:
        return not self.status and self.sent < self.size

    @property
    def can_send(self) -> bool:
        return self.is_reading and self.state.paused_at is None

    def send(self, now: float, size: int) -> None:
        """Sends more; a whole request is answered at once."""
        size = min(size, self.size - self.sent)
        self.sent += size
        self.charge.resize(self.sent)
        state = self.state
        state.is_body, state.received = self.sent > BLOCK_BYTES, self.sent
        state.is_announced = self._tells_size
        state.remaining = (self.size if self._tells_size else LARGEST_BODY) - self.sent
        if self.sent == self.size:
            self._policy.on_request_ended(state)
            self.charge.release()
        else:
            self._policy.on_read(now, state)

    def keep_answer(self, now: float, size: int) -> None:
        """Has an answer that the client doesn't take."""
        self.charge.resize(self.charge.size + size)
        self._policy.on_unsent(now, self.state, size)

    def close(self) -> None:
        self._policy.on_closed(self.state)
        self.charge.release()

    def resume(self) -> None:
        pass

    def refuse(self, status: int) -> None:
        assert self.is_reading
        self.status = status
        self.charge.release()

    def unsent_bytes(self) -> int:
        return 0 if self.taken else self.state.unsent

    def drop(self) -> None:
        self.dropped = True
        self.charge.release()


class Clients:
    """Clients of one process."""

    def __init__(self) -> None:
        self.account = MemoryAccount(CAPACITY)
        self.policy = ReadPolicy(self.account, LARGEST_BODY)
        self.now = 0.0

    def client(self, size: int, sent: int = 0, tells_size: bool = True) -> Client:
        made = Client(self.policy, self.account, size, tells_size)
        while made.sent < sent and made.can_send:
            made.send(self.now, min(BLOCK_BYTES, sent - made.sent))
        return made

    def wait(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            self.policy.tick(self.now)

    def fill(self, count: int, sent: int, size: int = LARGEST_BODY, tells_size: bool = True) -> list[Client]:
        return [self.client(size, sent, tells_size) for _ in range(count)]


def test_a_single_body_of_the_greatest_size_is_never_paused():
    clients = Clients()
    body = clients.client(LARGEST_BODY, tells_size=False)
    while body.is_reading:
        body.send(clients.now, BLOCK_BYTES)
        assert body.state.paused_at is None and not body.status


def test_an_announced_body_that_can_never_be_held_is_refused_at_once():
    clients = Clients()
    body = clients.client(CAPACITY, BLOCK_BYTES)
    assert body.status == NO_ROOM and body.sent == BLOCK_BYTES


def test_medium_bodies_and_small_requests_go_on_while_large_ones_wait():
    clients = Clients()
    large = clients.fill(6, 5 * MB)
    assert any(body.state.paused_at is not None for body in large)
    for size in (100, 300_000, MEDIUM_BODY_BYTES):
        request = clients.client(size, size // 2, tells_size=False)
        assert request.can_send
        request.send(clients.now, size)
    assert clients.account.held <= CAPACITY


def test_the_body_that_needs_least_goes_on_first():
    clients = Clients()
    requests = clients.account.charge(33 * MB)  # whole ones
    bodies = [clients.client(size, 2 * MB) for size in (12 * MB, 3 * MB, 6 * MB)]
    assert not any(body.can_send for body in bodies)
    requests.resize(29 * MB)
    clients.wait(TICK_S)
    assert [body.can_send for body in bodies] == [False, True, False]


def test_bodies_that_stopped_are_refused_while_another_waits():
    clients = Clients()
    stopped = clients.fill(2, LARGEST_BODY - 1)
    waiting = clients.client(LARGEST_BODY, 2 * MB)
    assert not waiting.can_send
    clients.wait(STALL_TIMEOUT_S + TICK_S)
    assert {body.status for body in stopped} == {REQUEST_TIMEOUT} and waiting.can_send


def test_a_body_that_stopped_is_not_refused_while_none_waits():
    clients = Clients()
    (stopped,) = clients.fill(1, LARGEST_BODY - 1)
    clients.wait(60.0)
    assert stopped.can_send


def test_a_slow_body_is_kept_as_long_as_it_comes_at_the_least_rate():
    clients = Clients()
    requests = clients.account.charge(30 * MB)  # whole ones
    waiting = clients.client(LARGEST_BODY, 2 * MB)
    slow, slower = clients.fill(2, BLOCK_BYTES + 1)
    while not waiting.can_send and not waiting.status:
        for body, rate in ((slow, MIN_BODY_RATE), (slower, MIN_BODY_RATE / 2)):
            if body.can_send:
                body.send(clients.now, int(rate * TICK_S) + 1)
        clients.wait(TICK_S)
    assert clients.now >= MAX_PAUSE_S - TICK_S and slow.can_send and slower.status == REQUEST_TIMEOUT
    requests.release()


def test_one_that_waited_for_too_long_in_all_is_refused_as_not_run():
    clients = Clients()
    requests = clients.account.charge(30 * MB)  # whole ones
    waiting = clients.client(LARGEST_BODY, 2 * MB)
    clients.wait(MAX_PAUSE_S / 2)
    requests.resize(20 * MB)
    clients.wait(TICK_S)
    assert waiting.can_send
    requests.resize(30 * MB)
    waiting.send(clients.now, BLOCK_BYTES)
    clients.wait(MAX_PAUSE_S / 2 - 2 * TICK_S)
    assert not waiting.can_send and not waiting.status
    clients.wait(4 * TICK_S)
    assert waiting.status == NO_ROOM
    requests.release()


def test_where_no_large_body_can_finish_those_that_hold_most_make_room():
    clients = Clients()
    requests = clients.account.charge(20 * MB)  # whole ones
    bodies = clients.fill(10, MB, tells_size=False)
    for body in bodies:
        body.send(clients.now, BLOCK_BYTES)
    assert not any(body.can_send for body in bodies)
    clients.wait(MAX_GRANT_WAIT_S + 2 * TICK_S)
    assert any(body.can_send for body in bodies) and any(body.status == NO_ROOM for body in bodies)
    requests.release()


def test_bodies_that_wait_are_not_refused_where_that_makes_too_little_room():
    clients = Clients()
    requests = clients.account.charge(30 * MB)  # whole ones
    bodies = clients.fill(3, 2 * MB)
    clients.wait(MAX_GRANT_WAIT_S + 2 * TICK_S)
    assert not any(body.can_send or body.status for body in bodies)
    requests.release()


def test_small_requests_that_stand_still_make_room_and_the_newest_is_refused_if_none_does():
    clients = Clients()
    crowd = clients.fill(CAPACITY // 60_000, 60_000, 60_001)
    newest = clients.client(60_001, 60_000)
    assert newest.status == NO_ROOM  # the others have just sent something
    clients.now += 1.0
    later = clients.client(60_001, 60_000)
    assert later.can_send and crowd[0].status == REQUEST_TIMEOUT and crowd[-1].can_send


def test_clients_that_do_not_take_their_answers_are_dropped_for_room_unless_they_do():
    clients = Clients()
    unread, taking = clients.client(0), clients.client(0)
    unread.keep_answer(clients.now, 15 * MB)
    taking.keep_answer(clients.now, 15 * MB)
    taking.taken = True
    clients.now += 1.0
    third = clients.client(0)
    third.keep_answer(clients.now, 15 * MB)
    assert unread.dropped and not taking.dropped and not third.dropped


@pytest.mark.parametrize(
    ("memory_mb", "setting_mb", "capacity_mb"),
    [(200.0, 0.0, 120), (296.0, 0.0, 177), (128.0, 0.0, 72), (40.0, 0.0, 8), (200.0, 30.0, 30)],
)
def test_capacity(memory_mb, setting_mb, capacity_mb):
    assert client_capacity(memory_mb, setting_mb) // MB == capacity_mb


def test_decoded_json_costs_more_than_its_text():
    assert decoded_json_bytes([b"[" + b"[]," * 1000 + b"1]"]) > 1000 * 64 > 3002


@pytest.mark.parametrize("piece", [1, 4096, BLOCK_BYTES, BLOCK_BYTES + 1, 200_000])
def test_blocks_cost_about_their_size_and_keep_their_bytes(piece):
    data = bytes(range(256)) * 1000
    blocks = Blocks()
    for at in range(0, len(data), piece):
        blocks.append(data[at : at + piece])
    assert blocks.join() == b"".join(blocks) == data and len(blocks) == len(data)
    assert blocks.memory_bytes <= 1.05 * len(data)
    for start, end in ((0, 1), (65_530, 65_540), (60_000, 250_000), (255_999, 300_000)):
        assert blocks.cut(start, end) == data[start:end]


class ReadMachine(RuleBasedStateMachine):
    """Clients that come, send, stop, take no answers and leave in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.clients = Clients()
        self.open: list[Client] = []

    @rule(size=st.integers(1, LARGEST_BODY), sent=st.floats(0.01, 1.0), tells_size=st.booleans())
    def come(self, size: int, sent: float, tells_size: bool) -> None:
        self.open.append(self.clients.client(size, max(1, int(size * sent)), tells_size))

    @precondition(lambda self: any(client.can_send for client in self.open))
    @rule(choice=st.randoms(use_true_random=False), size=st.integers(1, 4 * MB))
    def send(self, choice, size: int) -> None:
        choice.choice([one for one in self.open if one.can_send]).send(self.clients.now, size)

    @precondition(lambda self: self.open)
    @rule(choice=st.randoms(use_true_random=False), size=st.integers(1, MB))
    def keep_answer(self, choice, size: int) -> None:
        client = choice.choice(self.open)
        if not client.is_reading and not client.dropped and not client.state.unsent:
            client.keep_answer(self.clients.now, size)

    @rule(seconds=st.floats(TICK_S, 6.0))
    def wait(self, seconds: float) -> None:
        self.clients.wait(seconds)

    @precondition(lambda self: self.open)
    @rule(choice=st.randoms(use_true_random=False))
    def leave(self, choice) -> None:
        client = choice.choice(self.open)
        self.open.remove(client)
        client.close()

    @invariant()
    def memory_is_bounded(self) -> None:
        account = self.clients.account
        assert account.held <= account.capacity
        assert account.held == sum(client.charge.size for client in self.open)

    @invariant()
    def grants_can_be_kept(self) -> None:
        policy = self.clients.policy
        assert policy._promised == sum(state.remaining for state in policy._granted)
        for state in policy._granted:
            assert state.paused_at is None and state.is_reading
        for state in policy._waiting:
            assert state.paused_at is not None and state not in policy._granted

    def teardown(self) -> None:
        """Clients that go on are served or refused in the end, and nothing is left."""
        clients = self.clients
        for _ in range(round(2 * MAX_PAUSE_S / TICK_S)):
            for client in self.open:
                if client.can_send:
                    client.send(clients.now, MB)
            clients.wait(TICK_S)
        assert not any(client.is_reading for client in self.open)
        for client in self.open:
            client.close()
        assert clients.account.held == 0 and not len(clients.policy) and not clients.policy.waiting


TestReadMachine = ReadMachine.TestCase
TestReadMachine.settings = settings(max_examples=100, stateful_step_count=40)
