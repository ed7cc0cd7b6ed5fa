"""Connections and distances: every one accounted for, caps and idle limits to the letter."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from emulator.connection import Door, Terms
from emulator.network import Distance, Network

SECOND = 1_000_000_000


def test_an_idle_connection_is_used_again_and_costs_nothing():
    door = Door(Terms(handshake_ns=70))
    assert door.take("a", 0) == 70
    assert door.take("a", 0) == 70  # the first is busy
    door.give_back("a", 1)
    assert door.take("a", 2) == 0
    assert door.take("b", 2) == 70  # another's can't be used
    assert door.held() == 3 and door.count.opened == 3 and door.count.reused == 1


def test_the_cap_counts_idle_ones_and_costs_speed():
    door = Door(Terms(cap=2, full_tax=0.25))
    door.take("a", 0)
    door.give_back("a", 0)
    assert door.tax() == 1.0
    door.take("b", 0)
    assert door.tax() == 0.75
    assert door.take("c", 0) is None and door.count.refused == 1
    assert door.take("a", 0) == 0
    door.give_back("b", 1, keep=False)
    assert door.take("c", 1) is not None


def test_idle_ones_end_at_the_limit_and_not_before():
    door = Door(Terms(idle_ns=10 * SECOND))
    door.take("a", 0)
    door.give_back("a", SECOND)
    door.sweep(11 * SECOND - 1)
    assert door.held() == 1
    door.sweep(11 * SECOND)
    assert door.held() == 0 and door.count.idle_closed == 1
    door.check()


def test_a_call_that_is_not_out_cannot_be_given_back():
    door = Door(Terms())
    with pytest.raises(ValueError, match="no call out"):
        door.give_back("a", 0)


@given(
    st.integers(1, 5),
    st.lists(
        st.tuples(
            st.integers(0, 4),
            st.sampled_from(["take"] * 5 + ["keep"] * 3 + ["close", "leave", "reset"]),
            st.sampled_from("abc"),
        ),
        max_size=60,
    ),
)
def test_every_connection_is_open_or_ended_once(cap, plan):
    door, now, out = Door(Terms(cap=cap, idle_ns=6)), 0, dict.fromkeys("abc", 0)
    for gap, what, who in plan:
        now += gap
        if what == "take":
            out[who] += door.take(who, now) is not None
        elif what in ("keep", "close") and out[who]:
            door.give_back(who, now, what == "keep")
            out[who] -= 1
        elif what == "leave":
            door.leave(who)
        elif what == "reset":
            door.reset()
            out = dict.fromkeys("abc", 0)
        door.check()
        assert door.held() <= cap and door.held() >= sum(out.values())
    for who, calls in out.items():
        for _ in range(calls):
            door.give_back(who, now)
    door.sweep(now + 6)
    door.check()
    assert door.held() == 0


def test_distances_are_the_same_both_ways_and_counted_as_sent():
    far = Distance(same_ns=100, cross_ns=300, jitter=0.5, pairs={("a", "b"): 900})
    network = Network(far, random.Random(1))
    assert far.base("b", "a") == far.base("a", "b") == 900 and far.base("a", "c") == 300
    drawn = [network.delay("b", "a") for _ in range(500)]
    assert 900 <= min(drawn) < 930 and 1320 < max(drawn) < 1350
    network.delay("a", "a")
    network.delay("a", "b")
    assert network.crossed == {("b", "a"): 500, ("a", "b"): 1}


def test_a_cut_is_for_both_sides_until_it_is_mended():
    network = Network(Distance(), random.Random(1))
    network.cut("n1")
    assert not network.reaches("s1", "n1") and not network.reaches("n1", "s2") and network.reaches("s1", "n2")
    network.mend("n1")
    assert network.reaches("s1", "n1")


@pytest.mark.parametrize(
    ("make", "key"),
    [
        (lambda: Terms(cap=0), "cap"),
        (lambda: Terms(idle_ns=0), "idle_ns"),
        (lambda: Terms(handshake_ns=-1), "handshake_ns"),
        (lambda: Terms(full_tax=float("nan")), "full_tax"),
        (lambda: Distance(same_ns=-1), "same_ns"),
        (lambda: Distance(jitter=float("nan")), "jitter"),
        (lambda: Distance(pairs={("a", "b"): -5}), "a to b"),
    ],
)
def test_what_makes_no_sense_names_its_key(make, key):
    with pytest.raises(ValueError, match=key):
        make()
