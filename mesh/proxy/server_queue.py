"""The queue of a sidecar's local server: its connections, its concurrency budget, and the waiting calls."""

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
from hollyport.nodes.upstream import Upstream
from hollyport.settings.config import Address as NodeAddress
from mesh.errors import ErrorKind
from mesh.proxy.server_job import Job
from mesh.proxy.service_times import FailureRate, ServiceTimes
from mesh.settings import Address
from mesh.state.shards import NO_KEY

INITIAL_BACKOFF_NS, MAX_BACKOFF_NS = 100_000_000, 2_000_000_000
IDLE_TIMEOUT_S = 15.0  # applies unless the server announces a shorter one; see IDLE_TIMEOUT_FRACTION
NOT_RUN_STATUSES = frozenset({b"503", b"429", b"421", b"408", b"400"})
PROBE_TIMEOUT_S = 1.0
LIGHT_RESERVE_FACTOR = 3.0  # multiple of its service time that a light call has left at its latest start
OVERDUE_FACTOR = 4.0  # multiple of the mean service time of its kind after which a call may be lost
CONNECTION_FAILURES = frozenset({AttemptOutcome.CONNECT_FAILED, AttemptOutcome.RESET})
NETWORK_MARGIN_S = 0.008  # part of a deadline reserved for the way back of the response


