"""The queue of a server: order, rejection, and learning from outcomes. No sockets."""

import asyncio

import pytest

from dunefield.interface import AttemptOutcome
from hollyport.http.back import Reply
from mesh.errors import ErrorKind
from mesh.proxy.server_job import Job
from mesh.proxy.server_queue import ServerQueue
from mesh.settings import Address
from mesh.state.shards import NO_KEY

SEAL = (b"x-server-seal", b"s")


class FakeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is set by the test; timers are recorded and called by hand."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.timers = []

    def time(self):
        return self.now

    def call_later(self, delay, callback, *args, context=None):
        self.timers.append((self.now + delay, callback, args))
        return asyncio.TimerHandle(self.now + delay, callback, args, self)


class FakeUpstream:
    """Replaces the connections: records exchanges, which the test ends."""

    def __init__(self):
        self.sent = []

    def update(self, *results):
        """Adds a server; ignored."""

    def remove(self, name):
        """Removes a server; ignored."""

    def keep(self, idle_s):
        """Sets the idle timeout; ignored."""

    def exchange(self, name, make, timeout_s, ended):
        return FakeExchange(self, ended, timeout_s)


class FakeExchange:
    def __init__(self, upstream, ended, timeout_s):
        self.upstream, self.ended, self.timeout_s = upstream, ended, timeout_s
        self.touched, self.expect = False, None

    def start(self):
        self.touched = True
        self.upstream.sent.append(self)

    def cancel(self):
        self.end(AttemptOutcome.CANCELLED, self.touched)

    def reply(self, status=200, headers=(SEAL,)):
        self.upstream.sent.remove(self)
        self.ended(AttemptOutcome.OK, Reply(status, list(headers), b"body"))

    def end(self, outcome, touched=True):
        self.touched = touched
        self.upstream.sent.remove(self)
        self.ended(outcome, None)


@pytest.fixture
def server_queue():
    loop = FakeLoop()
    created = ServerQueue(loop, Address("127.0.0.1", 9), 64)
    created.upstream = FakeUpstream()
    created.update_server("i-1", 4, 0.0, True)
    created.budget.steps = 1
    created.budget.max_steps = 1
    yield created
    loop.close()


def job(server_queue, name, due, latest_start=None, deadline=10.0, results=None):
    now = server_queue._loop.now
    recorded = results if results is not None else []
    return Job(
        lambda left, instance: b"",
        name.encode(),
        now + deadline,
        now + due,
        now + (latest_start or due),
        lambda error, arrived, reply: recorded.append((name, error, arrived)),
        name,
    )


def sent_names(server_queue):
    return [sent.expect[1].decode() for sent in server_queue.upstream.sent]


def test_calls_are_sent_by_due_time_and_then_in_order_of_arrival(server_queue):
    server_queue.service_times.mean_s = 0.001
    for name, due in (("running", 1), ("slow", 5), ("call", 0.5), ("second", 5), ("third", 5)):
        server_queue.submit(job(server_queue, name, due))
    seen = sent_names(server_queue)
    while server_queue.upstream.sent:
        server_queue.upstream.sent[0].reply()
        seen += sent_names(server_queue)
    assert seen == ["running", "call", "slow", "second", "third"]


def test_calls_past_their_due_time_are_sent_after_all_others(server_queue):
    server_queue.service_times.mean_s = 0.001
    server_queue.submit(job(server_queue, "running", 1))
    server_queue.submit(job(server_queue, "late", 0.1, latest_start=5))
    server_queue._loop.now += 0.2
    server_queue.submit(job(server_queue, "fresh", 1))
    server_queue.upstream.sent[0].reply()
    assert sent_names(server_queue) == ["fresh"]
    server_queue.upstream.sent[0].reply()
    assert sent_names(server_queue) == ["late"]


def test_a_call_past_its_latest_start_is_rejected_unsent(server_queue):
    results = []
    server_queue.service_times.mean_s = 0.001
    server_queue.submit(job(server_queue, "running", 1))
    server_queue.submit(job(server_queue, "late", 0.1, latest_start=0.3, results=results))
    server_queue._loop.now += 0.31
    server_queue._on_timer()
    assert results == [("late", ErrorKind.FULL, False)] and sent_names(server_queue) == ["running"]


