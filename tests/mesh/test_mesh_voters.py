"""Reconfiguration of the voters: real controllers and claimants on simulated time, with a fault injected at
each point of a change."""

from __future__ import annotations

import asyncio
import gc
import multiprocessing
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import cbor2
import pytest
from mesh_world import World
from operator_calls import InvariantViolation, change, read_back, route, service
from test_mesh_api import ME, Disk, make_controller
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

from mesh.control.ballot import (
    FailureDetector,
    Member,
    Proposal,
    ReplacementDelays,
    initial_voters,
    next_voters,
)
from mesh.control.controller import Controller
from mesh.control.recovery import Recovery
from mesh.proxy.control_client import ControlClient
from mesh.state.ballots import Accepted, Ballot
from mesh.state.idempotency import FREED_RETENTION_S, Registry
from mesh.state.quorum import PeerView, Voters
from mesh.transport import messages
from mesh.transport.connection import pack
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


# --- the protocol without I/O


A, B, C, D, E = (f"10.0.0.{at}:7000" for at in range(1, 6))
THREE = Voters(1, (A, B, C))


def make_member(me: str, promised: int = 0) -> Member:
    made = Member(me)
    made.learn(THREE, ())
    made.mark_caught_up(1)
    made.promised = Ballot(promised, "")
    return made


def test_promises_and_acceptances_survive_a_power_loss() -> None:
    made = make_member(A)
    assert made.votes(1) and made.promise(1, Ballot(3, "x")) and not made.accept(1, Ballot(2, "y"), (A, B, D))
    assert made.votes(1) and made.accept(1, Ballot(3, "x"), (A, B, D)) and not made.votes(1)
    again = Member(A)
    for record in [["whole"], *made.records()]:
        again.load(record)
    assert (
        again.accepted == Accepted(Ballot(3, "x"), (A, B, D))
        and again.has_final_state(1)
        and not again.votes(1)
    )
    assert not again.promise(1, Ballot(2, "z")) and again.promise(1, Ballot(4, "z"))
    assert again.learn(Voters(2, (A, B, D)), ()) and again.previous_voters == (A, B, C)
    assert again.has_final_state(1) and not again.votes(2) and not again.caught_up
    assert not again.learn(Voters(1, (A, B, E)), ()), "a lower epoch is ignored"
    assert list(again.sources()) == [(THREE, True), (Voters(2, (A, B, D)), False)]
    again.mark_caught_up(2)
    assert again.votes(2) and again.caught_up


def test_only_a_wiped_voter_waits_before_it_reads_from_others() -> None:
    made = Member(A)
    assert not made.may_have_promised, "no voters are known yet"
    made.learn(Voters(2, (B, C, D)), ())
    assert not made.may_have_promised, "a new machine, or a former voter"
    made.learn(Voters(3, (A, B, C)), ())
    assert made.may_have_promised, "a voter with a wiped disk"
    made.mark_caught_up(3)
    assert not made.may_have_promised


def test_a_wiped_disk_neither_promises_nor_reads_from_sealed_voters() -> None:
    made = Member(A)
    made.learn(Voters(2, (A, B, D)), (A, B, C))
    assert not made.promise(2, Ballot(1, "x")) and not made.accept(2, Ballot(1, "x"), (A, B, E))
    assert list(made.sources()) == [(Voters(2, (A, B, D)), False)]


@pytest.mark.parametrize(("limit_s", "both"), [(1.0, False), (1e9, True)])
def test_a_promise_lost_with_a_disk_is_void_before_it_can_matter(limit_s: float, both: bool) -> None:
    """A promises to one proposer and is wiped. Nobody else has promised yet, so A can't learn of it."""
    y, z = make_member(B), make_member(C)
    one = Proposal(THREE, Ballot(5, "one"), (A, B, D), 0.0, limit_s)
    two = Proposal(THREE, Ballot(3, "two"), (A, B, E), 1.2, limit_s)
    assert not one.on_promise(0.0, A, None)
    x = make_member(A)  # wiped at once, and back after 1.1 s, when it has read from B and C
    for name, voter in ((A, x), (C, z)):
        assert voter.promise(1, two.ballot)
        two.on_promise(1.2, name, voter.accepted)
    for name, voter in ((A, x), (C, z)):
        assert voter.accept(1, two.ballot, two.names)
        two.on_accepted(1.2, name)
    assert two.decided == Voters(2, (A, B, E))
    assert y.promise(1, one.ballot)
    if one.on_promise(1.3, B, y.accepted):
        for name, voter in ((A, x), (B, y)):
            assert voter.accept(1, one.ballot, one.names)
            one.on_accepted(1.3, name)
    assert (one.decided is not None) == both


