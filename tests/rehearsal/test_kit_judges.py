"""The judge fails what it should: daemons broken on purpose, played for real on loopback."""

from __future__ import annotations

from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path

import pytest
from plays import played

HERE = Path(__file__).parent
AT_ONCE = 4  # plays side by side: each is mostly waiting

BROKEN = {
    # kind: (the rule that must be named, or None; what a reason must say)
    "answers_twice": ("lost", "more than one answer"),
    "drops_an_answer": ("lost", "no answer within the client's time"),
    "alters_an_answer": ("lost", "served with what no node made for it"),
    "resends_unsafe": ("repeated", "sent again though it may have run"),
    "resends_after_reset": ("repeated", "sent again though it may have run"),
    "refuses_what_ran": ("repeated", "refused though it"),
    "sends_to_drained": ("drained", "sent after the grace"),
    "ignores_cold": ("cold", "pushed over while cold"),
    "leaks": (None, "memory_growth_mb"),
    "holds_much": (None, "MB, 192 are allowed"),
    "hangs_on_sigterm": (None, "had not ended 3.7 s after SIGTERM"),
    "dies": (None, "the last words of a daemon"),
    "will_not_start": (None, "no such thing as a start today"),
}


SCENARIOS = {"resends_after_reset": "resets.toml"}  # which kind has occasions enough in which scenario
SOUND = "is_sound"
SOUND_BESIDE_RESETS = "is_sound resets.toml"


def play(kind: str, folder: Path) -> tuple[int, dict]:
    kind, _, scenario = kind.partition(" ")
    scenario = scenario or SCENARIOS.get(kind, "short.toml")
    return played(str(HERE / scenario), folder, f"{HERE / 'broken.py'} {kind}", ("--seed", "5"))


@pytest.fixture(scope="module")
def plays(tmp_path_factory) -> dict[str, Future]:
    folder = tmp_path_factory.mktemp("plays")
    with ThreadPoolExecutor(AT_ONCE) as pool:
        yield {kind: pool.submit(play, kind, folder) for kind in (SOUND, SOUND_BESIDE_RESETS, *BROKEN)}


@pytest.mark.parametrize("kind", [SOUND, SOUND_BESIDE_RESETS])
def test_a_sound_daemon_passes_the_same_play(plays, kind):
    code, report = plays[kind].result()
    assert (code, report["verdict"], report["reasons"]) == (0, "pass", [])
    assert report["calls"] > 200 and report["served_worth"] > 0.5
    assert sum(row["offered"] for row in report["classes"].values()) == report["calls"]
    assert all(rule["count"] == 0 for rule in report["rules"].values())


@pytest.mark.parametrize("kind", BROKEN)
def test_a_broken_one_fails_with_the_right_rule_named(plays, kind):
    rule, said = BROKEN[kind]
    code, report = plays[kind].result()
    assert (code, report["verdict"]) == (1, "fail"), report["reasons"]
    assert any(said in reason for reason in report["reasons"]), report["reasons"]
    if rule is not None:
        assert any(reason.startswith(f"rule {rule} broken") for reason in report["reasons"])
        found = report["rules"][rule]
        assert found["count"] > 0 and found["examples"][0]["timeline"]


def test_what_is_broken_alone_leaves_the_other_rules_whole(plays):
    for kind in ("sends_to_drained", "refuses_what_ran", "resends_after_reset"):
        _, report = plays[kind].result()
        broken = [rule for rule, found in report["rules"].items() if found["count"]]
        assert broken == [BROKEN[kind][0]], (kind, broken)
