"""The plan: the same to the byte, faults within their figures, arrivals that no fault moves."""

from __future__ import annotations

import math
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rehearsal import scenario as sc
from rehearsal.plan import PlanError, level_at, loads, lognormal, make, shape

ROOT = Path(__file__).parent.parent.parent
BASE = sc.load(sc.SHIPPED / "_base.toml")


def with_faults(seconds=20.0, **faults):
    raw = BASE.model_dump(by_alias=True)
    return sc.Scenario.model_validate({**raw, "seconds": seconds, "fault": faults})


def plan(seed=1, scale="small", seconds=20.0, **faults):
    return make(with_faults(seconds, **faults), "test", scale, seed)


def events(made, what):
    return [event for event in made.events if event.what == what]


def test_the_same_scenario_and_seed_make_the_same_plan_to_the_byte_in_another_process():
    made = plan(seed=7)
    code = (
        "import sys; sys.path.insert(0, 'tests/rehearsal'); from test_kit_plan import plan;"
        "sys.stdout.buffer.write(plan(seed=7).dumps())"
    )
    other = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        capture_output=True,
        env={"PYTHONPATH": str(ROOT), "PYTHONHASHSEED": "77", "PATH": ""},
    )
    assert other.stdout == made.dumps(), other.stderr
    assert plan(seed=8).dumps() != made.dumps()


def test_a_plan_read_back_is_the_plan_with_its_classes_in_order():
    """Found: written with sorted keys, the rig numbered the classes otherwise than the daemon."""
    made = plan(a={"kind": "deploy", "at": 2, "lasts": 15})
    read = loads(made.dumps())
    assert read == made and read.classes == made.classes == tuple(BASE.classes)
    assert read.members == made.members and read.halls == made.halls and read.dumps() == made.dumps()
    assert list(made.classes) != sorted(made.classes)  # else this would show nothing


@pytest.mark.parametrize(
    "data", [b"", b"{}", b"no", b'{"format": 99}\n', b"\xff", b'{"format":1}\n["calls"]\n']
)
def test_what_is_no_plan_is_an_error(data):
    with pytest.raises(PlanError):
        loads(data)


