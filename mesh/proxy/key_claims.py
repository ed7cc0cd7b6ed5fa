"""Claims of idempotency keys by a sidecar.

A call with a key is sent to its server only after enough controllers have granted the key.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from mesh.state.idempotency import MAX_REQUEST_AGE_S, Claim, ClaimDecision, OperationStatus
from mesh.state.quorum import NO_VOTERS, Voters
from mesh.transport.connection import PeerConnection, pack
from mesh.transport.messages import ClaimAnswer, ClaimKey, FreeKey, KeyBroken, KeyDone, Message

ROUND_TIMEOUT_S = 1.0  # after which a round of a claim is void
MAX_CLAIM_AGE_S = MAX_REQUEST_AGE_S - ROUND_TIMEOUT_S  # age of a request from which on no round is started
MIN_TIMEOUT_S = 0.01
HEDGE_DELAY_S = 0.02  # without a verdict by then, all controllers are queried, not only the nearest
PAUSE_S = 0.25  # during which no claim is tried after one has timed out
GRANT_MARGIN_S = 0.5  # by which a grant outlasts the deadline of its call

OnDecision = Callable[[ClaimDecision, Any], None]
"""Called once with the verdict of a claim, and with the answer if the operation has already run."""


class ClaimAttempt:
    """One claim. It starts a new round whenever the voters change.

    Its request was sent later than `sent_after`, by the monotonic clock.
    """

    def __init__(
        self,
        claims: KeyClaims,
        key: str,
        token: str,
        remaining_s: float,
        on_decision: OnDecision,
        sent_after: float,
    ) -> None:
        self._claims, self._key, self._token, self._on_decision = claims, key, token, on_decision
        self._sent_after = sent_after
        self._deadline = claims.loop.time() + remaining_s
        self._number = 0
        self._claim = Claim(0, 0, claims.monotonic(), ROUND_TIMEOUT_S)
        self._packed = b""
        self._ordered_voters: list[str] = []
        self._queried: list[str] = []
        self.all_queried: list[str] = []  # over all epochs
        self._timers: list[asyncio.TimerHandle] = []

    def start(self, timeout_s: float) -> None:
        """Queries the nearest controllers that suffice, and the others if there is no verdict soon."""
        loop = self._claims.loop
        self._timers = [
            loop.call_later(min(ROUND_TIMEOUT_S, timeout_s), self._on_timeout),
            loop.call_later(HEDGE_DELAY_S, self._query_all),
        ]
        self.begin()

    def begin(self) -> None:
        """Starts a round among the current voters. Answers carry its number, so all counted are of one
        epoch."""
        claims, loop = self._claims, self._claims.loop
        claims.pending.pop(self._number, None)
        self._number = claims.next_number()
        claims.pending[self._number] = self
        if claims.monotonic() > self._sent_after + MAX_CLAIM_AGE_S:
            claims.too_old += 1
            self._end(ClaimDecision.TOO_OLD)
            return
        voters = claims.voters
        self._claim = Claim(len(voters.names), voters.write_quorum, claims.monotonic(), ROUND_TIMEOUT_S)
        remaining_s = self._deadline - loop.time() + GRANT_MARGIN_S
        self._packed = pack(ClaimKey(self._number, self._key, self._token, remaining_s, max(1, voters.epoch)))
        self._ordered_voters = claims.nearest_first()
        self._queried = []
        for name in self._ordered_voters:
            if name not in claims.connections:
                self._claim.on_unavailable(name)
        self._query(
            [name for name in self._ordered_voters if name in claims.connections][: voters.write_quorum]
        )
        self._check_verdict()

    def _query(self, names: list[str]) -> None:
        for name in names:
            if name in self._queried:
                continue
            self._queried.append(name)
            if name not in self.all_queried:
                self.all_queried.append(name)
            connection = self._claims.connections.get(name)
            if connection is None:
                self._claim.on_unavailable(name)
            else:
                connection.send_packed(self._packed)

    def _query_all(self) -> None:
        if self._number in self._claims.pending:
            self._query(self._ordered_voters)
            self._check_verdict()

    def _on_timeout(self) -> None:
        """Handles the timeout of the claim."""
        if self._number not in self._claims.pending:
            return
        for name in self._claims.voters.names:
            self._claim.on_timeout(name)
        self._claims.pause()
        self._check_verdict()

    def on_claim_answer(self, name: str, answer: ClaimAnswer) -> None:
        """Handles the answer of a controller."""
        if answer.outcome > 0:
            self._claim.on_granted(name)
        elif answer.outcome == 0:
            self._claim.on_held_by_other(name, answer.token, OperationStatus(answer.status), answer.answer)
        else:
            self._claim.on_unavailable(name)
        self._check_verdict()

    def on_connection_lost(self, name: str) -> None:
        """Handles the loss of the connection to a controller."""
        self._claim.on_unavailable(name)
        self._check_verdict()

    def _check_verdict(self) -> None:
        """Ends the claim if there is a verdict; queries the remaining controllers if some can't grant."""
        if self._number not in self._claims.pending:
            return
        if self._claim.has_refusal and len(self._queried) < len(self._ordered_voters):
            self._query(self._ordered_voters)
        verdict = self._claim.decision(self._claims.monotonic())
        if verdict != ClaimDecision.WAIT:
            self._end(verdict)

    def _end(self, verdict: ClaimDecision) -> None:
        """Reports the verdict."""
        del self._claims.pending[self._number]
        for timer in self._timers:
            timer.cancel()
        self._claims.on_verdict(self._key, self._token, self.all_queried, verdict)
        self._on_decision(verdict, self._claim.response)


