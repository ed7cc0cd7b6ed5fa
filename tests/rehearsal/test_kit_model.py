"""The node model on fake time: no socket, no clock."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rehearsal.nodes.model import Job, NodeModel, Rules
from rehearsal.plan import FOREVER, Node

MS, S = 1_000, 1_000_000
RULES = Rules(0.37, 2.5, 1_500_000, 0.4, 85_000.0, True)


def spec(**changes: Any) -> Node:
    base = Node(
        "n", 0, 0, 1.0, 8, 2_000, 0, 0, -1, 8_300_000, 5.0, 2_000_000, 2.5, 4_000_000, 25_000_000, (0,)
    )
    return base._replace(**changes)


def model(born: int = -1, rules: Rules = RULES, now: int = 0, **changes: Any) -> NodeModel:
    return NodeModel(spec(**changes), rules, now, born)


def run(node: NodeModel, now: int, until: int = 60 * S) -> list:
    """Advance as a host does: whenever something is due."""
    done = []
    while (due := node.due(now)) <= until:
        now = due
        done += node.advance(now)
    return done


def job(tag: object, ms: float = 80.0, expires: int = FOREVER) -> Job:
    return Job(tag, ms * MS, expires)


def test_one_core_serves_in_order_and_takes_its_time():
    node = model()
    for tag in range(3):
        assert node.offer(0, job(tag))
    done = run(node, 0)
    assert [d.tag for d in done] == [0, 1, 2]
    assert [d.ended for d in done] == pytest.approx([80_000, 160_000, 240_000], abs=5)
    assert [d.began for d in done] == pytest.approx([0, 80_000, 160_000], abs=5)


def test_a_full_queue_turns_away_and_has_room_again():
    node = model(queue=2)
    assert [node.offer(0, job(i)) for i in range(4)] == [True, True, True, False]
    node.advance(80_100)
    assert node.offer(80_100, job(5)) and not node.offer(80_100, job(6))


def test_what_nobody_waits_for_is_not_begun():
    node = model()
    node.offer(0, job("first"))
    node.offer(0, job("late", expires=50 * MS))
    node.offer(0, job("last", expires=90 * MS))
    done = {d.tag: d for d in run(node, 0)}
    assert done["late"].expired and not done["last"].expired and done["last"].ended < 161 * MS


def test_a_cold_core_is_slow_and_warms_up():
    node = model(born=0)
    assert node.warmth(0) == pytest.approx(0.37) and node.warmth(4_150_000) == pytest.approx(0.685)
    assert node.warmth(8_300_000) == 1.0
    node.offer(0, job("cold"))
    (done,) = run(node, 0)
    assert 195 * MS < done.ended < 217 * MS  # 80 / 0.37 = 216, and warming a little on the way


def test_a_pause_stops_the_core_and_nothing_is_lost():
    node = model()
    node.offer(0, job("a"))
    node.pause(40 * MS, 150 * MS)
    (done,) = run(node, 40 * MS)
    assert done.ended == pytest.approx(230 * MS, abs=5) and node.paused_until() == 190 * MS


def test_a_neighbour_takes_its_part_while_it_runs():
    node = model()
    node.offer(0, job("a"))
    node.leave(40 * MS, 0.5)
    (done,) = run(node, 40 * MS)
    assert done.ended == pytest.approx(120 * MS, abs=5)


def test_probes_and_handshakes_cost_work():
    node = model()
    node.charge(0, 1000)
    node.offer(0, job("a"))
    node.charge(10, 2000)
    (done,) = run(node, 10)
    assert done.ended == pytest.approx(83 * MS, abs=5)


def test_the_report_is_as_old_as_its_last_refresh():
    node = model(report_us=4000)
    assert node.load(100) == (0, 0)
    node.offer(500, job("a"))
    node.offer(600, job("b"))
    assert node.load(3999) == (0, 0)
    assert node.load(4001) == (2, 1)
    node.offer(4100, job("c"))
    assert node.load(7999) == (2, 1) and node.load(8000) == (3, 2)


def test_a_cold_node_that_is_sent_too_much_falls_over_and_a_warm_one_does_not():
    """2.5 times what it can do for 1.5 s: at 0.37 to 0.5 of a core and 85 ms a request, 20 or so."""

    def flood(node, born, count):
        for i in range(count):
            now = born + 1_600_000 * i // count
            node.offer(now, job(i, 1.0))
            if node.fell_at:
                return i
        return None

    fell = flood(model(born=0), 0, 60)
    assert fell is not None and fell >= 20
    assert flood(model(born=0), 0, 15) is None
    assert flood(model(), 0, 300) is None
    down = model(born=0)
    flood(down, 0, 60)
    assert not down.offer(2 * S, job("more")) and down.due(2 * S) == FOREVER


def test_what_is_turned_away_pushes_as_well():
    node = model(born=0, queue=1)
    for i in range(80):
        node.offer(20_000 * i, job(i, 500.0))
    assert node.fell_at


def test_too_many_waiting_for_too_long_jam_it_until_it_has_rested():
    node = model(queue=20)
    now = 0
    while not node.jammed and now < 6 * S:
        while node.held < 9:
            node.offer(now, job(now))
        now += 20 * MS
        node.advance(now)
    assert node.jammed and 1 * S < now < 4 * S and node.jams == 1
    held = node.held
    start = now
    done = run(node, now, now + 30 * S)
    assert len(done) == held
    assert done[-1].ended - start > 1.8 * held * 80 * MS  # two and a half times slower, but for its first
    node.advance(done[-1].ended + 2 * S)
    assert node.jammed  # it has not rested for long enough
    node.advance(done[-1].ended + 5 * S)
    assert not node.jammed


def test_a_short_burst_does_not_jam():
    node = model(queue=20)
    for i in range(10):
        node.offer(0, job(i, 20.0))
    run(node, 0)
    node.advance(10 * S)
    assert node.jams == 0


@settings(max_examples=120)
@given(
    st.lists(
        st.tuples(st.integers(0, 400), st.floats(1.0, 300.0), st.sampled_from(["job", "pause", "left"])),
        min_size=1,
        max_size=40,
    ),
    st.booleans(),
)
def test_every_request_taken_is_done_once_in_order_and_never_faster_than_the_core(steps, cold):
    node = model(born=0 if cold else -1, rules=RULES._replace(drops_expired=False))
    now, taken, done = 0, [], []
    for wait, size, what in steps:
        now += wait * MS
        while node.due(now) <= now:
            done += node.advance(now)
        done += node.advance(now)
        if what == "job":
            if node.offer(now, Job(len(taken), size * MS, FOREVER)):
                taken.append((now, size * MS))
        elif what == "pause":
            node.pause(now, int(size * MS))
        else:
            node.leave(now, max(0.3, min(1.0, size / 300)))
    if not node.fell_at:
        done += run(node, now, now + 600 * S)
        assert [d.tag for d in done] == list(range(len(taken)))
        last = 0
        for d in done:
            came, work = taken[d.tag]
            assert d.began >= came and d.ended - d.began >= work - 2 and d.began >= last
            last = d.ended
        assert node.held == 0
