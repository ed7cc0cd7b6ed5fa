"""Metric families with labels, as a process exports them. No I/O.

Counting costs one dict lookup. Since label values come from operators and other machines, the number of
series in each family is bounded.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import NamedTuple

MAX_SERIES = 1000  # of one family
OTHER_LABEL = "other"  # label value of the series that counts what exceeds the maximum

Labels = tuple[str, ...]


class MetricKind(enum.Enum):
    """How the value of a metric may change."""

    COUNTER = "counter"  # only increases
    GAUGE = "gauge"


class MetricFamily(NamedTuple):
    """A snapshot of one metric with its values by labels."""

    name: str
    help: str
    kind: MetricKind
    values: Mapping[Labels, float]
    label_names: Labels = ()


def gauge(name: str, help_text: str, value: float) -> MetricFamily:
    """Returns a gauge without labels."""
    return MetricFamily(name, help_text, MetricKind.GAUGE, {(): float(value)})


def counter(name: str, help_text: str, value: float) -> MetricFamily:
    """Returns a counter without labels."""
    return MetricFamily(name, help_text, MetricKind.COUNTER, {(): float(value)})


class LabelledCounter:
    """A counter with labels. Once it has `max_series` series, new label values count as OTHER_LABEL."""

    def __init__(self, name: str, help_text: str, label_names: Labels, max_series: int = MAX_SERIES) -> None:
        self._name, self._help, self._label_names, self._max_series = name, help_text, label_names, max_series
        self._values: dict[Labels, float] = {}

    def add(self, labels: Labels, amount: float = 1.0) -> None:
        """Increases the counter of some label values."""
        values = self._values
        if labels not in values and len(values) >= self._max_series:
            labels = (OTHER_LABEL,) * len(self._label_names)
        values[labels] = values.get(labels, 0.0) + amount

    def family(self) -> MetricFamily:
        """Returns a snapshot of the counts."""
        return MetricFamily(self._name, self._help, MetricKind.COUNTER, dict(self._values), self._label_names)
