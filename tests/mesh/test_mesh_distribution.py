"""How configuration reaches sidecars: once over each link, and by another controller where the followed one
fails."""

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
    MOST_RECORDS_WAIT_S,
    PULL_DELAY_S,
    RECORDS_PAUSE_S,
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
def test_copies_of_the_same_items_have_one_digest_in_any_order(one, other):
    here, there = ConfigurationCopy(), ConfigurationCopy()
    for items in (one, other):
        here.merge(items)
    for items in (other, one):
        there.merge(items)
    assert here.items == there.items and here.digest == there.digest
    assert not here.differing(there.bucket_digests())
    empty = ConfigurationCopy()
    assert empty.digest == 0 and bool(here.digest) == bool(here.items)
    assert not empty.merge([]) and {item.name for item in here.differing(empty.bucket_digests())} == set(
        here.items
    )


def test_the_own_zones_controller_is_followed_and_kept_while_it_is_there():
    following = ControllerSelector("me", "east")
    zones = {"far": "west", "near": "east", "next": "east"}
    assert following.choose(["far"], {"far": "west"}) == "far"
    found = following.choose(["far", "near"], zones)
    assert found == "near"
    assert following.choose(["far", "near", "next"], zones) is None  # no change without need
    following.on_disconnect("near")
    assert following.choose(["far", "next"], zones) == "next"
    assert following.choose([], zones) == ""


def test_another_is_asked_once_for_what_the_followed_one_does_not_tell():
    following = ControllerSelector("me", "east")
    following.choose(["a", "b"], {"a": "east", "b": "west"})
    assert not following.on_digest(0.0, "b", 7, 7) and not following.on_digest(0.0, "b", 0, 7)
    assert following.on_digest(1.0, "b", 9, 7)
    assert (
        following.should_pull(1.1, "b", 7, heard_at=1.09) is None
    )  # the followed one speaks: it may be coming
    assert following.should_pull(1.1 + PULL_DELAY_S, "b", 9, heard_at=1.0) is False  # it has come
    assert following.should_pull(1.1 + PULL_DELAY_S, "b", 7, heard_at=1.0) is True
    assert (
        following.should_pull(1.3 + PULL_DELAY_S, "b", 7, heard_at=1.0) is False
    )  # asked already, and nothing is new
    following.on_digest(1.4, "c", 11, 7)
    assert following.should_pull(1.4 + PULL_DELAY_S, "c", 7, heard_at=1.0) is None  # an answer is waited for
    following.on_pull_answered()
    assert following.should_pull(1.4 + PULL_DELAY_S, "c", 7, heard_at=1.0) is True
    following.on_digest(3.0, "b", 12, 7)
    assert following.should_pull(4.0, "b", 7, heard_at=4.0) is True  # it speaks all the time, and not of this


def _bytes_told(world: World, message: type[messages.Message]) -> dict[str, int]:
    """Bytes of one kind of message that each sidecar is told, from now on."""
    found: dict[str, int] = {}

    def count(process, by, packed):
        if cbor2.loads(packed[4:])[0] == kind_of(message):
            found[process.host] = found.get(process.host, 0) + len(packed)
        return plain(process, by, packed)

    plain, world.heard = world.heard, count
    return found


def _caught_up(world: World, version: int) -> bool:
    roles = [world.machines[name].process.role for name in world.sidecars]
    held = [role.items.get("service/berths") if role is not None else None for role in roles]
    return all(item is not None and item.version >= version for item in held)


async def _ready(world: World, routes: int = 0) -> None:
    """All count, and all sidecars have the first configuration."""
    assert await until(lambda: len(world.caught_up_controllers()) == len(world.controllers))
    many = [route(f"r{at}", 1, f"/{at}/") for at in range(routes)]
    assert await world.patch(0, change([service("berths", 1)], many)) == 200
    assert await until(lambda: _caught_up(world, 1))


def test_a_sidecar_that_starts_is_told_a_large_table_once():
    async def story(world: World) -> None:
        await _ready(world, 50)
        told = _bytes_told(world, messages.Items)
        world.kill(world.sidecars[0])
        world.start_sidecar(world.sidecars[0])
        assert await until(lambda: _caught_up(world, 1))
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


def test_a_table_goes_over_each_sidecars_link_once_and_a_change_once():
    async def story(world: World) -> None:
        await _ready(world, 50)
        told = _bytes_told(world, messages.Items)
        assert await world.patch(1, change([service("berths", 2)])) == 200
        assert await until(lambda: _caught_up(world, 2))
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


async def frozen(world: World) -> bool:
    """A controller freezes, another takes a change; whether all sidecars have it within 1.5 s."""
    await _ready(world)
    name = world.machines[world.sidecars[0]].process.role.control.following.controller.partition(":")[0]
    world.freeze(name, 3.0)
    other = next(controller for controller in world.controllers if controller != name)
    status, _ = await world.ask(other, b"PATCH", change([service("berths", 2)]))
    return status == 200 and await until(lambda: _caught_up(world, 2), 1.5)


def test_a_followed_controller_that_is_frozen_costs_a_moment():
    async def story(world: World) -> None:
        assert await frozen(world)

    played(story)


def test_without_asking_others_it_costs_the_change(monkeypatch):
    async def story(world: World) -> None:
        assert not await frozen(world)

    monkeypatch.setattr(ControllerSelector, "should_pull", lambda *told: False)
    played(story)


