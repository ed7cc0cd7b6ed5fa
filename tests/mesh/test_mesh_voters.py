"""Reconfiguration of the voters: real controllers and claimants on simulated time, with a fault injected at
each point of a change."""

from __future__ import annotations

import asyncio
import gc
import multiprocessing
from collections.abc import Callable, Coroutine
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import pytest
from mesh_world import World
from operator_calls import InvariantViolation, change, read_back, route, service
from test_mesh_faults import (
    NEWEST,
    WORKERS,
    cut_of_one,
    power_of_one,
    wipe_of_one,
    wipe_while_all_others_lose_power,
)
from test_mesh_faults import claimed as claim_key
from test_mesh_faults import until as wait_until
from wire import message

from mesh.control.ballot import Member, Proposal
from mesh.control.recovery import Recovery
from mesh.proxy.control_client import ControlClient
from mesh.state.quorum import Voters
from mesh.transport import messages
from mesh.transport.messages import kind_of

QUICK = '"catch_up=1s", "contact=1s"'  # replaced after 0.5 s, removed after 4 s, forgotten after 16 s
SLOW = '"catch_up=8s", "contact=1s"'  # replaced after 4 s
Fault = Callable[[World, str], None]


def voters_of(world: World, name: str) -> Voters:
    controller = world.controller(name)
    return controller.voters if controller is not None else Voters(0, ())


def newest_voters(world: World) -> Voters:
    return max(voters_of(world, name) for name in world.controllers + world.spares)


def live_controllers(world: World) -> list[str]:
    return [name for name in world.controllers + world.spares if world.controller(name) is not None]


async def start_with_spares(world: World) -> None:
    """Waits until voters and spares have caught up, then stores a configuration and some keys."""
    if not await wait_until(lambda: world.caught_up_controllers() == world.controllers):
        raise InvariantViolation("the first voters did not catch up")
    for name in world.spares:
        world.start_controller(name)
    if not await wait_until(lambda: world.caught_up_controllers() == world.controllers + world.spares):
        raise InvariantViolation("the spares did not catch up")
    assert await world.patch(0, change([service("berths", 1)], [route("a", 1, "/a/")])) == 200
    for at in range(6):
        assert await claim_key(world, world.sidecars[at % 2], f"old {at}") == "RUN"


async def run_load_until(world: World, done: Callable[[], bool], limit_s: float = 30.0) -> None:
    """Sends claims of old and new keys and configuration changes until `done` returns true."""
    outcomes, at, end, began = [], 0, world.now + limit_s, float("inf")
    patches = set()
    while not done():
        if world.now > end:
            raise InvariantViolation(f"the expected state was not reached: {newest_voters(world)}")
        if began > end and any(text == "proposing new voters" for _, _, text in world.log_lines):
            began = world.now
        at += 1
        outcomes.append(world.claim(world.sidecars[at % 2], f"old {at % 6}"))
        outcomes.append(world.claim(world.sidecars[at % 2], f"both {at // 4}"))
        if at % 8 == 0:
            body = change([service("berths", 2 + at)])
            patches.add(asyncio.ensure_future(world.patch(at, body, 3)))
        await asyncio.sleep(0.01 if began <= world.now < began + 0.2 else 0.3)
    for patch in patches:
        await patch
    if not await wait_until(lambda: all(outcomes), 3.0):
        raise InvariantViolation("some claims have no outcome")


