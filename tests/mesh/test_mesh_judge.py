"""The judge of the mesh's rehearsal, on histories made by hand: each invariant kept, each one broken."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from rehearsal.mesh import judge as j
from rehearsal.mesh.judge import Arrival, Change, History, Try

ROUTE = {"hostname": "mesh.example", "rule": {"name": "sailings", "revision": "r4"}}


def one(attempt: str = "a1", kind: str = "effectful", **told: Any) -> Try:
    made = Try(
        attempt,
        kind,
        "sidecar0",
        "ferry",
        "POST /x 1 00",
        sent=1.0,
        ended=1.1,
        status=200,
        echo=attempt,
        seal="s1",
        body=b"done",
    )
    return replace(made, **told)


def run(attempt: str = "a1", **told: Any) -> Arrival:
    made = Arrival(attempt, "sidecar1/i-1", "POST /x 1 00", "ferry", at=1.05, seal="s1", body=b"done")
    return replace(made, **told)


def refused(attempt: str = "a1", status: int = 503, **told: Any) -> Try:
    return one(attempt, status=status, seal="", body=b"refused\n", echo="", **told)


def cut(how: str = "cut", took: float = 0.1, **told: Any) -> Try:
    return refused(status=0, how=how, ended=1.0 + took, **told)


def changed(version: int, content: Any = ROUTE, status: int = 200, valid: bool = True) -> Change:
    return Change(version, {"route/sailings": content}, valid, status)


def stands(version: int, content: Any = ROUTE) -> dict[str, Any]:
    return {"route/sailings": (version, content)}


KEYED = {"kind": "idempotent", "key": "k1"}
KEPT = {
    "nothing at all": History(),
    "one try, one run": History([one()], [run()]),
    "a pure try ran on two": History([one(kind="pure")], [run(seal="s0"), run()]),
    "turned away, then run": History([one()], [run(ran=False, status=503), run()]),
    "a key and its repeat": History([one(**KEYED), one("a2", **KEYED, echo="a1")], [run(key="k1")]),
    "a key at work": History([one(**KEYED), refused("a2", 409, **KEYED)], [run(key="k1")]),
    "a key whose answer is lost": History([refused("a2", 502, **KEYED)], []),
    "refused, and not run": History([refused()], [run(ran=False, status=503)]),
    "failed, and run": History([refused(status=502)], [run()]),
    "a pure try was refused, and ran": History([refused(kind="pure")], [run()]),
    "cut at once, unread": History([cut(took=0.01)]),
    "cut by a kill": History([cut(took=1.0)], [run()], kills=[("sidecar0", 1.9)]),
    "never connected": History([cut("unconnected", 1.0)]),
    "read back": History(changes=[changed(4)], readings=[stands(4), stands(4)]),
    "newer, not acknowledged": History(changes=[changed(4), changed(5, status=0)], readings=[stands(5)]),
    "older, after a newer": History(changes=[changed(5), changed(4)], readings=[stands(5)]),
    "dropped": History(changes=[changed(4), changed(5, None)], readings=[{}]),
    "perhaps dropped": History(changes=[changed(4), changed(5, None, 0)], readings=[{}]),
    "recovered": History(
        [one(), one("a2", sent=9.0, ended=9.1, seal="s2")],
        [run(), run("a2", seal="s2")],
        kills=[("controller0", 3.0)],
        backs=[4.0],
    ),
    "nothing was served before either": History(
        [refused(), refused("a2", sent=9.0)], kills=[("controller0", 3.0)], backs=[4.0]
    ),
    "invalid, and refused": History(changes=[changed(4, status=400, valid=False)], readings=[{}]),
}
TWO_RUNS = [run("a1", key="k1"), run("a2", key="k1", seal="s2")]
BROKEN = {
    "an effectful try ran twice": (j.once, History([one()], [run(), run(server="sidecar3/i-2")])),
    "a keyed try ran twice": (j.once, History([one(**KEYED)], [run(key="k1"), run(key="k1", seal="s2")])),
    "a key ran twice": (j.keys, History([one(**KEYED), one("a2", **KEYED, seal="s2")], TWO_RUNS)),
    "a repeat got another seal": (j.keys, History([one("a2", **KEYED, seal="s9")], [run(key="k1")])),
    "a repeat got another body": (j.keys, History([one("a2", **KEYED, body=b"else")], [run(key="k1")])),
    "a repeat of nothing": (j.keys, History([one("a2", **KEYED)], [])),
    "a repeat got 404": (j.keys, History([refused("a2", 404, **KEYED)], [run(key="k1")])),
    **{
        f"{status} and ran": (j.promises, History([refused(status=status)], [run()])) for status in j.PROMISES
    },
    "a key got 503 and ran": (j.promises, History([refused(**KEYED)], [run(key="k1")])),
    "no seal": (j.answers, History([one(seal="")], [run()])),
    "part of a body": (j.answers, History([one(body=b"do")], [run()])),
    "a failure as a success": (j.answers, History([one()], [run(status=500)])),
    "another's run": (j.answers, History([one("a2")], [run("a1")])),
    "another's key": (j.answers, History([one("a2", **KEYED)], [run("a1", key="k2")])),
    "another's failure": (j.answers, History([one(status=500, echo="a0")], [run(status=500)])),
    "nobody sent it": (j.callers, History([], [run()])),
    "another caller": (j.callers, History([one()], [run(caller="till")])),
    "no caller": (j.callers, History([one()], [run(caller="")])),
    "changed": (j.callers, History([one()], [run(asked="POST /y 1 00")])),
    "another key": (j.callers, History([one()], [run(key="k1")])),
    "cut after it ran": (j.whole, History([cut(took=0.01)], [run()])),
    "cut after it was turned away": (j.whole, History([cut(took=0.01)], [run(ran=False)])),
    "cut late": (j.whole, History([cut(took=1.0)])),
    "never answered": (j.whole, History([cut("silent", 3.0)])),
    "cut by another's kill": (j.whole, History([cut(took=1.0)], kills=[("sidecar1", 1.5)])),
    "cut before a kill": (j.whole, History([cut(took=1.0)], kills=[("sidecar0", 9.0)])),
    "gone": (j.configuration, History(changes=[changed(4)], readings=[stands(4), {}])),
    "older": (j.configuration, History(changes=[changed(3), changed(4)], readings=[stands(3)])),
    "not dropped": (j.configuration, History(changes=[changed(4), changed(5, None)], readings=[stands(4)])),
    "dropped long before": (j.configuration, History(changes=[changed(3, None), changed(4)], readings=[{}])),
    "other content": (j.configuration, History(changes=[changed(4)], readings=[stands(4, {"rule": {}})])),
    "never sent": (j.configuration, History(readings=[stands(4)])),
    "invalid, and stands": (
        j.configuration,
        History(changes=[changed(4, status=0, valid=False)], readings=[stands(4)]),
    ),
    "invalid, and acknowledged": (j.configuration, History(changes=[changed(4, valid=False)], readings=[{}])),
    "valid, and refused": (j.configuration, History(changes=[changed(4, status=400)], readings=[{}])),
    "nothing read": (j.configuration, History(changes=[changed(4)])),
    "not served again": (
        j.recovery,
        History(
            [one(), refused("a2", sent=9.0, ended=9.1)], [run()], kills=[("controller0", 3.0)], backs=[4.0]
        ),
    ),
    "nobody came again": (j.recovery, History([one()], [run()], kills=[("controller0", 3.0)], backs=[4.0])),
    "a process ended": (j.processes, History(troubles=["sidecar0 ended by itself with 1"])),
}


@pytest.mark.parametrize("name", KEPT)
def test_kept(name: str) -> None:
    assert j.judge(KEPT[name]) == {}


@pytest.mark.parametrize("name", BROKEN)
def test_broken(name: str) -> None:
    check, history = BROKEN[name]
    found = j.judge(history)
    title = next(title for title, other in j.ALL.items() if other is check)
    assert found.get(title), found


def test_each_invariant_is_broken_here() -> None:
    assert {check for check, _ in BROKEN.values()} == set(j.ALL.values())
