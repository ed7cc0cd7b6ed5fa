"""Asking two sidecars before a request goes, and bodies that follow it in pieces. No sockets, no waits."""

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

NARROW = "[limit_set]\nlink_mbps = 1.0\n"  # 125 kB/s: 2.5 kB go with their request
asking = partial(with_sidecar, version=2, more=NARROW)


def known(harness, paces=(0.1, 0.1, 0.1)):
    """A sidecar that has heard from the three servers, some time ago."""
    for endpoint, pace in zip(harness.sidecar.directory.endpoints.values(), paces, strict=True):
        endpoint.record_load(-9.0, "pure", 0.0, pace)
        endpoint.record_load(-9.0, "effectful", 0.0, pace)


def said(harness, word):
    links = harness.connections.items()
    return [(node, row) for node, link in links for row in link.sent if row[0] == word]


def report(harness, node, number, wait, pace=0.1, open_=True, carry=0.0, failing=0.0):
    harness.sidecar.on_message(
        harness.connections[node],
        message(kind_of(messages.LoadReport), number, open_, wait, pace, carry, failing),
    )


def _load_queries(harness):
    known(harness)
    harness.sidecar.context.random = random.Random(
        3
    ).random  # two that differ: else six draws may all be the same one
    ear = harness.send_request("pure")
    looks = said(harness, kind_of(messages.LoadQuery))
    assert len(looks) == 2 and not said(harness, kind_of(messages.Forward))
    return ear, looks[0][1][1], [node for node, _ in looks]


@asking
def _freer(harness):
    ear, number, (one, other) = _load_queries(harness)
    report(harness, one, number, 0.3)
    report(harness, other, number, 0.0, pace=0.2)
    ((node, ask),) = said(harness, kind_of(messages.Forward))
    assert node == other and harness.connections[other].waits == 1
    harness.respond((node, ask[1]))
    assert ear.status == 200 and harness.connections[other].waits == 0


def test_two_are_asked_and_the_one_that_can_serve_it_sooner_gets_it():
    _freer()


@asking
def _silent(harness):
    _, number, (one, other) = _load_queries(harness)
    report(harness, one, number, 5.0)
    harness.sidecar.picker.asked_enough(number)  # as much time again has passed
    assert [node for node, _ in said(harness, kind_of(messages.Forward))] == [one], (
        "who says nothing may be dead"
    )
    report(harness, other, number, 0.0)  # too late
    assert len(said(harness, kind_of(messages.Forward))) == 1


def test_who_does_not_answer_in_time_is_passed_over():
    _silent()


@asking
def _nobody(harness):
    _, number, _ = _load_queries(harness)
    harness.sidecar.picker.asked_enough(number)
    assert len(said(harness, kind_of(messages.Forward))) == 1, "asking costs a moment, never the request"


def test_a_request_goes_where_nobody_answers_as_well():
    _nobody()


@asking
def _closed(harness):
    _, number, (one, other) = _load_queries(harness)
    report(harness, one, number, 0.0, open_=False)
    report(harness, other, number, 0.5)
    assert [node for node, _ in said(harness, kind_of(messages.Forward))] == [other]


def test_one_that_takes_nothing_is_not_offered_it():
    _closed()


@asking
def _ill(harness):
    _, number, (one, other) = _load_queries(harness)
    report(harness, one, number, 0.0, failing=0.5)
    report(harness, other, number, 0.2)
    assert [node for node, _ in said(harness, kind_of(messages.Forward))] == [other]


def test_one_that_fails_half_of_its_calls_counts_as_slower():
    _ill()


@asking
def _gone(harness):
    ear, number, (one, other) = _load_queries(harness)
    harness.sidecar.forwarder.on_client_disconnected(ear.message)
    report(harness, one, number, 0.0)
    report(harness, other, number, 0.0)
    assert not said(harness, kind_of(messages.Forward)) and harness.sidecar.context.open_requests == 0


def test_a_client_that_leaves_while_others_are_asked_is_offered_nowhere():
    _gone()