async def check_afterwards(world: World, epoch: int) -> None:
    """Checks that all live controllers have caught up in `epoch` or a later one, and that nothing
    acknowledged is lost."""

    def all_caught_up() -> bool:
        now = newest_voters(world)
        counting = [name for name in world.caught_up_controllers() if voters_of(world, name) == now]
        return now.epoch >= epoch and counting == live_controllers(world)

    if not await wait_until(all_caught_up, 25.0):
        states = {
            name: (voters_of(world, name), name in world.caught_up_controllers())
            for name in live_controllers(world)
        }
        raise InvariantViolation(f"not caught up after the change: {states}")
    for name in live_controllers(world):
        for _ in range(20):
            status, body = await world.ask(name, b"GET")
            if status == 200:
                break
            await asyncio.sleep(0.2)
        if status != 200:
            raise InvariantViolation(f"{name} does not return the configuration")
        read_back(world, body)
    for at, key in enumerate(sorted(world.keys)[:40]):
        await claim_key(world, world.sidecars[at % 2], key)
    names = world.controllers = live_controllers(world)
    if await world.patch(len(names) - 1, change([service("crew", NEWEST)])) != 200:
        raise InvariantViolation("changes are no longer accepted")
    for at in range(10):
        if await claim_key(world, world.sidecars[0], f"new {at}") == "RUN":
            return
        await asyncio.sleep(0.2)
    raise InvariantViolation("keys are no longer granted")


def run_scenario(
    world: World, scenario: Callable[[World], Coroutine[Any, Any, None]], limit_s: float = 150.0
) -> World:
    with world:
        world.start()
        task = world.operator.run(scenario(world))
        if not world.run(limit_s, task.done):
            raise InvariantViolation("the scenario did not end in time")
        task.result()
    return world


def has_settled(world: World, epoch: int) -> bool:
    """Returns whether all live controllers are in `epoch` or a later one and have caught up."""
    return all(voters_of(world, name).epoch >= epoch for name in live_controllers(world)) and (
        len(world.caught_up_controllers()) == len(live_controllers(world))
    )


async def replace_lost_voter(world: World) -> None:
    """The coordinator is lost for good, and the spare replaces it."""
    await start_with_spares(world)
    lost = world.controllers[0]
    world.power_off(lost)
    await run_load_until(world, lambda: has_settled(world, 1 if lost in live_controllers(world) else 2))
    await check_afterwards(world, 1 if lost in live_controllers(world) else 2)


async def add_two_voters(world: World) -> None:
    """Two spares join, as two losses have to be tolerated."""
    await start_with_spares(world)
    await run_load_until(world, lambda: has_settled(world, 2))
    await check_afterwards(world, 2)


def one_spare(seed: int = 1) -> World:
    return World(seed=seed, spares=1, bounds=QUICK)


def two_spares(seed: int = 1) -> World:
    return World(seed=seed, spares=2, bounds=QUICK, losses=2)


def proposer(world: World) -> str:
    return next(host for _, host, text in world.log_lines if text == "proposing new voters")


def kill_of_proposer(world: World, name: str) -> None:
    world.kill(proposer(world), 0.5)


def long_power_loss_of_proposer(world: World, name: str) -> None:
    world.power_off(proposer(world), 6.0)


def power_loss_of_all_live(world: World, name: str) -> None:
    for at, one in enumerate(live_controllers(world)):
        world.power_off(one, 0.3 + 0.05 * at)


def kill_of_all_live(world: World, name: str) -> None:
    for at, one in enumerate(live_controllers(world)):
        world.kill(one, 0.3 + 0.05 * at)


def freeze_of_one(world: World, name: str) -> None:
    world.freeze(name, 3.0)


def return_of_removed_voter(world: World, name: str) -> None:
    world.start_controller(world.controllers[0])


def change_window(world: World) -> tuple[int, int]:
    """Returns the range of points from the proposal of new voters until all have caught up."""
    first = next(point for point, _, text in world.log_lines if text == "proposing new voters")
    return first + 1, max(point for point, _, text in world.log_lines if text == "caught up") + 1


