"""What a reset tells of idle connections: something drops them, or resets come whatever they did before."""

import pytest
from build import MS, SECOND, accept, balancer, only, outcome

from dunefield import AttemptOutcome, SendAttempt
from dunefield.interface import CloseIdleConnections


def call(b, now, how=AttemptOutcome.OK, lag=20 * MS):
    """One call from `now` on; whether idle connections were closed for it."""
    acts = b.handle(now, accept(f"at-{now}"))
    send = only(acts, SendAttempt)[0]
    b.handle(now + lag, outcome(send, how=how, latency_ns=lag))
    return bool(only(acts, CloseIdleConnections))


@pytest.mark.parametrize(
    ("worked_ms", "reset_ms", "then_ms", "closed"),
    [
        (0, 300, 200, True),  # nothing is known yet: half of what was reset may be too long as well
        (500, 300, 200, False),  # longer ones were answered: it was not for being idle
        (500, 300, 450, False),
        (800, 1200, 1000, True),  # a limit lies between
        (800, 1200, 750, False),  # and what has been answered is below it
    ],
)
def test_a_reset_is_held_against_idle_times_that_worked(worked_ms, reset_ms, then_ms, closed):
    b, now = balancer(servers=1), SECOND
    call(b, now)
    for idle_ms, how in ((worked_ms, AttemptOutcome.OK), (reset_ms, AttemptOutcome.RESET)):
        if idle_ms:
            now += 20 * MS + idle_ms * MS
            assert not call(b, now, how)
    assert call(b, now + (20 + then_ms) * MS) is closed


def test_what_worked_long_ago_is_no_proof_any_more():
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


def test_an_answer_over_a_new_connection_proves_nothing_of_idle_ones():
    """Found on reading: after 0.4 of the idle limit (here of 15 s) the carrier has retired what was idle."""
    b, now = balancer(servers=1), SECOND
    call(b, now)
    now += 7020 * MS
    call(b, now)
    now += 3020 * MS
    call(b, now, AttemptOutcome.RESET)
    assert call(b, now + 2020 * MS)


def test_proof_has_an_end_where_nothing_is_answered_any_more():
    b = balancer(servers=1)
    call(b, SECOND)
    call(b, SECOND + 520 * MS)
    assert not b.idle.stale(2 * SECOND, 300 * MS, MS)
    assert b.idle.stale(11 * SECOND, 300 * MS, MS)


def test_shorter_idle_times_that_work_do_not_replace_longer_ones():
    b, now = balancer(servers=1), SECOND
    call(b, now)
    for idle_ms in (500, 50, 50):
        now += (20 + idle_ms) * MS
        call(b, now)
    now += 320 * MS
    call(b, now, AttemptOutcome.RESET)
    assert not call(b, now + 220 * MS)
