"""What clients do after a try, the textbook policies, and the rig's own lateness. No sockets."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rehearsal.clients.policy import (
    BROKEN,
    FAILED,
    LEFT,
    REFUSED,
    SERVED,
    SILENT,
    UNTAKEN,
    WRONG,
    Textbook,
    wait_before_retry,
)
from rehearsal.plan import Call
from rehearsal.worker import Lateness

ALL = (SERVED, REFUSED, FAILED, BROKEN, UNTAKEN, SILENT, WRONG, LEFT)


def call(retries=3, pause_us=50_000, honour=0):
    return Call(0, 0, 0, 0, 80_000, 400_000, retries, pause_us, honour, 0, 0)


def wait(outcome, repeat="free", tries=1, retry_after=None, **changes):
    return wait_before_retry(call(**changes), repeat, tries, outcome, retry_after, 2_000_000)


def test_what_is_safe_is_tried_again_after_anything_but_an_answer():
    assert {o for o in ALL if wait(o) is not None} == {REFUSED, FAILED, BROKEN, UNTAKEN, SILENT}
    assert {o for o in ALL if wait(o, "keyed") is not None} == {REFUSED, FAILED, BROKEN, UNTAKEN, SILENT}


def test_what_may_not_run_twice_is_tried_again_only_where_it_cannot_have_run():
    assert {o for o in ALL if wait(o, "unsafe") is not None} == {REFUSED, UNTAKEN}


def test_retries_end_and_come_at_once_or_after_their_pause():
    assert [wait(REFUSED, tries=n) for n in (1, 2, 3, 4)] == [50_000] * 3 + [None]
    assert wait(REFUSED, pause_us=0) == 0


def test_retry_after_is_honoured_by_those_who_do_and_within_bounds():
    assert wait(REFUSED, retry_after=500_000) == 50_000
    assert wait(REFUSED, retry_after=500_000, honour=1) == 500_000
    assert wait(REFUSED, retry_after=10, honour=1) == 50_000
    assert wait(REFUSED, retry_after=10**9, honour=1) == 2_000_000
    assert wait(FAILED, retry_after=500_000, honour=1) == 50_000


def listing(*rows, whole=True):
    lines = [{"name": n, "address": f"h:{n}", "status": s} for n, s in rows]
    return {"snapshot": whole, "endpoints": lines}


def test_a_textbook_client_follows_the_list():
    book = Textbook("round-robin", "seed")
    assert book.pick() is None
    book.update(listing(("a", "SERVING"), ("b", "SERVING"), ("c", "DRAINING")))
    assert sorted(book.pick() for _ in range(4)) == ["h:a", "h:a", "h:b", "h:b"]
    book.update(listing(("a", "DELETED"), ("c", "SERVING"), whole=False))
    assert sorted(book.pick() for _ in range(4)) == ["h:b", "h:b", "h:c", "h:c"]
    book.update(listing(("z", "SERVING")))
    assert {book.pick() for _ in range(4)} == {"h:z"}


def test_no_such_policy():
    with pytest.raises(ValueError, match="random, round-robin, least-inflight"):
        Textbook("best", "seed")


@given(st.lists(st.booleans(), max_size=80))
def test_least_inflight_never_picks_one_with_more_than_another(steps):
    book = Textbook("least-inflight", "seed")
    names = "abcde"
    book.update(listing(*((n, "SERVING") for n in names)))
    held = dict.fromkeys((f"h:{n}" for n in names), 0)
    for begin in steps:
        if begin:
            address = book.pick()
            assert held[address] == min(held.values())
            held[address] += 1
        elif any(held.values()):
            address = max(held, key=lambda a: held[a])
            held[address] -= 1
            book.ended(address)


def test_a_standstill_counts_for_all_that_was_due_in_it():
    """Else a rig that stood still for a tenth of a play would show one late beat among hundreds."""
    late = Lateness()
    for _ in range(450):
        late.beat(100, 20_000)
    late.beat(1_000_000, 20_000)
    for _ in range(100_000):
        late.add(0)  # much work on time hides nothing
    assert late.quantile(0.99) > 800
    assert late.quantile(0.5) < 1
    assert Lateness().quantile(0.99) == 0.0
