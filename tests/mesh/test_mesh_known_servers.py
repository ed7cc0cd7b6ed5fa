"""What controllers remember of the servers beside sidecars, and what a sidecar makes of it."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from test_mesh_api import BEAT, call
from test_mesh_rules import in_event_loop
from test_mesh_sidecar import SETTINGS

from mesh import settings
from mesh.control.known_servers import MAX_SIDECARS, MIN_VERSION, KnownServers
from mesh.proxy.sidecar import Sidecar
from mesh.transport.messages import FIRST_RECORD_NUMBER, VERSION, KnownServer, SidecarRecord

SERVICE = "berths"


def record(instance, number=FIRST_RECORD_NUMBER + 1, node="n1", service=SERVICE, version=VERSION):
    return SidecarRecord(node, "192.0.2.1:7000", "east", service, instance, 5, True, 0.0, 1, number, version)


def known_servers():
    written = []
    return KnownServers(SimpleNamespace(write=written.append)), written


def test_the_last_server_of_a_sidecar_outlasts_its_next_start_and_that_of_the_controller():
    made, written = known_servers()
    for registered in (record("i-1"), record("i-1", 3), record("i-2", 4), record("", FIRST_RECORD_NUMBER)):
        made.learn(registered)
    assert made.get("n1") == KnownServer(SERVICE, "i-2") and len(written) == 2
    restarted, _ = known_servers()
    for row in written:
        restarted.load(row)
    assert restarted.get("n1") == made.get("n1") and restarted.records() == made.records()


def test_a_server_that_has_ended_is_forgotten():
    made, written = known_servers()
    made.learn(record("i-1"))
    made.learn(record("", 3))
    made.learn(record("", 4))
    assert made.get("n1") is None and len(written) == 2
    restarted, _ = known_servers()
    for row in written:
        restarted.load(row)
    assert restarted.get("n1") is None and not made.records()


def test_a_server_that_an_older_version_has_registered_is_not_remembered():
    # guards against an upgrade that keeps a server of another service, as older sidecars took any
    made, written = known_servers()
    made.learn(record("i-1", version=MIN_VERSION - 1))
    assert made.get("n1") is None and not written


def test_the_servers_of_many_sidecars_are_bounded():
    made, _ = known_servers()
    for number in range(MAX_SIDECARS + 5):
        made.learn(record("i-1", node=f"n{number}"))
    assert len(made) == MAX_SIDECARS and made.get("n4") is None and made.get("n5") is not None


@pytest.mark.parametrize("found_first", [True, False])
@pytest.mark.parametrize(
    ("known", "adopted"), [((SERVICE, "i-1"), True), ((SERVICE, "i-2"), False), (("meals", "i-1"), False)]
)
@in_event_loop
async def test_an_id_found_at_the_address_is_used_only_if_it_is_known_to_be_of_this_service(
    known, adopted, found_first
):
    made = Sidecar(settings.read(SETTINGS).ok)
    steps = [
        lambda: made.heartbeats.on_instance_found("i-1"),
        lambda: made.heartbeats.on_known_server(KnownServer(*known)),
    ]
    for step in steps if found_first else reversed(steps):
        step()
    assert made.server_queue.instance == ("i-1" if adopted else "") and made.server_queue.open == adopted
    made.close()


@in_event_loop
async def test_after_a_misdirected_answer_other_sidecars_hear_that_the_server_is_gone_until_the_next_beat():
    made = Sidecar(settings.read(SETTINGS).ok)
    beat = {**BEAT, "service": SERVICE, "call_seq": 1}
    assert (await call(made.heartbeats.serve, "put", "/-/instances/i-1", beat)).status == 200
    before = made.heartbeats.record()
    made.server_queue.on_server_gone()
    made.server_queue.on_replaced("i-2")
    after = made.heartbeats.record()
    assert after.order > before.order and not after.is_open and not after.instance
    assert made.heartbeats.unconfirmed == 1
    assert (await call(made.heartbeats.serve, "put", "/-/instances/i-2", beat)).status == 200
    assert made.heartbeats.record().instance == "i-2" and made.heartbeats.record().is_open
    made.close()


@pytest.mark.parametrize(("last_state", "returns"), [("ready", True), ("draining", False)])
@in_event_loop
async def test_a_server_that_a_late_heartbeat_of_its_predecessor_replaced_is_used_again(last_state, returns):
    # guards against a server that is shut out for good, as the predecessor's heartbeat came after its own
    made = Sidecar(settings.read(SETTINGS).ok)
    beat = {**BEAT, "service": SERVICE}
    newcomer, predecessor = "/-/instances/i-2", "/-/instances/i-1"
    await call(made.heartbeats.serve, "put", newcomer, {**beat, "call_seq": 1, "state": last_state})
    await call(made.heartbeats.serve, "put", predecessor, {**beat, "call_seq": 9})
    assert made.server_queue.instance == "i-1"
    made.server_queue.on_server_gone()
    made.server_queue.on_replaced("i-2")  # the newcomer has answered with 421
    assert made.server_queue.instance == ("i-2" if returns else "")
    await call(made.heartbeats.serve, "put", newcomer, {**beat, "call_seq": 2, "state": last_state})
    assert made.server_queue.open == returns
    made.close()
