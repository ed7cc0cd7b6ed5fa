"""The concurrency budget of a server, the retry budget of all sidecars, and the choice of an endpoint."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dunefield.budget import MAX_STEPS, Budget
from mesh.proxy.endpoints import (
    MAX_REPORT_AGE_S,
    MAX_ROUTES,
    Endpoint,
    OwnZonePreference,
    have_recent_reports,
    least_loaded,
    sample_candidates,
)
from mesh.proxy.retry_budget import RetryBudget

MS = 1_000_000


def budget(most=MAX_STEPS):
    return Budget(1.0, most)


def trial(made, now=0, served=True, random=lambda: 0.5):
    """Runs one trial to its end."""
    assert made.check_admission(now, made.limit) == (True, True)
    made.trial_in_flight = True
    assert made.check_admission(now, made.limit) == (False, False)
    made.trial_in_flight = False
    if served:
        made.raise_concurrency()
        made.add_step()
    else:
        made.back_off(now, 100 * MS, 1000 * MS, random)


def grown(to, most=MAX_STEPS):
    made = budget(most)
    while made.steps < to:
        trial(made)
    return made


# --- the concurrency budget of one server


def test_steps_start_at_one_and_each_served_trial_adds_one_up_to_the_maximum():
    made = budget(4)
    assert (made.steps, made.limit) == (1, 1)
    for k in (2, 3, 4):
        trial(made)
        assert made.steps == made.limit == k
    assert made.check_admission(0, 3) == (True, False)
    assert made.check_admission(0, 4) == (False, False)
    made.add_step()
    assert made.steps == 4
    assert Budget(1.0, 0).limit == 1
    assert (Budget(1.0, 9, 5).steps, Budget(1.0, 3, 5).steps, Budget(1.0, 9, 0).steps) == (5, 3, 1)


def test_only_one_trial_runs_at_a_time_beside_calls_within_the_budget():
    made = grown(2)
    made.trial_in_flight = True
    assert made.check_admission(0, 2) == (False, False) and made.check_admission(0, 1) == (True, False)


def test_backoff_blocks_only_growth():
    made = grown(3)
    trial(made, served=False)
    assert made.steps == 3 and made.retry_at == 100 * MS
    assert made.check_admission(1, 2) == (True, False)
    assert made.check_admission(100 * MS - 1, 3) == (False, False)
    assert made.check_admission(100 * MS, 3) == (True, True)


def test_backoff_doubles_up_to_its_maximum_and_is_reset_by_a_served_trial():
    made, waits, now = budget(), [], 0
    for _ in range(6):
        trial(made, now, served=False)
        waits.append(made.backoff // MS)
        now = made.retry_at
    assert waits == [100, 200, 400, 800, 1000, 1000]
    trial(made, now, served=False, random=lambda: 0.0)
    assert made.retry_at == now + 750 * MS
    trial(made, made.retry_at)
    assert made.backoff == made.retry_at == 0


def test_at_zero_steps_one_trial_is_permitted_after_the_backoff():
    made = grown(2)
    made.remove_step()
    assert made.steps == 1 and made.backoff == 0
    made.remove_step()
    made.start_backoff(0, 100 * MS, lambda: 0.5)
    assert made.steps == 0 and made.limit == 0 and made.retry_at == 100 * MS
    made.remove_step()
    assert made.steps == 0
    assert made.check_admission(100 * MS - 1, 0) == (False, False)
    trial(made, 100 * MS)
    assert made.steps == 1 and made.check_admission(100 * MS, 0) == (True, False)


def test_a_refusal_lowers_the_concurrency_and_served_calls_raise_it():
    made = grown(10)
    made.lower_concurrency()
    assert made.limit == 7 and made.steps == 10
    for _ in range(20):
        made.lower_concurrency()
    assert made.limit == 1
    for _ in range(100):
        made.raise_concurrency()
    assert made.concurrency == made.max_concurrency and made.limit == 10


def test_renew_resets_the_state():
    made = grown(7)
    made.lower_concurrency()
    trial(made, served=False)
    made.reset_budget(2)
    assert (made.steps, made.concurrency, made.trial_in_flight, made.backoff, made.retry_at) == (
        2,
        1.0,
        False,
        0,
        0,
    )


EVENTS = ["send", "served", "failed", "full", "broken"]


@given(st.integers(1, 12), st.lists(st.sampled_from(EVENTS), max_size=80))
def test_calls_in_flight_stay_within_the_budget(most, events):
    made, out, now = budget(most), [], 0
    for event in events:
        now += 50 * MS
        if event == "send":
            goes, is_trial = made.check_admission(now, len(out))
            if goes:
                assert len(out) < made.limit + is_trial
                assert not (is_trial and made.trial_in_flight)
                made.trial_in_flight = made.trial_in_flight or is_trial
                out.append(is_trial)
        elif out:
            was_trial = out.pop(0)
            if was_trial:
                made.trial_in_flight = False
            if event == "served":
                made.raise_concurrency()
                if was_trial:
                    made.add_step()
            elif was_trial:
                made.back_off(now, 100 * MS, 1000 * MS, lambda: 0.5)
            if event == "full":
                made.lower_concurrency()
            if event == "broken":
                made.remove_step()
        assert 0 <= made.steps <= most and made.limit <= most
        assert sum(out) == made.trial_in_flight


# --- the retry budget of all sidecars


@given(
    st.integers(1, 4),
    st.sampled_from((0.0, 0.1, 0.25, 1.0)),
    st.sampled_from((0, 1, 8)),
    st.lists(st.tuples(st.integers(0, 40), st.integers(0, 3), st.integers(0, 6)), max_size=120),
)
def test_retries_of_all_sidecars_stay_within_the_ratio(sidecars, ratio, slack, events):
    window = 16.0
    retry_budgets = [RetryBudget(ratio, window, slack) for _ in range(sidecars)]
    now, asked, retry_times = 0.0, [], []
    for step, who, tries in events:
        now += step / 8
        retry_budget = retry_budgets[who % sidecars]
        retry_budget.record_request(now)
        asked.append(now)
        retry_times += [now for _ in range(tries) if retry_budget.try_acquire(now, sidecars)]

    def count(times, end):
        return sum(end - window <= at <= end for at in times)

    for end in sorted({*asked, *(at + window for at in asked)}):
        most = max(count(asked, end), count(asked, end - window / 2), count(asked, end - window))
        assert count(retry_times, end) <= ratio * most + slack


def test_under_steady_load_a_useful_share_of_retries_is_permitted():
    retry_budget = RetryBudget(0.2, 10.0, 0.0)
    permitted = 0
    for i in range(1000):
        retry_budget.record_request(i / 10)
        permitted += retry_budget.try_acquire(i / 10, 5)
    assert 80 <= permitted <= 200


def test_without_requests_only_the_slack_is_permitted_and_it_returns_after_the_window():
    retry_budget = RetryBudget(0.2, 10.0, 8.0)
    assert [retry_budget.try_acquire(0.0, 2) for _ in range(3)] == [True, True, False]
    assert not retry_budget.try_acquire(10.0, 2)
    assert retry_budget.try_acquire(10.1, 2)
    assert not RetryBudget(0.2, 10.0, 0.0).try_acquire(0.0, 1)


# --- the choice of an endpoint


def endpoints(*inflight):
    made = []
    for i, count in enumerate(inflight):
        endpoint = Endpoint(f"n{i}", "s")
        endpoint.in_flight = count
        made.append(endpoint)
    return made


def random_source(*places, size):
    """Returns a random source by which these indexes are drawn in turn, and then the first of the rest. Each
    index is drawn once, as the last remaining element replaces the drawn one."""
    left = list(range(size))
    numbers = []
    for place in dict.fromkeys(places):
        at = left.index(place)
        numbers.append((at + 0.5) / len(left))
        left[at] = left[-1]
        left.pop()
    turn = iter(numbers)
    return lambda: next(turn, 0.0)


def accept_all(endpoint):
    return True


def choose(now, made, tried, random, usable, zone="", near=0, kind=""):
    """Draws endpoints and returns the best of them."""
    drawn = sample_candidates(now, made, tried, random, usable, zone, near > 0)
    return least_loaded(now, drawn, zone, kind, OwnZonePreference(near, near / 6)) if drawn else None


def test_the_less_loaded_of_the_two_drawn_endpoints_is_chosen():
    made = endpoints(5, 2, 0)
    assert choose(0.0, made, (), random_source(0, 1, size=3), accept_all) is made[1]
    assert choose(0.0, made, (), random_source(1, 0, size=3), accept_all) is made[1]
    assert choose(0.0, made, (), random_source(0, 2, size=3), accept_all) is made[2]


def test_a_tie_is_decided_by_latency():
    made = endpoints(1, 1)
    made[0].record_latency(0.2)
    made[1].record_latency(0.1)
    assert choose(0.0, made, (), random_source(0, 1, size=2), accept_all) is made[1]
    made[1].record_latency(5.0)
    assert made[1].latency == pytest.approx(0.1 + 4.9 * 0.2)
    assert choose(0.0, made, (), random_source(0, 1, size=2), accept_all) is made[0]


def test_a_tie_is_decided_by_the_reported_load_rather_than_by_zone():
    near, far = Endpoint("near", "s"), Endpoint("far", "s")
    near.zone, far.zone = "east", "west"

    def taken(now):
        return choose(now, [near, far], (), random_source(0, 1, size=2), accept_all, "east", 0, "search").node

    assert taken(0.0) == "near", "no load is known: the nearer one"
    near.record_load(0.0, "search", 0.0, 0.30)
    far.record_load(0.0, "search", 0.0, 0.15)
    assert taken(0.0) == "far", "a slow server is not preferred for being near"
    far.record_load(0.0, "search", 0.0, 0.29)
    assert taken(0.0) == "near", "a negligible difference does not outweigh the distance"
    far.record_load(0.0, "search", 0.2, 0.15)
    assert taken(0.0) == "near", "the queueing time counts as well"
    assert taken(0.2) == "far", "until the queue has drained"
    near.record_latency(0.9)
    near.record_load(0.2, "search", 0.0, 0.10)
    assert taken(0.2) == "near", "latencies of other kinds of calls are not considered"
    near.reset()
    assert near.expected_latency(0.2, "search") == 0.0


def test_service_times_are_kept_for_a_bounded_number_of_kinds():
    endpoint = Endpoint("b", "s")
    for number in range(10 * MAX_ROUTES):
        endpoint.record_load(0.0, f"kind {number}", 0.0, 0.1)
    assert len(endpoint.service_times_s) == MAX_ROUTES


def test_a_closed_endpoint_is_skipped_until_its_time():
    made = endpoints(0, 5, 9)
    made[0].closed_until = 1.0
    assert choose(0.5, made, (), random_source(0, 1, 2, size=3), accept_all) is made[1]
    assert choose(1.0, made, (), random_source(0, 1, 2, size=3), accept_all) is made[0]


def test_if_all_endpoints_are_closed_one_is_chosen_anyway():
    made = endpoints(3, 1)
    for endpoint in made:
        endpoint.closed_until = 9.0
    assert choose(0.0, made, (), random_source(0, 1, size=2), accept_all) in made


@given(st.lists(st.tuples(st.integers(0, 3), st.booleans(), st.booleans()), max_size=6), st.randoms())
def test_tried_and_unusable_endpoints_are_never_chosen_and_any_other_is_found(rows, random):
    made = endpoints(*(row[0] for row in rows))
    tried = [endpoint for endpoint, row in zip(made, rows, strict=True) if row[1]]
    good = [endpoint for endpoint, row in zip(made, rows, strict=True) if row[2]]
    took = choose(0.0, made, tried, random.random, lambda endpoint: endpoint in good)
    left = [endpoint for endpoint in good if endpoint not in tried]
    assert took in left if left else took is None


def test_the_only_remaining_endpoint_is_found_even_if_no_draw_hits_it():
    made = endpoints(0, 0, 4)
    assert choose(0.0, made, made[:2], random_source(0, 1, size=3), accept_all) is made[2]
    assert choose(0.0, (), (), random_source(0, size=1), accept_all) is None


def test_the_own_zone_is_preferred_while_it_has_few_more_calls_than_the_other():
    far, own, other = (Endpoint(name, "s") for name in ("far", "own", "far"))
    far.zone, own.zone, other.zone = "west", "east", "west"

    def taken(near):
        """Both endpoints drawn of all are in another zone."""
        return choose(
            0.0, [far, own, other], (), random_source(0, 2, 1, size=3), accept_all, "east", near
        ).node

    own.in_flight = 2
    assert taken(0) == "far" and taken(1) == "far" and taken(2) == "own"
    own.closed_until = 1.0
    assert taken(2) == "far"
    own.closed_until, own.in_flight = 0.0, 0
    assert taken(0) == "far" and taken(2) == "own", "only endpoints of the other zone were drawn"


def test_a_fresh_load_report_takes_precedence_over_own_calls():
    made = endpoints(0, 3)
    made[0].record_load(1.0, "search", 0.4, 0.1)
    made[1].record_load(1.0, "search", 0.0, 0.2)
    assert have_recent_reports(1.0, made) and least_loaded(1.0, made, "", "search") is made[1]
    later = 1.0 + MAX_REPORT_AGE_S + 0.001
    assert not have_recent_reports(later, made) and least_loaded(later, made, "", "search") is made[0], (
        "the report is outdated"
    )
    made[1].record_load(later, "search", 0.9, 0.2)
    assert least_loaded(later, made, "", "search") is made[1], "an endpoint without a report is not preferred"


def test_the_transfer_time_of_a_large_body_counts():
    made = endpoints(0, 0)
    for endpoint in made:
        endpoint.zone = "east"
        endpoint.record_load(0.0, "upload", 0.0, 0.2)
    assert least_loaded(0.0, made, "east", "upload", OwnZonePreference(), {"n0": 1.5, "n1": 0.1}) is made[1]
    made[1].zone = "west"
    assert (
        least_loaded(0.0, made, "east", "upload", OwnZonePreference(3, 0.5), {"n0": 0.2, "n1": 0.1})
        is made[0]
    )
    assert (
        least_loaded(0.0, made, "east", "upload", OwnZonePreference(3, 0.5), {"n0": 0.4, "n1": 0.1})
        is made[1]
    )
