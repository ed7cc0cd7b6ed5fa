"""The judge on records made by hand: each rule kept, each rule broken, and the worth counted by hand."""

from __future__ import annotations

from functools import cache

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rehearsal import criteria
from rehearsal import scenario as sc
from rehearsal.judge import Got, Judgement, Life, Records, Sample, Sent, Tally, judge, timeline, worst_window
from rehearsal.plan import FOREVER, Event, News, make

MS, S = 1_000, 1_000_000
BASE = sc.load(sc.SHIPPED / "_base.toml")
CLASSES = list(BASE.classes)


@cache
def base_plan(repeat="unsafe", group="all", window_ms=0.0, seconds=12.0):
    raw = BASE.model_dump(by_alias=True)
    raw["seconds"] = seconds
    raw["class"]["booking-confirm"].update(repeat=repeat, group=group, window_ms=window_ms)
    return make(sc.Scenario.model_validate(raw), "judged", "small", 1)


def of_class(plan, name, nth=0):
    return [n for n, c in enumerate(plan.calls) if plan.classes[c.cls] == name][nth]


def sent(plan, call, outcome="served", took=100 * MS, final=None, number=1, status=200, final_at=None):
    due = plan.calls[call].due_us
    end = due + took
    return Sent(
        call,
        number,
        plan.calls[call].daemon,
        due + MS,
        end,
        outcome,
        final or outcome,
        status,
        end if final_at is None else final_at,
        f"id-{call}-{number}",
        None,
    )


def got(row, node=0, first=None, took=50 * MS, how="ok", ran=True, answered=True):
    first = row.sent + MS if first is None else first
    done = first + took
    return Got(
        row.rid,
        node,
        0,
        first,
        first,
        first if ran else -1,
        done if ran else -1,
        done if answered else -1,
        how,
    )


def rules(plan, records):
    found = judge(plan, records)
    return {
        rule: [b.what for b in found.breaches if b.rule == rule]
        for rule in ("lost", "repeated", "drained", "cold")
    }


BROKEN = {"lost": [], "repeated": [], "drained": [], "cold": []}


def test_a_request_that_was_served_breaks_nothing():
    plan = base_plan()
    row = sent(plan, 0)
    assert rules(plan, Records(tries=[row], attempts=[got(row)])) == BROKEN


@pytest.mark.parametrize(
    ("outcome", "final", "status", "says"),
    [
        ("silent", "silent", 0, "no answer within the client's time"),
        ("broken", "broken", 0, "its connection ended with no answer"),
        ("wrong", "wrong", 200, "served with what no node made for it"),
        ("silent", "served", 200, None),  # it came within the grace of sockets
        ("broken", "broken", 200, None),  # begun and not finished: the client can tell
        ("failed", "failed", 502, None),
        ("refused", "refused", 503, None),
        ("left", "left", 0, None),
    ],
)
def test_lost(outcome, final, status, says):
    plan = base_plan()
    row = sent(plan, of_class(plan, "avail-read"), outcome, final=final, status=status)
    assert rules(plan, Records(tries=[row], attempts=[got(row)]))["lost"] == ([says] if says else [])


def test_served_by_nobody_is_lost_and_so_are_second_answers_aliens_and_late_sends():
    plan = base_plan()
    row = sent(plan, 0)
    assert rules(plan, Records(tries=[row]))["lost"] == ["served, and no node has run it"]
    assert rules(plan, Records(tries=[row], attempts=[got(row)], surplus=[(row.rid, row.end)]))["lost"] == [
        "more than one answer"
    ]
    late = got(row, first=row.end + 60 * MS)
    assert rules(plan, Records(tries=[row], attempts=[got(row), late]))["lost"] == [
        "sent on after its final answer"
    ]
    assert rules(plan, Records(aliens=[(0, 5, "x")]))["lost"] == ["a node was sent what no client asked"]
    assert rules(plan, Records(bad=[(0, 5, "noise", 9, 200)]))["lost"] == ["a bad client (noise) was served"]


