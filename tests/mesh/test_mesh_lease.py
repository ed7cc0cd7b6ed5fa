"""A control machine out of contact with a majority answers no read, change, claim or sidecar on its own."""

from __future__ import annotations

import asyncio
import gc
import multiprocessing
from collections.abc import Callable, Coroutine
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from mesh_world import World
from operator_calls import InvariantViolation, change, read_back, route, service
from test_mesh_faults import WORKERS
from test_mesh_faults import until as wait_until

from mesh.control.heartbeats import CONTACT_GAP_S, Heartbeats
from mesh.control.lease import FaultTolerance, ReadLease, fault_tolerance
from mesh.proxy.sidecar import Sidecar
from mesh.state.quorum import Voters
from mesh.transport.messages import HeartbeatAnswer

CUT_S = 20.0
LEASE_S = 1.5  # half of `contact`
LOST_S = LEASE_S + CONTACT_GAP_S + 0.5  # so long after a partition the loss of contact has been reported
AT_ONCE_S = 0.05
Scenario = Callable[[World], Coroutine[Any, Any, None]]
UNKNOWN = change((), [route("z", 9, "/z/", "nowhere")])


async def start_and_load(world: World) -> None:
    if not await wait_until(lambda: world.caught_up_controllers() == world.controllers):
        raise InvariantViolation("the first voters did not catch up")
    assert await world.patch(0, change([service("berths", 1)], [route("a", 1, "/a/")])) == 200
    if not await wait_until(lambda: all(held_versions(world, name) for name in world.sidecars)):
        raise InvariantViolation("a sidecar did not receive the configuration")


def sidecar(world: World, name: str) -> Sidecar:
    process = world.machines[name].process
    assert process is not None and process.role is not None
    return process.role  # type: ignore[no-any-return]


def held_versions(world: World, name: str) -> dict[str, int]:
    """Returns the versions of the items that a sidecar holds, by name."""
    return {item.name: item.version for item in sidecar(world, name).items.values()}


def peers(world: World) -> list[str]:
    """Returns all control machines but the first, which is the one that is cut off."""
    return [name for name in world.controllers + world.spares if name != world.controllers[0]]


def cut_from_peers(world: World, minority: str) -> None:
    world.cut(minority, CUT_S, peers(world))


def cut_outgoing(world: World, minority: str) -> None:
    world.cut_one_way(minority, CUT_S, peers(world), outward=True)


def cut_incoming(world: World, minority: str) -> None:
    world.cut_one_way(minority, CUT_S, peers(world), outward=False)


CUTS = (cut_from_peers, cut_outgoing, cut_incoming)


def restart_in_minority(world: World, name: str, minority: str, for_s: float = CUT_S) -> None:
    """Restarts a sidecar that reaches nothing but the machine that is cut off."""
    world.cut(name, for_s, [other for other in world.machines if other not in (name, minority)])
    world.kill(name)
    world.start_sidecar(name)


async def ask_at_once(world: World, name: str, method: bytes, body: bytes = b"") -> int:
    began = world.now
    status, _ = await world.ask(name, method, body)
    if world.now - began > AT_ONCE_S:
        raise InvariantViolation(f"{method.decode()} was answered after {world.now - began:.2f} s")
    return status


def cut_off_scenario(fault: Callable[[World, str], None]) -> Scenario:
    async def scenario(world: World) -> None:
        await start_and_load(world)
        minority, other = world.controllers[:2]
        inside, outside = world.sidecars
        fault(world, minority)
        await asyncio.sleep(LOST_S)
        assert await world.patch(1, change([service("berths", 2)])) == 200
        # A valid change, an invalid one, and one that is in force already.
        for body in (change([service("berths", 3)]), UNKNOWN, change([service("berths", 1)])):
            if await ask_at_once(world, minority, b"PATCH", body) != 503:
                raise InvariantViolation("a change was validated without contact")
        if (await world.ask(minority, b"GET"))[0] == 200:
            raise InvariantViolation("a read was answered without contact")
        restart_in_minority(world, inside, minority)
        for _ in range(int(CUT_S - LOST_S) - 4):
            await asyncio.sleep(1.0)
            if held_versions(world, inside):
                raise InvariantViolation(f"a sidecar in the minority takes {held_versions(world, inside)}")
            if held_versions(world, outside).get("service/berths") != 2:
                raise InvariantViolation(f"a sidecar in the majority has {held_versions(world, outside)}")
        await check_after_heal(world)
        assert any(
            text == "out of contact with a majority" for _, host, text in world.log_lines if host == minority
        )

    return scenario


async def check_after_heal(world: World) -> None:
    """Checks that after the partition everything is in force everywhere and can be read."""

    def all_current() -> bool:
        return all(held_versions(world, name).get("service/berths", 0) >= 2 for name in world.sidecars)

    if not await wait_until(all_current, CUT_S):
        raise InvariantViolation("a sidecar did not recover after the partition")
    if not await wait_until(
        lambda: all(
            (controller := world.controller(name)) is not None and controller.in_contact
            for name in world.controllers
        ),
        CUT_S,
    ):
        raise InvariantViolation("contact was not established again")
    for name in world.controllers:
        status, body = await world.ask(name, b"GET")
        assert status == 200
        read_back(world, body)


