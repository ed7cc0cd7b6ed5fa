"""Operations by key: what one controller has granted, and what a claimant makes of several answers. No I/O.

A claim is a lock by quorum: each controller grants a key to the first token that it has on its disk, and
takes a grant back only at the word of whoever holds that token and knows that nothing ran with it. A token
that so many controllers granted that any two such sets share one may run; no second one ever has as many
within the window. Times are seconds of one clock; ages travel, never times of day.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

NOBODY = ""  # a token that no claimant has
PART_BYTES = 128 * 1024  # grants are told in parts of about so much
ROW_BYTES = 160  # of a grant without its answer, about
FREED_S = 30.0  # a token that was given back is known for so long: what others tell may be from before


class Mark(enum.IntEnum):
    """How far an operation is."""

    CLAIMED = 1
    DONE = 2
    BROKEN = 3  # it may have run, and left no answer


class Grant(NamedTuple):
    """What a controller knows of one key."""

    token: str
    mark: Mark
    until: float  # when a claim without an answer is over
    expires: float
    answer: Any = None  # status, headers, body


class GrantRow(NamedTuple):
    """A grant as it travels, and as it lies on disks: ages in place of times."""

    key: str
    token: str
    mark: int
    until_s: float
    expires_s: float
    answer: Any = None


class GrantSnapshot:
    """All grants of one moment, to be told part by part."""

    def __init__(self, grants: Iterable[tuple[str, Grant]]) -> None:
        self._grants = list(grants)
        self._starts = [0]  # of each part
        size = 0
        for at, (_, grant) in enumerate(self._grants):
            size += ROW_BYTES + _answer_bytes(grant)
            if size > PART_BYTES and at > self._starts[-1]:
                self._starts.append(at)
                size = ROW_BYTES + _answer_bytes(grant)

    @property
    def parts(self) -> int:
        """How many parts there are; one, also where nothing was granted."""
        return len(self._starts)

    def part(self, now: float, number: int) -> tuple[tuple[GrantRow, ...], bool]:
        """One part, counted from 0, with ages as of now, and whether there is a next one."""
        if number >= len(self._starts):
            return (), False
        first = self._starts[number]
        last = self._starts[number + 1] if number + 1 < len(self._starts) else len(self._grants)
        rows = (row_of(now, key, grant) for key, grant in self._grants[first:last] if now < grant.expires)
        return tuple(rows), number + 1 < len(self._starts)


class Registry:
    """The grants of one controller."""

    def __init__(self, window_s: float) -> None:
        self._window = window_s
        self._grants: OrderedDict[str, Grant] = OrderedDict()  # by when they were first granted
        self._freed: OrderedDict[tuple[str, str], float] = OrderedDict()  # key and token: until when

    def __len__(self) -> int:
        return len(self._grants)

    def look(self, now: float, key: str) -> Grant | None:
        """What stands for a key."""
        self._expire(now)
        grant = self._grants.get(key)
        if grant is not None and now >= grant.expires:
            del self._grants[key]
            return None
        if grant is not None and grant.mark == Mark.CLAIMED and now >= grant.until:
            grant = self._grants[key] = grant._replace(mark=Mark.BROKEN)
        return grant

    def claim(self, now: float, key: str, token: str, left_s: float) -> tuple[Grant, bool]:
        """Grant a key to a token, if it is free or the token's own; what stands, and whether it is new."""
        grant = self.look(now, key)
        if grant is not None:
            return grant, False
        grant = self._grants[key] = Grant(token, Mark.CLAIMED, now + left_s, now + max(self._window, left_s))
        return grant, True

    def done(self, now: float, key: str, token: str, answer: Any) -> bool:
        """The answer of the operation that a token ran. True where that is news."""
        grant = self.look(now, key)
        if grant is not None and grant.mark == Mark.DONE:
            return False
        expires = grant.expires if grant is not None else now + self._window
        self._grants[key] = Grant(token, Mark.DONE, now, expires, answer)
        return True

    def broke(self, now: float, key: str, token: str) -> bool:
        """It may have run, and there is no answer."""
        grant = self.look(now, key)
        if grant is None or grant.token != token or grant.mark != Mark.CLAIMED:
            return False
        self._grants[key] = grant._replace(mark=Mark.BROKEN)
        return True

    def free(self, now: float, key: str, token: str) -> bool:
        """Nothing ran with a token, and nothing will, as its holder says."""
        while self._freed and next(iter(self._freed.values())) <= now:
            self._freed.popitem(last=False)
        self._freed[key, token] = now + FREED_S
        return self.undo(key, token)

    def undo(self, key: str, token: str) -> bool:
        """A grant that was not told to anybody is none."""
        grant = self._grants.get(key)
        if grant is None or grant.token != token or grant.mark == Mark.DONE:
            return False
        del self._grants[key]
        return True

    def _expire(self, now: float) -> None:
        """A few of the oldest at a time, so that nothing ever stalls on it."""
        for _ in range(4):
            if not self._grants:
                return
            key, grant = next(iter(self._grants.items()))
            if now < grant.expires:
                return
            del self._grants[key]

    # --- for disks and other controllers

    def rows(self, now: float) -> list[GrantRow]:
        """All that stands, with ages in place of times."""
        return [row_of(now, key, grant) for key, grant in self._grants.items() if now < grant.expires]

    def row(self, now: float, key: str) -> GrantRow:
        """One of them."""
        return row_of(now, key, self._grants[key])

    def snapshot(self, now: float) -> GrantSnapshot:
        """All that stands, to be told part by part while it goes on changing here."""
        return GrantSnapshot((key, grant) for key, grant in self._grants.items() if now < grant.expires)

    def take(self, now: float, rows: Iterable[GrantRow]) -> None:
        """Merge what a disk or another controller knows: an answer wins over a claim, a claim over nothing.

        Where claims disagree it is not known which of them enough controllers granted, and any of them may
        come to that by the next controller's word: the key is then nobody's here, until the last of them
        expires.
        """
        for key, token, mark, until, expires, answer in rows:
            grant = Grant(token, Mark(mark), now + until, now + expires, answer)
            mine = self._grants.get(key)
            if mine is not None and now >= mine.expires:
                mine = None
            if expires <= 0 or (mark != Mark.DONE and self._freed.get((key, token), now) > now):
                continue
            if mine is None or (grant.mark == Mark.DONE and mine.mark != Mark.DONE):
                self._grants[key] = grant
            elif mine.token != token and mine.mark != Mark.DONE:
                last = max(mine.expires, grant.expires)
                self._grants[key] = Grant(NOBODY, Mark.BROKEN, now, last)


