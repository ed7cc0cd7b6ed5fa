"""One controller's answers while its voters change, and to processes and disks of an older version."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import cbor2
from test_mesh_api import ME, Disk, make_controller
from wire import message

from mesh.control.ballot import Member
from mesh.control.controller import Controller
from mesh.state.ballots import Ballot
from mesh.state.idempotency import FREED_RETENTION_S, Registry
from mesh.state.quorum import Voters
from mesh.transport import messages
from mesh.transport.connection import pack
from mesh.transport.messages import kind_of

A, B, C, D = (f"10.0.0.{at}:7000" for at in range(1, 5))


class RecordingConnection:
    """A connection that records what is sent."""

    peer, open = "x", True

    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.send = lambda made: self.sent.append(cbor2.loads(pack(made)[4:]))
        self.send_packed = lambda packed: self.sent.append(cbor2.loads(packed[4:]))


def in_contact(controller: Controller) -> None:
    """Records a response of each voter now."""
    for name in controller.voters.names:
        controller.heartbeats.lease.renew(name, time.monotonic())


def run_with_controller(check: Callable[[Controller, Disk], None]) -> None:
    async def main() -> None:
        made = make_controller((ME, B, C))
        in_contact(made)
        check(made, made.context.store)  # type: ignore[arg-type]
        for dial in made.peers._dials.values():
            dial.stop()

    asyncio.run(main())


def test_messages_of_an_older_version_belong_to_the_first_epoch() -> None:
    def check(controller: Controller, disk: Disk) -> None:
        link: Any = RecordingConnection()
        controller.hear(link, message(kind_of(messages.ClaimKey), 1, "k", "t", 5.0))
        controller.hear(link, message(kind_of(messages.Fetch), 2, 1, False, b""))
        controller.hear(link, message(kind_of(messages.FetchGrants), 3))
        assert [row[:3] for row in link.sent] == [
            [kind_of(messages.ClaimAnswer), 1, 1],
            [kind_of(messages.FetchAnswer), 2, True],
            [kind_of(messages.GrantsAnswer), 3, True],
        ]
        assert len(link.sent[0]) == 6, "an older sidecar reads no more fields"
        controller.learn_voters(Voters(2, (ME, B, D)), ())
        controller.context.member.mark_caught_up(2)
        in_contact(controller)
        link.sent.clear()
        controller.hear(link, message(kind_of(messages.ClaimKey), 4, "l", "t", 5.0))
        controller.hear(link, message(kind_of(messages.Fetch), 5, 1, False, b""))
        controller.hear(link, message(kind_of(messages.FetchGrants), 6))
        assert [row[:3] for row in link.sent] == [
            [kind_of(messages.CurrentVoters), 2, [ME, B, D]],
            [kind_of(messages.ClaimAnswer), 4, -1],
            [kind_of(messages.FetchAnswer), 5, False],
            [kind_of(messages.GrantsAnswer), 6, False],
        ]
        controller.hear(link, message(kind_of(messages.Hello), B, [1, [A, B, C]], [B]))
        assert controller.voters.epoch == 2 and B in controller.peers._legacy
        controller.hear(link, message(kind_of(messages.Register), ["n", "", "", "", "", 1, True, 0.0, 1, 1]))
        assert controller.elections.view(2).has_legacy_peer

    run_with_controller(check)


def test_a_disk_of_an_older_version_is_caught_up_in_the_first_epoch() -> None:
    made = Member(A)
    for record in (["voters", 1, [A, B, C]], ["whole"]):
        made.load(record)
    assert made.votes(1) and not made.votes(2)


def test_a_sealed_voter_responds_only_after_the_seal_is_on_disk() -> None:
    def check(controller: Controller, disk: Disk) -> None:
        waiting: list[Any] = []
        disk.put = lambda record, done=None: waiting.append(done)  # type: ignore[method-assign]
        link: Any = RecordingConnection()
        controller.hear(link, message(kind_of(messages.FetchGrants), 1, 1, True))
        assert link.sent.pop()[2] is False, "not sealed"
        controller.hear(link, message(kind_of(messages.Seal), 2, 1, [1, "p"], [ME, B, D]))
        controller.hear(link, message(kind_of(messages.FetchGrants), 3, 1, True))
        assert link.sent == []
        for done in waiting:
            if done is not None:
                done(True)
        assert [row[:3] for row in link.sent] == [
            [kind_of(messages.SealAnswer), 2, True],
            [kind_of(messages.GrantsAnswer), 3, True],
        ]

    run_with_controller(check)


def test_claims_stay_pending_while_voters_change_unless_they_are_freed() -> None:
    def check(controller: Controller, disk: Disk) -> None:
        link: Any = RecordingConnection()
        controller.hear(link, message(kind_of(messages.Seal), 1, 1, [1, "p"], [ME, B, D]))
        link.sent.clear()
        for number, token in ((2, "s"), (3, "t")):
            controller.hear(link, message(kind_of(messages.ClaimKey), number, token, token, 5.0))
        controller.hear(link, message(kind_of(messages.ClaimKey), 4, "k", "u", 5.0, 2))
        controller.hear(link, message(kind_of(messages.FreeKey), "s", "s"))
        assert link.sent == []
        controller.learn_voters(Voters(2, (ME, B, D)), ())
        controller.context.member.mark_caught_up(2)
        in_contact(controller)
        controller.grants.retry_pending()
        assert [row[:3] for row in link.sent if row[0] == kind_of(messages.ClaimAnswer)] == [
            [kind_of(messages.ClaimAnswer), 3, -1],
            [kind_of(messages.ClaimAnswer), 4, 1],
        ]

    run_with_controller(check)


def test_a_freed_token_does_not_return_with_rows_of_others() -> None:
    made, other = Registry(60.0), Registry(60.0)
    other.claim(0.0, "k", "t", 5.0)
    made.release(0.0, "k", "t")
    made.merge(0.1, other.rows(0.1))
    assert made.get(0.1, "k") is None
    made.merge(FREED_RETENTION_S + 1.0, other.rows(FREED_RETENTION_S + 1.0))
    assert made.get(FREED_RETENTION_S + 1.0, "k") is not None


def test_a_wiped_disk_learns_the_promises_of_others() -> None:
    async def main() -> None:
        made = make_controller((ME, B, C))
        made.context.member.caught_up_epoch = 0
        link: Any = RecordingConnection()
        link.peer, made.peers.connections = B, {B: link}
        hearing = asyncio.ensure_future(made.recovery.fetch_grants(made.voters, 1, False))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        [[_, number, epoch, sealed, part]] = link.sent
        assert (epoch, sealed, part) == (1, False, 0)
        made.hear(link, message(kind_of(messages.GrantsAnswer), number, True, [], 1, [7, "p"]))
        assert await hearing and made.context.member.promised == Ballot(7, "p")

    asyncio.run(main())