def run_scenario(world: World, scenario: Scenario) -> None:
    with world:
        world.start()
        task = world.operator.run(scenario(world))
        if not world.run(120.0, task.done):
            raise InvariantViolation("the scenario did not end in time")
        task.result()


@pytest.mark.parametrize("size", [3, 4, 5])
@pytest.mark.parametrize("fault", CUTS, ids=[fault.__name__ for fault in CUTS])
def test_a_machine_that_is_cut_off_answers_nothing_on_its_own(fault: Any, size: int) -> None:
    for seed in range(3):
        run_scenario(World(seed=seed, size=size), cut_off_scenario(fault))


async def frozen_scenario(world: World) -> None:
    """Freezes a machine instead of cutting it off: waiting requests are answered as without contact."""
    await start_and_load(world)
    minority = world.controllers[0]
    inside = world.sidecars[0]
    controller = world.controller(minority)
    assert controller is not None
    while max(controller.heartbeats._sent.values()) < world.now - 0.0005:
        await asyncio.sleep(0.0002)  # responses to a heartbeat are in flight
    world.freeze(minority, 6.0)
    waiting = asyncio.ensure_future(world.ask(minority, b"PATCH", change([service("berths", 3)]), 10.0))
    await asyncio.sleep(1.0)
    assert await world.patch(1, change([service("berths", 2)])) == 200
    restart_in_minority(world, inside, minority, 12.0)
    seen: set[int] = set()
    for _ in range(400):
        await asyncio.sleep(0.02)
        seen.add(held_versions(world, inside).get("service/berths", 2))
    status, _ = await waiting
    if status != 503:
        raise InvariantViolation(f"a change that waited for a frozen machine got {status}")
    if seen != {2}:
        raise InvariantViolation(f"a sidecar takes a configuration from a machine that was frozen: {seen}")
    await check_after_heal(world)


def test_a_machine_that_was_frozen_answers_nothing_under_its_expired_lease() -> None:
    for seed in range(5):
        run_scenario(World(seed=seed), frozen_scenario)


async def keys_in_minority(world: World) -> None:
    """A machine without contact grants no key, and a sidecar that reaches the others loses nothing."""
    await start_and_load(world)
    minority = world.controllers[0]
    cut_from_peers(world, minority)
    await asyncio.sleep(LOST_S)
    before = sum(len(key.grants) for key in world.keys.values())
    for at in range(6):
        outcome = world.claim(world.sidecars[at % 2], f"k{at}")
        assert await wait_until(lambda outcome=outcome: bool(outcome), 2.0)  # type: ignore[misc]
        if outcome != ["RUN"]:
            raise InvariantViolation(f"a key was not granted by the majority: {outcome}")
    controller = world.controller(minority)
    assert before == 0 and controller is not None and len(controller.grants.registry) == 0


def test_the_majority_grants_keys_and_a_machine_that_is_cut_off_grants_none() -> None:
    run_scenario(World(), keys_in_minority)


async def no_majority_anywhere(world: World) -> None:
    """Cuts off all control machines: a sidecar keeps its configuration, and one that starts has none."""
    await start_and_load(world)
    for name in world.controllers:
        world.cut(name, CUT_S, world.controllers)
    await asyncio.sleep(LOST_S)
    one, other = world.sidecars
    world.kill(one)
    world.start_sidecar(one)
    await asyncio.sleep(4.0)
    assert not held_versions(world, one) and not sidecar(world, one).control.table.routes_by_host
    assert held_versions(world, other) == {"service/berths": 1, "route/a": 1}
    for name in world.controllers:
        assert await ask_at_once(world, name, b"PATCH", change([service("berths", 2)])) == 503
    await asyncio.sleep(CUT_S)
    assert held_versions(world, one) == held_versions(world, other) == {"service/berths": 1, "route/a": 1}


def test_without_any_majority_the_configuration_in_force_stays_unchanged() -> None:
    run_scenario(World(), no_majority_anywhere)


async def permanent_loss_of_majority(world: World) -> None:
    await start_and_load(world)
    for name in world.controllers[1:]:
        world.power_off(name)
    await asyncio.sleep(16.5)
    texts = [text for _, host, text in world.log_lines if host == world.controllers[0]]
    assert any(text.startswith("no majority for a long time") for text in texts)
    controller = world.controller(world.controllers[0])
    assert controller is not None and controller.heartbeats.fault_tolerance == FaultTolerance(0, 0)
    assert controller.heartbeats.absent_voters() == [f"{name}:7000" for name in world.controllers[1:]]


def test_a_long_loss_of_the_majority_is_logged_with_the_absent_voters() -> None:
    run_scenario(World(), permanent_loss_of_majority)


# --- a partition at any point of a change