def test_a_call_that_would_wait_too_long_is_rejected_at_once(server_queue):
    results = []
    server_queue.submit(job(server_queue, "running", 1))
    server_queue.service_times.mean_s = 1.0
    server_queue.submit(job(server_queue, "hopeless", 0.2, results=results))
    assert results == [("hopeless", ErrorKind.FULL, False)]


def test_a_draining_server_gets_no_calls_and_waiting_ones_are_rejected(server_queue):
    results = []
    server_queue.service_times.mean_s = 0.001
    server_queue.submit(job(server_queue, "running", 1, results=results))
    server_queue.submit(job(server_queue, "waiting", 1, results=results))
    server_queue.update_server("i-1", 4, 0.0, False)
    assert results == [("waiting", ErrorKind.LEAVING, False)]
    server_queue.submit(job(server_queue, "later", 1, results=results))
    assert results[-1] == ("later", ErrorKind.LEAVING, False) and sent_names(server_queue) == ["running"]
    server_queue.upstream.sent[0].reply()
    assert results[-1] == ("running", None, True)


@pytest.mark.parametrize(
    ("outcome", "touched", "error", "arrived"),
    [
        (AttemptOutcome.RESET, True, ErrorKind.BROKEN, True),
        (AttemptOutcome.TIMEOUT, True, ErrorKind.LATE, True),
        (AttemptOutcome.CANCELLED, True, ErrorKind.BROKEN, True),
        (AttemptOutcome.CONNECT_FAILED, False, ErrorKind.FULL, False),
        (AttemptOutcome.MOOT, False, ErrorKind.FULL, False),
        (AttemptOutcome.CONNECT_FAILED, True, ErrorKind.BROKEN, True),
    ],
)
def test_only_a_call_that_was_never_written_is_reported_as_not_run(
    server_queue, outcome, touched, error, arrived
):
    results = []
    server_queue.submit(job(server_queue, "a", 1, results=results))
    server_queue.upstream.sent[0].end(outcome, touched)
    assert results == [("a", error, arrived)]


def test_a_response_with_x_not_run_counts_as_not_run_and_lowers_the_concurrency(server_queue):
    results = []
    server_queue.budget.max_steps = 4
    server_queue.submit(job(server_queue, "a", 1, results=results))
    figure = server_queue.budget.concurrency
    server_queue.upstream.sent[0].reply(503, [(b"x-not-run", b"1")])
    assert results == [("a", ErrorKind.FULL, True)] and server_queue.budget.concurrency < figure


def test_a_misdirected_response_ends_the_instance_and_reports_the_new_one(server_queue):
    results, recorded = [], []
    server_queue.on_replaced = recorded.append
    server_queue.submit(job(server_queue, "a", 1, results=results))
    server_queue.upstream.sent[0].reply(421, [(b"x-instance-id", b"i-2")])
    assert results == [("a", ErrorKind.LEAVING, True)] and recorded == ["i-2"]
    assert server_queue.instance == "" and "i-1" in server_queue.ended_instances


def test_a_421_for_a_key_that_is_not_held_does_not_end_the_server_s_life(server_queue):
    results, recorded = [], []
    server_queue.on_replaced = recorded.append
    server_queue.service_times.mean_s = 0.001
    server_queue.submit(job(server_queue, "misdirected", 1, results=results))
    server_queue.submit(job(server_queue, "waiting", 1, results=results))
    server_queue.upstream.sent[0].reply(421, [(b"x-not-run", b"1"), (b"x-instance-id", b"i-1")])
    assert server_queue.instance == "i-1" and server_queue.open
    assert not server_queue.ended_instances and not recorded
    assert [name for name, _, _ in results] == ["misdirected"] and results[0][2]
    assert sent_names(server_queue) == ["waiting"]


