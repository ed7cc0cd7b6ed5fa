"""A control machine out of contact with a majority serves, refuses and confirms nothing on its own word."""

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
from test_mesh_faults import until as until_

from mesh.control.heartbeats import GAP_S, Heartbeats
from mesh.control.lease import ReadLease, Safety, safety
from mesh.proxy.sidecar import Sidecar
from mesh.state.quorum import Voters
from mesh.transport.messages import HeartbeatAnswer

CUT_S = 20.0
LEASE_S = 1.5  # half of `contact`
LOST_S = LEASE_S + GAP_S + 0.5  # contact is lost, and that is known, so long after a cut
AT_ONCE_S = 0.05
Story = Callable[[World], Coroutine[Any, Any, None]]
UNKNOWN = change((), [route("z", 9, "/z/", "nowhere")])


async def begun(world: World) -> None:
    if not await until_(lambda: world.caught_up_controllers() == world.controllers):
        raise InvariantViolation("no start")
    assert await world.patch(0, change([service("berths", 1)], [route("a", 1, "/a/")])) == 200
    if not await until_(lambda: all(held(world, name) for name in world.sidecars)):
        raise InvariantViolation("a sidecar hears of nothing")


def sidecar(world: World, name: str) -> Sidecar:
    process = world.machines[name].process
    assert process is not None and process.role is not None
    return process.role  # type: ignore[no-any-return]


def held(world: World, name: str) -> dict[str, int]:
    """Versions by name of what a sidecar has."""
    return {item.name: item.version for item in sidecar(world, name).items.values()}


def peers(world: World) -> list[str]:
    """All control machines but the first, which is the one that is cut off."""
    return [name for name in world.controllers + world.spares if name != world.controllers[0]]


def cut_from_peers(world: World, alone: str) -> None:
    world.cut(alone, CUT_S, peers(world))


def cannot_speak(world: World, alone: str) -> None:
    world.cut_one_way(alone, CUT_S, peers(world), outward=True)


def cannot_hear(world: World, alone: str) -> None:
    world.cut_one_way(alone, CUT_S, peers(world), outward=False)


CUTS = (cut_from_peers, cannot_speak, cannot_hear)


def restart_inside(world: World, name: str, alone: str, for_s: float = CUT_S) -> None:
    """A sidecar that reaches nothing but the machine that is cut off starts again."""
    world.cut(name, for_s, [other for other in world.machines if other not in (name, alone)])
    world.kill(name)
    world.start_sidecar(name)


async def asked_at_once(world: World, name: str, method: bytes, body: bytes = b"") -> int:
    began = world.now
    status, _ = await world.ask(name, method, body)
    if world.now - began > AT_ONCE_S:
        raise InvariantViolation(f"{method.decode()} was answered after {world.now - began:.2f} s")
    return status


def cut_off(strike: Callable[[World, str], None]) -> Story:
    async def story(world: World) -> None:
        await begun(world)
        alone, other = world.controllers[:2]
        inside, outside = world.sidecars
        strike(world, alone)
        await asyncio.sleep(LOST_S)
        assert await world.patch(1, change([service("berths", 2)])) == 200
        # Two operators at it, one with a valid order, one with an invalid one, one with one that it knows.
        for body in (change([service("berths", 3)]), UNKNOWN, change([service("berths", 1)])):
            if await asked_at_once(world, alone, b"PATCH", body) != 503:
                raise InvariantViolation("an order was judged out of contact")
        if (await world.ask(alone, b"GET"))[0] == 200:
            raise InvariantViolation("a read was answered out of contact")
        restart_inside(world, inside, alone)
        for _ in range(int(CUT_S - LOST_S) - 4):
            await asyncio.sleep(1.0)
            if held(world, inside):
                raise InvariantViolation(f"a sidecar inside the cut takes {held(world, inside)}")
            if held(world, outside).get("service/berths") != 2:
                raise InvariantViolation(f"a sidecar outside the cut has {held(world, outside)}")
        await healed(world)
        assert any(
            text == "out of contact with a majority" for _, host, text in world.log_lines if host == alone
        )

    return story


async def healed(world: World) -> None:
    """The cuts end: all is in force everywhere, and reads back."""

    def all_current() -> bool:
        return all(held(world, name).get("service/berths", 0) >= 2 for name in world.sidecars)

    if not await until_(all_current, CUT_S):
        raise InvariantViolation("a sidecar does not find its way after the cut")
    if not await until_(
        lambda: all(
            (controller := world.controller(name)) is not None and controller.in_contact
            for name in world.controllers
        ),
        CUT_S,
    ):
        raise InvariantViolation("contact is not found again")
    for name in world.controllers:
        status, body = await world.ask(name, b"GET")
        assert status == 200
        read_back(world, body)


