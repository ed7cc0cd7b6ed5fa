"""Decides which clients are read from when they fill the memory together. No I/O.

Requests are small (a head, and a body of up to one block), medium or large, by what has come of them. Below
`free_limit` all are read. Beyond it a large body goes on only with a grant, for which all that it may still
need has to fit below `large_limit`: so whoever has a grant can finish, and two bodies never wait for each
other. Medium bodies go on up to `medium_limit`, small requests as long as there is any memory: each kind
leaves room to the smaller ones. The others are paused, and the kernel's window holds their senders; those
that need least go on first. While any waits, bodies that have stopped are refused, and so is who has waited
for too long. Where even small requests don't fit, the clients whose request, or whose reading of answers, has
stood still for longest go.

All that is refused here is an incomplete request, which no server has begun to get. Times are seconds, sizes
bytes.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from mesh.figures import LabelledCounter
from mesh.transport.memory_account import MemoryAccount

MEDIUM_BODY_BYTES = 1 << 20  # a larger body is a large one
LARGE_SHARE = 0.875  # of the memory, that large bodies may take
MEDIUM_SHARE = 0.9375
MIN_FREE_SHARE = 0.25  # of what large bodies may take, that is read freely whatever the greatest body is
STALL_TIMEOUT_S = 3.0  # without a byte of a body, while other bodies wait
MAX_GRANT_WAIT_S = 2.0  # without any grant, after which those that wait make room for one of them
MIN_STALL_S = 0.25  # a client that sent something since isn't stopped for want of room
MIN_BODY_RATE = 48_000.0  # bytes a second, while other bodies wait
MAX_PAUSE_S = 10.0  # for which a request is paused in all
REQUEST_TIMEOUT, NO_ROOM = 408, 503  # statuses of a refusal
PAUSED, REFUSED, STALLED, UNREAD = ("paused",), ("refused",), ("stalled",), ("unread",)


class Reader(Protocol):
    """A client's connection."""

    def resume(self) -> None:
        """Reads on after a pause."""

    def refuse(self, status: int) -> None:
        """Answers the incomplete request with a status and gives back what it holds."""

    def unsent_bytes(self) -> int:
        """Returns how much of its answers the client has not taken."""

    def drop(self) -> None:
        """Closes the connection of a client that doesn't take its answers."""


class ClosedReader:
    """Stands in for a connection that has ended."""

    def resume(self) -> None:
        """Does nothing."""

    def refuse(self, status: int) -> None:
        """Does nothing."""

    def unsent_bytes(self) -> int:
        """Returns 0."""
        return 0

    def drop(self) -> None:
        """Does nothing."""


CLOSED_READER = ClosedReader()


@dataclass(slots=True, eq=False)
class ReadState:
    """What one client's connection has under way: an incomplete request, or answers that it doesn't take."""

    reader: Reader
    progress_at: float = 0.0  # when the client has sent, or taken, something last
    is_reading: bool = False  # whether a request is incomplete
    is_body: bool = False  # whether it is beyond the size of a small one
    received: int = 0  # bytes of the body
    remaining: int = 0  # bytes that may follow at most
    is_announced: bool = False  # whether `remaining` is the client's own word
    began_at: float = 0.0  # when the request began, later by the time for which it was paused
    paused_at: float | None = None
    paused_s: float = 0.0  # in earlier pauses of this request
    granted_at: float | None = None
    granted_received: int = 0  # what had been received then
    promised: int = 0  # what its grant leaves room for
    unsent: int = 0  # bytes of answers

    def pause_s(self, now: float) -> float:
        """Returns how long the current pause, if there is one, has taken."""
        return now - self.paused_at if self.paused_at is not None else 0.0

    def pauses_s(self, now: float) -> float:
        """Returns for how long the request has been paused in all."""
        return self.paused_s + self.pause_s(now)


