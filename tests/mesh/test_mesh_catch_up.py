"""Catching up: after hundreds of changes, while changes go on, on a slow disk; and grants by the thousand."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import cbor2
import pytest
from mesh_world import World
from operator_calls import InvariantViolation, change, read_back, route, service
from test_mesh_faults import until

from mesh.control.controller import Controller
from mesh.control.heartbeats import Heartbeats
from mesh.control.recovery import Recovery
from mesh.state.idempotency import PART_BYTES
from mesh.transport import messages
from mesh.transport.messages import kind_of

GAP_S = 1 / 30  # between two changes
ROUTES = 12  # that they are about
CATCH_UP_S = 4.0
BODY = b"x" * 2000  # of an answer that is kept
MANY = 600  # grants with such an answer: some ten parts

Story = Callable[[World], Coroutine[Any, Any, None]]


def play(world: World, story: Story) -> World:
    with world:
        world.start()
        task = world.operator.run(story(world))
        if not world.run(200.0, task.done):
            raise InvariantViolation("a play has no end")
        task.result()
    return world


async def begun(world: World) -> None:
    assert await until(lambda: len(world.caught_up_controllers()) == len(world.controllers))
    routes = [route(f"r{at}", 1, f"/{at}/") for at in range(ROUTES)]
    assert await world.patch(0, change([service("berths", 1)], routes)) == 200


async def changing(world: World, first: int, count: int) -> None:
    """So many changes, one after the other, at the controllers that are not behind."""
    for version in range(first, first + count):
        at = version % ROUTES
        body = change((), [route(f"r{at}", version, f"/{at}/", timeout=f"{1 + version % 9}s")])
        if await world.patch(1 + version % 2, body) != 200:
            raise InvariantViolation(f"r{version} was not taken")
        await asyncio.sleep(GAP_S)


def caught_up(world: World, name: str) -> bool:
    """Whether a controller counts, is in contact, and holds all changes that were acknowledged."""
    role = world.controller(name)
    if role is None or not role.counts or not role.in_contact:
        return False
    newest = {item.name: item.version for _, item in world.acked_at[:-3]}
    return all(role.items[name].version >= version for name, version in newest.items())


async def behind(world: World) -> None:
    """One is away for hundreds of changes, comes back with a slow disk, and they go on."""
    await begun(world)
    name = world.controllers[0]
    world.power_off(name)
    await changing(world, 2, 300)
    world.machines[name].disk.slow = 30.0
    world.start_controller(name)
    more = asyncio.ensure_future(changing(world, 302, 200))
    if not await until(lambda: caught_up(world, name), CATCH_UP_S):
        raise InvariantViolation("it has not caught up")
    assert not more.done(), "changes went on meanwhile"
    await more
    status, body = await world.ask(name, b"GET")
    assert status == 200
    read_back(world, body)
    role = world.controller(name)
    assert role is not None
    assert sum(record[0] == "item" for record in role._records()) == ROUTES + 1, "no history is kept"


def test_one_that_was_away_for_hundreds_of_changes_catches_up_while_they_go_on() -> None:
    play(World(seed=5), behind)


def test_found_if_nobody_compares(monkeypatch: pytest.MonkeyPatch) -> None:
    async def never(heartbeats: Heartbeats, *told: Any) -> None:
        return

    monkeypatch.setattr(Heartbeats, "_compare", never)
    with pytest.raises(InvariantViolation, match="caught up"):
        play(World(seed=5), behind)


async def old_state_leads_nowhere(world: World) -> None:
    """What one that was away held, and what it had under way, changes nothing when it is back."""
    await begun(world)
    name = world.controllers[0]
    late = asyncio.ensure_future(world.ask(name, b"PATCH", change((), [route("r0", 2, "/0/", timeout="7s")])))
    await asyncio.sleep(0.006)  # its promises are on their way
    world.freeze(name, 12.0)
    await asyncio.sleep(2.0)
    await changing(world, 3, 2 * ROUTES)
    await late
    await asyncio.sleep(12.0)
    for one in world.controllers:
        assert await until(lambda one=one: caught_up(world, one))
        status, body = await world.ask(one, b"GET")
        assert status == 200
        read_back(world, body)


def test_the_late_messages_of_one_that_stood_still_change_nothing() -> None:
    for seed in range(6):
        play(World(seed=seed), old_state_leads_nowhere)


# --- grants


def granted(role: Controller, count: int) -> None:
    """Have a controller hold so many grants with answers."""
    now = role.context.wall_time()
    for number in range(count):
        role.grants.registry.claim(now, f"k{number}", f"t{number}", 30.0)
        role.grants.registry.done(now, f"k{number}", f"t{number}", [200, [], BODY])


def parts_told(world: World) -> list[int]:
    """Sizes of the parts of grants that are told from now on."""
    sizes: list[int] = []
    plain = world.heard

    def heard(process: Any, by: Any, packed: bytes) -> None:
        if cbor2.loads(packed[4:])[0] == kind_of(messages.GrantsAnswer):
            sizes.append(len(packed))
        plain(process, by, packed)

    world.heard = heard  # type: ignore[method-assign]
    return sizes


async def emptied(world: World) -> None:
    """One loses its disk; the others hold more grants than one message should carry."""
    await begun(world)
    wiped, *others = world.controllers
    for name in others:
        role = world.controller(name)
        assert role is not None
        granted(role, MANY)
    sizes = parts_told(world)
    world.wipe(wiped, 0.01)
    assert await until(lambda: world.caught_up_controllers() == world.controllers, 8.0)
    role = world.controller(wiped)
    assert role is not None
    if len(role.grants.registry) != MANY:
        raise InvariantViolation(f"{len(role.grants.registry)} of {MANY} grants came back")
    assert len(sizes) > 10 and max(sizes) < 1.5 * PART_BYTES
    assert role.grants.registry.look(role.context.wall_time(), "k7").answer == [200, [], BODY]  # type: ignore[union-attr]


def test_an_emptied_disk_fetches_thousands_of_grants_in_parts() -> None:
    play(World(seed=2), emptied)


async def sender_dies(world: World) -> None:
    """The one that tells the parts is killed among them: another is asked from the beginning."""
    await begun(world)
    wiped, *others = world.controllers
    for name in others:
        role = world.controller(name)
        assert role is not None
        granted(role, MANY)
    sizes = parts_told(world)
    world.wipe(wiped, 0.01)
    assert await until(lambda: len(sizes) >= 3)
    world.kill(others[0], 1.0)
    assert await until(lambda: world.caught_up_controllers() == world.controllers, 8.0)
    role = world.controller(wiped)
    assert role is not None
    if len(role.grants.registry) != MANY:
        raise InvariantViolation(f"{len(role.grants.registry)} of {MANY} grants came back")


def test_a_sender_that_dies_among_the_parts_costs_none() -> None:
    for seed in range(4):
        play(World(seed=seed), sender_dies)


def test_found_if_the_first_part_is_taken_for_all(monkeypatch: pytest.MonkeyPatch) -> None:
    fetch = Recovery._fetch_part

    async def only(recovery: Recovery, *told: Any) -> Any:
        answer = await fetch(recovery, *told)
        return None if answer is None else messages.GrantsAnswer(**{
            **{name: getattr(answer, name) for name in answer.__struct_fields__}, "more": False
        })  # fmt: skip

    monkeypatch.setattr(Recovery, "_fetch_part", only)
    with pytest.raises(InvariantViolation, match="grants came back"):
        play(World(seed=2), emptied)