def test_a_proposer_adopts_the_accepted_value_and_counts_each_voter_once() -> None:
    made = Proposal(THREE, Ballot(7, "p"), (A, B, D), 0.0, 1.0)
    assert (
        not made.on_accepted(0.0, A)
        and not made.on_promise(0.0, D, None)
        and not made.on_promise(0.0, A, None)
    )
    assert not made.on_promise(0.0, A, None)
    assert made.on_promise(0.0, B, Accepted(Ballot(2, "q"), (B, C, E))) and made.names == (B, C, E)
    assert not made.on_accepted(0.1, B) and not made.on_accepted(0.1, B) and made.decided is None
    assert made.on_accepted(0.1, C) and made.decided == Voters(2, (B, C, E))


DELAYS = ReplacementDelays(2.0, 14.0, 0.4)


def make_views(
    present: str, absent: dict[str, float], contact_s: float = 9.0, **options: Any
) -> dict[str, PeerView]:
    names = {name: value for name, value in zip("ABCDE", (A, B, C, D, E), strict=True)}
    contact = {names[one]: contact_s for one in present}
    silence = {names[one]: seconds for one, seconds in absent.items()}
    return {
        names[one]: PeerView(
            silence,
            contact,
            one not in options.get("behind", ""),
            one not in options.get("behind", ""),
            options.get(one, ""),
            options.get("legacy", False),
            one in options.get("stopping", ""),
        )
        for one in present
    }


@pytest.mark.parametrize(
    ("names", "losses", "views", "proposed"),
    [
        ("ABC", 1, make_views("ABC", {}), None),
        ("ABC", 1, make_views("ABCD", {}), None),
        ("ABC", 1, make_views("BCD", {"A": 2.0}), "BCD"),
        ("ABC", 1, make_views("BCD", {"A": 1.9}), None),  # absent for too short a time
        ("ABC", 1, make_views("BCD", {"A": 15.0}, contact_s=0.3), None),
        ("ABC", 1, make_views("BCD", {"A": 15.0}, legacy=True), None),
        ("ABC", 1, make_views("BC", {"A": 15.0}), None),  # two voters tolerate no more losses than three
        ("ABC", 1, make_views("CD", {"A": 15.0, "B": 15.0}), None),  # no majority
        ("ABC", 2, make_views("ABCDE", {}), "ABCDE"),
        ("ABC", 2, make_views("ABCD", {}), "ABCD"),
        ("ABCDE", 1, make_views("ABCD", {"E": 15.0}), None),
        ("ABCDE", 1, make_views("ABC", {"D": 15.0, "E": 15.0}), "ABC"),
        ("ABCDE", 1, make_views("ABC", {"D": 13.0, "E": 13.0}), None),  # they may return
        ("ABCDE", 2, make_views("ABC", {"D": 15.0, "E": 15.0}), None),  # two lost disks would lose all copies
        ("ABC", 1, make_views("BCDE", {"A": 15.0}, B="x", C="y", D="x", E="z"), "BCE"),  # spread over zones
        ("ABC", 1, make_views("ABCD", {}, stopping="A"), "BCD"),
        (
            "ABC",
            1,
            make_views("ABCD", {}, stopping="AB"),
            "BCD",
        ),  # one spare for two that are stopping: the other stays
        ("ABC", 1, make_views("ABCDE", {}, stopping="AB"), "CDE"),
        ("ABC", 1, make_views("ABC", {}, stopping="A"), None),
        (
            "ABCD",
            1,
            make_views("ABCD", {}, stopping="A"),
            "BCD",
        ),  # an even set drops the one that is stopping
        ("ABCD", 1, make_views("ABCD", {}), "ABC"),
        ("ABCD", 1, make_views("ABCD", {}, A="x", B="x", C="y", D="z"), "ACD"),  # from the fullest zone
        ("ABCD", 1, make_views("ABD", {"C": 0.1}), "ABD"),  # an absent voter is dropped first
        ("ABCD", 1, make_views("AB", {"C": 9.0, "D": 9.0}), None),  # no majority
        ("ABCD", 1, make_views("ABCDE", {}, stopping="A"), "BCD"),  # with the spare there would again be four
        ("ABCD", 2, make_views("ABCD", {}), None),  # the loss of two disks could lose both copies
        ("AB", 0, make_views("AB", {}), None),  # one voter would be the only copy
        ("ABC", 1, make_views("ABCD", {}, stopping="AD"), None),  # a stopping spare can't replace a voter
        ("ABCD", 1, make_views("ABCD", {}, behind="A"), "BCD"),  # a voter that is not caught up is dropped
        (
            "ABC",
            1,
            make_views("ACD", {"B": 3.0}, stopping="A"),
            "ACD",
        ),  # an absent voter is replaced before a stopping one
    ],
)
def test_next_voters(names: str, losses: int, views: dict[str, PeerView], proposed: str | None) -> None:
    found = next_voters(
        Voters(1, tuple(f"10.0.0.{'ABCDE'.index(one) + 1}:7000" for one in names)), losses, views, DELAYS
    )
    expected = proposed and tuple(f"10.0.0.{'ABCDE'.index(one) + 1}:7000" for one in proposed)
    assert found == expected


