"""A controller's answers to sidecars that claim operation keys."""

from __future__ import annotations

from typing import Any, NamedTuple

from mesh.control.context import CLAIM_TIMEOUT_S, Context
from mesh.control.heartbeats import Heartbeats
from mesh.state.idempotency import GrantRow, Mark, Registry, row_of
from mesh.transport.connection import PeerConnection
from mesh.transport.messages import ClaimAnswer, ClaimKey, CurrentVoters, FreeKey, KeyBroken, KeyDone

MOST_HELD = 1024  # claims that wait
CANNOT_TELL, ANOTHERS, GRANTED = -1, 0, 1  # outcomes of a claim


class Held(NamedTuple):
    """A claim that may be answered soon."""

    at: float
    link: PeerConnection
    claim: ClaimKey


class KeyGrants:
    """The grants of one controller. Whatever it says of them lies on its disk first."""

    def __init__(self, context: Context, heartbeats: Heartbeats) -> None:
        self._context, self._heartbeats = context, heartbeats
        self.registry = Registry(context.settings.bound("key_window", 60.0))
        self._held: list[Held] = []  # claims that come while voters change

    # --- the disk

    def load(self, record: list[Any]) -> None:
        """One record, oldest first. Grants carry times of day, as the steady clock does not outlast a
        process."""
        now, kind = self._context.wall_time(), record[0]
        if kind == "key":
            key, token, mark, until, expires, answer = record[1]
            self.registry.take(now, [GrantRow(key, token, mark, until - now, expires - now, answer)])
        elif kind == "free":
            self.registry.free(now, record[1], record[2])
        elif kind == "broke":
            self.registry.broke(now, record[1], record[2])

    def records(self) -> list[list[Any]]:
        """All that still counts."""
        now = self._context.wall_time()
        return [_record(now, row) for row in self.registry.rows(now)]

    # --- claims

    def claim(self, link: PeerConnection, asked: ClaimKey) -> None:
        """Grant a key, in the claimant's epoch.

        A claimant of an older epoch is told who votes; while a change of voters is under way a claim is held,
        until it can be answered or its claimant counts it no more.
        """
        member = self._context.member
        if member.votes(asked.epoch):
            if self._heartbeats.in_contact:
                self._grant(link, asked)
            elif self._heartbeats.may_return:
                self._hold(link, asked)
            else:
                link.send(_cannot_tell(asked))
            return
        voters = self._context.voters
        if asked.epoch < voters.epoch:
            link.send(CurrentVoters(voters.epoch, voters.names))
        elif member.lasted and (asked.epoch > voters.epoch or self._context.me in voters.names):
            self._hold(link, asked)
            return
        link.send(_cannot_tell(asked))

    def _grant(self, link: PeerConnection, asked: ClaimKey) -> None:
        now, key, token = self._context.wall_time(), asked.key, asked.token
        grant, fresh = self.registry.claim(now, key, token, asked.remaining_s)
        if grant.token != token or grant.mark != Mark.CLAIMED:
            link.send(ClaimAnswer(asked.claim, ANOTHERS, grant.token, int(grant.mark), grant.answer))
            return

        def written(ok: bool) -> None:
            if not ok and fresh:
                self.registry.undo(key, token)
            link.send(ClaimAnswer(asked.claim, GRANTED if ok else CANNOT_TELL, token, int(Mark.CLAIMED)))

        self._context.write(_record(now, row_of(now, key, grant)), written)

    def _hold(self, link: PeerConnection, asked: ClaimKey) -> None:
        self._held.append(Held(self._context.loop.time(), link, asked))
        del self._held[:-MOST_HELD]

    def retry(self) -> None:
        """What was held may be answered now."""
        if not self._held:
            return
        held, self._held = self._held, []
        for waiting in held:
            if not waiting.link.open or self._context.loop.time() >= waiting.at + CLAIM_TIMEOUT_S:
                continue
            before = len(self._held)
            self.claim(waiting.link, waiting.claim)
            if len(self._held) > before:
                self._held[-1] = waiting  # its time goes on

    # --- ends of operations

    def done(self, told: KeyDone) -> None:
        """An operation has run, and has an answer."""
        now = self._context.wall_time()
        if self.registry.done(now, told.key, told.token, told.answer):
            self._context.write(_record(now, self.registry.row(now, told.key)))

    def broke(self, told: KeyBroken) -> None:
        """An operation may have run, and has no answer."""
        self._drop_held(told.token)
        if self.registry.broke(self._context.wall_time(), told.key, told.token):
            self._context.write(["broke", told.key, told.token])

    def free(self, told: FreeKey) -> None:
        """An operation has not run, and will not."""
        self._drop_held(told.token)
        if self.registry.free(self._context.wall_time(), told.key, told.token):
            self._context.write(["free", told.key, told.token])

    def _drop_held(self, token: str) -> None:
        self._held = [waiting for waiting in self._held if waiting.claim.token != token]


def _cannot_tell(asked: ClaimKey) -> ClaimAnswer:
    return ClaimAnswer(asked.claim, CANNOT_TELL, "", 0)


def _record(now: float, row: GrantRow) -> list[Any]:
    return ["key", [*row[:3], row.until_s + now, row.expires_s + now, row.answer]]
