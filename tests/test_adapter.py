"""The wire adapter: events read, actions written, and error messages for invalid input."""

import io
import json
import subprocess
import sys

import pytest

from dunefield.adapter import Host

ENV = {
    "classes": [{"name": "read", "onTimeNs": 400_000_000, "hardLimitNs": 1_000_000_000, "repeat": "free"}],
    "limits": {"maxAttempts": 2},
    "madeUpKey": {"x": 1},
}
OPEN = f"open_instance who=0 prng=7 env={json.dumps(ENV)}"
LIST = [
    "roster slot=0 nodesList=1",
    "server server=10.0.0.1:80 hall=0 model=0 bay=0 lifecycle=up heft=1",
    "directory_update who=0 scope=SAVED gen=1 slot=0",
]
ACCEPT = "accept who=0 tid=00000000000000aa ttlNs=900000000 type=0 bitmap=0"


def batch(*lines, at=1):
    return [f"clock wallNs={at}", *lines, "eob"]


def run(*lines, end="\n"):
    out, text = io.StringIO(), "\n".join(lines) + end
    status = Host(io.StringIO(text), out).run()
    return status, out.getvalue().splitlines()


def test_a_call_is_sent():
    status, out = run(*batch(OPEN, *LIST, ACCEPT))
    assert (status, out[-1]) == (0, "next")
    assert out[0] == "submit_to who=0 tid=00000000000000aa server=10.0.0.1:80 abandonAtNs=900000001"


def test_two_instances_are_independent():
    second = [OPEN.replace("who=0", "who=1"), LIST[2].replace("who=0", "who=1")]
    _, out = run(*batch(OPEN, *LIST, *second, "crash_now who=0", ACCEPT, ACCEPT.replace("who=0", "who=1")))
    assert [line.split()[1] for line in out if line.startswith("submit_to")] == ["who=1"]


@pytest.mark.parametrize(
    "line",
    [
        "novelty who=0 anything=1",
        "response who=0 tid=00000000000000ff how=100 server=10.0.0.1:80 go=0",
        "response who=0 tid=00000000000000ff how=999 server=10.0.0.1:80 go=0",
        "hangup who=0 tid=00000000000000ff",
        "accept who=9 tid=00000000000000ab ttlNs=900000000 type=0",
        "echo who=0 lagNs=1 how=100 server=10.8.8.8:80 usage=queue:x,novel:2",
        "heard who=0 from=2 blob=68692037",
        "alarm who=0 tag=77",
    ],
)
def test_unknown_events_and_fields_are_ignored(line):
    assert run(*batch(OPEN, *LIST, line)) == (0, ["next"])


@pytest.mark.parametrize(
    ("lines", "number", "words"),
    [
        (["eob"], 1, "clock"),
        (batch(OPEN, "accept who=0 tid=1 type=0"), 3, "'ttlNs' is missing"),
        (batch(OPEN, "accept who=0 tid=1 ttlNs=1.5 type=0"), 3, "not a whole number"),
        (batch(OPEN, "accept who=0 nonsense"), 3, "name=value"),
        (batch(OPEN, "roster slot=0 nodesList=1", "server server=a:1 heft=nan"), 4, "not a finite number"),
        (batch(OPEN, "roster slot=0 nodesList=2", LIST[1]), 5, "2 server lines"),
        (batch(OPEN, "roster slot=0 nodesList=-1"), 3, "nodesList"),
        (batch(OPEN, "directory_update who=0 scope=FULL gen=1 slot=3"), 3, "slot 3"),
        (batch(OPEN, "directory_update who=0 scope=ODD gen=1 slot=3"), 3, "scope"),
        (batch(OPEN, OPEN), 3, "already open"),
        (batch("open_instance who=0 prng=7 env={"), 2, "not valid JSON"),
        (batch('open_instance who=0 prng=7 env={"classes":[]}'), 2, "classes"),
        (batch('open_instance who=0 prng=7 env={"classes":[{"hardLimitNs":NaN}]}'), 2, "finite"),
        (batch(OPEN, "heard who=0 from=2 blob=xyz"), 3, "hex"),
        (["clock wallNs=1", OPEN], 2, "inside a batch"),
    ],
)
def test_invalid_input_is_reported_with_its_line_number(capsys, lines, number, words):
    status, out = run(*lines)
    error = capsys.readouterr().err
    assert status != 0
    assert error.count("\n") == 1 and error.startswith(f"line {number}: ") and words in error
    assert all(line.partition(" ")[0] in {"next", "submit_to", "defer"} for line in out)


def test_input_that_ends_inside_a_line(capsys):
    assert run(*batch(OPEN), "clock wall", end="")[0] != 0
    assert "inside a line" in capsys.readouterr().err


def test_run_as_a_program():
    made = subprocess.run(
        [sys.executable, "-m", "dunefield.adapter"],
        input="clock wallNs=1\neob\nclock wallNs=2\neob\n",
        capture_output=True,
        text=True,
        check=True,
    )
    assert (made.stdout, made.stderr) == ("next\nnext\n", "")


def test_invalid_utf8_is_reported():
    made = subprocess.run(
        [sys.executable, "-m", "dunefield.adapter"],
        input=b"clock wallNs=1\n\xff\neob\n",
        capture_output=True,
    )
    assert made.returncode != 0 and b"not valid UTF-8" in made.stderr
    assert made.stdout == b""
