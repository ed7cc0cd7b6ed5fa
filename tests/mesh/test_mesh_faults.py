"""Fault injection at numbered points: real controllers and claimants on simulated time, with one fault at
each point in turn."""

from __future__ import annotations

import asyncio
import gc
import multiprocessing
import os
import random
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import pytest
from mesh_world import World
from operator_calls import InvariantViolation, change, read_back, route, service, versions_in

from mesh.control import recovery
from mesh.control.consensus import Replica
from mesh.control.controller import Controller
from mesh.state.ballots import Ballot, Draft
from mesh.state.configuration import Item
from mesh.state.quorum import Voters
from mesh.transport import messages
from mesh.transport.messages import kind_of

BACK_S = 0.3  # until a failed machine is back
NEWEST = 10_000  # greater than any version in a scenario
WORKERS = min(6, os.cpu_count() or 1)


async def until(holds: Callable[[], bool], limit_s: float = 8.0) -> bool:
    """Waits on the operator's event loop until a condition holds; returns whether it does in time."""
    loop = asyncio.get_running_loop()
    end = loop.time() + limit_s
    while not holds():
        if loop.time() > end:
            return False
        await asyncio.sleep(0.05)
    return True


async def claimed(world: World, name: str, key: str) -> str:
    """Claims a key and returns the outcome."""
    outcome = world.claim(name, key)
    if not await until(lambda: bool(outcome), 3.0):
        raise InvariantViolation(f"a claim of {key} got no outcome")
    return outcome[0]


