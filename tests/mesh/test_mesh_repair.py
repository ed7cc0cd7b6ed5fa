"""A second loss after a repair: a planned replacement, then another machine's loss, struck at each point."""

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
from test_mesh_faults import claimed as one_claim
from test_mesh_faults import until as until_
from test_mesh_voters import (
    Strike,
    afterwards,
    busy,
    freeze_of_one,
    kill_of_all_there,
    live,
    newest,
    play,
    power_of_all_there,
    settled,
)

from mesh.control.ballot import Member, Patience
from mesh.control.context import Context
from mesh.control.elections import Elections

CATCH_UP_S = 4.0  # a machine stops counting as lost so long after its start: the bound that is given
GRACE_S = 6.0
SUCCESSOR_S = 1.0  # an empty machine comes so long after one is lost


async def begun(world: World) -> None:
    """The first voters act; something is stored and some keys are granted."""
    if not await until_(lambda: world.caught_up_controllers() == world.controllers):
        raise InvariantViolation("no start")
    assert await world.patch(0, change([service("berths", 1)], [route("a", 1, "/a/")])) == 200
    for at in range(6):
        assert await one_claim(world, world.sidecars[at % 2], f"old {at}") == "RUN"
    await asyncio.sleep(0.5)


def votes(world: World, name: str) -> bool:
    return f"{name}:7000" in newest(world).names


async def replaced_as_planned(world: World, old: str, new: str) -> None:
    """The successor first, then SIGTERM to the one before, which never returns."""
    world.start_controller(new)
    if not await until_(lambda: new in world.caught_up_controllers()):
        raise InvariantViolation(f"{new} does not come to count")
    world.marks["term"] = world.points
    world.term(old, GRACE_S)
    ends = world.now + GRACE_S  # one that was struck and started again is ended by the platform then
    await busy(world, lambda: world.controller(old) is None or world.now > ends, GRACE_S + 1.0)
    world.removed.add(old)
    world.power_off(old)


async def lost_for_good(world: World, lost: str, new: str) -> None:
    """A machine is lost with its disk, and an empty one comes at another address."""
    world.marks["lost"] = world.points
    size = len(newest(world).names)
    world.removed.add(lost)
    world.power_off(lost)
    began = world.now
    await asyncio.sleep(SUCCESSOR_S)
    world.start_controller(new)

    def repaired() -> bool:
        """Whether as many vote as before, none of them the lost one, and all that live count. A learner may
        have taken the place before the new machine could."""
        replaced = len(newest(world).names) == size and not votes(world, lost)
        return replaced and new in live(world) and len(world.caught_up_controllers()) == len(live(world))

    if not await until_(repaired, CATCH_UP_S):
        raise InvariantViolation(
            f"{lost} is not repaired {CATCH_UP_S} s after the start of {new}: {newest(world)}"
        )
    world.repairs.append(world.now - began)


async def planned_then_lost(world: World) -> None:
    """One replaced as planned, and another lost as soon as the first stops counting as lost."""
    await begun(world)
    old, lost = world.controllers[:2]
    new, later = world.spares[:2]
    await replaced_as_planned(world, old, new)
    await asyncio.sleep(CATCH_UP_S)
    await lost_for_good(world, lost, later)
    world.marks["end"] = world.points
    for at, name in enumerate(live(world)):
        world.power_off(name, 0.3 + 0.05 * at)
    await asyncio.sleep(1.0)
    await afterwards(world, 3)


async def lost_one_after_the_other(world: World) -> None:
    """As many losses as there are spares, each as soon as the one before is repaired."""
    await begun(world)
    world.marks["term"] = world.points
    for lost, new in zip(list(world.controllers), world.spares, strict=False):
        await lost_for_good(world, lost, new)
    world.marks["end"] = world.points
    await afterwards(world, 1 + len(world.spares))