@pytest.mark.parametrize(
    ("zones", "losses", "names"),
    [
        ("xyz", 1, "ABC"),
        ("xxyz", 1, "ACD"),  # the zone with two machines gives up one
        ("wxyz", 1, "ABC"),
        ("wxyz", 2, "ABCD"),  # only five tolerate two losses; four keep one copy more than three
        ("xxyyz", 1, "ABCDE"),
        ("x", 0, "A"),
        ("xy", 1, "AB"),
    ],
)
def test_the_initial_voters_are_an_odd_set_spread_over_zones(zones: str, losses: int, names: str) -> None:
    machines = {f"10.0.0.{at + 1}:7000": zone for at, zone in enumerate(zones)}
    expected = tuple(f"10.0.0.{'ABCDE'.index(one) + 1}:7000" for one in names)
    assert initial_voters(machines, losses) == expected


@pytest.mark.parametrize("size", [3, 4, 5, 7, 11])
def test_the_voters_can_not_be_split_into_equal_halves(size: int) -> None:
    for losses in (1, 2):
        zones = {f"10.0.0.{at}:7000": "wxyz"[at % 4] for at in range(size)}
        voters = initial_voters(zones, losses)
        assert len(voters) % 2 == 1 or (size, losses) == (4, 2)
        held = Counter(zones[name] for name in voters).values()
        assert max(held) - min(held) <= 1 or size < 4


def test_a_voter_is_absent_only_if_a_majority_says_so() -> None:
    views = make_views("BCD", {"A": 15.0})
    assert next_voters(THREE, 1, views, DELAYS) == (B, C, D)
    views[C] = views[C]._replace(silence_s={A: 1.0})
    assert next_voters(THREE, 1, views, DELAYS) is None


def test_the_failure_detector_measures_uninterrupted_contact() -> None:
    made = FailureDetector(0.0, 0.9)
    made.add(1.0, A)
    assert made.silence_s(5.0, A) == 4.0 and made.silence_s(5.0, B) == 5.0
    for at in range(60, 91, 3):
        made.on_response(at / 10, A)
    assert made.contact_s(9.0, A) == 3.0 and made.silence_s(9.0, A) == 0.0
    assert made.contact_s(9.8, A) > 3.7 and made.silence_s(9.8, A) == 0.0, "a short silence"
    assert made.contact_s(10.0, A) == 0.0 and made.silence_s(10.0, A) == 1.0, (
        "an interruption, counted from the last response"
    )
    made.on_response(11.0, A)
    assert made.contact_s(11.5, A) == 0.5
    made.on_disconnect(A)
    assert made.silence_s(11.6, A) > 0.5 and made.contact_s(11.6, A) == 0.0, "the connection was lost"
    made.on_response(11.7, A)
    assert made.contact_s(11.8, A) == pytest.approx(0.1)
    made.remove(A)
    assert made.silence_s(20.0, A) == 20.0


# --- older versions and their disks


class RecordingConnection:
    """A connection that records what is sent."""

    peer, open = "x", True

    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.send = lambda made: self.sent.append(cbor2.loads(pack(made)[4:]))
        self.send_packed = lambda packed: self.sent.append(cbor2.loads(packed[4:]))


def in_contact(controller: Controller) -> None:
    """Records a response of each voter now."""
    for name in controller.voters.names:
        controller.heartbeats.lease.renew(name, time.monotonic())


def run_with_controller(check: Callable[[Controller, Disk], None]) -> None:
    async def main() -> None:
        made = make_controller((ME, B, C))
        in_contact(made)
        check(made, made.context.store)  # type: ignore[arg-type]
        for dial in made.peers._dials.values():
            dial.stop()

    asyncio.run(main())