def test_a_try_at_a_daemon_that_was_killed_is_not_lost_but_one_at_its_neighbour_is():
    plan = base_plan()
    row = sent(plan, 0, "broken", status=0)
    for daemon, lost in ((row.daemon, 0), (row.daemon + 1, 1)):
        life = Life(daemon, row.sent + 20 * MS, "killed")
        assert len(rules(plan, Records(tries=[row], lives=[life]))["lost"]) == lost
    stopped = Life(row.daemon, row.sent + 20 * MS, "restart")  # SIGTERM: what was taken is answered
    assert len(rules(plan, Records(tries=[row], lives=[stopped]))["lost"]) == 1


def test_what_never_was_taken_is_not_lost():
    plan = base_plan()
    row = sent(plan, 0, "untaken", status=0)._replace(sent=-1)
    assert rules(plan, Records(tries=[row])) == BROKEN


@pytest.mark.parametrize("how", ["ok", "reset", "died", "silent", "stale", "error", "spoilt", "unheard"])
def test_unsafe_sent_again_after_anything_that_may_have_run_is_repeated(how):
    plan = base_plan()
    row = sent(plan, of_class(plan, "booking-confirm"))
    first = got(row, took=20 * MS, how=how, ran=how in ("ok", "unheard"))
    second = got(row, node=1, first=first.first + 30 * MS)
    assert len(rules(plan, Records(tries=[row], attempts=[first, second]))["repeated"]) == 1
    free = sent(plan, of_class(plan, "inventory-set"))
    attempts = [first._replace(rid=free.rid), second._replace(rid=free.rid)]
    assert rules(plan, Records(tries=[free], attempts=attempts))["repeated"] == []


@pytest.mark.parametrize("how", ["away", "late"])
def test_unsafe_may_be_sent_again_once_its_node_has_said_that_it_never_ran(how):
    plan = base_plan()
    row = sent(plan, of_class(plan, "booking-confirm"))
    first = got(row, took=20 * MS, how=how, ran=False)
    second = got(row, node=1, first=first.answered + MS)
    early = got(row, node=1, first=first.answered - MS)
    assert rules(plan, Records(tries=[row], attempts=[first, second]))["repeated"] == []
    assert len(rules(plan, Records(tries=[row], attempts=[first, early]))["repeated"]) == 1


@pytest.mark.parametrize(
    ("how", "ran", "says"),
    [
        ("ok", True, "refused though it ran"),
        ("unheard", True, "refused though it ran"),
        ("reset", False, "refused though it may have run"),
        ("away", False, None),
    ],
)
def test_a_refusal_is_a_promise(how, ran, says):
    plan = base_plan()
    row = sent(plan, of_class(plan, "booking-confirm"), "refused", status=503)
    records = Records(tries=[row], attempts=[got(row, how=how, ran=ran)])
    assert rules(plan, records)["repeated"] == ([says] if says else [])


def test_keyed_may_be_repeated_within_its_group_and_window_alone():
    plan = base_plan("keyed", "cell", 200.0)
    row = sent(plan, of_class(plan, "booking-confirm"))
    near = next(n for n, node in enumerate(plan.nodes) if n and node.cell == plan.nodes[0].cell)
    far = next(n for n, node in enumerate(plan.nodes) if node.cell != plan.nodes[0].cell)
    first = got(row, took=20 * MS, how="reset")
    for node, after, broken in ((near, 100, 0), (near, 300, 1), (far, 100, 1), (0, 100, 0)):
        second = got(row, node=node, first=first.first + after * MS)
        assert len(rules(plan, Records(tries=[row], attempts=[first, second]))["repeated"]) == broken


def drained(plan, told, first, serving=()):
    row = sent(plan, 0)._replace(sent=first - MS, end=first + 50 * MS, final_at=first + 50 * MS)
    rows = [(row.daemon, told, 3, "DRAINING"), *((row.daemon, at, 3, "SERVING") for at in serving)]
    return rules(plan, Records(tries=[row], attempts=[got(row, node=3, first=first)], told=rows))["drained"]


def test_nothing_new_goes_to_a_drained_node_after_the_grace():
    plan = base_plan()
    assert drained(plan, S, 2 * S + 50 * MS) == []
    assert len(drained(plan, S, 2 * S + 51 * MS)) == 1
    assert drained(plan, S, 3 * S, serving=[2_500_000]) == []  # it is back
    assert len(drained(plan, S, 3 * S, serving=[500_000])) == 1
    row = sent(plan, 0)
    other = [(row.daemon + 1, 0, 3, "DRAINING")]  # another daemon was told
    assert rules(plan, Records(tries=[row], attempts=[got(row, node=3)], told=other)) == BROKEN


