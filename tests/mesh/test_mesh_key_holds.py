"""The shard keys that a stand-in server holds: grants, releases, answers to heartbeats, and time."""

from __future__ import annotations

import itertools

import pytest

from rehearsal.mesh.key_holds import (
    SLOWEST_CLOCK,
    GrantRow,
    HoldEvent,
    HoldRow,
    KeyHolds,
    KeyStates,
    ReleasedRow,
)
from rehearsal.mesh.key_ranges import ALL_KEYS, KeyRange, KeyRangeMap, Row

KEYS = KeyRange(100, 199)
HALF = KeyRange(100, 149)
OTHER_HALF = KeyRange(150, 199)
HOLD_S = 4.0
WARM_S = 1.0
REAL_HOLD_S = HOLD_S / SLOWEST_CLOCK


class Made:
    """Key holds with handovers h1, h2, ... and all events that they reported."""

    def __init__(self, states: KeyStates | None = None) -> None:
        numbers = itertools.count(1)
        self.events: list[HoldEvent] = []
        self.holds = KeyHolds(
            "s1", lambda: f"h{next(numbers)}", self.events.append, states or KeyStates(), WARM_S
        )

    def grant(self, keys: KeyRange = KEYS, fence: int = 1, now: float = 0.0, handover: str = "") -> bool:
        return self.holds.grant(GrantRow(keys, fence, handover), HOLD_S, now, now)

    def release(self, keys: KeyRange = KEYS, now: float = 0.0) -> str:
        self.holds.let_go(keys, now)
        return self.holds.end_release(keys, now)

    def replace(self, *rows: GrantRow, sent_at: float, now: float) -> None:
        self.holds.replace(rows, HOLD_S, sent_at, now)


@pytest.fixture
def made() -> Made:
    return Made()


def test_a_range_map_splits_and_joins_rows() -> None:
    values: KeyRangeMap[str] = KeyRangeMap()
    values.assign(KeyRange(0, 99), "a")
    values.assign(KeyRange(40, 59), "b")
    assert values.rows() == [
        Row(KeyRange(0, 39), "a"),
        Row(KeyRange(40, 59), "b"),
        Row(KeyRange(60, 99), "a"),
    ]
    assert (values.get(39), values.get(40), values.get(100)) == ("a", "b", None)
    assert values.overlapping(KeyRange(50, 60)) == [Row(KeyRange(50, 59), "b"), Row(KeyRange(60, 60), "a")]
    values.assign(KeyRange(40, 59), "a")
    assert values.rows() == [Row(KeyRange(0, 99), "a")]
    values.remove(ALL_KEYS)
    assert not values


def test_a_new_server_holds_nothing(made: Made) -> None:
    assert not made.holds.holds(0, 0.0)
    assert made.holds.held_rows(0.0) == []


def test_a_hold_covers_both_ends_and_runs_out_by_a_slow_clock(made: Made) -> None:
    assert made.grant(now=1.0)
    assert [made.holds.holds(key, 1.0) for key in (99, 100, 199, 200)] == [False, True, True, False]
    assert made.holds.holds(100, 1.0 + REAL_HOLD_S - 0.001)
    assert not made.holds.holds(100, 1.0 + REAL_HOLD_S)


def test_the_same_grant_again_renews(made: Made) -> None:
    made.grant(now=0.0)
    assert made.grant(now=3.0)
    assert made.holds.holds(100, 3.0 + REAL_HOLD_S - 0.001)


def test_a_lower_fence_on_any_key_is_refused_and_changes_nothing(made: Made) -> None:
    made.grant(KeyRange(150, 150), fence=5)
    assert not made.grant(fence=4)
    assert not made.holds.holds(100, 0.0)
    assert made.grant(fence=5)


def test_a_fence_is_remembered_after_its_hold(made: Made) -> None:
    made.grant(fence=5)
    made.holds.let_go(KEYS, 1.0)
    made.holds.end_release(KEYS, 1.0)
    assert not made.grant(HALF, fence=4, now=100.0)


def test_a_release_may_cover_a_part(made: Made) -> None:
    made.grant()
    made.holds.let_go(HALF, 1.0)
    assert not made.holds.holds(100, 1.0)
    assert made.holds.holds(150, 1.0)
    assert made.holds.held_rows(1.0) == [HoldRow(OTHER_HALF, 1)]


def test_a_release_of_keys_that_are_not_held_gets_a_handover_and_is_not_told(made: Made) -> None:
    made.holds.let_go(KEYS, 0.0)
    assert made.holds.end_release(KEYS, 0.0) == "h1"
    assert made.holds.released_rows() == []


def test_a_repeated_release_gets_the_same_handover_until_the_next_grant(made: Made) -> None:
    made.grant()
    made.holds.let_go(KEYS, 1.0)
    first = made.holds.end_release(KEYS, 1.0)
    made.holds.let_go(KEYS, 1.1)
    assert made.holds.end_release(KEYS, 1.1) == first
    made.grant(fence=2, now=2.0)
    made.holds.let_go(KEYS, 3.0)
    assert made.holds.end_release(KEYS, 3.0) != first


def test_work_on_a_released_key_may_end_while_the_hold_lasts(made: Made) -> None:
    made.grant()
    number = made.holds.begin_work(120, 1.0)
    made.holds.let_go(HALF, 1.0)
    assert made.holds.is_working_on(HALF)
    assert made.holds.held_rows(1.0) == [HoldRow(KEYS, 1)]  # held, or still worked on
    assert made.holds.end_work(number, 2.0)
    assert not made.holds.is_working_on(HALF)


