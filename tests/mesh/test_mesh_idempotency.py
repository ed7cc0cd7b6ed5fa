"""Keys: what a controller grants, and what a claimant makes of the answers."""

import pytest

from mesh.state.idempotency import (
    NOBODY,
    PART_BYTES,
    ROW_BYTES,
    Claim,
    Grant,
    Mark,
    Registry,
    Verdict,
    row_of,
)

LIMIT = 1.0


def registry():
    return Registry(60.0)


# --- one controller


def test_a_key_goes_to_the_first_token_and_again_only_to_it():
    made = registry()
    assert made.claim(0.0, "k", "a", 5.0) == (Grant("a", Mark.CLAIMED, 5.0, 60.0), True)
    assert made.claim(1.0, "k", "b", 5.0) == (Grant("a", Mark.CLAIMED, 5.0, 60.0), False)
    assert made.claim(2.0, "k", "a", 5.0) == (Grant("a", Mark.CLAIMED, 5.0, 60.0), False)
    assert made.claim(2.0, "other", "b", 5.0)[1]
    assert len(made) == 2


def test_an_answer_stays_whoever_asks_and_whatever_is_told_later():
    made = registry()
    made.claim(0.0, "k", "a", 5.0)
    assert made.done(1.0, "k", "a", [200, [], b"x"])
    assert not made.done(2.0, "k", "a", [500, [], b"y"])
    assert not made.broke(2.0, "k", "a")
    assert not made.free(2.0, "k", "a")
    grant, fresh = made.claim(30.0, "k", "b", 5.0)
    assert not fresh and grant.mark == Mark.DONE and grant.answer == [200, [], b"x"]


def test_an_answer_is_kept_where_no_claim_was_and_over_another_claim():
    made = registry()
    assert made.done(0.0, "k", "a", [200, [], b"x"])
    made.claim(0.0, "l", "b", 5.0)
    assert made.done(1.0, "l", "a", [201, [], b""])
    assert made.look(1.0, "k").answer == [200, [], b"x"]
    assert made.look(1.0, "l")[:2] == ("a", Mark.DONE)


def test_a_claim_without_an_answer_is_broken_when_its_time_is_over():
    made = registry()
    made.claim(0.0, "k", "a", 5.0)
    assert made.look(4.9, "k").mark == Mark.CLAIMED
    assert made.claim(5.0, "k", "b", 5.0) == (Grant("a", Mark.BROKEN, 5.0, 60.0), False)
    assert made.done(6.0, "k", "a", [200, [], b""])
    assert made.look(6.0, "k").mark == Mark.DONE


def test_only_the_holder_breaks_or_frees_its_claim():
    made = registry()
    made.claim(0.0, "k", "a", 5.0)
    assert not made.free(1.0, "k", "b") and not made.broke(1.0, "k", "b") and not made.free(1.0, "no", "a")
    assert made.broke(1.0, "k", "a") and not made.broke(1.0, "k", "a")
    assert made.look(1.0, "k").mark == Mark.BROKEN
    made.claim(0.0, "l", "a", 5.0)
    assert made.free(1.0, "l", "a") and made.look(1.0, "l") is None
    assert made.claim(1.0, "l", "b", 5.0)[1]
    assert not made.free(1.0, "l", "a")


def test_everything_is_forgotten_after_the_window():
    made = registry()
    for i in range(12):
        made.claim(float(i), f"k{i}", "a", 5.0)
    made.done(20.0, "k3", "a", [200, [], b""])
    assert made.look(59.9, "k0") is not None
    assert made.look(60.0, "k0") is None and made.look(60.0, "k1") is not None
    for i in range(12):
        assert made.look(70.0 + i, f"k{i}") is None or i > 10 + i
    made.look(90.0, "k0")
    assert len(made) == 0


def test_rows_carry_ages_so_another_clock_takes_them_as_they_are():
    one, other = registry(), registry()
    one.claim(100.0, "k", "a", 5.0)
    one.done(101.0, "l", "b", [200, [], b"x"])
    other.take(7.0, one.rows(102.0))
    assert other.rows(7.0) == one.rows(102.0) == [one.row(102.0, "k"), one.row(102.0, "l")]
    assert other.look(9.9, "k").mark == Mark.CLAIMED and other.look(10.0, "k").mark == Mark.BROKEN
    assert other.look(64.9, "k") is not None and other.look(65.0, "k") is None


@pytest.mark.parametrize(
    ("mine", "theirs", "wins"),
    [
        (None, Mark.CLAIMED, "theirs"),
        (None, Mark.BROKEN, "theirs"),
        (None, Mark.DONE, "theirs"),
        (Mark.CLAIMED, Mark.DONE, "theirs"),
        (Mark.BROKEN, Mark.DONE, "theirs"),
        (Mark.CLAIMED, Mark.CLAIMED, NOBODY),
        (Mark.DONE, Mark.CLAIMED, "mine"),
        (Mark.DONE, Mark.BROKEN, "mine"),
        (Mark.DONE, Mark.DONE, "mine"),
    ],
)
def test_of_two_that_know_a_key_an_answer_wins_over_a_claim_and_a_claim_over_nothing(mine, theirs, wins):
    made = registry()
    if mine is not None:
        made.take(0.0, [row_of(0.0, "k", Grant("mine", mine, 5.0, 60.0, [1, [], b""]))])
    rows = [row_of(0.0, "k", Grant("theirs", theirs, 5.0, 60.0, [2, [], b""]))]
    made.take(0.0, rows)
    assert made.look(0.0, "k").token == wins
    before = made.rows(0.0)
    made.take(0.0, rows)
    assert made.rows(0.0) == before