def play(world: World, story: Story) -> None:
    with world:
        world.start()
        task = world.operator.run(story(world))
        if not world.run(120.0, task.done):
            raise InvariantViolation("a play has no end")
        task.result()


@pytest.mark.parametrize("size", [3, 4, 5])
@pytest.mark.parametrize("strike", CUTS, ids=[strike.__name__ for strike in CUTS])
def test_a_machine_that_is_cut_off_answers_nothing_of_its_own(strike: Any, size: int) -> None:
    for seed in range(3):
        play(World(seed=seed, size=size), cut_off(strike))


async def frozen(world: World) -> None:
    """A freeze in place of a cut: what waited in its sockets is answered as by one out of contact."""
    await begun(world)
    alone = world.controllers[0]
    inside = world.sidecars[0]
    controller = world.controller(alone)
    assert controller is not None
    while max(controller.heartbeats._sent.values()) < world.now - 0.0005:
        await asyncio.sleep(0.0002)  # answers to a heartbeat are on their way
    world.freeze(alone, 6.0)
    waiting = asyncio.ensure_future(world.ask(alone, b"PATCH", change([service("berths", 3)]), 10.0))
    await asyncio.sleep(1.0)
    assert await world.patch(1, change([service("berths", 2)])) == 200
    restart_inside(world, inside, alone, 12.0)
    seen: set[int] = set()
    for _ in range(400):
        await asyncio.sleep(0.02)
        seen.add(held(world, inside).get("service/berths", 2))
    status, _ = await waiting
    if status != 503:
        raise InvariantViolation(f"an order that waited for a frozen machine got {status}")
    if seen != {2}:
        raise InvariantViolation(f"a sidecar takes from a machine that was frozen: {seen}")
    await healed(world)


def test_a_machine_that_was_frozen_finds_its_lease_over_before_it_answers() -> None:
    for seed in range(5):
        play(World(seed=seed), frozen)


async def keys_inside(world: World) -> None:
    """No key is granted by a machine out of contact; a sidecar that reaches all others loses nothing."""
    await begun(world)
    alone = world.controllers[0]
    cut_from_peers(world, alone)
    await asyncio.sleep(LOST_S)
    before = sum(len(key.grants) for key in world.keys.values())
    for at in range(6):
        outcome = world.claim(world.sidecars[at % 2], f"k{at}")
        assert await until_(lambda outcome=outcome: bool(outcome), 2.0)  # type: ignore[misc]
        if outcome != ["RUN"]:
            raise InvariantViolation(f"a key is not granted by the majority: {outcome}")
    controller = world.controller(alone)
    assert before == 0 and controller is not None and len(controller.grants.registry) == 0


def test_the_majority_grants_keys_and_the_one_that_is_cut_off_grants_none() -> None:
    play(World(), keys_inside)


async def nobody(world: World) -> None:
    """All control machines are apart: who has a configuration goes on with it, who starts has none."""
    await begun(world)
    for name in world.controllers:
        world.cut(name, CUT_S, world.controllers)
    await asyncio.sleep(LOST_S)
    one, other = world.sidecars
    world.kill(one)
    world.start_sidecar(one)
    await asyncio.sleep(4.0)
    assert not held(world, one) and not sidecar(world, one).control.table.routes_by_host
    assert held(world, other) == {"service/berths": 1, "route/a": 1}
    for name in world.controllers:
        assert await asked_at_once(world, name, b"PATCH", change([service("berths", 2)])) == 503
    await asyncio.sleep(CUT_S)
    assert held(world, one) == held(world, other) == {"service/berths": 1, "route/a": 1}


def test_with_nobody_in_contact_what_is_in_force_stays_and_nothing_new_comes() -> None:
    play(World(), nobody)


async def lost_for_good(world: World) -> None:
    await begun(world)
    for name in world.controllers[1:]:
        world.power_off(name)
    await asyncio.sleep(16.5)
    told = [text for _, host, text in world.log_lines if host == world.controllers[0]]
    assert any(text.startswith("no majority for long") for text in told)
    controller = world.controller(world.controllers[0])
    assert controller is not None and controller.heartbeats.safety == Safety(0, 0)
    assert controller.heartbeats.away() == [f"{name}:7000" for name in world.controllers[1:]]


def test_one_that_has_lost_its_majority_for_long_says_so_and_names_who_is_away() -> None:
    play(World(), lost_for_good)


# --- struck at numbered points: the cut comes at any moment of a change


