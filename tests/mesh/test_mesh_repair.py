"""A second loss after a repair: a planned replacement and then the loss of another machine, with faults."""

from __future__ import annotations

import asyncio
import gc
import multiprocessing
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

import pytest
from mesh_world import World
from operator_calls import InvariantViolation, change, route, service
from test_mesh_faults import WORKERS, cut_of_one, power_of_one, wipe_of_one
from test_mesh_faults import claimed as claim_key
from test_mesh_faults import until as wait_until
from test_mesh_voters import (
    Fault,
    check_afterwards,
    freeze_of_one,
    has_settled,
    kill_of_all_live,
    live_controllers,
    newest_voters,
    power_loss_of_all_live,
    run_load_until,
    run_scenario,
)

from mesh.control.ballot import Member, ReplacementDelays
from mesh.control.context import Context
from mesh.control.elections import Reconfiguration

CATCH_UP_S = 4.0  # so long after its start a machine no longer counts as lost
GRACE_S = 6.0
SUCCESSOR_S = 1.0  # from a loss to the start of an empty machine


async def start_and_load(world: World) -> None:
    """Waits until the first voters have caught up, then stores a configuration and some keys."""
    if not await wait_until(lambda: world.caught_up_controllers() == world.controllers):
        raise InvariantViolation("the first voters did not catch up")
    assert await world.patch(0, change([service("berths", 1)], [route("a", 1, "/a/")])) == 200
    for at in range(6):
        assert await claim_key(world, world.sidecars[at % 2], f"old {at}") == "RUN"
    await asyncio.sleep(0.5)


def votes(world: World, name: str) -> bool:
    return f"{name}:7000" in newest_voters(world).names


async def replace_as_planned(world: World, old: str, new: str) -> None:
    """Starts the successor first, then sends SIGTERM to the old machine, which never returns."""
    world.start_controller(new)
    if not await wait_until(lambda: new in world.caught_up_controllers()):
        raise InvariantViolation(f"{new} did not catch up")
    world.marks["term"] = world.points
    world.term(old, GRACE_S)
    ends = world.now + GRACE_S  # the platform then ends one that restarted after a fault
    await run_load_until(world, lambda: world.controller(old) is None or world.now > ends, GRACE_S + 1.0)
    world.removed.add(old)
    world.power_off(old)


async def lose_and_replace(world: World, lost: str, new: str) -> None:
    """Removes a machine with its disk, and starts an empty one at another address."""
    world.marks["lost"] = world.points
    size = len(newest_voters(world).names)
    world.removed.add(lost)
    world.power_off(lost)
    began = world.now
    await asyncio.sleep(SUCCESSOR_S)
    world.start_controller(new)

    def repaired() -> bool:
        """Returns whether as many vote as before without the lost machine, and all live ones have caught up.

        A learner may have replaced the lost machine before the new one could.
        """
        replaced = len(newest_voters(world).names) == size and not votes(world, lost)
        return (
            replaced
            and new in live_controllers(world)
            and len(world.caught_up_controllers()) == len(live_controllers(world))
        )

    if not await wait_until(repaired, CATCH_UP_S):
        raise InvariantViolation(
            f"{lost} is not replaced {CATCH_UP_S} s after the start of {new}: {newest_voters(world)}"
        )
    world.repairs.append(world.now - began)


async def planned_replacement_then_loss(world: World) -> None:
    """Replaces a machine as planned, and loses another as soon as the first no longer counts as lost."""
    await start_and_load(world)
    old, lost = world.controllers[:2]
    new, later = world.spares[:2]
    await replace_as_planned(world, old, new)
    await asyncio.sleep(CATCH_UP_S)
    await lose_and_replace(world, lost, later)
    world.marks["end"] = world.points
    for at, name in enumerate(live_controllers(world)):
        world.power_off(name, 0.3 + 0.05 * at)
    await asyncio.sleep(1.0)
    await check_afterwards(world, 3)


async def consecutive_losses(world: World) -> None:
    """Loses as many machines as there are spares, each as soon as the previous loss is repaired."""
    await start_and_load(world)
    world.marks["term"] = world.points
    for lost, new in zip(list(world.controllers), world.spares, strict=False):
        await lose_and_replace(world, lost, new)
    world.marks["end"] = world.points
    await check_afterwards(world, 1 + len(world.spares))


