"""The shard keys that one life of a stand-in server holds. No I/O; time is an argument, in seconds.

A key is held from a grant until the hold runs out or the key is let go. Work on a key that was let go may
end while the hold lasts, and the key counts as released, with a handover, once that work has ended. A hold
that has run out is not released. The highest fence that was seen of a key is kept for as long as the server
lives, and a grant with a lower one is refused. Where the protocol leaves a choice, this takes the one that is
hardest on the granting side:

- a repeated grant is taken also after its keys were released, as its fence isn't lower;
- a release is taken whatever its fence;
- a server's clock may be slow: `SLOWEST_CLOCK` stretches each hold by what that allows.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable
from typing import NamedTuple

from rehearsal.mesh.key_ranges import ALL_KEYS, KeyRange, KeyRangeMap

SLOWEST_CLOCK = 0.98  # seconds that a server's clock counts in one second, at the least


class Hold(NamedTuple):
    """How some keys are held."""

    fence: int
    since: float  # start of the time without a gap for which the keys have been held
    until: float


class GrantRow(NamedTuple):
    """Keys that a server is to hold."""

    keys: KeyRange
    fence: int
    handover: str = ""  # of their last holder, if it released them


class HoldRow(NamedTuple):
    """Keys that a server says that it holds."""

    keys: KeyRange
    fence: int


class ReleasedRow(NamedTuple):
    """Keys that a server has let go, and the token by which their next holder finds them warm."""

    keys: KeyRange
    handover: str


class Work(NamedTuple):
    """One request that runs."""

    key: int
    since: float  # as in the hold that it began under
    fence: int


class HoldEvent(NamedTuple):
    """From `at` on a server holds some keys until `until`; if that is not later, it lets them go."""

    server: str
    at: float
    keys: KeyRange
    until: float


class KeyStates:
    """Which handover brings the state of each key of one service: that of the key's last holder."""

    def __init__(self) -> None:
        self._handovers: KeyRangeMap[str] = KeyRangeMap()  # empty: the holder hasn't released the key

    def take(self, keys: KeyRange, handover: str) -> list[KeyRange]:
        """Notes a new holder; returns the keys that it holds without their state."""
        rows = self._handovers.overlapping(keys)
        self._handovers.assign(keys, "")
        return [row.keys for row in rows if not handover or row.value != handover]

    def hand_over(self, keys: KeyRange, handover: str) -> None:
        """Notes that the holder of some keys has released them."""
        self._handovers.assign(keys, handover)