class ServerQueue:
    """The local server of a sidecar, with its connections, concurrency budget and queue.

    `on_replaced` is called with the instance id of another server that answers at the address.

    `key_gate` returns whether the server may be sent a call for a shard key now, which is NO_KEY for a call
    without one. `key_expected` returns whether it is about to be given a key that it doesn't hold: calls for
    such a key wait until `recheck_keys` is called once it is. `on_key_work` is called at the end of each call
    that reached the server, with its key and the seconds that it took there.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, max_connections: int) -> None:
        self._loop = loop
        self._address = NodeAddress(address.host, address.port)
        self._back = HttpBack(False, unread_s=0.0)  # a busy server may take a body late
        self.upstream = Upstream(
            loop, 1_000_000_000, int(IDLE_TIMEOUT_S * 1e9), max_connections, 2.0, self._back
        )
        self.instance = ""
        self.heartbeat_numbers: dict[str, int] = {}  # by instance: number of the latest heartbeat
        self.ended_instances: set[str] = set()  # ids of server processes that have ended
        self.slots = 1
        self.open = False
        self._drains_until = -math.inf  # a server that is not open any more may get calls until then
        self.max_conns = MAX_STEPS
        self.warming_up_until = 0.0
        self.budget = self._new_budget()
        self.queued: list[tuple[float, int, Job]] = []  # a heap, by due time
        # Calls past their due time, in order of arrival; they are sent when no other call is waiting.
        self.late: deque[Job] = deque()
        self._submitted = 0
        self.in_flight = 0
        self.service_times = ServiceTimes()
        self._failures = FailureRate()
        # Calls answered with 421, by which server gave the answer.
        self.misdirected_by_same_server = self.misdirected_by_other_server = 0
        self._timer: asyncio.TimerHandle | None = None
        self.on_replaced: Callable[[str], None] = lambda instance: None
        self.on_contact: Callable[[bool], None] = lambda answered: None  # at the end of a call
        self.key_gate: Callable[[int], bool] = lambda key: True
        self.key_expected: Callable[[int], bool] = lambda key: False
        self.on_key_work: Callable[[int, float], None] = lambda key, work_s: None
        self.awaiting_keys: list[Job] = []  # calls for keys that the server is about to be given
        self._exchanging: set[Job] = set()  # calls that were sent or whose connection is being opened
        self.keys_not_held = 0  # calls given back before the server saw them, as it doesn't hold their keys
        self.misdirected_keys = 0  # calls that the server itself refused, as it doesn't hold their keys

    def _new_budget(self, reported_slots: int = 1) -> Budget:
        """Returns the initial budget of a server process.

        Exception "told slots": a server that reports its number of slots starts with half of them instead of
        1, and gains the others by trials. Otherwise a fleet that restarts under full load would spend seconds
        queueing calls that its servers have room for. A cold server starts with 1 nevertheless, unless it is
        the first of this sidecar: the fleet that has restarted with it has no warm server to call instead.
        """
        return Budget(1.0, min(MAX_STEPS, self.slots, self.max_conns), -(-reported_slots // 2))

    def update_server(self, instance: str, slots: int, warm_up_s: float, is_open: bool) -> None:
        """Updates the state reported by the server. A new instance id is a new process, so its budget and
        statistics start afresh."""
        self.warming_up_until = self._loop.time() + warm_up_s
        if instance != self.instance or slots != self.slots:
            is_new = instance != self.instance
            is_first = not self.instance and not self.ended_instances
            if is_new and self.instance:
                self.ended_instances.add(self.instance)
                self.upstream.remove(self.instance)
            self.instance, self.slots = instance, slots
            if is_new:
                self._drains_until = -math.inf
                self.budget = self._new_budget(slots if warm_up_s <= 0 or is_first else 1)
                self.service_times.restart()
                self._failures.restart()
                self.upstream.update(instance, self._address, 0, True)
            self.budget.max_steps = min(MAX_STEPS, slots, self.max_conns)
        self.open = is_open
        self._reject_unless_serving()
        self._send_queued()

    @property
    def serves(self) -> bool:
        """Whether the server gets calls: it is open, or draining and allowed to go on for a while."""
        return bool(self.instance) and (self.open or self._loop.time() < self._drains_until)

    def drain(self, until: float) -> None:
        """Lets the server get calls until a time, also after it has closed."""
        self._drains_until = until
        self._loop.call_later(until - self._loop.time(), self._reject_unless_serving)

    def _reject_unless_serving(self) -> None:
        """Rejects all calls that have not reached the server, unless it may get them."""
        if self.serves:
            return
        self.reject_all(ErrorKind.LEAVING)
        for job in self._connecting_jobs():
            if job.exchange is not None:
                job.exchange.cancel()

    def probe(self, path: str, on_result: Callable[[str], None]) -> None:
        """Requests the server's health page before any heartbeat; `on_result` is called with its instance id,
        or an empty string if it is not healthy."""
        name = "probe"
        self.upstream.update(name, self._address, 0, True)
        request = b"GET %s HTTP/1.1\r\nHost: sidecar\r\n\r\n" % path.encode()

        def on_end(outcome: AttemptOutcome, answer: Any) -> None:
            self.upstream.remove(name)
            reply: Reply | None = answer
            instance = reply.header(b"x-instance-id") if reply is not None and reply.status == 200 else None
            on_result(instance.decode("latin-1") if instance else "")

        exchange = self.upstream.exchange(name, lambda: request, PROBE_TIMEOUT_S, on_end)
        if exchange is not None:
            exchange.start()

    def update_limits(self, max_conns: int) -> None:
        """Sets the connection limit of the configuration."""
        self.max_conns = max_conns
        self.budget.max_steps = max(1, min(MAX_STEPS, self.slots, max_conns))

    def on_server_gone(self) -> None:
        """Handles the end of the server process, or its replacement by another one at the same address."""
        self.open, self._drains_until = False, -math.inf
        if self.instance:
            self.ended_instances.add(self.instance)
            self.upstream.remove(self.instance)
        self.instance = ""
        self.reject_all(ErrorKind.LEAVING)

    def reject_all(self, error: ErrorKind) -> None:
        """Rejects all waiting calls with an error."""
        queued, self.queued = self.queued, []
        late, self.late = self.late, deque()
        awaiting_keys, self.awaiting_keys = self.awaiting_keys, []
        for job in (*(entry[2] for entry in queued), *late, *awaiting_keys):
            self._finish(job, error, False)

    # --- calls of a sharded service

    def accepts_key(self, key: int) -> bool:
        """Returns whether a call for a shard key can be sent now or soon; counts one that can't."""
        accepted = self.key_gate(key) or self.key_expected(key)
        self.keys_not_held += not accepted
        return accepted

    def recheck_keys(self) -> None:
        """Handles a change of the keys that the server holds or is about to be given.

        Calls for keys that it has been given are queued. Those for keys that it no longer holds are given
        back unless they have reached it.
        """
        awaiting_keys, self.awaiting_keys = self.awaiting_keys, []
        for job in awaiting_keys:
            self.submit(job)
        for job in [*(entry[2] for entry in self.queued), *self.late]:
            if not self.key_gate(job.shard_key):
                self._remove(job)
                self._give_back(job)
        for job in self._connecting_jobs():
            if job.exchange is not None and self._has_lost_key(job):
                job.exchange.cancel()

    def _connecting_jobs(self) -> list[Job]:
        """Returns the calls whose connection is being opened."""
        return [job for job in self._exchanging if not self._written(job)]

    def _has_lost_key(self, job: Job) -> bool:
        """Returns whether the server does not hold the key of a call any more, and notes it."""
        if not job.key_lost and not self.key_gate(job.shard_key):
            self.keys_not_held += 1
            job.key_lost = True
        return job.key_lost

    def _may_write(self, job: Job) -> bool:
        """Returns whether a call may be written now that its connection is open."""
        return self.serves and not self._has_lost_key(job)

    def _give_back(self, job: Job) -> None:
        """Rejects a call that has not reached the server, as that does not hold its key."""
        self.keys_not_held += 1
        self._finish(job, ErrorKind.NOT_OWNER, False)

    def _await_key(self, now: float, job: Job) -> None:
        """Keeps a call until the server holds its key, for a limited time."""
        if now >= job.key_wait_until or not self.key_expected(job.shard_key):
            self._give_back(job)
            return
        self.awaiting_keys.append(job)
        self._loop.call_later(job.key_wait_until - now, self._end_key_wait, job)

    def _end_key_wait(self, job: Job) -> None:
        if job in self.awaiting_keys:
            self.awaiting_keys.remove(job)
            self._give_back(job)

    @staticmethod
    def _refuses_key(job: Job, instance: str, reply: Reply | None) -> bool:
        """Returns whether a server process has refused a call as it doesn't hold the key.

        A 421 of another process says that the one that the call was meant for is gone. A 421 without an
        instance id is taken for one of another process, unless the call has a key.
        """
        if reply is None or reply.status != 421:
            return False
        answered_by = reply.header(b"x-instance-id")
        if answered_by is None:
            return job.shard_key != NO_KEY
        return answered_by == instance.encode()

    # --- queueing

    def expected_wait_s(self) -> float:
        """Returns the expected queueing time of a new call."""
        concurrency = self.budget.limit
        if self.in_flight < concurrency:
            return 0.0
        return (len(self.queued) + len(self.late) + 1) * self.service_times.mean_s / max(1, concurrency)

    def accepts_calls(self) -> bool:
        """Returns whether a new call would be queued or sent instead of rejected at once."""
        if not self.serves:
            return False
        return bool(self.budget.steps) or self.budget.trial_allowed(int(self._loop.time() * 1e9))

    def failure_rate(self) -> float:
        """Returns the recent fraction of failed calls."""
        return self._failures.value(self._loop.time())

    def _expected_wait_before(self, due_at: float) -> float:
        """Returns the expected queueing time of a call behind all calls that are due earlier."""
        earlier = sum(1 for entry in self.queued if entry[0] <= due_at)
        return (earlier + 1) * self.service_times.mean_s / max(1, self.budget.limit)

    def submit(self, job: Job) -> None:
        """Sends a call at once, queues it by its due time, or rejects it."""
        now = self._loop.time()
        if not self.serves:
            self._finish(job, ErrorKind.LEAVING, False)
            return
        if not self.key_gate(job.shard_key):
            self._await_key(now, job)
            return
        if not self.budget.steps and (self.budget.trial_in_flight or now * 1e9 < self.budget.retry_at):
            self._finish(job, ErrorKind.FULL, False)  # the server has no capacity in the near future
            return
        if (
            self.in_flight >= self.budget.limit
            and not self.service_times.is_light(job.kind)
            and not self._fits(now, job)
        ):
            # A call that can't be served in time is rejected at once: queueing it would cost its client time.
            self._send_queued()
            if self.in_flight >= self.budget.limit and not self._displace(now, job):
                self._finish(job, ErrorKind.FULL, False)
                return
        self._submitted += 1
        order = job.due_at
        if self.service_times.is_light(job.kind):
            order = now
            job.due_at = job.latest_start_at = max(
                job.latest_start_at,
                job.deadline - LIGHT_RESERVE_FACTOR * self.service_times.expected_s(job.kind),
            )
        heapq.heappush(self.queued, (order, self._submitted, job))
        self._send_queued()

    def _fits(self, now: float, job: Job) -> bool:
        """Returns whether a new call is likely to start in time."""
        return (
            now + self._expected_wait_before(job.due_at) <= job.due_at
            or now + self.expected_wait_s() <= job.latest_start_at
        )

    def _displace(self, now: float, job: Job) -> bool:
        """Rejects calls of lower priority in favour of one that would be rejected otherwise.

        Returns whether the call fits afterwards. Of the calls of the lowest priority, the one due last is
        rejected first. Light calls hardly delay others and are kept.
        """
        waiting = [*(entry[2] for entry in self.queued), *self.late]
        candidates = [
            other
            for other in waiting
            if other.priority > job.priority and not self.service_times.is_light(other.kind)
        ]
        candidates.sort(key=lambda other: (other.priority, other.due_at))
        slot_s = self.service_times.mean_s / max(1, self.budget.limit)
        earlier = sum(1 for other in candidates if other.due_at <= job.due_at)
        if (
            now + self._expected_wait_before(job.due_at) - earlier * slot_s > job.due_at
            and now + self.expected_wait_s() - len(candidates) * slot_s > job.latest_start_at
        ):
            return False  # it would be late even so
        while candidates and not self._fits(now, job):
            displaced = candidates.pop()
            self._remove(displaced)
            self._finish(displaced, ErrorKind.FULL, False)
        return self._fits(now, job)

    def _remove(self, job: Job) -> None:
        """Removes a call from the queue."""
        self.queued = [entry for entry in self.queued if entry[2] is not job]
        heapq.heapify(self.queued)
        self.late = deque(waiting for waiting in self.late if waiting is not job)
        self.awaiting_keys = [waiting for waiting in self.awaiting_keys if waiting is not job]

    def withdraw(self, job: Job) -> None:
        """Cancels a call whose client has disconnected.

        A waiting call is removed. A running one is aborted if it may run more than once, which lets the
        server stop its work; any other runs to completion.
        """
        if job.finished or job.cancelled:
            return
        if job.exchange is None:
            job.cancelled = True
            self._remove(job)
            self._finish(job, ErrorKind.REFUSED, False)
        elif job.repeatable:
            job.cancelled = True
            job.exchange.cancel()

    def _next(self, now: float) -> Job | None:
        """Returns the next call to send. Calls past their due time move behind all others."""
        while self.queued and now > self.queued[0][2].due_at:
            self.late.append(heapq.heappop(self.queued)[2])
        if self.queued:
            return self.queued[0][2]
        while self.late:
            job = self.late[0]
            if now <= job.latest_start_at:
                return job
            self.late.popleft()
            self._finish(job, ErrorKind.FULL, False)
        return None

    def _send_queued(self) -> None:
        """Sends waiting calls for as long as the budget permits."""
        now = self._loop.time()
        while (job := self._next(now)) is not None:
            permitted, trial = self.budget.check_admission(int(now * 1e9), self.in_flight)
            if not permitted:
                break
            if self.queued and self.queued[0][2] is job:
                heapq.heappop(self.queued)
            else:
                self.late.popleft()
            self._send(now, job, trial)
        self._set_timer()

    def _set_timer(self) -> None:
        """Schedules a check for the earliest time at which a waiting call expires or a trial is due."""
        if self._timer is None and (self.queued or self.late):
            now = self._loop.time()
            at = min(
                [entry[2].latest_start_at for entry in self.queued]
                + [job.latest_start_at for job in self.late]
            )
            if not self.budget.trial_in_flight and self.budget.retry_at > now * 1e9:
                at = min(at, self.budget.retry_at / 1e9)
            self._timer = self._loop.call_later(max(0.001, at - now), self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        now = self._loop.time()
        for job in [job for job in self.late if now > job.latest_start_at]:
            self.late.remove(job)
            self._finish(job, ErrorKind.FULL, False)
        self._send_queued()

    def _send(self, now: float, job: Job, trial: bool) -> None:
        remaining_s = job.deadline - now
        instance = self.instance
        if remaining_s <= NETWORK_MARGIN_S:
            self._finish(job, ErrorKind.FULL, False)
            return
        if not self.serves:
            self._finish(job, ErrorKind.LEAVING, False)
            return
        if not self.key_gate(job.shard_key):
            self._give_back(job)
            return
        exchange = self.upstream.exchange(
            instance,
            lambda: job.build_request(job.deadline - self._loop.time(), instance),
            remaining_s,
            lambda outcome, answer: self._on_end(job, instance, outcome, answer),
        )
        if exchange is None:
            self._finish(job, ErrorKind.LEAVING, False)
            return
        exchange.expect = (b"x-attempt-id", job.attempt_id)
        exchange.still_wanted = lambda: self._may_write(job)
        job.trial, job.exchange, job.started_at = trial, exchange, now
        self.budget.trial_in_flight = self.budget.trial_in_flight or trial
        self.in_flight += 1
        self._exchanging.add(job)
        if job.on_overdue is not None:
            job.timer = self._loop.call_later(
                OVERDUE_FACTOR * self.service_times.expected_s(job.kind), job.on_overdue
            )
        exchange.start()

    def _on_end(self, job: Job, instance: str, outcome: AttemptOutcome, answer: Any) -> None:
        """Handles the outcome of a call that was sent."""
        self.in_flight -= 1
        self._exchanging.discard(job)
        now = self._loop.time()
        if job.timer is not None:
            job.timer.cancel()
        budget, current = self.budget, instance == self.instance
        reply: Reply | None = answer
        trial = job.trial and current
        if trial:
            budget.trial_in_flight = False
        if reply is not None and reply.status == 421:
            self._count_misdirected(instance, reply)
        if job.shard_key != NO_KEY and self._written(job):
            self.on_key_work(job.shard_key, now - job.started_at)
        if self._refuses_key(job, instance, reply):
            self.misdirected_keys += 1
            self._finish(job, ErrorKind.NOT_OWNER, True, reply)
        elif reply is not None and (reply.header(b"x-not-run") is not None or reply.status == 421):
            if current:
                self._on_failure(now, trial)
                if reply.status == 421:
                    self.on_server_gone()
                    self.on_replaced((reply.header(b"x-instance-id") or b"").decode("latin-1"))
                else:
                    budget.lower_concurrency()
            self._finish(job, ErrorKind.LEAVING if reply.status == 421 else ErrorKind.FULL, True, reply)
        elif reply is not None and (reply.header(b"x-server-seal") is not None or reply.status >= 400):
            if current:
                self._learn_keep_alive(reply)
                self._failures.record(now, reply.status >= 500)
                self._on_answer(now, job, trial, reply.status < 500)
            self._finish(job, None, True, reply)
        else:
            error, arrived = ErrorKind.BROKEN, True
            if outcome == AttemptOutcome.TIMEOUT:
                error = ErrorKind.LATE
            elif outcome in (AttemptOutcome.MOOT, AttemptOutcome.CONNECT_FAILED) and not self._written(job):
                error, arrived = self._error_of_unsent(job), False
            # A call that was cancelled here says nothing about the server.
            if current and outcome != AttemptOutcome.MOOT and not job.cancelled:
                self._failures.record(now, True)
                self._on_failure(now, trial, outcome in CONNECTION_FAILURES)
            self._finish(job, error, arrived)
        if current and (reply is not None or outcome in CONNECTION_FAILURES):
            self.on_contact(reply is not None)
        self._send_queued()

    def _error_of_unsent(self, job: Job) -> ErrorKind:
        """Returns the error of a call that was not written."""
        if job.key_lost:
            return ErrorKind.NOT_OWNER
        return ErrorKind.FULL if self.serves else ErrorKind.LEAVING

    def _count_misdirected(self, instance: str, reply: Reply) -> None:
        """Counts a 421: the server that a call was for does not hold its key, or another server answered."""
        if reply.header(b"x-instance-id") == instance.encode("latin-1"):
            self.misdirected_by_same_server += 1
        else:
            self.misdirected_by_other_server += 1

    def _on_answer(self, now: float, job: Job, trial: bool, succeeded: bool) -> None:
        """Updates the budget and the service times after an answer.

        Failures don't count as service times: they come sooner than the work would take, so a failing server
        would attract all calls.
        """
        self.budget.raise_concurrency()
        if trial:
            self.budget.add_step()
        if not succeeded:
            return
        self.service_times.record(job.kind, now - job.started_at)

    def _on_failure(self, now: float, trial: bool, connection_failed: bool = False) -> None:
        """Updates the budget after a refusal, a failed connection, a reset or a timeout."""
        budget, now_ns = self.budget, int(now * 1e9)
        if trial:
            budget.back_off(now_ns, INITIAL_BACKOFF_NS, MAX_BACKOFF_NS, random.random)
        elif connection_failed and budget.steps:
            budget.remove_step()
            if not budget.steps:
                budget.start_backoff(now_ns, INITIAL_BACKOFF_NS, random.random)

    @staticmethod
    def _written(job: Job) -> bool:
        """Returns whether any part of the call may have reached the server."""
        return job.exchange is not None and job.exchange.touched

    def _learn_keep_alive(self, reply: Reply) -> None:
        """Adopts the idle timeout that the server announces, if any."""
        keep_alive = reply.header(b"keep-alive")
        if keep_alive is not None and keep_alive.startswith(b"timeout=") and keep_alive[8:].isdigit():
            self.upstream.keep(min(IDLE_TIMEOUT_S, float(keep_alive[8:]) * 1.5) * IDLE_TIMEOUT_FRACTION)

    def _finish(self, job: Job, error: ErrorKind | None, arrived: bool, reply: Reply | None = None) -> None:
        """Reports the result of a call, once."""
        if not job.finished:
            job.finished = True
            # It refers to the call, as its exchange does to the job; the body would wait for a collector.
            job.exchange = None
            job.on_done(error, arrived, reply)
