"""Counts and figures that a process tells of itself: families by name and labels. No I/O.

Counting costs one lookup in a dict. Labels come from operators and other machines, so each family keeps a
bounded number of them apart.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import NamedTuple

MAX_SERIES = 1000  # of one family
OTHER_LABEL = "other"  # the label of all that are beyond

Labels = tuple[str, ...]


class MetricKind(enum.Enum):
    """What may become of a figure."""

    COUNTER = "counter"  # it only rises
    GAUGE = "gauge"


class MetricFamily(NamedTuple):
    """One family as it stands now."""

    name: str
    help: str
    kind: MetricKind
    values: Mapping[Labels, float]
    label_names: Labels = ()


def gauge(name: str, help_text: str, value: float) -> MetricFamily:
    """A figure without labels."""
    return MetricFamily(name, help_text, MetricKind.GAUGE, {(): float(value)})


def counter(name: str, help_text: str, value: float) -> MetricFamily:
    """A count without labels."""
    return MetricFamily(name, help_text, MetricKind.COUNTER, {(): float(value)})


class LabelledCounter:
    """Counts by labels. Beyond `most` labels what is new is counted under `OTHER_LABEL`."""

    def __init__(self, name: str, help_text: str, label_names: Labels, most: int = MAX_SERIES) -> None:
        self._name, self._help, self._label_names, self._most = name, help_text, label_names, most
        self._values: dict[Labels, float] = {}

    def add(self, labels: Labels, amount: float = 1.0) -> None:
        """Count something."""
        values = self._values
        if labels not in values and len(values) >= self._most:
            labels = (OTHER_LABEL,) * len(self._label_names)
        values[labels] = values.get(labels, 0.0) + amount

    def family(self) -> MetricFamily:
        """The counts as they stand now."""
        return MetricFamily(self._name, self._help, MetricKind.COUNTER, dict(self._values), self._label_names)
