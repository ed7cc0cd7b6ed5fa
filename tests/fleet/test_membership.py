"""Membership on fake time: what each failure does to what everybody holds, at several seeds."""

from __future__ import annotations

from collections import Counter

import pytest

from emulator.members import World, universe
from hollyport.fleet.membership import Rules, Send
from hollyport.fleet.view import Universe
from hollyport.fleet.wire import Kind

SEEDS = (1, 2, 3)
NAMES = {f"m{i}" for i in range(12)}
SIDE = {f"m{i}" for i in range(6)}


def world(seed, **told):
    made = World(universe(12), seed=seed, **told)
    made.start(made.universe.hall, 0.5)
    made.run(3)
    assert made.agreed()
    made.seen.clear()
    return made


def told(made, who=None):
    return Counter(s.event.name for s in made.seen if who is None or s.who == who)


def heal(made, most_s=3.0):
    made.cut = lambda here, there: False
    assert made.until(made.agreed, most_s) <= most_s


@pytest.mark.parametrize("seed", SEEDS)
def test_a_killed_member_is_known_dead_by_all_within_3_s_and_nobody_else_is(seed):
    made = world(seed)
    made.kill("m4")
    assert made.until(lambda: all(made.holds(name, "m4") == "dead" for name in made.running), 3.0) <= 3.0
    assert {s.event.fields["member"] for s in made.seen if s.event.name == "dead"} == {"m4"}


@pytest.mark.parametrize("seed", SEEDS)
def test_a_member_that_leaves_is_known_to_have_left_at_once_and_may_come_back(seed):
    made = world(seed)
    made.leave("m4")
    assert made.until(lambda: all(made.holds(name, "m4") == "left" for name in made.running), 0.5) <= 0.5
    assert told(made)["suspect"] == 0
    made.begin("m4")
    assert made.until(made.agreed, 2.0) <= 2.0


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("back_s", [0.0, 86400.0])
@pytest.mark.parametrize("gone_s", [0.05, 5.0])
def test_a_restart_from_nothing_is_believed_though_its_clock_was_set_back(seed, back_s, gone_s):
    made = world(seed)
    before = made.running["m3"].member.own.incarnation
    made.kill("m3")
    made.run(gone_s)
    made.begin("m3", set_back_s=back_s)
    assert made.until(made.agreed, 3.0) <= 3.0
    made.run(3)
    assert made.agreed() and made.running["m3"].member.own.incarnation > before
    assert told(made)["twins"] == told(made)["name_in_use"] == 0


@pytest.mark.parametrize("seed", SEEDS)
def test_one_that_was_stalled_calls_nobody_dead_when_it_wakes_and_is_taken_in_again(seed):
    made = world(seed)
    made.running["m3"].stall()
    made.run(10)
    assert all(made.holds(name, "m3") == "dead" for name in NAMES - {"m3"})
    made.seen.clear()
    made.running["m3"].wake()
    assert made.until(made.agreed, 1.0) <= 1.0
    made.run(5)
    assert told(made, "m3")["stalled"] == 1 and told(made)["dead"] == 0


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("way", ["deaf", "mute", "cut off"])
def test_one_that_is_reachable_one_way_only_is_out_and_buries_nobody(seed, way):
    made = world(seed)
    made.cut = {
        "deaf": lambda here, there: there == "m3", "mute": lambda here, there: here == "m3",
        "cut off": lambda here, there: "m3" in (here, there),
    }[way]  # fmt: skip
    made.run(10)
    assert all(made.holds(name, "m3") == "dead" for name in NAMES - {"m3"})
    assert told(made, "m3")["alone"] == 1 and told(made, "m3")["dead"] == 0
    assert {s.event.fields["member"] for s in made.seen if s.event.name == "dead"} == {"m3"}
    heal(made)


