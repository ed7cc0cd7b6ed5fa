"""Requests to a sharded service at the sidecar of their caller, and their calls at that of the server.

No sockets, no waits.
"""

from __future__ import annotations

import json

import cbor2
import pytest
from test_mesh_figures import samples
from test_mesh_offers import record_old_reports
from test_mesh_sidecar import ITEMS, FakeConnection
from test_mesh_sidecar import with_sidecar as with_harness

from mesh.errors import ErrorKind
from mesh.proxy.call_runner import KEY_WAIT_FRACTION
from mesh.proxy.retry_budget import RetryBudget
from mesh.proxy.shard_router import MAX_WAIT_FRACTION, WAIT_MARGIN_S
from mesh.state import configuration
from mesh.state.configuration import Item
from mesh.state.quorum import Voters
from mesh.state.shards import ALL_KEYS, Assignment, KeyRange, Owner, Revocation, ShardTable
from mesh.transport.messages import Call, ClaimAnswer, ClaimKey, Forward, FreeKey, Overdue, kind_of

FIRST, SECOND = Owner("n2", "i-2"), Owner("n3", "i-3")
TO_FIRST, TO_SECOND = Assignment(ALL_KEYS, FIRST), Assignment(ALL_KEYS, SECOND)


def with_sidecar(test):
    """Wraps a test so that the sidecar's clock stands still: no wait ends because the machine is busy."""

    def at_one_time(harness, *args):
        now = harness.sidecar.context.now()
        harness.sidecar.context.now = lambda: now
        test(harness, *args)

    at_one_time.__name__ = test.__name__
    return with_harness(at_one_time, version=2)


def apply(harness, table):
    harness.sidecar.control.apply_items([Item(table.item_name, table.version, table.encode())])
    return table


def shard_meals(harness, *assignments):
    """Makes `meals` a sharded service with these assignments; returns its table."""
    cluster = {**ITEMS["upserts"]["cluster_list"][1], "revision": "r2", "sharded": True}
    change = json.dumps({"upserts": {"cluster_list": [cluster]}}).encode()
    harness.sidecar.control.apply_items(configuration.parse_change(change).ok)
    return apply(harness, ShardTable("meals").change(assignments=assignments))


def send(harness, key=b"7", variant="pure", **options):
    return harness.send_request(variant, headers=[(b"x-shard-key", key)], **options)


def nodes(harness):
    return [node for node, _, _ in harness.forwards()]


def waiting(harness):
    return list(harness.sidecar.forwarder.router.waiting)


@with_sidecar
def test_a_request_without_a_key_in_range_is_malformed(harness):
    shard_meals(harness, TO_FIRST)
    statuses = [send(harness, text).status for text in (b"65536", b"-1", b"", b"1.5", b"9" * 9)]
    assert [*statuses, harness.send_request().status] == [400] * 6 and not nodes(harness)


@with_sidecar
def test_a_request_goes_to_the_owner_of_its_key_without_a_load_query(harness):
    shard_meals(harness, Assignment(KeyRange(0, 99), FIRST), Assignment(KeyRange(100, 65535), SECOND))
    record_old_reports(harness)  # two servers would be queried for their load
    for key in (b"0", b"99", b"100", b"65535"):
        send(harness, key)
    calls = [call for _, _, call in harness.forwards()]
    assert nodes(harness) == ["n2", "n2", "n3", "n3"]
    assert [(call[18], dict(call[4])[b"x-shard-key"]) for call in calls] == [
        (key, b"%d" % key) for key in (0, 99, 100, 65535)
    ]


@with_sidecar
def test_a_request_waits_for_the_next_assignment_of_its_key_and_goes_on_at_once(harness):
    table = shard_meals(harness, TO_FIRST)
    recorder = send(harness)
    table = apply(harness, table.change([Revocation(ALL_KEYS, SECOND)]))
    send(harness, b"8")
    assert nodes(harness) == ["n2", "n2"], "the owner of a revoked range may still hold it"
    for forward in harness.forwards():
        harness.respond(forward, ErrorKind.NOT_OWNER, False)
    table = apply(harness, table.change([Revocation(ALL_KEYS, Owner("n4", "i-4"))]))
    assert nodes(harness) == ["n2", "n2"] and len(waiting(harness)) == 2, "sent before it was assigned"
    apply(harness, table.change(assignments=[Assignment(KeyRange(0, 7), SECOND)]))
    assert nodes(harness) == ["n2", "n2", "n3"] and len(waiting(harness)) == 1
    harness.respond(harness.forwards()[-1])
    found = samples(harness.sidecar.metrics())
    assert recorder.status == 200 and found["mesh_shard_requests_resumed_total", ()] == 1.0