@pytest.mark.parametrize("renewed_at", [None, REAL_HOLD_S + 0.1])
def test_work_fails_whose_hold_ended_meanwhile(made: Made, renewed_at: float | None) -> None:
    made.grant()
    number = made.holds.begin_work(120, 1.0)
    if renewed_at is not None:
        made.grant(now=renewed_at)  # after a gap
    assert not made.holds.end_work(number, REAL_HOLD_S + 0.2)


def test_work_goes_on_when_its_hold_is_renewed_under_a_higher_fence(made: Made) -> None:
    made.grant()
    number = made.holds.begin_work(120, 1.0)
    made.grant(HALF, fence=2, now=3.0)
    assert made.holds.end_work(number, REAL_HOLD_S + 1.0)


def test_a_heartbeat_tells_of_work_on_a_key_whose_hold_has_run_out(made: Made) -> None:
    made.grant(fence=6)
    made.holds.begin_work(120, 1.0)
    assert made.holds.held_rows(REAL_HOLD_S) == [HoldRow(KeyRange(120, 120), 6)]


def test_an_answer_lets_go_of_what_it_leaves_out(made: Made) -> None:
    made.grant()
    made.replace(GrantRow(OTHER_HALF, 1), sent_at=1.0, now=1.2)
    assert not made.holds.holds(100, 1.2)
    assert made.holds.holds(150, 1.0 + REAL_HOLD_S - 0.001)
    assert not made.holds.holds(150, 1.0 + REAL_HOLD_S)  # counted from when the heartbeat was sent
    assert made.holds.is_letting_go(1.2)
    made.holds.end_releases(1.3)
    assert made.holds.released_rows() == [ReleasedRow(HALF, "h1")]


def test_keys_are_told_as_released_once_their_work_has_ended_until_that_is_acknowledged(made: Made) -> None:
    made.grant()
    number = made.holds.begin_work(120, 0.5)
    made.replace(sent_at=1.0, now=1.0)
    made.holds.end_releases(1.1)
    assert made.holds.released_rows() == []
    made.holds.end_work(number, 1.2)
    made.holds.end_releases(1.3)
    released = made.holds.released_rows()
    assert released == [ReleasedRow(KEYS, "h1")]
    assert made.holds.released_rows() == released  # the heartbeat was lost
    made.holds.on_told(released)
    assert made.holds.released_rows() == []
    assert not made.holds.is_letting_go(1.4)


def test_a_hold_that_has_run_out_is_not_told_as_released(made: Made) -> None:
    made.grant()
    made.replace(sent_at=REAL_HOLD_S, now=REAL_HOLD_S)
    made.holds.end_releases(REAL_HOLD_S + 0.1)
    assert made.holds.released_rows() == []


def test_a_hold_that_runs_out_while_work_on_its_released_keys_goes_on_is_not_told(made: Made) -> None:
    made.grant()
    number = made.holds.begin_work(120, 1.0)
    made.replace(sent_at=1.0, now=1.0)
    assert not made.holds.end_work(number, REAL_HOLD_S + 0.1)
    made.holds.end_releases(REAL_HOLD_S + 0.1)
    assert made.holds.released_rows() == []


def test_a_row_with_a_lower_fence_is_not_taken_and_the_others_are(made: Made) -> None:
    made.grant(HALF, fence=5)
    made.replace(GrantRow(HALF, 4), GrantRow(OTHER_HALF, 4), sent_at=1.0, now=1.0)
    assert made.holds.held_rows(1.0) == [HoldRow(HALF, 5), HoldRow(OTHER_HALF, 4)]
    assert not made.holds.holds(100, REAL_HOLD_S)  # not renewed
    assert made.holds.holds(150, REAL_HOLD_S)


def test_an_answer_that_comes_after_its_hold_holds_nothing(made: Made) -> None:
    made.replace(GrantRow(KEYS, 1), sent_at=0.0, now=REAL_HOLD_S)
    assert not made.holds.holds(100, REAL_HOLD_S)


def test_the_events_tell_when_keys_are_held_and_let_go(made: Made) -> None:
    made.grant(now=1.0)
    made.holds.let_go(HALF, 2.0)
    made.holds.end(3.0)
    assert made.events == [
        HoldEvent("s1", 1.0, KEYS, 1.0 + REAL_HOLD_S),
        HoldEvent("s1", 2.0, HALF, 2.0),
        HoldEvent("s1", 3.0, ALL_KEYS, 3.0),
    ]
    assert not made.holds.holds(150, 3.0)


def test_keys_are_cold_that_came_without_the_handover_of_their_last_holder() -> None:
    states = KeyStates()
    first, second = Made(states), Made(states)
    first.grant()
    assert not first.holds.is_cold(100, 0.0)  # nobody held it before
    handover = first.release(HALF, 1.0)
    second.grant(KEYS, fence=2, now=1.0, handover=handover)
    assert [second.holds.is_cold(key, 1.0) for key in (100, 150)] == [False, True]  # half was not released
    assert not second.holds.is_cold(150, 1.0 + WARM_S)


@pytest.mark.parametrize("handover", ["", "old"])
def test_a_handover_that_is_missing_or_of_an_earlier_holder_leaves_keys_cold(handover: str) -> None:
    states = KeyStates()
    first, second = Made(states), Made(states)
    first.grant()
    first.release(now=1.0)
    second.grant(fence=2, now=1.0, handover=handover)
    assert second.holds.is_cold(100, 1.0)


def test_keys_are_cold_after_a_hold_that_ran_out_and_a_renewal_changes_nothing(made: Made) -> None:
    made.grant()
    made.grant(now=3.0)
    assert not made.holds.is_cold(100, 3.0)
    made.grant(now=10.0)
    made.grant(now=10.5)
    assert made.holds.is_cold(100, 10.5)
