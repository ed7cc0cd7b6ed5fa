"""A sidecar's claims of operation keys: a call with a key goes to its server only once enough controllers
have granted the key."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from mesh.state.idempotency import Claim, Mark, Verdict
from mesh.state.quorum import NOBODY, Voters
from mesh.transport.connection import PeerConnection, pack
from mesh.transport.messages import ClaimAnswer, ClaimKey, FreeKey, KeyBroken, KeyDone, Message

ROUND_TIMEOUT_S = 1.0  # a claim's round is void after so long
LEAST_S = 0.01
HEDGE_S = 0.02  # after so long without a verdict all controllers are asked for a key, not only the nearest
KEYLESS_S = 0.25  # how long none is tried after one that took too long
MARGIN_S = 0.5  # a grant outlasts the time that its call has by so much

Decided = Callable[[Verdict, Any], None]
"""Told once of a claim's verdict, and of the answer where the operation has run."""


class Attempt:
    """One claim, over as many rounds as voters change."""

    def __init__(self, claims: KeyClaims, key: str, token: str, left_s: float, decided: Decided) -> None:
        self._claims, self._key, self._token, self._decided = claims, key, token, decided
        self._ends = claims.loop.time() + left_s
        self._number = 0
        self._claim = Claim(0, 0, claims.loop.time(), ROUND_TIMEOUT_S)
        self._packed = b""
        self._order: list[str] = []
        self._asked: list[str] = []
        self.all_asked: list[str] = []  # in all epochs
        self._timers: list[asyncio.TimerHandle] = []

    def start(self, limit_s: float) -> None:
        """Ask the nearest that are enough; what they don't settle soon, the others are asked as well."""
        loop = self._claims.loop
        self._timers = [
            loop.call_later(min(ROUND_TIMEOUT_S, limit_s), self._late),
            loop.call_later(HEDGE_S, self._ask_all),
        ]
        self.begin()

    def begin(self) -> None:
        """A round, among those who vote now. Answers are counted by its number, so within one epoch."""
        claims, loop = self._claims, self._claims.loop
        claims.pending.pop(self._number, None)
        self._number = claims.fresh()
        claims.pending[self._number] = self
        voters = claims.voters
        self._claim = Claim(len(voters.names), voters.write, loop.time(), ROUND_TIMEOUT_S)
        left_s = self._ends - loop.time() + MARGIN_S
        self._packed = pack(ClaimKey(self._number, self._key, self._token, left_s, max(1, voters.epoch)))
        self._order = claims.nearest_first()
        self._asked = []
        for name in self._order:
            if name not in claims.links:
                self._claim.failed(name)
        self._ask([name for name in self._order if name in claims.links][: voters.write])
        self._look()

    def _ask(self, names: list[str]) -> None:
        for name in names:
            if name in self._asked:
                continue
            self._asked.append(name)
            if name not in self.all_asked:
                self.all_asked.append(name)
            link = self._claims.links.get(name)
            if link is None:
                self._claim.failed(name)
            else:
                link.send_packed(self._packed)

    def _ask_all(self) -> None:
        if self._number in self._claims.pending:
            self._ask(self._order)
            self._look()

    def _late(self) -> None:
        """Nothing was settled in time."""
        if self._number not in self._claims.pending:
            return
        for name in self._claims.voters.names:
            self._claim.silent(name)
        self._claims.pause()
        self._look()

    def on_claim_answer(self, name: str, answer: ClaimAnswer) -> None:
        """A controller has answered."""
        if answer.outcome > 0:
            self._claim.granted(name)
        elif answer.outcome == 0:
            self._claim.held(name, answer.token, Mark(answer.mark), answer.answer)
        else:
            self._claim.failed(name)
        self._look()

    def on_connection_lost(self, name: str) -> None:
        """The connection to a controller has ended."""
        self._claim.failed(name)
        self._look()

    def _look(self) -> None:
        """Whether there is a verdict."""
        if self._number not in self._claims.pending:
            return
        if self._claim.troubled and len(self._asked) < len(self._order):
            self._ask(self._order)
        verdict = self._claim.verdict(self._claims.loop.time())
        if verdict == Verdict.WAIT:
            return
        del self._claims.pending[self._number]
        for timer in self._timers:
            timer.cancel()
        self._claims.settled(self._key, self._token, self.all_asked, verdict)
        self._decided(verdict, self._claim.answer)


class KeyClaims:
    """All claims of one sidecar. `links` are the connections to controllers, by address; `zones` their
    zones."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        links: Mapping[str, PeerConnection],
        zones: Mapping[str, str],
        zone: str,
        fresh: Callable[[], int],
    ) -> None:
        self.loop, self.links, self._zones, self._zone, self.fresh = loop, links, zones, zone, fresh
        self.voters: Voters = NOBODY
        self.pending: dict[int, Attempt] = {}
        self._asked: dict[str, list[str]] = {}  # by token at work: the controllers that were asked
        self.timed_out = 0  # claims that took too long
        self._paused_until = 0.0  # controllers are out of reach, as it seems

    def nearest_first(self) -> list[str]:
        """The voters, those of the own zone first."""
        return sorted(self.voters.names, key=lambda name: self._zones.get(name) != self._zone)

    @property
    def paused(self) -> bool:
        """Whether a claim would most likely take too long."""
        return self.loop.time() < self._paused_until

    def pause(self) -> None:
        """A claim took too long: for a while none is tried."""
        self.timed_out += 1
        self._paused_until = self.loop.time() + KEYLESS_S

    def claim(self, key: str, token: str, left_s: float, limit_s: float, decided: Decided) -> None:
        """Have a key granted by enough controllers within `limit_s`; the call has `left_s`."""
        Attempt(self, key, token, left_s, decided).start(min(limit_s, max(LEAST_S, left_s)))

    def settled(self, key: str, token: str, asked: list[str], verdict: Verdict) -> None:
        """A claim has a verdict: what it was granted and does not run with is given back."""
        self._asked[token] = asked
        if verdict != Verdict.RUN:
            self._tell(token, FreeKey(key, token))

    def update_voters(self, told: Voters) -> bool:
        """Who votes from now on. What was asked of those before is asked anew, as long as nothing ran."""
        if not told.newer(self.voters):
            return False
        self.voters = told
        for asked in self._asked.values():  # they may have heard of it from those before
            asked += [name for name in told.names if name not in asked]
        for attempt in list(self.pending.values()):
            attempt.begin()
        return True

    def on_claim_answer(self, link: PeerConnection, answer: ClaimAnswer) -> None:
        """A controller has answered."""
        attempt = self.pending.get(answer.claim)
        if attempt is not None:
            attempt.on_claim_answer(link.peer, answer)

    def on_connection_lost(self, name: str) -> None:
        """The connection to a controller has ended."""
        for attempt in list(self.pending.values()):
            attempt.on_connection_lost(name)

    # --- ends of operations

    def done(self, key: str, token: str, answer: Any) -> None:
        """An operation has run, with this answer."""
        self._tell(token, KeyDone(key, token, answer))

    def broke(self, key: str, token: str) -> None:
        """An operation may have run, and has no answer."""
        self._tell(token, KeyBroken(key, token))

    def free(self, key: str, token: str) -> None:
        """An operation has not run, and will not."""
        self._tell(token, FreeKey(key, token))

    def _tell(self, token: str, message: Message) -> None:
        """Tell the controllers that were asked for a token: no other knows of it."""
        packed = pack(message)
        for name in self._asked.pop(token, ()):
            link = self.links.get(name)
            if link is not None:
                link.send_packed(packed)