def row_of(now: float, key: str, grant: Grant) -> GrantRow:
    """A grant as it travels."""
    return GrantRow(key, grant.token, int(grant.mark), grant.until - now, grant.expires - now, grant.answer)


def _answer_bytes(grant: Grant) -> int:
    """Bytes of the answer's body, which may be most of a grant."""
    return len(grant.answer[2]) if grant.answer else 0


class Verdict(enum.Enum):
    """What a claimant makes of the answers so far."""

    WAIT = 0
    RUN = 1
    REPEAT = 2  # an answer is there
    AT_WORK = 3
    LOST = 4
    AGAIN = 5  # nobody has it, and not enough were free: give back and come again


@dataclass
class Claim:
    """One claimant's count. `controllers` are asked, `enough` must grant, all within `limit_s` of the
    start."""

    controllers: int
    enough: int
    started: float
    limit_s: float
    answer: Any = None
    _mine: set[str] = field(default_factory=set)
    _others: dict[str, set[str]] = field(default_factory=dict)
    _marks: dict[str, Mark] = field(default_factory=dict)
    _failed: set[str] = field(default_factory=set)

    def granted(self, controller: str) -> None:
        """A controller has it on its disk for this token."""
        self._mine.add(controller)

    def held(self, controller: str, token: str, mark: Mark, answer: Any) -> None:
        """A controller holds it for another."""
        self._others.setdefault(token, set()).add(controller)
        self._marks[token] = max(mark, self._marks.get(token, Mark.CLAIMED))
        if mark == Mark.DONE:
            self.answer = answer
            self._marks[token] = Mark.DONE

    def failed(self, controller: str) -> None:
        """A controller can't grant anything."""
        if controller not in self._mine and not any(controller in held for held in self._others.values()):
            self._failed.add(controller)

    @property
    def troubled(self) -> bool:
        """Whether one of those asked did not grant it: the others may decide."""
        return bool(self._failed or self._others)

    silent = failed  # nor one that has said nothing in time

    def verdict(self, now: float) -> Verdict:
        """As far as the answers go. A round that took too long grants nothing: a controller that lost its
        disk waits for as long before it counts, so whatever was granted in time is known to those it asks."""
        if self.answer is not None:
            return Verdict.REPEAT
        in_time = now - self.started <= self.limit_s
        if len(self._mine) >= self.enough and in_time:
            return Verdict.RUN
        others = set[str]().union(*self._others.values()) if self._others else set[str]()
        open_ = self.controllers - len(self._mine) - len(others) - len(self._failed)
        if len(self._mine) + open_ >= self.enough and in_time:
            return Verdict.WAIT
        for token, controllers in self._others.items():
            if len(controllers) + open_ >= self.enough or len(controllers) >= self.enough:
                if self._marks[token] == Mark.BROKEN:
                    return Verdict.LOST
                if len(controllers) >= self.enough or not in_time or not open_:
                    return Verdict.AT_WORK
                return Verdict.WAIT
        return Verdict.AGAIN