class ReadPolicy:
    """The clients of one process that have something under way."""

    def __init__(self, account: MemoryAccount, largest_body: int) -> None:
        """`largest_body`: the greatest size that a body may have."""
        self._account, self.largest_body = account, largest_body
        self._active: dict[ReadState, None] = {}  # in order of progress, the oldest first
        self._waiting: dict[ReadState, None] = {}  # paused
        self._granted: dict[ReadState, None] = {}
        self._promised = 0  # of all grants together
        self._no_grant_since = 0.0
        self.outcomes = LabelledCounter(
            "mesh_clients_stopped", "Clients that were paused, refused or closed for memory.", ("reason",)
        )

    # --- limits

    @property
    def large_limit(self) -> int:
        """What may be held while large bodies are read with a grant."""
        return int(self._account.capacity * LARGE_SHARE)

    @property
    def medium_limit(self) -> int:
        """What may be held while medium bodies are read."""
        return int(self._account.capacity * MEDIUM_SHARE)

    @property
    def free_limit(self) -> int:
        """What may be held while large bodies are read without a grant."""
        limit = self.large_limit
        return max(limit - self.largest_body, int(limit * MIN_FREE_SHARE))

    @property
    def is_calm(self) -> bool:
        """Whether clients are read from without grants."""
        return not self._waiting and self._account.held <= self.free_limit

    @property
    def waiting(self) -> int:
        """The number of clients that are paused."""
        return len(self._waiting)

    def __len__(self) -> int:
        return len(self._active)

    # --- events of connections

    def on_read(self, now: float, state: ReadState) -> bool:
        """Handles more of an incomplete request, whose memory is charged; returns whether to read on.

        If not, the client is paused, or has been refused.
        """
        if not state.is_reading:
            state.is_reading, state.began_at = True, now
        self._on_progress(now, state)
        if state in self._granted:
            self._promise(state, state.remaining)
        is_too_large = state.is_announced and state.received + state.remaining > self.large_limit
        if is_too_large or not self.make_room(now, state):
            self._refuse(state, NO_ROOM, REFUSED)
            return False
        return not state.is_body or self._may_read_on(now, state)

    def on_overdrawn(self, now: float, state: ReadState) -> None:
        """Handles bytes of a client, not parsed yet, that go beyond the memory; drops them if need be."""
        if not self.make_room(now, state):
            self._refuse(state, NO_ROOM, REFUSED)

    def on_request_ended(self, state: ReadState) -> None:
        """Handles the end of reading a request: it is complete, refused, or its client has left."""
        self._forget_reading(state)
        if not state.unsent:
            self._active.pop(state, None)

    def on_unsent(self, now: float, state: ReadState, size: int) -> None:
        """Handles a change of how much of its answers a client has not taken."""
        self._on_progress(now, state)
        state.unsent = size
        if not size and not state.is_reading:
            self._active.pop(state, None)
        self.make_room(now, state)

    def on_closed(self, state: ReadState) -> None:
        """Handles the end of a connection, which is not referred to any more."""
        state.unsent = 0
        self.on_request_ended(state)
        state.reader = CLOSED_READER

    def _on_progress(self, now: float, state: ReadState) -> None:
        state.progress_at = now
        self._active.pop(state, None)
        self._active[state] = None

    def _forget_reading(self, state: ReadState) -> None:
        self._waiting.pop(state, None)
        self._end_grant(state)
        state.paused_at = state.granted_at = None
        state.is_reading = state.is_body = False
        state.received = state.remaining = 0
        state.paused_s = 0.0

    def has_room(self, size: int) -> bool:
        """Returns whether a body of this size, whose sender has all of it, can be held."""
        limit = self.medium_limit if size <= MEDIUM_BODY_BYTES else self.large_limit
        return self._account.held + size <= limit

    # --- medium and large bodies

    def _may_read_on(self, now: float, state: ReadState) -> bool:
        held = self._account.held
        if held <= self.free_limit or (state in self._granted and held <= self.large_limit):
            return True
        if self._fits_as_medium(state):
            return True
        self._end_grant(state)
        if held + self._promised > self._account.capacity:
            self._refuse(state, NO_ROOM, REFUSED)
            return False
        if not self._waiting:
            self._no_grant_since = now
        state.paused_at = now
        self._waiting[state] = None
        self._grant(now)
        if state.paused_at is None:
            return True
        self.outcomes.add(PAUSED)
        return False

    def _fits_as_medium(self, state: ReadState) -> bool:
        is_medium = state.received <= MEDIUM_BODY_BYTES
        return is_medium and self._account.held + self._promised <= self.medium_limit

    def _promise(self, state: ReadState, size: int) -> None:
        self._promised += size - state.promised
        state.promised = size

    def _end_grant(self, state: ReadState) -> None:
        self._promise(state, 0)
        self._granted.pop(state, None)

    def _grant(self, now: float) -> None:
        """Has clients read on that may, those that need least first."""
        for state in sorted(self._waiting, key=lambda state: state.remaining):
            if self._account.held > self.free_limit and not self._fits_as_medium(state):
                if not self._can_finish(state):
                    continue
                self._granted[state] = None
                self._promise(state, state.remaining)
                state.granted_at, state.granted_received = now, state.received
            del self._waiting[state]
            state.began_at += state.pause_s(now)
            state.paused_s = state.pauses_s(now)
            state.paused_at = None
            self._on_progress(now, state)
            state.reader.resume()

    def _can_finish(self, state: ReadState) -> bool:
        return self._account.held + self._promised + state.remaining <= self.large_limit

    def _make_grant_possible(self, now: float) -> None:
        """Refuses the large bodies that wait and hold most, until one of the others can finish."""
        large = [state for state in self._waiting if state.received > MEDIUM_BODY_BYTES]
        waiting = sorted(large, key=lambda state: state.remaining)
        if self._granted or not waiting or now - self._no_grant_since < MAX_GRANT_WAIT_S:
            return
        first, *others = waiting
        room = self.large_limit - self._account.held - first.remaining
        if room + sum(state.received for state in others) < 0:
            return
        for state in sorted(others, key=lambda state: state.received, reverse=True):
            if self._can_finish(first):
                return
            self._refuse(state, NO_ROOM, REFUSED)

    def tick(self, now: float) -> bool:
        """Refuses clients that keep others waiting, and grants; returns whether any still waits."""
        if not self._waiting:
            self._no_grant_since = now
            return False
        for state in list(self._active):
            if state.is_body and state.paused_at is None and self._keeps_waiting(now, state):
                self._refuse(state, REQUEST_TIMEOUT, STALLED)
        for state in list(self._waiting):
            if state.pauses_s(now) >= MAX_PAUSE_S:
                self._refuse(state, NO_ROOM, REFUSED)
        self._grant(now)
        if self._granted or not self._waiting:
            self._no_grant_since = now
        self._make_grant_possible(now)
        return bool(self._waiting)

    def _keeps_waiting(self, now: float, state: ReadState) -> bool:
        """Returns whether a body has stopped, or comes too slowly, if only as it takes long to parse."""
        if now - state.progress_at >= STALL_TIMEOUT_S or _is_slow(now - state.began_at, state.received):
            return True
        if state.granted_at is None:
            return False
        return _is_slow(now - state.granted_at, state.received - state.granted_received)

    # --- when memory is short even for small requests

    def make_room(self, now: float, requester: ReadState | None = None) -> bool:
        """Returns whether what is held fits, after stopping the clients that stood still for longest."""
        account = self._account
        if not account.is_overdrawn:
            return True
        for state in list(self._active):
            if now - state.progress_at < MIN_STALL_S:
                break
            if state is not requester and state.paused_at is None:
                self._stop(now, state)
            if not account.is_overdrawn:
                return True
        for state in list(self._waiting):
            self._refuse(state, NO_ROOM, REFUSED)
            if not account.is_overdrawn:
                return True
        return False

    def _stop(self, now: float, state: ReadState) -> None:
        if not state.unsent:
            self._refuse(state, REQUEST_TIMEOUT, STALLED)
            return
        unsent = state.reader.unsent_bytes()
        if unsent < state.unsent:
            self._on_progress(now, state)
            state.unsent = unsent
            return
        self.outcomes.add(UNREAD)
        reader = state.reader
        self.on_closed(state)
        reader.drop()

    def _refuse(self, state: ReadState, status: int, reason: tuple[str]) -> None:
        self.outcomes.add(reason)
        self.on_request_ended(state)
        state.reader.refuse(status)


def _is_slow(took_s: float, size: int) -> bool:
    return took_s >= STALL_TIMEOUT_S and size < MIN_BODY_RATE * took_s
