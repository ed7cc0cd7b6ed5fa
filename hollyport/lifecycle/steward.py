"""Carries out on the listeners what the state of a sidecar's life asks for (hollyport.lifecycle.machine)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

from hollyport.lifecycle.machine import STAY_S, Effects, Event, Machine, State

TICK_S = 0.02  # how often it is looked whether more can be closed, while there is something to close


class Doors(Protocol):
    """What a listener does for it."""

    def accept(self, on: bool) -> None:
        """Take new connections, or leave them where they are."""

    def last_requests(self, on: bool) -> None:
        """Whether each answer closes its connection."""

    def shut(self) -> None:
        """Listen no more."""

    def empty(self) -> None:
        """Close what is between requests."""

    def busy(self) -> bool:
        """Whether a connection is left that owes an answer or may hold an unread request."""


class Steward:
    """One sidecar's listeners under one machine. `changed` is told what holds after each move."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        machine: Machine,
        doors: Sequence[Doors],
        longest_s: float,
        changed: Callable[[Effects], None],
    ) -> None:
        self._loop, self.machine, self._doors, self._changed = loop, machine, doors, changed
        self._longest_s = longest_s  # by then all that was taken is answered
        self._ticking = False
        self.over: asyncio.Event = asyncio.Event()
        self._shut = False

    def event(self, event: Event) -> bool:
        """Take an event; whether the state changed."""
        moved = self.machine.on(event, self._loop.time())
        if moved or event is Event.TERM_AGAIN:
            self._apply()
        return moved

    def _apply(self) -> None:
        effects = self.machine.effects(self._loop.time())
        self._changed(effects)
        for door in self._doors:
            door.last_requests(effects.closing)
            if not self.machine.ending:
                door.accept(effects.accepting)
        self._work(effects)
        if effects.closing and not self._ticking:
            self._ticking = True
            self._loop.call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        self._ticking = False
        effects = self.machine.effects(self._loop.time())
        self._work(effects)
        if effects.closing and not self.over.is_set():
            self._ticking = True
            self._loop.call_later(TICK_S, self._tick)

    def _work(self, effects: Effects) -> None:
        if self.machine.ending and not effects.accepting and not self._shut:
            self._shut = True
            for door in self._doors:
                door.shut()
        if not effects.emptying:
            return
        for door in self._doors:
            door.empty()
        busy = any(door.busy() for door in self._doors)
        if self.machine.state is State.EVACUATING and not busy:
            self.event(Event.EMPTY)
        # All that was taken is answered by its deadline; a request that never comes in whole was not taken.
        late = self._loop.time() - self.machine.since >= STAY_S + self._longest_s
        if self.machine.ending and (not busy or late):
            self.over.set()
