"""What a channel node does with requests: one core, a queue, a cold start, and ways to go wrong. No I/O.

Work is virtual: a request needs so many microseconds of a warm, undisturbed core, and the core goes at a
rate that warmth, neighbours, jams and pauses set. The owner calls `advance(now)` when `due(now)` says so and
before each change, and gets what has finished. All times are microseconds on the play's clock.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from rehearsal.plan import FOREVER, Node

COLD_STEP = 25_000  # how long a core's rate is taken for constant while it warms up


class Rules(NamedTuple):
    """What all nodes of a scenario share."""

    cold_from: float
    fall_multiple: float
    fall_us: int
    jam_below: float
    mean_work_us: float
    drops_expired: bool


class Job(NamedTuple):
    """One request in a node's queue."""

    tag: object  # the owner's
    work_us: float
    expires_us: int  # when nobody waits for it any more


class Done(NamedTuple):
    """One request that a node is through with: it ran from `began` to `ended`, or was too late to begin."""

    tag: object
    began: int
    ended: int
    expired: bool


class _Mean:
    """The mean of a step function over the last so many microseconds, exact."""

    def __init__(self, over: int, now: int, value: float) -> None:
        self._over = over
        self._steps: deque[tuple[int, float]] = deque([(now - over, value)])
        self._area = value * over  # from the first step to `_at`
        self._at = now

    def set(self, now: int, value: float) -> None:
        self._to(now)
        if self._steps[-1][0] == now:
            self._steps[-1] = (now, value)
        else:
            self._steps.append((now, value))

    def get(self, now: int) -> float:
        self._to(now)
        return self._area / self._over

    def _to(self, now: int) -> None:
        steps, start = self._steps, now - self._over
        self._area += (now - self._at) * steps[-1][1]
        self._at = now
        while len(steps) > 1 and steps[1][0] <= start:
            since, value = steps.popleft()
            self._area -= (steps[0][0] - since) * value
        since, value = steps[0]
        if since < start:
            self._area -= (start - since) * value
            steps[0] = (start, value)