def test_the_grace_counts_from_the_first_word_and_not_from_the_last():
    plan = base_plan()
    row = sent(plan, 0)._replace(sent=2_490_000, end=2_600_000, final_at=2_600_000)
    told = [(row.daemon, S, 3, "DRAINING"), (row.daemon, 2_400_000, 3, "DELETED")]
    records = Records(tries=[row], attempts=[got(row, node=3, first=2_500_000)], told=told)
    assert len(rules(plan, records)["drained"]) == 1


def test_who_never_asks_counts_as_told_in_the_end_unless_the_list_is_out_of_reach():
    plan = base_plan(seconds=40.0)._replace(news=(News(S, 3, "DRAINING", 0),))
    row = sent(plan, 0)._replace(sent=14 * S, end=15 * S, final_at=15 * S)
    late = [got(row, node=3, first=14 * S)]
    early = [got(row, node=3, first=9 * S)]
    assert len(rules(plan, Records(tries=[row], attempts=late))["drained"]) == 1
    assert rules(plan, Records(tries=[row], attempts=early))["drained"] == []
    outage = Records(tries=[row], attempts=late, outages=[(500_000, 8 * S)])
    assert rules(plan, outage)["drained"] == []
    hall = plan.daemons[row.daemon]
    cut = plan._replace(
        events=(Event(500_000, "hall", hall, "cut", 1.0), Event(9 * S, "hall", hall, "cut", 0.0))
    )
    assert rules(cut, Records(tries=[row], attempts=late))["drained"] == []
    back = plan._replace(news=(*plan.news, News(5 * S, 3, "SERVING", 0)))
    assert rules(back, Records(tries=[row], attempts=late))["drained"] == []


def test_a_fall_is_told_with_its_node():
    plan = base_plan()
    found = judge(plan, Records(falls=[(4, 3 * S)]))
    assert found.count("cold") == 1 and found.breaches[0].node == 4
    assert any(
        "falls over" in line for line in timeline(plan, Records(falls=[(4, 3 * S)]), found.breaches[0])
    )


# --- worth


def test_worth_by_hand():
    plan = base_plan()
    rows, tally = [], {"on_time": 0.0, "asked": 0.0}
    worths = [c.worth for c in plan.scenario.classes.values()]
    for n, call in enumerate(plan.calls):
        worth = worths[call.cls] * (0.05 if call.over else 1)
        tally["asked"] += worth
        if n % 3 == 0:
            rows.append(sent(plan, n, took=324 * MS))
            tally["on_time"] += worth
        elif n % 3 == 1:
            rows.append(sent(plan, n, took=325 * MS))
        else:
            rows.append(sent(plan, n, "refused", status=503))
    found = judge(plan, Records(tries=rows, attempts=[got(r) for r in rows if r.outcome == "served"]))
    assert found.whole == pytest.approx(tally["on_time"] / tally["asked"])
    counts = [sum(1 for end in found.ends if end.how == how) for how in ("on_time", "late", "refused")]
    assert sum(counts) == len(plan.calls) and max(counts) - min(counts) <= 1
    assert found.weighted == pytest.approx(
        0.4 * found.whole + 0.15 * found.worst_10s + 0.2 * found.worst_class + 0.25 * found.worst_member
    )


def test_retries_join_their_first_try_and_latency_counts_from_when_it_was_due():
    plan = base_plan()
    first = sent(plan, 0, "refused", took=50 * MS, status=503)
    for took, how in ((300 * MS, "on_time"), (330 * MS, "late")):
        second = sent(plan, 0, took=took, number=2)
        found = judge(
            plan, Records(tries=[second, first], attempts=[got(second)]), until_us=plan.calls[1].due_us
        )
        assert [(e.how, e.latency_us) for e in found.ends] == [(how, took)]


def test_a_call_that_was_never_tried_counts_as_asked():
    plan = base_plan()
    found = judge(plan, Records())
    assert found.whole == 0.0 and len(found.ends) == len(plan.calls)


