"""Rules of a sidecar that no other test is about, line by line (docs/rules.md). No sockets, no waits."""

from __future__ import annotations

import asyncio
from functools import wraps
from pathlib import Path

import pytest
from test_mesh_api import BEAT, call
from test_mesh_sidecar import SETTINGS, Link, Scene

from mesh import settings
from mesh.errors import ErrorKind
from mesh.proxy.call_runner import _maker
from mesh.proxy.sidecar import Sidecar
from mesh.transport.messages import Call

INSTANCE = "/-/instances/i-1"
ROOT = Path(__file__).parents[2]


def looped(test):
    """Run a test in a loop: timers are made, none comes due."""

    @wraps(test)
    def run(*args, **kwargs):
        async def play():
            made = test(*args, **kwargs)
            if made is not None:
                await made

        asyncio.run(play())

    return run


@looped
@pytest.mark.parametrize(("deadline", "timeout_s"), [(b"800", 0.8), (b"60000", 0.9)])
def test_a_request_has_its_answer_by_the_route_s_time_out_or_the_client_s_deadline(deadline, timeout_s):
    scene = Scene()
    ear = scene.ask("effectful", deadline=deadline)
    ((offer),) = scene.sidecar.forwarder.offers.values()
    timer = offer.request.timer
    assert timer.when() - offer.request.started_at <= timeout_s
    timer._run()
    assert ear.status == 504 and scene.sidecar.context.open_requests == 0
    scene.sidecar.close()


@looped
async def test_readiness_is_refused_from_sigterm_on():
    scene = Scene()
    assert (await call(scene.sidecar.readiness, "get", "/-/readiness")).status == 200
    scene.sidecar.context.leaving = True
    assert (await call(scene.sidecar.readiness, "get", "/-/readiness")).status == 503
    scene.sidecar.close()


async def alone():
    """A sidecar that no controller and no other sidecar reaches, with a server beside it that is ready."""
    made = Sidecar(settings.read(SETTINGS).ok)
    beat = {**BEAT, "service": "berths", "call_seq": 1}
    assert (await call(made.beats.serve, "put", INSTANCE, beat)).status == 200
    assert made.server_queue.open
    return made, beat


@looped
async def test_draining_binds_also_where_the_sidecar_is_out_of_touch():
    made, beat = await alone()
    draining = {**beat, "state": "draining", "call_seq": 5}
    assert (await call(made.beats.serve, "put", INSTANCE, draining)).status == 200
    assert not made.server_queue.open and not made.beats.record().is_open
    late = {**beat, "call_seq": 4}  # sent before, and come after
    assert (await call(made.beats.serve, "put", INSTANCE, late)).status == 200
    assert not made.server_queue.open


@looped
async def test_a_server_that_deletes_itself_at_once_gets_nothing_and_its_late_beat_changes_nothing():
    made, beat = await alone()
    assert (await call(made.beats.serve, "delete", INSTANCE)).status == 200
    assert not made.server_queue.open and not made.server_queue.instance
    for number in (2, 99):
        assert (await call(made.beats.serve, "put", INSTANCE, {**beat, "call_seq": number})).status == 200
        assert not made.server_queue.instance
    made.beats.adopt_instance("i-1")  # what its health answer says is a hint
    assert not made.server_queue.instance
    assert (await call(made.beats.serve, "put", "/-/instances/i-2", beat)).status == 200
    assert made.server_queue.instance == "i-2", "the next life is another"


@looped
async def test_a_delete_that_comes_before_any_beat_holds():
    made = Sidecar(settings.read(SETTINGS).ok)
    assert (await call(made.beats.serve, "delete", INSTANCE)).status == 200
    await call(made.beats.serve, "put", INSTANCE, {**BEAT, "service": "berths", "call_seq": 7})
    assert not made.server_queue.instance


@looped
def test_no_more_servers_are_reached_than_a_route_allows():
    scene = Scene()
    ear = scene.ask("pure")  # two attempts
    seen = set()
    for _ in range(2):
        offer = next(offer for offer in scene.offers() if offer[1] not in seen)
        seen.add(offer[1])
        scene.end(offer, ErrorKind.BROKEN, arrived=True)
    assert len(scene.offers()) == 2 and ear.status == 502
    scene.sidecar.close()


@looped
def test_a_further_server_is_handed_no_more_time_than_is_left():
    scene = Scene()
    scene.ask("pure")
    (first,) = scene.offers()
    request = scene.sidecar.forwarder.offers[first[1]].request
    request.deadline -= 0.5  # so much time goes by
    scene.end(first, ErrorKind.BROKEN)
    second = next(offer for offer in scene.offers() if offer[1] != first[1])
    assert second[2][6] <= first[2][6] - 0.5
    scene.sidecar.close()


def test_a_server_is_told_what_is_left_as_its_call_is_written():
    made = _maker(Call("a", "b", b"GET", b"/x", [], b"", 9.0, 1.0, b"t", "", "r"))
    assert b"X-Deadline-Ms: 250\r\n" in made(0.25, "i-1") and b"X-Deadline-Ms: 1\r\n" in made(-1.0, "i-1")
    assert b"X-Expect-Instance: i-1\r\n" in made(1.0, "i-1") and b"X-Caller-Service: b\r\n" in made(1.0, "i")


@pytest.mark.parametrize("name", ["cpu_count", "sched_getaffinity", "process_cpu_count"])
def test_nothing_sizes_itself_by_the_cores_that_it_sees(name):
    sources = [path for part in ("mesh", "dunefield") for path in (ROOT / part).rglob("*.py")]
    assert sources and not [path for path in sources if name in path.read_text()]


@looped
def test_without_a_configuration_nothing_is_denied():
    made = Sidecar(settings.read(SETTINGS).ok)
    scene = object.__new__(Scene)
    scene.sidecar, scene.links = made, {}
    ear = scene.ask("pure")
    assert ear.status == 503 and b"Retry-After" in ear.headers
    made.close()


@looped
async def test_callers_hear_at_once_that_nothing_more_is_to_be_had_and_the_rest_from_controllers():
    made, beat = await alone()
    caller, controller = Link("n2"), Link("c1")
    made._callers.add(caller)
    made.control.links["c1"] = controller
    made.control.following.controller = "c1"
    await call(made.beats.serve, "put", INSTANCE, {**beat, "slots": 7, "call_seq": 2})
    assert not caller.said and not controller.said, "nobody picks by slots"
    await call(made.beats.serve, "put", INSTANCE, {**beat, "state": "draining", "call_seq": 3})
    assert len(caller.said) == len(controller.said) == 1
    await call(made.beats.serve, "put", "/-/instances/i-2", {**beat, "call_seq": 1})
    assert len(caller.said) == 1 and len(controller.said) == 2
    made.control.following.controller = ""
    await call(made.beats.serve, "put", "/-/instances/i-3", {**beat, "call_seq": 1})
    assert len(caller.said) == 2, "no controller tells it on"
    made.close()
