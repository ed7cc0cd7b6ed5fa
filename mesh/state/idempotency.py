"""Idempotency keys: the grants of one controller, and a claimant's decision from several responses. No I/O.

A claim is a lock by quorum. Each controller grants a key to the first token that it has written to disk, and
withdraws a grant only at the request of the holder of that token, who knows that nothing ran with it. A token
that was granted by a quorum may run, where any two quorums share a controller; no second token ever reaches a
quorum within the retention time. Times are seconds of one clock; messages carry ages, never times of day.

Two requests with one key are one operation if the second is sent within the key window after the first. The
second may be claimed later than it was sent, as a process or a connection may stand still meanwhile. So a key
is retained for `MAX_REQUEST_AGE_S` longer than the window, and no request older than that is granted one.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

NO_TOKEN = ""  # a token that no claimant has
PART_BYTES = 128 * 1024  # approximate size of one part of a grant transfer
ROW_BYTES = 160  # approximate size of a grant without its response
MAX_REQUEST_AGE_S = 10.0  # time since its client sent it after which a request is granted no key
FREED_RETENTION_S = 30.0  # how long a freed token is remembered: peers may send rows from before its release


class OperationStatus(enum.IntEnum):
    """Progress of an operation."""

    CLAIMED = 1
    DONE = 2
    BROKEN = 3  # it may have run, and has no response


class Grant(NamedTuple):
    """What a controller knows of one key."""

    token: str
    status: OperationStatus
    claim_ends_at: float  # a claim without a response is broken from then on
    expires_at: float
    response: Any = None  # status, headers, body


class GrantRow(NamedTuple):
    """A grant as sent and stored: remaining times in place of points in time."""

    key: str
    token: str
    status: int
    claim_ends_in_s: float
    expires_in_s: float
    response: Any = None


class GrantSnapshot:
    """All grants at one moment, split into parts for transfer."""

    def __init__(self, grants: Iterable[tuple[str, Grant]]) -> None:
        self._grants = list(grants)
        self._part_starts = [0]
        size = 0
        for at, (_, grant) in enumerate(self._grants):
            size += ROW_BYTES + _response_bytes(grant)
            if size > PART_BYTES and at > self._part_starts[-1]:
                self._part_starts.append(at)
                size = ROW_BYTES + _response_bytes(grant)

    @property
    def parts(self) -> int:
        """Number of parts; at least one, even without grants."""
        return len(self._part_starts)

    def part(self, now: float, number: int) -> tuple[tuple[GrantRow, ...], bool]:
        """Returns one part, counted from 0, with ages as of now, and whether there are more."""
        if number >= len(self._part_starts):
            return (), False
        start = self._part_starts[number]
        end = self._part_starts[number + 1] if number + 1 < len(self._part_starts) else len(self._grants)
        rows = (
            grant_to_row(now, key, grant) for key, grant in self._grants[start:end] if now < grant.expires_at
        )
        return tuple(rows), number + 1 < len(self._part_starts)


class Registry:
    """The grants of one controller, each kept for `retention_s`."""

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._grants: OrderedDict[str, Grant] = OrderedDict()  # in the order of their first grant
        self._freed: OrderedDict[tuple[str, str], float] = OrderedDict()  # by key and token: remembered until

    def __len__(self) -> int:
        return len(self._grants)

    def get(self, now: float, key: str) -> Grant | None:
        """Returns the current grant of a key."""
        self._expire(now)
        grant = self._grants.get(key)
        if grant is not None and now >= grant.expires_at:
            del self._grants[key]
            return None
        if grant is not None and grant.status == OperationStatus.CLAIMED and now >= grant.claim_ends_at:
            grant = self._grants[key] = grant._replace(status=OperationStatus.BROKEN)
        return grant

    def claim(self, now: float, key: str, token: str, left_s: float) -> tuple[Grant, bool]:
        """Grants a key to a token unless it is granted. Returns the current grant and whether it is new."""
        grant = self.get(now, key)
        if grant is not None:
            return grant, False
        grant = self._grants[key] = Grant(
            token, OperationStatus.CLAIMED, now + left_s, now + max(self._retention_s, left_s)
        )
        return grant, True

    def complete(self, now: float, key: str, token: str, response: Any) -> bool:
        """Stores the response of the operation that a token ran. Returns False if there was one already."""
        grant = self.get(now, key)
        if grant is not None and grant.status == OperationStatus.DONE:
            return False
        expires_at = grant.expires_at if grant is not None else now + self._retention_s
        self._grants[key] = Grant(token, OperationStatus.DONE, now, expires_at, response)
        return True

    def mark_broken(self, now: float, key: str, token: str) -> bool:
        """Marks a claim whose operation may have run and has no response. Returns whether it changed."""
        grant = self.get(now, key)
        if grant is None or grant.token != token or grant.status != OperationStatus.CLAIMED:
            return False
        self._grants[key] = grant._replace(status=OperationStatus.BROKEN)
        return True

    def release(self, now: float, key: str, token: str) -> bool:
        """Releases a claim whose operation never ran and never will. Returns whether there was one."""
        while self._freed and next(iter(self._freed.values())) <= now:
            self._freed.popitem(last=False)
        self._freed[key, token] = now + FREED_RETENTION_S
        return self.revoke(key, token)

    def revoke(self, key: str, token: str) -> bool:
        """Removes a grant that was not reported to anybody. Returns whether there was one."""
        grant = self._grants.get(key)
        if grant is None or grant.token != token or grant.status == OperationStatus.DONE:
            return False
        del self._grants[key]
        return True

    def _expire(self, now: float) -> None:
        """Removes a few of the oldest grants at a time, so that no call takes long."""
        for _ in range(4):
            if not self._grants:
                return
            key, grant = next(iter(self._grants.items()))
            if now < grant.expires_at:
                return
            del self._grants[key]

    # --- for storage and other controllers

    def rows(self, now: float) -> list[GrantRow]:
        """Returns all current grants as rows."""
        return [
            grant_to_row(now, key, grant) for key, grant in self._grants.items() if now < grant.expires_at
        ]

    def row(self, now: float, key: str) -> GrantRow:
        """Returns the row of one key."""
        return grant_to_row(now, key, self._grants[key])

    def snapshot(self, now: float) -> GrantSnapshot:
        """Returns a snapshot of all current grants for a transfer in parts."""
        return GrantSnapshot((key, grant) for key, grant in self._grants.items() if now < grant.expires_at)

    def merge(self, now: float, rows: Iterable[GrantRow]) -> None:
        """Merges rows from disk or another controller: a response wins over a claim, a claim over no grant.

        Where claims conflict it is unknown which of them a quorum granted, and any of them may still reach a
        quorum with the next controller's grant. The key is then granted to nobody here until the last of
        these claims expires.
        """
        for key, token, status, claim_ends_in_s, expires_in_s, response in rows:
            grant = Grant(token, OperationStatus(status), now + claim_ends_in_s, now + expires_in_s, response)
            current = self._grants.get(key)
            if current is not None and now >= current.expires_at:
                current = None
            if expires_in_s <= 0 or (
                status != OperationStatus.DONE and self._freed.get((key, token), now) > now
            ):
                continue
            if current is None or (
                grant.status == OperationStatus.DONE and current.status != OperationStatus.DONE
            ):
                self._grants[key] = grant
            elif current.token != token and current.status != OperationStatus.DONE:
                expires_at = max(current.expires_at, grant.expires_at)
                self._grants[key] = Grant(NO_TOKEN, OperationStatus.BROKEN, now, expires_at)


def grant_to_row(now: float, key: str, grant: Grant) -> GrantRow:
    """Returns a grant in the form in which it is sent and stored."""
    return GrantRow(
        key,
        grant.token,
        int(grant.status),
        grant.claim_ends_at - now,
        grant.expires_at - now,
        grant.response,
    )


def _response_bytes(grant: Grant) -> int:
    """Returns the size of the response body, which may be most of a grant."""
    return len(grant.response[2]) if grant.response else 0


class ClaimDecision(enum.Enum):
    """A claimant's decision from the responses so far."""

    WAIT = 0
    RUN = 1
    REPEAT = 2  # return the stored response
    AT_WORK = 3  # another claimant runs the operation
    LOST = 4  # the operation may have run, and its response is lost
    AGAIN = 5  # nobody holds a quorum and too few controllers were free: release and retry
    TOO_OLD = 6  # the request is so old that the grant of an earlier one may have been forgotten


