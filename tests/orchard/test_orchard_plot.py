"""A pool beside a server: who goes first, who is given back at once, and what outcomes teach. No sockets."""

import asyncio

import pytest

from dunefield.interface import How
from hollyport.http.back import Reply
from orchard.faults import Fault
from orchard.plot import Job, Plot
from orchard.settings import Address

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

    def reply(self, status=200, headers=(SEAL,)):
        self.wire.sent.remove(self)
        self.ended(How.OK, Reply(status, list(headers), b"body"))

    def end(self, how, touched=True):
        self.touched = touched
        self.wire.sent.remove(self)
        self.ended(how, None)


@pytest.fixture
def plot():
    loop = Clock()
    made = Plot(loop, Address("127.0.0.1", 9), 64)
    made.upstream = Wire()
    made.life("i-1", 4, 0.0, True)
    made.budget.k = 1
    made.budget.most = 1
    yield made
    loop.close()


def job(plot, name, due, last=None, deadline=10.0, told=None):
    now = plot._loop.now
    found = told if told is not None else []
    return Job(lambda left, instance: b"", name.encode(), now + deadline, now + due, now + (last or due),
               lambda fault, arrived, reply: found.append((name, fault, arrived)), name)  # fmt: skip


def names(plot):
    return [sent.expect[1].decode() for sent in plot.upstream.sent]


def test_who_is_due_first_goes_first_and_equals_go_in_order(plot):
    plot.mean = 0.001
    for name, due in (("running", 1), ("slow", 5), ("call", 0.5), ("second", 5), ("third", 5)):
        plot.submit(job(plot, name, due))
    seen = names(plot)
    while plot.upstream.sent:
        plot.upstream.sent[0].reply()
        seen += names(plot)
    assert seen == ["running", "call", "slow", "second", "third"]


def test_what_cannot_be_in_time_steps_back_behind_all_that_can(plot):
    plot.mean = 0.001
    plot.submit(job(plot, "running", 1))
    plot.submit(job(plot, "late", 0.1, last=5))
    plot._loop.now += 0.2
    plot.submit(job(plot, "fresh", 1))
    plot.upstream.sent[0].reply()
    assert names(plot) == ["fresh"]
    plot.upstream.sent[0].reply()
    assert names(plot) == ["late"]


def test_what_waits_past_its_last_start_is_given_back_unsent(plot):
    told = []
    plot.mean = 0.001
    plot.submit(job(plot, "running", 1))
    plot.submit(job(plot, "late", 0.1, last=0.3, told=told))
    plot._loop.now += 0.31
    plot._look()
    assert told == [("late", Fault.FULL, False)] and names(plot) == ["running"]


def test_who_would_wait_too_long_is_given_back_at_once(plot):
    told = []
    plot.submit(job(plot, "running", 1))
    plot.mean = 1.0
    plot.submit(job(plot, "hopeless", 0.2, told=told))
    assert told == [("hopeless", Fault.FULL, False)]


def test_from_the_word_that_it_drains_on_nothing_goes_and_what_waits_is_given_back(plot):
    told = []
    plot.mean = 0.001
    plot.submit(job(plot, "running", 1, told=told))
    plot.submit(job(plot, "waiting", 1, told=told))
    plot.life("i-1", 4, 0.0, False)
    assert told == [("waiting", Fault.LEAVING, False)]
    plot.submit(job(plot, "later", 1, told=told))
    assert told[-1] == ("later", Fault.LEAVING, False) and names(plot) == ["running"]
    plot.upstream.sent[0].reply()
    assert told[-1] == ("running", None, True)


@pytest.mark.parametrize(("how", "touched", "fault", "arrived"), [
    (How.RESET, True, Fault.BROKEN, True), (How.TIMEOUT, True, Fault.LATE, True),
    (How.CANCELLED, True, Fault.BROKEN, True), (How.CONNECT_FAILED, False, Fault.FULL, False),
    (How.MOOT, False, Fault.FULL, False), (How.CONNECT_FAILED, True, Fault.BROKEN, True),
])
def test_only_what_was_never_written_is_promised_not_to_have_run(plot, how, touched, fault, arrived):
    told = []
    plot.submit(job(plot, "a", 1, told=told))
    plot.upstream.sent[0].end(how, touched)
    assert told == [("a", fault, arrived)]


def test_a_server_that_says_it_did_not_run_it_is_believed_and_its_figure_falls(plot):
    told = []
    plot.budget.most = 4
    plot.submit(job(plot, "a", 1, told=told))
    figure = plot.budget.figure
    plot.upstream.sent[0].reply(503, [(b"x-not-run", b"1")])
    assert told == [("a", Fault.FULL, True)] and plot.budget.figure < figure


