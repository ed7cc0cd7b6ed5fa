"""What one server is sent at once, what all sidecars together may send again, and which server is picked."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dunefield.budget import MAX_STEPS, Budget
from mesh.proxy.endpoints import FRESH_S, MOST_KINDS, Endpoint, OwnZonePreference, best, draw, fresh
from mesh.proxy.retry_budget import RetryBudget

MS = 1_000_000


def budget(most=MAX_STEPS):
    return Budget(1.0, most)


def trial(made, now=0, served=True, random=lambda: 0.5):
    """One trial there and back."""
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


# --- one server


def test_k_begins_at_one_and_each_served_trial_adds_a_step_up_to_the_clamp():
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


def test_there_is_one_trial_at_a_time_and_calls_within_the_budget_go_beside_it():
    made = grown(2)
    made.trial_in_flight = True
    assert made.check_admission(0, 2) == (False, False) and made.check_admission(0, 1) == (True, False)


def test_backoff_blocks_growth_and_nothing_else():
    made = grown(3)
    trial(made, served=False)
    assert made.steps == 3 and made.retry_at == 100 * MS
    assert made.check_admission(1, 2) == (True, False)
    assert made.check_admission(100 * MS - 1, 3) == (False, False)
    assert made.check_admission(100 * MS, 3) == (True, True)


def test_backoff_doubles_to_its_last_and_is_forgotten_with_a_served_trial():
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


def test_at_zero_one_trial_goes_once_the_backoff_is_over():
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


def test_an_answer_that_it_is_full_lowers_the_figure_and_served_calls_raise_it():
    made = grown(10)
    made.lower_concurrency()
    assert made.limit == 7 and made.steps == 10
    for _ in range(20):
        made.lower_concurrency()
    assert made.limit == 1
    for _ in range(100):
        made.raise_concurrency()
    assert made.concurrency == made.max_concurrency and made.limit == 10


def test_a_new_process_begins_anew():
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
def test_calls_that_are_out_keep_to_the_budget_whatever_happens(most, events):
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


# --- all sidecars


@given(
    st.integers(1, 4),
    st.sampled_from((0.0, 0.1, 0.25, 1.0)),
    st.sampled_from((0, 1, 8)),
    st.lists(st.tuples(st.integers(0, 40), st.integers(0, 3), st.integers(0, 6)), max_size=120),
)
def test_the_sum_over_all_sidecars_keeps_below_the_ratio(sidecars, ratio, slack, events):
    window = 16.0
    spends = [RetryBudget(ratio, window, slack) for _ in range(sidecars)]
    now, asked, spent = 0.0, [], []
    for step, who, tries in events:
        now += step / 8
        spend = spends[who % sidecars]
        spend.record_request(now)
        asked.append(now)
        spent += [now for _ in range(tries) if spend.try_acquire(now, sidecars)]

    def count(times, end):
        return sum(end - window <= at <= end for at in times)

    for end in sorted({*asked, *(at + window for at in asked)}):
        most = max(count(asked, end), count(asked, end - window / 2), count(asked, end - window))
        assert count(spent, end) <= ratio * most + slack


def test_under_steady_load_a_useful_part_is_given():
    spend = RetryBudget(0.2, 10.0, 0.0)
    given_ = 0
    for i in range(1000):
        spend.record_request(i / 10)
        given_ += spend.try_acquire(i / 10, 5)
    assert 80 <= given_ <= 200


def test_with_no_requests_only_the_slack_is_given_and_comes_back_after_the_window():
    spend = RetryBudget(0.2, 10.0, 8.0)
    assert [spend.try_acquire(0.0, 2) for _ in range(3)] == [True, True, False]
    assert not spend.try_acquire(10.0, 2)
    assert spend.try_acquire(10.1, 2)
    assert not RetryBudget(0.2, 10.0, 0.0).try_acquire(0.0, 1)


# --- the pick


def endpoints(*inflight):
    made = []
    for i, count in enumerate(inflight):
        endpoint = Endpoint(f"n{i}", "s")
        endpoint.inflight = count
        made.append(endpoint)
    return made


def draws(*places, size):
    """A random source by which these places are drawn in turn, and then whatever is first: each is drawn
    once, as the last of those that are left takes the room of one that was drawn."""
    left = list(range(size))
    numbers = []
    for place in dict.fromkeys(places):
        at = left.index(place)
        numbers.append((at + 0.5) / len(left))
        left[at] = left[-1]
        left.pop()
    turn = iter(numbers)
    return lambda: next(turn, 0.0)


def anyone(endpoint):
    return True


def choose(now, made, tried, random, usable, zone="", near=0, kind=""):
    """Draw, and take the best."""
    drawn = draw(now, made, tried, random, usable, zone, near > 0)
    return best(now, drawn, zone, kind, OwnZonePreference(near, near / 6)) if drawn else None


def test_the_less_loaded_of_two_is_taken_and_no_third_is_looked_at():
    made = endpoints(5, 2, 0)
    assert choose(0.0, made, (), draws(0, 1, size=3), anyone) is made[1]
    assert choose(0.0, made, (), draws(1, 0, size=3), anyone) is made[1]
    assert choose(0.0, made, (), draws(0, 2, size=3), anyone) is made[2]


def test_a_tie_goes_by_latency():
    made = endpoints(1, 1)
    made[0].answered(0.2)
    made[1].answered(0.1)
    assert choose(0.0, made, (), draws(0, 1, size=2), anyone) is made[1]
    made[1].answered(5.0)
    assert made[1].latency == pytest.approx(0.1 + 4.9 * 0.2)
    assert choose(0.0, made, (), draws(0, 1, size=2), anyone) is made[0]


def test_a_tie_goes_by_what_the_sidecar_beside_the_server_told_not_by_zone():
    near, far = Endpoint("near", "s"), Endpoint("far", "s")
    near.zone, far.zone = "east", "west"

    def taken(now):
        return choose(now, [near, far], (), draws(0, 1, size=2), anyone, "east", 0, "search").node

    assert taken(0.0) == "near", "nothing is known: the shorter way"
    near.reported(0.0, "search", 0.0, 0.30)
    far.reported(0.0, "search", 0.0, 0.15)
    assert taken(0.0) == "far", "a slow server is no better for being near"
    far.reported(0.0, "search", 0.0, 0.29)
    assert taken(0.0) == "near", "a hair's breadth is not worth the way"
    far.reported(0.0, "search", 0.2, 0.15)
    assert taken(0.0) == "near", "its queue counts, too"
    assert taken(0.2) == "far", "as long as it lasts"
    near.answered(0.9)
    near.reported(0.2, "search", 0.0, 0.10)
    assert taken(0.2) == "near", "own answers of other kinds say nothing of this one"
    near.renew()
    assert near.expects(0.2, "search") == 0.0


def test_paces_are_kept_for_so_many_kinds_only():
    endpoint = Endpoint("b", "s")
    for number in range(10 * MOST_KINDS):
        endpoint.reported(0.0, f"kind {number}", 0.0, 0.1)
    assert len(endpoint.work_s) == MOST_KINDS


def test_a_closed_endpoint_is_passed_over_until_its_time():
    made = endpoints(0, 5, 9)
    made[0].closed_until = 1.0
    assert choose(0.5, made, (), draws(0, 1, 2, size=3), anyone) is made[1]
    assert choose(1.0, made, (), draws(0, 1, 2, size=3), anyone) is made[0]


def test_where_all_are_closed_one_is_taken_all_the_same():
    made = endpoints(3, 1)
    for endpoint in made:
        endpoint.closed_until = 9.0
    assert choose(0.0, made, (), draws(0, 1, size=2), anyone) in made


@given(st.lists(st.tuples(st.integers(0, 3), st.booleans(), st.booleans()), max_size=6), st.randoms())
def test_tried_and_unusable_ones_are_never_taken_and_any_other_is_found(rows, random):
    made = endpoints(*(row[0] for row in rows))
    tried = [endpoint for endpoint, row in zip(made, rows, strict=True) if row[1]]
    good = [endpoint for endpoint, row in zip(made, rows, strict=True) if row[2]]
    took = choose(0.0, made, tried, random.random, lambda endpoint: endpoint in good)
    left = [endpoint for endpoint in good if endpoint not in tried]
    assert took in left if left else took is None


def test_the_only_one_left_is_found_though_no_draw_hits_it():
    made = endpoints(0, 0, 4)
    assert choose(0.0, made, made[:2], draws(0, 1, size=3), anyone) is made[2]
    assert choose(0.0, (), (), draws(0, size=1), anyone) is None


def test_with_near_the_own_zone_is_taken_while_it_holds_little_more_than_the_other():
    far, own, other = (Endpoint(name, "s") for name in ("far", "own", "far"))
    far.zone, own.zone, other.zone = "west", "east", "west"

    def taken(near):
        """The two that are drawn of all are the far ones."""
        return choose(0.0, [far, own, other], (), draws(0, 2, 1, size=3), anyone, "east", near).node

    own.inflight = 2
    assert taken(0) == "far" and taken(1) == "far" and taken(2) == "own"
    own.closed_until = 1.0
    assert taken(2) == "far"
    own.closed_until, own.inflight = 0.0, 0
    assert taken(0) == "far" and taken(2) == "own", "the draws met the far one only"


def test_what_was_told_just_now_goes_before_own_calls():
    made = endpoints(0, 3)
    made[0].reported(1.0, "search", 0.4, 0.1)
    made[1].reported(1.0, "search", 0.0, 0.2)
    assert fresh(1.0, made) and best(1.0, made, "", "search") is made[1]
    later = 1.0 + FRESH_S + 0.001
    assert not fresh(later, made) and best(later, made, "", "search") is made[0], "others took it"
    made[1].reported(later, "search", 0.9, 0.2)
    assert best(later, made, "", "search") is made[1], "whoever said nothing is no better known"


def test_the_way_of_a_large_body_counts():
    made = endpoints(0, 0)
    for endpoint in made:
        endpoint.zone = "east"
        endpoint.reported(0.0, "upload", 0.0, 0.2)
    assert best(0.0, made, "east", "upload", OwnZonePreference(), {"n0": 1.5, "n1": 0.1}) is made[1]
    made[1].zone = "west"
    assert best(0.0, made, "east", "upload", OwnZonePreference(3, 0.5), {"n0": 0.2, "n1": 0.1}) is made[0]
    assert best(0.0, made, "east", "upload", OwnZonePreference(3, 0.5), {"n0": 0.4, "n1": 0.1}) is made[1]
