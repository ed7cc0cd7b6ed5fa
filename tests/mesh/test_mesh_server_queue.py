"""A pool beside a server: who goes first, who is given back at once, and what outcomes teach. No sockets."""

import asyncio

import pytest

from dunefield.interface import AttemptOutcome
from hollyport.http.back import Reply
from mesh.errors import ErrorKind
from mesh.proxy.server_queue import Job, ServerQueue
from mesh.settings import Address

SEAL = (b"x-server-seal", b"s")


class Clock(asyncio.SelectorEventLoop):
    """A loop whose time a test sets; timers are looked at by hand."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.timers = []

    def time(self):
        return self.now

    def call_later(self, delay, callback, *args, context=None):
        self.timers.append((self.now + delay, callback, args))
        return asyncio.TimerHandle(self.now + delay, callback, args, self)


class Wire:
    """Stands in for the connections: what was sent, and its end by the test's word."""

    def __init__(self):
        self.sent = []

    def update(self, *told):
        """A server is there."""

    def remove(self, name):
        """It is gone."""

    def keep(self, idle_s):
        """How long idle connections are kept."""

    def exchange(self, name, make, limit_s, ended):
        return Sent(self, ended, limit_s)


class Sent:
    def __init__(self, wire, ended, limit_s):
        self.wire, self.ended, self.limit_s = wire, ended, limit_s
        self.touched, self.expect = False, None

    def start(self):
        self.touched = True
        self.wire.sent.append(self)

    def cancel(self):
        self.end(AttemptOutcome.CANCELLED, self.touched)

    def reply(self, status=200, headers=(SEAL,)):
        self.wire.sent.remove(self)
        self.ended(AttemptOutcome.OK, Reply(status, list(headers), b"body"))

    def end(self, how, touched=True):
        self.touched = touched
        self.wire.sent.remove(self)
        self.ended(how, None)


@pytest.fixture
def server_queue():
    loop = Clock()
    made = ServerQueue(loop, Address("127.0.0.1", 9), 64)
    made.upstream = Wire()
    made.update_server("i-1", 4, 0.0, True)
    made.budget.steps = 1
    made.budget.max_steps = 1
    yield made
    loop.close()


def job(server_queue, name, due, last=None, deadline=10.0, told=None):
    now = server_queue._loop.now
    found = told if told is not None else []
    return Job(
        lambda left, instance: b"",
        name.encode(),
        now + deadline,
        now + due,
        now + (last or due),
        lambda fault, arrived, reply: found.append((name, fault, arrived)),
        name,
    )


def names(server_queue):
    return [sent.expect[1].decode() for sent in server_queue.upstream.sent]


def test_who_is_due_first_goes_first_and_equals_go_in_order(server_queue):
    server_queue.mean_service_s = 0.001
    for name, due in (("running", 1), ("slow", 5), ("call", 0.5), ("second", 5), ("third", 5)):
        server_queue.submit(job(server_queue, name, due))
    seen = names(server_queue)
    while server_queue.upstream.sent:
        server_queue.upstream.sent[0].reply()
        seen += names(server_queue)
    assert seen == ["running", "call", "slow", "second", "third"]


def test_what_cannot_be_in_time_steps_back_behind_all_that_can(server_queue):
    server_queue.mean_service_s = 0.001
    server_queue.submit(job(server_queue, "running", 1))
    server_queue.submit(job(server_queue, "late", 0.1, last=5))
    server_queue._loop.now += 0.2
    server_queue.submit(job(server_queue, "fresh", 1))
    server_queue.upstream.sent[0].reply()
    assert names(server_queue) == ["fresh"]
    server_queue.upstream.sent[0].reply()
    assert names(server_queue) == ["late"]


