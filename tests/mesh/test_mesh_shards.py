"""The table of key ranges, and the arithmetic of leases."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mesh.state import configuration
from mesh.state.configuration import Item
from mesh.state.key_leases import CLOCK_DRIFT, LeaseBook, LeaseTimes, hold_duration
from mesh.state.shards import (
    ALL_KEYS,
    LAST_KEY,
    NOBODY,
    Assignment,
    FencedRange,
    KeyRange,
    Owner,
    Revocation,
    ShardTable,
)

A, B = Owner("node-a", "i-a"), Owner("node-b", "i-b")
OWNERS = [A, B, Owner("node-c", "i-c")]


def test_a_new_table_has_one_shard_that_nobody_owns():
    table = ShardTable("baskets")
    assert [shard.owner for shard in table.shards] == [NOBODY]
    assert table.find(0) == table.find(LAST_KEY)


def test_a_part_of_a_shard_is_revoked_and_assigned_under_a_higher_fence():
    table = ShardTable("baskets").change(assignments=[Assignment(ALL_KEYS, A)])
    middle = KeyRange(100, 199)
    revoked = table.change(revocations=[Revocation(middle, B)])
    assert [shard.active for shard in revoked.shards] == [True, False, True]
    assert revoked.find(150).successor == B
    assert revoked.confirms(A, FencedRange(KeyRange(0, 99), 1))
    assert not revoked.confirms(A, FencedRange(KeyRange(0, 100), 1))
    assigned = revoked.change(assignments=[Assignment(middle, B, "token")])
    shard = assigned.find(150)
    assert (shard.owner, shard.fence, shard.handover) == (B, 3, "token")
    assert assigned.confirms(B, FencedRange(middle, 3))
    assert not assigned.confirms(A, FencedRange(middle, 1))


def test_a_range_is_not_confirmed_under_another_fence():
    table = ShardTable("baskets").change(assignments=[Assignment(ALL_KEYS, A)])
    assert not table.confirms(A, FencedRange(ALL_KEYS, 2))


changes = st.lists(
    st.tuples(
        st.booleans(),
        st.integers(0, LAST_KEY),
        st.integers(0, LAST_KEY),
        st.sampled_from(OWNERS),
        st.sampled_from(OWNERS),
    ),
    max_size=12,
)


@given(changes)
def test_a_table_covers_all_keys_and_survives_its_encoding(rows):
    table, fences = ShardTable("baskets"), {}
    for revoke, one, other, owner, successor in rows:
        keys = KeyRange(min(one, other), max(one, other))
        if revoke:
            table = table.change(revocations=[Revocation(keys, successor)])
        else:
            table = table.change(assignments=[Assignment(keys, owner)])
            fences[table.version] = owner
        assert ShardTable.decode(table.item_name, table.version, table.encode()) == table
        for key in (0, keys.first, keys.last, LAST_KEY):
            shard = table.find(key)
            assert shard.range.first <= key <= shard.range.last
            assert shard.owner == fences.get(shard.fence, NOBODY)


def test_the_longest_lease_of_a_table_is_the_first_proposers_and_never_decreases():
    table = ShardTable("baskets").allowing_leases(3000).change(assignments=[Assignment(ALL_KEYS, A)])
    assert table.max_lease_ms == 3000
    assert ShardTable.decode(table.item_name, table.version, table.encode()) == table
    assert table.allowing_leases(6000).change().allowing_leases(3000).change().max_lease_ms == 6000


def test_a_table_with_a_gap_is_rejected():
    content = json.dumps(
        {"owners": [["", ""]], "shards": [[0, 10, 0, 0, 0, "", 0], [12, LAST_KEY, 0, 0, 0, "", 0]]}
    )
    with pytest.raises(ValueError):
        ShardTable.decode("shards/baskets", 1, content)


def test_the_assignment_of_keys_is_no_part_of_the_configuration_that_operators_read():
    table = ShardTable("baskets").change(assignments=[Assignment(ALL_KEYS, A)])
    items = configuration.merge(configuration.EMPTY, [Item(table.item_name, table.version, table.encode())])
    routing_table, conflicts = configuration.build_table(items)
    assert routing_table.shards["baskets"] == table
    assert not conflicts
    assert b"shards" not in configuration.to_json(items)


def test_a_server_is_told_a_hold_that_ends_before_the_lease_by_a_slow_clock():
    hold_s = hold_duration(now=10.0, lease_ends_at=15.0, transit_s=0.25)
    assert 10.0 + 0.25 + hold_s * (1 + CLOCK_DRIFT) <= 15.0
    assert hold_duration(now=16.0, lease_ends_at=15.0) == 0.0


def test_a_server_whose_clock_loses_its_whole_drift_holds_no_range_longer_than_it_is_leased():
    hold_s = hold_duration(now=10.0, lease_ends_at=15.0)
    assert 10.0 + hold_s / (1 - CLOCK_DRIFT) <= 15.0


def test_a_range_is_reassigned_only_after_its_lease_by_clocks_that_drift_apart():
    times = LeaseTimes.of_bound(10.0)
    assert times.reassignment_delay_s >= times.lease_s * (1 + CLOCK_DRIFT) / (1 - CLOCK_DRIFT)


def test_a_lease_covers_parts_of_its_range_under_the_same_fence_only():
    book = LeaseBook()
    book.renew(FencedRange(KeyRange(0, 99), 4), 20.0)
    assert book.ends_at(10.0, FencedRange(KeyRange(0, 49), 4)) == 20.0
    assert book.ends_at(10.0, FencedRange(KeyRange(0, 49), 5)) == 10.0
    assert book.ends_at(10.0, FencedRange(KeyRange(50, 100), 4)) == 10.0
    book.expire(20.0)
    assert book.ends_at(20.0, FencedRange(KeyRange(0, 49), 4)) == 20.0
