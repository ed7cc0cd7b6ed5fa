"""Concurrent operators that lose most acknowledgements and resend each change to another controller.

An accepted change must never be rejected later, and an acknowledged one must be read back with its content,
whichever controllers are killed in between.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from mesh_world import World
from operator_calls import InvariantViolation, change, read_back, route, service
from test_mesh_faults import BACK_S, until

from mesh.state import configuration
from mesh.state.configuration import Item

OPERATORS, CHANGES_EACH = 8, 4
LOSS_RATE = 0.7  # share of the acknowledgements that operators do not receive
MAX_SENDS = 12
CLEAR = (200, 400)


async def send_change(world: World, body: bytes, first: int, rejected: list[str]) -> int:
    """Sends a change until an acknowledgement is not lost, each time to another controller.

    Some attempts start while the previous one is still in progress.
    """
    accepted = False
    for at in range(MAX_SENDS):
        name = world.controllers[(first + at) % len(world.controllers)]
        impatient = world.random.random() < 0.3
        status, answer = await world.ask(name, b"PATCH", body, wait_s=0.02 if impatient else 1.2)
        if status == 400 and accepted:
            rejected.append(f"{body!r} was accepted, and then rejected at {name}: {answer!r}")
        accepted = accepted or status == 200
        if status == 400 or (status == 200 and world.random.random() >= LOSS_RATE):
            return status
        await asyncio.sleep(world.random.uniform(0, 0.1))
    return 200 if accepted else 0


def changes_of(operator: int) -> list[bytes]:
    """Returns changes of routes that all operators share.

    Pairs of operators use the same versions with different contents.
    """
    made = []
    for at in range(CHANGES_EACH):
        version = 10 + 4 * at + operator // 2
        name = f"r{(operator // 2 + at) % 3}"
        made.append(change((), [route(name, version, f"/{name}/", timeout=f"{1 + operator}s")]))
    return made


async def operate(world: World, operator: int, rejected: list[str]) -> None:
    for at, body in enumerate(changes_of(operator)):
        await send_change(world, body, operator + at, rejected)


async def operate_all(world: World) -> None:
    """Runs all operators, then reads everything back from each controller."""
    assert await until(lambda: len(world.caught_up_controllers()) == len(world.controllers))
    assert await world.patch(0, change([service("berths", 1)])) == 200
    rejected: list[str] = []
    await asyncio.gather(*(operate(world, operator, rejected) for operator in range(OPERATORS)))
    if rejected:
        raise InvariantViolation(rejected[0])
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


def played(seed: int, size: int = 3, kills: int = 0) -> World:
    """Runs one scenario; at random fault points one controller, or all of them, is killed."""
    world = World(seed=seed, size=size)
    with world:
        for _ in range(kills):
            point = world.random.randrange(150, 1500)
            kill_everyone = world.random.random() < 0.3
            world.faults_at[point] = (
                kill_all(world) if kill_everyone else lambda name: world.kill(name, BACK_S)
            )
        world.start()
        task = world.operator.run(operate_all(world))
        assert world.run(120.0, task.done)
        task.result()
    return world


def kill_all(world: World) -> Any:
    def strike(_: str) -> None:
        for at, name in enumerate(world.controllers):
            world.kill(name, BACK_S + 0.05 * at)

    return strike


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("kills", [0, 3])
def test_an_accepted_change_is_never_rejected_and_reads_back(size: int, kills: int) -> None:
    for seed in range(4):
        played(seed, size, kills)


def test_detects_rejection_of_a_resent_change(monkeypatch: pytest.MonkeyPatch) -> None:
    """A resent change is rejected, as its version is current already."""
    original = configuration.validate_change

    def reject_repeats(items: configuration.Items, call: tuple[Item, ...]) -> Any:
        current = [item for item in call if item.name in items and items[item.name].version == item.version]
        return original(items, [*call, *(item._replace(content="{}") for item in current)])

    monkeypatch.setattr(configuration, "validate_change", reject_repeats)
    with pytest.raises(InvariantViolation, match="accepted, and then rejected"):
        for seed in range(4):
            played(seed)


def test_detects_replacement_of_content_under_one_version(monkeypatch: pytest.MonkeyPatch) -> None:
    """A different content under the current version replaces the acknowledged one."""

    def accept_any_content(items: configuration.Items, call: tuple[Item, ...]) -> Any:
        return configuration.Ok(tuple(item for item in call if item.supersedes(items.get(item.name))))

    monkeypatch.setattr(configuration, "validate_change", accept_any_content)
    with pytest.raises(InvariantViolation, match="two contents|another content"):
        for seed in range(4):
            played(seed)
