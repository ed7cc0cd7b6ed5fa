"""Which address is asked, for what and when: on fake time."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hollyport.registries.eureka.schedule import DELTA, MOST_PAUSE_S, WHOLE, Schedule


def schedule(near=(True, False, False), **changes):
    return Schedule(near, 5.0, 0.2, lambda: 0.5, **changes)


def test_everything_first_then_changes_at_the_interval():
    made = schedule()
    assert made.ask(0.0) == (0, WHOLE) and made.due == 0.0
    made.answered(1.0, 0, WHOLE)
    assert made.due == 6.0 and made.ask(6.0) == (0, DELTA)
    made.answered(6.1, 0, DELTA)
    made.mismatch(6.1)
    assert made.due == 6.1 and made.ask(6.1) == (0, WHOLE)


def test_jitter_spreads_the_questions():
    low, high = (Schedule([True], 10.0, 0.3, lambda d=d: d) for d in (0.0, 1.0))
    low.answered(0.0, 0, WHOLE)
    high.answered(0.0, 0, WHOLE)
    assert (low.due, high.due) == (7.0, 13.0)


def test_the_own_halls_address_first_others_on_failure_and_back_again():
    made = schedule(near=(False, True, False))
    assert made.ask(0.0)[0] == 1
    made.failed(0.0, 1)
    assert made.due == 0.0 and made.ask(0.0)[0] == 0  # another is asked at once
    made.failed(0.0, 0)
    assert made.ask(0.0)[0] == 2
    made.answered(0.1, 2, WHOLE)
    assert made.ask(0.1)[0] == 2
    assert made.ask(5.0)[0] == 1  # its time is over: the near one again


def test_all_set_aside_waits_for_the_first_that_is_free_with_growing_pauses():
    made, pauses, now = schedule(near=(True,)), [], 0.0
    for _ in range(12):
        made.failed(now, 0)
        pauses.append(made.due - now)
        now = made.due
    assert pauses[0] == 0.25 and pauses[1] == 0.5 and pauses[-1] == MOST_PAUSE_S
    made.answered(now, 0, WHOLE)
    made.failed(now, 0)
    assert made.due - now == 0.25  # an answer makes it good


def test_an_address_without_deltas_is_asked_for_everything_each_time():
    made = schedule(near=(True, True))
    made.answered(0.0, 0, WHOLE)
    made.no_deltas(5.0, 0)
    assert made.due == 5.0 and made.ask(5.0) == (0, WHOLE)
    made.answered(5.0, 0, WHOLE)
    assert made.ask(10.0) == (0, WHOLE)
    made.failed(10.0, 0)
    assert made.ask(10.0) == (1, DELTA)


def test_a_whole_answer_now_and_then_all_the_same():
    made = schedule(refresh_s=60.0)
    made.answered(0.0, 0, WHOLE)
    assert made.ask(59.0)[1] == DELTA and made.ask(60.0)[1] == WHOLE


def test_a_doubtful_answer_is_confirmed_elsewhere():
    made = schedule(near=(True, False))
    made.answered(0.0, 0, WHOLE)
    made.mismatch(0.5)
    made.avoid(0.0, 0, 1.0)
    assert made.ask(0.5) == (1, WHOLE)
    alone = schedule(near=(True,))
    alone.avoid(0.0, 0, 1.0)
    assert alone.ask(0.5)[0] == 0


@given(
    st.lists(st.tuples(st.sampled_from(["ok", "fail", "mismatch", "none"]), st.floats(0, 20)), max_size=60)
)
def test_it_never_stops_asking_and_never_asks_in_a_tight_loop_when_all_fail(steps):
    made, now = schedule(near=(True, False)), 0.0
    for what, wait in steps:
        now = max(now + wait, made.due)
        number, question = made.ask(now)
        if what == "ok":
            made.answered(now, number, question)
        elif what == "fail":
            made.failed(now, number)
        elif what == "mismatch":
            made.mismatch(now)
        else:
            made.no_deltas(now, number)
        assert now <= made.due <= now + MOST_PAUSE_S * 1.25
    first = now
    for _ in range(40):
        number, _ = made.ask(now)
        made.failed(now, number)
        now = made.due
    assert now - first > 5.0