Case = tuple[Callable[[int], World], Callable[[World], Coroutine[Any, Any, None]], Fault, int]
CASES: tuple[Case, ...] = (  # the last field: the step between injected points
    (one_spare, replace_lost_voter, power_of_one, 3),
    (one_spare, replace_lost_voter, power_loss_of_all_live, 1),
    (one_spare, replace_lost_voter, kill_of_all_live, 3),
    (one_spare, replace_lost_voter, cut_of_one, 3),
    (one_spare, replace_lost_voter, kill_of_proposer, 1),
    (one_spare, replace_lost_voter, long_power_loss_of_proposer, 3),
    (one_spare, replace_lost_voter, freeze_of_one, 3),
    (one_spare, replace_lost_voter, return_of_removed_voter, 2),
    (two_spares, add_two_voters, wipe_of_one, 1),
    (two_spares, add_two_voters, power_loss_of_all_live, 3),
    (two_spares, add_two_voters, long_power_loss_of_proposer, 3),
    (two_spares, add_two_voters, wipe_while_all_others_lose_power, 2),
)


def run_with_fault(case: int, point: int, seed: int) -> str:
    """Runs a scenario with a fault injected at one point. Returns what broke, or an empty string."""
    make, scenario, fault, _ = CASES[case]
    world = make(seed)
    world.faults_at[point] = lambda name: fault(world, name)
    try:
        run_scenario(world, scenario)
    except InvariantViolation as broken:
        return str(broken)
    assert not world.faults_at, "the fault was not injected"
    return ""


def outcome(job: tuple[int, int, int]) -> str:
    return run_with_fault(*job)


def outcomes(jobs: list[tuple[int, int, int]]) -> dict[tuple[int, int, int], str]:
    """Runs several jobs and returns those in which something broke."""
    fork = multiprocessing.get_context("fork")
    with ProcessPoolExecutor(WORKERS, mp_context=fork, initializer=gc.freeze) as pool:
        found = zip(jobs, pool.map(outcome, jobs, chunksize=4), strict=True)
        return {job: broken for job, broken in found if broken}


@pytest.mark.parametrize(
    "case",
    range(len(CASES)),
    ids=[f"{scenario.__name__}-{fault.__name__}" for _, scenario, fault, _ in CASES],
)
def test_nothing_acknowledged_is_lost_by_a_fault_during_a_change_of_voters(case: int) -> None:
    make, scenario, _, every = CASES[case]
    world = run_scenario(make(1), scenario)
    first, last = change_window(world)
    assert last - first > 40
    assert outcomes([(case, point, 1) for point in range(first, last, every)]) == {}


def test_a_change_of_voters_is_short_and_pending_claims_are_answered() -> None:
    world = one_spare()
    at: dict[str, float] = {}

    async def scenario(world: World) -> None:
        await start_with_spares(world)
        world.power_off(world.controllers[0])
        await wait_until(lambda: any(text == "proposing new voters" for _, _, text in world.log_lines), 20.0)
        at["began"] = world.now
        outcomes = [world.claim(name, f"under way {at_}") for at_ in range(4) for name in world.sidecars[:1]]
        await wait_until(lambda: all(outcomes))
        assert [outcome for [outcome] in outcomes] == ["RUN"] * 4
        await wait_until(lambda: has_settled(world, 2))
        at["over"] = world.now

    run_scenario(world, scenario)
    assert at["over"] - at["began"] < 0.3


def run_concurrent_proposals(seed: int) -> World:
    """Runs a world in which up to three controllers propose different voters at about the same time."""
    world = World(seed=seed, spares=2, bounds=QUICK)

    async def scenario(world: World) -> None:
        await start_with_spares(world)
        a, b, c = (f"{name}:7000" for name in world.controllers)
        d, e = (f"{name}:7000" for name in world.spares)
        proposals = [(a, b, d), (b, c, e), (a, d, e)]

        async def proposed(at: int) -> None:
            await asyncio.sleep(world.random.uniform(0, 0.012))
            controller = world.controller(world.controllers[at])
            assert controller is not None
            for _ in range(4):
                world.machines[controller.context.me[:-5]].process.soon(  # type: ignore[union-attr]
                    lambda: (
                        controller.voters.epoch == 1
                        and controller.context.spawn(controller.elections.propose(proposals[at]))
                    )
                )
                await asyncio.sleep(world.random.uniform(0, 0.3))

        await asyncio.gather(
            *(proposed(at) for at in range(3)), run_load_until(world, lambda: has_settled(world, 2))
        )
        assert newest_voters(world).epoch == 2
        for name in live_controllers(world):
            world.check_voters(voters_of(world, name))
        await check_afterwards(world, 2)

    return run_scenario(world, scenario)