def test_another_server_at_the_address_ends_that_life_and_says_who_it_is(plot):
    told, found = [], []
    plot.replaced = found.append
    plot.submit(job(plot, "a", 1, told=told))
    plot.upstream.sent[0].reply(421, [(b"x-instance-id", b"i-2")])
    assert told == [("a", Fault.LEAVING, True)] and found == ["i-2"]
    assert plot.instance == "" and "i-1" in plot.over


def test_resets_lower_k_to_zero_and_one_trial_brings_it_back(plot):
    told = []
    plot.submit(job(plot, "a", 1, told=told))
    plot.upstream.sent[0].end(How.RESET)
    assert plot.budget.k == 0
    plot.submit(job(plot, "b", 1, told=told))
    assert told[-1] == ("b", Fault.FULL, False)
    plot._loop.now += 1.0
    plot.submit(job(plot, "c", 1, told=told))
    assert names(plot) == ["c"] and plot.budget.trial
    plot.submit(job(plot, "d", 1, told=told))
    assert told[-1] == ("d", Fault.FULL, False)
    plot.upstream.sent[0].reply()
    assert plot.budget.k == 1 and not plot.budget.trial


def test_a_warm_server_begins_at_half_of_its_slots_and_a_cold_one_at_one(plot):
    plot.life("i-2", 8, 0.0, True)
    assert plot.budget.k == 4 and plot.instance == "i-2" and "i-1" in plot.over
    plot.life("i-3", 8, 2.0, True)
    assert plot.budget.k == 1


def answered(plot, kind, took, times=3):
    """A few calls of a kind, alone."""
    for _ in range(times):
        plot.submit(job(plot, kind, 5))
        plot._loop.now += took
        plot.upstream.sent[0].reply()


def test_light_calls_go_first_and_stay_until_just_before_their_deadline(plot):
    answered(plot, "heavy", 0.2)
    answered(plot, "call", 0.01)
    told = []
    plot.submit(job(plot, "running", 5))
    plot.submit(job(plot, "heavy", 1, told=told))
    plot.submit(job(plot, "call", 0.01, deadline=0.5, told=told))
    plot._loop.now += 0.4
    plot._look()
    assert not told, "late by its due time, and kept all the same"
    plot.upstream.sent[0].reply()
    assert names(plot) == ["call"]


def test_a_call_that_takes_unusually_long_is_told_once_and_only_where_asked_for(plot):
    answered(plot, "kind", 0.1)
    told = []
    one = job(plot, "kind", 5)
    one.overdue = lambda: told.append("overdue")
    plot.submit(one)
    at, callback, args = plot._loop.timers[-1]
    assert at - plot._loop.now == pytest.approx(0.4) and not told
    callback(*args)
    assert told == ["overdue"]
    plot.upstream.sent[0].reply()
    before = len(plot._loop.timers)
    plot.submit(job(plot, "kind", 5))
    assert len(plot._loop.timers) == before


def _calls(plot, status, count, took=0.1):
    for _ in range(count):
        plot.submit(job(plot, "a call", 9))
        plot._loop.now += took
        plot.upstream.sent[0].reply(status)


def test_a_server_that_fails_part_of_its_calls_is_known_by_them_and_it_fades(plot):
    _calls(plot, 200, 20)
    assert plot.ill() == 0.0
    for _ in range(30):
        _calls(plot, 500, 1)
        _calls(plot, 200, 1)
    bad = plot.ill()
    assert 0.3 < bad < 0.7
    plot._loop.now += 30.0
    assert plot.ill() < bad / 500, "who gets no calls for it can't show that it is well"
    plot.submit(job(plot, "broken", 9))
    plot.upstream.sent[0].end(How.RESET)
    assert plot.ill() > 0.05
    plot.life("i-2", 4, 0.0, True)
    assert plot.ill() == 0.0, "another process is another server"


def test_a_failure_that_comes_soon_makes_nobody_look_fast(plot):
    _calls(plot, 200, 30, took=0.2)
    _calls(plot, 500, 30, took=0.001)
    assert plot.pace("a call") == pytest.approx(0.2)


def test_a_pool_that_is_shut_says_so(plot):
    assert plot.takes_calls()
    plot.budget.k, plot.budget.retry_at = 0, int((plot._loop.now + 1) * 1e9)
    assert not plot.takes_calls()
    plot._loop.now += 1.1
    assert plot.takes_calls(), "the one trial may go"
    plot.gone()
    assert not plot.takes_calls()
