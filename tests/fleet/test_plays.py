"""Real processes with faults between them: each short play passes, and fails once a defence is taken out."""

from __future__ import annotations

import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

HERE = Path(__file__).parent
ROOT = HERE.parent.parent
AT_ONCE = 4
LIMIT_S = 120
PASS, FAIL, VOID = 0, 1, 3
PLAYS = ["fleet-stall", "fleet-split", "fleet-twins", "fleet-oneway", "fleet-kill", "fleet-forged"]
BROKEN = {
    # what is taken out: (the play, what its reasons must say)
    "never_refutes": ("fleet-stall", "views agree"),
    "forgets_incarnations": ("fleet-kill", "views agree"),
    "reads_unsigned": ("fleet-forged", "nobody is held to have left who runs"),
}


def play(scenario: str, kind: str, folder: Path) -> tuple[int, dict]:
    out = folder / f"{scenario}-{kind}.json"
    words = [sys.executable, "-m", "rehearsal", "run", scenario, "--scale", "short", "--quiet"]
    words += ["--json", str(out)]
    if kind:
        words += ["--daemon", f"{sys.executable} {HERE / 'undefended.py'} {kind}"]
    for _ in range(3):  # a play whose rig was late is void, and says nothing
        done = subprocess.run(words, cwd=ROOT, capture_output=True, text=True, timeout=LIMIT_S)
        assert out.exists(), done.stdout + done.stderr
        if done.returncode != VOID:
            break
    return done.returncode, json.loads(out.read_text())


@pytest.fixture(scope="module")
def plays(tmp_path_factory):
    folder = tmp_path_factory.mktemp("plays")
    wanted = [(scenario, "") for scenario in PLAYS] + [
        (scenario, kind) for kind, (scenario, _) in BROKEN.items()
    ]
    with ThreadPoolExecutor(AT_ONCE) as pool:
        yield {key: pool.submit(play, *key, folder) for key in wanted}


@pytest.mark.parametrize("scenario", PLAYS)
def test_the_fleet_keeps_its_promises(plays, scenario):
    code, report = plays[scenario, ""].result()
    assert (code, report["reasons"]) == (PASS, [])
    assert len(report["fleet"]) >= 5 and not any(found["count"] for found in report["fleet"].values())


@pytest.mark.parametrize("kind", BROKEN)
def test_without_a_defence_the_same_play_fails(plays, kind):
    scenario, said = BROKEN[kind]
    code, report = plays[scenario, kind].result()
    assert code == FAIL and any(reason.startswith(said) for reason in report["reasons"]), report["reasons"]
