"""An odd set of voters: partitions into halves, and disks on which an even set is stored. Real controllers
and claimants on simulated time."""

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
from test_mesh_faults import until as wait_until
from test_mesh_voters import (
    QUICK,
    SLOW,
    check_afterwards,
    has_settled,
    newest_voters,
    run_load_until,
    run_scenario,
    start_with_spares,
    voters_of,
)

from mesh.control import ballot, elections, recovery
from mesh.control.agreement import Agreement
from mesh.state.quorum import Voters

PARTITION_S = 5.0
FAILED_CHANGE_S = 9.0  # stands for a change that was not accepted
CONFLICT_RUNS = 12
PARTITIONS = (((0, 3), (1, 2)), ((0, 1), (2, 3)))


def all_machines_vote(patch: pytest.MonkeyPatch) -> None:
    """Makes all control machines the first voters, as an earlier version did."""
    patch.setattr(recovery, "initial_voters", lambda zones, losses: tuple(sorted(zones)))


def keep_even_sets(patch: pytest.MonkeyPatch) -> None:
    """Lets even sets vote."""
    all_machines_vote(patch)
    for module in (ballot, elections):
        patch.setattr(module, "voter_count", lambda machines, losses: machines)


# --- partitions into two sides


def served_during_partition(world: World, partition: tuple[tuple[int, ...], tuple[int, ...]]) -> float:
    """Returns the fraction of keyed requests that run while the control machines are partitioned into two
    sides.

    Sidecars and the operator reach both sides."""
    ran: list[str] = []

    async def scenario(world: World) -> None:
        await start_with_spares(world)
        one, two = ([world.controllers[at] for at in part] for part in partition)
        for name in one:
            world.cut(name, PARTITION_S, two)
        await asyncio.sleep(1.0)  # until the lease of the smaller side has expired
        asked = [world.claim(world.sidecars[at % 2], f"half {at}") for at in range(40)]
        changes = [world.patch(at, change([service("crew", 5 + at)]), 3) for at in range(4)]
        statuses = await asyncio.gather(*changes)
        await wait_until(lambda: all(asked), 2.0)
        ran.extend(f"half {at}" for at in range(40) if world.keys[f"half {at}"].ran)
        assert 200 in statuses or not ran
        await asyncio.sleep(PARTITION_S)
        await check_afterwards(world, 1)

    run_scenario(world, scenario)
    return len(ran) / 40


@pytest.mark.parametrize("partition", PARTITIONS)
@pytest.mark.parametrize("seed", range(3))
def test_the_side_with_more_voters_goes_on_serving(
    seed: int, partition: tuple[tuple[int, ...], tuple[int, ...]]
) -> None:
    assert served_during_partition(World(seed=seed, size=4, bounds=SLOW), partition) >= 0.9


def test_detects_an_even_set_that_votes(monkeypatch: pytest.MonkeyPatch) -> None:
    keep_even_sets(monkeypatch)
    assert served_during_partition(World(size=4, bounds=SLOW), PARTITIONS[0]) == 0.0


async def _conflicting_changes(world: World, voters: int) -> list[float]:
    """Sends changes to two voters at once while the others are cut off. Returns how long each took."""
    await start_with_spares(world)
    one, two, *cut_off = world.controllers
    for name in cut_off[: voters - 2]:
        world.cut(name, PARTITION_S, [one, two])
    await asyncio.sleep(1.0)
    began, took = world.now, list[float]()

    async def send_change(name: str, at: int) -> None:
        status, _ = await world.ask(name, b"PATCH", change([service("crew", 5 + at)]), 3.0)
        took.append(world.now - began if status == 200 else FAILED_CHANGE_S)

    await asyncio.gather(*(send_change(name, at) for at, name in enumerate((one, two, one, two))))
    return took


def conflict_durations() -> list[float]:
    """Returns the durations of conflicting changes, over many runs, while only a majority is reachable."""
    took: list[float] = []

    async def scenario(world: World) -> None:
        took.extend(await _conflicting_changes(world, 3))

    for seed in range(CONFLICT_RUNS):
        run_scenario(World(seed=seed, size=3, bounds=SLOW), scenario)
    return sorted(took)


