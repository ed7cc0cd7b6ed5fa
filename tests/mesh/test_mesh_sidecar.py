"""A request at the sidecar of its caller and at that of the server, for each way an attempt can end.

No sockets, no waits.
"""

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


class ResponseRecorder:
    """Records the one response to a request."""

    def __init__(self):
        self.status, self.body, self.headers = 0, b"", {}

    def answer(self, message, status, body, headers):
        assert not self.status, "answered twice"
        self.status, self.body, self.headers = status, body, dict(headers)


class FakeConnection:
    """A connection to another sidecar or controller that records the messages sent on it."""

    def __init__(self, peer=""):
        self.sent, self.peer, self.awaited = [], peer, 0

    def expect_answers(self, change):
        self.awaited += change

    def send(self, message):
        self.sent.append(encode(message))

    def send_packed(self, packed):
        self.sent.append(packed)


class SidecarHarness:
    """A sidecar that is connected to three others of the service `meals`."""

    def __init__(self, version=0, extra_settings=""):
        self.sidecar = Sidecar(settings.read(SETTINGS + extra_settings).ok)
        self.sidecar.control.apply_items(configuration.parse_change(json.dumps(ITEMS).encode()).ok)
        self.connections = {}
        for number, zone in enumerate(("east", "west", "south"), 2):
            node = f"n{number}"
            record = [node, f"192.0.2.{number}:7000", zone, "meals", f"i-{number}", 5, True, 0.0, 1, 1]
            self.sidecar.directory.apply_record(SidecarRecord(*record, version))
            self.connections[node] = FakeConnection(node)
            self.sidecar.directory.on_connected(node, self.connections[node])

    def send_request(self, variant="pure", headers=(), deadline=b"800", path=None, body=b""):
        recorder = ResponseRecorder()
        message = Message(recorder)
        message.method, message.target = b"POST", (path or f"/{variant}/x?q=1").encode()
        message.headers = [
            (b"host", b"a.example:80"),
            (b"x-attempt-id", b"t1"),
            (b"x-deadline-ms", deadline),
            *headers,
        ]
        message.body = body
        self.sidecar.ingress.serve(message)
        recorder.message = message
        return recorder

    def forwards(self):
        """Returns the node, number and call of each forwarded request."""
        return [
            (node, row[1], row[2]) for node, connection in self.connections.items() for row in connection.sent
        ]

    def respond(self, forward, error=0, arrived=True, status=200, body=b"whole"):
        headers = [(b"x-server-seal", b"s")]
        self.sidecar.forwarder.finish_attempt(
            ForwardAnswer(forward[1], int(error), arrived, status, headers, body)
        )


def with_sidecar(test, version=0, extra_settings=""):
    """Wraps a test so that it runs in an event loop with a `SidecarHarness`. Timers are set, none expires."""

    async def body(*args):
        harness = SidecarHarness(version, extra_settings)
        test(harness, *args)
        harness.sidecar.close()

    def run(*args):
        asyncio.run(body(*args))

    run.__name__ = test.__name__
    return run


FORGED_CALLER = (b"x-caller-service", b"forged")


@with_sidecar
def _forwarded_once(harness):
    recorder = harness.send_request(
        headers=[FORGED_CALLER, (b"connection", b"x-own"), (b"x-own", b"1"), (b"x-kept", b"2")]
    )
    (forward,) = harness.forwards()
    service, caller, method, target, headers, *_ = forward[2]
    assert (service, caller, method, target) == ("meals", "berths", b"POST", b"/pure/x?q=1")
    names = [name for name, _ in headers]
    assert b"x-kept" in names and b"x-attempt-id" in names
    assert not {b"x-caller-service", b"x-own", b"connection", b"x-deadline-ms"} & set(names)
    harness.respond(forward)
    assert (recorder.status, recorder.body) == (200, b"whole")
    assert harness.sidecar.context.open_requests == 0 and all(
        endpoint.in_flight == 0 for endpoint in harness.sidecar.directory.endpoints.values()
    )


def test_a_request_is_forwarded_once_with_the_caller_of_this_machine_and_answered_once():
    _forwarded_once()


