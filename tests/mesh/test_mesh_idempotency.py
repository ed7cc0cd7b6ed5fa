"""Idempotency keys: the grants of a controller, and a claimant's decision from several responses."""

import pytest

from mesh.state.idempotency import (
    NO_TOKEN,
    PART_BYTES,
    ROW_BYTES,
    Claim,
    ClaimDecision,
    Grant,
    OperationStatus,
    Registry,
    grant_to_row,
)

LIMIT = 1.0


def registry():
    return Registry(60.0)


# --- one controller


def test_a_key_is_granted_only_to_the_first_token():
    made = registry()
    assert made.claim(0.0, "k", "a", 5.0) == (Grant("a", OperationStatus.CLAIMED, 5.0, 60.0), True)
    assert made.claim(1.0, "k", "b", 5.0) == (Grant("a", OperationStatus.CLAIMED, 5.0, 60.0), False)
    assert made.claim(2.0, "k", "a", 5.0) == (Grant("a", OperationStatus.CLAIMED, 5.0, 60.0), False)
    assert made.claim(2.0, "other", "b", 5.0)[1]
    assert len(made) == 2


def test_a_stored_response_is_never_replaced():
    made = registry()
    made.claim(0.0, "k", "a", 5.0)
    assert made.complete(1.0, "k", "a", [200, [], b"x"])
    assert not made.complete(2.0, "k", "a", [500, [], b"y"])
    assert not made.mark_broken(2.0, "k", "a")
    assert not made.release(2.0, "k", "a")
    grant, fresh = made.claim(30.0, "k", "b", 5.0)
    assert not fresh and grant.status == OperationStatus.DONE and grant.response == [200, [], b"x"]


def test_a_response_is_stored_without_a_claim_and_over_another_claim():
    made = registry()
    assert made.complete(0.0, "k", "a", [200, [], b"x"])
    made.claim(0.0, "l", "b", 5.0)
    assert made.complete(1.0, "l", "a", [201, [], b""])
    assert made.get(1.0, "k").response == [200, [], b"x"]
    assert made.get(1.0, "l")[:2] == ("a", OperationStatus.DONE)


def test_a_claim_without_a_response_is_broken_after_its_time():
    made = registry()
    made.claim(0.0, "k", "a", 5.0)
    assert made.get(4.9, "k").status == OperationStatus.CLAIMED
    assert made.claim(5.0, "k", "b", 5.0) == (Grant("a", OperationStatus.BROKEN, 5.0, 60.0), False)
    assert made.complete(6.0, "k", "a", [200, [], b""])
    assert made.get(6.0, "k").status == OperationStatus.DONE


def test_only_the_holder_breaks_or_releases_its_claim():
    made = registry()
    made.claim(0.0, "k", "a", 5.0)
    assert (
        not made.release(1.0, "k", "b")
        and not made.mark_broken(1.0, "k", "b")
        and not made.release(1.0, "no", "a")
    )
    assert made.mark_broken(1.0, "k", "a") and not made.mark_broken(1.0, "k", "a")
    assert made.get(1.0, "k").status == OperationStatus.BROKEN
    made.claim(0.0, "l", "a", 5.0)
    assert made.release(1.0, "l", "a") and made.get(1.0, "l") is None
    assert made.claim(1.0, "l", "b", 5.0)[1]
    assert not made.release(1.0, "l", "a")


def test_grants_expire_after_the_window():
    made = registry()
    for i in range(12):
        made.claim(float(i), f"k{i}", "a", 5.0)
    made.complete(20.0, "k3", "a", [200, [], b""])
    assert made.get(59.9, "k0") is not None
    assert made.get(60.0, "k0") is None and made.get(60.0, "k1") is not None
    for i in range(12):
        assert made.get(70.0 + i, f"k{i}") is None or i > 10 + i
    made.get(90.0, "k0")
    assert len(made) == 0


def test_rows_carry_ages_and_do_not_depend_on_the_clock():
    one, other = registry(), registry()
    one.claim(100.0, "k", "a", 5.0)
    one.complete(101.0, "l", "b", [200, [], b"x"])
    other.merge(7.0, one.rows(102.0))
    assert other.rows(7.0) == one.rows(102.0) == [one.row(102.0, "k"), one.row(102.0, "l")]
    assert (
        other.get(9.9, "k").status == OperationStatus.CLAIMED
        and other.get(10.0, "k").status == OperationStatus.BROKEN
    )
    assert other.get(64.9, "k") is not None and other.get(65.0, "k") is None


@pytest.mark.parametrize(
    ("mine", "theirs", "wins"),
    [
        (None, OperationStatus.CLAIMED, "theirs"),
        (None, OperationStatus.BROKEN, "theirs"),
        (None, OperationStatus.DONE, "theirs"),
        (OperationStatus.CLAIMED, OperationStatus.DONE, "theirs"),
        (OperationStatus.BROKEN, OperationStatus.DONE, "theirs"),
        (OperationStatus.CLAIMED, OperationStatus.CLAIMED, NO_TOKEN),
        (OperationStatus.DONE, OperationStatus.CLAIMED, "mine"),
        (OperationStatus.DONE, OperationStatus.BROKEN, "mine"),
        (OperationStatus.DONE, OperationStatus.DONE, "mine"),
    ],
)
def test_merging_prefers_a_response_over_a_claim_and_a_claim_over_no_grant(mine, theirs, wins):
    made = registry()
    if mine is not None:
        made.merge(0.0, [grant_to_row(0.0, "k", Grant("mine", mine, 5.0, 60.0, [1, [], b""]))])
    rows = [grant_to_row(0.0, "k", Grant("theirs", theirs, 5.0, 60.0, [2, [], b""]))]
    made.merge(0.0, rows)
    assert made.get(0.0, "k").token == wins
    before = made.rows(0.0)
    made.merge(0.0, rows)
    assert made.rows(0.0) == before


