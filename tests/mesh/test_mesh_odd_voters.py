"""An odd set of voters: halves of the control machines, and disks on which an even set stands. Real
controllers and claimants on fake time."""

from __future__ import annotations

import asyncio
import gc
import multiprocessing
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

import pytest
from mesh_world import World
from operator_calls import InvariantViolation, change, service
from test_mesh_faults import WORKERS, cut_of_one, power_of_all, power_of_one, wipe_of_one
from test_mesh_faults import until as until_
from test_mesh_voters import QUICK, SLOW, afterwards, busy, newest, play, ready, settled, voters

from mesh.control import ballot, elections, recovery
from mesh.control.agreement import Agreement
from mesh.state.quorum import Voters

HALF_S = 5.0
LONG_S = 9.0  # of an order that was not taken
CLASHES = 12
PARTS = (((0, 3), (1, 2)), ((0, 1), (2, 3)))


def all_vote(patch: pytest.MonkeyPatch) -> None:
    """The first voters are all control machines, as an earlier program had it."""
    patch.setattr(recovery, "first_voters", lambda zones, losses: tuple(sorted(zones)))


def even_stays(patch: pytest.MonkeyPatch) -> None:
    """An even set is as good as any."""
    all_vote(patch)
    for module in (ballot, elections):
        patch.setattr(module, "voter_count", lambda machines, losses: machines)


# --- two halves


def halves(world: World, parts: tuple[tuple[int, ...], tuple[int, ...]]) -> float:
    """The part of the keyed requests that run while the control machines are cut into two; sidecars and the
    operator reach both."""
    ran: list[str] = []

    async def story(world: World) -> None:
        await ready(world)
        one, two = ([world.controllers[at] for at in part] for part in parts)
        for name in one:
            world.cut(name, HALF_S, two)
        await asyncio.sleep(1.0)  # until the lease of the smaller part is over
        asked = [world.claim(world.sidecars[at % 2], f"half {at}") for at in range(40)]
        orders = [world.patch(at, change([service("crew", 5 + at)]), 3) for at in range(4)]
        taken = await asyncio.gather(*orders)
        await until_(lambda: all(asked), 2.0)
        ran.extend(f"half {at}" for at in range(40) if world.keys[f"half {at}"].ran)
        assert 200 in taken or not ran
        await asyncio.sleep(HALF_S)
        await afterwards(world, 1)

    play(world, story)
    return len(ran) / 40


@pytest.mark.parametrize("parts", PARTS)
@pytest.mark.parametrize("seed", range(3))
def test_the_half_with_more_voters_serves_on(
    seed: int, parts: tuple[tuple[int, ...], tuple[int, ...]]
) -> None:
    assert halves(World(seed=seed, size=4, bounds=SLOW), parts) >= 0.9


def test_found_if_an_even_set_votes(monkeypatch: pytest.MonkeyPatch) -> None:
    even_stays(monkeypatch)
    assert halves(World(size=4, bounds=SLOW), PARTS[0]) == 0.0


async def _clash(world: World, voters: int) -> list[float]:
    """Orders at each of two voters at once while all others are cut off; how long each order took."""
    await ready(world)
    one, two, *cut_off = world.controllers
    for name in cut_off[: voters - 2]:
        world.cut(name, HALF_S, [one, two])
    await asyncio.sleep(1.0)
    began, took = world.now, list[float]()

    async def order(name: str, at: int) -> None:
        status, _ = await world.ask(name, b"PATCH", change([service("crew", 5 + at)]), 3.0)
        took.append(world.now - began if status == 200 else LONG_S)

    await asyncio.gather(*(order(name, at) for at, name in enumerate((one, two, one, two))))
    return took


def clashes() -> list[float]:
    """Over many plays: how long orders took that clash while only a majority is there."""
    took: list[float] = []

    async def story(world: World) -> None:
        took.extend(await _clash(world, 3))

    for seed in range(CLASHES):
        play(World(seed=seed, size=3, bounds=SLOW), story)
    return sorted(took)


