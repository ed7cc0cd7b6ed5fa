"""A request where it begins, and beside the server: each way the hop can end. No sockets, no waits."""

import asyncio
import json

import pytest
from msgspec.structs import replace
from wire import message

from hollyport.http.back import Reply
from hollyport.http.message import Message
from mesh import settings
from mesh.errors import ERROR_RESPONSES, NOT_EXECUTED_ERRORS, ErrorKind
from mesh.proxy.call_runner import classify_reply
from mesh.proxy.request_age import MIN_SAMPLES
from mesh.proxy.sidecar import Sidecar
from mesh.state import configuration
from mesh.state.quorum import Voters
from mesh.transport.messages import (
    Call,
    Endpoints,
    Forward,
    ForwardAnswer,
    RecordChanged,
    SidecarRecord,
    encode,
    kind_of,
)

SETTINGS = """
node_name = "n1"
ip = "192.0.2.1"
zone = "east"
port_range = [7000, 7001]
app_addr = "192.0.2.1:9000"
service = "berths"
bound_set = ["retry_slack=600", "retry_ratio=0.2"]
"""


def rule(name, variant):
    return {
        "name": name,
        "variant": variant,
        "target": "200ms",
        "revision": "r1",
        "matcher": {"path_prefix": f"/{name}/"},
        "effect": {"service": "meals", "timeout": "900ms", "max_attempts": 2},
    }


ITEMS = {
    "upserts": {
        "listener_list": [
            {
                "hostname": "a.example",
                "rule_set": [rule(name, name) for name in ("pure", "effectful", "idempotent", "upload")],
            }
        ],
        "cluster_list": [{"name": name, "revision": "r1"} for name in ("berths", "meals")],
    }
}


class Ear:
    def __init__(self):
        self.status, self.body, self.headers = 0, b"", {}

    def answer(self, message, status, body, headers):
        assert not self.status, "answered twice"
        self.status, self.body, self.headers = status, body, dict(headers)


class FakeConnection:
    """A connection to another sidecar or controller: what was said there."""

    def __init__(self, peer=""):
        self.sent, self.peer, self.waits = [], peer, 0

    def expect_answers(self, more):
        self.waits += more

    def send(self, message):
        self.sent.append(encode(message))

    def send_packed(self, packed):
        self.sent.append(packed)


class SidecarHarness:
    """One sidecar that knows three others of the service `meals`."""

    def __init__(self, version=0, more=""):
        self.sidecar = Sidecar(settings.read(SETTINGS + more).ok)
        self.sidecar.control.apply_items(configuration.parse_change(json.dumps(ITEMS).encode()).ok)
        self.connections = {}
        for number, zone in enumerate(("east", "west", "south"), 2):
            node = f"n{number}"
            record = [node, f"192.0.2.{number}:7000", zone, "meals", f"i-{number}", 5, True, 0.0, 1, 1]
            self.sidecar.directory.take(SidecarRecord(*record, version))
            self.connections[node] = FakeConnection(node)
            self.sidecar.directory.connected(node, self.connections[node])

    def send_request(self, variant="pure", headers=(), deadline=b"800", path=None, body=b""):
        ear = Ear()
        message = Message(ear)
        message.method, message.target = b"POST", (path or f"/{variant}/x?q=1").encode()
        message.headers = [
            (b"host", b"a.example:80"),
            (b"x-attempt-id", b"t1"),
            (b"x-deadline-ms", deadline),
            *headers,
        ]
        message.body = body
        self.sidecar.ingress.serve(message)
        ear.message = message
        return ear

    def forwards(self):
        return [(node, said[1], said[2]) for node, link in self.connections.items() for said in link.sent]

    def respond(self, offer, fault=0, arrived=True, status=200, body=b"whole"):
        headers = [(b"x-server-seal", b"s")]
        self.sidecar.forwarder.finish_attempt(
            ForwardAnswer(offer[1], int(fault), arrived, status, headers, body)
        )


def with_sidecar(test, version=0, more=""):
    """Run a test in a loop: timers are made, none comes due."""

    async def play(*args):
        harness = SidecarHarness(version, more)
        test(harness, *args)
        harness.sidecar.close()

    def run(*args):
        asyncio.run(play(*args))

    run.__name__ = test.__name__
    return run


CALLED = (b"x-caller-service", b"forged")


@with_sidecar
def _offered_once(harness):
    ear = harness.send_request(
        headers=[CALLED, (b"connection", b"x-own"), (b"x-own", b"1"), (b"x-kept", b"2")]
    )
    (offer,) = harness.forwards()
    service, caller, method, target, headers, *_ = offer[2]
    assert (service, caller, method, target) == ("meals", "berths", b"POST", b"/pure/x?q=1")
    names = [name for name, _ in headers]
    assert b"x-kept" in names and b"x-attempt-id" in names
    assert not {b"x-caller-service", b"x-own", b"connection", b"x-deadline-ms"} & set(names)
    harness.respond(offer)
    assert (ear.status, ear.body) == (200, b"whole")
    assert harness.sidecar.context.open_requests == 0 and all(
        endpoint.in_flight == 0 for endpoint in harness.sidecar.directory.endpoints.values()
    )