class KeyHolds:
    """The keys of one life of a server. `report` is told of each change, for whoever judges the play.

    For `warm_s` keys are cold if they came without the handover of their last holder.
    """

    def __init__(
        self,
        server: str,
        new_handover: Callable[[], str],
        report: Callable[[HoldEvent], None],
        states: KeyStates,
        warm_s: float,
    ) -> None:
        self._server = server
        self._states, self._warm_s = states, warm_s
        self._cold_until: KeyRangeMap[float] = KeyRangeMap()
        self._new_handover = new_handover
        self._report = report
        self._fences: KeyRangeMap[int] = KeyRangeMap()  # highest that was seen
        self._held: KeyRangeMap[Hold] = KeyRangeMap()
        self._let_go: KeyRangeMap[Hold] = KeyRangeMap()  # work that ran on them may not have ended
        self._handovers: KeyRangeMap[str] = KeyRangeMap()  # of the latest release, until the next grant
        self._released: list[ReleasedRow] = []  # not yet told in an acknowledged heartbeat
        self._running: dict[int, Work] = {}
        self._numbers = itertools.count()

    # --- what is granted and taken back

    def grant(self, granted: GrantRow, hold_s: float, counted_from: float, now: float) -> bool:
        """Takes or renews a hold; returns False if a higher fence was seen on any of the keys."""
        keys, fence, handover = granted
        if any(row.value > fence for row in self._fences.overlapping(keys)):
            return False
        self._expire(now)
        until = counted_from + hold_s / SLOWEST_CLOCK
        lasting = [*self._held.overlapping(keys), *self._let_go.overlapping(keys)]
        self._fences.assign(keys, fence)
        self._handovers.remove(keys)
        self._let_go.remove(keys)
        self._held.assign(keys, Hold(fence, now, until))
        self._warm_up(keys, [row.keys for row in lasting], handover, now)
        for row in lasting:
            self._held.assign(row.keys, Hold(fence, row.value.since, until))
        self._report(HoldEvent(self._server, now, keys, until))
        return True

    def _warm_up(self, keys: KeyRange, kept: list[KeyRange], handover: str, now: float) -> None:
        """Notes which of the keys that come anew are cold."""
        new: KeyRangeMap[bool] = KeyRangeMap()
        new.assign(keys, True)
        for part in kept:
            new.remove(part)
        for row in new.rows():
            self._cold_until.remove(row.keys)
            for cold in self._states.take(row.keys, handover):
                self._cold_until.assign(cold, now + self._warm_s)

    def is_cold(self, key: int, now: float) -> bool:
        """Whether requests for a key are slow, as its state has yet to be loaded."""
        until = self._cold_until.get(key)
        return until is not None and now < until

    def let_go(self, keys: KeyRange, now: float) -> None:
        """Starts no more work on some keys. Work that runs on them may end; see `end_release`."""
        self._expire(now)
        for row in self._held.overlapping(keys):
            self._let_go.assign(row.keys, row.value)
        self._held.remove(keys)
        self._report(HoldEvent(self._server, now, keys, now))

    def is_working_on(self, keys: KeyRange) -> bool:
        """Whether a request runs on any of the keys."""
        return any(work.key in keys for work in self._running.values())

    def end_release(self, keys: KeyRange, now: float) -> str:
        """Ends the release of keys that were let go and that no work runs on; returns the handover.

        A repeated release gets the handover of the first one.
        """
        self._expire(now)
        known = self._handovers.overlapping(keys)
        if known and known[0].keys == keys:
            return known[0].value
        handover = self._new_handover()
        for row in self._let_go.overlapping(keys):
            self._released.append(ReleasedRow(row.keys, handover))
            self._states.hand_over(row.keys, handover)
        self._let_go.remove(keys)
        self._handovers.assign(keys, handover)
        return handover

    def replace(self, rows: Iterable[GrantRow], hold_s: float, counted_from: float, now: float) -> None:
        """Holds what an answer to a heartbeat lists, and lets go of what it leaves out.

        A row with a lower fence than was seen on one of its keys is not taken; what is held of it stays as it
        was.
        """
        left_out: KeyRangeMap[bool] = KeyRangeMap()
        left_out.assign(ALL_KEYS, True)
        for row in rows:
            left_out.remove(row.keys)
            self.grant(row, hold_s, counted_from, now)
        for gap in left_out.rows():
            for held in self._held.overlapping(gap.keys):
                self.let_go(held.keys, now)

    def end_releases(self, now: float) -> None:
        """Ends the release of all keys that were let go and that no work runs on any more."""
        self._expire(now)
        for row in self._let_go.rows():
            if not self.is_working_on(row.keys):
                self.end_release(row.keys, now)

    def end(self, now: float) -> None:
        """Notes that the server has ended, and holds nothing any more."""
        self._held.remove(ALL_KEYS)
        self._let_go.remove(ALL_KEYS)
        self._report(HoldEvent(self._server, now, ALL_KEYS, now))

    # --- requests

    def holds(self, key: int, now: float) -> bool:
        """Whether a request for a key may start."""
        hold = self._held.get(key)
        return hold is not None and now < hold.until

    def begin_work(self, key: int, now: float) -> int:
        """Notes that a request on a held key starts; returns its number."""
        self._expire(now)
        hold = self._held.get(key)
        assert hold is not None
        number = next(self._numbers)
        self._running[number] = Work(key, hold.since, hold.fence)
        return number

    def end_work(self, number: int, now: float) -> bool:
        """Notes that a request has ended; returns whether the hold of its key has lasted until then."""
        self._expire(now)
        work = self._running.pop(number)
        hold = self._held.get(work.key) or self._let_go.get(work.key)
        return hold is not None and hold.since == work.since

    # --- what heartbeats tell

    def held_rows(self, now: float) -> list[HoldRow]:
        """Returns what the server holds or still works on."""
        self._expire(now)
        told: KeyRangeMap[int] = KeyRangeMap()
        for work in self._running.values():
            told.assign(KeyRange(work.key, work.key), work.fence)
        for let_go in self._let_go.rows():
            if self.is_working_on(let_go.keys):
                told.assign(let_go.keys, let_go.value.fence)
        for held in self._held.rows():
            told.assign(held.keys, held.value.fence)
        return [HoldRow(row.keys, row.value) for row in told.rows()]

    def released_rows(self) -> list[ReleasedRow]:
        """Returns what the server has let go and not yet told in an acknowledged heartbeat."""
        return list(self._released)

    def on_told(self, rows: Iterable[ReleasedRow]) -> None:
        """Notes that a heartbeat with these rows was acknowledged."""
        told = set(rows)
        self._released = [row for row in self._released if row not in told]

    def is_letting_go(self, now: float) -> bool:
        """Whether anything that was let go has yet to be told as released."""
        self._expire(now)
        return bool(self._let_go) or bool(self._released)

    def _expire(self, now: float) -> None:
        """Removes holds that have run out; they don't count as released."""
        for held in (self._held, self._let_go):
            for row in held.rows():
                if row.value.until <= now:
                    held.remove(row.keys)
