"""The states of a sidecar's life and what each does, as a table. No I/O; time is an argument.

| state | `/-/ready` and `/api/ready` | new connections | answers | idle connections |
| --- | --- | --- | --- | --- |
| starting | no | as they come | kept | kept |
| ready | yes, where a server can be reached | as they come | kept | kept |
| evacuating | no | served | close | closed from `EMPTY_AFTER_S` on |
| evacuated | no | served | close | closed at once |
| handing over | no | left to the other process | close | closed from `STAY_S` on |
| ending | no | until `STAY_S` | close | closed from `STAY_S` on |

Staff may send clients away before there is a list, and a list may come while they are away: whether one is
known is kept beside the state, and a rejoin goes back to what the list allows.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

EMPTY_AFTER_S = 0.5  # after the first no new connections come for 0.2 s, and the front asks every 0.1 s
STAY_S = 0.45  # after SIGTERM; new connections go on coming for 0.4 s


class State(enum.Enum):
    """Where the sidecar stands."""

    STARTING = "starting"
    READY = "ready"
    EVACUATING = "evacuating"
    EVACUATED = "evacuated"
    HANDING_OVER = "handing over"
    ENDING = "ending"


class Event(enum.Enum):
    """What moves it."""

    LIST_KNOWN = "list known"
    EVACUATE = "evacuate"
    EMPTY = "no client left"
    REJOIN = "rejoin"
    TERM = "SIGTERM"
    TERM_AGAIN = "second SIGTERM"
    LISTENER_LOST = "listener lost"


class Effects(NamedTuple):
    """What a state does at one moment."""

    ready: bool
    accepting: bool
    closing: bool  # each answer ends its connection
    emptying: bool  # idle connections are closed
    hurried: bool = False  # nothing more is waited for but answers that are owed


S, E = State, Event
TABLE: dict[tuple[State, Event], State] = {
    (S.STARTING, E.LIST_KNOWN): S.READY,
    (S.STARTING, E.EVACUATE): S.EVACUATING,
    (S.READY, E.EVACUATE): S.EVACUATING,
    (S.EVACUATING, E.EMPTY): S.EVACUATED,
    (S.EVACUATING, E.REJOIN): S.READY,
    (S.EVACUATED, E.REJOIN): S.READY,
}
"""Moves of the service. Events that are in no row change nothing: evacuating twice, rejoining what serves.
The ends are the same from everywhere: `TERM` hands over where another process has the socket too, else it
ends; `LISTENER_LOST` ends."""
LAST = (S.HANDING_OVER, S.ENDING)


class Machine:
    """One life. `shared`: the listening socket is the platform's and outlives this process."""

    def __init__(self, now: float, shared: bool = False) -> None:
        self.state, self.since = State.STARTING, now
        self.shared = shared
        self.listed = False
        self.hurried = False
        self.lost = False  # the listening socket failed: the end is a failure

    def on(self, event: Event, now: float) -> bool:
        """Take an event; whether the state changed."""
        if event is Event.LIST_KNOWN:
            self.listed = True
        if event is Event.LISTENER_LOST:
            self.lost = True
        to = TABLE.get((self.state, event))
        if event is Event.REJOIN and to is not None and not self.listed:
            to = State.STARTING
        if self.state not in LAST:
            if event in (Event.TERM, Event.TERM_AGAIN):
                to = State.HANDING_OVER if self.shared else State.ENDING
            elif event is Event.LISTENER_LOST:
                to = State.ENDING
        elif event in (Event.TERM, Event.TERM_AGAIN):
            self.hurried = True
        if to is None or to is self.state:
            return False
        self.state, self.since = to, now
        return True

    @property
    def ending(self) -> bool:
        """Whether this process is to end."""
        return self.state in LAST

    def effects(self, now: float) -> Effects:
        """What the state does now."""
        age, state = now - self.since, self.state
        if state in (State.STARTING, State.READY):
            return Effects(state is State.READY, not self.shared or state is State.READY, False, False)
        if state is State.EVACUATING:
            return Effects(False, True, True, age >= EMPTY_AFTER_S)
        if state is State.EVACUATED:
            return Effects(False, True, True, True)
        stays = age < STAY_S and not self.hurried
        accepting = state is State.ENDING and stays and not self.lost
        return Effects(False, accepting, True, not stays, self.hurried)