def test_conflicting_changes_succeed_soon_while_a_voter_is_cut_off() -> None:
    took = conflict_durations()
    assert took[-1] < FAILED_CHANGE_S and took[int(0.9 * len(took))] < 0.3


def test_detects_a_proposer_that_waits_for_the_voter_that_is_cut_off(monkeypatch: pytest.MonkeyPatch) -> None:
    def all_linked(agreement: Agreement, voters: Voters) -> int:
        return len(agreement._peers.connections_to(voters)) + 1

    monkeypatch.setattr(Agreement, "_expected_responses", all_linked)
    took = conflict_durations()
    assert took[-1] >= FAILED_CHANGE_S or took[int(0.9 * len(took))] >= 0.3


# --- an even set stored by an earlier version


async def demote_one_voter(world: World) -> None:
    """Four controllers vote, as stored on their disks, until one of them is demoted."""
    await start_with_spares(world)
    await run_load_until(world, lambda: has_settled(world, 2))
    await check_afterwards(world, 2)
    assert len(newest_voters(world).names) == 3


def test_nothing_acknowledged_is_lost_when_an_even_set_drops_a_voter(monkeypatch: pytest.MonkeyPatch) -> None:
    all_machines_vote(monkeypatch)
    for seed in range(3):
        world = run_scenario(World(seed=seed, size=4, bounds=QUICK), demote_one_voter)
        assert max(world.voter_sets) == 2 and [len(world.voter_sets[epoch]) for epoch in (1, 2)] == [4, 3]


FAULTS: tuple[tuple[Callable[[World, str], None], int], ...] = (  # with the step between injected points
    (power_of_one, 4),
    (power_of_all, 4),
    (wipe_of_one, 3),
    (cut_of_one, 4),
)


def run_with_fault(job: tuple[int, int]) -> str:
    """Runs the scenario with a fault injected at one point. Returns what broke, or an empty string."""
    fault, point = job
    world = World(size=4, bounds=QUICK)
    world.faults_at[point] = lambda name: FAULTS[fault][0](world, name)
    try:
        run_scenario(world, demote_one_voter)
    except InvariantViolation as broken:
        return str(broken)
    return ""


@pytest.mark.parametrize("fault", range(len(FAULTS)), ids=[fault.__name__ for fault, _ in FAULTS])
def test_nothing_acknowledged_is_lost_by_a_fault_during_a_demotion(
    fault: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    all_machines_vote(monkeypatch)
    world = run_scenario(World(size=4, bounds=QUICK), demote_one_voter)
    first = next(point for point, _, text in world.log_lines if text == "proposing new voters") + 1
    last = max(point for point, _, text in world.log_lines if text == "caught up") + 1
    assert last - first > 40
    jobs = [(fault, point) for point in range(first, last, FAULTS[fault][1])]
    fork = multiprocessing.get_context("fork")
    with ProcessPoolExecutor(WORKERS, mp_context=fork, initializer=gc.freeze) as pool:
        found = dict(zip(jobs, pool.map(run_with_fault, jobs, chunksize=4), strict=True))
    assert {job: broken for job, broken in found.items() if broken} == {}


def test_grants_of_a_demoted_controller_that_still_believes_it_votes_do_not_count(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It was cut off together with a sidecar before it was demoted."""
    all_machines_vote(monkeypatch)

    async def scenario(world: World) -> None:
        if not await wait_until(lambda: world.caught_up_controllers() == world.controllers):
            raise InvariantViolation("the first voters did not catch up")
        *rest, alone = world.controllers
        one, two = world.sidecars
        for name in (alone, one):
            world.cut(name, 6.0, [*rest, two, "10.0.2.1"])
        world.cut(two, 6.0, [alone])
        outcomes = []
        for at in range(40):
            outcomes.append(world.claim(world.sidecars[at % 2], f"key {at // 2}"))
            await asyncio.sleep(0.1)
        assert voters_of(world, alone).epoch == 1 and f"{alone}:7000" in voters_of(world, alone).names
        assert newest_voters(world).epoch == 2 and f"{alone}:7000" not in newest_voters(world).names
        assert not any(key.ran and key.ran[0].startswith(one) for key in world.keys.values())
        await asyncio.sleep(4.0)
        await check_afterwards(world, 2)

    run_scenario(World(size=4, bounds=QUICK), scenario)