async def changes_and_a_cut(world: World) -> None:
    await begun(world)
    alone, inside = world.controllers[0], world.sidecars[0]
    world.marks = world.points  # type: ignore[attr-defined]
    for version in (2, 3):
        assert await world.patch(version, change([service("berths", version)])) == 200
    await asyncio.sleep(LOST_S)
    for version in (4, 5):
        assert await world.patch(1, change([service("berths", version)])) == 200
    await asyncio.sleep(LOST_S)  # what is told within the lease may be as old as the lease, and no older
    restart_inside(world, inside, alone, 6.0)
    await asyncio.sleep(4.0)
    found = held(world, inside).get("service/berths", 5)
    if found < 5:
        raise InvariantViolation(f"r5 is acknowledged, and r{found} is taken by a sidecar that starts")
    await healed(world)


def struck(job: tuple[int, int]) -> str:
    strike, point = job
    world = World(seed=1)
    world.faults_at[point] = lambda name: CUTS[strike](world, world.controllers[0])
    try:
        play(world, changes_and_a_cut)
    except InvariantViolation as broken:
        return str(broken)
    return ""


@pytest.mark.parametrize("strike", range(len(CUTS)), ids=[strike.__name__ for strike in CUTS])
def test_a_cut_at_any_point_of_a_change_lets_no_old_state_out(strike: int) -> None:
    world = World(seed=1)
    play(world, changes_and_a_cut)
    first = world.marks  # type: ignore[attr-defined]
    jobs = [(strike, point) for point in range(first + 1, first + 60, 2)]
    fork = multiprocessing.get_context("fork")
    with ProcessPoolExecutor(WORKERS, mp_context=fork, initializer=gc.freeze) as pool:
        found = dict(zip(jobs, pool.map(struck, jobs, chunksize=2), strict=True))
    assert {job: broken for job, broken in found.items() if broken} == {}


# --- each defence, taken out


def test_found_if_the_lease_is_not_looked_at(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ReadLease, "holds", lambda contact, now, voters, votes: voters.epoch > 0)
    with pytest.raises(
        InvariantViolation, match="inside the cut takes|judged out of contact|was answered after"
    ):
        play(World(), cut_off(cut_from_peers))


def test_found_if_an_answer_renews_the_lease_from_when_it_is_heard(monkeypatch: pytest.MonkeyPatch) -> None:
    """What waited in a socket of a frozen process then counts as news."""

    def late(made: Heartbeats, link: Any, told: HeartbeatAnswer) -> None:
        made._sent[told.number] = made._context.loop.time()
        hear(made, link, told)

    hear = Heartbeats.hear
    monkeypatch.setattr(Heartbeats, "hear", late)
    with pytest.raises(InvariantViolation, match="frozen"):
        for seed in range(5):
            play(World(seed=seed), frozen)


# --- the decision by itself

A, B, C, D = (f"10.0.0.{at}:7000" for at in range(1, 5))
THREE = Voters(1, (A, B, C))


def test_a_lease_counts_from_the_question_and_ends_by_itself() -> None:
    made = ReadLease(A, 1.5)
    assert not made.holds(10.0, THREE, True)
    made.answered(B, 10.0)
    assert made.holds(11.5, THREE, True) and not made.holds(11.6, THREE, True)
    made.answered(B, 9.0)
    assert made.holds(11.5, THREE, True), "an older answer takes nothing back"
    assert not made.holds(11.0, THREE, False), "one that may not vote counts others alone"
    made.answered(C, 11.0)
    assert made.holds(11.0, THREE, False) and made.heard(11.0, THREE, False) == [B, C]
    made.clear()
    assert not made.holds(11.0, THREE, True)
    assert ReadLease(A, 1.5).holds(0.0, Voters(1, (A,)), True) and not made.holds(11.0, Voters(0, ()), True)


@given(st.integers(1, 7), st.data())
def test_of_two_halves_at_most_one_is_in_contact(size: int, data: st.DataObject) -> None:
    names = tuple(f"n{at}" for at in range(size))
    voters = Voters(1, names)
    here = data.draw(st.sets(st.sampled_from(names)))
    found = []
    for half in (here, set(names) - here):
        for me in half:
            made = ReadLease(me, 1.0)
            for other in half - {me}:
                made.answered(other, 5.0)
            found.append((made.holds(5.0, voters, True), me in here))
    assert len({side for holds, side in found if holds}) <= 1


@pytest.mark.parametrize(
    ("size", "whole", "found"),
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
def test_copies_and_losses_that_can_be_borne(size: int, whole: int, found: tuple[int, int]) -> None:
    voters = Voters(1, tuple(f"n{at}" for at in range(size)))
    assert safety(voters, whole) == found
