"""Bounds on when data that is read now was sent, on fake time, and the age of keyed requests."""

from __future__ import annotations

import asyncio
import json
import time
from types import SimpleNamespace

import pytest
from mesh_world import World

from hollyport.http.message import Message
from mesh import settings
from mesh.control import context
from mesh.errors import ErrorKind
from mesh.proxy.key_claims import MAX_CLAIM_AGE_S
from mesh.proxy.sidecar import Sidecar
from mesh.state import configuration
from mesh.state.idempotency import MAX_REQUEST_AGE_S
from mesh.transport.client_memory import ClientMemory
from mesh.transport.connection import IDLE_PING_INTERVAL_S, PeerConnection, pack
from mesh.transport.http_connection import HttpConnection
from mesh.transport.http_server import HttpServer
from mesh.transport.memory_account import MB
from mesh.transport.messages import Call, Forward, ForwardAnswer, Ping, Pong
from mesh.transport.peer_clock import TIMESTAMP_INTERVAL_S, PeerClock
from mesh.transport.read_clock import TICK_INTERVAL_S, PausedReads, ReadClock

KEY_WINDOW_S = 60.0
SETTINGS = """
node_name = "n1"
ip = "192.0.2.1"
port_range = [7000, 7001]
app_addr = "192.0.2.1:9000"
service = "berths"
"""


class FakeLoop:
    """An event loop whose timers run when the test says so."""

    def __init__(self):
        self.now, self.timers = 100.0, []

    def call_later(self, delay_s, callback):
        self.timers.append(callback)

    def tick(self, after_s=TICK_INTERVAL_S):
        """Lets time pass, and runs each timer once."""
        self.now += after_s
        due, self.timers = self.timers, []
        for callback in due:
            callback()


def started_clock():
    loop = FakeLoop()
    clock = ReadClock(loop, lambda: loop.now)
    clock.start()
    return loop, clock


# --- the clock of one process


def test_data_read_in_an_iteration_may_have_arrived_since_the_tick_before_the_last():
    loop, clock = started_clock()
    for _ in range(5):
        loop.tick()
    assert clock.received_after() == loop.now - TICK_INTERVAL_S
    loop.now += 3.0  # stands still, and reads before any timer runs
    assert clock.received_after() <= loop.now - 3.0
    loop.tick(0.0)  # the last poll before this tick may have been before the standstill
    assert clock.received_after() <= loop.now - 3.0
    loop.tick()
    assert clock.received_after() == loop.now - TICK_INTERVAL_S


def test_data_of_a_paused_source_may_have_arrived_since_the_pause_until_two_ticks_after_its_end():
    loop, clock = started_clock()
    loop.tick()
    reads = PausedReads(clock)
    reads.resume()
    for _ in range(3):
        loop.tick()
    reads.pause()
    paused_after = clock.received_after()
    for _ in range(40):
        loop.tick()
    assert reads.received_after() == paused_after
    reads.resume()
    loop.tick()
    assert reads.received_after() == paused_after
    loop.tick()
    assert reads.received_after() == clock.received_after() == loop.now - TICK_INTERVAL_S


def test_a_connection_may_have_waited_in_the_queue_of_its_listener():
    loop, clock = started_clock()
    server = HttpServer(lambda message: None, lambda message: None, clock, memory=client_memory(loop))
    server.on_backlog(False)
    for _ in range(3):
        loop.tick()
    server.on_backlog(True)  # no room for more connections
    waiting_since = loop.now
    for _ in range(20):
        loop.tick()
    server.on_backlog(False)
    assert server.paused_reads().received_after() <= waiting_since
    for _ in range(3):
        loop.tick()
    assert server.paused_reads().received_after() == clock.received_after()


class FakeTransport:
    """A transport that takes everything."""

    def __init__(self):
        self.pause_reading = self.resume_reading = self.abort = lambda: None
        self.write = lambda data: None
        self.get_extra_info = lambda name: None
        self.is_closing = lambda: False
        self.set_write_buffer_limits = lambda high: None
        self.get_write_buffer_size = lambda: 0


def client_memory(loop):
    return ClientMemory(loop, 100 * MB)


