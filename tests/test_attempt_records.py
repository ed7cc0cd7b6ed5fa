"""Attempts in flight are recorded per server and in total; handling a response does not scan them all."""

from __future__ import annotations

import pytest
from build import MS, attempt_finished, balancer, of_type, request_arrived
from hypothesis import given
from hypothesis import strategies as st

from dunefield import AttemptOutcome, SendAttempt
from dunefield.retries import Retries


class NotIterable(dict):
    """A dict that raises when it is iterated."""

    def __iter__(self):
        raise AssertionError("iterated over the attempts of every server")

    items = values = keys = __iter__


def test_a_response_does_not_iterate_over_the_attempts_of_other_servers():
    """Each response used to scan all attempts, so its cost rose with the calls in flight; at 1,200 requests a
    second the delay put more calls in flight, and a daemon limited to part of a core did not recover."""
    module = balancer(40)
    module.state.attempts = NotIterable()
    sent = []
    for number in range(60):
        sent += of_type(module.handle(number * MS, request_arrived(f"c{number}")), SendAttempt)
    assert len(sent) > 40
    for number, send in enumerate(sent):
        module.handle((100 + number) * MS, attempt_finished(send))
    assert not len(module.state.attempts)


def test_the_check_fails_if_all_attempts_are_iterated_over(monkeypatch):
    def cancel_overtaken(self, now, answered):
        for entry in self._state.attempts.items():
            assert entry

    monkeypatch.setattr(Retries, "cancel_overtaken", cancel_overtaken)
    with pytest.raises(AssertionError, match="iterated over the attempts"):
        test_a_response_does_not_iterate_over_the_attempts_of_other_servers()


OUTCOMES = st.sampled_from(
    [AttemptOutcome.OK, AttemptOutcome.ERROR, AttemptOutcome.RESET, AttemptOutcome.TIMEOUT]
)


@given(steps=st.lists(st.tuples(st.integers(0, 6), OUTCOMES), max_size=80))
def test_per_server_and_total_attempts_agree_after_any_history(steps):
    module = balancer(5)
    in_flight = []
    for number, (turn, outcome) in enumerate(steps):
        now = number * 7 * MS
        if turn < 4 or not in_flight:
            actions = module.handle(now, request_arrived(f"c{number}", number % 3))
        else:
            send, attempt = in_flight.pop(turn % len(in_flight))
            actions = module.handle(now, attempt_finished(send, outcome, attempt=attempt))
        for send in of_type(actions, SendAttempt):
            in_flight.append((send, module.state.calls[send.request_id].attempts - 1))
        recorded = {
            key: entry
            for server in module.state.servers.values()
            for key, entry in server.open_attempts.items()
        }
        assert recorded == module.state.attempts
        assert all(len(s.open_attempts) == s.in_flight for s in module.state.servers.values())
        for server in module.state.servers.values():
            times = [entry.sent_at for entry in server.open_attempts.values()]
            assert times == sorted(times)