@with_sidecar
def test_a_request_waits_until_the_very_process_that_owns_its_key_is_connected(harness):
    directory = harness.sidecar.directory
    directory.on_disconnected("n2", harness.connections["n2"])
    table = shard_meals(harness, TO_FIRST, Assignment(KeyRange(9, 9), Owner("n3", "i-other")))
    send(harness)
    send(harness, b"9")
    assert not nodes(harness) and len(waiting(harness)) == 2
    directory.on_connected("n2", harness.connections["n2"])
    assert nodes(harness) == ["n2"] and len(waiting(harness)) == 1
    table = apply(harness, table.change(assignments=[TO_SECOND]))
    harness.respond(harness.forwards()[0], ErrorKind.NOT_OWNER, False)
    assert nodes(harness) == ["n2", "n3", "n3"], "the table in force had a new owner already"


@with_sidecar
def test_a_request_whose_key_nobody_owns_is_refused_at_once(harness):
    shard_meals(harness, Assignment(KeyRange(100, 65535), FIRST))
    recorder = send(harness)
    assert recorder.status == 503 and b"Retry-After" in recorder.headers and not nodes(harness)
    found = samples(harness.sidecar.metrics())
    assert found["mesh_requests_total", (("outcome", "not_owner"), ("route", "pure"))] == 1.0


@with_sidecar
def test_a_request_waits_for_a_quarter_of_its_target_and_its_time_for_offers_at_most(harness):
    shard_meals(harness, TO_FIRST)
    for deadline, limit_s in ((b"800", 0.2 * MAX_WAIT_FRACTION), (b"230", 0.23 * 0.2)):
        recorder = send(harness, deadline=deadline)
        harness.respond(harness.forwards()[-1], ErrorKind.NOT_OWNER, False)
        (request,) = waiting(harness)
        wait_s = request.wait_timer.when() - request.started_at
        assert wait_s == pytest.approx(limit_s - WAIT_MARGIN_S)
        harness.sidecar.forwarder.end_wait(request)
        assert recorder.status == 503 and b"Retry-After" in recorder.headers
    now = harness.sidecar.context.now()
    recorder = send(harness)
    harness.sidecar.context.now = lambda: now + 0.2 * MAX_WAIT_FRACTION
    harness.respond(harness.forwards()[-1], ErrorKind.NOT_OWNER, False)
    assert recorder.status == 503 and not waiting(harness)


@with_sidecar
def _failed_at_its_owner(harness, error, arrived, waits, status):
    table = shard_meals(harness, TO_FIRST)
    recorder = send(harness)
    harness.respond(harness.forwards()[0], error, arrived)
    assert len(waiting(harness)) == waits
    for request in waiting(harness):
        harness.sidecar.forwarder.end_wait(request)
    apply(harness, table.change(assignments=[TO_SECOND]))
    assert recorder.status == status and nodes(harness) == ["n2"]


@pytest.mark.parametrize(
    ("error", "waits", "status"),
    [
        ("FULL", False, 503),
        ("LEAVING", True, 503),
        ("NOT_OWNER", True, 503),
        ("BROKEN", True, 502),
        ("LATE", False, 504),
    ],
)
def test_a_request_that_its_owner_did_not_serve_goes_to_no_other_server(error, waits, status):
    _failed_at_its_owner(ErrorKind[error], status != 503, waits, status)


@with_sidecar
def _sent_twice(harness, prepare, arrived, second_sends):
    table = shard_meals(harness, TO_FIRST)
    recorder = send(harness)
    prepare(harness.sidecar.forwarder)
    for owner in (TO_SECOND, TO_FIRST):
        harness.respond(harness.forwards()[-1], ErrorKind.NOT_OWNER, arrived)
        table = apply(harness, table.change(assignments=[owner]))
    assert len(nodes(harness)) == 1 + second_sends and recorder.status == (503 if second_sends < 2 else 0)


