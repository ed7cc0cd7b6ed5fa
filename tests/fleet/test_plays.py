"""Real processes with faults between them: each short play passes, and fails once a defence is taken out."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from plays import played

HERE = Path(__file__).parent
AT_ONCE = 4
PASS, FAIL, VOID = 0, 1, 3
PLAYS = [
    *("fleet-stall", "fleet-split", "fleet-twins", "fleet-oneway", "fleet-kill", "fleet-forged"),
    *("fleet-two", "fleet-upgrade"),
]
BROKEN = {
    # what is taken out: (the play, what its reasons must say)
    "never_refutes": ("fleet-stall", "views agree"),
    "forgets_incarnations": ("fleet-kill", "views agree"),
    "reads_unsigned": ("fleet-forged", "nobody is held to have left who runs"),
    "takes_every_fleet": ("fleet-two", "nobody takes in a member of another fleet"),
}


def play(scenario: str, kind: str, folder: Path) -> tuple[int, dict]:
    daemon = f"{HERE / 'undefended.py'} {kind}" if kind else ""
    for _ in range(3):  # a play whose rig was late is void, and says nothing
        code, report = played(scenario, folder, daemon, ("--scale", "short", "--seed", "2"))
        if code != VOID:
            break
    return code, report


@pytest.fixture(scope="module")
def plays(tmp_path_factory):
    folder = tmp_path_factory.mktemp("plays")
    wanted = (
        [(scenario, "") for scenario in PLAYS]
        + [("fleet-kill", "runs_by_wrong_clocks")]
        + [(scenario, kind) for kind, (scenario, _) in BROKEN.items()]
    )
    with ThreadPoolExecutor(AT_ONCE) as pool:
        yield {key: pool.submit(play, *key, folder) for key in wanted}


@pytest.mark.parametrize("scenario", PLAYS)
def test_the_fleet_keeps_its_promises(plays, scenario):
    code, report = plays[scenario, ""].result()
    assert (code, report["reasons"]) == (PASS, [])
    assert len(report["fleet"]) >= 5 and not any(found["count"] for found in report["fleet"].values())


def test_wrong_clocks_break_nothing(plays):
    code, report = plays["fleet-kill", "runs_by_wrong_clocks"].result()
    assert (code, report["reasons"]) == (PASS, [])


@pytest.mark.parametrize("kind", BROKEN)
def test_without_a_defence_the_same_play_fails(plays, kind):
    scenario, said = BROKEN[kind]
    code, report = plays[scenario, kind].result()
    assert code == FAIL and any(reason.startswith(said) for reason in report["reasons"]), report["reasons"]