def test_messages_of_an_older_version_belong_to_the_first_epoch() -> None:
    def check(controller: Controller, disk: Disk) -> None:
        link: Any = RecordingConnection()
        controller.hear(link, message(kind_of(messages.ClaimKey), 1, "k", "t", 5.0))
        controller.hear(link, message(kind_of(messages.Fetch), 2, 1, False, b""))
        controller.hear(link, message(kind_of(messages.FetchGrants), 3))
        assert [row[:3] for row in link.sent] == [
            [kind_of(messages.ClaimAnswer), 1, 1],
            [kind_of(messages.FetchAnswer), 2, True],
            [kind_of(messages.GrantsAnswer), 3, True],
        ]
        assert len(link.sent[0]) == 6, "an older sidecar reads no more fields"
        controller.learn_voters(Voters(2, (ME, B, D)), ())
        controller.context.member.mark_caught_up(2)
        in_contact(controller)
        link.sent.clear()
        controller.hear(link, message(kind_of(messages.ClaimKey), 4, "l", "t", 5.0))
        controller.hear(link, message(kind_of(messages.Fetch), 5, 1, False, b""))
        controller.hear(link, message(kind_of(messages.FetchGrants), 6))
        assert [row[:3] for row in link.sent] == [
            [kind_of(messages.CurrentVoters), 2, [ME, B, D]],
            [kind_of(messages.ClaimAnswer), 4, -1],
            [kind_of(messages.FetchAnswer), 5, False],
            [kind_of(messages.GrantsAnswer), 6, False],
        ]
        controller.hear(link, message(kind_of(messages.Hello), B, [1, [A, B, C]], [B]))
        assert controller.voters.epoch == 2 and B in controller.peers._legacy
        controller.hear(link, message(kind_of(messages.Register), ["n", "", "", "", "", 1, True, 0.0, 1, 1]))
        assert controller.elections.view(2).has_legacy_peer

    run_with_controller(check)


def test_a_disk_of_an_older_version_is_caught_up_in_the_first_epoch() -> None:
    made = Member(A)
    for record in (["voters", 1, [A, B, C]], ["whole"]):
        made.load(record)
    assert made.votes(1) and not made.votes(2)


def test_a_sealed_voter_responds_only_after_the_seal_is_on_disk() -> None:
    def check(controller: Controller, disk: Disk) -> None:
        waiting: list[Any] = []
        disk.put = lambda record, done=None: waiting.append(done)  # type: ignore[method-assign]
        link: Any = RecordingConnection()
        controller.hear(link, message(kind_of(messages.FetchGrants), 1, 1, True))
        assert link.sent.pop()[2] is False, "not sealed"
        controller.hear(link, message(kind_of(messages.Seal), 2, 1, [1, "p"], [ME, B, D]))
        controller.hear(link, message(kind_of(messages.FetchGrants), 3, 1, True))
        assert link.sent == []
        for done in waiting:
            if done is not None:
                done(True)
        assert [row[:3] for row in link.sent] == [
            [kind_of(messages.SealAnswer), 2, True],
            [kind_of(messages.GrantsAnswer), 3, True],
        ]

    run_with_controller(check)


def test_claims_stay_pending_while_voters_change_unless_they_are_freed() -> None:
    def check(controller: Controller, disk: Disk) -> None:
        link: Any = RecordingConnection()
        controller.hear(link, message(kind_of(messages.Seal), 1, 1, [1, "p"], [ME, B, D]))
        link.sent.clear()
        for number, token in ((2, "s"), (3, "t")):
            controller.hear(link, message(kind_of(messages.ClaimKey), number, token, token, 5.0))
        controller.hear(link, message(kind_of(messages.ClaimKey), 4, "k", "u", 5.0, 2))
        controller.hear(link, message(kind_of(messages.FreeKey), "s", "s"))
        assert link.sent == []
        controller.learn_voters(Voters(2, (ME, B, D)), ())
        controller.context.member.mark_caught_up(2)
        in_contact(controller)
        controller.grants.retry_pending()
        assert [row[:3] for row in link.sent if row[0] == kind_of(messages.ClaimAnswer)] == [
            [kind_of(messages.ClaimAnswer), 3, -1],
            [kind_of(messages.ClaimAnswer), 4, 1],
        ]

    run_with_controller(check)


def test_a_freed_token_does_not_return_with_rows_of_others() -> None:
    made, other = Registry(60.0), Registry(60.0)
    other.claim(0.0, "k", "t", 5.0)
    made.release(0.0, "k", "t")
    made.merge(0.1, other.rows(0.1))
    assert made.get(0.1, "k") is None
    made.merge(FREED_RETENTION_S + 1.0, other.rows(FREED_RETENTION_S + 1.0))
    assert made.get(FREED_RETENTION_S + 1.0, "k") is not None


def test_a_wiped_disk_learns_the_promises_of_others() -> None:
    async def main() -> None:
        made = make_controller((ME, B, C))
        made.context.member.caught_up_epoch = 0
        link: Any = RecordingConnection()
        link.peer, made.peers.connections = B, {B: link}
        hearing = asyncio.ensure_future(made.recovery.fetch_grants(made.voters, 1, False))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        [[_, number, epoch, sealed, part]] = link.sent
        assert (epoch, sealed, part) == (1, False, 0)
        made.hear(link, message(kind_of(messages.GrantsAnswer), number, True, [], 1, [7, "p"]))
        assert await hearing and made.context.member.promised == Ballot(7, "p")

    asyncio.run(main())
