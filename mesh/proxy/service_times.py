"""What the calls of a server take, and how many of them fail. No I/O; times are seconds."""

from __future__ import annotations

import math

LIGHT_FRACTION = 0.4  # calls that take up to this fraction of the heaviest kind's service time are light
MAX_KINDS = 256  # kinds of calls whose service times are tracked separately
INITIAL_SERVICE_S = 0.05
MEAN_SMOOTHING = 0.1  # smoothing factor of the mean over all kinds
KIND_SMOOTHING = 0.05
FAILURE_SMOOTHING = 0.1
FAILURE_HALF_LIFE_S = 3.0


class ServiceTimes:
    """Moving averages of the time from sending a call to its answer, over all calls and by kind."""

    def __init__(self) -> None:
        self.mean_s = INITIAL_SERVICE_S
        self._samples = 0
        self._by_kind: dict[str, tuple[float, int]] = {}  # mean and number of samples

    def restart(self) -> None:
        """Lets the mean follow the next samples quickly, as those of a new server process."""
        self._samples = 0

    def record(self, kind: str, service_s: float) -> None:
        """Adds the service time of a call that succeeded."""
        self._samples += 1
        self.mean_s += (service_s - self.mean_s) * max(MEAN_SMOOTHING, 1.0 / self._samples)
        mean_s, samples = self._by_kind.get(kind, (0.0, 0))
        mean_s += (service_s - mean_s) * max(KIND_SMOOTHING, 1.0 / (samples + 1))
        if samples or len(self._by_kind) < MAX_KINDS:
            self._by_kind[kind] = (mean_s, samples + 1)

    def expected_s(self, kind: str) -> float:
        """Returns the expected service time of a kind."""
        return self._by_kind.get(kind, (self.mean_s, 0))[0]

    def measured_s(self, kind: str) -> float:
        """Returns the mean service time of a kind as reported to other sidecars; 0 without samples."""
        return self._by_kind.get(kind, (0.0, 0))[0]

    def is_light(self, kind: str) -> bool:
        """Returns whether calls of a kind are short compared with others here.

        Light calls are sent first and are not rejected for being late: they hardly delay others, and most of
        them are made by running calls that would fail without them.
        """
        heaviest_s = max((mean for mean, _ in self._by_kind.values()), default=0.0)
        return kind in self._by_kind and self._by_kind[kind][0] <= LIGHT_FRACTION * heaviest_s


class FailureRate:
    """The recent fraction of failed calls.

    It decays with time: a server that gets no calls because of it could not show that it has recovered.
    """

    def __init__(self) -> None:
        self._rate, self._updated_at = 0.0, 0.0

    def restart(self) -> None:
        """Forgets all calls."""
        self._rate = 0.0

    def value(self, now: float) -> float:
        """Returns the rate."""
        return self._rate * math.exp2((self._updated_at - now) / FAILURE_HALF_LIFE_S)

    def record(self, now: float, failed: bool) -> None:
        """Adds a call. What a server reports of its own health is not considered."""
        rate = self.value(now)
        self._rate = rate + (failed - rate) * FAILURE_SMOOTHING
        self._updated_at = now