# --- one claimant


def claim(controllers=3, enough=2):
    return Claim(controllers, enough, 0.0, LIMIT)


def test_a_claim_runs_only_with_enough_grants():
    made = claim()
    assert made.decision(0.0) == ClaimDecision.WAIT
    made.on_granted("x")
    made.on_granted("x")
    assert made.decision(0.1) == ClaimDecision.WAIT
    made.on_granted("y")
    assert made.decision(0.2) == ClaimDecision.RUN


def test_a_claim_does_not_run_after_its_time_limit():
    made = claim()
    for controller in "xyz":
        made.on_granted(controller)
    assert made.decision(LIMIT) == ClaimDecision.RUN
    assert made.decision(LIMIT + 0.001) == ClaimDecision.AGAIN


def test_a_stored_response_is_repeated_despite_other_responses():
    made = claim()
    made.on_granted("x")
    made.on_held_by_other("y", "b", OperationStatus.DONE, [200, [], b"x"])
    assert made.decision(0.1) == ClaimDecision.REPEAT and made.response == [200, [], b"x"]
    made.on_granted("z")
    assert made.decision(LIMIT + 1) == ClaimDecision.REPEAT


def test_a_key_held_by_enough_is_at_work_and_a_broken_one_is_lost():
    made = claim()
    made.on_held_by_other("x", "b", OperationStatus.CLAIMED, None)
    assert made.decision(0.1) == ClaimDecision.WAIT
    made.on_held_by_other("y", "b", OperationStatus.CLAIMED, None)
    assert made.decision(0.1) == ClaimDecision.AT_WORK
    made.on_held_by_other("z", "b", OperationStatus.BROKEN, None)
    assert made.decision(0.1) == ClaimDecision.LOST


def test_a_claim_is_retried_if_no_token_has_enough_grants():
    made = claim()
    made.on_granted("x")
    made.on_held_by_other("y", "b", OperationStatus.CLAIMED, None)
    assert made.decision(0.1) == ClaimDecision.WAIT
    made.on_held_by_other("z", "c", OperationStatus.CLAIMED, None)
    assert made.decision(0.1) == ClaimDecision.AGAIN


def test_a_claim_is_retried_if_too_few_controllers_can_grant():
    made = claim()
    made.on_unavailable("x")
    assert made.decision(0.1) == ClaimDecision.WAIT
    made.on_timeout("y")
    assert made.decision(0.1) == ClaimDecision.AGAIN


def test_a_grant_counts_although_its_controller_fails_later():
    made = claim()
    for controller in "xy":
        made.on_granted(controller)
        made.on_unavailable(controller)
    assert made.decision(0.1) == ClaimDecision.RUN


# --- two claimants and a lost disk; `tests/verify/` explores all their interleavings


@pytest.mark.parametrize("waits", [False, True])
def test_a_lost_disk_must_not_grant_before_earlier_rounds_are_void(waits):
    """One controller grants `a`, loses its disk, and reads from the others, which do not know `a` yet."""
    first = claim()
    assert registry().claim(0.0, "k", "a", 5.0)[1]
    first.on_granted("x")
    now = LIMIT + 0.1 if waits else 0.1
    x, y, z = registry(), registry(), registry()
    x.merge(now, [*y.rows(now), *z.rows(now)])
    second = Claim(3, 2, now, LIMIT)
    for name, controller in (("x", x), ("z", z)):
        assert controller.claim(now, "k", "b", 5.0)[1]
        second.on_granted(name)
    assert y.claim(now, "k", "a", 5.0)[1]
    first.on_granted("y")
    assert second.decision(now) == ClaimDecision.RUN
    assert first.decision(now) == (ClaimDecision.AGAIN if waits else ClaimDecision.RUN)


@pytest.mark.parametrize("count", [0, 1, 700, 5000])
def test_the_parts_of_a_snapshot_hold_all_grants_of_one_moment(count):
    made, other = Registry(60.0), Registry(60.0)
    for number in range(count):
        made.claim(0.0, f"k{number}", f"t{number}", 5.0)
        if number % 3 == 0:
            made.complete(0.0, f"k{number}", f"t{number}", [200, [], b"x" * 900])
    snapshot = made.snapshot(0.0)
    for number in range(0, count, 2):  # later changes do not affect the parts
        made.release(0.1, f"k{number}", f"t{number}")
    made.claim(0.1, "late", "t", 5.0)
    parts, more = 0, True
    while more:
        rows, more = snapshot.part(0.2, parts)
        size = sum(ROW_BYTES + (900 if row.response else 0) for row in rows)
        assert size <= PART_BYTES or len(rows) == 1
        other.merge(0.2, rows)
        parts += 1
    assert parts == snapshot.parts and len(other) == count and other.get(0.2, "late") is None
    assert snapshot.part(0.2, parts) == ((), False)


def test_a_grant_larger_than_a_part_is_sent_alone():
    made = Registry(60.0)
    for number in range(3):
        made.claim(0.0, f"k{number}", "t", 5.0)
        made.complete(0.0, f"k{number}", "t", [200, [], b"x" * (2 * PART_BYTES)])
    snapshot = made.snapshot(0.0)
    assert [len(snapshot.part(0.0, at)[0]) for at in range(snapshot.parts)] == [1, 1, 1]
