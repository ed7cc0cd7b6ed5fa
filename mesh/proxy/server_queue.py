"""The queue beside a server: its connections, and the calls that wait for it in order."""

from __future__ import annotations

import asyncio
import heapq
import math
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from dunefield.budget import MAX_STEPS, Budget
from dunefield.interface import IDLE_TIMEOUT_FRACTION, AttemptOutcome
from hollyport.http.back import HttpBack, Reply
from hollyport.nodes.upstream import Exchange, Upstream
from hollyport.settings.config import Address as NodeAddress
from mesh.errors import ErrorKind
from mesh.settings import Address

FIRST_BACKOFF_NS, LAST_BACKOFF_NS = 100_000_000, 2_000_000_000
KEPT_S = 15.0  # idle connections are retired from IDLE_SHARE of this on, or of what the server tells
PROMISING = frozenset({b"503", b"429", b"421", b"408", b"400"})
PROBE_S = 1.0
LIGHT = 0.4  # part of what the heaviest kind takes, up to which a call is a light one
SPARE = 3.0  # times what a light call takes that is left of its time at its last start
OVERDUE = 4.0  # times what its kind takes on average, from when on a call may be lost
MOST_KINDS = 256  # kinds of calls whose times are kept apart
ILL_GAIN = 0.1  # weight of one call's outcome against what was known
ILL_FADES_S = 3.0  # half of what was known is forgotten after so long
NETWORK_MARGIN_S = 0.008  # kept back of a deadline for the way home


class Job:
    """One call for the server. `done` is told once: fault (None: answered), whether it arrived, reply.

    `due` is the last start that makes an answer in time likely, `last` the last one that makes any likely.
    """

    __slots__ = (
        "build_request",
        "tid",
        "deadline",
        "due",
        "last",
        "done",
        "kind",
        "priority",
        "trial",
        "exchange",
        "began",
        "finished",
        "on_overdue",
        "repeatable",
        "timer",
        "withdrawn",
    )

    def __init__(
        self,
        make: Callable[[float, str], bytes],
        tid: bytes,
        deadline: float,
        due: float,
        last: float,
        done: Callable[[ErrorKind | None, bool, Reply | None], None],
        kind: str = "",
    ) -> None:
        self.build_request, self.tid, self.done, self.kind = make, tid, done, kind
        self.deadline, self.due, self.last = deadline, due, last
        self.priority = 0  # rank of its route; 0 is the most urgent
        self.trial = self.finished = False
        self.repeatable = False  # whether it may run more than once
        self.withdrawn = False  # nobody waits for its answer any more
        self.on_overdue: Callable[[], None] | None = None  # told once where the server takes unusually long
        self.timer: asyncio.TimerHandle | None = None
        self.exchange: Exchange | None = None
        self.began = 0.0


