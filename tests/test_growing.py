"""Requests whose bodies still come, as the module sees them."""

from __future__ import annotations

import random

from build import MS, SECOND, accept, balancer, fleet, only, outcome

from dunefield import RefuseRequest, RequestArrived, SendAttempt
from dunefield.interface import AttemptOutcome, BodyCompleted, BodyDiscarded, ProbeResult


def growing(request_id: str, cls: int = 1) -> RequestArrived:
    return RequestArrived(request_id, cls, SECOND, body_incomplete=True)


def shed(slow: int, grown: bool) -> int:
    """Of 400 small calls that are answered at once, how many are refused while `slow` bodies come."""
    made = balancer(40)
    now, draw = 0, random.Random(3)
    for number in range(slow):
        assert only(made.handle(now, growing(f"g{number}")), SendAttempt)
        if grown:
            made.handle(now, BodyCompleted(f"g{number}"))
    refused = 0
    for number in range(400):
        now += int(5 * MS * draw.uniform(0.5, 1.5))
        acts = made.handle(now, accept(f"c{number}"))
        refused += len(only(acts, RefuseRequest))
        for send in only(acts, SendAttempt):
            made.handle(now + 2 * MS, outcome(send, latency_ns=2 * MS))
    return refused


def test_bodies_that_still_come_do_not_pass_for_a_jam():
    """Found: on a day of slow uploads a third of all that was refused was refused for them."""
    assert shed(slow=14, grown=False) == 0
    assert shed(slow=14, grown=True) > 0  # the same number at work is one


def test_after_spent_a_failed_attempt_is_the_last_and_is_refused_with_when_to_come_back():
    made = balancer(4)
    (send,) = only(made.handle(0, growing("g")), SendAttempt)
    made.handle(MS, BodyDiscarded("g"))
    acts = made.handle(2 * MS, outcome(send, AttemptOutcome.CONNECT_FAILED, MS))
    assert not only(acts, SendAttempt)
    (refusal,) = only(acts, RefuseRequest)
    assert refusal.retry_after_ns > 0


def test_before_spent_a_failed_attempt_is_followed_by_another():
    made = balancer(4)
    (send,) = only(made.handle(0, growing("g")), SendAttempt)
    acts = made.handle(2 * MS, outcome(send, AttemptOutcome.CONNECT_FAILED, MS))
    assert len(only(acts, SendAttempt)) == 1


def test_spent_is_final_with_probes_as_well():
    probes = {"how": "probe", "columns": ["inflight", "queue"]}
    made = balancer(4, reporting=probes, limits={"mayProbe": True})
    made.handle(0, growing("g"))
    sends = []
    for server in [entry.server for entry in fleet(4).entries]:
        sends += only(
            made.handle(MS, ProbeResult(server, AttemptOutcome.OK, MS, {"inflight": 0.0, "queue": 0.0})),
            SendAttempt,
        )
    assert len(sends) == 1
    made.handle(2 * MS, BodyDiscarded("g"))
    acts = made.handle(3 * MS, outcome(sends[0], AttemptOutcome.RESET, MS))
    assert not only(acts, SendAttempt) and not made.book.calls and not made.book.growing


def test_nothing_is_kept_of_a_call_that_ended_while_it_grew():
    made = balancer(4)
    (send,) = only(made.handle(0, growing("g")), SendAttempt)
    made.handle(2 * MS, outcome(send))
    made.handle(3 * MS, BodyCompleted("g"))
    assert not made.book.growing and not made.book.calls
