"""Load probes before a request is sent, and bodies that are sent in chunks. No sockets, no waits."""

from __future__ import annotations

import random
from functools import partial

import pytest
from test_mesh_sidecar import FakeConnection, with_sidecar
from wire import message

from mesh.errors import ErrorKind
from mesh.proxy.chunked_transfer import MAX_CHUNK_BYTES
from mesh.transport import messages
from mesh.transport.messages import kind_of

SLOW_LINK = "[limit_set]\nlink_mbps = 1.0\n"  # 125 kB/s: bodies up to 2.5 kB are sent with their request
with_probing_sidecar = partial(with_sidecar, version=2, extra_settings=SLOW_LINK)


def record_old_reports(harness, service_times=(0.1, 0.1, 0.1)):
    """Records load reports of the three servers that are too old to be used."""
    for endpoint, service_time in zip(
        harness.sidecar.directory.endpoints.values(), service_times, strict=True
    ):
        endpoint.record_load(-9.0, "pure", 0.0, service_time)
        endpoint.record_load(-9.0, "effectful", 0.0, service_time)


def sent(harness, kind):
    """Returns the node and content of each message of this kind that was sent."""
    connections = harness.connections.items()
    return [(node, row) for node, connection in connections for row in connection.sent if row[0] == kind]


def report(harness, node, number, wait, service_time=0.1, open_=True, transfer=0.0, failure_rate=0.0):
    """Delivers a load report of the sidecar on a node."""
    harness.sidecar.on_message(
        harness.connections[node],
        message(kind_of(messages.LoadReport), number, open_, wait, service_time, transfer, failure_rate),
    )


def _start_probe(harness):
    """Sends a request that is probed for; returns its recorder, the query number and the queried nodes."""
    record_old_reports(harness)
    harness.sidecar.context.random = random.Random(
        3
    ).random  # with other seeds all six draws may hit the same server
    recorder = harness.send_request("pure")
    queries = sent(harness, kind_of(messages.LoadQuery))
    assert len(queries) == 2 and not sent(harness, kind_of(messages.Forward))
    return recorder, queries[0][1][1], [node for node, _ in queries]


@with_probing_sidecar
def _faster_server(harness):
    recorder, number, (one, other) = _start_probe(harness)
    report(harness, one, number, 0.3)
    report(harness, other, number, 0.0, service_time=0.2)
    ((node, forward),) = sent(harness, kind_of(messages.Forward))
    assert node == other and harness.connections[other].awaited == 1
    harness.respond((node, forward[1]))
    assert recorder.status == 200 and harness.connections[other].awaited == 0


def test_two_servers_are_probed_and_the_one_that_can_answer_sooner_is_picked():
    _faster_server()


@with_probing_sidecar
def _probe_timeout(harness):
    _, number, (one, other) = _start_probe(harness)
    report(harness, one, number, 5.0)
    harness.sidecar.picker.finish_probe(number)  # the probe times out
    assert [node for node, _ in sent(harness, kind_of(messages.Forward))] == [one], (
        "a server without a report may be dead"
    )
    report(harness, other, number, 0.0)  # too late
    assert len(sent(harness, kind_of(messages.Forward))) == 1


def test_a_server_that_does_not_report_in_time_is_skipped():
    _probe_timeout()


@with_probing_sidecar
def _no_report(harness):
    _, number, _ = _start_probe(harness)
    harness.sidecar.picker.finish_probe(number)
    assert len(sent(harness, kind_of(messages.Forward))) == 1, "the request was not sent without a report"


def test_a_request_is_sent_even_if_no_server_reports():
    _no_report()


@with_probing_sidecar
def _server_closed(harness):
    _, number, (one, other) = _start_probe(harness)
    report(harness, one, number, 0.0, open_=False)
    report(harness, other, number, 0.5)
    assert [node for node, _ in sent(harness, kind_of(messages.Forward))] == [other]


def test_a_server_that_takes_no_calls_is_not_picked():
    _server_closed()


@with_probing_sidecar
def _failing_server(harness):
    _, number, (one, other) = _start_probe(harness)
    report(harness, one, number, 0.0, failure_rate=0.5)
    report(harness, other, number, 0.2)
    assert [node for node, _ in sent(harness, kind_of(messages.Forward))] == [other]


def test_a_server_that_fails_half_of_its_calls_counts_as_slower():
    _failing_server()


@with_probing_sidecar
def _client_left_during_probe(harness):
    recorder, number, (one, other) = _start_probe(harness)
    harness.sidecar.forwarder.on_client_disconnected(recorder.message)
    report(harness, one, number, 0.0)
    report(harness, other, number, 0.0)
    assert not sent(harness, kind_of(messages.Forward)) and harness.sidecar.context.open_requests == 0


