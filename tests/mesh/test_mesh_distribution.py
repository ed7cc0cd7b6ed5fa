"""Distribution of the configuration to sidecars: once over each connection, and through another controller if
the followed one fails."""

from __future__ import annotations

import asyncio

import cbor2
from hypothesis import given
from hypothesis import strategies as st
from mesh_world import World
from operator_calls import change, route, service
from test_mesh_faults import until

from mesh.state.configuration import Item
from mesh.state.distribution import (
    MAX_RECORDS_PULL_DELAY_S,
    PULL_DELAY_S,
    RECORDS_PULL_INTERVAL_S,
    ConfigurationCopy,
    ControllerSelector,
    RecordsComparison,
    RecordsDigest,
)
from mesh.transport import messages
from mesh.transport.connection import pack
from mesh.transport.messages import kind_of

ITEMS = st.builds(Item, st.sampled_from("abc"), st.integers(1, 3), st.sampled_from(["", "x", "y"]))


@given(st.lists(ITEMS), st.lists(ITEMS))
def test_the_digest_of_a_copy_does_not_depend_on_the_order_of_merges(one, other):
    here, there = ConfigurationCopy(), ConfigurationCopy()
    for items in (one, other):
        here.merge(items)
    for items in (other, one):
        there.merge(items)
    assert here.items == there.items and here.digest == there.digest
    assert not here.items_differing_from(there.bucket_digests())
    empty = ConfigurationCopy()
    assert empty.digest == 0 and bool(here.digest) == bool(here.items)
    assert not empty.merge([]) and {
        item.name for item in here.items_differing_from(empty.bucket_digests())
    } == set(here.items)


def test_a_controller_of_the_own_zone_is_preferred_and_kept_while_connected():
    following = ControllerSelector("me", "east")
    zones = {"far": "west", "near": "east", "next": "east"}
    assert following.choose(["far"], {"far": "west"}) == "far"
    found = following.choose(["far", "near"], zones)
    assert found == "near"
    assert following.choose(["far", "near", "next"], zones) is None  # no needless change
    following.on_disconnect("near")
    assert following.choose(["far", "next"], zones) == "next"
    assert following.choose([], zones) == ""


def test_another_controller_is_asked_once_for_items_that_the_followed_one_does_not_send():
    following = ControllerSelector("me", "east")
    following.choose(["a", "b"], {"a": "east", "b": "west"})
    assert not following.on_digest(0.0, "b", 7, 7) and not following.on_digest(0.0, "b", 0, 7)
    assert following.on_digest(1.0, "b", 9, 7)
    assert (
        following.should_pull(1.1, "b", 7, heard_at=1.09) is None
    )  # the followed one is sending: it may be on its way
    assert following.should_pull(1.1 + PULL_DELAY_S, "b", 9, heard_at=1.0) is False  # it has arrived
    assert following.should_pull(1.1 + PULL_DELAY_S, "b", 7, heard_at=1.0) is True
    assert (
        following.should_pull(1.3 + PULL_DELAY_S, "b", 7, heard_at=1.0) is False
    )  # asked already, and nothing has changed
    following.on_digest(1.4, "c", 11, 7)
    assert following.should_pull(1.4 + PULL_DELAY_S, "c", 7, heard_at=1.0) is None  # waiting for a response
    following.on_pull_answered()
    assert following.should_pull(1.4 + PULL_DELAY_S, "c", 7, heard_at=1.0) is True
    following.on_digest(3.0, "b", 12, 7)
    assert following.should_pull(4.0, "b", 7, heard_at=4.0) is True  # it keeps sending other messages


def _bytes_received(world: World, message: type[messages.Message]) -> dict[str, int]:
    """Counts the bytes of one message type that each sidecar receives from now on."""
    found: dict[str, int] = {}

    def count(process, by, packed):
        if cbor2.loads(packed[4:])[0] == kind_of(message):
            found[process.host] = found.get(process.host, 0) + len(packed)
        return original(process, by, packed)

    original, world.heard = world.heard, count
    return found


def _all_have_version(world: World, version: int) -> bool:
    roles = [world.machines[name].process.role for name in world.sidecars]
    held = [role.items.get("service/berths") if role is not None else None for role in roles]
    return all(item is not None and item.version >= version for item in held)