@pytest.mark.parametrize(
    ("headers", "by_same", "by_other"),
    [([(b"x-instance-id", b"i-1")], 1, 0), ([(b"x-instance-id", b"i-2")], 0, 1), ([], 0, 1)],
)
def test_a_misdirected_response_is_counted_by_the_server_that_gave_it(
    server_queue, headers, by_same, by_other
):
    server_queue.submit(job(server_queue, "a", 1))
    server_queue.upstream.sent[0].reply(421, headers)
    assert server_queue.misdirected_by_same_server == by_same
    assert server_queue.misdirected_by_other_server == by_other


def test_resets_lower_the_steps_to_zero_and_one_trial_restores_them(server_queue):
    results = []
    server_queue.submit(job(server_queue, "a", 1, results=results))
    server_queue.upstream.sent[0].end(AttemptOutcome.RESET)
    assert server_queue.budget.steps == 0
    server_queue.submit(job(server_queue, "b", 1, results=results))
    assert results[-1] == ("b", ErrorKind.FULL, False)
    server_queue._loop.now += 1.0
    server_queue.submit(job(server_queue, "c", 1, results=results))
    assert sent_names(server_queue) == ["c"] and server_queue.budget.trial_in_flight
    server_queue.submit(job(server_queue, "d", 1, results=results))
    assert results[-1] == ("d", ErrorKind.FULL, False)
    server_queue.upstream.sent[0].reply()
    assert server_queue.budget.steps == 1 and not server_queue.budget.trial_in_flight


def test_a_warm_server_starts_at_half_of_its_slots_and_a_cold_one_at_one(server_queue):
    server_queue.update_server("i-2", 8, 0.0, True)
    assert (
        server_queue.budget.steps == 4
        and server_queue.instance == "i-2"
        and "i-1" in server_queue.ended_instances
    )
    server_queue.update_server("i-3", 8, 2.0, True)
    assert server_queue.budget.steps == 1


def test_the_first_server_after_a_start_begins_at_half_of_its_slots_though_it_is_cold(server_queue):
    # guards against seconds of queues after all machines lost power, as then all servers are cold
    server_queue.instance = ""
    server_queue.update_server("i-2", 8, 2.0, True)
    assert server_queue.budget.steps == 4


def run_calls(server_queue, kind, service_s, times=3):
    """Runs calls of a kind one after the other."""
    for _ in range(times):
        server_queue.submit(job(server_queue, kind, 5))
        server_queue._loop.now += service_s
        server_queue.upstream.sent[0].reply()


def test_light_calls_are_sent_first_and_wait_until_just_before_their_deadline(server_queue):
    run_calls(server_queue, "heavy", 0.2)
    run_calls(server_queue, "call", 0.01)
    results = []
    server_queue.submit(job(server_queue, "running", 5))
    server_queue.submit(job(server_queue, "heavy", 1, results=results))
    server_queue.submit(job(server_queue, "call", 0.01, deadline=0.5, results=results))
    server_queue._loop.now += 0.4
    server_queue._on_timer()
    assert not results, "past its due time, but kept"
    server_queue.upstream.sent[0].reply()
    assert sent_names(server_queue) == ["call"]


def test_a_call_that_takes_unusually_long_is_reported_once_and_only_on_request(server_queue):
    run_calls(server_queue, "kind", 0.1)
    results = []
    one = job(server_queue, "kind", 5)
    one.on_overdue = lambda: results.append("overdue")
    server_queue.submit(one)
    at, callback, args = server_queue._loop.timers[-1]
    assert at - server_queue._loop.now == pytest.approx(0.4) and not results
    callback(*args)
    assert results == ["overdue"]
    server_queue.upstream.sent[0].reply()
    before = len(server_queue._loop.timers)
    server_queue.submit(job(server_queue, "kind", 5))
    assert len(server_queue._loop.timers) == before


def _calls(server_queue, status, count, service_s=0.1):
    for _ in range(count):
        server_queue.submit(job(server_queue, "a call", 9))
        server_queue._loop.now += service_s
        server_queue.upstream.sent[0].reply(status)