@dataclass
class Claim:
    """Counts the responses to one claim.

    `controllers` were asked, `needed` of them have to grant, all within `limit_s` of the start.
    """

    controllers: int
    needed: int
    started_at: float
    limit_s: float
    response: Any = None
    _granted_by: set[str] = field(default_factory=set)
    _held_by_others: dict[str, set[str]] = field(default_factory=dict)  # by token: controllers
    _other_statuses: dict[str, OperationStatus] = field(default_factory=dict)  # by token
    _unavailable: set[str] = field(default_factory=set)

    def on_granted(self, controller: str) -> None:
        """Counts a controller that has written the grant for this token to disk."""
        self._granted_by.add(controller)

    def on_held_by_other(self, controller: str, token: str, status: OperationStatus, response: Any) -> None:
        """Counts a controller that has granted the key to another token."""
        self._held_by_others.setdefault(token, set()).add(controller)
        self._other_statuses[token] = max(status, self._other_statuses.get(token, OperationStatus.CLAIMED))
        if status == OperationStatus.DONE:
            self.response = response
            self._other_statuses[token] = OperationStatus.DONE

    def on_unavailable(self, controller: str) -> None:
        """Counts a controller that can't grant anything."""
        if controller not in self._granted_by and not any(
            controller in holders for holders in self._held_by_others.values()
        ):
            self._unavailable.add(controller)

    @property
    def has_refusal(self) -> bool:
        """Whether a controller did not grant the key, so that the remaining ones may have to be asked."""
        return bool(self._unavailable or self._held_by_others)

    on_timeout = on_unavailable  # a controller that has not responded in time counts as unavailable

    def decision(self, now: float) -> ClaimDecision:
        """Returns the decision from the responses so far.

        A round that exceeds `limit_s` grants nothing: a controller that lost its disk waits as long before it
        votes again, so every grant made in time is known to the controllers that it reads from.
        """
        if self.response is not None:
            return ClaimDecision.REPEAT
        in_time = now - self.started_at <= self.limit_s
        if len(self._granted_by) >= self.needed and in_time:
            return ClaimDecision.RUN
        others = set[str]().union(*self._held_by_others.values()) if self._held_by_others else set[str]()
        pending = self.controllers - len(self._granted_by) - len(others) - len(self._unavailable)
        if len(self._granted_by) + pending >= self.needed and in_time:
            return ClaimDecision.WAIT
        for token, controllers in self._held_by_others.items():
            if len(controllers) + pending >= self.needed or len(controllers) >= self.needed:
                if self._other_statuses[token] == OperationStatus.BROKEN:
                    return ClaimDecision.LOST
                if len(controllers) >= self.needed or not in_time or not pending:
                    return ClaimDecision.AT_WORK
                return ClaimDecision.WAIT
        return ClaimDecision.AGAIN
