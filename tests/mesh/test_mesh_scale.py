"""The benchmark of sizes, at the least one: it measures what it says, and leaves nothing running."""

from __future__ import annotations

import asyncio

import pytest
from plays import room

from benchmarks import scale

SMALL = ["--controllers", "3", "--real", "1", "--shared", "3", "--seconds", "1", "--settle", "0.5"]


def test_a_small_size_is_measured() -> None:
    with room():
        row = asyncio.run(scale.measure(6, scale.options(SMALL)))
    assert (row["sidecars"], row["processes"]) == (6, 6)
    assert 0 <= row["in force at the last, s, median"] <= row["the same, most"] < 16
    assert row["sidecar, MB"] > 5 and row["controller, MB"] > 5 and row["restart, TCP bytes"] > 1000
    assert not [name for name, value in row.items() if value < 0]


def test_a_line_through_points() -> None:
    assert scale.slope([(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)]) == pytest.approx((1.0, 2.0))
    assert scale.slope([(7.0, 3.0)]) == (3.0, 0.0)
