"""Retries that arrive after their request's target, detected by their shorter timeouts."""

import pytest
from build import MS, SECOND, attempt_finished, balancer, of_type, request_arrived, settings

from dunefield import Balancer, RefuseRequest, SendAttempt, ServerEntry, ServerListUpdate
from dunefield.client_timeouts import MIN_SAMPLES, ClientTimeouts

TOTAL = 400 * MS
USUAL, LAST, LEFT = 220 * MS, 390 * MS, 130 * MS


def spent_before(timeouts):
    client_timeouts = ClientTimeouts()
    return [client_timeouts.spent(timeout, TOTAL) for timeout in timeouts]


def test_a_short_timeout_shows_the_time_already_spent():
    assert spent_before([USUAL] * MIN_SAMPLES + [LEFT])[-1] == TOTAL - LEFT


def test_usual_and_longer_timeouts_show_nothing():
    assert not any(spent_before([USUAL, LAST] * MIN_SAMPLES))


def test_a_few_timeouts_are_not_enough():
    assert spent_before([USUAL] * (MIN_SAMPLES - 2) + [LEFT])[-1] == 0


def test_if_most_timeouts_are_short_they_are_the_usual():
    """In a storm of third tries, or after clients change their timeouts, no time counts as spent."""
    assert spent_before([USUAL] * MIN_SAMPLES + [LEFT] * 40)[-1] == 0


@pytest.mark.parametrize(
    ("slow", "late_value", "refused"), [(True, 0.0, True), (False, 0.0, False), (True, 0.5, False)]
)
def test_it_is_refused_only_under_overload_and_without_a_late_value(slow, late_value, refused):
    made = settings(
        classes=[
            {
                "name": "read",
                "onTimeNs": 160 * MS,
                "hardLimitNs": TOTAL,
                "repeat": "free",
                "credit": 1.0,
                "lateWorth": late_value,
            }
        ]
    )
    b = Balancer(made, 1, 0)
    b.handle(0, ServerListUpdate("FULL", tuple(ServerEntry(f"s{i}") for i in range(4))))
    now = SECOND
    for i in range(40):
        for send in of_type(b.handle(now, request_arrived(f"c{i}", timeout_ns=USUAL)), SendAttempt):
            latency_ns = 90 * MS if slow and i >= 36 else 20 * MS
            b.handle(now + latency_ns, attempt_finished(send, latency_ns=latency_ns))
        now += 100 * MS
    actions = b.handle(now, request_arrived("late", timeout_ns=LEFT))
    assert bool(of_type(actions, RefuseRequest)) is refused
    assert bool(of_type(actions, SendAttempt)) is not refused


def test_a_timeout_below_the_target_is_no_sign_of_a_retry():
    """A client whose timeout is short from its first try on is still served without overload."""
    b = balancer(servers=4)
    for i in range(30):
        send = of_type(
            b.handle(SECOND + i * 50 * MS, request_arrived(f"c{i}", timeout_ns=SECOND)), SendAttempt
        )[0]
        b.handle(SECOND + i * 50 * MS + 20 * MS, attempt_finished(send, latency_ns=20 * MS))
    assert of_type(b.handle(4 * SECOND, request_arrived("short", timeout_ns=300 * MS)), SendAttempt)
