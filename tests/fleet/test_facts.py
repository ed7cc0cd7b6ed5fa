"""Facts: the newest version wins and there is no way back, ends end everywhere, and nobody takes all the
room."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from emulator.members import World, universe
from hollyport.fleet.facts import EACH, Facts
from hollyport.fleet.wire import Fact


def fact(serial=1, incarnation=1, owner="a", key="k", left_ms=10_000, value=b"v"):
    return Fact(owner, key, incarnation, serial, left_ms, value)


def values(facts, now=0.0, key="k"):
    return {h.owner: h.value for h in facts.of(now, key)}


@given(st.permutations([(1, 1), (1, 2), (2, 1), (2, 9), (3, 1)]), st.integers(0, 4))
def test_in_any_order_with_doubles_the_newest_version_stays(order, again):
    facts = Facts("me")
    for incarnation, serial in [*order, order[again]]:
        facts.hear(0.0, fact(serial, incarnation, value=b"%d.%d" % (incarnation, serial)), 3)
    assert values(facts) == {"a": b"3.1"}


def test_a_fact_ends_by_its_rest_and_a_withdrawal_is_no_way_back():
    facts = Facts("me")
    facts.hear(0.0, fact(left_ms=1000), 3)
    assert values(facts, 0.9) == {"a": b"v"} and values(facts, 1.1) == {}
    facts.hear(0.0, fact(serial=2, left_ms=9000), 3)
    facts.hear(1.0, fact(serial=3, value=b"", left_ms=9000), 3)
    assert not facts.hear(2.0, fact(serial=2, left_ms=9000), 3) and values(facts, 2.0) == {}


def test_a_retired_owners_facts_end_and_old_copies_do_not_bring_them_back():
    facts = Facts("me")
    facts.hear(0.0, fact(), 3)
    facts.retire(0.0, "a")
    facts.hear(0.1, fact(), 3)
    assert values(facts, 0.2) == {} and not list(facts.news(0.2))
    facts.hear(0.3, fact(incarnation=2, value=b"again"), 3)
    assert values(facts, 0.4) == {"a": b"again"}


def test_room_is_bounded_for_each_owner_and_for_all():
    facts = Facts("me", most=64)
    for number in range(200):
        facts.hear(0.0, fact(key=f"k{number}"), 1)
    assert len(facts) == 2 * EACH
    for number in range(200):
        facts.hear(0.0, fact(owner=f"o{number}"), 1)
    assert len(facts) == 64 and facts.refused > 200
    facts.refresh(11.0, 1, 1)
    assert len(facts) == 0


@pytest.mark.parametrize(("key", "value", "life"), [("", b"", 1), ("k" * 33, b"", 1), ("k", b"v" * 129, 1),
                                                     ("k", b"v", 0), ("k", b"v", 601)])  # fmt: skip
def test_what_is_no_fact_is_refused_to_its_owner(key, value, life):
    with pytest.raises(ValueError):
        Facts("me").tell(0.0, 1, key, value, life, 1)


@pytest.mark.parametrize("seed", [1, 2])
def test_facts_reach_all_through_loss_change_end_with_their_owner_and_live_on_after_a_false_death(seed):
    made = World(universe(12), seed=seed)
    made.start(made.universe.hall)
    made.run(2)
    made.loss = 0.3
    owner = made.running["m5"]
    owner.member.tell(owner.now(), "k", b"one", 20.0)

    def all_hold(value):
        return all(
            [h.value for h in p.member.told(p.now(), "k")] == ([value] if value else [])
            for p in made.running.values()
        )

    assert made.until(lambda: all_hold(b"one"), 2.0) <= 2.0
    owner.member.tell(owner.now(), "k", b"two", 20.0)
    assert made.until(lambda: all_hold(b"two"), 2.0) <= 2.0
    made.loss = 0.0
    owner.stall()
    assert made.until(lambda: all(not list(p.member.told(p.now(), "k")) for p in made.running.values()
                                  if p is not owner), 5.0) <= 5.0  # fmt: skip
    owner.wake()
    assert made.until(lambda: all_hold(b"two"), 2.0) <= 2.0
    owner.member.withdraw(owner.now(), "k")
    assert made.until(lambda: all_hold(b""), 2.0) <= 2.0
    owner.member.tell(owner.now(), "k", b"three", 20.0)
    made.run(1)
    made.kill("m5")
    made.run(5)
    assert all_hold(b"")