@asking
def _connection_ends(harness):
    _, number, (one, other) = _load_queries(harness)
    harness.sidecar.directory.disconnected(one, harness.connections[one])
    report(harness, other, number, 0.1)
    assert [node for node, _ in said(harness, kind_of(messages.Forward))] == [other]


def test_a_connection_that_ends_while_it_is_asked_is_an_answer():
    _connection_ends()


BODY = bytes(range(256)) * 200  # 51,200 bytes


def _sent_in_pieces(harness):
    """An offer whose body is told by its size."""
    ear = harness.send_request("effectful", body=BODY)
    harness.sidecar.picker.asked_enough(said(harness, kind_of(messages.LoadQuery))[0][1][1])
    ((node, ask),) = said(harness, kind_of(messages.Forward))
    assert ask[2][5] == b"" and ask[2][14] == len(BODY)
    return ear, node, ask[1]


@asking
def _pieces(harness):
    _, node, number = _sent_in_pieces(harness)
    for upto in (10_000, 40_000, len(BODY)):
        harness.sidecar.on_message(
            harness.connections[node], message(kind_of(messages.SendBody), number, upto)
        )
        pieces = [message[2] for _, message in said(harness, kind_of(messages.BodyChunk))]
        assert b"".join(pieces) == BODY[:upto] and all(len(piece) <= MAX_CHUNK_BYTES for piece in pieces)


def test_a_body_is_sent_as_far_as_it_is_wanted():
    _pieces()


@asking
def _breaks(harness, upto, status):
    ear, node, number = _sent_in_pieces(harness)
    harness.sidecar.on_message(harness.connections[node], message(kind_of(messages.SendBody), number, upto))
    for other in harness.sidecar.directory.endpoints:
        if other != node:
            harness.sidecar.directory.disconnected(other, harness.connections[other])
    harness.sidecar.directory.disconnected(node, harness.connections[node])
    assert ear.status == status and harness.sidecar.context.open_requests == 0


@pytest.mark.parametrize(("upto", "status"), [(20_000, 503), (len(BODY), 502)])
def test_what_was_not_sent_whole_has_not_run_and_the_client_is_told_so(upto, status):
    _breaks(upto, status)


@asking
def _given_up(harness):
    ear, node, number = _sent_in_pieces(harness)
    harness.sidecar.forwarder.on_client_disconnected(ear.message)
    harness.sidecar.on_message(harness.connections[node], message(kind_of(messages.SendBody), number, 9_000))
    assert [message[1] for _, message in said(harness, kind_of(messages.BodyDropped))] == [
        number
    ] and not said(harness, kind_of(messages.BodyChunk))


def test_a_body_that_nobody_waits_for_any_more_is_not_sent():
    _given_up()


def _fetched(harness, left=5.0, aim=1.0):
    """A request for the server here, whose body is elsewhere."""
    harness.sidecar.server_queue.update_server("i-1", 5, 0.0, True)
    jobs = []
    harness.sidecar.server_queue.submit = jobs.append
    link = FakeConnection("n2")
    ask = ["berths", "c", b"POST", b"/x", [], b"", left, aim, b"t", "", "k", False, False, False, len(BODY)]
    harness.sidecar.on_message(link, message(kind_of(messages.Forward), 7, ask))
    return link, jobs


@asking
def _fetch(harness):
    link, jobs = _fetched(harness)
    at = 0
    while not jobs:
        word, number, upto = link.sent[-1]
        assert (word, number) == (kind_of(messages.SendBody), 7) and at < upto
        for start in range(at, upto, MAX_CHUNK_BYTES):
            harness.sidecar.on_message(
                link,
                message(kind_of(messages.BodyChunk), 7, BODY[start : min(start + MAX_CHUNK_BYTES, upto)]),
            )
        at = upto
    assert at == len(BODY) and jobs[0].build_request(1.0, "i-1").endswith(b"\r\n\r\n" + BODY)
    assert (
        harness.sidecar.context.open_calls == 1
        and not harness.sidecar.calls.bodies.bodies
        and not len(harness.sidecar.calls.bodies.receive_window)
    )