def test_requests_that_were_sent_ahead_may_be_as_old_as_the_pause_in_reading():
    loop, clock = started_clock()
    taken = []
    server = HttpServer(taken.append, lambda message: None, clock, memory=client_memory(loop))
    queues = SimpleNamespace(partial={}, kept={}, visitors={}, leaving={}, stopping=False, whole_s=9.0)
    for name in ("made", "lost", "served", "move"):
        setattr(queues, name, lambda *_: None)
    queues.crowded = lambda _: False
    timed = SimpleNamespace(time=lambda: loop.now, call_soon=lambda callback: callback())
    guest = HttpConnection(queues, timed, server)
    guest.connection_made(FakeTransport())
    for _ in range(4):
        loop.tick()
    sent_at = loop.now
    request = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4000\r\n\r\n" + bytes(4000)
    guest.data_received(request * 12)
    for number in range(12):
        for _ in range(4):
            loop.tick()
        assert taken[number].sent_after <= sent_at, f"request {number}"
        taken[number].answer(200)


# --- the clock of a peer


@pytest.mark.parametrize("offset_s", [-5000.0, 0.0, 77.0])
def test_the_estimate_of_a_peers_clock_is_never_late_and_as_early_as_the_fastest_timestamp_took(offset_s):
    clock = PeerClock()
    assert clock.earliest(100.0) is None
    for now, travelled_s in ((100.0, 3.0), (110.0, 0.002), (120.0, 0.5)):
        clock.on_timestamp(now, now - travelled_s + offset_s)
    peer_time = 130.0 + offset_s
    assert peer_time - 0.0021 < clock.earliest(130.0) < peer_time
    for now in (140.0, 150.0, 160.0):  # the fastest one is forgotten, as clocks drift
        clock.on_timestamp(now, now - 0.1 + offset_s)
    clock.on_timestamp(170.0, 170.0 - 0.1 + offset_s)
    assert 170.0 + offset_s - 0.11 < clock.earliest(170.0) < 170.0 + offset_s - 0.09


def test_a_busy_connection_asks_for_a_timestamp_now_and_then():
    world = World()
    now_at = []

    async def run():
        sent = []
        now_at.append(world.now)
        transport = FakeTransport()
        transport.write = sent.append
        peer = PeerConnection(lambda *_: None, lambda _: None, lambda _: None, IDLE_PING_INTERVAL_S)
        peer.connection_made(transport)
        peer.data_received(pack(Ping(1.0)))
        assert peer.earliest_peer_time() == 1.0
        for _ in range(int(TIMESTAMP_INTERVAL_S + 2 * IDLE_PING_INTERVAL_S)):
            await asyncio.sleep(1.0)
            peer.data_received(pack(Pong()))  # data, without a timestamp
        peer.abort()
        return sent

    with world:
        task = world.operator.run(run())
        assert world.run(200.0, task.done)
    pong, *pings = task.result()
    assert pong == pack(Pong(now_at[0])) and 1 <= len(pings) <= 2


# --- claims


@pytest.mark.parametrize(
    ("claimed_at_s", "age_s", "outcome"),
    [
        (KEY_WINDOW_S + 1.3, 3.0, "REPEAT"),
        (KEY_WINDOW_S + MAX_REQUEST_AGE_S - 2.0, MAX_CLAIM_AGE_S - 0.2, "REPEAT"),
        (KEY_WINDOW_S + MAX_REQUEST_AGE_S - 1.0, MAX_REQUEST_AGE_S, "REFUSED"),
        (KEY_WINDOW_S + MAX_REQUEST_AGE_S + 50.0, 60.0, "REFUSED"),
        (KEY_WINDOW_S + MAX_REQUEST_AGE_S + 1.0, 0.5, "RUN"),
    ],
)
def test_a_request_sent_within_the_window_never_runs_again_and_one_sent_after_it_runs(
    claimed_at_s, age_s, outcome
):
    # guards against keys that run twice, as controllers counted the window to the repeat's claim
    world = World()

    async def scenario():
        one, two = world.sidecars
        voters = [world.machines[name] for name in world.sidecars]
        while not all(machine.process and machine.process.role.voters.names for machine in voters):
            await asyncio.sleep(0.1)
        await asyncio.sleep(4.0)
        started_at = world.now
        first = world.claim(one, "k")
        await asyncio.sleep(0.5)
        assert first == ["RUN"]
        world.record(one, "k")
        await asyncio.sleep(started_at + claimed_at_s - world.now)
        if outcome == "RUN":
            world.keys["k"].ran.clear()  # an operation of its own
        second = world.claim(two, "k", age_s=age_s)
        await asyncio.sleep(2.0)
        assert second == [outcome]

    with world:
        world.start()
        task = world.operator.run(scenario())
        assert world.run(200.0, task.done)
        task.result()