def test_a_request_is_offered_once_with_the_caller_of_this_machine_and_answered_once():
    _offered_once()


@with_sidecar
def _after(harness, variant, fault, arrived, again, status):
    ear = harness.send_request(variant)
    (first,) = harness.forwards()
    harness.respond(first, fault, arrived)
    offers = harness.forwards()
    assert (len(offers) == 2) == again
    if again:
        assert offers[0][0] != offers[1][0], "the same server twice"
        assert ear.status == 0
    else:
        assert ear.status == status
        assert (b"Retry-After" in ear.headers) == (fault in NOT_EXECUTED_ERRORS)


@pytest.mark.parametrize(
    ("variant", "fault", "arrived", "again", "status"),
    [
        ("pure", ErrorKind.FULL, False, True, 0),
        ("pure", ErrorKind.LEAVING, False, True, 0),
        ("pure", ErrorKind.BROKEN, True, True, 0),
        ("pure", ErrorKind.LATE, True, False, 504),
        ("effectful", ErrorKind.FULL, False, True, 0),
        ("effectful", ErrorKind.FULL, True, True, 0),
        ("effectful", ErrorKind.BROKEN, True, False, 502),
        ("effectful", ErrorKind.LATE, True, False, 504),
        ("upload", ErrorKind.BROKEN, True, False, 502),
        ("upload", ErrorKind.LEAVING, False, True, 0),
        ("idempotent", ErrorKind.BROKEN, True, False, 502),
        ("idempotent", ErrorKind.AT_WORK, False, False, 409),
        ("idempotent", ErrorKind.LOST_KEY, False, False, 502),
        ("idempotent", ErrorKind.REFUSED, False, True, 0),
    ],
)
def test_a_second_server_only_where_that_can_do_no_harm(variant, fault, arrived, again, status):
    _after(variant, fault, arrived, again, status)


@with_sidecar
def _broken_hop(harness, variant, again):
    ear = harness.send_request(variant)
    ((node, _, _),) = harness.forwards()
    harness.sidecar.directory.disconnected(node, harness.connections[node])
    assert len(harness.forwards()) == 1 + again
    assert ear.status == (0 if again else 502)
    assert not harness.sidecar.directory.usable(harness.sidecar.directory.endpoints[node])


@pytest.mark.parametrize(("variant", "again"), [("pure", True), ("effectful", False), ("idempotent", False)])
def test_a_hop_that_breaks_promises_nothing(variant, again):
    _broken_hop(variant, again)


@with_sidecar
def _never_a_promise_after_doubt(harness):
    ear = harness.send_request("pure")
    (first,) = harness.forwards()
    harness.respond(first, ErrorKind.BROKEN)
    second = next(offer for offer in harness.forwards() if offer[1] != first[1])
    harness.respond(second, ErrorKind.FULL, False)
    assert ear.status not in (503, 429, 421, 408)


def test_once_it_may_have_run_nothing_is_promised_any_more():
    _never_a_promise_after_doubt()


@with_sidecar
def _refused_by_all(harness):
    ear = harness.send_request("effectful")
    seen = set()
    for _ in range(3):
        offer = next(offer for offer in harness.forwards() if offer[1] not in seen)
        seen.add(offer[1])
        harness.respond(offer, ErrorKind.FULL, False)
    assert ear.status == 503 and b"Retry-After" in ear.headers and len(harness.forwards()) == 3


def test_refused_by_all_is_told_at_once_with_when_to_come_back():
    _refused_by_all()


@with_sidecar
def _overdue(harness, variant, offered):
    ear = harness.send_request(variant)
    (first,) = harness.forwards()
    harness.sidecar.forwarder.hedge_attempt(first[1])
    assert len(harness.forwards()) == offered
    harness.sidecar.forwarder.hedge_attempt(first[1])
    assert len(harness.forwards()) == offered, "offered a third time"
    if offered == 2:
        second = next(offer for offer in harness.forwards() if offer[1] != first[1])
        harness.respond(second, ErrorKind.BROKEN)
        assert ear.status == 0, "the first may still answer"
        harness.respond(first)
        assert ear.status == 200
    else:
        harness.respond(first)
    assert harness.sidecar.context.open_requests == 0


@pytest.mark.parametrize(("variant", "offered"), [("pure", 2), ("effectful", 1), ("idempotent", 1)])
def test_an_overdue_request_goes_to_a_second_server_only_where_it_may_run_twice(variant, offered):
    _overdue(variant, offered)


@with_sidecar
def _two_answers(harness):
    ear = harness.send_request("pure")
    (first,) = harness.forwards()
    harness.sidecar.forwarder.hedge_attempt(first[1])
    for offer in harness.forwards():
        harness.respond(offer)
    assert ear.status == 200 and harness.sidecar.context.open_requests == 0