# --- one claimant


def claim(controllers=3, enough=2):
    return Claim(controllers, enough, 0.0, LIMIT)


def test_it_runs_with_enough_grants_and_no_sooner():
    made = claim()
    assert made.verdict(0.0) == Verdict.WAIT
    made.granted("x")
    made.granted("x")
    assert made.verdict(0.1) == Verdict.WAIT
    made.granted("y")
    assert made.verdict(0.2) == Verdict.RUN


def test_a_slow_round_never_runs():
    made = claim()
    for controller in "xyz":
        made.granted(controller)
    assert made.verdict(LIMIT) == Verdict.RUN
    assert made.verdict(LIMIT + 0.001) == Verdict.AGAIN


def test_an_answer_is_repeated_whatever_else_was_said():
    made = claim()
    made.granted("x")
    made.held("y", "b", Mark.DONE, [200, [], b"x"])
    assert made.verdict(0.1) == Verdict.REPEAT and made.answer == [200, [], b"x"]
    made.granted("z")
    assert made.verdict(LIMIT + 1) == Verdict.REPEAT


def test_held_by_enough_is_at_work_and_broken_is_lost():
    made = claim()
    made.held("x", "b", Mark.CLAIMED, None)
    assert made.verdict(0.1) == Verdict.WAIT
    made.held("y", "b", Mark.CLAIMED, None)
    assert made.verdict(0.1) == Verdict.AT_WORK
    made.held("z", "b", Mark.BROKEN, None)
    assert made.verdict(0.1) == Verdict.LOST


def test_nobody_with_enough_means_again():
    made = claim()
    made.granted("x")
    made.held("y", "b", Mark.CLAIMED, None)
    assert made.verdict(0.1) == Verdict.WAIT
    made.held("z", "c", Mark.CLAIMED, None)
    assert made.verdict(0.1) == Verdict.AGAIN


def test_too_few_controllers_that_can_grant_mean_again():
    made = claim()
    made.failed("x")
    assert made.verdict(0.1) == Verdict.WAIT
    made.silent("y")
    assert made.verdict(0.1) == Verdict.AGAIN


def test_a_controller_that_fails_after_it_has_answered_still_counts():
    made = claim()
    for controller in "xy":
        made.granted(controller)
        made.failed(controller)
    assert made.verdict(0.1) == Verdict.RUN


# --- two claimants, and a disk that was lost; all ways in which they can meet: `tests/verify/`


@pytest.mark.parametrize("waits", [False, True])
def test_a_lost_disk_counts_only_when_all_rounds_from_before_are_void(waits):
    """One controller grants `a`, loses its disk, and reads the others, which know nothing of `a` as yet."""
    first = claim()
    assert registry().claim(0.0, "k", "a", 5.0)[1]
    first.granted("x")
    now = LIMIT + 0.1 if waits else 0.1
    x, y, z = registry(), registry(), registry()
    x.take(now, [*y.rows(now), *z.rows(now)])
    second = Claim(3, 2, now, LIMIT)
    for name, controller in (("x", x), ("z", z)):
        assert controller.claim(now, "k", "b", 5.0)[1]
        second.granted(name)
    assert y.claim(now, "k", "a", 5.0)[1]
    first.granted("y")
    assert second.verdict(now) == Verdict.RUN
    assert first.verdict(now) == (Verdict.AGAIN if waits else Verdict.RUN)


@pytest.mark.parametrize("count", [0, 1, 700, 5000])
def test_grants_are_told_in_parts_that_hold_all_of_one_moment(count):
    made, other = Registry(60.0), Registry(60.0)
    for number in range(count):
        made.claim(0.0, f"k{number}", f"t{number}", 5.0)
        if number % 3 == 0:
            made.done(0.0, f"k{number}", f"t{number}", [200, [], b"x" * 900])
    snapshot = made.snapshot(0.0)
    for number in range(0, count, 2):  # what changes meanwhile changes no part
        made.free(0.1, f"k{number}", f"t{number}")
    made.claim(0.1, "late", "t", 5.0)
    parts, more = 0, True
    while more:
        rows, more = snapshot.part(0.2, parts)
        size = sum(ROW_BYTES + (900 if row.answer else 0) for row in rows)
        assert size <= PART_BYTES or len(rows) == 1
        other.take(0.2, rows)
        parts += 1
    assert parts == snapshot.parts and len(other) == count and other.look(0.2, "late") is None
    assert snapshot.part(0.2, parts) == ((), False)


def test_a_grant_that_is_larger_than_a_part_is_told_alone():
    made = Registry(60.0)
    for number in range(3):
        made.claim(0.0, f"k{number}", "t", 5.0)
        made.done(0.0, f"k{number}", "t", [200, [], b"x" * (2 * PART_BYTES)])
    snapshot = made.snapshot(0.0)
    assert [len(snapshot.part(0.0, at)[0]) for at in range(snapshot.parts)] == [1, 1, 1]