def make(seed: int = 1, size: int = 3, losses: int = 1) -> World:
    world = World(seed=seed, size=size, spares=2, losses=losses)
    world.marks, world.repairs, world.removed = {}, [], set()  # type: ignore[attr-defined]
    start = world.start_controller

    def start_if_there(name: str, first: bool = False) -> None:
        if name not in world.removed:  # type: ignore[attr-defined]
            start(name, first)

    world.start_controller = start_if_there  # type: ignore[method-assign]
    return world


@pytest.mark.parametrize("size", [3, 4, 5])
def test_a_second_loss_after_a_planned_replacement_is_borne(size: int) -> None:
    for seed in range(6):
        world = play(make(seed, size, (size - 1) // 2), planned_then_lost)
        assert max(world.repairs) < SUCCESSOR_S + CATCH_UP_S  # type: ignore[attr-defined]


@pytest.mark.parametrize("size", [3, 4, 5])
def test_losses_one_after_the_other_are_borne(size: int) -> None:
    for seed in range(4):
        play(make(seed, size, (size - 1) // 2), lost_one_after_the_other)


def test_one_that_leaves_is_replaced_before_it_ends() -> None:
    async def story(world: World) -> None:
        await begun(world)
        old, new = world.controllers[0], world.spares[0]
        world.start_controller(new)
        assert await until_(lambda: new in world.caught_up_controllers())
        began = world.now
        world.term(old)
        assert await until_(lambda: votes(world, new) and not votes(world, old), 1.0)
        assert world.controller(old) is not None, "it is still there when its vote is another's"
        assert await until_(lambda: world.controller(old) is None, 1.5)
        assert world.now - began < 2.0 and settled(world, 2)

    for seed in range(5):
        play(make(seed), story)


def test_two_that_leave_at_once_hand_over_to_two() -> None:
    async def story(world: World) -> None:
        await begun(world)
        for name in world.spares:
            world.start_controller(name)
        assert await until_(lambda: world.caught_up_controllers() == world.controllers + world.spares)
        one, two, stays = world.controllers
        world.term(one)
        world.term(two)
        assert await until_(lambda: world.controller(one) is None and world.controller(two) is None, GRACE_S)
        assert newest(world).names == tuple(sorted(f"{name}:7000" for name in [stays, *world.spares]))
        world.removed |= {one, two}
        await afterwards(world, 2)

    for seed in range(5):
        play(make(seed), story)


def test_one_that_has_no_successor_stays_for_its_grace_and_says_so() -> None:
    async def story(world: World) -> None:
        await begun(world)
        began = world.now
        old = world.controllers[0]
        world.term(old)
        await asyncio.sleep(4.5)
        assert world.controller(old) is not None and votes(world, old)
        status, _ = await world.ask(old, b"PATCH", change([service("berths", 2)]))
        assert status == 200, "it answers as long as it is there"
        assert await until_(lambda: world.controller(old) is None, GRACE_S)
        assert world.now - began < GRACE_S - 0.3, "it was not killed"
        assert any("ends and no other has taken its place" in text for _, _, text in world.log_lines)
        world.start_controller(old)
        await afterwards(world, 1)
        assert newest(world).epoch == 1

    play(make(), story)


def test_a_change_of_voters_that_hangs_does_not_outlast_the_grace(monkeypatch: pytest.MonkeyPatch) -> None:
    async def hangs(elections: Elections) -> None:
        await asyncio.sleep(2.7)  # as long as its three rounds may take where nobody answers in time

    async def story(world: World) -> None:
        await begun(world)
        monkeypatch.setattr(Elections, "_change", hangs)
        began, old = world.now, world.controllers[0]
        world.term(old)
        assert await until_(lambda: world.controller(old) is None, GRACE_S)
        assert world.now - began < GRACE_S - 1.0, "it has the last second for its end"

    play(make(), story)


def test_a_successor_that_comes_while_it_stays_still_gets_the_vote() -> None:
    async def story(world: World) -> None:
        await begun(world)
        old, new = world.controllers[0], world.spares[0]
        world.term(old)
        await asyncio.sleep(2.0)
        world.start_controller(new)
        assert await until_(lambda: world.controller(old) is None, GRACE_S)
        assert votes(world, new) and not votes(world, old)
        world.removed.add(old)
        await afterwards(world, 2)

    play(make(), story)


def test_an_emptied_machine_at_an_old_address_comes_back_as_a_spare_and_grants_nothing_of_old() -> None:
    async def story(world: World) -> None:
        await begun(world)
        old, new = world.controllers[0], world.spares[0]
        await replaced_as_planned(world, old, new)
        world.removed.clear()
        world.wipe(old, 0.01)
        assert await until_(lambda: old in world.caught_up_controllers())
        assert not votes(world, old)
        await afterwards(world, 2)

    play(make(), story)


# --- struck at numbered points

Case = tuple[int, int, Strike, int]
CASES: tuple[Case, ...] = (  # machines, losses to be borne, what strikes, every how many-th point
    (3, 1, power_of_all_there, 4),
    (3, 1, kill_of_all_there, 6),
    (3, 1, freeze_of_one, 10),
    (4, 1, power_of_all_there, 9),
    (5, 2, wipe_of_one, 8),
    (5, 2, power_of_one, 12),
    (5, 2, cut_of_one, 12),
)


def struck(job: tuple[int, int]) -> str:
    """What breaks in a play that is struck at one of its points."""
    case, point = job
    size, losses, strike, _ = CASES[case]
    world = make(1, size, losses)
    world.faults_at[point] = lambda name: strike(world, name)
    try:
        play(world, planned_then_lost)
    except InvariantViolation as broken:
        return str(broken)
    return ""


@pytest.mark.parametrize(
    "case", range(len(CASES)), ids=[f"{size}-{losses}-{strike.__name__}" for size, losses, strike, _ in CASES]
)
def test_whatever_strikes_during_a_replacement_the_next_loss_is_borne(case: int) -> None:
    size, losses, _, every = CASES[case]
    world = play(make(1, size, losses), planned_then_lost)
    first, last = world.marks["term"] + 1, world.marks["lost"]  # type: ignore[attr-defined]
    assert last - first > 40
    jobs = [(case, point) for point in range(first, last, every)]
    fork = multiprocessing.get_context("fork")
    with ProcessPoolExecutor(WORKERS, mp_context=fork, initializer=gc.freeze) as pool:
        found = dict(zip(jobs, pool.map(struck, jobs, chunksize=2), strict=True))
    assert {job: broken for job, broken in found.items() if broken} == {}


# --- each defence, taken out


def broken_by(size: int = 3, seeds: int = 3) -> set[str]:
    found = set()
    for seed in range(seeds):
        try:
            play(make(seed, size), planned_then_lost)
        except InvariantViolation as broken:
            found.add(str(broken))
    return found


def slow_repair(patch: pytest.MonkeyPatch) -> None:
    """A voter is replaced as late as it used to be."""
    patch.setattr(Context, "membership_delays", property(lambda context: Patience(14.0, 14.0, 7.0)))


def no_hand_over(patch: pytest.MonkeyPatch) -> None:
    """One that leaves ends with its vote, and is found to be gone as late as it used to be."""

    async def ends(elections: Elections, limit_s: float) -> None:
        return

    patch.setattr(Elections, "hand_over", ends)
    slow_repair(patch)


def all_wait(patch: pytest.MonkeyPatch) -> None:
    """A new machine waits as one whose disk was emptied, and for twice as long as a loss is to last."""
    patch.setattr(Member, "may_have_promised", property(lambda member: not member.lasted))
    patch.setattr("mesh.control.recovery.CLAIM_TIMEOUT_S", CATCH_UP_S)


@pytest.mark.parametrize("defence", [slow_repair, no_hand_over, all_wait])
def test_found_without(
    defence: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    defence(monkeypatch)
    assert broken_by()
