"""The age of a request, estimated from the remaining time that its client announces."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mesh.proxy.request_age import MIN_SAMPLES, WINDOW_SAMPLES, RequestAges


def ages_after(*remaining_times, route_timeout_s=3.0):
    ages = RequestAges()
    found = [ages.age(remaining_s, route_timeout_s) for remaining_s in remaining_times]
    return ages, found


def test_a_first_attempt_has_age_zero_and_a_later_one_the_time_it_lacks():
    ages, found = ages_after(*[3.0] * MIN_SAMPLES)
    assert set(found) == {0.0}
    assert ages.age(1.2, 3.0) == pytest.approx(1.8)


def test_before_enough_samples_the_route_timeout_stands_for_the_full_time():
    _, found = ages_after(1.2, 1.1)
    assert found == pytest.approx([1.8, 1.9]), "after a restart the first requests to arrive are all retries"


def test_a_raised_timeout_does_not_make_requests_old():
    ages, _ = ages_after(*[3.0] * MIN_SAMPLES)
    assert ages.age(3.0, 4.5) == 0.0
    fresh, _ = ages_after(*[3.0] * MIN_SAMPLES, route_timeout_s=4.5)
    assert fresh.age(3.0, 4.5) == 0.0, "once clients have shown that their timeout is unchanged"


def test_a_shorter_client_timeout_is_adopted_after_two_windows():
    ages, _ = ages_after(*[3.0] * WINDOW_SAMPLES)
    found = [ages.age(2.0, 3.0) for _ in range(2 * WINDOW_SAMPLES)]
    assert found[0] == pytest.approx(1.0) and found[-1] == 0.0


@given(st.lists(st.floats(0.001, 10.0), max_size=300), st.floats(0.001, 10.0))
def test_no_age_is_negative_or_beyond_the_longest_announced_time(remaining_times, route_timeout_s):
    ages = RequestAges()
    for at, remaining_s in enumerate(remaining_times):
        age = ages.age(remaining_s, route_timeout_s)
        assert 0.0 <= age <= max([route_timeout_s, *remaining_times[: at + 1]]) - remaining_s + 1e-9
