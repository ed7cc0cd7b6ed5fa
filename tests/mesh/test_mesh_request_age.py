"""How long a request has been under way, told by its client's time: no bench, no clock."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mesh.proxy.request_age import MIN_SAMPLES, SPAN, RequestAges


def heard(*lefts, timeout=3.0):
    ages = RequestAges()
    found = [ages.age(left, timeout) for left in lefts]
    return ages, found


def test_a_first_try_has_spent_nothing_and_a_later_one_what_it_lacks():
    ages, found = heard(*[3.0] * MIN_SAMPLES)
    assert set(found) == {0.0}
    assert ages.age(1.2, 3.0) == pytest.approx(1.8)


def test_before_enough_is_heard_the_time_out_stands_for_a_whole_try():
    _, found = heard(1.2, 1.1)
    assert found == pytest.approx([1.8, 1.9]), "after a restart the first that come have all been lost before"


def test_a_time_out_that_was_raised_makes_no_request_old():
    ages, _ = heard(*[3.0] * MIN_SAMPLES)
    assert ages.age(3.0, 4.5) == 0.0
    fresh, _ = heard(*[3.0] * MIN_SAMPLES, timeout=4.5)
    assert fresh.age(3.0, 4.5) == 0.0, "once clients have shown that they did not follow"


def test_clients_that_give_less_from_some_day_on_are_understood_after_two_spans():
    ages, _ = heard(*[3.0] * SPAN)
    found = [ages.age(2.0, 3.0) for _ in range(2 * SPAN)]
    assert found[0] == pytest.approx(1.0) and found[-1] == 0.0


@given(st.lists(st.floats(0.001, 10.0), max_size=300), st.floats(0.001, 10.0))
def test_no_age_is_below_nothing_nor_beyond_the_longest_that_was_told(lefts, timeout):
    ages = RequestAges()
    for at, left in enumerate(lefts):
        age = ages.age(left, timeout)
        assert 0.0 <= age <= max([timeout, *lefts[: at + 1]]) - left + 1e-9
