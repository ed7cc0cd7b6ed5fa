"""The load of a server by bucket of keys, as a moving average. No I/O; times are seconds."""

from __future__ import annotations

import math

BUCKET_KEYS = 64  # keys of one bucket
MAX_REPORTED_BUCKETS = 64  # the busiest ones; the others differ little from each other
MIN_REPORTED_WORK = 0.01
HALF_LIFE_S = 2.0  # of past load; busy keys change within seconds


def bucket_of(key: int) -> int:
    """Returns the number of a key's bucket."""
    return key // BUCKET_KEYS


class LoadByBucket:
    """Seconds of work of a server's requests by bucket of keys, fading exponentially."""

    def __init__(self, now: float) -> None:
        self._work_s: dict[int, float] = {}
        self._updated_at = now

    def _fade(self, now: float) -> None:
        factor = math.exp2((self._updated_at - now) / HALF_LIFE_S)
        self._updated_at = now
        self._work_s = {bucket: work_s * factor for bucket, work_s in self._work_s.items()}

    def add(self, now: float, key: int, work_s: float) -> None:
        """Counts a request that was at work for `work_s` seconds."""
        weight = math.exp2((now - self._updated_at) / HALF_LIFE_S)
        bucket = bucket_of(key)
        self._work_s[bucket] = self._work_s.get(bucket, 0.0) + work_s * weight

    def report(self, now: float) -> list[tuple[int, float]]:
        """Returns the busiest buckets, each with its average number of requests at work, by number."""
        self._fade(now)
        mean_time_s = HALF_LIFE_S / math.log(2)
        loads = {
            bucket: work_s / mean_time_s
            for bucket, work_s in self._work_s.items()
            if work_s >= MIN_REPORTED_WORK * mean_time_s
        }
        self._work_s = {bucket: self._work_s[bucket] for bucket in loads}
        busiest = sorted(loads, key=loads.__getitem__, reverse=True)[:MAX_REPORTED_BUCKETS]
        return [(bucket, loads[bucket]) for bucket in sorted(busiest)]