def test_an_interrupted_play_counts_what_was_due_by_then():
    plan = base_plan()
    found = judge(plan, Records(), until_us=S)
    assert len(found.ends) == sum(1 for c in plan.calls if c.due_us < S)


@given(st.lists(st.tuples(st.integers(0, 39), st.booleans()), max_size=60))
def test_the_worst_window_is_the_worst_of_all(rows):
    by_second: dict[int, Tally] = {}
    for second, good in rows:
        tally = by_second.setdefault(second, Tally())
        tally.asked_worth += 1
        tally.served_worth += good
    worst = worst_window(by_second, 40.0)
    for first in range(31):
        part = [t for s, t in by_second.items() if first <= s < first + 10]
        asked = sum(t.asked_worth for t in part)
        if asked:
            assert worst <= sum(t.served_worth for t in part) / asked + 1e-9
    assert 0.0 <= worst <= 1.0


# --- verdicts


def sound(**changes) -> Judgement:
    found = judge(base_plan(), Records())
    for key, value in {
        "whole": 1.0,
        "worst_10s": 1.0,
        "weighted": 1.0,
        "worst_class": 1.0,
        "worst_member": 1.0,
        **changes,
    }.items():
        setattr(found, key, value)
    return found


def with_criteria(**aims):
    plan = base_plan()
    return plan._replace(scenario=plan.scenario.model_copy(update={"criteria": sc.Criteria(**aims)}))


def test_void_comes_before_everything():
    found = judge(base_plan(), Records(falls=[(1, 1)]))
    said, reasons = criteria.verdict(with_criteria(rig_late_ms=25), found, [], 26.0, ["daemon d0 died"], [])
    assert said == "void" and reasons == ["the rig itself ran 26.0 ms late (99th percentile), 25 allowed"]
    assert criteria.verdict(with_criteria(), found, [], 1.0, [], ["interrupted after 1 s"])[0] == "void"


def test_every_criterion_can_fail_and_is_named():
    samples = [Sample(int(t * 120_000), 0, 20.0 + t, 9, 0.1) for t in range(100)]
    cases = {
        "served_worth": (dict(served_worth=0.9), dict(whole=0.89)),
        "weighted": (dict(weighted=0.9), dict(weighted=0.5)),
        "worst_10s": (dict(worst_10s=0.9), dict(worst_10s=0.5)),
        "worst_class": (dict(worst_class=0.9), dict(worst_class=0.5)),
        "worst_member": (dict(worst_member=0.9), dict(worst_member=0.5)),
        "cross_hall": (dict(cross_hall=0.2), dict(cross_hall=0.3)),
        "probes_per_request": (dict(probes_per_request=1.0), dict(probes=10**6)),
        "bad_clients_unheard": (
            dict(bad_clients_unheard=0.1),
            dict(bad={"asked": 10, "unheard": 5, "served": 0}),
        ),
        "memory_growth_mb": (dict(memory_growth_mb=10.0), {}),
    }
    for name, (aims, found) in cases.items():
        plan = with_criteria(**{"memory_growth_mb": 100.0, **aims})
        said, reasons = criteria.verdict(plan, sound(**found), samples, 1.0, [], [])
        assert said == "fail" and len(reasons) == 1 and reasons[0].startswith(name), (name, reasons)
    assert criteria.verdict(with_criteria(memory_growth_mb=1000.0), sound(), samples, 1.0, [], []) == (
        "pass",
        [],
    )


def test_quarters_and_growth():
    samples = [Sample(int(t * S), d, 10.0 + t * d, 5 + t, 0.1) for t in range(12) for d in (0, 1)]
    assert criteria.quarters(samples, 12.0, "memory_mb") == [12.0, 15.0, 18.0, 21.0]
    assert criteria.memory_growth(samples, 12.0) == 6.0
    assert criteria.memory_growth([], 12.0) == 0.0


def test_without_a_sidecar_nothing_was_promised_but_the_other_rules_hold():
    plan = base_plan()
    row = sent(plan, 0, "silent", status=0)
    found = judge(plan, Records(tries=[row], falls=[(1, 5)]), sidecar=False)
    assert found.count("lost") == 0 and found.count("cold") == 1 and FOREVER > 0
