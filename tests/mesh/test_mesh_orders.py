"""Eight orders at once, most acknowledgements lost, each sent again to another controller: what was taken is
never refused, and what was acknowledged is read back with its content, whatever is killed in between."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from mesh_world import World
from operator_calls import InvariantViolation, change, read_back, route, service
from test_mesh_faults import BACK_S, until

from mesh.state import configuration
from mesh.state.configuration import Item

OPERATORS, ORDERS = 8, 4
LOST = 0.7  # of the acknowledgements
SENDS = 12
CLEAR = (200, 400)


async def order(world: World, body: bytes, first: int, refused: list[str]) -> int:
    """Send an order until an acknowledgement is not lost; it goes to another controller each time, at times
    while the one before is still under way."""
    taken = False
    for at in range(SENDS):
        name = world.controllers[(first + at) % len(world.controllers)]
        impatient = world.random.random() < 0.3
        status, answer = await world.ask(name, b"PATCH", body, wait_s=0.02 if impatient else 1.2)
        if status == 400 and taken:
            refused.append(f"{body!r} was taken, and then refused at {name}: {answer!r}")
        taken = taken or status == 200
        if status == 400 or (status == 200 and world.random.random() >= LOST):
            return status
        await asyncio.sleep(world.random.uniform(0, 0.1))
    return 200 if taken else 0


def orders_of(operator: int) -> list[bytes]:
    """Changes of routes that all operators share. Two operators each draw the same versions, with other
    contents."""
    made = []
    for at in range(ORDERS):
        version = 10 + 4 * at + operator // 2
        name = f"r{(operator // 2 + at) % 3}"
        made.append(change((), [route(name, version, f"/{name}/", timeout=f"{1 + operator}s")]))
    return made


async def operate(world: World, operator: int, refused: list[str]) -> None:
    for at, body in enumerate(orders_of(operator)):
        await order(world, body, operator + at, refused)


async def busy(world: World) -> None:
    """All of it, and then everything is read back everywhere."""
    assert await until(lambda: len(world.caught_up_controllers()) == len(world.controllers))
    assert await world.patch(0, change([service("berths", 1)])) == 200
    refused: list[str] = []
    await asyncio.gather(*(operate(world, operator, refused) for operator in range(OPERATORS)))
    if refused:
        raise InvariantViolation(refused[0])
    await asyncio.sleep(2.0)
    assert await until(lambda: len(world.caught_up_controllers()) == len(world.controllers))
    for name in world.controllers:
        for _ in range(20):
            status, body = await world.ask(name, b"GET")
            if status == 200:
                break
            await asyncio.sleep(0.2)
        assert status == 200
        read_back(world, body)


def played(seed: int, size: int = 3, strikes: int = 0) -> World:
    """One play, with kills of the controller at hand, or of all, between drawn pairs of points."""
    world = World(seed=seed, size=size)
    with world:
        for _ in range(strikes):
            point = world.random.randrange(150, 1500)
            everyone = world.random.random() < 0.3
            world.faults_at[point] = kill_all(world) if everyone else lambda name: world.kill(name, BACK_S)
        world.start()
        task = world.operator.run(busy(world))
        assert world.run(120.0, task.done)
        task.result()
    return world


def kill_all(world: World) -> Any:
    def strike(_: str) -> None:
        for at, name in enumerate(world.controllers):
            world.kill(name, BACK_S + 0.05 * at)

    return strike


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("strikes", [0, 3])
def test_an_order_that_was_taken_is_never_refused_and_reads_back(size: int, strikes: int) -> None:
    for seed in range(4):
        played(seed, size, strikes)


def test_found_if_the_same_content_again_counts_as_another(monkeypatch: pytest.MonkeyPatch) -> None:
    """An order sent again is then refused, as its version stands."""
    plain = configuration.validate_change

    def strict(items: configuration.Items, call: tuple[Item, ...]) -> Any:
        stands = [item for item in call if item.name in items and items[item.name].version == item.version]
        return plain(items, [*call, *(item._replace(content="{}") for item in stands)])

    monkeypatch.setattr(configuration, "validate_change", strict)
    with pytest.raises(InvariantViolation, match="taken, and then refused"):
        for seed in range(4):
            played(seed)


def test_found_if_the_larger_content_of_one_version_wins(monkeypatch: pytest.MonkeyPatch) -> None:
    """Another content under a version that stands is then taken in its place."""

    def loose(items: configuration.Items, call: tuple[Item, ...]) -> Any:
        return configuration.Ok(tuple(item for item in call if item.supersedes(items.get(item.name))))

    monkeypatch.setattr(configuration, "validate_change", loose)
    with pytest.raises(InvariantViolation, match="two contents|another content"):
        for seed in range(4):
            played(seed)
