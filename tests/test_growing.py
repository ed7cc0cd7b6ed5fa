"""Requests whose bodies have not arrived in full, as the balancer sees them."""

from __future__ import annotations

import random

from build import MS, SECOND, attempt_finished, balancer, fleet, of_type, request_arrived

from dunefield import RefuseRequest, RequestArrived, SendAttempt
from dunefield.interface import AttemptOutcome, BodyCompleted, BodyDiscarded, ProbeResult


def incomplete_request(request_id: str, cls: int = 1) -> RequestArrived:
    return RequestArrived(request_id, cls, SECOND, body_incomplete=True)


def count_shed(slow: int, completed: bool) -> int:
    """Returns how many of 400 small calls, answered at once, are refused during `slow` uploads."""
    made = balancer(40)
    now, draw = 0, random.Random(3)
    for number in range(slow):
        assert of_type(made.handle(now, incomplete_request(f"g{number}")), SendAttempt)
        if completed:
            made.handle(now, BodyCompleted(f"g{number}"))
    refused = 0
    for number in range(400):
        now += int(5 * MS * draw.uniform(0.5, 1.5))
        acts = made.handle(now, request_arrived(f"c{number}"))
        refused += len(of_type(acts, RefuseRequest))
        for send in of_type(acts, SendAttempt):
            made.handle(now + 2 * MS, attempt_finished(send, latency_ns=2 * MS))
    return refused


def test_incomplete_bodies_do_not_count_as_overload():
    """With slow uploads, a third of all refusals was due to them."""
    assert count_shed(slow=14, completed=False) == 0
    assert count_shed(slow=14, completed=True) > 0  # the same number being processed is overload


def test_after_body_discarded_a_failed_attempt_is_refused_with_retry_after():
    made = balancer(4)
    (send,) = of_type(made.handle(0, incomplete_request("g")), SendAttempt)
    made.handle(MS, BodyDiscarded("g"))
    acts = made.handle(2 * MS, attempt_finished(send, AttemptOutcome.CONNECT_FAILED, MS))
    assert not of_type(acts, SendAttempt)
    (refusal,) = of_type(acts, RefuseRequest)
    assert refusal.retry_after_ns > 0


def test_before_body_discarded_a_failed_attempt_is_retried():
    made = balancer(4)
    (send,) = of_type(made.handle(0, incomplete_request("g")), SendAttempt)
    acts = made.handle(2 * MS, attempt_finished(send, AttemptOutcome.CONNECT_FAILED, MS))
    assert len(of_type(acts, SendAttempt)) == 1


def test_body_discarded_prevents_retries_with_probes():
    probes = {"how": "probe", "columns": ["inflight", "queue"]}
    made = balancer(4, reporting=probes, limits={"mayProbe": True})
    made.handle(0, incomplete_request("g"))
    sends = []
    for server in [entry.server for entry in fleet(4).entries]:
        sends += of_type(
            made.handle(MS, ProbeResult(server, AttemptOutcome.OK, MS, {"inflight": 0.0, "queue": 0.0})),
            SendAttempt,
        )
    assert len(sends) == 1
    made.handle(2 * MS, BodyDiscarded("g"))
    acts = made.handle(3 * MS, attempt_finished(sends[0], AttemptOutcome.RESET, MS))
    assert not of_type(acts, SendAttempt) and not made.state.calls and not made.state.incomplete


def test_nothing_is_kept_of_a_call_that_ended_before_its_body_completed():
    made = balancer(4)
    (send,) = of_type(made.handle(0, incomplete_request("g")), SendAttempt)
    made.handle(2 * MS, attempt_finished(send))
    made.handle(3 * MS, BodyCompleted("g"))
    assert not made.state.incomplete and not made.state.calls