def test_the_failure_rate_follows_failed_calls_and_decays(server_queue):
    _calls(server_queue, 200, 20)
    assert server_queue.failure_rate() == 0.0
    for _ in range(30):
        _calls(server_queue, 500, 1)
        _calls(server_queue, 200, 1)
    rate = server_queue.failure_rate()
    assert 0.3 < rate < 0.7
    server_queue._loop.now += 30.0
    assert server_queue.failure_rate() < rate / 500, "a server without calls can't show that it has recovered"
    server_queue.submit(job(server_queue, "broken", 9))
    server_queue.upstream.sent[0].end(AttemptOutcome.RESET)
    assert server_queue.failure_rate() > 0.05
    server_queue.update_server("i-2", 4, 0.0, True)
    assert server_queue.failure_rate() == 0.0, "a new process starts without failures"


def test_fast_failures_do_not_lower_the_service_time(server_queue):
    _calls(server_queue, 200, 30, service_s=0.2)
    _calls(server_queue, 500, 30, service_s=0.001)
    assert server_queue.service_times.measured_s("a call") == pytest.approx(0.2)


def test_a_queue_without_capacity_accepts_no_calls(server_queue):
    assert server_queue.accepts_calls()
    server_queue.budget.steps, server_queue.budget.retry_at = 0, int((server_queue._loop.now + 1) * 1e9)
    assert not server_queue.accepts_calls()
    server_queue._loop.now += 1.1
    assert server_queue.accepts_calls(), "a trial is due"
    server_queue.on_server_gone()
    assert not server_queue.accepts_calls()


def test_a_withdrawn_call_is_not_sent_and_the_others_keep_their_order(server_queue):
    results = []
    calls = {
        name: job(server_queue, name, due, results=results)
        for name, due in zip("abcd", (1, 2, 3, 4), strict=True)
    }
    for call in calls.values():
        server_queue.submit(call)
    server_queue.withdraw(calls["c"])
    server_queue.withdraw(calls["c"])
    assert results == [("c", ErrorKind.REFUSED, False)]
    for _ in range(3):
        server_queue.upstream.sent[0].reply()
    assert [name for name, error, _ in results if error is None] == ["a", "b", "d"]


def test_a_repeatable_call_is_aborted_without_counting_against_the_server(server_queue):
    results = []
    first, second = job(server_queue, "a", 1, results=results), job(server_queue, "b", 2, results=results)
    first.repeatable = True
    for call in (first, second):
        server_queue.submit(call)
    k = server_queue.budget.steps
    server_queue.withdraw(first)
    assert results == [("a", ErrorKind.BROKEN, True)] and sent_names(server_queue) == ["b"]
    assert (
        server_queue.failure_rate() == 0.0 and server_queue.budget.steps == k and server_queue.in_flight == 1
    )


def test_a_call_that_is_not_repeatable_runs_on(server_queue):
    results = []
    call = job(server_queue, "a", 1, results=results)
    server_queue.submit(call)
    server_queue.withdraw(call)
    assert results == [] and sent_names(server_queue) == ["a"]
    server_queue.upstream.sent[0].reply()
    assert results == [("a", None, True)]


def test_an_aborted_trial_permits_the_next_one(server_queue):
    server_queue.budget.max_steps = 3
    running, trial = job(server_queue, "a", 1), job(server_queue, "b", 2)
    trial.repeatable = True
    for call in (running, trial):
        server_queue.submit(call)
    assert trial.trial and server_queue.budget.trial_in_flight
    server_queue.withdraw(trial)
    assert not server_queue.budget.trial_in_flight
    server_queue.submit(job(server_queue, "c", 3))
    assert sent_names(server_queue) == ["a", "c"]


def job_with_priority(server_queue, name, due, priority, results):
    created = job(server_queue, name, due, results=results)
    created.priority = priority
    return created


def test_a_call_of_higher_priority_displaces_one_of_lower_priority(server_queue):
    results = []
    server_queue.submit(job(server_queue, "running", 9))
    server_queue.service_times.mean_s = 1.0
    for at in range(3):
        server_queue.submit(job_with_priority(server_queue, f"low {at}", 3.5 + at / 10, 2, results))
    assert not results and len(server_queue.queued) == 3
    server_queue.submit(job_with_priority(server_queue, "equal", 3.8, 2, results))
    assert results.pop() == ("equal", ErrorKind.FULL, False), "a call does not displace one of equal priority"
    server_queue.submit(job_with_priority(server_queue, "urgent", 3.8, 1, results))
    assert results == [("low 2", ErrorKind.FULL, False)], "only the call due last, as that is enough"
    server_queue.submit(job_with_priority(server_queue, "hopeless", 0.5, 0, results))
    assert [name for name, *_ in results] == ["low 2", "hopeless"], (
        "no call is displaced for one that would be late anyway"
    )
    server_queue.upstream.sent[0].reply()
    assert sent_names(server_queue) == ["low 0"], "the order is still by due time"