def test_what_waits_past_its_last_start_is_given_back_unsent(server_queue):
    told = []
    server_queue.mean_service_s = 0.001
    server_queue.submit(job(server_queue, "running", 1))
    server_queue.submit(job(server_queue, "late", 0.1, last=0.3, told=told))
    server_queue._loop.now += 0.31
    server_queue._look()
    assert told == [("late", ErrorKind.FULL, False)] and names(server_queue) == ["running"]


def test_who_would_wait_too_long_is_given_back_at_once(server_queue):
    told = []
    server_queue.submit(job(server_queue, "running", 1))
    server_queue.mean_service_s = 1.0
    server_queue.submit(job(server_queue, "hopeless", 0.2, told=told))
    assert told == [("hopeless", ErrorKind.FULL, False)]


def test_from_the_word_that_it_drains_on_nothing_goes_and_what_waits_is_given_back(server_queue):
    told = []
    server_queue.mean_service_s = 0.001
    server_queue.submit(job(server_queue, "running", 1, told=told))
    server_queue.submit(job(server_queue, "waiting", 1, told=told))
    server_queue.update_server("i-1", 4, 0.0, False)
    assert told == [("waiting", ErrorKind.LEAVING, False)]
    server_queue.submit(job(server_queue, "later", 1, told=told))
    assert told[-1] == ("later", ErrorKind.LEAVING, False) and names(server_queue) == ["running"]
    server_queue.upstream.sent[0].reply()
    assert told[-1] == ("running", None, True)


@pytest.mark.parametrize(
    ("how", "touched", "fault", "arrived"),
    [
        (AttemptOutcome.RESET, True, ErrorKind.BROKEN, True),
        (AttemptOutcome.TIMEOUT, True, ErrorKind.LATE, True),
        (AttemptOutcome.CANCELLED, True, ErrorKind.BROKEN, True),
        (AttemptOutcome.CONNECT_FAILED, False, ErrorKind.FULL, False),
        (AttemptOutcome.MOOT, False, ErrorKind.FULL, False),
        (AttemptOutcome.CONNECT_FAILED, True, ErrorKind.BROKEN, True),
    ],
)
def test_only_what_was_never_written_is_promised_not_to_have_run(server_queue, how, touched, fault, arrived):
    told = []
    server_queue.submit(job(server_queue, "a", 1, told=told))
    server_queue.upstream.sent[0].end(how, touched)
    assert told == [("a", fault, arrived)]


def test_a_server_that_says_it_did_not_run_it_is_believed_and_its_figure_falls(server_queue):
    told = []
    server_queue.budget.max_steps = 4
    server_queue.submit(job(server_queue, "a", 1, told=told))
    figure = server_queue.budget.concurrency
    server_queue.upstream.sent[0].reply(503, [(b"x-not-run", b"1")])
    assert told == [("a", ErrorKind.FULL, True)] and server_queue.budget.concurrency < figure


def test_another_server_at_the_address_ends_that_life_and_says_who_it_is(server_queue):
    told, found = [], []
    server_queue.replaced = found.append
    server_queue.submit(job(server_queue, "a", 1, told=told))
    server_queue.upstream.sent[0].reply(421, [(b"x-instance-id", b"i-2")])
    assert told == [("a", ErrorKind.LEAVING, True)] and found == ["i-2"]
    assert server_queue.instance == "" and "i-1" in server_queue.ended_instances


def test_resets_lower_k_to_zero_and_one_trial_brings_it_back(server_queue):
    told = []
    server_queue.submit(job(server_queue, "a", 1, told=told))
    server_queue.upstream.sent[0].end(AttemptOutcome.RESET)
    assert server_queue.budget.steps == 0
    server_queue.submit(job(server_queue, "b", 1, told=told))
    assert told[-1] == ("b", ErrorKind.FULL, False)
    server_queue._loop.now += 1.0
    server_queue.submit(job(server_queue, "c", 1, told=told))
    assert names(server_queue) == ["c"] and server_queue.budget.trial_in_flight
    server_queue.submit(job(server_queue, "d", 1, told=told))
    assert told[-1] == ("d", ErrorKind.FULL, False)
    server_queue.upstream.sent[0].reply()
    assert server_queue.budget.steps == 1 and not server_queue.budget.trial_in_flight


