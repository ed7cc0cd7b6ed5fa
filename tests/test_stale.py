"""Resets of idle connections: whether being idle was the cause, or requests are reset in any case."""

import pytest
from build import MS, SECOND, attempt_finished, balancer, of_type, request_arrived

from dunefield import AttemptOutcome, SendAttempt
from dunefield.interface import CloseIdleConnections


def call(b, now, outcome=AttemptOutcome.OK, latency_ns=20 * MS):
    """Makes one call at `now`; returns whether idle connections were closed for it."""
    actions = b.handle(now, request_arrived(f"at-{now}"))
    send = of_type(actions, SendAttempt)[0]
    b.handle(now + latency_ns, attempt_finished(send, outcome=outcome, latency_ns=latency_ns))
    return bool(of_type(actions, CloseIdleConnections))


@pytest.mark.parametrize(
    ("worked_ms", "reset_ms", "then_ms", "closed"),
    [
        (0, 300, 200, True),  # nothing is known yet: half of that idle time may be too long as well
        (500, 300, 200, False),  # longer idle connections got responses, so being idle was not the cause
        (500, 300, 450, False),
        (800, 1200, 1000, True),  # the limit lies between
        (800, 1200, 750, False),  # below an idle time that got a response
    ],
)
def test_a_reset_is_compared_with_idle_times_that_worked(worked_ms, reset_ms, then_ms, closed):
    b, now = balancer(servers=1), SECOND
    call(b, now)
    for idle_ms, outcome in ((worked_ms, AttemptOutcome.OK), (reset_ms, AttemptOutcome.RESET)):
        if idle_ms:
            now += 20 * MS + idle_ms * MS
            assert not call(b, now, outcome)
    assert call(b, now + (20 + then_ms) * MS) is closed


def test_proof_of_a_working_idle_time_expires():
    b, now = balancer(servers=1), SECOND
    call(b, now)
    now += 520 * MS
    call(b, now)
    for _ in range(200):  # ten seconds of a busy connection
        now += 50 * MS
        call(b, now)
    now += 320 * MS
    call(b, now, AttemptOutcome.RESET)
    assert call(b, now + 220 * MS)


def test_a_response_on_a_new_connection_proves_nothing_about_idle_ones():
    """After 0.4 of the idle limit (here 15 s) the transport has already retired idle connections."""
    b, now = balancer(servers=1), SECOND
    call(b, now)
    now += 7020 * MS
    call(b, now)
    now += 3020 * MS
    call(b, now, AttemptOutcome.RESET)
    assert call(b, now + 2020 * MS)


def test_proof_expires_without_further_responses():
    b = balancer(servers=1)
    call(b, SECOND)
    call(b, SECOND + 520 * MS)
    assert not b.idle.on_reset(2 * SECOND, 300 * MS, MS)
    assert b.idle.on_reset(11 * SECOND, 300 * MS, MS)


def test_shorter_working_idle_times_do_not_replace_longer_ones():
    b, now = balancer(servers=1), SECOND
    call(b, now)
    for idle_ms in (500, 50, 50):
        now += (20 + idle_ms) * MS
        call(b, now)
    now += 320 * MS
    call(b, now, AttemptOutcome.RESET)
    assert not call(b, now + 220 * MS)