def test_the_request_of_a_client_that_leaves_during_a_probe_is_not_sent():
    _client_left_during_probe()


@with_probing_sidecar
def _connection_lost_during_probe(harness):
    _, number, (one, other) = _start_probe(harness)
    harness.sidecar.directory.on_disconnected(one, harness.connections[one])
    report(harness, other, number, 0.1)
    assert [node for node, _ in sent(harness, kind_of(messages.Forward))] == [other]


def test_a_connection_lost_during_a_probe_counts_as_answered():
    _connection_lost_during_probe()


BODY = bytes(range(256)) * 200  # 51,200 bytes


def _send_in_chunks(harness):
    """Sends a request whose call carries only the size of its body; returns recorder, node and number."""
    recorder = harness.send_request("effectful", body=BODY)
    harness.sidecar.picker.finish_probe(sent(harness, kind_of(messages.LoadQuery))[0][1][1])
    ((node, forward),) = sent(harness, kind_of(messages.Forward))
    assert forward[2][5] == b"" and forward[2][14] == len(BODY)
    return recorder, node, forward[1]


@with_probing_sidecar
def _chunks_on_request(harness):
    _, node, number = _send_in_chunks(harness)
    for end_offset in (10_000, 40_000, len(BODY)):
        harness.sidecar.on_message(
            harness.connections[node], message(kind_of(messages.SendBody), number, end_offset)
        )
        chunks = [row[2] for _, row in sent(harness, kind_of(messages.BodyChunk))]
        assert b"".join(chunks) == BODY[:end_offset] and all(
            len(chunk) <= MAX_CHUNK_BYTES for chunk in chunks
        )


def test_a_body_is_sent_as_far_as_it_was_requested():
    _chunks_on_request()


@with_probing_sidecar
def _connection_lost_during_body(harness, end_offset, status):
    recorder, node, number = _send_in_chunks(harness)
    harness.sidecar.on_message(
        harness.connections[node], message(kind_of(messages.SendBody), number, end_offset)
    )
    for other in harness.sidecar.directory.endpoints:
        if other != node:
            harness.sidecar.directory.on_disconnected(other, harness.connections[other])
    harness.sidecar.directory.on_disconnected(node, harness.connections[node])
    assert recorder.status == status and harness.sidecar.context.open_requests == 0


@pytest.mark.parametrize(("end_offset", "status"), [(20_000, 503), (len(BODY), 502)])
def test_a_request_whose_body_was_not_sent_whole_is_reported_as_not_executed(end_offset, status):
    _connection_lost_during_body(end_offset, status)


@with_probing_sidecar
def _client_left_during_body(harness):
    recorder, node, number = _send_in_chunks(harness)
    harness.sidecar.forwarder.on_client_disconnected(recorder.message)
    harness.sidecar.on_message(harness.connections[node], message(kind_of(messages.SendBody), number, 9_000))
    assert [row[1] for _, row in sent(harness, kind_of(messages.BodyDropped))] == [number] and not sent(
        harness, kind_of(messages.BodyChunk)
    )


def test_the_body_of_a_client_that_left_is_not_sent():
    _client_left_during_body()


def _receive_forward(harness, left=5.0, target=1.0):
    """Delivers a call for the local server whose body is to be fetched; returns connection and jobs."""
    harness.sidecar.server_queue.update_server("i-1", 5, 0.0, True)
    jobs = []
    harness.sidecar.server_queue.submit = jobs.append
    connection = FakeConnection("n2")
    call = [
        "berths",
        "c",
        b"POST",
        b"/x",
        [],
        b"",
        left,
        target,
        b"t",
        "",
        "k",
        False,
        False,
        False,
        len(BODY),
    ]
    harness.sidecar.on_message(connection, message(kind_of(messages.Forward), 7, call))
    return connection, jobs


@with_probing_sidecar
def _fetch_body(harness):
    connection, jobs = _receive_forward(harness)
    received = 0
    while not jobs:
        kind, number, end_offset = connection.sent[-1]
        assert (kind, number) == (kind_of(messages.SendBody), 7) and received < end_offset
        for start in range(received, end_offset, MAX_CHUNK_BYTES):
            harness.sidecar.on_message(
                connection,
                message(
                    kind_of(messages.BodyChunk), 7, BODY[start : min(start + MAX_CHUNK_BYTES, end_offset)]
                ),
            )
        received = end_offset
    assert received == len(BODY) and jobs[0].build_request(1.0, "i-1").endswith(b"\r\n\r\n" + BODY)
    assert (
        harness.sidecar.context.open_calls == 1
        and not harness.sidecar.calls.bodies.bodies
        and not len(harness.sidecar.calls.bodies.receive_window)
    )


def test_a_body_is_fetched_whole_before_its_call_is_sent_to_the_server():
    _fetch_body()


