"""Overload estimate of the fleet from one sidecar's view, and load shedding by value."""

from __future__ import annotations

import math
from collections.abc import Sequence

from dunefield.interface import RequestClass
from dunefield.budget import BASE_SMOOTHING

SHEDDING_LEVEL = 0.4  # overload level from which calls are shed
LATE_RETRY_LEVEL = 0.05  # level from which calls whose target has passed are shed
MAX_QUEUE_SAMPLE = 4.0  # limits the effect of one call's probes
MAX_LEVEL = 1.5  # from 1 on all calls are shed; more only prolongs that
SHORT_RESPONSE_FRACTION = 0.2  # of the target: here a queued request counts as one
MAX_SLACK = 3.0  # limit of the queue allowance for shorter responses, as servers that hold many stall
LATE_FRACTION = 0.9  # of the target; a response that takes longer counts as late
LATE_SMOOTHING = 0.02  # spans some seconds of one sidecar's calls
COST_FACTOR = 3.0  # late responses that one more call causes, per late response: see marginal_cost
MIN_VALUE = 0.2  # of the mean value; the goal counts the worst class beside the sum
BASELINE_LATE = 0.03  # fraction that is late because of long work, at any load


class OverloadEstimate:
    """Estimates the overload of the whole fleet from probes and own responses."""

    def __init__(self, classes: Sequence[RequestClass], horizon_ns: int, now: int) -> None:
        self._horizon_ns = horizon_ns
        self._class_shares = [1.0 / len(classes)] * len(classes)  # of each class, among recent requests
        self._by_value = sorted(range(len(classes)), key=lambda i: (classes[i].value, i))
        self._updated_at = now
        self._response_fraction = 0.25  # mean response time as a fraction of the target
        self._late_rate = 0.0  # fraction of own responses that are late
        self._slack = 1.0  # factor on the calls that may be in flight, for responses short of their target
        self.level = 0.0

    def record_request(self, class_index: int) -> None:
        """Records the class of a new request."""
        for i, share in enumerate(self._class_shares):
            self._class_shares[i] = share + ((i == class_index) - share) * BASE_SMOOTHING / 8

    def record_response(self, fraction: float) -> None:
        """Records a response that took this fraction of its target time."""
        self._response_fraction += (fraction - self._response_fraction) * BASE_SMOOTHING / 8
        self._slack = min(MAX_SLACK, max(1.0, (SHORT_RESPONSE_FRACTION / self._response_fraction) ** 2))
        self._late_rate += ((fraction > LATE_FRACTION) - self._late_rate) * LATE_SMOOTHING

    def marginal_cost(self, relative_value: float) -> float:
        """Returns what one more call costs all others, as a fraction of its own value (relative to the mean).

        The part of waits beyond a limit falls about as exp(-c (1 - load)), with c calls fitting into the
        limit: one more call makes c * load * (late fraction) others late, each of mean value. It is low if
        few responses are late, whatever a single server does."""
        return COST_FACTOR * max(0.0, self._late_rate - BASELINE_LATE) / max(relative_value, MIN_VALUE)

    def record_queue(self, now: int, queue: float) -> None:
        """Records the shortest queue that a call's probes found. A mean over all probes would shed while some
        servers are idle, if one is slow or reports too much or the fleet is small. Queued requests are
        weighted by own response times: the longer these, the sooner the next are late. A drawback while they
        are outdated, as when overload begins, and if most reports are too low."""
        # Smoothed over time, not calls: with many calls a queue of some milliseconds is chance; when nearly
        # all are shed, the few that still probe are all there is to learn from.
        smoothing = min(BASE_SMOOTHING, (now - self._updated_at) / self._horizon_ns)
        sample = min(queue * (self._response_fraction / SHORT_RESPONSE_FRACTION) ** 2, MAX_QUEUE_SAMPLE)
        self.level = min(MAX_LEVEL, self.level + (sample - self.level) * smoothing)
        self._updated_at = now

    def record_slow(self, now: int, slow: bool) -> None:
        """Records whether an own response was slow; not how slow, as one stalled server may be the cause."""
        self.level += (slow - self.level) * BASE_SMOOTHING / 2
        self._updated_at = now

    def should_shed(
            self, now: int, class_index: int, in_flight: int, expected_in_flight: float, draw: float) -> bool:
        """Returns whether to shed a call of this class. `expected_in_flight` is by Little's law."""
        level = self.level * self._horizon_ns / (self._horizon_ns + now - self._updated_at)
        # More calls in flight than Little's law and chance explain show overload before slow responses do.
        usual = self._slack * (2.0 + expected_in_flight + 2.0 * math.sqrt(expected_in_flight))
        level = max(level, 2.0 * math.log((1 + in_flight) / usual))
        excess = (level - SHEDDING_LEVEL) / (1.0 - SHEDDING_LEVEL)
        if excess <= 0.0:
            return False
        for i in self._by_value:
            if i == class_index:
                return draw < min(0.99, excess / max(self._class_shares[i], 0.01))
            excess -= self._class_shares[i]
        return False