def test_a_torn_plan_is_an_error():
    text = plan(seconds=2.0).dumps()
    with pytest.raises(PlanError):
        loads(text[: len(text) // 2])


def test_a_fault_moves_no_arrival():
    plain = plan()
    troubled = plan(a={"kind": "pauses", "at": 1, "lasts": 5}, b={"kind": "deaths", "at": 3})
    assert troubled.calls == plain.calls and troubled.nodes == plain.nodes


@settings(max_examples=20)
@given(seed=st.integers(0, 10**6), part=st.floats(0.05, 1.0), batch=st.floats(0.05, 0.5))
def test_a_deploy_replaces_its_part_in_batches_and_every_successor_is_cold_and_new(seed, part, batch):
    made = plan(seed, seconds=30.0, d={"kind": "deploy", "at": 2, "lasts": 25, "part": part, "batch": batch})
    drains, stops, starts = events(made, "drain"), events(made, "stop"), events(made, "start")
    count = math.floor(part * made.size.nodes + 1e-9)
    assert len(drains) == len(stops) == len(starts) == count == len({e.which for e in drains})
    by_time = {}
    for event in drains:
        by_time.setdefault(event.t_us, []).append(event.which)
    assert max(map(len, by_time.values())) <= max(1, math.floor(batch * made.size.nodes))
    ends = {event.which: event.t_us for event in stops}
    for event in drains:
        assert 2_000_000 <= ends[event.which] - event.t_us <= 3_500_001
    assert max(ends.values()) <= 27_000_001 + 1
    for event in starts:
        node = made.nodes[event.which]
        assert node.born_us == event.t_us and event.which >= made.size.nodes
    assert len({node.name for node in made.nodes}) == len(made.nodes)
    told = [n for n in made.news if n.status == "DRAINING"]
    begun = {e.which: e.t_us for e in drains}
    assert all(0.1e6 - 1 <= n.t_us - begun[n.node] <= 0.6e6 + 1 for n in told) and len(told) == count


def test_deaths_spare_what_a_deploy_takes_and_come_back_as_new_processes():
    made = plan(
        seconds=30.0,
        a={"kind": "deploy", "at": 2, "lasts": 20, "part": 0.5},
        b={"kind": "deaths", "at": 3, "part": 0.24},
    )
    deaths = events(made, "die")
    for number, node in enumerate(made.nodes):  # what the list says of a node follows what it did
        assert node.born_us < 0 or min(n.t_us for n in made.news if n.node == number) > node.born_us
    assert len(deaths) == math.floor(0.24 * made.size.nodes)
    assert not {e.which for e in deaths} & {e.which for e in events(made, "stop")}
    for event in deaths:
        news = [n for n in made.news if n.node == event.which]
        assert [n.status for n in sorted(news)] == ["DELETED", "SERVING"]
        assert news[-1].since_us > event.t_us  # the list tells when it started: it is cold


def test_pauses_hit_their_part_for_their_time_and_nobody_else():
    made = plan(a={"kind": "pauses", "at": 4, "lasts": 10, "part": 0.44, "ms": [81, 200]})
    found = events(made, "pause")
    assert len({e.which for e in found}) == math.floor(0.44 * made.size.nodes)
    assert all(81_000 <= e.value <= 200_001 and 4_000_000 <= e.t_us < 14_000_000 for e in found)


def test_costly_calls_are_of_their_class_and_time():
    plain = plan()
    made = plan(
        a={"kind": "costly", "at": 5, "lasts": 10, "of": "avail-read", "part": 0.2, "times": [10, 20]}
    )
    changed = [(a, b) for a, b in zip(plain.calls, made.calls, strict=True) if a.work_us != b.work_us]
    assert changed
    for before, after in changed:
        assert made.classes[after.cls] == "avail-read" and 5e6 <= after.due_us < 15e6
        assert 9.9 <= after.work_us / before.work_us <= 20.1


def test_a_fault_after_the_end_is_an_error_that_names_it():
    with pytest.raises(PlanError, match=r"fault\.late"):
        plan(late={"kind": "pauses", "at": 21, "lasts": 1})


def test_no_such_scale():
    with pytest.raises(PlanError, match="small, season"):
        make(BASE, "base", "huge", 1)


def test_load_and_rate_come_out_as_asked():
    made = plan(seconds=60.0)
    assert abs(len(made.calls) / 60 / made.rate - 1) < 0.1
    assert made.rate == pytest.approx(0.55 * made.capacity)
    shares = [sum(1 for c in made.calls if c.cls == i) / len(made.calls) for i in range(4)]
    assert shares == pytest.approx([0.34, 0.31, 0.22, 0.13], abs=0.03)
    works = [c.work_us for c in made.calls if c.cls == 0]
    assert sum(works) / len(works) / 85_000 == pytest.approx(1.0, abs=0.08)


def test_halls_get_their_part_of_the_traffic_however_it_is_spread_over_daemons():
    made = make(BASE, "base", "season", 3)
    parts = [sum(1 for c in made.calls if made.daemons[c.daemon] == h) / len(made.calls) for h in range(4)]
    assert parts == pytest.approx([0.36, 0.26, 0.22, 0.16], abs=0.02)
    assert [sum(1 for n in made.nodes if n.hall == h) for h in range(4)] == [42, 36, 34, 28]


def test_beyond_its_share_a_member_is_marked_and_within_it_is_not():
    raw = BASE.model_dump(by_alias=True)
    raw["member"] = {"big": {"share": 0.1, "usage": 8.0}, "small": {"share": 0.9, "usage": 0.3}}
    raw["seconds"] = 30.0
    made = make(sc.Scenario.model_validate(raw), "greedy", "small", 1)
    big = [c for c in made.calls if c.member == 0]
    within = sum(1 for c in big if not c.over) / 30
    assert within == pytest.approx(0.9 * made.capacity * 0.1, rel=0.15) and any(c.over for c in big)
    assert not any(c.over for c in made.calls if c.member == 1)


@given(
    st.sampled_from(["steady", "bursty", "ramp", "wave", "sale"]),
    st.integers(0, 1000),
    st.floats(2.0, 60.0),
    st.floats(0.0, 1.0),
)
def test_a_shape_is_never_negative_and_never_above_its_top(kind, seed, seconds, at):
    points, top = shape(sc.Arrivals(shape=kind), seconds, seed)
    level = level_at(points, at * seconds)
    assert 0.0 <= level <= top + 1e-9
    assert all(a[0] <= b[0] for a, b in zip(points, points[1:], strict=False))


def test_a_sale_doubles_the_load_within_its_time():
    points, top = shape(sc.Arrivals(shape="sale", sale_at=0.5, sale_times=2.0, sale_over_s=1.0), 20.0, 1)
    assert (level_at(points, 9.9), level_at(points, 10.5), level_at(points, 11.1), top) == (
        1.0,
        1.5,
        2.0,
        2.0,
    )


def test_lognormal_has_its_mean():
    import random

    draw = random.Random(1)
    values = [lognormal(draw, 80.0, 0.7) for _ in range(20000)]
    assert sum(values) / len(values) == pytest.approx(80.0, rel=0.03)
    assert lognormal(draw, 5.0, 0.0) == 5.0
