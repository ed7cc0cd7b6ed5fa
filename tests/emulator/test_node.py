"""The node's model against formulas where they exist, and against its words where they don't."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from emulator.clock import SECOND, Clock
from emulator.node import Node, Shape
from emulator.streams import Streams

MS = 1_000_000
WORK = 10 * MS


def offered(shape, load, seconds, seed=1, work=None):
    """A node under Poisson arrivals of so much load for each core; the node and its times in system."""
    clock, streams = Clock(), Streams(seed)
    node, times = Node(clock, shape), []
    gaps, sizes = streams.of("arrivals"), streams.of("work")
    draw = work or (lambda: sizes.expovariate(1.0 / WORK))

    def arrive():
        came = clock.now
        node.take(draw(), lambda served: times.append(clock.now - came) if served else None)
        clock.after(max(1, int(gaps.expovariate(load * shape.cores / WORK))), arrive)

    arrive()
    clock.run(int(seconds * SECOND))
    node.check()
    return node, times


def erlang_c(cores, load):
    a = cores * load
    wait = a**cores / math.factorial(cores) / (1 - load)
    return wait / (sum(a**k / math.factorial(k) for k in range(cores)) + wait)


@pytest.mark.parametrize("load", [0.3, 0.6, 0.8])
def test_one_core_is_m_m_1(load):
    _, times = offered(Shape(queue=10**6), load, 1200)
    assert sum(times) / len(times) == pytest.approx(WORK / (1 - load), rel=0.06)
    # Time in system is exponential there: its 90th percentile is ln 10 of its mean.
    p90 = sorted(times)[int(0.9 * len(times))]
    assert p90 == pytest.approx(math.log(10) * WORK / (1 - load), rel=0.08)


@pytest.mark.parametrize(("cores", "load"), [(2, 0.7), (4, 0.8)])
def test_many_cores_are_m_m_c(cores, load):
    _, times = offered(Shape(cores=cores, slots=cores, queue=10**6), load, 600)
    expected = WORK + erlang_c(cores, load) * WORK / (cores * (1 - load))
    assert sum(times) / len(times) == pytest.approx(expected, rel=0.06)


def test_fixed_work_is_m_d_1():
    load = 0.7
    _, times = offered(Shape(queue=10**6), load, 600, work=lambda: WORK)
    assert sum(times) / len(times) == pytest.approx(WORK * (1 + load / (2 * (1 - load))), rel=0.05)


def test_more_slots_than_cores_share_them():
    """Processor sharing: the mean does not depend on how work is spread."""
    load = 0.6
    shape = Shape(slots=10**4, queue=0)
    _, plain = offered(shape, load, 800, work=lambda: WORK)
    assert sum(plain) / len(plain) == pytest.approx(WORK / (1 - load), rel=0.06)


def test_a_full_queue_turns_away_as_m_m_1_k_does():
    load, room = 0.9, 4  # one that runs, three that wait
    node, _ = offered(Shape(queue=room - 1), load, 800)
    lost = (1 - load) * load**room / (1 - load ** (room + 1))
    assert node.ledger.turned_away / node.ledger.taken == pytest.approx(lost, rel=0.08)


@pytest.mark.parametrize("load", [0.5, 0.85])
def test_littles_law(load):
    node, times = offered(Shape(cores=2, slots=2, queue=10**6), load, 300)
    held = node.ledger.held_ns / (300 * SECOND)
    rate = node.ledger.served / (300 * SECOND)
    assert held == pytest.approx(rate * sum(times) / len(times), rel=0.01)


def test_a_cold_node_takes_as_long_as_its_warmth_says():
    clock, ended = Clock(), []
    node = Node(clock, Shape(cold_from=0.4, cold_ns=8 * SECOND, queue=100), cold=True)
    node.take(40 * MS, lambda served: ended.append(clock.now))
    clock.run(4 * SECOND)
    assert ended[0] == pytest.approx(40 * MS / 0.4, rel=0.02)
    node.take(40 * MS, lambda served: ended.append(clock.now))
    clock.run(20 * SECOND)
    assert ended[1] - 4 * SECOND == pytest.approx(40 * MS / 0.7, rel=0.02)
    node.take(40 * MS, lambda served: ended.append(clock.now))
    clock.run(21 * SECOND)
    assert ended[2] - 20 * SECOND == pytest.approx(40 * MS, abs=2)


def test_pauses_and_neighbours_stretch_what_runs():
    clock, ended = Clock(), []
    node = Node(clock, Shape())
    node.take(100 * MS, lambda served: ended.append(clock.now))
    clock.run(20 * MS)
    node.pause(50 * MS)
    clock.run(60 * MS)
    node.share(0.5)  # in the pause: counts from its end
    clock.run(SECOND)
    assert ended == [pytest.approx(70 * MS + 2 * 80 * MS, abs=2)]


def test_a_crowd_chokes_it_once_and_rest_ends_it():
    clock = Clock()
    shape = Shape(queue=20, choke_at=5, choke_slower=3.0, choke_rest_ns=2 * SECOND)
    node = Node(clock, shape)
    for i in range(4 * 100):  # twice what it can do, for four seconds
        clock.at(i * 10 * MS, lambda: node.take(20 * MS, lambda served: None))
    clock.run(4 * SECOND)
    assert node.choked and node.speed() == pytest.approx(1 / 3)
    for i in range(100):
        clock.at(4 * SECOND + i * 100 * MS, lambda: node.take(2 * MS, lambda served: None))
    clock.run(14 * SECOND)
    assert not node.choked and node.speed() == 1.0
    for i in range(400):
        clock.at(14 * SECOND + i * 10 * MS, lambda: node.take(20 * MS, lambda served: None))
    clock.run(18 * SECOND)
    assert not node.choked
    node.check()


def test_death_ends_all_it_held_and_nothing_later():
    clock, ended = Clock(), []
    node = Node(clock, Shape(queue=5))
    for _ in range(3):
        node.take(10 * MS, ended.append)
    clock.run(15 * MS)
    node.die()
    assert ended == [True, False, False]
    assert not node.take(MS, ended.append)
    clock.run(SECOND)
    assert ended == [True, False, False, False]
    assert node.ledger.work_lost == pytest.approx(5 * MS, abs=2)
    node.check()


WRONG = [
    {"cores": 0},
    {"slots": 0},
    {"queue": -1},
    {"speed": 0.0},
    {"speed": math.nan},
    {"cold_from": 0.0},
    {"choke_slower": 0.5},
]


@pytest.mark.parametrize("wrong", WRONG)
def test_a_shape_that_makes_no_sense_names_its_key(wrong):
    with pytest.raises(ValueError, match=next(iter(wrong))):
        Shape(**wrong)


@settings(max_examples=60, deadline=None)
@given(
    st.integers(1, 3),
    st.integers(1, 4),
    st.integers(0, 4),
    st.booleans(),
    st.lists(
        st.tuples(
            st.integers(0, 60), st.sampled_from(["call"] * 6 + ["pause", "share", "die"]), st.integers(1, 50)
        ),
        max_size=40,
    ),
)
def test_every_call_has_one_outcome_and_work_is_kept(cores, slots, queue, drops, plan):
    clock, outcomes = Clock(), []
    node = Node(
        clock,
        Shape(cores=cores, slots=slots, queue=queue, drops_expired=drops, cold_from=0.5, cold_ns=SECOND),
        cold=True,
    )
    when, calls, served_work = 0, 0, []

    def done(number, work):
        def told(served):
            outcomes.append(number)
            if served:
                served_work.append(work)

        return told

    for gap, what, size in plan:
        when += gap * MS
        clock.run(when)
        if what == "call":
            node.take(size * MS, done(calls, size * MS), clock.now + 40 * MS)
            calls += 1
        elif what == "pause":
            node.pause(size * MS)
        elif what == "share":
            node.share(size / 100)
        else:
            node.die()
        node.check()
    assert clock.drain(100_000)
    node.check()
    assert sorted(outcomes) == list(range(calls))
    book = node.ledger
    assert book.work_done == pytest.approx(sum(served_work) + book.work_lost, abs=2 * calls + 2)
