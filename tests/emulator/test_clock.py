"""The order of events and the streams of random numbers."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from emulator.clock import Clock
from emulator.streams import Streams

ROOT = Path(__file__).parents[2]


def test_events_of_one_instant_keep_their_order_and_time_stands_at_the_end():
    clock, seen = Clock(), []
    for name in "abc":
        clock.at(5, lambda name=name: seen.append((clock.now, name)))
    clock.at(3, lambda: clock.after(2, lambda: seen.append((clock.now, "late"))))
    clock.run(10)
    assert seen == [(5, "a"), (5, "b"), (5, "c"), (5, "late")]
    assert clock.now == 10 and clock.played == 5


def test_the_past_is_an_error():
    clock = Clock(7)
    with pytest.raises(ValueError, match="past"):
        clock.at(6, lambda: None)


def test_a_loop_without_end_is_told():
    clock = Clock()

    def again():
        clock.after(1, again)

    again()
    assert clock.drain(1000) is False
    assert clock.played == 1000


def test_a_stream_depends_on_seed_and_names_alone():
    one, other = Streams(3), Streams(3)
    other.of("faults").random()
    other.of("picks", 1).random()
    assert one.of("arrivals", "n1").random() == other.of("arrivals", "n1").random()
    drawn = {Streams(seed).of(what, who).random() for seed in (1, 2) for what in "ab" for who in (1, 11)}
    assert len(drawn) == 8
    assert one.of("a", "b", "c").random() != one.of("a", "bc").random()


DRAW = "from emulator.streams import Streams; print(Streams(9).of('x', 'y').random())"


def test_streams_do_not_depend_on_the_hash_seed():
    told = [
        subprocess.run(
            [sys.executable, "-c", DRAW],
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for seed in ("0", "4711")
    ]
    assert told[0] == told[1] != ""