def test_a_sidecar_that_starts_beside_a_controller_that_knows_nothing_yet_hears_from_another():
    """The controller that it follows has just lost its disk: it tells nothing, and others that there is
    more."""

    async def story(world: World) -> None:
        await _ready(world)
        for name in world.controllers:
            world.wipe(name, 0.01)
            world.kill(world.sidecars[0])
            world.start_sidecar(world.sidecars[0])
            # a wiped controller itself is whole after 1.1 s
            assert await until(lambda: _caught_up(world, 1), 1.0)
            assert await until(lambda: len(world.caught_up_controllers()) == len(world.controllers))

    played(story)


# --- records of sidecars

RECORDS = st.tuples(st.sampled_from("abc"), st.integers(1, 3), st.integers(1, 3))


@given(st.lists(RECORDS))
def test_the_digest_of_records_is_that_of_those_that_stand(records):
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


def test_a_controller_is_asked_for_all_records_once_for_each_difference():
    made = RecordsComparison()
    assert made.should_pull(0.0, "a", 7) is False, "it has told nothing"
    assert not made.on_digest(0.0, "a", 7, 7) and made.should_pull(0.0, "a", 7) is False
    assert made.on_digest(1.0, "a", 9, 7)
    assert made.should_pull(1.0, "a", 7) is None, "it may be on its way"
    assert made.should_pull(2.0, "a", 7) is True and made.should_pull(9.0, "a", 7) is False
    assert made.on_digest(2.1, "b", 11, 7)
    assert made.should_pull(3.0, "b", 7) is None, "another has just been asked"
    assert made.should_pull(2.0 + RECORDS_PAUSE_S, "b", 7) is True
    assert made.on_digest(99.0, "a", 9, 8) and made.should_pull(100.0, "a", 8) is True, (
        "this place has changed since"
    )
    made.on_disconnect("a")
    assert made.should_pull(999.0, "a", 5) is False


def test_while_records_change_everywhere_none_is_asked_at_once():
    made, asked = RecordsComparison(), []
    for at in range(60):  # both change each tenth of a second, and are never the same at one moment
        now = at / 10
        made.on_digest(now, "a", 1000 + at, 2000 + at)
        if made.should_pull(now + 0.05, "a", 2000 + at):
            asked.append(now)
    assert len(asked) == 1 and asked[0] >= MOST_RECORDS_WAIT_S - 0.1, "a difference that lasts is looked into"


def _known(world: World, name: str) -> set[str]:
    return set(world.machines[name].process.role.directory.records)


def test_where_nothing_is_lacking_nobody_asks_for_all_records():
    async def story(world: World) -> None:
        asked = _bytes_told(world, messages.PullRecords)
        await _ready(world)
        await asyncio.sleep(2 * MOST_RECORDS_WAIT_S)
        world.kill(world.sidecars[0])
        world.start_sidecar(world.sidecars[0])
        await asyncio.sleep(2 * MOST_RECORDS_WAIT_S)
        assert not asked

    played(story, size=3, claimants=5)


def test_a_record_that_changes_is_told_to_each_sidecar_once():
    async def story(world: World) -> None:
        await _ready(world)
        await asyncio.sleep(2.0)
        told = _bytes_told(world, messages.Endpoints)
        world.machines[world.sidecars[0]].process.soon(
            lambda: world.machines[world.sidecars[0]].process.role._tell_record()
        )
        await asyncio.sleep(5.0)
        record = world.machines[world.sidecars[0]].process.role.beats.record()
        size = len(pack(messages.Endpoints((record,))))
        assert len(told) == len(world.sidecars) and all(size <= one <= size + 8 for one in told.values())

    played(story, size=5, claimants=5)


async def _one_is_forgotten(world: World) -> tuple[str, str, str]:
    """A sidecar that ends and is forgotten, another one, and the controller that this one follows."""
    await _ready(world)
    late, other, *_ = world.sidecars
    followed = world.machines[other].process.role.control.following.controller.partition(":")[0]
    world.kill(late)
    await asyncio.sleep(12.0)
    assert late not in _known(world, other)
    return late, other, followed


async def hidden(world: World) -> bool:
    """A sidecar starts that the controller which another follows can't reach; whether the other knows it
    soon."""
    late, other, followed = await _one_is_forgotten(world)
    world.cut(late, 10.0, [followed])
    world.start_sidecar(late)
    return await until(lambda: late in _known(world, other), 4.0)


def test_who_is_cut_off_from_the_followed_controller_is_known_by_another():
    async def story(world: World) -> None:
        assert await hidden(world)

    played(story, size=5, claimants=3)


def test_without_digests_of_records_it_stays_unknown(monkeypatch):
    async def story(world: World) -> None:
        assert not await hidden(world)

    monkeypatch.setattr(RecordsComparison, "should_pull", lambda *told: False)
    played(story, size=5, claimants=3)


def test_a_digest_of_records_that_was_lost_with_its_connection_is_told_again():
    """While the others tell of a sidecar that the followed controller can't reach, their connections to one
    that follows it are cut; after that nothing is news any more."""

    async def story(world: World) -> None:
        late, other, followed = await _one_is_forgotten(world)
        world.cut(late, 30.0, [followed])
        world.cut(other, 5.0, set(world.controllers) - {followed})
        world.start_sidecar(late)
        await asyncio.sleep(5.0)
        assert late not in _known(world, other)
        assert await until(lambda: late in _known(world, other), 6.0)

    played(story, size=5, claimants=3)