def make_world(seed: int = 1, size: int = 3, losses: int = 1) -> World:
    world = World(seed=seed, size=size, spares=2, losses=losses)
    world.marks, world.repairs, world.removed = {}, [], set()  # type: ignore[attr-defined]
    start = world.start_controller

    def start_if_there(name: str, first: bool = False) -> None:
        if name not in world.removed:  # type: ignore[attr-defined]
            start(name, first)

    world.start_controller = start_if_there  # type: ignore[method-assign]
    return world


@pytest.mark.parametrize("size", [3, 4, 5])
def test_a_second_loss_after_a_planned_replacement_is_tolerated(size: int) -> None:
    for seed in range(6):
        world = run_scenario(make_world(seed, size, (size - 1) // 2), planned_replacement_then_loss)
        assert max(world.repairs) < SUCCESSOR_S + CATCH_UP_S  # type: ignore[attr-defined]


@pytest.mark.parametrize("size", [3, 4, 5])
def test_consecutive_losses_are_tolerated(size: int) -> None:
    for seed in range(4):
        run_scenario(make_world(seed, size, (size - 1) // 2), consecutive_losses)


def test_a_stopping_voter_is_replaced_before_it_ends() -> None:
    async def scenario(world: World) -> None:
        await start_and_load(world)
        old, new = world.controllers[0], world.spares[0]
        world.start_controller(new)
        assert await wait_until(lambda: new in world.caught_up_controllers())
        began = world.now
        world.term(old)
        assert await wait_until(lambda: votes(world, new) and not votes(world, old), 1.0)
        assert world.controller(old) is not None, "it still runs when its vote has been handed over"
        assert await wait_until(lambda: world.controller(old) is None, 1.5)
        assert world.now - began < 2.0 and has_settled(world, 2)

    for seed in range(5):
        run_scenario(make_world(seed), scenario)


def test_two_voters_stopping_at_once_hand_over_to_two_spares() -> None:
    async def scenario(world: World) -> None:
        await start_and_load(world)
        for name in world.spares:
            world.start_controller(name)
        assert await wait_until(lambda: world.caught_up_controllers() == world.controllers + world.spares)
        one, two, stays = world.controllers
        world.term(one)
        world.term(two)
        assert await wait_until(
            lambda: world.controller(one) is None and world.controller(two) is None, GRACE_S
        )
        assert newest_voters(world).names == tuple(sorted(f"{name}:7000" for name in [stays, *world.spares]))
        world.removed |= {one, two}
        await check_afterwards(world, 2)

    for seed in range(5):
        run_scenario(make_world(seed), scenario)


def test_a_stopping_voter_without_a_successor_stays_for_its_grace_and_logs_it() -> None:
    async def scenario(world: World) -> None:
        await start_and_load(world)
        began = world.now
        old = world.controllers[0]
        world.term(old)
        await asyncio.sleep(4.5)
        assert world.controller(old) is not None and votes(world, old)
        status, _ = await world.ask(old, b"PATCH", change([service("berths", 2)]))
        assert status == 200, "it answers as long as it runs"
        assert await wait_until(lambda: world.controller(old) is None, GRACE_S)
        assert world.now - began < GRACE_S - 0.3, "it ended by itself"
        assert any("stops and no other has taken its place" in text for _, _, text in world.log_lines)
        world.start_controller(old)
        await check_afterwards(world, 1)
        assert newest_voters(world).epoch == 1

    run_scenario(make_world(), scenario)


def test_a_change_of_voters_that_hangs_does_not_outlast_the_grace(monkeypatch: pytest.MonkeyPatch) -> None:
    async def hangs(elections: Reconfiguration) -> None:
        await asyncio.sleep(2.7)  # the time of its three rounds without any response

    async def scenario(world: World) -> None:
        await start_and_load(world)
        monkeypatch.setattr(Reconfiguration, "_change", hangs)
        began, old = world.now, world.controllers[0]
        world.term(old)
        assert await wait_until(lambda: world.controller(old) is None, GRACE_S)
        assert world.now - began < GRACE_S - 1.0, "it keeps the last second for its shutdown"

    run_scenario(make_world(), scenario)


def test_a_spare_that_starts_during_the_grace_takes_over_the_vote() -> None:
    async def scenario(world: World) -> None:
        await start_and_load(world)
        old, new = world.controllers[0], world.spares[0]
        world.term(old)
        await asyncio.sleep(2.0)
        world.start_controller(new)
        assert await wait_until(lambda: world.controller(old) is None, GRACE_S)
        assert votes(world, new) and not votes(world, old)
        world.removed.add(old)
        await check_afterwards(world, 2)

    run_scenario(make_world(), scenario)


def test_a_wiped_former_voter_returns_as_a_spare_without_its_old_grants() -> None:
    async def scenario(world: World) -> None:
        await start_and_load(world)
        old, new = world.controllers[0], world.spares[0]
        await replace_as_planned(world, old, new)
        world.removed.clear()
        world.wipe(old, 0.01)
        assert await wait_until(lambda: old in world.caught_up_controllers())
        assert not votes(world, old)
        await check_afterwards(world, 2)

    run_scenario(make_world(), scenario)


# --- faults injected at numbered points

Case = tuple[int, int, Fault, int]
CASES: tuple[Case, ...] = (  # machines, losses to tolerate, fault, step between injected points
    (3, 1, power_loss_of_all_live, 4),
    (3, 1, kill_of_all_live, 6),
    (3, 1, freeze_of_one, 10),
    (4, 1, power_loss_of_all_live, 9),
    (5, 2, wipe_of_one, 8),
    (5, 2, power_of_one, 12),
    (5, 2, cut_of_one, 12),
)


def run_with_fault(job: tuple[int, int]) -> str:
    """Runs the scenario with a fault injected at one point. Returns what broke, or an empty string."""
    case, point = job
    size, losses, fault, _ = CASES[case]
    world = make_world(1, size, losses)
    world.faults_at[point] = lambda name: fault(world, name)
    try:
        run_scenario(world, planned_replacement_then_loss)
    except InvariantViolation as broken:
        return str(broken)
    return ""


@pytest.mark.parametrize(
    "case", range(len(CASES)), ids=[f"{size}-{losses}-{fault.__name__}" for size, losses, fault, _ in CASES]
)
def test_the_next_loss_is_tolerated_after_a_fault_during_a_replacement(case: int) -> None:
    size, losses, _, every = CASES[case]
    world = run_scenario(make_world(1, size, losses), planned_replacement_then_loss)
    first, last = world.marks["term"] + 1, world.marks["lost"]  # type: ignore[attr-defined]
    assert last - first > 40
    jobs = [(case, point) for point in range(first, last, every)]
    fork = multiprocessing.get_context("fork")
    with ProcessPoolExecutor(WORKERS, mp_context=fork, initializer=gc.freeze) as pool:
        found = dict(zip(jobs, pool.map(run_with_fault, jobs, chunksize=2), strict=True))
    assert {job: broken for job, broken in found.items() if broken} == {}


# --- with one mechanism removed


def failures(size: int = 3, seeds: int = 3) -> set[str]:
    found = set()
    for seed in range(seeds):
        try:
            run_scenario(make_world(seed, size), planned_replacement_then_loss)
        except InvariantViolation as broken:
            found.add(str(broken))
    return found


def slow_replacement(patch: pytest.MonkeyPatch) -> None:
    """Replaces voters as late as earlier versions did."""
    patch.setattr(Context, "membership_delays", property(lambda context: ReplacementDelays(14.0, 14.0, 7.0)))


def no_hand_over(patch: pytest.MonkeyPatch) -> None:
    """Lets a stopping voter keep its vote, and replaces it as late as earlier versions did."""

    async def ends(elections: Reconfiguration, limit_s: float) -> None:
        return

    patch.setattr(Reconfiguration, "hand_over", ends)
    slow_replacement(patch)


def new_machines_wait(patch: pytest.MonkeyPatch) -> None:
    """Makes a new machine wait like one with a wiped disk, and as long as a loss may last."""
    patch.setattr(Member, "may_have_promised", property(lambda member: not member.ever_caught_up))
    patch.setattr("mesh.control.recovery.CLAIM_TIMEOUT_S", CATCH_UP_S)


@pytest.mark.parametrize("mechanism", [slow_replacement, no_hand_over, new_machines_wait])
def test_detects_the_removal_of(
    mechanism: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    mechanism(monkeypatch)
    assert failures()