def test_one_of_several_concurrent_proposals_is_learned_by_all() -> None:
    won = {run_concurrent_proposals(seed).voter_sets[2] for seed in range(30)}
    assert len(won) > 1


def test_detects_a_proposer_that_counts_fewer_than_a_majority(monkeypatch: pytest.MonkeyPatch) -> None:
    one = property(lambda voters: 1)

    def few(self: Proposal, *arguments: Any) -> None:
        init(self, *arguments)
        self.voters = type("Few", (Voters,), {"write_quorum": one})(*self.voters)

    init = Proposal.__init__
    monkeypatch.setattr(Proposal, "__init__", few)
    with pytest.raises(InvariantViolation, match="beside"):  # the first failing seed ends the search
        for seed in range(300):
            run_concurrent_proposals(seed)


def test_detects_new_voters_that_do_not_read_from_the_previous_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    async def at_once(recovery: Recovery, voters: Voters, sealed: bool) -> bool:
        if not sealed:
            return bool(await read_from(recovery, voters, sealed))
        recovery._context.member.mark_caught_up(recovery._context.voters.epoch)
        return True

    read_from = Recovery._read_from
    monkeypatch.setattr(Recovery, "_read_from", at_once)
    with pytest.raises(InvariantViolation, match="twice|by enough"):
        for seed in range(6):
            run_scenario(one_spare(seed), replace_lost_voter)


def test_detects_a_read_quorum_of_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Voters, "read_quorum", property(lambda voters: 1))
    with pytest.raises(InvariantViolation):
        for seed in range(200):  # the first failing seed ends the search
            run_scenario(one_spare(seed), replace_lost_voter)


take_voters = ControlClient.apply_voters


async def late_claim_across_epochs(world: World) -> None:
    """Two of three voters are replaced. One of them has granted a key and freezes. The claim reaches the
    other one late, after the new voters have granted the key to another token."""
    one, two = world.sidecars
    await start_with_spares(world)
    a, b, c = world.controllers
    d, e = world.spares
    world.cut(one, 0.6, [b, c])
    outcome = world.claim(one, "k")
    await asyncio.sleep(0.06)
    assert [by for token, by in world.keys["k"].grants.items() if token.startswith(one)] == [{a}]
    world.freeze(a, 2.0)
    controller = world.controller(b)
    assert controller is not None
    names = tuple(f"{name}:7000" for name in (b, d, e))
    world.machines[b].process.soon(lambda: controller.context.spawn(controller.elections.propose(names)))  # type: ignore[union-attr]
    assert await wait_until(lambda: all(voters_of(world, name).epoch == 2 for name in (b, c, d, e)))
    await claim_key(world, two, "k")
    await wait_until(lambda: bool(outcome))


@pytest.mark.parametrize(
    ("controller_knows", "sidecar_asks_anew", "runs"),
    [
        (True, True, 1),
        (True, False, 1),
        (False, True, 1),
        (False, False, 2),
    ],
)
def test_grants_of_two_epochs_never_add_up_to_a_quorum(
    monkeypatch: pytest.MonkeyPatch, controller_knows: bool, sidecar_asks_anew: bool, runs: int
) -> None:
    """Either of the two checks is sufficient here; without both of them a key runs twice."""
    if not controller_knows:
        monkeypatch.setattr(Member, "votes", lambda member, epoch: member.caught_up_epoch > 0)
    if not sidecar_asks_anew:
        monkeypatch.setattr(
            ControlClient,
            "apply_voters",
            lambda control, voters: (
                (None if control.key_claims.voters.epoch else take_voters(control, voters))
                if control._context.node_name == "10.0.1.1"
                else take_voters(control, voters)
            ),
        )
    world = World(spares=2, bounds=QUICK)
    if runs > 1:
        with pytest.raises(InvariantViolation, match="twice|by enough"):
            run_scenario(world, late_claim_across_epochs)
    else:
        run_scenario(world, late_claim_across_epochs)
        assert len(world.keys["k"].ran) == runs


