"""The checks of the mesh's rehearsal, on handwritten histories that keep or violate each invariant."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from rehearsal.mesh import judge as checks
from rehearsal.mesh.judge import Arrival, Change, History, Try
from rehearsal.mesh.key_holds import HoldEvent
from rehearsal.mesh.key_ranges import KeyRange

ROUTE = {"hostname": "mesh.example", "rule": {"name": "sailings", "revision": "r4"}}


def answered(attempt: str = "a1", kind: str = "effectful", **changes: Any) -> Try:
    result = Try(
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
    return replace(result, **changes)


def run(attempt: str = "a1", **changes: Any) -> Arrival:
    arrival = Arrival(attempt, "sidecar1/i-1", "POST /x 1 00", "ferry", at=1.05, seal="s1", body=b"done")
    return replace(arrival, **changes)


def refused(attempt: str = "a1", status: int = 503, **changes: Any) -> Try:
    return answered(attempt, status=status, seal="", body=b"refused\n", echo="", **changes)


def unanswered(how: str = "cut", took: float = 0.1, **changes: Any) -> Try:
    return refused(status=0, how=how, ended=1.0 + took, **changes)


def changed(version: int, content: Any = ROUTE, status: int = 200, valid: bool = True) -> Change:
    return Change(version, {"route/sailings": content}, valid, status)


def reading(version: int, content: Any = ROUTE) -> dict[str, Any]:
    return {"route/sailings": (version, content)}


def held(server: str, at: float, until: float, first: int = 0, last: int = 99) -> HoldEvent:
    return HoldEvent(server, at, KeyRange(first, last), until)


def moved(*events: HoldEvent, runs: tuple[tuple[str, float], ...], key: int = 7) -> History:
    """A history of holds, and of runs on one key by server and time."""
    tries = [answered(f"a{n}", seal=f"s{n}") for n in range(len(runs))]
    arrivals = [
        run(f"a{n}", server=server, at=at, seal=f"s{n}", shard_key=key) for n, (server, at) in enumerate(runs)
    ]
    return History(tries, arrivals, holds=list(events))


BOTH_RAN = (("sidecar0/i-1", 1.2), ("sidecar1/i-2", 2.5))
KEYED = {"kind": "idempotent", "key": "k1"}
VALID = {
    "empty history": History(),
    "one request, one run": History([answered()], [run()]),
    "a pure request ran on two servers": History([answered(kind="pure")], [run(seal="s0"), run()]),
    "refused by one server, run by another": History([answered()], [run(ran=False, status=503), run()]),
    "a key and its repeat": History([answered(**KEYED), answered("a2", **KEYED, echo="a1")], [run(key="k1")]),
    "a key in progress": History([answered(**KEYED), refused("a2", 409, **KEYED)], [run(key="k1")]),
    "a key whose answer is lost": History([refused("a2", 502, **KEYED)], []),
    "refused and not run": History([refused()], [run(ran=False, status=503)]),
    "failed and run": History([refused(status=502)], [run()]),
    "a pure request was refused and ran": History([refused(kind="pure")], [run()]),
    "connection closed before the request was read": History([unanswered(took=0.01)]),
    "connection closed by a kill": History([unanswered(took=1.0)], [run()], kills=[("sidecar0", 1.9)]),
    "never connected": History([unanswered("unconnected", 1.0)]),
    "change read back": History(changes=[changed(4)], readings=[reading(4), reading(4)]),
    "newer revision, not acknowledged": History(
        changes=[changed(4), changed(5, status=0)], readings=[reading(5)]
    ),
    "older revision sent after a newer one": History(changes=[changed(5), changed(4)], readings=[reading(5)]),
    "item removed": History(changes=[changed(4), changed(5, None)], readings=[{}]),
    "item possibly removed": History(changes=[changed(4), changed(5, None, 0)], readings=[{}]),
    "recovered": History(
        [answered(), answered("a2", sent=9.0, ended=9.1, seal="s2")],
        [run(), run("a2", seal="s2")],
        kills=[("controller0", 3.0)],
        backs=[4.0],
    ),
    "nothing was served before the kill either": History(
        [refused(), refused("a2", sent=9.0)], kills=[("controller0", 3.0)], backs=[4.0]
    ),
    "a key moved after its release": moved(
        held("sidecar0/i-1", 1.0, 5.0),
        held("sidecar0/i-1", 2.0, 2.0),
        held("sidecar1/i-2", 2.0, 9.0),
        runs=BOTH_RAN,
    ),
    "a key moved after its hold had run out": moved(
        held("sidecar0/i-1", 1.0, 2.0), held("sidecar1/i-2", 2.0, 9.0), runs=BOTH_RAN
    ),
    "a key moved after its server had ended": moved(
        held("sidecar0/i-1", 1.0, 9.0),
        held("sidecar0/i-1", 2.0, 2.0, 0, 65_535),
        held("sidecar1/i-2", 2.1, 9.0),
        runs=BOTH_RAN,
    ),
    "two servers hold a key, and one has stopped running it": moved(
        held("sidecar0/i-1", 1.0, 9.0), held("sidecar1/i-2", 2.0, 9.0), runs=BOTH_RAN
    ),
    "two servers run requests on keys that only one of them holds": moved(
        held("sidecar0/i-1", 1.0, 9.0, 0, 9), held("sidecar1/i-2", 1.0, 9.0, 10, 99), runs=BOTH_RAN
    ),
    "invalid change refused": History(changes=[changed(4, status=400, valid=False)], readings=[{}]),
}
TWO_RUNS = [run("a1", key="k1"), run("a2", key="k1", seal="s2")]
VIOLATED = {
    "an effectful request ran twice": (
        checks.once,
        History([answered()], [run(), run(server="sidecar3/i-2")]),
    ),
    "a request with a key ran twice": (
        checks.once,
        History([answered(**KEYED)], [run(key="k1"), run(key="k1", seal="s2")]),
    ),
    "a key ran twice": (
        checks.keys,
        History([answered(**KEYED), answered("a2", **KEYED, seal="s2")], TWO_RUNS),
    ),
    "a repeat got another seal": (
        checks.keys,
        History([answered("a2", **KEYED, seal="s9")], [run(key="k1")]),
    ),
    "a repeat got another body": (
        checks.keys,
        History([answered("a2", **KEYED, body=b"else")], [run(key="k1")]),
    ),
    "a repeat without a first run": (checks.keys, History([answered("a2", **KEYED)], [])),
    "a repeat got 404": (checks.keys, History([refused("a2", 404, **KEYED)], [run(key="k1")])),
    **{
        f"{status} and ran": (checks.promises, History([refused(status=status)], [run()]))
        for status in checks.PROMISES
    },
    "a key got 503 and ran": (checks.promises, History([refused(**KEYED)], [run(key="k1")])),
    "no seal": (checks.answers, History([answered(seal="")], [run()])),
    "truncated body": (checks.answers, History([answered(body=b"do")], [run()])),
    "a failure answered as success": (checks.answers, History([answered()], [run(status=500)])),
    "answered with the run of another request": (checks.answers, History([answered("a2")], [run("a1")])),
    "answered with the run of another key": (
        checks.answers,
        History([answered("a2", **KEYED)], [run("a1", key="k2")]),
    ),
    "answered with the failure of another request": (
        checks.answers,
        History([answered(status=500, echo="a0")], [run(status=500)]),
    ),
    "a run without a request": (checks.callers, History([], [run()])),
    "wrong caller": (checks.callers, History([answered()], [run(caller="till")])),
    "missing caller": (checks.callers, History([answered()], [run(caller="")])),
    "altered request": (checks.callers, History([answered()], [run(asked="POST /y 1 00")])),
    "wrong key": (checks.callers, History([answered()], [run(key="k1")])),
    "connection closed after the run": (checks.whole, History([unanswered(took=0.01)], [run()])),
    "connection closed after a refusal": (checks.whole, History([unanswered(took=0.01)], [run(ran=False)])),
    "connection closed late": (checks.whole, History([unanswered(took=1.0)])),
    "never answered": (checks.whole, History([unanswered("silent", 3.0)])),
    "connection closed, but another process was killed": (
        checks.whole,
        History([unanswered(took=1.0)], kills=[("sidecar1", 1.5)]),
    ),
    "connection closed before a kill": (
        checks.whole,
        History([unanswered(took=1.0)], kills=[("sidecar0", 9.0)]),
    ),
    "change lost": (checks.configuration, History(changes=[changed(4)], readings=[reading(4), {}])),
    "older revision read": (
        checks.configuration,
        History(changes=[changed(3), changed(4)], readings=[reading(3)]),
    ),
    "removal lost": (
        checks.configuration,
        History(changes=[changed(4), changed(5, None)], readings=[reading(4)]),
    ),
    "removed before a later change": (
        checks.configuration,
        History(changes=[changed(3, None), changed(4)], readings=[{}]),
    ),
    "wrong content": (
        checks.configuration,
        History(changes=[changed(4)], readings=[reading(4, {"rule": {}})]),
    ),
    "item never sent": (checks.configuration, History(readings=[reading(4)])),
    "invalid change in force": (
        checks.configuration,
        History(changes=[changed(4, status=0, valid=False)], readings=[reading(4)]),
    ),
    "invalid change acknowledged": (
        checks.configuration,
        History(changes=[changed(4, valid=False)], readings=[{}]),
    ),
    "valid change refused": (checks.configuration, History(changes=[changed(4, status=400)], readings=[{}])),
    "nothing read back": (checks.configuration, History(changes=[changed(4)])),
    "no success after recovery": (
        checks.recovery,
        History(
            [answered(), refused("a2", sent=9.0, ended=9.1)],
            [run()],
            kills=[("controller0", 3.0)],
            backs=[4.0],
        ),
    ),
    "no request after recovery": (
        checks.recovery,
        History([answered()], [run()], kills=[("controller0", 3.0)], backs=[4.0]),
    ),
    "two servers ran requests on a key that both held": (
        checks.owners,
        moved(held("sidecar0/i-1", 1.0, 9.0), held("sidecar1/i-2", 1.1, 9.0), runs=BOTH_RAN),
    ),
    "a hold was renewed after the key had moved": (
        checks.owners,
        moved(
            held("sidecar0/i-1", 1.0, 2.0),
            held("sidecar0/i-1", 1.9, 4.0),
            held("sidecar1/i-2", 2.0, 9.0),
            runs=(("sidecar1/i-2", 2.5), ("sidecar0/i-1", 3.9)),
        ),
    ),
    "only a part of the keys was released": (
        checks.owners,
        moved(
            held("sidecar0/i-1", 1.0, 9.0),
            held("sidecar0/i-1", 1.1, 1.1, 50, 99),
            held("sidecar1/i-2", 1.2, 9.0),
            runs=(("sidecar0/i-1", 3.0), ("sidecar1/i-2", 2.0)),
        ),
    ),
    "a process exited": (checks.processes, History(troubles=["sidecar0 ended by itself with 1"])),
}


@pytest.mark.parametrize("name", VALID)
def test_a_history_without_violation_passes(name: str) -> None:
    assert checks.judge(VALID[name]) == {}


@pytest.mark.parametrize("name", VIOLATED)
def test_a_violation_is_found(name: str) -> None:
    check, history = VIOLATED[name]
    found = checks.judge(history)
    title = next(title for title, other in checks.ALL.items() if other is check)
    assert found.get(title), found


def test_each_invariant_has_a_history_that_violates_it() -> None:
    assert {check for check, _ in VIOLATED.values()} == set(checks.ALL.values())
