"""Checksums of transferred items and grants: corrupted ones are dropped and requested again."""

from __future__ import annotations

import json

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st
from mesh_world import World
from operator_calls import change, service
from test_mesh_distribution import played as in_a_world
from test_mesh_faults import claimed, until
from test_mesh_sidecar import FakeConnection, with_sidecar

from mesh.proxy import control_client
from mesh.state.ballots import Ballot
from mesh.state.configuration import Item
from mesh.state.idempotency import GrantRow
from mesh.transport import messages
from mesh.transport.messages import (
    FetchAnswer,
    GrantsAnswer,
    Items,
    Pull,
    checksum,
    decode,
    encode,
    kind_of,
    matches_checksum,
)

VALUES = st.recursive(
    st.none() | st.integers(-(2**100), 2**100) | st.floats(allow_nan=False) | st.text() | st.binary(),
    lambda inner: st.lists(inner, max_size=3),
    max_leaves=6,
)
GRANTS = st.builds(
    GrantRow, st.text(), st.text(), st.integers(0, 4), st.floats(0, 9), st.floats(0, 9), VALUES
)
ROWS = st.lists(st.builds(Item, st.text(), st.integers(0, 2**100), st.text()))


@given(ROWS, st.lists(GRANTS))
def test_a_checksum_survives_encoding_and_decoding(items, grants):
    sent = Items(1, tuple(items), checksum(items))
    found = decode(cbor2.loads(cbor2.dumps(encode(sent))))
    assert isinstance(found, Items) and matches_checksum(found.items, found.checksum)
    answer = GrantsAnswer(1, True, tuple(grants), 1, Ballot(0, ""), False, checksum(grants))
    told = decode(cbor2.loads(cbor2.dumps(encode(answer))))
    assert isinstance(told, GrantsAnswer) and matches_checksum(told.rows, told.checksum)


@given(ROWS.filter(bool), st.data())
def test_different_rows_have_different_checksums(items, data):
    at = data.draw(st.integers(0, len(items) - 1))
    other = items.copy()
    other[at] = items[at]._replace(version=items[at].version + 1)
    assert checksum(other) != checksum(items) and checksum(items[:at]) != checksum(items)
    assert matches_checksum(other, None), "an older version sends no checksum"


@with_sidecar
def _corrupted_items(harness):
    scheduled = []
    harness.sidecar.context.loop.call_later = lambda wait_s, *call: scheduled.append((wait_s, call))
    link = FakeConnection("c1")
    item = Item("service/extra", 7, json.dumps({"name": "extra", "revision": "r7"}))
    corrupted = Items(1, (item,), checksum((item,)) ^ 1)
    harness.sidecar.control.on_items(link, corrupted)
    assert "service/extra" not in harness.sidecar.items and not link.sent, "neither merged nor acknowledged"
    ((wait_s, (pull, *told)),) = scheduled
    pull(*told)
    assert wait_s == control_client.PULL_TIMEOUT_S and link.sent[0][0] == kind_of(Pull)
    harness.sidecar.control.on_items(link, Items(2, (item,), checksum((item,))))
    assert harness.sidecar.items["service/extra"] == item


def test_a_sidecar_requests_corrupted_items_again():
    _corrupted_items()


def corrupt_checksums(world: World, kind: type[messages.Message], times: int) -> list[int]:
    """Corrupts the checksum of the next messages of a type, at any receiver."""
    corrupted: list[int] = []
    field = kind.__struct_fields__.index("checksum") + 1  # the message kind comes first

    def change_checksum(packed: bytes) -> bytes:
        row = cbor2.loads(packed[4:])
        if row[0] != kind_of(kind) or len(corrupted) == times or row[field] is None:
            return packed
        corrupted.append(row[field])
        row[field] ^= 1
        encoded = cbor2.dumps(row)
        return len(encoded).to_bytes(4, "big") + encoded

    world.corrupt = change_checksum
    return corrupted


@pytest.mark.parametrize("kind", [FetchAnswer, GrantsAnswer])
def test_a_wiped_controller_recovers_completely_despite_corrupted_answers(kind):
    async def story(world: World) -> None:
        assert await until(lambda: len(world.caught_up_controllers()) == len(world.controllers))
        assert await world.patch(0, change([service("berths", 1)])) == 200
        assert await claimed(world, world.sidecars[0], "key") == "RUN"
        corrupted = corrupt_checksums(world, kind, 6)
        name = world.controllers[0]
        world.wipe(name, 0.01)
        assert await until(lambda: name in world.caught_up_controllers(), 8.0)
        assert len(corrupted) == 6
        role = world.controller(name)
        assert role is not None and "service/berths" in role.items and len(role.grants.registry)

    in_a_world(story)


def test_a_revision_with_many_digits_reaches_sidecars_and_a_wiped_controller():
    async def story(world: World) -> None:
        assert await until(lambda: len(world.caught_up_controllers()) == len(world.controllers))
        version = 10**30
        assert await world.patch(0, change([service("berths", version)])) == 200
        roles = [world.machines[name].process.role for name in world.sidecars]

        def all_hold_it() -> bool:
            found = [role.items.get("service/berths") for role in roles]
            return all(item is not None and item.version == version for item in found)

        assert await until(all_hold_it)
        name = world.controllers[0]
        world.wipe(name, 0.01)
        assert await until(lambda: name in world.caught_up_controllers(), 4.0)
        assert world.controller(name).items["service/berths"].version == version

    in_a_world(story)
