"""What answers of voters make a lease, and when they are asked. No sockets, no waits."""

from __future__ import annotations

from types import SimpleNamespace

import cbor2
import pytest

from mesh.proxy.range_leases import FIRST_RETRY_DELAY_S, LeaseQuestions, RangeLeases
from mesh.state.key_leases import LeaseBook
from mesh.state.quorum import Voters
from mesh.state.shards import FencedRange, KeyRange, Owner
from mesh.transport.messages import LeaseAnswer, decode

LEASE_S = 5.0
LEASE_MS = 5000
VOTERS = Voters(3, ("c1", "c2", "c3"))
LOW, HIGH = FencedRange(KeyRange(0, 99), 7), FencedRange(KeyRange(100, 199), 8)
BOTH = (True, True)
LENGTH_BYTES = 4


@pytest.fixture
def questions():
    made = LeaseQuestions(LeaseBook())
    made.ask(100.0, 1, VOTERS, (LOW, HIGH), LEASE_S)
    return made


def lease_ends(questions, held):
    return questions._book.ends_at(0.0, held)


def test_a_majority_makes_a_lease_that_counts_from_when_the_question_was_sent(questions):
    assert not questions.on_answer("c1", VOTERS, LeaseAnswer(1, 3, BOTH))
    assert lease_ends(questions, LOW) == 0.0
    assert questions.on_answer("c2", VOTERS, LeaseAnswer(1, 3, BOTH))
    assert lease_ends(questions, LOW) == lease_ends(questions, HIGH) == 100.0 + LEASE_S


def test_one_voter_counts_once(questions):
    for _ in range(3):
        assert not questions.on_answer("c1", VOTERS, LeaseAnswer(1, 3, BOTH))


def test_confirmations_of_different_questions_are_not_added_up(questions):
    questions.ask(101.0, 2, VOTERS, (LOW, HIGH), LEASE_S)
    questions.on_answer("c1", VOTERS, LeaseAnswer(1, 3, BOTH))
    assert not questions.on_answer("c2", VOTERS, LeaseAnswer(2, 3, BOTH))


def test_each_range_needs_its_own_majority(questions):
    questions.on_answer("c1", VOTERS, LeaseAnswer(1, 3, (True, False)))
    assert questions.on_answer("c2", VOTERS, LeaseAnswer(1, 3, BOTH))
    assert lease_ends(questions, LOW) and not lease_ends(questions, HIGH)
    assert questions.refused == 1


@pytest.mark.parametrize(
    ("voter", "voters", "answer"),
    [
        ("c9", VOTERS, LeaseAnswer(1, 3, BOTH)),  # no voter
        ("c2", VOTERS, LeaseAnswer(1, 2, BOTH)),  # of another epoch
        ("c2", Voters(4, VOTERS.names), LeaseAnswer(1, 3, BOTH)),  # of an epoch that is over
        ("c2", Voters(4, VOTERS.names), LeaseAnswer(1, 4, BOTH)),  # to a question of an epoch that is over
        ("c2", VOTERS, LeaseAnswer(1, 3, ())),  # no voter any more, by its own account
        ("c2", VOTERS, LeaseAnswer(2, 3, BOTH)),  # to no question
    ],
)
def test_an_answer_that_does_not_count_makes_no_lease(questions, voter, voters, answer):
    questions.on_answer("c1", VOTERS, LeaseAnswer(1, 3, BOTH))
    assert not questions.on_answer(voter, voters, answer)


def test_questions_whose_leases_would_be_over_are_forgotten(questions):
    questions.ask(100.0 + LEASE_S, 2, VOTERS, (LOW,), LEASE_S)
    assert list(questions._open) == [2]


# --- asking


class FakeLoop:
    """Records timers."""

    def __init__(self):
        self.timers = []

    def call_later(self, delay_s, callback):
        self.timers.append((delay_s, callback))
        return SimpleNamespace(cancel=lambda: None)


class Voter:
    """A connection to a voter that counts the questions sent on it."""

    def __init__(self, peer):
        self.peer, self.sent = peer, 0

    def send_packed(self, packed):
        self.sent += 1
        self.question = decode(cbor2.loads(packed[LENGTH_BYTES:]))


class World:
    """The leases of a sidecar that is connected to two of three voters."""

    def __init__(self):
        self.now, self.numbers, self.leased = 100.0, iter(range(1, 99)), 0
        self.loop = FakeLoop()
        context = SimpleNamespace(
            settings=SimpleNamespace(bound=lambda name, default: 10.0, service="baskets"),
            loop=self.loop,
            node_name="n1",
            monotonic=lambda: self.now,
            next_number=lambda: next(self.numbers),
            random=lambda: 0.5,
        )
        self.voters = {name: Voter(name) for name in ("c1", "c2")}
        self.leases = RangeLeases(context, self.voters, lambda: VOTERS, self.on_leased)

    def on_leased(self):
        self.leased += 1

    def confirm(self, number, count):
        for voter in self.voters.values():
            self.leases.on_lease_answer(voter, LeaseAnswer(number, 3, (True,) * count))

    @property
    def asked(self):
        assert len({voter.sent for voter in self.voters.values()}) == 1
        return self.voters["c1"].sent


def test_new_ranges_are_asked_for_at_once_and_those_without_a_lease_again_soon():
    world = World()
    owner = Owner("n1", "i-1")
    world.leases.update(owner, [LOW], LEASE_MS)
    assert world.asked == 1
    delay_s, retry = world.loop.timers[0]
    assert delay_s == FIRST_RETRY_DELAY_S
    retry()
    assert world.asked == 2
    world.confirm(1, 1)
    assert world.leased == 1 and world.leases.book.ends_at(world.now, LOW) == world.now + LEASE_S
    world.leases.update(owner, [LOW], LEASE_MS)
    assert world.asked == 2
    world.leases.update(owner, [LOW, HIGH], LEASE_MS)
    assert world.asked == 3
    world.confirm(3, 1)
    assert world.leases.book.ends_at(world.now, HIGH) == world.now + LEASE_S


def test_the_same_ranges_are_renewed_at_intervals_until_there_are_none():
    world = World()
    world.leases.update(Owner("n1", "i-1"), [LOW], LEASE_MS)
    world.confirm(1, 1)
    delay_s, renew = world.loop.timers[-1]
    assert delay_s == world.leases.times.renewal_interval_s
    world.now += delay_s
    renew()
    assert world.asked == 2
    world.confirm(2, 1)
    assert world.leases.book.ends_at(world.now, LOW) == world.now + LEASE_S
    world.leases.update(Owner("n1", "i-1"), [], LEASE_MS)
    world.loop.timers[-1][1]()
    assert world.asked == 2


@pytest.mark.parametrize(("allowed_ms", "asked_ms"), [(3000, 3000), (LEASE_MS, LEASE_MS), (6000, LEASE_MS)])
def test_no_lease_is_asked_for_that_is_longer_than_the_table_or_the_own_bound_allows(allowed_ms, asked_ms):
    world = World()
    world.leases.update(Owner("n1", "i-1"), [LOW], allowed_ms)
    assert world.voters["c1"].question.lease_ms == asked_ms
    world.confirm(1, 1)
    assert world.leases.book.ends_at(world.now, LOW) == world.now + asked_ms / 1000
