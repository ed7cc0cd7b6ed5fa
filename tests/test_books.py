"""The balancer's books of attempts: by server and all together the same, and what an answer costs."""

from __future__ import annotations

import pytest
from build import MS, accept, balancer, only, outcome
from hypothesis import given
from hypothesis import strategies as st

from dunefield import AttemptOutcome, SendAttempt
from dunefield.retries import Retries


class Unwalked(dict):
    """Takes, finds and gives back entries; whoever walks through all of them fails."""

    def __iter__(self):
        raise AssertionError("walked through the attempts of every server")

    items = values = keys = __iter__


def test_an_answer_does_not_walk_through_what_other_servers_hold():
    """Found: at 1,200 requests a second each answer looked at all attempts, so the cost of one rose with the
    calls in flight, late answers put more in flight, and a daemon at its part of a core did not recover."""
    module = balancer(40)
    module.book.attempts = Unwalked()
    sent = []
    for number in range(60):
        sent += only(module.handle(number * MS, accept(f"c{number}")), SendAttempt)
    assert len(sent) > 40
    for number, send in enumerate(sent):
        module.handle((100 + number) * MS, outcome(send))
    assert not len(module.book.attempts)


def test_the_check_fails_where_all_are_walked_through(monkeypatch):
    def overtake(self, now, answered):
        for entry in self._book.attempts.items():
            assert entry

    monkeypatch.setattr(Retries, "overtake", overtake)
    with pytest.raises(AssertionError, match="walked"):
        test_an_answer_does_not_walk_through_what_other_servers_hold()


ENDS = st.sampled_from(
    [AttemptOutcome.OK, AttemptOutcome.ERROR, AttemptOutcome.RESET, AttemptOutcome.TIMEOUT]
)


@given(steps=st.lists(st.tuples(st.integers(0, 6), ENDS), max_size=80))
def test_both_books_hold_the_same_whatever_comes(steps):
    module = balancer(5)
    out = []
    for number, (turn, how) in enumerate(steps):
        now = number * 7 * MS
        if turn < 4 or not out:
            actions = module.handle(now, accept(f"c{number}", number % 3))
        else:
            send, attempt = out.pop(turn % len(out))
            actions = module.handle(now, outcome(send, how, attempt=attempt))
        for send in only(actions, SendAttempt):
            out.append((send, module.book.calls[send.request_id].attempts - 1))
        books = {key: entry for server in module.book.servers.values() for key, entry in server.out.items()}
        assert books == module.book.attempts
        assert all(len(s.out) == s.inflight for s in module.book.servers.values())
        for server in module.book.servers.values():
            times = [entry.sent for entry in server.out.values()]
            assert times == sorted(times)