@pytest.mark.parametrize("seed", SEEDS)
def test_two_that_cannot_hear_each_other_are_vouched_for_by_the_others(seed):
    made = world(seed)
    made.cut = lambda here, there: {here, there} == {"m0", "m1"}
    made.run(20)
    assert told(made)["dead"] == 0


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("both", [True, False])
def test_a_cut_in_two_heals_within_3_s_and_brings_no_false_death_home(seed, both):
    made = world(seed)
    made.cut = lambda here, there: (here in SIDE) != (there in SIDE) and (both or here in SIDE)
    made.run(10)
    inside = [
        s
        for s in made.seen
        if s.event.name == "dead" and (s.who in SIDE) == (s.event.fields["member"] in SIDE)
    ]
    assert not inside and told(made)["dead"] == 72
    made.seen.clear()
    heal(made)
    assert told(made)["dead"] == 0


@pytest.mark.parametrize("seed", SEEDS)
def test_loss_doubling_and_late_datagrams_bury_nobody(seed):
    made = world(seed)
    made.loss, made.doubled, made.reordered = 0.3, 0.1, 0.1
    made.run(60)
    assert told(made)["dead"] == told(made)["twins"] == 0
    assert sum(p.member.refused["doubled"] for p in made.running.values()) > 100


@pytest.mark.parametrize("seed", SEEDS)
def test_an_upgrade_passes_without_a_word_and_one_that_fails_gives_the_name_back(seed):
    made = world(seed)
    old = made.running["m3"]
    made.begin("m3", "m3:2", heir=True)
    made.run(5)
    assert told(made, "m3")["retired"] == 1
    old.member.leave(old.now())
    old.after()
    old.alive = False
    made.run(5)
    assert made.agreed() and told(made)["twins"] == told(made)["dead"] == told(made)["left"] == 0
    older = made.running["m3"]
    made.begin("m3", "m3:3", heir=True)
    made.run(3)
    made.kill("m3")
    made.running["m3"] = older
    assert made.until(lambda: made.agreed(NAMES), 20.0) <= 20.0


@pytest.mark.parametrize("seed", SEEDS)
def test_a_name_that_two_use_by_mistake_is_told_and_neither_is_believed(seed):
    made = world(seed)
    made.running["m0"].member.tell(made.running["m0"].now(), "duty", b"kept", 30.0)
    first = made.running["m3"]
    first.member.tell(first.now(), "duty", b"mine", 30.0)
    made.run(1)
    second = made.begin("m3", "m3:2")
    second.member.tell(second.now(), "duty", b"no, mine", 30.0)
    made.run(20)
    others = [made.running[name] for name in NAMES - {"m3"}]
    assert all("m3" not in p.member.membership.live() for p in others)
    assert all([h.owner for h in p.member.told(p.now(), "duty")] == ["m0"] for p in others)
    assert told(made, "m3")["name_in_use"] >= 2 and sum(told(made, p.name)["twins"] > 0 for p in others) == 11
    first.alive = False  # the mistake is mended
    made.run(15)
    assert made.agreed() and all("m3" in p.member.membership.live() for p in others)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_fleet_that_is_restarted_in_turn_agrees(seed):
    made = world(seed)
    for name in sorted(NAMES):
        made.kill(name)
        made.run(0.2)
        made.begin(name)
        made.run(0.8)
    assert made.until(made.agreed, 2.0) <= 2.0


@pytest.mark.parametrize("period", [0.1, 0.25, 2.0])
def test_one_that_is_cut_off_and_slow_to_ask_is_not_taken_for_stalled_and_each_period_keeps_its_bounds(
    period,
):
    scale = period / 0.25
    made = World(universe(12), seed=1, rules=Rules.of(period))
    made.start(made.universe.hall, 0.5 * scale)
    made.run(5 * scale)
    assert made.agreed()
    made.seen.clear()
    made.cut = lambda here, there: "m3" in (here, there)
    made.run(40 * scale)
    assert told(made)["stalled"] == 0 and told(made, "m3")["alone"] == 1 and told(made, "m3")["dead"] == 0
    heal(made, 4.0 * scale)
    made.kill("m4")
    dead = lambda: all(made.holds(name, "m4") == "dead" for name in made.running)  # noqa: E731
    assert made.until(dead, 4.0 * scale) <= 4.0 * scale