async def run_workload(world: World) -> None:
    """Runs the operator's changes and the claims, during which the fault is injected."""
    one, two = world.sidecars
    if not await until(lambda: len(world.caught_up_controllers()) >= len(world.controllers) // 2 + 1, 4.0):
        return
    await until(lambda: all(world.machines[name].process.role.voters.names for name in world.sidecars))
    await world.patch(0, change([service("berths", 1), service("crew", 1)], [route("a", 1, "/a/")]))
    if await claimed(world, one, "k1") == "RUN":
        world.record(one, "k1")
    await world.patch(1, change([service("berths", 2)], [route("a", 2, "/a/", "crew"), route("b", 1, "/b/")]))
    pair = [world.patch(at, change((), [route("x", at, "/x/", timeout=f"{at}s")])) for at in (1, 2)]
    await asyncio.gather(*pair, claimed(world, one, "k2"), claimed(world, two, "k2"))
    await world.patch(2, change((), (), [("b", 2)]))
    await asyncio.gather(claimed(world, two, "k1"), claimed(world, two, "k3"))


async def check_recovery(world: World) -> None:
    """Checks that after recovery all acknowledged state is there and new changes and claims succeed."""
    names = world.controllers
    if not await until(lambda: world.caught_up_controllers() == names, 8.0 if world.acknowledged else 3.0):
        if world.acknowledged or any(key.ran for key in world.keys.values()):
            raise InvariantViolation(f"only {world.caught_up_controllers()} caught up")
        return
    for name in names:
        for _ in range(20):
            status, body = await world.ask(name, b"GET")
            if status == 200:
                break
            await asyncio.sleep(0.2)
        if status != 200:
            raise InvariantViolation(f"{name} can't be read")
        read_back(world, body)
    for at, key in enumerate(sorted(world.keys)):
        await claimed(world, world.sidecars[at % 2], key)  # the world checks that none runs twice
    if await world.patch(len(names) - 1, change([service("crew", NEWEST)])) != 200:
        raise InvariantViolation("no change is accepted any more")
    for at in range(10):
        if await claimed(world, world.sidecars[0], f"new {at}") == "RUN":
            return
        await asyncio.sleep(0.2)
    raise InvariantViolation("no key is granted any more")


def run_scenario(world: World) -> World:
    """Runs a whole scenario: workload, then recovery checks."""
    with world:
        world.start()
        for part in (run_workload, check_recovery):
            task = world.operator.run(part(world))
            if not world.run(90.0, task.done):
                raise InvariantViolation("a scenario does not end")
            task.result()
            world.workload_points = world.workload_points or world.points
    return world


Strike = Callable[[World, str], None]


def power_of_one(world: World, name: str) -> None:
    world.power_off(name, BACK_S)


def power_of_all(world: World, name: str) -> None:
    for at, one in enumerate(world.controllers):
        world.power_off(one, BACK_S + 0.05 * at)


def kill_of_all(world: World, name: str) -> None:
    for at, one in enumerate(world.controllers):
        world.kill(one, BACK_S + 0.05 * at)


def wipe_of_one(world: World, name: str) -> None:
    world.wipe(name, 0.01)


def wipe_while_all_others_lose_power(world: World, name: str) -> None:
    for one in world.controllers:
        if one != name:
            world.power_off(one, BACK_S)
    world.wipe(name, 0.01)


def cut_of_one(world: World, name: str) -> None:
    world.cut(name, 2.0)


STRIKES: tuple[Strike, ...] = (
    power_of_one,
    power_of_all,
    kill_of_all,
    wipe_of_one,
    wipe_while_all_others_lose_power,
    cut_of_one,
)


def both(one: Strike, two: Strike) -> Strike:
    """Combines two faults, the second one at another controller."""

    def strike(world: World, name: str) -> None:
        other = world.random.choice([controller for controller in world.controllers if controller != name])
        one(world, name)
        two(world, other)

    return strike


PAIRS = tuple(
    both(one, two)
    for one, two in (
        (wipe_of_one, wipe_of_one),
        (wipe_of_one, power_of_one),
        (power_of_one, power_of_one),
        (cut_of_one, wipe_of_one),
        (cut_of_one, power_of_one),
    )
)


def run_with_fault(strike: Strike, at: int, **how: Any) -> World:
    """Runs a scenario with a fault at one of its points."""
    world = World(**how)
    world.faults_at[at] = lambda name: strike(world, name)
    run_scenario(world)
    assert not world.faults_at, "the fault was not injected"
    return world


def outcome(job: tuple[int, int, int, int]) -> str:
    """Runs one scenario (fault, point, seed, size) and returns the violation, or an empty string."""
    at, point, seed, size = job
    try:
        losses = 1 if at < len(STRIKES) else 2
        run_with_fault((STRIKES + PAIRS)[at], point, seed=seed, size=size, losses=losses)
    except InvariantViolation as broken:
        return str(broken)
    return ""


def outcomes(jobs: list[tuple[int, int, int, int]]) -> dict[tuple[int, int, int, int], str]:
    """Runs scenarios in parallel processes and returns the violations."""
    fork = multiprocessing.get_context("fork")
    with ProcessPoolExecutor(WORKERS, mp_context=fork, initializer=gc.freeze) as pool:
        found = zip(jobs, pool.map(outcome, jobs, chunksize=8), strict=True)
        return {job: broken for job, broken in found if broken}


def test_a_scenario_without_faults_succeeds_and_is_deterministic() -> None:
    worlds = [run_scenario(World(seed=3)) for _ in range(2)]
    assert len({(world.points, world.now) for world in worlds}) == 1
    assert worlds[0].workload_points > 150 and set(worlds[0].acknowledged) == {
        "service/berths",
        "service/crew",
        "route/a",
        "route/b",
        "route/x",
    }
    assert [len(worlds[0].keys[key].ran) for key in ("k1", "k2", "k3")] == [1, 1, 1]


@pytest.mark.parametrize("strike", range(len(STRIKES)), ids=[strike.__name__ for strike in STRIKES])
def test_a_fault_at_any_point_loses_nothing_acknowledged_and_no_key_runs_twice(strike: int) -> None:
    points = run_scenario(World(seed=1)).workload_points
    assert outcomes([(strike, point, 1, 3) for point in range(1, points + 1)]) == {}


@pytest.mark.parametrize(("size", "losses"), [(4, 1), (4, 2), (7, 1), (7, 2)])
def test_larger_clusters_survive_one_or_two_losses_at_any_point(size: int, losses: int) -> None:
    draw = random.Random(size * losses)
    strikes = range(len(STRIKES)) if losses == 1 else range(len(STRIKES), len(STRIKES + PAIRS))
    jobs = []
    for seed in (1, 2):
        points = run_scenario(World(seed=seed, size=size, losses=losses)).workload_points
        jobs += [(draw.choice(strikes), point, seed, size) for point in draw.sample(range(1, points + 1), 20)]
    assert outcomes(jobs) == {}


OVERLAPS = tuple(  # more losses at once than are tolerated, but no more lost disks than are
    both(one, two)
    for one, two in (
        (power_of_one, power_of_one),
        (wipe_of_one, power_of_one),
        (cut_of_one, wipe_of_one),
        (cut_of_one, power_of_one),
    )
)
THREE = both(wipe_of_one, both(power_of_one, wipe_of_one))


def overlapped(job: tuple[int, int, int]) -> str:
    """Runs one scenario with overlapping losses (faults, point, size) and returns the violation."""
    at, point, size = job
    losses = (size - 1) // 2
    try:
        run_with_fault(THREE if size > 3 else OVERLAPS[at], point, size=size, losses=losses)
    except InvariantViolation as broken:
        return str(broken)
    return ""


@pytest.mark.parametrize(("size", "at"), [(3, 0), (3, 1), (3, 2), (3, 3), (5, 0)])
def test_overlapping_losses_beyond_the_budget_interrupt_service_but_lose_nothing(size: int, at: int) -> None:
    points = run_scenario(World(size=size, losses=(size - 1) // 2)).workload_points
    jobs = [(at, point, size) for point in range(1 + at, points + 1, 3)]
    fork = multiprocessing.get_context("fork")
    with ProcessPoolExecutor(WORKERS, mp_context=fork, initializer=gc.freeze) as pool:
        found = dict(zip(jobs, pool.map(overlapped, jobs, chunksize=8), strict=True))
    assert {job: broken for job, broken in found.items() if broken} == {}


def test_duplicated_and_reordered_messages_break_nothing() -> None:
    """Covers messages whose answers are not counted. TCP rules this out within one connection, but not over
    two consecutive ones."""
    for seed in range(30):
        world = World(seed=seed)
        world.reordered_kinds = frozenset(
            {
                kind_of(messages.Hello),
                kind_of(messages.Commit),
                kind_of(messages.Abandon),
                kind_of(messages.Items),
                kind_of(messages.ItemsReceived),
                kind_of(messages.Register),
                kind_of(messages.Endpoints),
                kind_of(messages.ClaimKey),
                kind_of(messages.ClaimAnswer),
                kind_of(messages.KeyDone),
                kind_of(messages.FreeKey),
            }
        )
        run_scenario(world)


def test_a_temporarily_hanging_or_failing_disk_loses_nothing_acknowledged() -> None:
    for seed in range(12):
        world = World(seed=seed)
        disk = world.machines[world.controllers[seed % 3]].disk
        if seed % 2:
            world.faults_at[90 + seed] = lambda name, disk=disk, world=world: setattr(
                disk, "stalled_until", world.now + 1.0
            )
        else:
            world.faults_at[90 + seed] = lambda name, disk=disk, world=world: (
                setattr(disk, "healthy", False),
                world.after(1.0, lambda: setattr(disk, "healthy", True)),
            )
        run_scenario(world)
        disks = []
        for name in world.controllers:
            held: dict[str, int] = {}  # newest version of each item on this disk
            disk = world.machines[name].disk
            disk.written = []
            for record in disk.records():
                if record[0] == "item":
                    held[record[1][0]] = max(record[1][1], held.get(record[1][0], 0))
            disks.append(held)
        for name, items in world.acknowledged.items():
            newest = max(item.version for item in items)
            assert sum(held.get(name, 0) >= newest for held in disks) >= 2


# --- concurrent writers


async def ready(world: World) -> None:
    """Waits until all controllers have caught up and are connected, and creates the services."""
    assert await until(lambda: world.caught_up_controllers() == world.controllers)
    await asyncio.sleep(0.5)
    assert await world.patch(0, change([service("berths", 1), service("crew", 1)])) == 200


def race(seed: int, one: bytes, two: bytes, slow_s: float) -> tuple[World, list[int], list[dict[str, int]]]:
    """Sends two changes through two controllers at about the same time.

    Returns the world, both statuses, and the versions that each controller holds in the end.
    """
    world = World(seed=seed, claimants=0)
    draw = random.Random(seed)
    answers = [0, 0]
    there: list[dict[str, int]] = []

    async def write(at: int, name: str, body: bytes) -> None:
        await asyncio.sleep(draw.uniform(0, 0.05))
        answers[at], _ = await world.ask(name, b"PATCH", body, 2.0)

    async def writers() -> None:
        await ready(world)
        world.delay_s = (0.001, slow_s)
        names = draw.sample(world.controllers, 2)
        await asyncio.gather(write(0, names[0], one), write(1, names[1], two))
        world.delay_s = (0.001, 0.004)
        await asyncio.sleep(4.0)
        for name in world.controllers:
            status, body = await world.ask(name, b"GET")
            assert status == 200
            read_back(world, body)
            there.append(versions_in(body))

    with world:
        world.start()
        task = world.operator.run(writers())
        assert world.run(60.0, task.done)
        task.result()
        assert len({frozenset(world.controller(name).items.items()) for name in world.controllers}) == 1
    return world, answers, there


@pytest.mark.parametrize("slow_s", [0.004, 0.05, 0.3])
def test_of_two_conflicting_concurrent_routes_at_most_one_is_acknowledged(slow_s: float) -> None:
    one, two = (change((), [route(name, 1, "/p/")]) for name in "xy")
    seen = set()
    for seed in range(40):
        _, answers, _ = race(seed, one, two, slow_s)
        assert answers != [200, 200], seed
        seen.add(tuple(answers))
    assert {(200, 400), (400, 200)} <= seen or slow_s == 0.3


@pytest.mark.parametrize("slow_s", [0.004, 0.05, 0.3])
def test_concurrent_writes_of_one_item_leave_one_content_and_the_newest_acknowledged_version(
    slow_s: float,
) -> None:
    for seed in range(20):
        one = change((), [route("x", 1, "/p/", "berths")])
        two = change((), [route("x", 1 + seed % 2, "/p/", "crew")])
        world, _, there = race(seed, one, two, slow_s)
        assert there[0] == there[1] == there[2]
        assert world.acknowledged.get("route/x", []) == [] or "route/x" in there[0]


# --- mutations: each safeguard removed


async def frozen_writer(world: World, answers: list[int]) -> None:
    """Freezes a proposer between prepare and accept phase while another's change is chosen."""
    await ready(world)
    slow, _, quick = world.controllers
    controller: Any = world.controller(slow)
    agreement = controller.agreement
    prepare = agreement._prepare

    async def then_freeze(voters: Voters) -> Any:
        prepared = await prepare(voters)
        if prepared is not None:
            agreement._prepare = prepare
            world.freeze(slow, 1.5)
            await asyncio.sleep(0)
        return prepared

    agreement._prepare = then_freeze

    async def second() -> None:
        await asyncio.sleep(0.1)
        while answers[1] not in (200, 400):
            answers[1], _ = await world.ask(quick, b"PATCH", change((), [route("y", 1, "/p/")]))

    async def first() -> None:
        answers[0], _ = await world.ask(slow, b"PATCH", change((), [route("x", 1, "/p/")]), 5.0)

    await asyncio.gather(first(), second())


def frozen() -> list[int]:
    world, answers = World(claimants=0), [0, 0]
    with world:
        world.start()
        task = world.operator.run(frozen_writer(world, answers))
        assert world.run(30.0, task.done)
        task.result()
    return answers


def test_a_frozen_proposer_is_rejected_once_another_ballot_was_promised() -> None:
    assert frozen() == [503, 200]


def test_detects_acceptance_without_a_promise(monkeypatch: pytest.MonkeyPatch) -> None:
    def accept(replica: Replica, ballot: Ballot, sequence: int, items: tuple[Item, ...]) -> Replica:
        return replica._replace(draft=Draft(replica.sequence + 1, ballot, items))

    monkeypatch.setattr(Replica, "accept", accept)
    assert frozen() == [200, 200]


async def late_claim(world: World) -> None:
    """Wipes the one controller that has granted a key before the claim reaches the others."""
    one, two = world.sidecars
    await ready(world)
    await until(
        lambda: all(len(world.machines[name].process.role.voters.names) == 3 for name in world.sidecars)
    )
    first, wiped, last = world.controllers
    world.cut(one, 0.6, [first, last])
    outcome = world.claim(one, "k")
    await asyncio.sleep(0.05)
    assert world.keys["k"].grants == {f"{one}/0": {wiped}}
    world.wipe(wiped, 0.01)
    await asyncio.sleep(0.35)
    await claimed(world, two, "k")
    await until(lambda: bool(outcome))


def claimed_late() -> list[str]:
    world = World()
    with world:
        world.start()
        task = world.operator.run(late_claim(world))
        assert world.run(30.0, task.done)
        task.result()
    return world.keys["k"].ran


def test_a_wiped_controller_waits_until_claims_it_may_have_granted_are_void() -> None:
    assert len(claimed_late()) == 1


def test_detects_a_wiped_controller_that_does_not_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(recovery, "CLAIM_TIMEOUT_S", 0.0)
    with pytest.raises(InvariantViolation, match="twice|by enough"):
        claimed_late()


def found(strike: Strike, every: int = 6) -> set[str]:
    """Returns the violations found at some of the points."""
    broken = set()
    for point in range(60, 200, every):
        try:
            run_with_fault(strike, point, seed=1)
        except InvariantViolation as error:
            broken.add(str(error))
    return broken


def test_detects_a_wiped_controller_that_votes_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    load = Controller._load

    def settled_at_once(controller: Controller) -> bool:
        fresh = load(controller)
        controller.context.member.mark_caught_up(max(1, controller.voters.epoch))
        return fresh

    monkeypatch.setattr(Controller, "_load", settled_at_once)
    assert any("before it has recovered" in broken for broken in found(wipe_of_one))


@pytest.mark.parametrize("strike", [wipe_of_one, power_of_one])
def test_detects_writes_to_a_single_disk(monkeypatch: pytest.MonkeyPatch, strike: Strike) -> None:
    monkeypatch.setattr(Voters, "write_quorum", property(lambda voters: 1))
    monkeypatch.setattr(Voters, "read_quorum", property(lambda voters: len(voters.names) // 2 + 1))
    assert found(strike)