def test_of_two_answers_the_first_counts_and_the_other_goes_nowhere():
    _two_answers()


@with_sidecar
def _past(harness):
    for _ in range(MIN_SAMPLES):
        harness.send_request("pure", deadline=b"800")
    harness.send_request("pure", deadline=b"790")
    harness.send_request("pure", deadline=b"100")
    told = [offer[2] for offer in sorted(harness.forwards(), key=lambda offer: offer[1])[-3:]]
    assert [(ask[11], ask[13]) for ask in told] == [(False, False), (True, False), (True, True)]


def test_a_request_lost_for_longer_than_its_aim_is_told_apart_from_one_that_was_refused():
    _past()


@with_sidecar
def _half(harness):
    ear = harness.send_request("pure", deadline=b"800")
    (first,) = harness.forwards()
    harness.sidecar.forwarder.attempts[first[1]].request.offered_until = 0.0  # a fifth of its time is gone
    harness.respond(first, ErrorKind.FULL, False)
    assert ear.status == 503 and len(harness.forwards()) == 1


def test_who_was_held_for_long_is_refused_and_not_held_elsewhere():
    _half()


@with_sidecar
def _keyless(harness):
    sent = []
    sidecar = harness.sidecar
    sidecar.server_queue.update_server("i-1", 5, 0.0, True)
    sidecar.control.key_claims.voters = Voters(1, ("b1", "b2", "b3"))
    call = Call("berths", "c", b"POST", b"/x", [], b"", 1.0, 0.2, b"t", "key", "k")
    link = FakeConnection()
    link.send = sent.append
    sidecar.calls.on_forward(link, Forward(7, call))
    assert [(type(told), told.number, ErrorKind(told.error)) for told in sent] == [
        (ForwardAnswer, 7, ErrorKind.REFUSED)
    ]
    assert sidecar.context.open_calls == 0 and not sidecar.control.key_claims.pending


def test_without_controllers_a_keyed_request_is_given_back_at_once_and_unrun():
    _keyless()


@with_sidecar
def _leaving(harness):
    harness.sidecar.context.draining = harness.sidecar.context.rejecting_requests = True
    ear = harness.send_request("pure")
    assert ear.status == 503 and b"Retry-After" in ear.headers and not harness.forwards()


def test_a_sidecar_that_closes_refuses_at_once_what_still_comes():
    _leaving()


@with_sidecar
def _strange(harness):
    assert harness.send_request(path="/other/x").status == 404
    assert harness.send_request(deadline=b"soon").status == 400
    record = replace(harness.sidecar.directory.records["n2"], is_open=False, number=2)
    for node in ("n3", "n4"):
        harness.sidecar.directory.disconnected(node, harness.connections[node])
    harness.sidecar.on_message(harness.connections["n2"], RecordChanged(record))
    assert harness.send_request().status == 503
    old = replace(record, is_open=True, number=1)
    harness.sidecar.on_message(harness.connections["n2"], Endpoints((old,)))
    assert harness.send_request().status == 503, "an older record came back"


def test_no_route_a_bad_deadline_and_no_server_are_told_at_once_and_old_records_change_nothing():
    _strange()


@with_sidecar
def _versions(harness, ask, left_out):
    sidecar = harness.sidecar
    sidecar.server_queue.update_server("i-1", 5, 0.0, True)
    sent = []
    sidecar.server_queue.submit = sent.append
    row = [*ask[:left_out], *([False, 0, 0, "more"] if left_out is None else [])]
    sidecar.on_message(FakeConnection(), message(kind_of(Forward), 1, row))
    assert len(sent) == 1 and sent[0].on_overdue is None


@pytest.mark.parametrize("left_out", [None, -1, -2])
def test_an_offer_of_an_older_or_newer_version_is_understood(left_out):
    _versions(["berths", "c", b"GET", b"/x", [], b"", 1.0, 0.2, b"t", "", "k", False, False], left_out)


@pytest.mark.parametrize(
    ("status", "headers", "whole"),
    [
        (200, [(b"x-server-seal", b"s")], True),
        (200, [], False),
        (404, [], True),
        (500, [], True),
        (503, [], False),
        (429, [], False),
        (421, [], False),
        (408, [], False),
        (302, [], False),
        (200, [(b"x-server-seal", b"s"), (b"content-encoding", b"gzip")], False),
    ],
)
def test_only_the_server_s_own_whole_answer_passes(status, headers, whole):
    assert (classify_reply(None, Reply(status, headers, b"")) is None) == whole


def test_each_kind_of_fault_has_an_answer_and_promises_are_statuses_that_promise():
    assert set(ERROR_RESPONSES) == set(ErrorKind)
    for kind, answer in ERROR_RESPONSES.items():
        assert answer.not_executed == (answer.status in (503, 429, 421, 408)), kind
