"""Votes on leases: what a voter confirms, and when it does not."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from mesh.control.lease_votes import LeaseVotes
from mesh.state.ballots import Ballot, Draft
from mesh.state.configuration import Item
from mesh.state.quorum import Voters
from mesh.state.shards import ALL_KEYS, Assignment, FencedRange, KeyRange, Owner, Revocation, ShardTable
from mesh.transport.messages import CurrentVoters, LeaseAnswer, RenewLease

A, B = Owner("node-a", "i-a"), Owner("node-b", "i-b")
EPOCH = 3
ALL_HELD = (FencedRange(ALL_KEYS, 1),)
OWNED = ShardTable("baskets").change(assignments=[Assignment(ALL_KEYS, A)])
HALF_REVOKED = OWNED.change(revocations=[Revocation(KeyRange(0, 99), B)])


def item(table):
    return Item(table.item_name, table.version, table.encode())


def ask(chosen=(OWNED,), drafted=(), owner=A, ranges=ALL_HELD, epoch=EPOCH, votes=True, lease_ms=5000):
    """Returns a voter's response to a sidecar, and what else it sent."""
    draft = Draft(7, Ballot(1, "x"), tuple(map(item, drafted))) if drafted else None
    replica = SimpleNamespace(items={item(table).name: item(table) for table in chosen}, open_draft=draft)
    member = SimpleNamespace(votes=lambda asked: votes and asked == EPOCH)
    context = SimpleNamespace(member=member, voters=Voters(EPOCH, ("c",)))
    sent = []
    voters = LeaseVotes(context, SimpleNamespace(replica=replica), lambda: CurrentVoters(EPOCH, ("c",)))
    voters.on_renew(
        SimpleNamespace(send=sent.append), RenewLease(9, epoch, "baskets", owner, ranges, lease_ms)
    )
    *others, answer = sent
    assert isinstance(answer, LeaseAnswer) and (answer.number, answer.epoch) == (9, epoch)
    return answer.confirmed, others


def test_a_voter_confirms_each_range_that_a_server_owns():
    ranges = (FencedRange(KeyRange(0, 9), 1), FencedRange(KeyRange(50, 150), 1), FencedRange(ALL_KEYS, 2))
    assert ask(ranges=ranges) == ((True, True, False), [])
    assert ask(chosen=[HALF_REVOKED], ranges=(*ranges, FencedRange(KeyRange(100, 200), 1)))[0] == (
        False,
        False,
        False,
        True,
    )
    assert ask(owner=B)[0] == ask(chosen=[])[0] == (False,)


def test_a_revocation_that_was_accepted_counts_before_it_is_chosen():
    assert ask(drafted=[HALF_REVOKED])[0] == (False,)
    assert ask(drafted=[HALF_REVOKED], ranges=(FencedRange(KeyRange(100, 200), 1),))[0] == (True,)
    assert ask(drafted=[ShardTable("others").change(assignments=[Assignment(ALL_KEYS, B)])])[0] == (True,)


def test_an_assignment_that_was_only_accepted_is_not_confirmed():
    assigned = HALF_REVOKED.change(assignments=[Assignment(KeyRange(0, 99), B)])
    held = (FencedRange(KeyRange(0, 99), assigned.version),)
    assert ask(chosen=[HALF_REVOKED], drafted=[assigned], owner=B, ranges=held)[0] == (False,)
    assert ask(chosen=[], drafted=[OWNED])[0] == (False,)


def test_no_lease_is_confirmed_that_is_longer_than_the_chosen_table_and_an_open_draft_allow():
    longer = OWNED.allowing_leases(6000).change()
    assert ask(lease_ms=OWNED.max_lease_ms + 1)[0] == (False,)
    assert ask(drafted=[longer], lease_ms=6000)[0] == (False,)
    assert ask(chosen=[longer], lease_ms=6000)[0] == (True,)
    assert ask(chosen=[longer], lease_ms=6001)[0] == (False,)


@pytest.mark.parametrize(("epoch", "is_told"), [(EPOCH - 1, True), (EPOCH, False), (EPOCH + 1, False)])
def test_no_voter_of_the_epoch_confirms_nothing(epoch, is_told):
    confirmed, others = ask(epoch=epoch, votes=False)
    assert confirmed == ()
    assert others == ([CurrentVoters(EPOCH, ("c",))] if is_told else [])
