"""Marginal cost: low-value calls are refused for the delay that they would cause others."""

import pytest
from build import settings

from dunefield import overload as overload_module
from dunefield.overload import OverloadEstimate
from emulator.day import Day
from emulator.fleet import play


@pytest.mark.parametrize(
    ("late_every", "value", "low", "high"),
    [
        (1000, 0.3, 0.0, 0.0),  # no late responses: one more call costs nothing
        (50, 0.3, 0.0, 0.1),  # one in fifty is late because of its own work
        (8, 0.3, 0.5, 1.2),  # costs others more than half of its value
        (8, 1.0, 0.15, 0.4),  # of mean value, so the relative cost is lower
    ],
)
def test_marginal_cost_depends_on_late_responses_and_value(late_every, value, low, high):
    overload = OverloadEstimate(settings().classes, 10**9, 0)
    for i in range(400):
        overload.record_response(0.95 if i % late_every == 1 else 0.3)
    assert low <= overload.marginal_cost(value) <= high


def test_refusing_low_value_calls_serves_more_high_value_calls(monkeypatch):
    day = Day(sidecars=48, servers=32, seconds=9.0, load=0.86, burst=(0.0, 0.0, 1.0))
    with_cost = play(day, 2).verdict()
    monkeypatch.setattr(overload_module, "COST_FACTOR", 0.0)
    without_cost = play(day, 2).verdict()
    assert with_cost.by_class[3] > without_cost.by_class[3] + 0.02 and with_cost.whole > without_cost.whole
    assert with_cost.prices["waste"] < without_cost.prices["waste"]