@with_probing_sidecar
def _body_dropped(harness):
    connection, jobs = _receive_forward(harness)
    harness.sidecar.on_message(connection, message(kind_of(messages.BodyChunk), 7, BODY[:1000]))
    harness.sidecar.on_message(connection, message(kind_of(messages.BodyDropped), 7))
    harness.sidecar.on_message(connection, message(kind_of(messages.BodyChunk), 7, BODY[1000:]))
    assert not jobs and harness.sidecar.context.open_calls == 0 and not harness.sidecar.calls.bodies.bodies


def test_a_body_that_its_sender_drops_is_discarded():
    _body_dropped()


@with_probing_sidecar
def _sender_disconnects(harness):
    _, jobs = _receive_forward(harness)
    (connection,) = {key[0] for key in harness.sidecar.calls.bodies.bodies}
    harness.sidecar.on_caller_disconnected(connection)
    assert not jobs and harness.sidecar.context.open_calls == 0 and not harness.sidecar.calls.bodies.bodies


def test_the_bodies_of_a_sender_that_disconnects_are_discarded():
    _sender_disconnects()


@with_probing_sidecar
def _body_too_slow(harness):
    connection, jobs = _receive_forward(
        harness, left=1.0
    )  # its body alone takes 0.4 s, more than the third of its 1.0 s that it may wait
    ((kind, number, error, arrived, *_),) = connection.sent
    assert (kind, number, ErrorKind(error), arrived) == (
        kind_of(messages.ForwardAnswer),
        7,
        ErrorKind.FULL,
        False,
    )
    assert not jobs and harness.sidecar.context.open_calls == 0


def test_a_body_that_cannot_arrive_in_time_is_refused_before_it_is_sent():
    _body_too_slow()


@with_probing_sidecar
def _body_longer_than_target(harness):
    connection, jobs = _receive_forward(harness, target=0.1)
    (incoming,) = harness.sidecar.calls.bodies.bodies.values()
    incoming.started_at -= 0.5  # it takes longer than its target
    now = harness.sidecar.context.now()
    harness.sidecar.on_message(connection, message(kind_of(messages.BodyChunk), 7, BODY))
    (job,) = jobs
    assert job.due_at >= now and job.latest_start_at > now + 0.1


def test_a_body_whose_transfer_takes_longer_than_its_target_is_fetched_and_its_call_may_still_start():
    _body_longer_than_target()


@with_probing_sidecar
def _no_memory(harness):
    harness.sidecar.context.memory.account.capacity = len(BODY)
    connection, jobs = _receive_forward(harness)
    ((kind, number, error, arrived, *_),) = connection.sent
    assert (kind, number, ErrorKind(error), arrived) == (
        kind_of(messages.ForwardAnswer),
        7,
        ErrorKind.FULL,
        False,
    )
    assert not jobs and not harness.sidecar.calls.bodies.bodies


def test_a_body_for_which_there_is_no_memory_is_refused_before_it_is_sent():
    _no_memory()


@with_probing_sidecar
def _shutdown_during_body(harness, end_offset, status):
    recorder, node, number = _send_in_chunks(harness)
    harness.sidecar.on_message(
        harness.connections[node], message(kind_of(messages.SendBody), number, end_offset)
    )
    harness.sidecar.forwarder.fail_all()
    assert recorder.status == status and harness.sidecar.context.open_requests == 0


@pytest.mark.parametrize(("end_offset", "status"), [(20_000, 503), (len(BODY), 504)])
def test_a_sidecar_that_shuts_down_answers_open_requests(end_offset, status):
    _shutdown_during_body(end_offset, status)


@with_probing_sidecar
def _shutdown_during_probe(harness):
    recorder, *_ = _start_probe(harness)
    harness.sidecar.forwarder.fail_all()
    assert recorder.status == 503 and harness.sidecar.context.open_requests == 0


def test_a_sidecar_that_shuts_down_during_a_probe_refuses():
    _shutdown_during_probe()


@with_probing_sidecar
def _body_expired(harness, received_bytes, refused):
    connection, jobs = _receive_forward(harness)
    ((call_id, _),) = harness.sidecar.calls.bodies.bodies.items()
    harness.sidecar.on_message(connection, message(kind_of(messages.BodyChunk), 7, BODY[:received_bytes]))
    harness.sidecar.calls.bodies.expire(call_id)
    errors = [ErrorKind(row[2]) for row in connection.sent if row[0] == kind_of(messages.ForwardAnswer)]
    assert (
        errors == [ErrorKind.FULL] * refused
        and (not harness.sidecar.calls.bodies.bodies) == refused
        and not jobs
    )


@pytest.mark.parametrize(("received_bytes", "refused"), [(1_000, True), (40_000, False)])
def test_a_body_that_waits_too_long_is_refused_unless_most_of_it_has_arrived(received_bytes, refused):
    _body_expired(received_bytes, refused)


