"""Catching up after hundreds of changes, while changes go on, on a slow disk, and with hundreds of grants."""

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
ROUTES = 12  # that are changed
CATCH_UP_S = 4.0
BODY = b"x" * 2000  # stored answer of an operation
MANY = 600  # grants with such an answer, sent in about ten parts

Story = Callable[[World], Coroutine[Any, Any, None]]


def run_scenario(world: World, story: Story) -> World:
    with world:
        world.start()
        task = world.operator.run(story(world))
        if not world.run(200.0, task.done):
            raise InvariantViolation("a scenario does not end")
        task.result()
    return world


async def set_up(world: World) -> None:
    assert await until(lambda: len(world.caught_up_controllers()) == len(world.controllers))
    routes = [route(f"r{at}", 1, f"/{at}/") for at in range(ROUTES)]
    assert await world.patch(0, change([service("berths", 1)], routes)) == 200


async def send_changes(world: World, first: int, count: int) -> None:
    """Sends changes one after the other to the controllers that are not behind."""
    for version in range(first, first + count):
        at = version % ROUTES
        body = change((), [route(f"r{at}", version, f"/{at}/", timeout=f"{1 + version % 9}s")])
        if await world.patch(1 + version % 2, body) != 200:
            raise InvariantViolation(f"r{version} was not accepted")
        await asyncio.sleep(GAP_S)


def caught_up(world: World, name: str) -> bool:
    """Whether a controller has caught up, is in contact, and holds all acknowledged changes."""
    role = world.controller(name)
    if role is None or not role.caught_up or not role.in_contact:
        return False
    newest = {item.name: item.version for _, item in world.acknowledged_at[:-3]}
    return all(role.items[name].version >= version for name, version in newest.items())


async def miss_changes(world: World) -> None:
    """Restarts a controller on a slow disk after it has missed hundreds of changes, while more are sent."""
    await set_up(world)
    name = world.controllers[0]
    world.power_off(name)
    await send_changes(world, 2, 300)
    world.machines[name].disk.slow = 30.0
    world.start_controller(name)
    more = asyncio.ensure_future(send_changes(world, 302, 200))
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


def test_a_controller_that_missed_hundreds_of_changes_catches_up_while_more_arrive() -> None:
    run_scenario(World(seed=5), miss_changes)


def test_detects_missing_comparison_of_copies(monkeypatch: pytest.MonkeyPatch) -> None:
    async def never(heartbeats: Heartbeats, *told: Any) -> None:
        return

    monkeypatch.setattr(Heartbeats, "_compare", never)
    with pytest.raises(InvariantViolation, match="it has not caught up"):
        run_scenario(World(seed=5), miss_changes)


async def freeze_proposer(world: World) -> None:
    """Freezes a proposer in the middle of a change and checks that its stale messages have no effect."""
    await set_up(world)
    name = world.controllers[0]
    late = asyncio.ensure_future(world.ask(name, b"PATCH", change((), [route("r0", 2, "/0/", timeout="7s")])))
    await asyncio.sleep(0.006)  # its prepare requests are on their way
    world.freeze(name, 12.0)
    await asyncio.sleep(2.0)
    await send_changes(world, 3, 2 * ROUTES)
    await late
    await asyncio.sleep(12.0)
    for one in world.controllers:
        assert await until(lambda one=one: caught_up(world, one))
        status, body = await world.ask(one, b"GET")
        assert status == 200
        read_back(world, body)


def test_late_messages_of_a_frozen_controller_have_no_effect() -> None:
    for seed in range(6):
        run_scenario(World(seed=seed), freeze_proposer)


# --- grants


def store_grants(role: Controller, count: int) -> None:
    """Stores grants with answers in a controller."""
    now = role.context.wall_time()
    for number in range(count):
        role.grants.registry.claim(now, f"k{number}", f"t{number}", 30.0)
        role.grants.registry.complete(now, f"k{number}", f"t{number}", [200, [], BODY])


def record_part_sizes(world: World) -> list[int]:
    """Records the sizes of grant parts sent from now on."""
    sizes: list[int] = []
    original = world.heard

    def heard(process: Any, by: Any, packed: bytes) -> None:
        if cbor2.loads(packed[4:])[0] == kind_of(messages.GrantsAnswer):
            sizes.append(len(packed))
        original(process, by, packed)

    world.heard = heard  # type: ignore[method-assign]
    return sizes


async def wipe_one(world: World) -> None:
    """Wipes a controller while the others hold more grants than fit into one message."""
    await set_up(world)
    wiped, *others = world.controllers
    for name in others:
        role = world.controller(name)
        assert role is not None
        store_grants(role, MANY)
    sizes = record_part_sizes(world)
    world.wipe(wiped, 0.01)
    assert await until(lambda: world.caught_up_controllers() == world.controllers, 8.0)
    role = world.controller(wiped)
    assert role is not None
    if len(role.grants.registry) != MANY:
        raise InvariantViolation(f"{len(role.grants.registry)} of {MANY} grants came back")
    assert len(sizes) > 10 and max(sizes) < 1.5 * PART_BYTES
    assert role.grants.registry.get(role.context.wall_time(), "k7").response == [200, [], BODY]  # type: ignore[union-attr]


def test_a_wiped_controller_fetches_grants_in_parts() -> None:
    run_scenario(World(seed=2), wipe_one)


async def kill_sender(world: World) -> None:
    """Kills the controller that sends the parts; another one has to send them from the beginning."""
    await set_up(world)
    wiped, *others = world.controllers
    for name in others:
        role = world.controller(name)
        assert role is not None
        store_grants(role, MANY)
    sizes = record_part_sizes(world)
    world.wipe(wiped, 0.01)
    assert await until(lambda: len(sizes) >= 3)
    world.kill(others[0], 1.0)
    assert await until(lambda: world.caught_up_controllers() == world.controllers, 8.0)
    role = world.controller(wiped)
    assert role is not None
    if len(role.grants.registry) != MANY:
        raise InvariantViolation(f"{len(role.grants.registry)} of {MANY} grants came back")


def test_no_grant_is_lost_if_the_sender_of_parts_dies() -> None:
    for seed in range(4):
        run_scenario(World(seed=seed), kill_sender)


def test_detects_taking_the_first_part_for_all(monkeypatch: pytest.MonkeyPatch) -> None:
    fetch = Recovery._fetch_part

    async def only(recovery: Recovery, *told: Any) -> Any:
        answer = await fetch(recovery, *told)
        return None if answer is None else messages.GrantsAnswer(**{
            **{name: getattr(answer, name) for name in answer.__struct_fields__}, "more": False
        })  # fmt: skip

    monkeypatch.setattr(Recovery, "_fetch_part", only)
    with pytest.raises(InvariantViolation, match="grants came back"):
        run_scenario(World(seed=2), wipe_one)