def test_a_light_call_is_not_displaced(server_queue):
    results = []
    server_queue.submit(job(server_queue, "running", 9))
    server_queue.service_times.record("light", 0.01)
    server_queue.service_times.record("heavy", 1.0)
    server_queue.service_times.mean_s = 1.0
    for _ in range(3):
        created = job_with_priority(server_queue, "light", 3.5, 2, results)
        server_queue.submit(created)
    server_queue.submit(job_with_priority(server_queue, "urgent", 1.5, 0, results))
    assert results == [("urgent", ErrorKind.FULL, False)]


# --- keys of a sharded service


def keyed_job(server_queue, name, key, results):
    created = job(server_queue, name, 1, results=results)
    created.shard_key = key
    return created


def test_calls_whose_keys_are_lost_are_given_back_wherever_they_wait(server_queue):
    results, held = [], {1, 2, NO_KEY}
    server_queue.service_times.mean_s, server_queue.key_gate = 0.001, held.__contains__
    server_queue.submit(keyed_job(server_queue, "connecting", 1, results))
    (exchange,) = server_queue.upstream.sent
    exchange.touched, exchange.cancel = False, lambda: exchange.end(AttemptOutcome.MOOT, False)
    for name, key in (("not held", 9), ("queued", 1), ("late", 1), ("unsharded", NO_KEY), ("next", 2)):
        server_queue.submit(keyed_job(server_queue, name, key, results))
    late = next(entry[2] for entry in server_queue.queued if entry[2].kind == "late")
    server_queue._remove(late)
    server_queue.late.append(late)
    assert [name for name, *_ in results] == ["not held"]
    held.discard(1)
    server_queue.recheck_keys()
    held.discard(2)
    server_queue.upstream.sent[0].reply()  # then the next call is due, whose key was lost as well
    assert sorted(results) == sorted(
        [(name, ErrorKind.NOT_OWNER, False) for name in ("connecting", "late", "next", "not held", "queued")]
        + [("unsharded", None, True)]
    )
    assert server_queue.in_flight == 0 and server_queue.keys_not_held == 5


@pytest.mark.parametrize(
    ("key", "headers", "is_key_refused"),
    [
        (1, [], True),
        (1, [(b"x-instance-id", b"i-1")], True),
        (1, [(b"x-instance-id", b"i-2")], False),
        (NO_KEY, [(b"x-instance-id", b"i-1")], True),
        (NO_KEY, [(b"x-instance-id", b"i-2")], False),
        (NO_KEY, [], False),
    ],
)
def test_a_misdirected_key_does_not_count_against_its_server(server_queue, key, headers, is_key_refused):
    results = []
    server_queue.submit(keyed_job(server_queue, "a", key, results))
    before = server_queue.budget.concurrency, server_queue.budget.steps, server_queue.failure_rate()
    server_queue.upstream.sent[0].reply(421, [(b"x-not-run", b"1"), *headers])
    assert results == [("a", ErrorKind.NOT_OWNER if is_key_refused else ErrorKind.LEAVING, True)]
    assert (server_queue.instance == "i-1") == server_queue.open == is_key_refused
    assert server_queue.misdirected_keys == is_key_refused
    after = server_queue.budget.concurrency, server_queue.budget.steps, server_queue.failure_rate()
    assert after == before or not is_key_refused


def test_the_work_of_each_call_that_reached_the_server_is_reported_by_key(server_queue):
    work = []
    server_queue.on_key_work = lambda key, work_s: work.append((key, work_s))
    for key, touched in ((1, True), (NO_KEY, True), (2, False)):
        server_queue.submit(keyed_job(server_queue, "a", key, []))
        server_queue._loop.now += 0.25
        server_queue.upstream.sent[0].end(AttemptOutcome.RESET, touched)
        server_queue.budget.steps = 1
    assert work == [(1, 0.25)]