async def changes_with_cut(world: World) -> None:
    await start_and_load(world)
    minority, inside = world.controllers[0], world.sidecars[0]
    world.marks = world.points  # type: ignore[attr-defined]
    for version in (2, 3):
        assert await world.patch(version, change([service("berths", version)])) == 200
    await asyncio.sleep(LOST_S)
    for version in (4, 5):
        assert await world.patch(1, change([service("berths", version)])) == 200
    await asyncio.sleep(LOST_S)  # until then a sidecar may be sent state as old as the lease
    restart_in_minority(world, inside, minority, 6.0)
    await asyncio.sleep(4.0)
    found = held_versions(world, inside).get("service/berths", 5)
    if found < 5:
        raise InvariantViolation(
            f"version 5 is acknowledged, and version {found} is taken by a sidecar that starts"
        )
    await check_after_heal(world)


def run_with_fault(job: tuple[int, int]) -> str:
    fault, point = job
    world = World(seed=1)
    world.faults_at[point] = lambda name: CUTS[fault](world, world.controllers[0])
    try:
        run_scenario(world, changes_with_cut)
    except InvariantViolation as broken:
        return str(broken)
    return ""


@pytest.mark.parametrize("fault", range(len(CUTS)), ids=[fault.__name__ for fault in CUTS])
def test_no_outdated_state_is_served_after_a_partition_at_any_point_of_a_change(fault: int) -> None:
    world = World(seed=1)
    run_scenario(world, changes_with_cut)
    first = world.marks  # type: ignore[attr-defined]
    jobs = [(fault, point) for point in range(first + 1, first + 60, 2)]
    fork = multiprocessing.get_context("fork")
    with ProcessPoolExecutor(WORKERS, mp_context=fork, initializer=gc.freeze) as pool:
        found = dict(zip(jobs, pool.map(run_with_fault, jobs, chunksize=2), strict=True))
    assert {job: broken for job, broken in found.items() if broken} == {}


# --- with one check removed


def test_detects_a_lease_that_is_not_checked(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ReadLease, "holds", lambda contact, now, voters, votes: voters.epoch > 0)
    with pytest.raises(
        InvariantViolation, match="in the minority takes|validated without contact|was answered after"
    ):
        run_scenario(World(), cut_off_scenario(cut_from_peers))


def test_detects_a_lease_renewed_from_the_time_of_the_response(monkeypatch: pytest.MonkeyPatch) -> None:
    """Otherwise a response that waited in the socket of a frozen process renews the lease."""

    def late(heartbeats: Heartbeats, link: Any, response: HeartbeatAnswer) -> None:
        heartbeats._sent[response.number] = heartbeats._context.loop.time()
        on_response(heartbeats, link, response)

    on_response = Heartbeats.on_response
    monkeypatch.setattr(Heartbeats, "on_response", late)
    with pytest.raises(InvariantViolation, match="frozen"):
        for seed in range(5):
            run_scenario(World(seed=seed), frozen_scenario)


# --- the lease without I/O

A, B, C, D = (f"10.0.0.{at}:7000" for at in range(1, 5))
THREE = Voters(1, (A, B, C))


def test_a_lease_counts_from_the_request_and_expires() -> None:
    made = ReadLease(A, 1.5)
    assert not made.holds(10.0, THREE, True)
    made.renew(B, 10.0)
    assert made.holds(11.5, THREE, True) and not made.holds(11.6, THREE, True)
    made.renew(B, 9.0)
    assert made.holds(11.5, THREE, True), "an older response does not shorten the lease"
    assert not made.holds(11.0, THREE, False), "a machine that may not vote counts the others only"
    made.renew(C, 11.0)
    assert made.holds(11.0, THREE, False) and made.counted_voters(11.0, THREE, False) == [B, C]
    made.clear()
    assert not made.holds(11.0, THREE, True)
    assert ReadLease(A, 1.5).holds(0.0, Voters(1, (A,)), True) and not made.holds(11.0, Voters(0, ()), True)


@given(st.integers(1, 7), st.data())
def test_at_most_one_side_of_a_partition_is_in_contact(size: int, data: st.DataObject) -> None:
    names = tuple(f"n{at}" for at in range(size))
    voters = Voters(1, names)
    here = data.draw(st.sets(st.sampled_from(names)))
    found = []
    for half in (here, set(names) - here):
        for me in half:
            made = ReadLease(me, 1.0)
            for other in half - {me}:
                made.renew(other, 5.0)
            found.append((made.holds(5.0, voters, True), me in here))
    assert len({side for holds, side in found if holds}) <= 1


@pytest.mark.parametrize(
    ("size", "caught_up", "expected"),
    [
        (3, 3, (2, 1)),
        (3, 2, (1, 0)),
        (3, 1, (0, 0)),
        (4, 4, (3, 1)),
        (4, 3, (2, 0)),
        (5, 5, (3, 2)),
        (5, 4, (2, 1)),
        (5, 3, (1, 0)),
        (7, 7, (4, 3)),
        (1, 1, (1, 0)),
    ],
)
def test_copies_and_tolerated_losses(size: int, caught_up: int, expected: tuple[int, int]) -> None:
    voters = Voters(1, tuple(f"n{at}" for at in range(size)))
    assert fault_tolerance(voters, caught_up) == expected