@with_sidecar
def _after_error(harness, variant, error, arrived, retried, status):
    recorder = harness.send_request(variant)
    (first,) = harness.forwards()
    harness.respond(first, error, arrived)
    forwards = harness.forwards()
    assert (len(forwards) == 2) == retried
    if retried:
        assert forwards[0][0] != forwards[1][0], "the same server twice"
        assert recorder.status == 0
    else:
        assert recorder.status == status
        assert (b"Retry-After" in recorder.headers) == (error in NOT_EXECUTED_ERRORS)


@pytest.mark.parametrize(
    ("variant", "error", "arrived", "retried", "status"),
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
def test_a_second_server_is_tried_only_if_the_request_may_run_again(variant, error, arrived, retried, status):
    _after_error(variant, error, arrived, retried, status)


@with_sidecar
def _connection_lost(harness, variant, retried):
    recorder = harness.send_request(variant)
    ((node, _, _),) = harness.forwards()
    harness.sidecar.directory.on_disconnected(node, harness.connections[node])
    assert len(harness.forwards()) == 1 + retried
    assert recorder.status == (0 if retried else 502)
    assert not harness.sidecar.directory.usable(harness.sidecar.directory.endpoints[node])


@pytest.mark.parametrize(
    ("variant", "retried"), [("pure", True), ("effectful", False), ("idempotent", False)]
)
def test_a_lost_connection_counts_as_may_have_run(variant, retried):
    _connection_lost(variant, retried)


@with_sidecar
def _refused_after_may_have_run(harness):
    recorder = harness.send_request("pure")
    (first,) = harness.forwards()
    harness.respond(first, ErrorKind.BROKEN)
    second = next(forward for forward in harness.forwards() if forward[1] != first[1])
    harness.respond(second, ErrorKind.FULL, False)
    assert recorder.status not in (503, 429, 421, 408)


def test_a_request_that_may_have_run_is_never_reported_as_not_executed():
    _refused_after_may_have_run()


@with_sidecar
def _refused_by_all(harness):
    recorder = harness.send_request("effectful")
    seen = set()
    for _ in range(3):
        forward = next(forward for forward in harness.forwards() if forward[1] not in seen)
        seen.add(forward[1])
        harness.respond(forward, ErrorKind.FULL, False)
    assert recorder.status == 503 and b"Retry-After" in recorder.headers and len(harness.forwards()) == 3


def test_a_request_refused_by_all_servers_fails_at_once_with_retry_after():
    _refused_by_all()


@with_sidecar
def _overdue(harness, variant, forwarded):
    recorder = harness.send_request(variant)
    (first,) = harness.forwards()
    harness.sidecar.forwarder.hedge_attempt(first[1])
    assert len(harness.forwards()) == forwarded
    harness.sidecar.forwarder.hedge_attempt(first[1])
    assert len(harness.forwards()) == forwarded, "forwarded a third time"
    if forwarded == 2:
        second = next(forward for forward in harness.forwards() if forward[1] != first[1])
        harness.respond(second, ErrorKind.BROKEN)
        assert recorder.status == 0, "the first may still answer"
        harness.respond(first)
        assert recorder.status == 200
    else:
        harness.respond(first)
    assert harness.sidecar.context.open_requests == 0


@pytest.mark.parametrize(("variant", "forwarded"), [("pure", 2), ("effectful", 1), ("idempotent", 1)])
def test_an_overdue_request_is_sent_to_a_second_server_only_if_it_may_run_twice(variant, forwarded):
    _overdue(variant, forwarded)


@with_sidecar
def _two_answers(harness):
    recorder = harness.send_request("pure")
    (first,) = harness.forwards()
    harness.sidecar.forwarder.hedge_attempt(first[1])
    for forward in harness.forwards():
        harness.respond(forward)
    assert recorder.status == 200 and harness.sidecar.context.open_requests == 0


def test_of_two_answers_the_first_is_used_and_the_other_is_dropped():
    _two_answers()


@with_sidecar
def _past_target(harness):
    for _ in range(MIN_SAMPLES):
        harness.send_request("pure", deadline=b"800")
    harness.send_request("pure", deadline=b"790")
    harness.send_request("pure", deadline=b"100")
    calls = [forward[2] for forward in sorted(harness.forwards(), key=lambda forward: forward[1])[-3:]]
    assert [(call[11], call[13]) for call in calls] == [(False, False), (True, False), (True, True)]


def test_a_request_delayed_beyond_its_target_is_marked_apart_from_one_that_was_refused():
    _past_target()


@with_sidecar
def _offered_too_late(harness):
    recorder = harness.send_request("pure", deadline=b"800")
    (first,) = harness.forwards()
    harness.sidecar.forwarder.attempts[first[1]].request.offered_until = 0.0  # a fifth of its time is gone
    harness.respond(first, ErrorKind.FULL, False)
    assert recorder.status == 503 and len(harness.forwards()) == 1


def test_a_request_that_has_waited_long_is_refused_and_not_sent_to_another_server():
    _offered_too_late()


@with_sidecar
def _no_controllers(harness):
    sent = []
    sidecar = harness.sidecar
    sidecar.server_queue.update_server("i-1", 5, 0.0, True)
    sidecar.control.key_claims.voters = Voters(1, ("b1", "b2", "b3"))
    call = Call("berths", "c", b"POST", b"/x", [], b"", 1.0, 0.2, b"t", "key", "k")
    connection = FakeConnection()
    connection.send = sent.append
    sidecar.calls.on_forward(connection, Forward(7, call))
    assert [(type(answer), answer.number, ErrorKind(answer.error)) for answer in sent] == [
        (ForwardAnswer, 7, ErrorKind.REFUSED)
    ]
    assert sidecar.context.open_calls == 0 and not sidecar.control.key_claims.pending


def test_without_controllers_a_call_with_a_key_is_refused_at_once_and_not_run():
    _no_controllers()


@with_sidecar
def _rejecting(harness):
    harness.sidecar.context.draining = harness.sidecar.context.rejecting_requests = True
    recorder = harness.send_request("pure")
    assert recorder.status == 503 and b"Retry-After" in recorder.headers and not harness.forwards()


def test_a_sidecar_that_shuts_down_refuses_further_requests_at_once():
    _rejecting()


@with_sidecar
def _unroutable(harness):
    assert harness.send_request(path="/other/x").status == 404
    assert harness.send_request(deadline=b"soon").status == 400
    record = replace(harness.sidecar.directory.records["n2"], is_open=False, number=2)
    for node in ("n3", "n4"):
        harness.sidecar.directory.on_disconnected(node, harness.connections[node])
    harness.sidecar.on_message(harness.connections["n2"], RecordChanged(record))
    assert harness.send_request().status == 503
    old = replace(record, is_open=True, number=1)
    harness.sidecar.on_message(harness.connections["n2"], Endpoints((old,)))
    assert harness.send_request().status == 503, "an older record replaced a newer one"


def test_a_missing_route_bad_deadline_and_missing_server_fail_at_once_and_old_records_are_ignored():
    _unroutable()


@with_sidecar
def _versions(harness, call, omitted):
    sidecar = harness.sidecar
    sidecar.server_queue.update_server("i-1", 5, 0.0, True)
    sent = []
    sidecar.server_queue.submit = sent.append
    row = [*call[:omitted], *([False, 0, 0, None, None, -1, "more"] if omitted is None else [])]
    sidecar.on_message(FakeConnection(), message(kind_of(Forward), 1, row))
    assert len(sent) == 1 and sent[0].on_overdue is None


@pytest.mark.parametrize("omitted", [None, -1, -2])
def test_a_call_of_an_older_or_newer_protocol_version_is_understood(omitted):
    _versions(["berths", "c", b"GET", b"/x", [], b"", 1.0, 0.2, b"t", "", "k", False, False], omitted)


@pytest.mark.parametrize(
    ("status", "headers", "accepted"),
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
def test_only_a_complete_answer_of_the_server_itself_is_accepted(status, headers, accepted):
    assert (classify_reply(None, Reply(status, headers, b"")) is None) == accepted


def test_each_error_has_a_response_whose_status_states_whether_the_request_has_not_run():
    assert set(ERROR_RESPONSES) == set(ErrorKind)
    for kind, response in ERROR_RESPONSES.items():
        assert response.not_executed == (response.status in (503, 429, 421, 408)), kind