def test_further_sends_are_bounded_by_the_retry_budget_and_the_arrivals_that_a_route_allows():
    _sent_twice(lambda forwarder: None, True, 1)
    _sent_twice(lambda forwarder: forwarder._budgets.update(meals=RetryBudget(0.0, 10.0, 0.0)), False, 0)


@with_sidecar
def test_an_overdue_request_is_sent_to_no_second_server(harness):
    shard_meals(harness, TO_FIRST)
    send(harness)
    ((node, number, _),) = harness.forwards()
    harness.sidecar.on_message(harness.connections[node], Overdue(number))
    assert nodes(harness) == ["n2"] and not waiting(harness)


@with_sidecar
def test_a_waiting_request_ends_with_its_client_its_deadline_or_its_sidecar(harness):
    shard_meals(harness, TO_FIRST)
    forwarder = harness.sidecar.forwarder
    for status, end in (
        (0, lambda request: forwarder.on_client_disconnected(request.message)),
        (503, lambda request: forwarder.on_deadline(request)),
        (503, lambda request: forwarder.fail_all()),
    ):
        recorder = send(harness)
        harness.respond(harness.forwards()[-1], ErrorKind.NOT_OWNER, False)
        (request,) = waiting(harness)
        end(request)
        assert recorder.status == status and request.wait_timer.cancelled() and not waiting(harness)
    assert harness.sidecar.context.open_requests == 0


@with_sidecar
def _gate(harness, operation, size, held_at_first):
    """Delivers a call whose key the server beside doesn't hold, or loses while its operation is claimed."""
    sidecar, caller, controller = harness.sidecar, FakeConnection("n2"), FakeConnection("b1")
    queue, control, held = sidecar.server_queue, sidecar.control, {7} if held_at_first else set()
    queue.update_server("i-1", 5, 0.0, True)
    queue.key_gate = held.__contains__
    control.connections["b1"], control.key_claims.voters = controller, Voters(1, ("b1",))
    call = ["berths", "c", b"POST", b"/x", [], b"", 5.0, 1.0, b"t", operation, "k"]
    sidecar.calls.on_forward(caller, Forward(9, Call(*call, size=size, shard_key=7)))
    held.clear()
    for number in list(control.key_claims.pending):
        sidecar.on_message(controller, ClaimAnswer(number, 1, "", 0))
    assert [row[1:4] for row in caller.sent] == [[9, ErrorKind.NOT_OWNER, False]]
    kinds = [cbor2.loads(packed[4:])[0] for packed in controller.sent]
    assert kinds == ([kind_of(ClaimKey), kind_of(FreeKey)] if held_at_first else [])
    assert sidecar.context.open_calls == 0 and not queue.in_flight
    assert samples(sidecar.metrics())["mesh_shard_calls_returned_total", ()] == 1.0


@pytest.mark.parametrize(
    ("operation", "size", "held_at_first"),
    [("", 0, False), ("o", 0, False), ("", 9000, False), ("o", 0, True)],
)
def test_a_call_for_a_key_not_held_is_given_back_unclaimed_and_unfetched(operation, size, held_at_first):
    _gate(operation, size, held_at_first)


@with_sidecar
def test_a_call_for_a_key_that_the_server_is_about_to_be_given_waits_beside_it(harness):
    queue, caller = harness.sidecar.server_queue, FakeConnection("n2")
    queue.update_server("i-1", 5, 0.0, True)
    queue.key_gate, queue.key_expected = (lambda key: False), (lambda key: key == 7)
    call = Call("berths", "c", b"POST", b"/x", [], b"", 5.0, 1.0, b"t", "", "k", shard_key=7)
    harness.sidecar.calls.on_forward(caller, Forward(9, call))
    (job,) = queue.awaiting_keys
    wait_s = job.key_wait_until - harness.sidecar.context.now()
    assert wait_s == pytest.approx(1.0 * KEY_WAIT_FRACTION, abs=0.02) and not caller.sent