# --- the two sidecars of a request


class Answers:
    """Records the answer to a request."""

    def __init__(self):
        self.status = 0

    def answer(self, message, status, body, headers):
        self.status = status


def keyed_sidecar():
    made = Sidecar(settings.read(SETTINGS).ok)
    rule = {
        "name": "r",
        "variant": "idempotent",
        "target": "200ms",
        "revision": "r1",
        "matcher": {"path_prefix": "/"},
        "effect": {"service": "berths", "timeout": "9s", "max_attempts": 2},
    }
    listed = {
        "listener_list": [{"hostname": "a", "rule_set": [rule]}],
        "cluster_list": [{"name": "berths", "revision": "r1"}],
    }
    made.control.apply_items(configuration.parse_change(json.dumps({"upserts": listed}).encode()).ok)
    return made


@pytest.mark.parametrize(("age_s", "accepted"), [(0.5, True), (MAX_CLAIM_AGE_S + 0.1, False)])
def test_a_keyed_request_that_may_be_too_old_is_refused_at_once(age_s, accepted):
    async def run():
        made = keyed_sidecar()
        submitted = []
        made.forwarder.submit = submitted.append
        answers = Answers()
        message = Message(answers)
        message.method, message.target = b"POST", b"/x"
        message.headers = [(b"host", b"a"), (b"x-operation-key", b"k"), (b"x-deadline-ms", b"9000")]
        message.sent_after = made.context.monotonic() - age_s
        made.ingress.serve(message)
        assert bool(submitted) == accepted and answers.status == (0 if accepted else 503)
        made.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("opened_s", "sent_s", "age_s", "expected_s"),
    [
        (900.0, 0.2, 0.5, 0.7),  # the caller knows this process's clock
        (900.0, 12.0, 0.5, 12.5),  # this process stood still, or the connection did
        (0.3, None, 0.5, 0.8),  # the connection is so young that the clock is not known yet
        (0.3, 12.0, 0.5, 0.8),
        (900.0, 0.2, None, 0.0),  # a sender of an older version tells nothing
    ],
)
def test_a_forwarded_request_has_the_age_that_it_may_have_had_at_its_sender_and_on_its_way(
    opened_s, sent_s, age_s, expected_s
):
    async def run():
        made = keyed_sidecar()
        made.server_queue.update_server("i-1", 5, 0.0, True)
        claims = []
        made.control.key_claims.claim = lambda *told: claims.append(told)
        now = made.context.monotonic()
        caller = SimpleNamespace(opened_after=now - opened_s, send=lambda message: None)
        sent_at = None if sent_s is None else now - sent_s
        call = Call(
            "berths", "c", b"POST", b"/x", [], b"", 9.0, 0.2, b"t", "k", "r", age_s=age_s, sent_at=sent_at
        )
        made.calls.on_forward(caller, Forward(1, call))
        ((*_, sent_after),) = claims
        assert now - sent_after == pytest.approx(expected_s, abs=0.1)
        made.close()

    asyncio.run(run())


def test_a_claim_of_an_old_request_asks_no_controller_and_is_counted():
    async def run():
        made = keyed_sidecar()
        made.server_queue.update_server("i-1", 5, 0.0, True)
        sent = []
        now = made.context.monotonic()
        caller = SimpleNamespace(opened_after=now - 99.0, send=sent.append)
        call = Call("berths", "c", b"POST", b"/x", [], b"", 9.0, 0.2, b"t", "k", "r", age_s=60.0, sent_at=now)
        made.calls.on_forward(caller, Forward(1, call))
        (answer,) = sent
        assert isinstance(answer, ForwardAnswer) and answer.error == ErrorKind.REFUSED
        assert made.control.key_claims.too_old == 1 and not made.control.key_claims.pending
        assert made.context.open_calls == 0
        made.close()

    asyncio.run(run())


def test_a_controller_that_stood_still_counts_the_time_though_its_loop_has_not_polled_since(monkeypatch):
    # guards against a grant that expires early, as it was made by the time of the poll before a standstill
    async def run():
        made = context.Context(settings.read(SETTINGS).ok, lambda: ())
        before = made.wall_time()
        now = time.monotonic()
        monkeypatch.setattr(context.time, "monotonic", lambda: now + 20.0)  # the loop's own time stays
        monkeypatch.setattr(made.loop, "time", lambda: now)
        assert made.wall_time() - before >= 20.0
        monkeypatch.undo()

    asyncio.run(run())
