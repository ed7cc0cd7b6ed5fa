"""Decisions of the planner of key ranges: each reason to move a range, and what stays where it is."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.control.server_directory import ServerDirectory
from mesh.control.shard_facts import ShardFacts
from mesh.control.shard_planner import (
    ARRIVAL_PAUSE_S,
    MAX_MOVING_SHARE,
    MAX_SHARDS,
    MAX_SHARDS_OF_OWNER,
    MISSING_GRACE_S,
    SETTLE_S,
    Plan,
    Reason,
    Situation,
    plan,
)
from mesh.state.key_leases import LeaseTimes
from mesh.state.shard_load import bucket_of
from mesh.state.shards import (
    ALL_KEYS,
    KEY_COUNT,
    NOBODY,
    Assignment,
    KeyRange,
    Owner,
    ReleasedRange,
    Revocation,
    ShardTable,
)
from mesh.transport.messages import SidecarRecord

SERVICE = "baskets"
DELAY_S = LeaseTimes.of_bound(10.0).reassignment_delay_s
SLOTS = 5


class Play:
    """One controller's view of a service, with a clock; a server's node has the name of its number."""

    def __init__(self, servers: int = 0) -> None:
        self.now = 100.0
        self.facts, self.directory = ShardFacts(SERVICE), ServerDirectory()
        self.watching_since = self.now
        self.planned = Plan()
        for number in range(servers):
            self.register(number)
        if servers:
            self.now += ARRIVAL_PAUSE_S
            self.step()
            self.now += SETTLE_S

    def register(self, number: int, life: int = 1, is_open: bool = True, service: str = SERVICE) -> Owner:
        instance = f"i-{number}-{life}" if life else ""
        record = SidecarRecord(
            f"n{number:03}", "", "east", service, instance, SLOTS, is_open, 0.0, 1, int(self.now * 1000)
        )
        self.directory.register(self.now, record)
        return Owner(record.node, instance)

    def disconnect(self, number: int) -> None:
        self.directory.disconnect(self.now, f"n{number:03}")

    def plan(self) -> Plan:
        return plan(Situation(self.now, self.facts, self.directory.nodes, self.watching_since, DELAY_S))

    def step(self) -> list[Reason]:
        """Plans once and applies the plan; returns the reasons of its moves."""
        self.planned = self.plan()
        if not self.planned.is_empty:
            table = self.facts.table
            self.facts.learn(self.now, table.change(self.planned.revocations, self.planned.assignments))
        return [move.reason for move in self.planned.moves]

    def release_all(self, handover: str = "") -> None:
        """Has the sidecars report all revoked ranges as released."""
        for shard in self.facts.table.shards:
            if shard.revoked:
                released = ReleasedRange(shard.range, shard.fence, handover)
                self.facts.add_releases(shard.owner, [released])

    def settle(self) -> set[Reason]:
        """Plans until nothing is left to do; returns the reasons of all moves."""
        reasons: set[Reason] = set()
        for _ in range(200):
            reasons |= set(self.step())
            if self.planned.is_empty:
                return reasons
            self.release_all()
        raise AssertionError("the plans do not come to an end")

    def shares(self) -> dict[Owner, float]:
        """Returns the share of the keys by active owner."""
        shares: dict[Owner, float] = {}
        for shard in self.facts.table.shards:
            if shard.active:
                shares[shard.owner] = shares.get(shard.owner, 0.0) + shard.range.size / KEY_COUNT
        return shares

    def add_load(self, work_by_key: dict[int, float]) -> None:
        """Has the owners report the load of some keys."""
        by_owner: dict[Owner, dict[int, float]] = {}
        for key, work in work_by_key.items():
            by_owner.setdefault(self.facts.table.find(key).owner, {})[bucket_of(key)] = work
        for owner in {shard.owner for shard in self.facts.table.shards}:
            self.facts.add_load(self.now, owner, by_owner.get(owner, {}))


def test_the_first_assignment_waits_for_arrivals_and_gives_each_server_two_distant_stripes():
    play = Play()
    for number in range(35):
        play.register(number)
        play.now += 0.05
        assert play.plan().is_empty
    play.now += ARRIVAL_PAUSE_S
    assert set(play.step()) == {Reason.FIRST}
    shares = play.shares()
    assert len(shares) == 35 and max(shares.values()) < 1.1 * min(shares.values())
    assert len(play.facts.table.shards) == 70
    assert play.plan().is_empty


@pytest.mark.parametrize("servers", [1, 2, 300, 700])
def test_any_number_of_servers_gets_all_keys_in_a_bounded_number_of_ranges(servers):
    play = Play(servers)
    assert sum(play.shares().values()) == pytest.approx(1.0)
    assert len(play.facts.table.shards) <= MAX_SHARDS


def test_nothing_moves_without_reason():
    play = Play(35)
    for _ in range(20):
        play.now += 1.0
        play.add_load({key: 0.02 for key in range(0, KEY_COUNT, 64)})
        assert play.plan().is_empty


def test_a_server_that_has_ended_is_replaced_by_the_next_one_at_its_place():
    play = Play(4)
    next_owner = play.register(1, life=2)
    assert set(play.step()) == {Reason.ENDED}
    assert {revocation.successor for revocation in play.planned.revocations} == {next_owner}
    assert play.plan().is_empty
    play.release_all("token")
    play.step()
    owned = play.facts.table.owned_by(next_owner)
    assert len(owned) == 2 and {shard.handover for shard in owned} == {"token"}


@pytest.mark.parametrize("way", ["no connection", "no instance", "never heard of"])
def test_a_missing_server_is_given_up_after_a_grace_and_its_keys_after_the_longest_lease(way):
    play = Play(8)
    missing = play.directory.nodes["n001"].owner
    if way == "no connection":
        play.disconnect(1)
    elif way == "no instance":
        play.register(1, life=0)
    else:
        play.directory.remove("n001")
        play.watching_since = play.now - MISSING_GRACE_S
    play.now += 0.9 * MISSING_GRACE_S
    assert play.plan().is_empty
    play.now += 0.2 * MISSING_GRACE_S
    assert set(play.step()) == {Reason.MISSING}
    assert len({revocation.successor for revocation in play.planned.revocations}) > 1
    play.now += 0.99 * DELAY_S
    assert play.plan().is_empty
    play.now += 0.02 * DELAY_S
    play.step()
    assert missing not in play.shares() and sum(play.shares().values()) == pytest.approx(1.0)


def test_servers_are_not_missing_right_after_contact_is_regained():
    play = Play(4)
    play.disconnect(1)
    play.now += 60.0
    play.watching_since = play.now
    assert play.plan().is_empty


def test_a_closed_server_gives_up_everything_unless_no_other_is_open():
    play = Play(2)
    play.register(0, is_open=False)
    assert set(play.step()) == {Reason.CLOSED}
    play.release_all()
    play.step()
    assert len(play.shares()) == 1
    play.register(1, is_open=False)
    assert play.plan().is_empty


def test_a_range_goes_to_another_server_if_its_successor_has_closed():
    play = Play(4)
    play.register(0, is_open=False)
    play.step()
    successor = play.planned.revocations[0].successor
    play.register(int(successor.node[1:]), is_open=False)
    play.release_all()
    play.step()
    assert play.planned.assignments
    assert successor not in {assignment.owner for assignment in play.planned.assignments}


def test_a_part_that_was_released_is_assigned_before_the_rest():
    play = Play(2)
    play.register(0, is_open=False)
    play.step()
    (first, *_) = [shard for shard in play.facts.table.shards if shard.revoked]
    part = KeyRange(first.range.first, first.range.first + 63)
    others = [ReleasedRange(first.range, fence, "other") for fence in (first.fence + 1, first.fence + 9)]
    play.facts.add_releases(first.owner, [*others, ReleasedRange(part, first.fence, "token")])
    play.step()
    assert [(one.range, one.handover) for one in play.planned.assignments] == [(part, "token")]


def test_each_part_of_a_revoked_range_has_the_time_of_its_own_revocation():
    facts, owner, successor = ShardFacts(SERVICE), Owner("n1", "i-1"), Owner("n2", "i-2")
    table = ShardTable(SERVICE).change(assignments=[Assignment(ALL_KEYS, owner)])
    parts = [KeyRange(400, 499), KeyRange(200, 299), KeyRange(300, 399), KeyRange(100, 199)]
    for now, part in enumerate(parts):
        table = table.change(revocations=[Revocation(part, successor)])
        facts.learn(float(now), table)
    for now in range(len(parts)):
        due = [found.shard.range for found in facts.reassignable(now + DELAY_S + 0.1, DELAY_S)]
        assert sorted(due) == sorted(parts[: now + 1])


@pytest.mark.parametrize("arriving", [1, 6])
def test_new_servers_get_a_fair_share_in_small_moves(arriving):
    play = Play(35)
    for number in range(35, 35 + arriving):
        play.register(number)
    rounds = 0
    while play.step():
        assert set(move.reason for move in play.planned.moves) == {Reason.NEW_SERVER}
        assert sum(move.keys.size for move in play.planned.moves) <= MAX_MOVING_SHARE * KEY_COUNT
        play.release_all()
        play.step()
        rounds += 1
    assert rounds <= 1 + arriving // 3
    shares = play.shares()
    assert len(shares) == 35 + arriving
    assert all(0.4 / 35 < share < 1.1 / 35 for share in shares.values())


def test_a_new_server_takes_load_from_the_busiest():
    play = Play(8)
    busiest = play.facts.table.find(0).owner
    play.add_load({key: 0.1 for key in range(0, 512, 64)} | {key: 0.01 for key in range(0, KEY_COUNT, 1024)})
    play.register(8)
    play.step()
    assert busiest in {play.facts.table.find(one.range.first).owner for one in play.planned.revocations}


def test_an_overloaded_server_gives_up_its_excess_once():
    play = Play(8)
    source = play.facts.table.find(0).owner
    busy = {key: 0.5 for key in range(0, 512, 64)}  # 4 of its 5 slots
    play.add_load(busy)
    assert play.step() == [Reason.OVERLOAD]
    play.release_all()
    play.step()
    play.add_load(busy)
    assert play.plan().is_empty  # what is left is not worth a move, and the rest has just arrived
    work = sum(busy[key] for key in busy if play.facts.table.find(key).owner == source)
    assert 1.0 <= work <= 3.0


def test_a_hot_key_keeps_its_server_for_itself():
    play = Play(8)
    hot = 1000
    load = {key: 0.02 for key in range(0, KEY_COUNT, 512)} | {hot: 4.5}
    play.add_load(load)
    server = play.facts.table.find(hot).owner
    assert play.settle() == {Reason.HOT_KEY}
    assert [shard.range for shard in play.facts.table.owned_by(server)] == [KeyRange(960, 1023)]
    play.add_load(load)
    assert play.plan().is_empty
    play.register(0 if server.node != "n000" else 1, is_open=False)
    play.settle()
    assert len(play.facts.table.owned_by(server)) == 1  # nothing onto it


def test_a_range_that_was_assigned_recently_moves_only_off_a_server_that_has_left():
    play = Play(8)
    play.now -= SETTLE_S
    play.add_load({key: 0.5 for key in range(0, 512, 64)})
    play.register(8)
    assert play.plan().is_empty
    play.register(0, is_open=False)
    assert set(play.step()) == {Reason.CLOSED}


def test_a_table_stays_small_however_often_servers_come_and_go():
    play = Play(12)
    for life in range(2, 30):
        number = life % 12
        play.register(number, is_open=False)
        play.settle()
        play.now += SETTLE_S
        play.register(number, life)
        play.settle()
        play.now += SETTLE_S
        table = play.facts.table
        assert len(table.shards) <= MAX_SHARDS
        assert all(len(table.owned_by(owner)) <= MAX_SHARDS_OF_OWNER for owner in play.shares())
        assert len(play.shares()) == 12


events = st.lists(
    st.tuples(
        st.sampled_from(["wait", "restart", "close", "open", "cut", "release", "load", "plan"]),
        st.integers(0, 5),
        st.floats(0.0, 3.0),
    ),
    max_size=40,
)


@settings(deadline=None, max_examples=60)
@given(events)
def test_no_range_is_assigned_before_its_revocation_is_released_or_old(rows):
    play, lives = Play(6), dict.fromkeys(range(6), 1)
    revoked_at: dict[tuple[int, int], float] = {}  # by first key of a bucket and fence
    released: set[tuple[int, int]] = set()
    for event, number, draw in rows:
        if event == "wait":
            play.now += draw
        elif event == "restart":
            lives[number] += 1
            play.register(number, lives[number])
        elif event in ("open", "close"):
            play.register(number, lives[number], is_open=event == "open")
        elif event == "cut":
            play.disconnect(number)
        elif event == "load":
            play.add_load({int(draw * 20000) + 64 * step: 0.5 for step in range(number + 1)})
        elif event == "release":
            shards = [shard for shard in play.facts.table.shards if shard.revoked]
            for shard in shards[number : number + 1]:
                half = KeyRange(shard.range.first, shard.range.first + (shard.range.size // 128) * 64 + 63)
                part = half.intersection(shard.range)
                play.facts.add_releases(shard.owner, [ReleasedRange(part, shard.fence, "token")])
                released |= {(key, shard.fence) for key in range(part.first, part.last + 1, 64)}
        before = play.facts.table
        play.step()
        for revocation in play.planned.revocations:
            for key in range(revocation.range.first, revocation.range.last + 1, 64):
                shard = before.find(key)
                assert shard.active
                revoked_at.setdefault((key, shard.fence), play.now)
        for assignment in play.planned.assignments:
            for key in range(assignment.range.first, assignment.range.last + 1, 64):
                shard = before.find(key)
                assert shard.revoked or shard.owner == NOBODY
                is_old = play.now - revoked_at.get((key, shard.fence), play.now) >= DELAY_S
                assert shard.owner == NOBODY or is_old or (key, shard.fence) in released
        assert all(
            shard.range.first % 64 == 0 and shard.range.last % 64 == 63 for shard in play.facts.table.shards
        )


# --- fences that a server refuses


def test_a_range_whose_fence_its_owner_refuses_is_assigned_to_it_again_under_a_higher_one():
    play = Play(servers=3)
    before = play.facts.table.shards[0]
    part = KeyRange(before.range.first, before.range.first + 99)
    play.facts.add_releases(before.owner, [ReleasedRange(part, before.fence, "token")])
    assert play.step() == [Reason.REFUSED]
    assert [revocation.range for revocation in play.planned.revocations] == [part]
    assert play.step() == []
    after = play.facts.table.find(part.first)
    assert (after.range, after.owner, after.handover, after.active) == (part, before.owner, "token", True)
    assert after.fence > before.fence
    assert play.settle() == set()


def test_refused_parts_that_overlap_are_revoked_once_and_those_of_a_server_that_leaves_with_the_rest():
    play = Play(servers=3)
    first, second = play.facts.table.shards[:2]
    for shard in (first, second):
        keys = shard.range
        overlapping = [KeyRange(keys.first, keys.first + 99), KeyRange(keys.first + 50, keys.first + 149)]
        play.facts.add_releases(shard.owner, [ReleasedRange(part, shard.fence, "") for part in overlapping])
    play.register(int(second.owner.node[1:]), is_open=False)
    reasons = play.step()
    assert Reason.REFUSED in reasons and Reason.CLOSED in reasons
    revoked = sorted(revocation.range for revocation in play.planned.revocations)
    assert all(one.last < other.first for one, other in itertools.pairwise(revoked))
    play.settle()
    assert all(shard.active for shard in play.facts.table.shards)