class KeyClaims:
    """All claims of one sidecar. `connections` and `zones` hold the connections to controllers and their
    zones, by address."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connections: Mapping[str, PeerConnection],
        zones: Mapping[str, str],
        zone: str,
        next_number: Callable[[], int],
        monotonic: Callable[[], float],
    ) -> None:
        self.loop, self.connections, self._zones, self._zone = loop, connections, zones, zone
        self.next_number, self.monotonic = next_number, monotonic
        self.voters: Voters = NO_VOTERS
        self.pending: dict[int, ClaimAttempt] = {}
        self._queried: dict[str, list[str]] = {}  # by token of a running operation: the controllers queried
        self.timed_out = 0  # number of claims
        self.too_old = 0  # number of claims that were refused for the age of their requests
        self._paused_until = 0.0  # while the controllers seem unreachable

    def nearest_first(self) -> list[str]:
        """Returns the voters, those in this sidecar's zone first."""
        return sorted(self.voters.names, key=lambda name: self._zones.get(name) != self._zone)

    @property
    def paused(self) -> bool:
        """Whether a claim has timed out recently, so that another would probably time out as well."""
        return self.loop.time() < self._paused_until

    def pause(self) -> None:
        """Suspends further claims for a while after one has timed out."""
        self.timed_out += 1
        self._paused_until = self.loop.time() + PAUSE_S

    def claim(
        self,
        key: str,
        token: str,
        remaining_s: float,
        timeout_s: float,
        on_decision: OnDecision,
        sent_after: float,
    ) -> None:
        """Claims a key within `timeout_s` for a call that has `remaining_s` left.

        Its client sent the request later than `sent_after`, by the monotonic clock. Controllers remember the
        grant of an earlier request only for so long, so no claim of an old one is made.
        """
        ClaimAttempt(self, key, token, remaining_s, on_decision, sent_after).start(
            min(timeout_s, max(MIN_TIMEOUT_S, remaining_s))
        )

    def on_verdict(self, key: str, token: str, queried: list[str], verdict: ClaimDecision) -> None:
        """Handles the verdict of a claim; grants that will not be used are released."""
        self._queried[token] = queried
        if verdict != ClaimDecision.RUN:
            self._send_to_queried(token, FreeKey(key, token))

    def update_voters(self, voters: Voters) -> bool:
        """Replaces the voters and restarts all pending claims, if the voters are newer; returns whether they
        are."""
        if not voters.supersedes(self.voters):
            return False
        self.voters = voters
        for queried in self._queried.values():  # the old voters may have told the new ones of the token
            queried += [name for name in voters.names if name not in queried]
        for attempt in list(self.pending.values()):
            attempt.begin()
        return True

    def on_claim_answer(self, connection: PeerConnection, answer: ClaimAnswer) -> None:
        """Handles the answer of a controller."""
        attempt = self.pending.get(answer.claim)
        if attempt is not None:
            attempt.on_claim_answer(connection.peer, answer)

    def on_connection_lost(self, name: str) -> None:
        """Handles the loss of the connection to a controller."""
        for attempt in list(self.pending.values()):
            attempt.on_connection_lost(name)

    # --- results of operations

    def report_done(self, key: str, token: str, answer: Any) -> None:
        """Reports that the operation of a key has run with this answer."""
        self._send_to_queried(token, KeyDone(key, token, answer))

    def report_broken(self, key: str, token: str) -> None:
        """Reports that the operation of a key may have run, but its answer is lost."""
        self._send_to_queried(token, KeyBroken(key, token))

    def release(self, key: str, token: str) -> None:
        """Releases a key whose operation has not run and will not."""
        self._send_to_queried(token, FreeKey(key, token))

    def _send_to_queried(self, token: str, message: Message) -> None:
        """Sends a message to the controllers that were queried for a token; no others know of it."""
        packed = pack(message)
        for name in self._queried.pop(token, ()):
            connection = self.connections.get(name)
            if connection is not None:
                connection.send_packed(packed)