def test_orders_that_clash_while_a_voter_is_cut_off_are_soon_through() -> None:
    took = clashes()
    assert took[-1] < LONG_S and took[int(0.9 * len(took))] < 0.3


def test_with_the_one_that_is_cut_off_waited_for_they_are_not(monkeypatch: pytest.MonkeyPatch) -> None:
    def all_linked(agreement: Agreement, voters: Voters) -> int:
        return len(agreement._peers.of(voters)) + 1

    monkeypatch.setattr(Agreement, "_expected_responses", all_linked)
    took = clashes()
    assert took[-1] >= LONG_S or took[int(0.9 * len(took))] >= 0.3


# --- an even set on the disks of an earlier program


async def one_is_demoted(world: World) -> None:
    """Four vote, as it lies on their disks, and three from soon on."""
    await ready(world)
    await busy(world, lambda: settled(world, 2))
    await afterwards(world, 2)
    assert len(newest(world).names) == 3


def test_an_even_set_gives_up_one_and_nothing_promised_is_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    all_vote(monkeypatch)
    for seed in range(3):
        world = play(World(seed=seed, size=4, bounds=QUICK), one_is_demoted)
        assert max(world.voter_sets) == 2 and [len(world.voter_sets[epoch]) for epoch in (1, 2)] == [4, 3]


STRIKES: tuple[tuple[Callable[[World, str], None], int], ...] = (  # with every how many-th point
    (power_of_one, 4),
    (power_of_all, 4),
    (wipe_of_one, 3),
    (cut_of_one, 4),
)


def struck(job: tuple[int, int]) -> str:
    """What breaks in a play that is struck at one of its points."""
    strike, point = job
    world = World(size=4, bounds=QUICK)
    world.faults_at[point] = lambda name: STRIKES[strike][0](world, name)
    try:
        play(world, one_is_demoted)
    except InvariantViolation as broken:
        return str(broken)
    return ""


@pytest.mark.parametrize("strike", range(len(STRIKES)), ids=[strike.__name__ for strike, _ in STRIKES])
def test_whatever_strikes_while_one_is_demoted_nothing_promised_is_lost(
    strike: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    all_vote(monkeypatch)
    world = play(World(size=4, bounds=QUICK), one_is_demoted)
    first = next(point for point, _, text in world.log_lines if text == "others should vote") + 1
    last = max(point for point, _, text in world.log_lines if text == "whole again") + 1
    assert last - first > 40
    jobs = [(strike, point) for point in range(first, last, STRIKES[strike][1])]
    fork = multiprocessing.get_context("fork")
    with ProcessPoolExecutor(WORKERS, mp_context=fork, initializer=gc.freeze) as pool:
        found = dict(zip(jobs, pool.map(struck, jobs, chunksize=4), strict=True))
    assert {job: broken for job, broken in found.items() if broken} == {}


def test_a_learner_that_believes_itself_a_voter_grants_nothing_that_counts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It was cut off, with a sidecar, before it was demoted."""
    all_vote(monkeypatch)

    async def story(world: World) -> None:
        if not await until_(lambda: world.caught_up_controllers() == world.controllers):
            raise InvariantViolation("no start")
        *rest, alone = world.controllers
        one, two = world.sidecars
        for name in (alone, one):
            world.cut(name, 6.0, [*rest, two, "10.0.2.1"])
        world.cut(two, 6.0, [alone])
        outcomes = []
        for at in range(40):
            outcomes.append(world.claim(world.sidecars[at % 2], f"key {at // 2}"))
            await asyncio.sleep(0.1)
        assert voters(world, alone).epoch == 1 and f"{alone}:7000" in voters(world, alone).names
        assert newest(world).epoch == 2 and f"{alone}:7000" not in newest(world).names
        assert not any(key.ran and key.ran[0].startswith(one) for key in world.keys.values())
        await asyncio.sleep(4.0)
        await afterwards(world, 2)

    play(World(size=4, bounds=QUICK), story)