async def _ready(world: World, routes: int = 0) -> None:
    """Waits until all controllers have caught up and all sidecars have the first configuration."""
    assert await until(lambda: len(world.caught_up_controllers()) == len(world.controllers))
    many = [route(f"r{at}", 1, f"/{at}/") for at in range(routes)]
    assert await world.patch(0, change([service("berths", 1)], many)) == 200
    assert await until(lambda: _all_have_version(world, 1))


def test_a_starting_sidecar_receives_a_large_table_once():
    async def story(world: World) -> None:
        await _ready(world, 50)
        told = _bytes_received(world, messages.Items)
        world.kill(world.sidecars[0])
        world.start_sidecar(world.sidecars[0])
        assert await until(lambda: _all_have_version(world, 1))
        await asyncio.sleep(2.0)
        whole = len(
            cbor2.dumps([list(item) for item in world.controller(world.controllers[0]).items.values()])
        )
        assert told == {world.sidecars[0]: told[world.sidecars[0]]} and told[world.sidecars[0]] < whole + 50

    played(story)


def played(story, **shape) -> None:
    with World(seed=3, **shape) as world:
        world.start()
        task = world.operator.run(story(world))
        assert world.run(60.0, task.done)
        task.result()


def test_a_change_crosses_each_sidecars_connection_once():
    async def story(world: World) -> None:
        await _ready(world, 50)
        told = _bytes_received(world, messages.Items)
        assert await world.patch(1, change([service("berths", 2)])) == 200
        assert await until(lambda: _all_have_version(world, 2))
        await asyncio.sleep(1.0)
        size = len(
            cbor2.dumps(
                [
                    kind_of(messages.Items),
                    2,
                    [list(world.controller(world.controllers[0]).items["service/berths"])],
                ]
            )
        )
        assert told and all(size <= number < size + 20 for number in told.values())

    played(story)


async def change_passes_frozen_controller(world: World) -> bool:
    """Freezes a followed controller and changes the configuration at another one.

    Returns whether all sidecars have the change within 1.5 s.
    """
    await _ready(world)
    name = world.machines[world.sidecars[0]].process.role.control.selector.controller.partition(":")[0]
    world.freeze(name, 3.0)
    other = next(controller for controller in world.controllers if controller != name)
    status, _ = await world.ask(other, b"PATCH", change([service("berths", 2)]))
    return status == 200 and await until(lambda: _all_have_version(world, 2), 1.5)


def test_a_change_reaches_the_followers_of_a_frozen_controller():
    async def story(world: World) -> None:
        assert await change_passes_frozen_controller(world)

    played(story)


def test_without_pulling_from_others_a_frozen_controller_withholds_the_change(monkeypatch):
    async def story(world: World) -> None:
        assert not await change_passes_frozen_controller(world)

    monkeypatch.setattr(ControllerSelector, "should_pull", lambda *told: False)
    played(story)


def test_a_sidecar_that_follows_a_wiped_controller_gets_the_items_from_another():
    """The wiped controller sends no items until it has caught up; the digests of the others show that items
    are missing."""

    async def story(world: World) -> None:
        await _ready(world)
        for name in world.controllers:
            world.wipe(name, 0.01)
            world.kill(world.sidecars[0])
            world.start_sidecar(world.sidecars[0])
            # the wiped controller itself catches up after 1.1 s
            assert await until(lambda: _all_have_version(world, 1), 1.0)
            assert await until(lambda: len(world.caught_up_controllers()) == len(world.controllers))

    played(story)


# --- sidecars' records

RECORDS = st.tuples(st.sampled_from("abc"), st.integers(1, 3), st.integers(1, 3))


@given(st.lists(RECORDS))
def test_the_records_digest_depends_on_the_latest_records_only(records):
    here, there, last = RecordsDigest(), RecordsDigest(), {}
    for record in records:
        here.update(*record)
        last[record[0]] = record
    for record in reversed(list(last.values())):
        there.update(*record)
    assert here.value == there.value
    for node in last:
        here.remove(node)
        here.remove(node)
    assert here.value == 0