@with_probing_sidecar
def _deadline_during_body(harness, end_offset, status):
    recorder, node, number = _send_in_chunks(harness)
    harness.sidecar.on_message(
        harness.connections[node], message(kind_of(messages.SendBody), number, end_offset)
    )
    harness.sidecar.forwarder.on_deadline(harness.sidecar.forwarder.attempts[number].request)
    assert recorder.status == status and (b"Retry-After" in recorder.headers) == (status == 503)


@pytest.mark.parametrize(("end_offset", "status"), [(20_000, 503), (len(BODY), 504)])
def test_a_request_that_cannot_have_run_is_reported_so_at_its_deadline(end_offset, status):
    _deadline_during_body(end_offset, status)


@with_probing_sidecar
def _body_stalls(harness):
    connection, jobs = _receive_forward(harness)
    ((call_id, _),) = harness.sidecar.calls.bodies.bodies.items()
    harness.sidecar.on_message(connection, message(kind_of(messages.BodyChunk), 7, BODY[:40_000]))
    harness.sidecar.calls.bodies.expire(call_id, True)
    assert connection.sent[-1][:4] == [kind_of(messages.ForwardAnswer), 7, int(ErrorKind.FULL), False]
    assert not harness.sidecar.calls.bodies.bodies and harness.sidecar.context.open_calls == 0 and not jobs


def test_a_body_that_stalls_is_refused_at_its_deadline_as_its_sender_still_has_it():
    _body_stalls()


# --- clients that disconnect


@pytest.mark.parametrize(("variant", "cancels"), [("pure", 1), ("effectful", 1), ("idempotent", 0)])
def test_the_call_of_a_client_that_left_is_cancelled_at_the_server(variant, cancels):
    """An operation with a key is not cancelled, as its answer is kept for the repeat."""

    @with_sidecar
    def test(harness):
        recorder = harness.send_request(variant)
        ((node, forward),) = sent(harness, kind_of(messages.Forward))
        harness.sidecar.forwarder.on_client_disconnected(recorder.message)
        harness.sidecar.forwarder.on_client_disconnected(recorder.message)
        assert (
            sent(harness, kind_of(messages.Cancel))
            == [(node, [kind_of(messages.Cancel), forward[1]])] * cancels
        )
        assert harness.sidecar.context.open_requests == 0
        harness.respond((node, forward[1]), ErrorKind.REFUSED, arrived=False)
        assert not recorder.status and not any(
            endpoint.in_flight for endpoint in harness.sidecar.directory.endpoints.values()
        )

    test()


def _call(repeatable):
    return ["berths", "c", b"GET", b"/x", [], b"", 5.0, 1.0, b"t", "", "k", False, repeatable]


@with_sidecar
def _cancel_queued(harness):
    sidecar, connection = harness.sidecar, FakeConnection("n2")
    sidecar.server_queue.update_server("i-1", 5, 0.0, True)
    budget = sidecar.server_queue.budget
    budget.max_steps, sidecar.server_queue.in_flight = budget.steps, budget.limit  # the budget is used up
    sidecar.server_queue.service_times.mean_s = 0.001
    sidecar.on_message(connection, message(kind_of(messages.Forward), 7, _call(True)))
    sidecar.on_message(connection, message(kind_of(messages.Forward), 8, _call(True)))
    sidecar.on_message(connection, message(kind_of(messages.Cancel), 9))
    sidecar.on_message(FakeConnection("n3"), message(kind_of(messages.Cancel), 7))
    assert not connection.sent, "an unknown number was answered"
    sidecar.on_message(connection, message(kind_of(messages.Cancel), 7))
    assert [row[:4] for row in connection.sent] == [
        [kind_of(messages.ForwardAnswer), 7, int(ErrorKind.REFUSED), False]
    ]
    assert sidecar.context.open_calls == 1 and len(sidecar.calls.jobs) == 1


def test_a_queued_call_is_refused_once_its_client_has_left():
    _cancel_queued()


@with_probing_sidecar
def _cancel_during_body(harness):
    connection, jobs = _receive_forward(harness)
    harness.sidecar.on_message(connection, message(kind_of(messages.BodyChunk), 7, BODY[:1000]))
    harness.sidecar.on_message(connection, message(kind_of(messages.Cancel), 7))
    assert connection.sent[-1][:4] == [kind_of(messages.ForwardAnswer), 7, int(ErrorKind.REFUSED), False]
    harness.sidecar.on_message(connection, message(kind_of(messages.BodyChunk), 7, BODY[1000:]))
    assert not jobs and not harness.sidecar.calls.bodies.bodies and harness.sidecar.context.open_calls == 0


def test_a_partly_received_body_is_discarded_once_its_client_has_left():
    _cancel_during_body()