class NodeModel:
    """One process of a channel node."""

    def __init__(self, node: Node, rules: Rules, now: int, born: int) -> None:
        self._node, self._rules = node, rules
        self.born = born  # start of the process, -1 for long ago
        self.draining = False
        self.fell_at = 0  # when it fell over, 0 if it has not
        self.jams = 0
        self._left = 1.0  # what a neighbour leaves of the machine
        self._paused_until = 0
        self._jam_since = 0
        self._at = now
        self._queue: deque[Job] = deque()
        self._job: Job | None = None
        self._began = 0
        self._need = 0.0  # work left of the request that runs
        self._debt = 0.0  # work for probes and handshakes, done before the next request ends
        self._held = _Mean(node.jam_over_us, now, 0.0)
        self._busy = _Mean(node.jam_rest_us, now, 0.0)
        self._came: deque[int] = deque()  # arrivals within the time that a cold node falls over in
        self._changed = now  # since when the load is what it is
        self._shown = (0, 0)  # the load at the last refresh before that

    # --- what it is asked

    def offer(self, now: int, job: Job) -> bool:
        """Take a request; False if the queue is full. A cold node that is sent too much falls over."""
        self.advance_quietly(now)
        self._sent(now)
        if self.fell_at or len(self._queue) >= self._node.queue and self._job is not None:
            return False
        self._change(now)
        self._queue.append(job)
        if self._job is None:
            self._next(now)
        self._measure(now)
        return True

    def load(self, now: int) -> tuple[int, int]:
        """The report: requests held and requests waiting, as of its last refresh."""
        refreshed = now // self._node.report_us * self._node.report_us
        return self._now() if self._changed <= refreshed else self._shown

    def charge(self, now: int, work_us: float) -> None:
        """Book work that is no request's: a probe, a handshake."""
        if self._job is not None:
            self.advance_quietly(now)
            self._need += work_us
        else:
            self._debt = min(self._debt + work_us, 10_000.0)

    # --- what happens to it

    def pause(self, now: int, us: int) -> None:
        """Stand still for a while."""
        self.advance_quietly(now)
        self._paused_until = max(self._paused_until, now + us)

    def paused_until(self) -> int:
        """Until when it stands still; it may be long past."""
        return self._paused_until

    def leave(self, now: int, part: float) -> None:
        """Another program on the machine leaves this part of it."""
        self.advance_quietly(now)
        self._left = part

    def warmth(self, now: int) -> float:
        """The part of its full capacity that it can do: it rises evenly from its start on."""
        age = now - self.born
        if self.born < 0 or age >= self._node.cold_us:
            return 1.0
        return self._rules.cold_from + (1.0 - self._rules.cold_from) * max(age, 0) / self._node.cold_us

    @property
    def jammed(self) -> bool:
        """Whether it is slower than it should be, having held too much for too long."""
        return self._jam_since > 0

    @property
    def held(self) -> int:
        """Requests that run or wait."""
        return len(self._queue) + (self._job is not None)

    # --- time

    def due(self, now: int) -> int:
        """When to call `advance` again; FOREVER if nothing runs. `now` must be the time of the last call."""
        if self._job is None or self.fell_at:
            return FOREVER
        start = max(now, self._paused_until)
        rate = self._rate(start)
        wait = int(self._need / rate) + 1
        return start + (min(wait, COLD_STEP) if self.warmth(start) < 1.0 else wait)

    def advance(self, now: int) -> list[Done]:
        """Let time pass; return what it has done, in order, also what `offer` and the like had let pass."""
        self.advance_quietly(now)
        done, self._done = self._done, []
        return done

    _done: list[Done] = []

    def advance_quietly(self, now: int) -> None:
        """Let time pass, and keep what was done for the next `advance`."""
        while self._at < now:
            start = max(self._at, self._paused_until)
            if start >= now or self._job is None:
                self._at = now
                break
            rate = self._rate(start)
            end = min(now, start + COLD_STEP) if self.warmth(start) < 1.0 else now
            needs = self._need / rate
            if start + needs > end:
                self._need -= (end - start) * rate
                self._at = end
                continue
            ended = max(start, min(end, int(start + needs)))
            self._at = ended
            self._keep(Done(self._job.tag, self._began, ended, False))
            self._change(ended)
            self._job = None
            self._next(ended)
            self._measure(ended)
        self._judge_jam(now)

    def _keep(self, done: Done) -> None:
        if not self._done:
            self._done = []
        self._done.append(done)

    def _next(self, now: int) -> None:
        while self._queue:
            job = self._queue.popleft()
            if self._rules.drops_expired and job.expires_us <= now:
                self._keep(Done(job.tag, now, now, True))
                continue
            self._job, self._began = job, now
            self._need, self._debt = max(1.0, job.work_us) + self._debt, 0.0
            return

    def _rate(self, now: int) -> float:
        rate = self._node.speed * self._left * self.warmth(now)
        return max(0.01, rate / self._node.jam_slower if self._jam_since else rate)

    # --- load, jams, falling over

    def _now(self) -> tuple[int, int]:
        return self.held, len(self._queue)

    def _change(self, now: int) -> None:
        """Before a change of the load: the report shows what held at its last refresh."""
        if self._changed <= now // self._node.report_us * self._node.report_us:
            self._shown = self._now()
        self._changed = now

    def _measure(self, now: int) -> None:
        self._held.set(now, self.held)
        self._busy.set(now, float(self._job is not None))

    def _judge_jam(self, now: int) -> None:
        if not self._jam_since:
            if self._held.get(now) > 1.0 + self._node.jam_at:
                self._jam_since, self.jams = max(1, now), self.jams + 1
        elif now - self._jam_since >= self._node.jam_rest_us and (
            self._busy.get(now) <= self._rules.jam_below or now - self._jam_since >= self._node.jam_most_us
        ):
            self._jam_since = 0

    def _sent(self, now: int) -> None:
        """Count what it is sent, also what it turns away: a cold one falls over at more than a multiple of
        what it could have done in that time."""
        if self.fell_at or self.warmth(now) >= 1.0:
            return
        over, came = self._rules.fall_us, self._came
        came.append(now)
        while came[0] <= now - over:
            came.popleft()
        if now - self.born < over:
            return
        could = (self.warmth(now - over) + self.warmth(now)) / 2 * self._node.speed * over
        if len(came) * self._rules.mean_work_us > self._rules.fall_multiple * could:
            self.fell_at = now