# --- partitions, freezes, restarts, and machines that leave and return


def test_only_the_majority_side_of_a_partition_changes_voters_and_the_other_side_recovers() -> None:
    async def scenario(world: World) -> None:
        await start_with_spares(world)
        one, two = world.sidecars
        alone, *rest = world.controllers
        for name in (alone, one):
            world.cut(name, 9.0, [*rest, *world.spares, two, "10.0.2.1"])
        world.cut(two, 9.0, [alone])
        outcomes = []
        for at in range(60):
            outcomes.append(world.claim(world.sidecars[at % 2], f"half {at // 2}"))
            await asyncio.sleep(0.13)
        assert voters_of(world, alone).epoch == 1 and voters_of(world, rest[0]).epoch == 2
        assert not any(
            key.ran[0].startswith(one)
            for name, key in world.keys.items()
            if name.startswith("half") and key.ran
        )
        await asyncio.sleep(3.0)
        await check_afterwards(world, 2)
        assert all(outcomes) and newest_voters(world).epoch == 2, "a voter that returns causes no change"

    run_scenario(one_spare(), scenario)


@pytest.mark.parametrize("away_s", [0.5, 2.5, 3.5])
def test_a_short_absence_does_not_change_the_voters(away_s: float) -> None:
    async def scenario(world: World) -> None:
        await start_with_spares(world)
        for name in world.controllers:
            world.kill(name, away_s)
            await asyncio.sleep(away_s + 3.0)
        await asyncio.sleep(5.0)
        assert newest_voters(world).epoch == 1 and has_settled(world, 1)

    run_scenario(World(spares=1, bounds=SLOW), scenario)


def test_a_frozen_voter_is_replaced_and_its_later_grants_do_not_count() -> None:
    async def scenario(world: World) -> None:
        await start_with_spares(world)
        world.freeze(world.controllers[0], 15.0)
        await run_load_until(world, lambda: voters_of(world, world.controllers[1]).epoch == 2, 14.0)
        await run_load_until(world, lambda: has_settled(world, 2))
        await check_afterwards(world, 2)

    for seed in range(5):
        run_scenario(one_spare(seed), scenario)


def test_a_stopping_coordinator_names_its_successor_and_stays_a_voter() -> None:
    async def scenario(world: World) -> None:
        await start_with_spares(world)
        first, second, third = world.controllers
        await asyncio.sleep(2.5)  # until all are in contact with each other
        process = world.machines[first].process
        assert process is not None
        process.run(process.role.stop())
        await asyncio.sleep(0.35)
        assert {world.controller(name).elections._successor for name in (second, third)} == {f"{second}:7000"}  # type: ignore[union-attr]
        world.kill(first, 0.3)
        await asyncio.sleep(8.0)
        assert newest_voters(world).epoch == 1 and has_settled(world, 1)

    run_scenario(World(bounds=QUICK), scenario)  # a spare would replace it: test_mesh_repair


