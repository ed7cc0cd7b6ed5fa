"""Keepalive of peer connections: idle ones ping rarely unless an answer is expected."""

from __future__ import annotations

import asyncio

import pytest
from mesh_world import World

from mesh.transport import connection
from mesh.transport.connection import (
    IDLE_PING_INTERVAL_S,
    PEER_TIMEOUT_S,
    PING_INTERVAL_S,
    PeerConnection,
    pack,
)
from mesh.transport.messages import Pong


class FakeTransport:
    """A transport that records the times of writes."""

    def __init__(self, loop):
        self.loop, self.written_at, self.aborted = loop, [], False

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        return self.aborted

    def write(self, data):
        self.written_at.append(self.loop.time())

    def abort(self):
        self.aborted = True


def observe(ping_interval_s, scenario):
    """Runs a scenario with a simulated clock; returns the times of the pings and of the disconnect."""
    world = World()
    observed = {}

    async def run():
        loop = asyncio.get_running_loop()
        transport = FakeTransport(loop)
        started_at = loop.time()

        def on_disconnect(peer):
            observed["disconnected_at"] = loop.time() - started_at

        peer = PeerConnection(lambda *_: None, lambda _: None, on_disconnect, ping_interval_s)
        peer.connection_made(transport)
        await scenario(peer)
        observed["pinged_at"] = [round(at - started_at, 3) for at in transport.written_at]

    with world:
        task = world.operator.run(run())
        assert world.run(200.0, task.done)
        task.result()
    return observed


def test_a_silent_peer_is_pinged_and_then_disconnected():
    observed = observe(PING_INTERVAL_S, lambda peer: asyncio.sleep(30.0))
    assert (
        observed["pinged_at"][0] == PING_INTERVAL_S
        and PEER_TIMEOUT_S <= observed["disconnected_at"] <= PEER_TIMEOUT_S + PING_INTERVAL_S
    )


def test_an_idle_connection_pings_rarely_and_still_detects_a_silent_peer():
    observed = observe(IDLE_PING_INTERVAL_S, lambda peer: asyncio.sleep(60.0))
    assert (
        observed["pinged_at"][0] == IDLE_PING_INTERVAL_S
        and IDLE_PING_INTERVAL_S * 2 <= observed["disconnected_at"] <= IDLE_PING_INTERVAL_S * 4
    )


@pytest.mark.parametrize("idle_s", [0.5, 7.5, 20.0])
def test_while_an_answer_is_expected_the_usual_ping_interval_applies(idle_s):
    async def scenario(peer):
        for _ in range(int(idle_s * 2)):
            await asyncio.sleep(0.5)
            peer.data_received(pack(Pong()))
        started_at = asyncio.get_running_loop().time()
        peer.expect_answers(1)
        while peer.open:
            await asyncio.sleep(0.1)
        assert asyncio.get_running_loop().time() < started_at + PEER_TIMEOUT_S + 2 * PING_INTERVAL_S

    assert "disconnected_at" in observe(IDLE_PING_INTERVAL_S, scenario)


def test_after_the_answer_pings_are_rare_again():
    async def scenario(peer):
        for _ in range(20):
            peer.expect_answers(1)
            await asyncio.sleep(0.02)
            peer.data_received(pack(Pong()))
            peer.expect_answers(-1)
        await asyncio.sleep(IDLE_PING_INTERVAL_S - 1.5)

    assert len(observe(IDLE_PING_INTERVAL_S, scenario)["pinged_at"]) <= 1


def test_the_timeouts_leave_time_for_an_answer():
    assert (
        PING_INTERVAL_S < PEER_TIMEOUT_S < IDLE_PING_INTERVAL_S
        and connection.CONNECT_TIMEOUT_S < PEER_TIMEOUT_S
    )