def test_a_warm_server_begins_at_half_of_its_slots_and_a_cold_one_at_one(server_queue):
    server_queue.update_server("i-2", 8, 0.0, True)
    assert (
        server_queue.budget.steps == 4
        and server_queue.instance == "i-2"
        and "i-1" in server_queue.ended_instances
    )
    server_queue.update_server("i-3", 8, 2.0, True)
    assert server_queue.budget.steps == 1


def answered(server_queue, kind, took, times=3):
    """A few calls of a kind, alone."""
    for _ in range(times):
        server_queue.submit(job(server_queue, kind, 5))
        server_queue._loop.now += took
        server_queue.upstream.sent[0].reply()


def test_light_calls_go_first_and_stay_until_just_before_their_deadline(server_queue):
    answered(server_queue, "heavy", 0.2)
    answered(server_queue, "call", 0.01)
    told = []
    server_queue.submit(job(server_queue, "running", 5))
    server_queue.submit(job(server_queue, "heavy", 1, told=told))
    server_queue.submit(job(server_queue, "call", 0.01, deadline=0.5, told=told))
    server_queue._loop.now += 0.4
    server_queue._look()
    assert not told, "late by its due time, and kept all the same"
    server_queue.upstream.sent[0].reply()
    assert names(server_queue) == ["call"]


def test_a_call_that_takes_unusually_long_is_told_once_and_only_where_asked_for(server_queue):
    answered(server_queue, "kind", 0.1)
    told = []
    one = job(server_queue, "kind", 5)
    one.on_overdue = lambda: told.append("overdue")
    server_queue.submit(one)
    at, callback, args = server_queue._loop.timers[-1]
    assert at - server_queue._loop.now == pytest.approx(0.4) and not told
    callback(*args)
    assert told == ["overdue"]
    server_queue.upstream.sent[0].reply()
    before = len(server_queue._loop.timers)
    server_queue.submit(job(server_queue, "kind", 5))
    assert len(server_queue._loop.timers) == before


def _calls(server_queue, status, count, took=0.1):
    for _ in range(count):
        server_queue.submit(job(server_queue, "a call", 9))
        server_queue._loop.now += took
        server_queue.upstream.sent[0].reply(status)


def test_a_server_that_fails_part_of_its_calls_is_known_by_them_and_it_fades(server_queue):
    _calls(server_queue, 200, 20)
    assert server_queue.failure_rate() == 0.0
    for _ in range(30):
        _calls(server_queue, 500, 1)
        _calls(server_queue, 200, 1)
    bad = server_queue.failure_rate()
    assert 0.3 < bad < 0.7
    server_queue._loop.now += 30.0
    assert server_queue.failure_rate() < bad / 500, "who gets no calls for it can't show that it is well"
    server_queue.submit(job(server_queue, "broken", 9))
    server_queue.upstream.sent[0].end(AttemptOutcome.RESET)
    assert server_queue.failure_rate() > 0.05
    server_queue.update_server("i-2", 4, 0.0, True)
    assert server_queue.failure_rate() == 0.0, "another process is another server"


def test_a_failure_that_comes_soon_makes_nobody_look_fast(server_queue):
    _calls(server_queue, 200, 30, took=0.2)
    _calls(server_queue, 500, 30, took=0.001)
    assert server_queue.pace("a call") == pytest.approx(0.2)


def test_a_pool_that_is_shut_says_so(server_queue):
    assert server_queue.takes_calls()
    server_queue.budget.steps, server_queue.budget.retry_at = 0, int((server_queue._loop.now + 1) * 1e9)
    assert not server_queue.takes_calls()
    server_queue._loop.now += 1.1
    assert server_queue.takes_calls(), "the one trial may go"
    server_queue.gone()
    assert not server_queue.takes_calls()