def test_records_are_pulled_once_for_each_difference():
    made = RecordsComparison()
    assert made.should_pull(0.0, "a", 7) is False, "no digest has arrived"
    assert not made.on_digest(0.0, "a", 7, 7) and made.should_pull(0.0, "a", 7) is False
    assert made.on_digest(1.0, "a", 9, 7)
    assert made.should_pull(1.0, "a", 7) is None, "the record may be on its way"
    assert made.should_pull(2.0, "a", 7) is True and made.should_pull(9.0, "a", 7) is False
    assert made.on_digest(2.1, "b", 11, 7)
    assert made.should_pull(3.0, "b", 7) is None, "another controller has just been asked"
    assert made.should_pull(2.0 + RECORDS_PULL_INTERVAL_S, "b", 7) is True
    assert made.on_digest(99.0, "a", 9, 8) and made.should_pull(100.0, "a", 8) is True, (
        "the own digest has changed since"
    )
    made.on_disconnect("a")
    assert made.should_pull(999.0, "a", 5) is False


def test_while_records_keep_changing_a_pull_waits_until_the_difference_has_lasted():
    made, asked = RecordsComparison(), []
    for at in range(60):  # both digests change every 100 ms and are never equal
        now = at / 10
        made.on_digest(now, "a", 1000 + at, 2000 + at)
        if made.should_pull(now + 0.05, "a", 2000 + at):
            asked.append(now)
    assert len(asked) == 1 and asked[0] >= MAX_RECORDS_PULL_DELAY_S - 0.1, "a lasting difference is checked"


def _known_sidecars(world: World, name: str) -> set[str]:
    return set(world.machines[name].process.role.directory.records)


def test_records_are_not_pulled_if_none_is_missing():
    async def story(world: World) -> None:
        asked = _bytes_received(world, messages.PullRecords)
        await _ready(world)
        await asyncio.sleep(2 * MAX_RECORDS_PULL_DELAY_S)
        world.kill(world.sidecars[0])
        world.start_sidecar(world.sidecars[0])
        await asyncio.sleep(2 * MAX_RECORDS_PULL_DELAY_S)
        assert not asked

    played(story, size=3, claimants=5)


def test_a_changed_record_is_sent_to_each_sidecar_once():
    async def story(world: World) -> None:
        await _ready(world)
        await asyncio.sleep(2.0)
        told = _bytes_received(world, messages.Endpoints)
        world.machines[world.sidecars[0]].process.soon(
            lambda: world.machines[world.sidecars[0]].process.role._publish_record()
        )
        await asyncio.sleep(5.0)
        record = world.machines[world.sidecars[0]].process.role.heartbeats.record()
        size = len(pack(messages.Endpoints((record,))))
        assert len(told) == len(world.sidecars) and all(size <= one <= size + 8 for one in told.values())

    played(story, size=5, claimants=5)


async def _forget_a_sidecar(world: World) -> tuple[str, str, str]:
    """Kills a sidecar and waits until it is forgotten.

    Returns it, another sidecar, and the controller that the other one follows.
    """
    await _ready(world)
    late, other, *_ = world.sidecars
    followed = world.machines[other].process.role.control.selector.controller.partition(":")[0]
    world.kill(late)
    await asyncio.sleep(12.0)
    assert late not in _known_sidecars(world, other)
    return late, other, followed


async def learns_of_cut_off_sidecar(world: World) -> bool:
    """Starts a sidecar that is cut off from the controller that another sidecar follows.

    Returns whether the other sidecar learns of it within 4 s.
    """
    late, other, followed = await _forget_a_sidecar(world)
    world.cut(late, 10.0, [followed])
    world.start_sidecar(late)
    return await until(lambda: late in _known_sidecars(world, other), 4.0)


def test_a_sidecar_cut_off_from_the_followed_controller_is_learned_from_another():
    async def story(world: World) -> None:
        assert await learns_of_cut_off_sidecar(world)

    played(story, size=5, claimants=3)


def test_without_records_digests_a_cut_off_sidecar_stays_unknown(monkeypatch):
    async def story(world: World) -> None:
        assert not await learns_of_cut_off_sidecar(world)

    monkeypatch.setattr(RecordsComparison, "should_pull", lambda *told: False)
    played(story, size=5, claimants=3)


def test_a_records_digest_lost_with_its_connection_is_sent_again():
    """The other controllers send their digests of a new sidecar while their connections to the follower are
    cut; after that no record changes, so nothing else would trigger a digest."""

    async def story(world: World) -> None:
        late, other, followed = await _forget_a_sidecar(world)
        world.cut(late, 30.0, [followed])
        world.cut(other, 5.0, set(world.controllers) - {followed})
        world.start_sidecar(late)
        await asyncio.sleep(5.0)
        assert late not in _known_sidecars(world, other)
        assert await until(lambda: late in _known_sidecars(world, other), 6.0)

    played(story, size=5, claimants=3)
