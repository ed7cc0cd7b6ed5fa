"""Rules of a sidecar (docs/rules.md) that other tests don't cover. No sockets, no waits."""

from __future__ import annotations

import asyncio
from functools import wraps
from pathlib import Path

import pytest
from test_mesh_api import BEAT, call
from test_mesh_sidecar import SETTINGS, FakeConnection, SidecarHarness

from hollyport.bodies.blocks import Blocks
from mesh import settings
from mesh.errors import ErrorKind
from mesh.proxy.body_receiver import CallBody
from mesh.proxy.call_runner import _request_builder
from mesh.proxy.sidecar import Sidecar
from mesh.transport.messages import Call, KnownServer

INSTANCE = "/-/instances/i-1"
ROOT = Path(__file__).parents[2]


def in_event_loop(test):
    """Runs a test in an event loop in which no timer comes due."""

    @wraps(test)
    def run(*args, **kwargs):
        async def run_in_loop():
            coroutine = test(*args, **kwargs)
            if coroutine is not None:
                await coroutine

        asyncio.run(run_in_loop())

    return run


@in_event_loop
@pytest.mark.parametrize(("deadline", "timeout_s"), [(b"800", 0.8), (b"60000", 0.9)])
def test_a_request_is_answered_by_the_timeout_of_its_route_or_the_deadline_of_its_client(deadline, timeout_s):
    harness = SidecarHarness()
    response = harness.send_request("effectful", deadline=deadline)
    ((offer),) = harness.sidecar.forwarder.attempts.values()
    timer = offer.request.timer
    assert timer.when() - offer.request.started_at <= timeout_s
    timer._run()
    assert response.status == 504 and harness.sidecar.context.open_requests == 0
    harness.sidecar.close()


@in_event_loop
async def test_readiness_fails_after_sigterm():
    harness = SidecarHarness()
    assert (await call(harness.sidecar.readiness, "get", "/-/readiness")).status == 200
    harness.sidecar.context.draining = True
    assert (await call(harness.sidecar.readiness, "get", "/-/readiness")).status == 503
    harness.sidecar.close()


async def isolated_sidecar():
    """Returns a sidecar without connections whose local server is ready, and the server's heartbeat."""
    made = Sidecar(settings.read(SETTINGS).ok)
    beat = {**BEAT, "service": "berths", "call_seq": 1}
    assert (await call(made.heartbeats.serve, "put", INSTANCE, beat)).status == 200
    assert made.server_queue.open
    return made, beat


@in_event_loop
async def test_draining_takes_effect_without_contact_to_controllers():
    made, beat = await isolated_sidecar()
    draining = {**beat, "state": "draining", "call_seq": 5}
    assert (await call(made.heartbeats.serve, "put", INSTANCE, draining)).status == 200
    assert not made.server_queue.open and not made.heartbeats.record().is_open
    late = {**beat, "call_seq": 4}  # sent earlier but received later
    assert (await call(made.heartbeats.serve, "put", INSTANCE, late)).status == 200
    assert not made.server_queue.open


@in_event_loop
async def test_a_deleted_instance_gets_no_calls_and_its_late_heartbeats_are_ignored():
    made, beat = await isolated_sidecar()
    assert (await call(made.heartbeats.serve, "delete", INSTANCE)).status == 200
    assert not made.server_queue.open and not made.server_queue.instance
    for number in (2, 99):
        assert (
            await call(made.heartbeats.serve, "put", INSTANCE, {**beat, "call_seq": number})
        ).status == 200
        assert not made.server_queue.instance
    made.heartbeats.on_known_server(KnownServer("berths", "i-1"))
    made.heartbeats.on_instance_found("i-1")  # an id from a health check is only a hint
    assert not made.server_queue.instance
    assert (await call(made.heartbeats.serve, "put", "/-/instances/i-2", beat)).status == 200
    assert made.server_queue.instance == "i-2", "a new instance is accepted"


@in_event_loop
async def test_a_delete_before_any_heartbeat_takes_effect():
    made = Sidecar(settings.read(SETTINGS).ok)
    assert (await call(made.heartbeats.serve, "delete", INSTANCE)).status == 200
    await call(made.heartbeats.serve, "put", INSTANCE, {**BEAT, "service": "berths", "call_seq": 7})
    assert not made.server_queue.instance


@in_event_loop
def test_a_request_reaches_no_more_servers_than_its_route_permits():
    harness = SidecarHarness()
    response = harness.send_request("pure")  # two attempts
    tried = set()
    for _ in range(2):
        offer = next(offer for offer in harness.forwards() if offer[1] not in tried)
        tried.add(offer[1])
        harness.respond(offer, ErrorKind.BROKEN, arrived=True)
    assert len(harness.forwards()) == 2 and response.status == 502
    harness.sidecar.close()


@in_event_loop
def test_a_retry_gets_only_the_remaining_time():
    harness = SidecarHarness()
    harness.send_request("pure")
    (first,) = harness.forwards()
    request = harness.sidecar.forwarder.attempts[first[1]].request
    request.deadline -= 0.5  # as if that much time had passed
    harness.respond(first, ErrorKind.BROKEN)
    second = next(offer for offer in harness.forwards() if offer[1] != first[1])
    assert second[2][6] <= first[2][6] - 0.5
    harness.sidecar.close()


def test_the_deadline_header_is_computed_when_the_request_is_written():
    build = _request_builder(
        Call("a", "b", b"GET", b"/x", [], b"", 9.0, 1.0, b"t", "", "r"), CallBody(Blocks())
    )
    assert b"X-Deadline-Ms: 250\r\n" in build(0.25, "i-1") and b"X-Deadline-Ms: 1\r\n" in build(-1.0, "i-1")
    assert b"X-Expect-Instance: i-1\r\n" in build(1.0, "i-1") and b"X-Caller-Service: b\r\n" in build(
        1.0, "i"
    )


@pytest.mark.parametrize("name", ["cpu_count", "sched_getaffinity", "process_cpu_count"])
def test_no_module_depends_on_the_number_of_cores(name):
    sources = [path for part in ("mesh", "dunefield") for path in (ROOT / part).rglob("*.py")]
    assert sources and not [path for path in sources if name in path.read_text()]


@in_event_loop
def test_without_a_configuration_requests_get_a_retriable_error():
    made = Sidecar(settings.read(SETTINGS).ok)
    harness = object.__new__(SidecarHarness)
    harness.sidecar, harness.connections = made, {}
    response = harness.send_request("pure")
    assert response.status == 503 and b"Retry-After" in response.headers
    made.close()


@in_event_loop
async def test_a_closing_record_is_sent_to_callers_directly_and_others_by_controllers():
    made, beat = await isolated_sidecar()
    caller, controller = FakeConnection("n2"), FakeConnection("c1")
    made._callers.add(caller)
    made.control.connections["c1"] = controller
    made.control.selector.controller = "c1"
    await call(made.heartbeats.serve, "put", INSTANCE, {**beat, "slots": 7, "call_seq": 2})
    assert not caller.sent and not controller.sent, "a change of slots alone is not published"
    await call(made.heartbeats.serve, "put", INSTANCE, {**beat, "state": "draining", "call_seq": 3})
    assert len(caller.sent) == len(controller.sent) == 1
    await call(made.heartbeats.serve, "put", "/-/instances/i-2", {**beat, "call_seq": 1})
    assert len(caller.sent) == 1 and len(controller.sent) == 2
    made.control.selector.controller = ""
    await call(made.heartbeats.serve, "put", "/-/instances/i-3", {**beat, "call_seq": 1})
    assert len(caller.sent) == 2, "without a controller, callers are informed directly"
    made.close()
