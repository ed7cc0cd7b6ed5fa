"""How many requests come and how many are answered, smoothed over some while."""

from __future__ import annotations


def pulse(rate: float, gap: int, span: int) -> float:
    """A rate of events, smoothed over about `span`, after one more event `gap` after the last."""
    return rate + (1.0 - rate * gap) / span if gap < span else 1.0 / gap


class Demand:
    """Rates of one sidecar's own requests and answers, for each nanosecond."""

    def __init__(self, horizon: int, pace: int, now: int) -> None:
        self._horizon, self._pace = horizon, pace
        self._begun_at = self._heard_at = self._served_at = now
        self.rate = 0.0  # requests of late, over about one horizon
        self.flow = 0.0  # the same over some seconds: what the reach goes by
        self.served = 0.0  # answers of late, over about one horizon

    def asked(self, now: int) -> None:
        """A request has come."""
        age, gap = now - self._begun_at + self._pace, now - self._heard_at
        self.rate = pulse(self.rate, gap, min(self._horizon, age))
        self.flow = pulse(self.flow, gap, min(8 * self._horizon, age))
        self._heard_at = now

    def answered(self, now: int) -> None:
        """A server has answered."""
        span = min(self._horizon, now - self._begun_at + self._pace)
        self.served, self._served_at = pulse(self.served, now - self._served_at, span), now

    def serving(self, now: int) -> float:
        """The rate of answers, lower the longer none has come."""
        return min(self.served, 1.0 / max(1, now - self._served_at))