@pytest.mark.parametrize("seed", SEEDS)
def test_facts_of_a_process_that_was_suspected_when_the_next_one_came_end(seed):
    made = world(seed)
    old = made.running["m3"]
    old.member.tell(old.now(), "key", b"old", 60.0)
    made.run(2)
    made.kill("m3")
    assert made.until(lambda: made.holds("m0", "m3") == "suspect", 5.0) <= 5.0
    made.begin("m3")
    made.run(2)
    assert made.agreed()
    assert not [h for p in made.running.values() for h in p.member.told(p.now(), "key")]


def test_an_address_that_the_table_changes_counts_for_one_that_is_gone():
    made = world(1)
    made.kill("m4")
    made.run(5)
    moved = Universe({"hall-0": [(n, f"{n}:9" if n == "m4" else f"{n}:1") for n in sorted(NAMES)]})
    made.running["m0"].member.take(made.running["m0"].now(), moved)
    assert made.running["m0"].member.membership.peers["m4"].address == "m4:9"
    assert made.running["m0"].member.membership.peers["m5"].address == "m5:1"


def test_clocks_that_run_five_in_a_hundred_wrongly_bury_nobody():
    made = world(1, rates={"m0": 1.05, "m1": 0.95})
    made.run(60)
    assert told(made)["dead"] == 0


def test_one_address_is_enough_to_find_all_and_a_large_fleet_agrees_in_part():
    made = World(universe(12, known=1), seed=1)
    made.start(made.universe.hall, 1.0)
    made.run(1.1)
    assert made.until(made.agreed, 5.0) <= 5.0
    large = World(universe(300), seed=1, rules=Rules(view=32))
    large.start(large.universe.hall, 1.0)
    large.run(1.1)
    assert large.until(large.agreed, 10.0) <= 10.0
    assert max(len(p.member.membership.peers) for p in large.running.values()) <= 32


def test_views_are_bounded_nearly_mutual_and_reach_every_hall():
    names = universe(2000)
    views = {name: names.view(name, 64) for name in names.hall}
    assert {len(v) for v in views.values()} <= set(range(60, 65))
    mutual = sum(name in views[other] for name, view in views.items() for other in view)
    assert mutual > 0.7 * sum(map(len, views.values()))
    assert all({names.hall[n] for n in view} == set(names.hall.values()) for view in views.values())
    watched = Counter(other for view in views.values() for other in view)
    assert max(watched.values()) < 2.5 * 64


def test_names_that_are_taken_out_are_forgotten_and_strangers_dropped():
    made = world(1)
    fewer = universe(11)
    for name in NAMES - {"m11"}:
        made.running[name].member.take(made.running[name].now(), fewer)
    made.run(1)
    assert all("m11" not in made.running[n].member.membership.peers for n in NAMES - {"m11"})
    assert sum(made.running[n].member.refused["stranger"] for n in NAMES - {"m11"}) > 0


def test_answers_a_second_are_bounded_however_many_ask():
    made = World(universe(3), seed=1)
    made.start(made.universe.hall)
    made.run(2)
    target, asker = made.running["m0"], made.running["m1"]
    before, count = target.member.sent, 2000
    for _ in range(count):
        target.member.handle(target.now(), asker.member._encode(0.0, Send("m0:1", Kind.PING, 1)))
    assert target.member.sent - before <= target.member.membership.rules.replies + 5
    assert target.member.refused["flood"] >= count - target.member.membership.rules.replies - 5


def test_a_fleet_is_renamed_in_service_and_another_fleet_with_the_same_key_is_nobody():
    made = world(1)

    def step(name, *also):
        for member in sorted(NAMES):
            made.running[member].member.fleet = name
            made.running[member].member.fleets = (name, *also)
            made.run(0.3)

    step("emulated", "new")
    step("new", "emulated")
    step("new")
    assert made.agreed() and told(made)["dead"] == 0
    assert sum(p.member.refused["fleet"] for p in made.running.values()) == 0
    made.running["m3"].member.fleet = "another"
    made.run(5)
    assert all(made.holds(name, "m3") == "dead" for name in NAMES - {"m3"})
    assert sum(p.member.refused["fleet"] for p in made.running.values()) > 50