def test_a_call_whose_client_has_left_goes_no_more_and_the_others_keep_their_order(server_queue):
    told = []
    calls = {
        name: job(server_queue, name, due, told=told) for name, due in zip("abcd", (1, 2, 3, 4), strict=True)
    }
    for call in calls.values():
        server_queue.submit(call)
    server_queue.withdraw(calls["c"])
    server_queue.withdraw(calls["c"])
    assert told == [("c", ErrorKind.REFUSED, False)]
    for _ in range(3):
        server_queue.upstream.sent[0].reply()
    assert [name for name, error, _ in told if error is None] == ["a", "b", "d"]


def test_one_that_may_run_twice_is_broken_off_and_that_tells_nothing_of_the_server(server_queue):
    told = []
    first, second = job(server_queue, "a", 1, told=told), job(server_queue, "b", 2, told=told)
    first.repeatable = True
    for call in (first, second):
        server_queue.submit(call)
    k = server_queue.budget.steps
    server_queue.withdraw(first)
    assert told == [("a", ErrorKind.BROKEN, True)] and names(server_queue) == ["b"]
    assert (
        server_queue.failure_rate() == 0.0 and server_queue.budget.steps == k and server_queue.in_flight == 1
    )


def test_one_that_may_not_runs_on(server_queue):
    told = []
    call = job(server_queue, "a", 1, told=told)
    server_queue.submit(call)
    server_queue.withdraw(call)
    assert told == [] and names(server_queue) == ["a"]
    server_queue.upstream.sent[0].reply()
    assert told == [("a", None, True)]


def test_a_trial_that_is_broken_off_leaves_room_for_the_next(server_queue):
    server_queue.budget.max_steps = 3
    running, trial = job(server_queue, "a", 1), job(server_queue, "b", 2)
    trial.repeatable = True
    for call in (running, trial):
        server_queue.submit(call)
    assert trial.trial and server_queue.budget.trial_in_flight
    server_queue.withdraw(trial)
    assert not server_queue.budget.trial_in_flight
    server_queue.submit(job(server_queue, "c", 3))
    assert names(server_queue) == ["a", "c"]


def ranked(server_queue, name, due, rank, told):
    made = job(server_queue, name, due, told=told)
    made.priority = rank
    return made


def test_a_more_urgent_call_takes_the_place_of_a_less_urgent_one(server_queue):
    told = []
    server_queue.submit(job(server_queue, "running", 9))
    server_queue.mean_service_s = 1.0
    for at in range(3):
        server_queue.submit(ranked(server_queue, f"low {at}", 3.5 + at / 10, 2, told))
    assert not told and len(server_queue.queued) == 3
    server_queue.submit(ranked(server_queue, "equal", 3.8, 2, told))
    assert told.pop() == ("equal", ErrorKind.FULL, False), "among equals who is there stays"
    server_queue.submit(ranked(server_queue, "urgent", 3.8, 1, told))
    assert told == [("low 2", ErrorKind.FULL, False)], "the one that is due last, and no more than it takes"
    server_queue.submit(ranked(server_queue, "hopeless", 0.5, 0, told))
    assert [name for name, *_ in told] == ["low 2", "hopeless"], (
        "nobody goes for one that is late all the same"
    )
    server_queue.upstream.sent[0].reply()
    assert names(server_queue) == ["low 0"], "the order is by when a start is due, as before"


def test_a_light_call_is_not_displaced(server_queue):
    told = []
    server_queue.submit(job(server_queue, "running", 9))
    server_queue._means = {"light": (0.01, 5), "heavy": (1.0, 5)}
    server_queue.mean_service_s = 1.0
    for _ in range(3):
        made = ranked(server_queue, "light", 3.5, 2, told)
        server_queue.submit(made)
    server_queue.submit(ranked(server_queue, "urgent", 1.5, 0, told))
    assert told == [("urgent", ErrorKind.FULL, False)]
