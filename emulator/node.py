"""Model of one node: cores, slots, a queue, cold starts, choking, a neighbour, pauses, ways of being bad.

Units: times in nanoseconds, work in nanoseconds of one core at full speed. What is simplified:

- Work runs first come, first served over the slots; a running call has a core of its own while there are no
  more running calls than cores, and an equal share of the cores otherwise. Speed changes at events only.
- Being cold is linear in time, from `cold_from` to 1 over `cold_ns`, and is taken at steps of `STEP_NS`.
- A neighbour takes its share of every core alike. A pause stops all cores and delays nothing else.
- Choking goes by a mean over `choke_over_ns` that decays (one pole), not by a window.
- Cancelled calls go on, as the platform's nodes do, unless `drops_expired` finds them late before they begin.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from emulator.clock import Clock

STEP_NS = 50_000_000  # how often speed is looked at while it changes by itself
SECOND = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Shape:
    """What a node is; the defaults are one core that serves one call at a time."""

    cores: int = 1
    slots: int = 1
    queue: int = 8
    speed: float = 1.0
    cold_from: float = 1.0
    cold_ns: int = 0
    choke_at: float = math.inf  # calls held beyond the cores, by their root, in the mean
    choke_over_ns: int = 2 * SECOND
    choke_slower: float = 1.0
    choke_rest_ns: int = 4 * SECOND
    choke_below: float = 0.3
    choke_most_ns: int = 25 * SECOND
    drops_expired: bool = False

    def __post_init__(self) -> None:
        for name in ("cores", "slots"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name} must be 1 or more")
        if self.queue < 0:
            raise ValueError("queue must not be negative")
        if not (self.speed > 0 and math.isfinite(self.speed)):
            raise ValueError("speed must be above 0")
        if not 0 < self.cold_from <= 1:
            raise ValueError("cold_from must be above 0 and at most 1")
        if self.choke_slower < 1:
            raise ValueError("choke_slower must be 1 or more")


Done = Callable[[bool], None]  # told once: True when served, False when turned away, dropped or the node died


@dataclass(slots=True, eq=False)
class Job:
    """One call at a node."""

    work: float
    expires: int
    done: Done
    left: float = field(init=False)

    def __post_init__(self) -> None:
        self.left = self.work


@dataclass(slots=True)
class Ledger:
    """What became of all that a node was sent; `Node.check` holds it against what is there."""

    taken: int = 0
    served: int = 0
    turned_away: int = 0
    dropped: int = 0
    lost: int = 0
    work_done: float = 0.0  # nanoseconds of a core at full speed
    work_lost: float = 0.0  # the same, in calls that died with the node
    held_ns: float = 0.0  # calls held, integrated over time
    busy_ns: float = 0.0  # cores in use, integrated over time


class Node:
    """One process of one node."""

    def __init__(self, clock: Clock, shape: Shape, cold: bool = False) -> None:
        self._clock, self.shape = clock, shape
        self.started = clock.now
        self._cold = cold and shape.cold_ns > 0
        self._running: list[Job] = []
        self._waiting: deque[Job] = deque()
        self._mark = 0  # the next event that still counts
        self._at = clock.now
        self.neighbour = 0.0  # share of each core that somebody else takes
        self._paused_until = 0
        self.dead = False
        self.choked = False
        self._crowd = 0.0
        self._load = 0.0
        self._choked_at = self._calm_since = clock.now
        self._was_choked = False
        self.ledger = Ledger()

    # --- what others see

    def inflight(self) -> int:
        """Calls that run or wait."""
        return len(self._running) + len(self._waiting)

    def queued(self) -> int:
        """Calls that wait."""
        return len(self._waiting)

    def warmth(self) -> float:
        """The share of its speed that the node has for being cold."""
        if not self._cold:
            return 1.0
        age = self._clock.now - self.started
        if age >= self.shape.cold_ns:
            return 1.0
        return self.shape.cold_from + (1.0 - self.shape.cold_from) * age / self.shape.cold_ns

    def speed(self) -> float:
        """Work that one core does in a nanosecond, now."""
        if self._clock.now < self._paused_until:
            return 0.0
        slower = self.shape.choke_slower if self.choked else 1.0
        return self.shape.speed * self.warmth() * (1.0 - self.neighbour) / slower

    # --- what happens to it

    def take(self, work: float, done: Done, expires: int = 2**63) -> bool:
        """A call comes in; False where it is turned away, which is told to `done` as well."""
        self._advance()
        self.ledger.taken += 1
        if self.dead or (len(self._running) >= self.shape.slots and len(self._waiting) >= self.shape.queue):
            self.ledger.turned_away += 1
            done(False)
            return False
        self._waiting.append(Job(work, expires, done))
        self._begin()
        self._plan()
        return True

    def pause(self, span: int) -> None:
        """All cores stand still for a while."""
        self._advance()
        self._paused_until = max(self._paused_until, self._clock.now + span)
        self._plan()

    def share(self, part: float) -> None:
        """A neighbour takes that part of each core from now on."""
        if not 0 <= part < 1:
            raise ValueError("a neighbour's part is from 0 to under 1")
        self._advance()
        self.neighbour = part
        self._plan()

    def die(self) -> None:
        """The process ends, and all it held with it."""
        self._advance()
        self.dead = True
        lost, self._running, self._waiting = [*self._running, *self._waiting], [], deque()
        self._mark += 1
        for job in lost:
            self.ledger.lost += 1
            self.ledger.work_lost += job.work - job.left
            job.done(False)

    def check(self) -> None:
        """Every call has exactly one outcome or is still here; raise AssertionError else."""
        book = self.ledger
        ended = book.served + book.turned_away + book.dropped + book.lost
        assert book.taken == ended + self.inflight(), f"{book} with {self.inflight()} held"

    # --- the machine

    def _advance(self) -> None:
        """Do the work of the time since the last event, at the speed of then."""
        now = self._clock.now
        span = now - self._at
        if span <= 0:
            return
        running = len(self._running)
        if running:
            rate = self._rate * min(1.0, self.shape.cores / running)
            for job in self._running:
                job.left -= rate * span
            self.ledger.work_done += rate * span * running
        busy = min(running, self.shape.cores)
        self.ledger.held_ns += self.inflight() * span
        self.ledger.busy_ns += busy * span
        self._feel(span, busy)
        self._at = now

    def _feel(self, span: int, busy: int) -> None:
        """Choking: too many held in the mean make it slow, and only rest or time makes it quick again."""
        shape = self.shape
        if shape.choke_slower <= 1.0:
            return
        keep = math.exp(-span / shape.choke_over_ns)
        self._crowd = self.inflight() + (self._crowd - self.inflight()) * keep
        self._load = busy / shape.cores + (self._load - busy / shape.cores) * keep
        now = self._clock.now
        if self.choked:
            if self._load >= shape.choke_below:
                self._calm_since = now
            rested = now - self._calm_since >= shape.choke_rest_ns
            if rested or now - self._choked_at >= shape.choke_most_ns:
                self.choked = False
        elif not self._was_choked and self._crowd > shape.cores + shape.choke_at * math.sqrt(shape.cores):
            self.choked = self._was_choked = True  # once a day, as the platform's do
            self._choked_at = self._calm_since = now

    def _begin(self) -> None:
        while self._waiting and len(self._running) < self.shape.slots:
            job = self._waiting.popleft()
            if self.shape.drops_expired and self._clock.now >= job.expires:
                self.ledger.dropped += 1
                job.done(False)
                continue
            self._running.append(job)

    def _plan(self) -> None:
        """Set the next event: an end, or a look at the speed where it changes by itself."""
        self._mark += 1
        self._rate = self.speed()
        if not self._running:
            return
        now = self._clock.now
        if self._rate <= 0.0:
            when = self._paused_until
        else:
            each = self._rate * min(1.0, self.shape.cores / len(self._running))
            when = now + max(1, math.ceil(min(job.left for job in self._running) / each))
            if self.warmth() < 1.0 or self.shape.choke_slower > 1.0:
                when = min(when, now + STEP_NS)
        mark = self._mark
        self._clock.at(when, lambda: self._event(mark))

    def _event(self, mark: int) -> None:
        if mark != self._mark:
            return  # something has happened since that event was set
        self._advance()
        ended = [job for job in self._running if job.left <= 0.5]
        if ended:
            self._running = [job for job in self._running if job.left > 0.5]
            self.ledger.served += len(ended)
        self._begin()
        self._plan()
        for job in ended:
            job.done(True)

    _rate = 0.0
