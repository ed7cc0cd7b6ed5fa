"""Upgrades, evacuations, large bodies in the kit: the daemon passes, each broken on purpose fails."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from plays import played

HERE = Path(__file__).parent
PLAYS = {
    ("short-upgrade", "is_sound"): "",
    ("short-upgrade", "shuts_the_socket_for_both"): "ended with 1 after SIGTERM",
    ("short-upgrade", "binds_anew"): "ended with 2 before it was ready",
    ("short-upgrade", "falls_silent_at_the_end"): "rule lost broken",
    ("short-evacuate", "is_sound"): "",
    ("short-evacuate", "keeps_its_clients"): "clients were still on it",
    ("short-evacuate", "says_yes_while_away"): "says yes",
    ("short-bulk", "is_sound"): "",
    ("short-bulk", "turns_answers_round"): "served with what no node made for it",
    ("short-bulk", "turns_uploads_round"): "a node was sent what no client asked",
    ("short-bulk", "forgets_the_rest"): "rule lost broken",
    ("short-evacuate", "forgets_to_come_back"): "did not come back",
}


def play(scenario: str, kind: str, folder: Path) -> tuple[int, dict]:
    daemon = f"{HERE / 'broken.py'} {kind}"
    return played(str(HERE / f"{scenario}.toml"), folder, daemon, ("--seed", "5"))


@pytest.fixture(scope="module")
def plays(tmp_path_factory):
    folder = tmp_path_factory.mktemp("plays")
    with ThreadPoolExecutor(4) as pool:
        yield {key: pool.submit(play, *key, folder) for key in PLAYS}


@pytest.mark.parametrize(("scenario", "kind"), PLAYS)
def test_the_daemon_passes_and_a_broken_one_fails(plays, scenario, kind):
    code, report = plays[scenario, kind].result()
    if kind == "is_sound":
        assert (code, report["reasons"]) == (0, [])
    else:
        assert code == 1 and any(PLAYS[scenario, kind] in reason for reason in report["reasons"])