def test_a_body_is_fetched_whole_before_its_request_goes_to_the_server():
    _fetch()


@asking
def _dropped(harness):
    link, jobs = _fetched(harness)
    harness.sidecar.on_message(link, message(kind_of(messages.BodyChunk), 7, BODY[:1000]))
    harness.sidecar.on_message(link, message(kind_of(messages.BodyDropped), 7))
    harness.sidecar.on_message(link, message(kind_of(messages.BodyChunk), 7, BODY[1000:]))
    assert not jobs and harness.sidecar.context.open_calls == 0 and not harness.sidecar.calls.bodies.bodies


def test_a_body_whose_sender_gives_up_is_forgotten():
    _dropped()


@asking
def _sender_ends(harness):
    _, jobs = _fetched(harness)
    (link,) = {key[0] for key in harness.sidecar.calls.bodies.bodies}
    harness.sidecar.caller_lost(link)
    assert not jobs and harness.sidecar.context.open_calls == 0 and not harness.sidecar.calls.bodies.bodies


def test_a_sender_that_ends_leaves_nothing_behind():
    _sender_ends()


@asking
def _too_long(harness):
    link, jobs = _fetched(harness, left=1.0)  # its body alone takes 0.4 s, of which a third may be waited
    ((word, number, fault, arrived, *_),) = link.sent
    assert (word, number, ErrorKind(fault), arrived) == (
        kind_of(messages.ForwardAnswer),
        7,
        ErrorKind.FULL,
        False,
    )
    assert not jobs and harness.sidecar.context.open_calls == 0


def test_a_body_that_can_t_be_here_in_time_is_refused_before_it_comes():
    _too_long()


@asking
def _ends_before(harness, upto, status):
    ear, node, number = _sent_in_pieces(harness)
    harness.sidecar.on_message(harness.connections[node], message(kind_of(messages.SendBody), number, upto))
    harness.sidecar.forwarder.fail_all()
    assert ear.status == status and harness.sidecar.context.open_requests == 0


@pytest.mark.parametrize(("upto", "status"), [(20_000, 503), (len(BODY), 504)])
def test_a_sidecar_that_ends_answers_what_is_still_open(upto, status):
    _ends_before(upto, status)


@asking
def _ends_while_asking(harness):
    ear, *_ = _load_queries(harness)
    harness.sidecar.forwarder.fail_all()
    assert ear.status == 503 and harness.sidecar.context.open_requests == 0


def test_a_sidecar_that_ends_while_it_asks_refuses():
    _ends_while_asking()


@asking
def _overtaken(harness, got, given_back):
    link, jobs = _fetched(harness)
    ((key, load),) = harness.sidecar.calls.bodies.bodies.items()
    harness.sidecar.on_message(link, message(kind_of(messages.BodyChunk), 7, BODY[:got]))
    harness.sidecar.calls.bodies.expire(key)
    told = [ErrorKind(message[2]) for message in link.sent if message[0] == kind_of(messages.ForwardAnswer)]
    assert (
        told == [ErrorKind.FULL] * given_back
        and (not harness.sidecar.calls.bodies.bodies) == given_back
        and not jobs
    )


@pytest.mark.parametrize(("got", "given_back"), [(1_000, True), (40_000, False)])
def test_a_body_that_others_overtake_is_given_back_unless_most_of_it_is_here(got, given_back):
    _overtaken(got, given_back)


@asking
def _time_is_up(harness, upto, status):
    ear, node, number = _sent_in_pieces(harness)
    harness.sidecar.on_message(harness.connections[node], message(kind_of(messages.SendBody), number, upto))
    harness.sidecar.forwarder.on_deadline(harness.sidecar.forwarder.attempts[number].request)
    assert ear.status == status and (b"Retry-After" in ear.headers) == (status == 503)