def test_seeds_replaced_one_after_the_other_are_forgotten() -> None:
    async def scenario(world: World) -> None:
        await wait_until(lambda: world.caught_up_controllers() == world.controllers)
        assert await world.patch(0, change([service("berths", 1)], [route("a", 1, "/a/")])) == 200
        for at in range(6):
            assert await claim_key(world, world.sidecars[at % 2], f"old {at}") == "RUN"
        olds, names = list(world.controllers), list(world.controllers)
        for at, (old, new) in enumerate(zip(olds, world.spares, strict=True)):
            names = [*names[1:], new]
            world.reseed(names)
            world.start_controller(new)
            world.power_off(old)
            await run_load_until(world, lambda epoch=at + 2: has_settled(world, epoch))
        assert newest_voters(world).names == tuple(f"{name}:7000" for name in world.spares)
        await check_afterwards(world, 4)
        lost = {f"{name}:7000" for name in olds}
        await asyncio.sleep(20.0)
        for name in world.spares:
            controller = world.controller(name)
            assert controller is not None and not lost & set(controller.peers.names)
        for name in world.sidecars:
            assert not lost & set(world.machines[name].process.role.control._dials)  # type: ignore[union-attr]
        # Outdated reports bring none of them back; a controller that returns itself is known again.
        controller = world.controller(world.spares[0])
        assert controller is not None
        process = world.machines[world.spares[0]].process
        assert process is not None
        old = message(
            kind_of(messages.Hello),
            controller.context.me,
            [1, []],
            sorted(lost),
            "",
            [],
            1,
            dict.fromkeys(lost, 1),
            {},
        )
        process.soon(lambda: controller.hear(next(iter(controller.peers.connections.values())), old))
        sidecar = world.machines[world.sidecars[0]].process
        assert sidecar is not None
        links = sidecar.role.control.connections.values()
        sidecar.soon(
            lambda: sidecar.role.on_message(
                next(iter(links)), message(kind_of(messages.CurrentVoters), 1, sorted(lost))
            )
        )
        sidecar.soon(
            lambda: sidecar.role.on_message(
                next(iter(links)),
                message(kind_of(messages.Controllers), sorted(lost), "", dict.fromkeys(lost, 1), {}),
            )
        )
        await asyncio.sleep(2.0)
        assert not lost & set(controller.peers.names) and newest_voters(world).epoch == 4
        assert (
            not lost & set(sidecar.role.control._dials) and sidecar.role.control.key_claims.voters.epoch == 4
        )
        world.start_controller(olds[0])
        back = f"{olds[0]}:7000"
        assert await wait_until(
            lambda: all(
                back in world.controller(name).peers.names
                for name in world.spares  # type: ignore[union-attr]
            )
        )
        assert await wait_until(
            lambda: all(
                back in world.machines[name].process.role.control._dials  # type: ignore[union-attr]
                for name in world.sidecars
            )
        )
        assert await wait_until(lambda: has_settled(world, 4)) and newest_voters(world).epoch == 4

    run_scenario(World(spares=3, bounds=QUICK), scenario)


def test_seeds_that_are_all_new_machines_name_no_voters() -> None:
    async def scenario(world: World) -> None:
        assert await wait_until(lambda: world.caught_up_controllers() == world.controllers)
        world.seeds = tuple(world.spares)
        for name in world.spares:
            world.start_controller(name)
        await asyncio.sleep(6.0)
        assert not any(voters_of(world, name).epoch for name in world.spares)
        world.reseed(world.controllers)
        assert await wait_until(lambda: world.caught_up_controllers() == world.controllers + world.spares)

    run_scenario(World(spares=3, bounds=QUICK), scenario)


def test_a_controller_forgotten_during_a_long_partition_is_known_again() -> None:
    async def scenario(world: World) -> None:
        await start_with_spares(world)
        world.reseed(world.controllers[:1])
        far = f"{world.spares[0]}:7000"
        world.cut(world.spares[0], 24.0)
        await asyncio.sleep(23.0)
        found = [
            controller for controller in map(world.controller, world.controllers) if controller is not None
        ]
        assert not any(far in controller.peers.names for controller in found)
        assert not any(
            far in world.machines[name].process.role.control._dials  # type: ignore[union-attr]
            for name in world.sidecars
        )
        await asyncio.sleep(6.0)
        assert all(far in controller.peers.connections for controller in found)
        assert all(
            far in world.machines[name].process.role.control.connections  # type: ignore[union-attr]
            for name in world.sidecars
        )

    run_scenario(one_spare(), scenario)
