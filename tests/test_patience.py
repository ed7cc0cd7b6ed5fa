"""Tries that come after their request's aim, told by what time their clients leave them."""

import pytest
from build import MS, SECOND, accept, balancer, only, outcome, settings

from dunefield import Balancer, RefuseRequest, SendAttempt, ServerEntry, ServerListUpdate
from dunefield.patience import SURE, Patience

TOTAL = 400 * MS
USUAL, LAST, LEFT = 220 * MS, 390 * MS, 130 * MS


def told(limits):
    patience = Patience()
    return [patience.spent(limit, TOTAL) for limit in limits]


def test_a_limit_cut_short_tells_what_is_spent():
    assert told([USUAL] * SURE + [LEFT])[-1] == TOTAL - LEFT


def test_the_usual_and_the_longer_tell_nothing():
    assert not any(told([USUAL, LAST] * SURE))


def test_a_few_are_not_enough_to_know_the_usual():
    assert told([USUAL] * (SURE - 2) + [LEFT])[-1] == 0


def test_where_most_are_short_that_is_the_usual():
    """In a storm of third tries, or where clients change their minds, nothing is held against anyone."""
    assert told([USUAL] * SURE + [LEFT] * 40)[-1] == 0


@pytest.mark.parametrize(
    ("slow", "late_worth", "refused"), [(True, 0.0, True), (False, 0.0, False), (True, 0.5, False)]
)
def test_it_is_refused_only_where_others_wait_and_late_answers_are_worth_nothing(slow, late_worth, refused):
    made = settings(
        classes=[
            {
                "name": "read",
                "onTimeNs": 160 * MS,
                "hardLimitNs": TOTAL,
                "repeat": "free",
                "credit": 1.0,
                "lateWorth": late_worth,
            }
        ]
    )
    b = Balancer(made, 1, 0)
    b.handle(0, ServerListUpdate("FULL", tuple(ServerEntry(f"s{i}") for i in range(4))))
    now = SECOND
    for i in range(40):
        for send in only(b.handle(now, accept(f"c{i}", timeout_ns=USUAL)), SendAttempt):
            lag = 90 * MS if slow and i >= 36 else 20 * MS
            b.handle(now + lag, outcome(send, latency_ns=lag))
        now += 100 * MS
    actions = b.handle(now, accept("late", timeout_ns=LEFT))
    assert bool(only(actions, RefuseRequest)) is refused
    assert bool(only(actions, SendAttempt)) is not refused


def test_a_shorter_deadline_than_the_aim_is_no_sign():
    """A client whose whole patience is short from the first try on keeps its service in a calm fleet."""
    b = balancer(servers=4)
    for i in range(30):
        send = only(b.handle(SECOND + i * 50 * MS, accept(f"c{i}", timeout_ns=SECOND)), SendAttempt)[0]
        b.handle(SECOND + i * 50 * MS + 20 * MS, outcome(send, latency_ns=20 * MS))
    assert only(b.handle(4 * SECOND, accept("short", timeout_ns=300 * MS)), SendAttempt)
