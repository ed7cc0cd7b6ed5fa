"""Smoothed rates of requests and responses."""

from __future__ import annotations


def smooth(rate: float, gap: int, span: int) -> float:
    """Returns an event rate, smoothed over about `span`, after an event that came `gap` after the last."""
    return rate + (1.0 - rate * gap) / span if gap < span else 1.0 / gap


class RequestRates:
    """Rates of one sidecar's requests and responses, per nanosecond."""

    def __init__(self, horizon_ns: int, tick_ns: int, now: int) -> None:
        self._horizon_ns, self._tick_ns = horizon_ns, tick_ns
        self._started_at = self._request_at = self._response_at = now
        self.request_rate = 0.0  # over about the longest deadline
        self.mean_rate = 0.0  # requests, over about 8 longest deadlines
        self.response_rate = 0.0  # over about the longest deadline

    def record_request(self, now: int) -> None:
        """Records a request."""
        age, gap = now - self._started_at + self._tick_ns, now - self._request_at
        self.request_rate = smooth(self.request_rate, gap, min(self._horizon_ns, age))
        self.mean_rate = smooth(self.mean_rate, gap, min(8 * self._horizon_ns, age))
        self._request_at = now

    def record_response(self, now: int) -> None:
        """Records a response."""
        span = min(self._horizon_ns, now - self._started_at + self._tick_ns)
        self.response_rate, self._response_at = smooth(self.response_rate, now - self._response_at, span), now

    def current_rate(self, now: int) -> float:
        """Returns the response rate, lower the longer no response has come."""
        return min(self.response_rate, 1.0 / max(1, now - self._response_at))
