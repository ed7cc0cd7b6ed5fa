"""A connection that is one of many asks seldom while nothing is waited for, and as others do while it is."""

from __future__ import annotations

import asyncio

import pytest
from mesh_world import World

from mesh.transport import connection
from mesh.transport.connection import ASK_S, DEAD_S, IDLE_PING_INTERVAL_S, PeerConnection, pack
from mesh.transport.messages import Pong


class Wire:
    """A transport that keeps what is written, with the time."""

    def __init__(self, loop):
        self.loop, self.written, self.aborted = loop, [], False

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        return self.aborted

    def write(self, data):
        self.written.append(self.loop.time())

    def abort(self):
        self.aborted = True


def watched(ask_s, story):
    """A connection on fake time; when it asked, and when it was given up."""
    world = World()
    found = {}

    async def play():
        loop = asyncio.get_running_loop()
        wire = Wire(loop)
        began = loop.time()

        def down(made):
            found["down"] = loop.time() - began

        made = PeerConnection(lambda *_: None, lambda _: None, down, ask_s)
        made.connection_made(wire)
        await story(made)
        found["asked"] = [round(at - began, 3) for at in wire.written]

    with world:
        task = world.operator.run(play())
        assert world.run(200.0, task.done)
        task.result()
    return found


def test_the_usual_one_asks_after_a_second_of_silence_and_is_given_up():
    found = watched(ASK_S, lambda made: asyncio.sleep(30.0))
    assert found["asked"][0] == ASK_S and DEAD_S <= found["down"] <= DEAD_S + ASK_S


def test_a_quiet_one_asks_seldom_and_is_given_up_all_the_same():
    found = watched(IDLE_PING_INTERVAL_S, lambda made: asyncio.sleep(60.0))
    assert (
        found["asked"][0] == IDLE_PING_INTERVAL_S
        and IDLE_PING_INTERVAL_S * 2 <= found["down"] <= IDLE_PING_INTERVAL_S * 4
    )


@pytest.mark.parametrize("idle_s", [0.5, 7.5, 20.0])
def test_while_an_answer_is_waited_for_it_is_watched_like_others(idle_s):
    async def story(made):
        for _ in range(int(idle_s * 2)):
            await asyncio.sleep(0.5)
            made.data_received(pack(Pong()))
        began = asyncio.get_running_loop().time()
        made.expect_answers(1)
        while made.open:
            await asyncio.sleep(0.1)
        assert asyncio.get_running_loop().time() < began + DEAD_S + 2 * ASK_S

    assert "down" in watched(IDLE_PING_INTERVAL_S, story)


def test_after_the_answer_it_is_quiet_again():
    async def story(made):
        for _ in range(20):
            made.expect_answers(1)
            await asyncio.sleep(0.02)
            made.data_received(pack(Pong()))
            made.expect_answers(-1)
        await asyncio.sleep(IDLE_PING_INTERVAL_S - 1.5)

    assert len(watched(IDLE_PING_INTERVAL_S, story)["asked"]) <= 1


def test_the_figures_leave_room_for_an_answer():
    assert ASK_S < DEAD_S < IDLE_PING_INTERVAL_S and connection.DIAL_S < DEAD_S