def test_calls_for_a_key_that_the_server_is_about_to_be_given_wait_for_it_for_a_limited_time(server_queue):
    results, held, expected = [], set(), {1, 2}
    server_queue.key_gate, server_queue.key_expected = held.__contains__, expected.__contains__
    server_queue.budget.steps = server_queue.budget.max_steps = 2
    created = {}
    for name, key in (
        ("given", 1),
        ("left", 1),
        ("too late", 2),
        ("withdrawn", 2),
        ("other", 3),
        ("none", NO_KEY),
    ):
        created[name] = keyed_job(server_queue, name, key, results)
        created[name].key_wait_until = server_queue._loop.now + 0.2
        server_queue.submit(created[name])
    assert not sent_names(server_queue)
    assert results == [(name, ErrorKind.NOT_OWNER, False) for name in ("other", "none")]
    server_queue.withdraw(created["withdrawn"])
    held.add(1)
    server_queue.recheck_keys()
    assert sent_names(server_queue) == ["given", "left"] and len(server_queue.awaiting_keys) == 1
    server_queue._loop.now += 0.2
    for at, callback, arguments in list(server_queue._loop.timers):
        if at <= server_queue._loop.now:
            callback(*arguments)
    assert ("too late", ErrorKind.NOT_OWNER, False) in results and not server_queue.awaiting_keys
    server_queue.submit(keyed_job(server_queue, "leaving", 2, results))
    server_queue.update_server("i-1", 4, 0.0, False)
    assert results[-1] == ("leaving", ErrorKind.LEAVING, False)


# --- calls whose connection is still being opened


class OpenedConnection:
    """A connection that has come up, to which nothing should be written."""

    reusable, idle_since = True, 0.0

    def __init__(self):
        self.sent = []

    def send(self, data, on_reply):
        self.sent.append(data)

    def close(self):
        """Closes the connection; ignored."""


async def play_connecting_call(while_connecting):
    """Returns whether a call was written whose connection came up after a change, and how it ended."""
    queue = ServerQueue(asyncio.get_running_loop(), Address("127.0.0.1", 9), 64)
    connection, is_up, results = OpenedConnection(), asyncio.Event(), []

    async def connect(address, back):
        await is_up.wait()
        return connection

    queue.upstream.connect = connect
    queue.update_server("i-1", 4, 0.0, True)
    now = queue._loop.time()

    def record(error, arrived, reply):
        results.append((error, arrived))

    call = Job(lambda left, instance: b"call", b"a-1", now + 9, now + 8, now + 8, record)
    call.shard_key = 7
    queue.submit(call)
    await asyncio.sleep(0)
    await while_connecting(queue)
    is_up.set()
    for _ in range(3):
        await asyncio.sleep(0)
    return connection.sent, results


async def close_at_the_end_of_the_drain(queue):
    drain_s = 0.01
    queue.drain(queue._loop.time() + drain_s)
    queue.update_server("i-1", 4, 0.0, False)
    assert queue._exchanging
    await asyncio.sleep(2 * drain_s)
    assert not queue._exchanging  # it is given back before its connection is up


async def close_unnoticed(queue):
    queue.open = False


async def lose_key(queue):
    queue.key_gate = lambda key: False


@pytest.mark.parametrize(
    ("change", "error"),
    [
        (close_at_the_end_of_the_drain, ErrorKind.LEAVING),
        (close_unnoticed, ErrorKind.LEAVING),
        (lose_key, ErrorKind.NOT_OWNER),
    ],
)
def test_a_call_whose_connection_comes_up_too_late_is_not_written(change, error):
    sent, results = asyncio.run(play_connecting_call(change))
    assert sent == [] and results == [(error, False)]


def test_a_call_whose_connection_comes_up_during_the_drain_is_written():
    async def drain(queue):
        queue.drain(queue._loop.time() + 60.0)
        queue.update_server("i-1", 4, 0.0, False)

    sent, results = asyncio.run(play_connecting_call(drain))
    assert sent == [b"call"] and results == []
