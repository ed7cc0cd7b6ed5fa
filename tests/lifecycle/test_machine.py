"""The table of states: a model-based walk, and the rows that clients depend on."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hollyport.lifecycle.machine import EMPTY_AFTER_S, STAY_S, Event, Machine, State


class Life(RuleBasedStateMachine):
    """Plays events in any order beside a model that keeps only what was asked for last."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.machine = Machine(self.now)
        self.away = self.listed = self.ended = self.lost = False

    @rule(seconds=st.floats(0.0, 5.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def list_known(self) -> None:
        self.machine.on(Event.LIST_KNOWN, self.now)
        self.listed = True

    @rule()
    def evacuate(self) -> None:
        self.machine.on(Event.EVACUATE, self.now)
        self.away = True

    @rule()
    def rejoin(self) -> None:
        self.machine.on(Event.REJOIN, self.now)
        self.away = False

    @rule()
    def empty(self) -> None:
        self.machine.on(Event.EMPTY, self.now)

    @rule(which=st.sampled_from([Event.TERM, Event.TERM_AGAIN]))
    def term(self, which: Event) -> None:
        self.machine.on(which, self.now)
        self.ended = True

    @rule()
    def listener_lost(self) -> None:
        self.machine.on(Event.LISTENER_LOST, self.now)
        self.ended = self.lost = True

    @invariant()
    def yes_only_in_service(self) -> None:
        effects = self.machine.effects(self.now)
        assert effects.ready == (self.listed and not self.away and not self.ended)

    @invariant()
    def an_end_is_for_good(self) -> None:
        assert self.machine.ending == self.ended
        if self.ended:
            effects = self.machine.effects(self.now)
            assert effects.closing and not effects.ready

    @invariant()
    def idle_connections_are_kept_in_service_and_closed_in_the_end(self) -> None:
        effects, age = self.machine.effects(self.now), self.now - self.machine.since
        assert effects.emptying <= effects.closing
        if effects.closing and age >= max(EMPTY_AFTER_S, STAY_S):
            assert effects.emptying

    @precondition(lambda self: not self.ended)
    @invariant()
    def new_connections_are_taken_while_it_lives(self) -> None:
        assert self.machine.effects(self.now).accepting


TestLife = Life.TestCase


def test_evacuating_twice_does_not_begin_anew():
    machine = Machine(0.0)
    machine.on(Event.LIST_KNOWN, 0.0)
    assert machine.on(Event.EVACUATE, 1.0) and not machine.on(Event.EVACUATE, 1.4)
    assert machine.effects(1.01 + EMPTY_AFTER_S).emptying


def test_a_shared_socket_is_left_alone_until_ready_and_from_the_signal_on():
    machine = Machine(0.0, shared=True)
    assert not machine.effects(0.1).accepting
    machine.on(Event.LIST_KNOWN, 0.2)
    assert machine.effects(0.2).accepting
    machine.on(Event.TERM, 1.0)
    assert machine.state is State.HANDING_OVER and not machine.effects(1.0).accepting
    assert not machine.effects(1.0).emptying and machine.effects(1.01 + STAY_S).emptying


def test_an_own_socket_goes_on_for_as_long_as_connections_come():
    machine = Machine(0.0)
    machine.on(Event.TERM, 1.0)
    assert machine.effects(1.0 + STAY_S / 2).accepting and not machine.effects(1.01 + STAY_S).accepting


def test_a_second_signal_waits_for_nothing_but_answers():
    machine = Machine(0.0)
    machine.on(Event.TERM, 1.0)
    machine.on(Event.TERM_AGAIN, 1.1)
    effects = machine.effects(1.1)
    assert effects.hurried and effects.emptying and not effects.accepting


def test_a_rejoin_before_any_list_is_no_yes():
    machine = Machine(0.0)
    machine.on(Event.EVACUATE, 0.0)
    machine.on(Event.REJOIN, 1.0)
    assert machine.state is State.STARTING
    machine.on(Event.LIST_KNOWN, 2.0)
    assert machine.state is State.READY
