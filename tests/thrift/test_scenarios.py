"""The Thrift scenarios, in short: a sound daemon passes, one with a seeded bug fails and is told why."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from plays import played

HERE = Path(__file__).parent
AT_ONCE = 4  # plays side by side: each is mostly waiting

PLAYS = {
    # scenario: (the seeded bug, what a reason must say)
    "short-sale": ("answers_under_its_own_sequence_ids", "rule lost broken"),
    "short-oneway": ("takes_what_was_written_for_unsent", "rule repeated broken"),
    "short-mixed-deploy": ("keeps_nodes_in_the_pool_that_they_came_in", "nodes were sent"),
}


def play(scenario: str, kind: str, folder: Path) -> tuple[int, dict]:
    daemon = f"{HERE / 'seeded.py'} {kind}" if kind else ""
    return played(str(HERE / f"{scenario}.toml"), folder, daemon, ("--seed", "3"))


@pytest.fixture(scope="module")
def plays(tmp_path_factory):
    folder = tmp_path_factory.mktemp("plays")
    with ThreadPoolExecutor(AT_ONCE) as pool:
        yield {
            (scenario, kind): pool.submit(play, scenario, kind, folder)
            for scenario, (bug, _) in PLAYS.items()
            for kind in ("", bug)
        }


@pytest.mark.parametrize("scenario", PLAYS)
def test_a_sound_daemon_passes(plays, scenario):
    code, report = plays[scenario, ""].result()
    assert (code, report["reasons"]) == (0, [])
    assert report["protocols"]["thrift"]["on_time"] > 20


@pytest.mark.parametrize("scenario", PLAYS)
def test_a_seeded_bug_fails_it(plays, scenario, tmp_path):
    kind, said = PLAYS[scenario]
    code, report = plays[scenario, kind].result()
    if not any(reason.startswith(said) for reason in report["reasons"]):
        # Beside busy cores short-oneway broke another rule first, once in six runs of the suite.
        code, report = play(scenario, kind, tmp_path)
    assert code == 1 and any(reason.startswith(said) for reason in report["reasons"]), report["reasons"]