class ServerQueue:
    """One server as its own sidecar sees it."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, most: int) -> None:
        self._loop = loop
        self._address = NodeAddress(address.host, address.port)
        self._back = HttpBack(False)
        self.upstream = Upstream(loop, 1_000_000_000, int(KEPT_S * 1e9), most, 2.0, self._back)
        self.instance = ""
        self.lives: dict[str, int] = {}  # by id: the last number that a beat carried
        self.ended_instances: set[str] = set()  # ids of lives that have ended
        self.slots = 1
        self.open = False
        self.max_conns = MAX_STEPS
        self.cold_until = 0.0
        self.budget = self._new_budget()
        self.queued: list[tuple[float, int, Job]] = []  # a heap, by when a start is due
        self.late: deque[Job] = deque()  # in arrival order: they go when nobody waits who can be in time
        self._count = self._samples = 0
        self.in_flight = 0
        self.mean_service_s = 0.05  # seconds to an answer, of late
        self._means: dict[str, tuple[float, int]] = {}  # the same by kind of call, and of how many
        self._ill, self._ill_at = 0.0, 0.0  # part of calls that failed, when it was learned
        self._timer: asyncio.TimerHandle | None = None
        self.replaced: Callable[[str], None] = lambda instance: None  # told of another server at the address

    def _new_budget(self, told: int = 1) -> Budget:
        """Exception "told slots": a server that is warm and says how many it serves together begins at half
        of that, not at 1; the rest comes by trials. A fleet that starts anew with all its clients there would
        else spend seconds on queues that no server needs."""
        return Budget(1.0, min(MAX_STEPS, self.slots, self.max_conns), -(-told // 2))

    def update_server(self, instance: str, slots: int, cold_s: float, is_open: bool) -> None:
        """What the server told of itself. A new id is a new process: nothing learned of the old one holds."""
        self.cold_until = self._loop.time() + cold_s
        if instance != self.instance or slots != self.slots:
            fresh = instance != self.instance
            if fresh and self.instance:
                self.ended_instances.add(self.instance)
                self.upstream.remove(self.instance)
            self.instance, self.slots = instance, slots
            if fresh:
                self.budget = self._new_budget(slots if cold_s <= 0 else 1)
                self._samples, self._ill = 0, 0.0
                self.upstream.update(instance, self._address, 0, True)
            self.budget.max_steps = min(MAX_STEPS, slots, self.max_conns)
        self.open = is_open
        if not is_open:
            self.turn_away(ErrorKind.LEAVING)
        self._pump()

    def probe(self, path: str, found: Callable[[str], None]) -> None:
        """Ask the server who it is, where no beat has told yet; `found` gets its id, if it is well."""
        name = "probe"
        self.upstream.update(name, self._address, 0, True)
        request = b"GET %s HTTP/1.1\r\nHost: sidecar\r\n\r\n" % path.encode()

        def ended(how: AttemptOutcome, answer: Any) -> None:
            self.upstream.remove(name)
            reply: Reply | None = answer
            told = reply.header(b"x-instance-id") if reply is not None and reply.status == 200 else None
            found(told.decode("latin-1") if told else "")

        exchange = self.upstream.exchange(name, lambda: request, PROBE_S, ended)
        if exchange is not None:
            exchange.start()

    def update_limits(self, max_conns: int) -> None:
        """What the configuration allows."""
        self.max_conns = max_conns
        self.budget.max_steps = max(1, min(MAX_STEPS, self.slots, max_conns))

    def gone(self) -> None:
        """The server has ended, or another has its address."""
        self.open = False
        if self.instance:
            self.ended_instances.add(self.instance)
            self.upstream.remove(self.instance)
        self.instance = ""
        self.turn_away(ErrorKind.LEAVING)

    def turn_away(self, fault: ErrorKind) -> None:
        """Give back all that waits."""
        queue, self.queued = self.queued, []
        late, self.late = self.late, deque()
        for job in (*(entry[2] for entry in queue), *late):
            self._end(job, fault, False)

    def takes(self, kind: str) -> float:
        """Seconds from sending a call of a kind to its answer, about."""
        return self._means.get(kind, (self.mean_service_s, 0))[0]

    def pace(self, kind: str) -> float:
        """The same as it is told to callers: 0 where no call of that kind has been answered yet."""
        return self._means.get(kind, (0.0, 0))[0]

    def is_light(self, kind: str) -> bool:
        """Whether a call takes little beside others here. Such calls go first, and are not given up for being
        late: they hold up nobody, and most are made by runs that are lost without them."""
        heavy = max((mean for mean, _ in self._means.values()), default=0.0)
        return kind in self._means and self._means[kind][0] <= LIGHT * heavy

    def wait(self) -> float:
        """Seconds until a call that came now would go, about."""
        room = self.budget.limit
        if self.in_flight < room:
            return 0.0
        return (len(self.queued) + len(self.late) + 1) * self.mean_service_s / max(1, room)

    def takes_calls(self) -> bool:
        """Whether a call that came now would not be given back at once."""
        if not self.open or not self.instance:
            return False
        return bool(self.budget.steps) or self.budget.trial_allowed(int(self._loop.time() * 1e9))

    def failure_rate(self) -> float:
        """The part of calls that fail here of late. It fades with time: whoever gets no calls for it can't
        show that it is well."""
        return self._ill * math.exp2((self._ill_at - self._loop.time()) / ILL_FADES_S)

    def _judge(self, bad: bool) -> None:
        """One call went well, or not. What a server says of its health counts for nothing."""
        known = self.failure_rate()
        self._ill = known + (bad - known) * ILL_GAIN
        self._ill_at = self._loop.time()

    def _ahead(self, due: float) -> float:
        """The same for one with this due time: only what is due before it counts."""
        before = sum(1 for entry in self.queued if entry[0] <= due)
        return (before + 1) * self.mean_service_s / max(1, self.budget.limit)

    def submit(self, job: Job) -> None:
        """Take a call; it goes at once, waits by when it is due, or is given back."""
        now = self._loop.time()
        if not self.open or not self.instance:
            self._end(job, ErrorKind.LEAVING, False)
            return
        if not self.budget.steps and (self.budget.trial_in_flight or now * 1e9 < self.budget.retry_at):
            self._end(job, ErrorKind.FULL, False)  # nothing can take it soon
            return
        if self.in_flight >= self.budget.limit and not self.is_light(job.kind) and not self._fits(now, job):
            # What is refused is refused at once: kept to be refused later, it would cost its client time.
            self._pump()
            if self.in_flight >= self.budget.limit and not self._displace(now, job):
                self._end(job, ErrorKind.FULL, False)
                return
        self._count += 1
        order = job.due
        if self.is_light(job.kind):
            order = now
            job.due = job.last = max(job.last, job.deadline - SPARE * self.takes(job.kind))
        heapq.heappush(self.queued, (order, self._count, job))
        self._pump()

    def _fits(self, now: float, job: Job) -> bool:
        """Whether a call that comes now would most likely go in time."""
        return now + self._ahead(job.due) <= job.due or now + self.wait() <= job.last

    def _displace(self, now: float, job: Job) -> bool:
        """Give back calls of less urgency in place of one that would be refused; whether that helps. Of the
        least urgent the one that is due last goes first; light ones hold up nobody and stay."""
        waiting = [*(entry[2] for entry in self.queued), *self.late]
        less = [one for one in waiting if one.priority > job.priority and not self.is_light(one.kind)]
        less.sort(key=lambda one: (one.priority, one.due))
        turn_s = self.mean_service_s / max(1, self.budget.limit)
        sooner = sum(1 for one in less if one.due <= job.due)
        if (
            now + self._ahead(job.due) - sooner * turn_s > job.due
            and now + self.wait() - len(less) * turn_s > job.last
        ):
            return False  # it would not be in time either
        while less and not self._fits(now, job):
            other = less.pop()
            self._take_out(other)
            self._end(other, ErrorKind.FULL, False)
        return self._fits(now, job)

    def _take_out(self, job: Job) -> None:
        """A call waits no more."""
        self.queued = [entry for entry in self.queued if entry[2] is not job]
        heapq.heapify(self.queued)
        self.late = deque(waiting for waiting in self.late if waiting is not job)

    def withdraw(self, job: Job) -> None:
        """Nobody waits for a call any more. One that waits goes no more; one that may run twice is broken off
        at the server, which then ends work on it; any other runs on."""
        if job.finished or job.withdrawn:
            return
        if job.exchange is None:
            job.withdrawn = True
            self._take_out(job)
            self._end(job, ErrorKind.REFUSED, False)
        elif job.repeatable:
            job.withdrawn = True
            job.exchange.cancel()

    def _next(self, now: float) -> Job | None:
        """The call to go next; those that can't be in time any more step back behind all that can."""
        while self.queued and now > self.queued[0][2].due:
            self.late.append(heapq.heappop(self.queued)[2])
        if self.queued:
            return self.queued[0][2]
        while self.late:
            job = self.late[0]
            if now <= job.last:
                return job
            self.late.popleft()
            self._end(job, ErrorKind.FULL, False)
        return None

    def _pump(self) -> None:
        now = self._loop.time()
        while (job := self._next(now)) is not None:
            goes, trial = self.budget.check_admission(int(now * 1e9), self.in_flight)
            if not goes:
                break
            if self.queued and self.queued[0][2] is job:
                heapq.heappop(self.queued)
            else:
                self.late.popleft()
            self._send(now, job, trial)
        self._arm()

    def _arm(self) -> None:
        if self._timer is None and (self.queued or self.late):
            now = self._loop.time()
            at = min([entry[2].last for entry in self.queued] + [job.last for job in self.late])
            if not self.budget.trial_in_flight and self.budget.retry_at > now * 1e9:
                at = min(at, self.budget.retry_at / 1e9)
            self._timer = self._loop.call_later(max(0.001, at - now), self._look)

    def _look(self) -> None:
        self._timer = None
        now = self._loop.time()
        for job in [job for job in self.late if now > job.last]:
            self.late.remove(job)
            self._end(job, ErrorKind.FULL, False)
        self._pump()

    def _send(self, now: float, job: Job, trial: bool) -> None:
        left = job.deadline - now
        instance = self.instance
        if left <= NETWORK_MARGIN_S:
            self._end(job, ErrorKind.FULL, False)
            return
        exchange = self.upstream.exchange(
            instance,
            lambda: job.build_request(job.deadline - self._loop.time(), instance),
            left,
            lambda how, answer: self._ended(job, instance, how, answer),
        )
        if exchange is None:
            self._end(job, ErrorKind.LEAVING, False)
            return
        exchange.expect = (b"x-attempt-id", job.tid)
        job.trial, job.exchange, job.began = trial, exchange, now
        self.budget.trial_in_flight = self.budget.trial_in_flight or trial
        self.in_flight += 1
        if job.on_overdue is not None:
            job.timer = self._loop.call_later(OVERDUE * self.takes(job.kind), job.on_overdue)
        exchange.start()

    def _ended(self, job: Job, instance: str, how: AttemptOutcome, answer: Any) -> None:
        self.in_flight -= 1
        now = self._loop.time()
        if job.timer is not None:
            job.timer.cancel()
        budget, current = self.budget, instance == self.instance
        reply: Reply | None = answer
        trial = job.trial and current
        if trial:
            budget.trial_in_flight = False
        if reply is not None and (reply.header(b"x-not-run") is not None or reply.status == 421):
            if current:
                self._failed(now, trial)
                if reply.status == 421:
                    self.gone()
                    self.replaced((reply.header(b"x-instance-id") or b"").decode("latin-1"))
                else:
                    budget.lower_concurrency()
            self._end(job, ErrorKind.LEAVING if reply.status == 421 else ErrorKind.FULL, True, reply)
        elif reply is not None and (reply.header(b"x-server-seal") is not None or reply.status >= 400):
            if current:
                self._learn(reply)
                self._judge(reply.status >= 500)
                self._served(now, job, trial, reply.status < 500)
            self._end(job, None, True, reply)
        else:
            fault, arrived = ErrorKind.BROKEN, True
            if how == AttemptOutcome.TIMEOUT:
                fault = ErrorKind.LATE
            elif how in (AttemptOutcome.MOOT, AttemptOutcome.CONNECT_FAILED) and not self._written(job):
                fault, arrived = ErrorKind.FULL, False
            if (
                current and how != AttemptOutcome.MOOT and not job.withdrawn
            ):  # what was broken off here tells nothing
                self._judge(True)
                self._failed(now, trial, how in (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.RESET))
            self._end(job, fault, arrived)
        self._pump()

    def _served(self, now: float, job: Job, trial: bool, well: bool) -> None:
        """What an answer tells. A failure comes sooner than the work would: it tells no pace, or who fails
        would draw all calls."""
        self.budget.raise_concurrency()
        if trial:
            self.budget.add_step()
        if not well:
            return
        self._samples += 1
        took = now - job.began
        self.mean_service_s += (took - self.mean_service_s) * max(0.1, 1.0 / self._samples)
        mean, count = self._means.get(job.kind, (0.0, 0))
        mean += (took - mean) * max(0.05, 1.0 / (count + 1))
        if count or len(self._means) < MOST_KINDS:
            self._means[job.kind] = (mean, count + 1)

    def _failed(self, now: float, trial: bool, broken: bool = False) -> None:
        """What a refusal, a failure, a break or silence tells."""
        budget, at = self.budget, int(now * 1e9)
        if trial:
            budget.back_off(at, FIRST_BACKOFF_NS, LAST_BACKOFF_NS, random.random)
        elif broken and budget.steps:
            budget.remove_step()
            if not budget.steps:
                budget.start_backoff(at, FIRST_BACKOFF_NS, random.random)

    @staticmethod
    def _written(job: Job) -> bool:
        """Whether anything of the call may have reached the server."""
        return job.exchange is not None and job.exchange.touched

    def _learn(self, reply: Reply) -> None:
        """How long the server keeps idle connections, where it tells."""
        kept = reply.header(b"keep-alive")
        if kept is not None and kept.startswith(b"timeout=") and kept[8:].isdigit():
            self.upstream.keep(min(KEPT_S, float(kept[8:]) * 1.5) * IDLE_TIMEOUT_FRACTION)

    def _end(self, job: Job, fault: ErrorKind | None, arrived: bool, reply: Reply | None = None) -> None:
        if not job.finished:
            job.finished = True
            job.done(fault, arrived, reply)