@pytest.mark.parametrize(("upto", "status"), [(20_000, 503), (len(BODY), 504)])
def test_what_could_not_run_is_promised_not_to_have_run_when_its_time_is_up(upto, status):
    _time_is_up(upto, status)


@asking
def _at_last(harness):
    link, jobs = _fetched(harness)
    ((key, _),) = harness.sidecar.calls.bodies.bodies.items()
    harness.sidecar.on_message(link, message(kind_of(messages.BodyChunk), 7, BODY[:40_000]))
    harness.sidecar.calls.bodies.expire(key, True)
    assert link.sent[-1][:4] == [kind_of(messages.ForwardAnswer), 7, int(ErrorKind.FULL), False]
    assert not harness.sidecar.calls.bodies.bodies and harness.sidecar.context.open_calls == 0 and not jobs


def test_a_body_that_stops_half_way_is_given_back_at_its_deadline_as_its_sender_keeps_it():
    _at_last()


# --- clients that leave


@pytest.mark.parametrize(("variant", "told"), [("pure", 1), ("effectful", 1), ("idempotent", 0)])
def test_the_sidecar_beside_the_server_hears_that_a_client_has_left(variant, told):
    """An operation with a key runs on: its answer is kept for the repeat."""

    @with_sidecar
    def test(harness):
        ear = harness.send_request(variant)
        ((node, offer),) = said(harness, kind_of(messages.Forward))
        harness.sidecar.forwarder.on_client_disconnected(ear.message)
        harness.sidecar.forwarder.on_client_disconnected(ear.message)
        assert (
            said(harness, kind_of(messages.Cancel)) == [(node, [kind_of(messages.Cancel), offer[1]])] * told
        )
        assert harness.sidecar.context.open_requests == 0
        harness.respond((node, offer[1]), ErrorKind.REFUSED, arrived=False)
        assert not ear.status and not any(
            endpoint.in_flight for endpoint in harness.sidecar.directory.endpoints.values()
        )

    test()


def _call(repeatable):
    return ["berths", "c", b"GET", b"/x", [], b"", 5.0, 1.0, b"t", "", "k", False, repeatable]


@with_sidecar
def _withdrawn(harness):
    sidecar, link = harness.sidecar, FakeConnection("n2")
    sidecar.server_queue.update_server("i-1", 5, 0.0, True)
    budget = sidecar.server_queue.budget
    budget.max_steps, sidecar.server_queue.in_flight = budget.steps, budget.limit  # all are at work
    sidecar.server_queue.mean_service_s = 0.001
    sidecar.on_message(link, message(kind_of(messages.Forward), 7, _call(True)))
    sidecar.on_message(link, message(kind_of(messages.Forward), 8, _call(True)))
    sidecar.on_message(link, message(kind_of(messages.Cancel), 9))
    sidecar.on_message(FakeConnection("n3"), message(kind_of(messages.Cancel), 7))
    assert not link.sent, "another's number, or none"
    sidecar.on_message(link, message(kind_of(messages.Cancel), 7))
    assert [row[:4] for row in link.sent] == [
        [kind_of(messages.ForwardAnswer), 7, int(ErrorKind.REFUSED), False]
    ]
    assert sidecar.context.open_calls == 1 and len(sidecar.calls.jobs) == 1


def test_a_call_that_waits_is_given_back_once_its_client_has_left():
    _withdrawn()


@asking
def _half_a_body(harness):
    link, jobs = _fetched(harness)
    harness.sidecar.on_message(link, message(kind_of(messages.BodyChunk), 7, BODY[:1000]))
    harness.sidecar.on_message(link, message(kind_of(messages.Cancel), 7))
    assert link.sent[-1][:4] == [kind_of(messages.ForwardAnswer), 7, int(ErrorKind.REFUSED), False]
    harness.sidecar.on_message(link, message(kind_of(messages.BodyChunk), 7, BODY[1000:]))
    assert not jobs and not harness.sidecar.calls.bodies.bodies and harness.sidecar.context.open_calls == 0


def test_a_body_on_its_way_is_dropped_once_its_client_has_left():
    _half_a_body()
