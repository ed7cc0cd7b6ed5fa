"""Voters that follow voters: real controllers and claimants on fake time, struck at each point of a
change."""

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
from test_mesh_faults import claimed as one_claim
from test_mesh_faults import until as until_
from wire import message

from mesh.control.ballot import Member, Patience, Proposal, Watch, first_voters, plan
from mesh.control.controller import Controller
from mesh.control.recovery import Recovery
from mesh.proxy.control_client import ControlClient
from mesh.state.ballots import Accepted, Ballot
from mesh.state.idempotency import FREED_S, Registry
from mesh.state.quorum import PeerView, Voters
from mesh.transport import messages
from mesh.transport.connection import pack
from mesh.transport.messages import kind_of

QUICK = '"catch_up=1s", "contact=1s"'  # replaced after 0.5 s, removed after 4 s, forgotten after 16 s
SLOW = '"catch_up=8s", "contact=1s"'  # replaced after 4 s
Strike = Callable[[World, str], None]


def voters(world: World, name: str) -> Voters:
    controller = world.controller(name)
    return controller.voters if controller is not None else Voters(0, ())


def newest(world: World) -> Voters:
    return max(voters(world, name) for name in world.controllers + world.spares)


def live(world: World) -> list[str]:
    return [name for name in world.controllers + world.spares if world.controller(name) is not None]


async def ready(world: World) -> None:
    """The first voters act, and the spares have caught up."""
    if not await until_(lambda: world.caught_up_controllers() == world.controllers):
        raise InvariantViolation("no start")
    for name in world.spares:
        world.start_controller(name)
    if not await until_(lambda: world.caught_up_controllers() == world.controllers + world.spares):
        raise InvariantViolation("the spares don't count")
    assert await world.patch(0, change([service("berths", 1)], [route("a", 1, "/a/")])) == 200
    for at in range(6):
        assert await one_claim(world, world.sidecars[at % 2], f"old {at}") == "RUN"


async def busy(world: World, done: Callable[[], bool], limit_s: float = 30.0) -> None:
    """Claims of old and new keys by both claimants, and changes, until something holds."""
    outcomes, at, end, began = [], 0, world.now + limit_s, float("inf")
    patches = set()
    while not done():
        if world.now > end:
            raise InvariantViolation(f"it never came to what should be: {newest(world)}")
        if began > end and any(text == "others should vote" for _, _, text in world.log_lines):
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
    if not await until_(lambda: all(outcomes), 3.0):
        raise InvariantViolation("claims that end in nothing")


async def afterwards(world: World, epoch: int) -> None:
    """All that live count in an epoch from that one on, and what was promised holds."""

    def whole() -> bool:
        now = newest(world)
        counting = [name for name in world.caught_up_controllers() if voters(world, name) == now]
        return now.epoch >= epoch and counting == live(world)

    if not await until_(whole, 25.0):
        told = {name: (voters(world, name), name in world.caught_up_controllers()) for name in live(world)}
        raise InvariantViolation(f"not whole after the change: {told}")
    for name in live(world):
        for _ in range(20):
            status, body = await world.ask(name, b"GET")
            if status == 200:
                break
            await asyncio.sleep(0.2)
        if status != 200:
            raise InvariantViolation(f"{name} can't be read")
        read_back(world, body)
    for at, key in enumerate(sorted(world.keys)[:40]):
        await one_claim(world, world.sidecars[at % 2], key)
    names = world.controllers = live(world)
    if await world.patch(len(names) - 1, change([service("crew", NEWEST)])) != 200:
        raise InvariantViolation("no change is taken any more")
    for at in range(10):
        if await one_claim(world, world.sidecars[0], f"new {at}") == "RUN":
            return
        await asyncio.sleep(0.2)
    raise InvariantViolation("no key is granted any more")


def play(world: World, story: Callable[[World], Coroutine[Any, Any, None]], limit_s: float = 150.0) -> World:
    with world:
        world.start()
        task = world.operator.run(story(world))
        if not world.run(limit_s, task.done):
            raise InvariantViolation("a play has no end")
        task.result()
    return world


def settled(world: World, epoch: int) -> bool:
    """Whether all that live are in an epoch and count."""
    return all(voters(world, name).epoch >= epoch for name in live(world)) and (
        len(world.caught_up_controllers()) == len(live(world))
    )


async def one_goes(world: World) -> None:
    """A voter that has the duty is gone for good, and the spare takes its place."""
    await ready(world)
    gone = world.controllers[0]
    world.power_off(gone)
    await busy(world, lambda: settled(world, 1 if gone in live(world) else 2))
    await afterwards(world, 1 if gone in live(world) else 2)


async def two_come(world: World) -> None:
    """Two spares come in, as two losses are to be borne."""
    await ready(world)
    await busy(world, lambda: settled(world, 2))
    await afterwards(world, 2)


def goes(seed: int = 1) -> World:
    return World(seed=seed, spares=1, bounds=QUICK)


def come(seed: int = 1) -> World:
    return World(seed=seed, spares=2, bounds=QUICK, losses=2)


def proposer(world: World) -> str:
    return next(host for _, host, text in world.log_lines if text == "others should vote")


def proposer_dies(world: World, name: str) -> None:
    world.kill(proposer(world), 0.5)


def proposer_stays_away(world: World, name: str) -> None:
    world.power_off(proposer(world), 6.0)


def power_of_all_there(world: World, name: str) -> None:
    for at, one in enumerate(live(world)):
        world.power_off(one, 0.3 + 0.05 * at)


def kill_of_all_there(world: World, name: str) -> None:
    for at, one in enumerate(live(world)):
        world.kill(one, 0.3 + 0.05 * at)


def freeze_of_one(world: World, name: str) -> None:
    world.freeze(name, 3.0)


def removed_comes_back(world: World, name: str) -> None:
    world.start_controller(world.controllers[0])


def window(world: World) -> tuple[int, int]:
    """The points from the wish to change until all count again."""
    first = next(point for point, _, text in world.log_lines if text == "others should vote")
    return first + 1, max(point for point, _, text in world.log_lines if text == "whole again") + 1


Case = tuple[Callable[[int], World], Callable[[World], Coroutine[Any, Any, None]], Strike, int]
CASES: tuple[Case, ...] = (  # with every how many-th point
    (goes, one_goes, power_of_one, 3),
    (goes, one_goes, power_of_all_there, 1),
    (goes, one_goes, kill_of_all_there, 3),
    (goes, one_goes, cut_of_one, 3),
    (goes, one_goes, proposer_dies, 1),
    (goes, one_goes, proposer_stays_away, 3),
    (goes, one_goes, freeze_of_one, 3),
    (goes, one_goes, removed_comes_back, 2),
    (come, two_come, wipe_of_one, 1),
    (come, two_come, power_of_all_there, 3),
    (come, two_come, proposer_stays_away, 3),
    (come, two_come, wipe_while_all_others_lose_power, 2),
)


def struck(case: int, point: int, seed: int) -> str:
    """What breaks in a play that is struck at one of its points."""
    make, story, strike, _ = CASES[case]
    world = make(seed)
    world.faults_at[point] = lambda name: strike(world, name)
    try:
        play(world, story)
    except InvariantViolation as broken:
        return str(broken)
    assert not world.faults_at, "nothing was struck"
    return ""


def outcome(job: tuple[int, int, int]) -> str:
    return struck(*job)


def outcomes(jobs: list[tuple[int, int, int]]) -> dict[tuple[int, int, int], str]:
    """Those plays in which something broke."""
    fork = multiprocessing.get_context("fork")
    with ProcessPoolExecutor(WORKERS, mp_context=fork, initializer=gc.freeze) as pool:
        found = zip(jobs, pool.map(outcome, jobs, chunksize=4), strict=True)
        return {job: broken for job, broken in found if broken}


@pytest.mark.parametrize(
    "case", range(len(CASES)), ids=[f"{story.__name__}-{strike.__name__}" for _, story, strike, _ in CASES]
)
def test_whatever_strikes_while_voters_change_nothing_promised_is_lost(case: int) -> None:
    make, story, _, every = CASES[case]
    world = play(make(1), story)
    first, last = window(world)
    assert last - first > 40
    assert outcomes([(case, point, 1) for point in range(first, last, every)]) == {}


def test_a_change_is_over_soon_and_claims_under_way_are_answered_within_it() -> None:
    world = goes()
    at: dict[str, float] = {}

    async def story(world: World) -> None:
        await ready(world)
        world.power_off(world.controllers[0])
        await until_(lambda: any(text == "others should vote" for _, _, text in world.log_lines), 20.0)
        at["began"] = world.now
        outcomes = [world.claim(name, f"under way {at_}") for at_ in range(4) for name in world.sidecars[:1]]
        await until_(lambda: all(outcomes))
        assert [outcome for [outcome] in outcomes] == ["RUN"] * 4
        await until_(lambda: settled(world, 2))
        at["over"] = world.now

    play(world, story)
    assert at["over"] - at["began"] < 0.3


def rivals(seed: int) -> World:
    """Two controllers or three propose at about the same time, each its own wish."""
    world = World(seed=seed, spares=2, bounds=QUICK)

    async def story(world: World) -> None:
        await ready(world)
        a, b, c = (f"{name}:7000" for name in world.controllers)
        d, e = (f"{name}:7000" for name in world.spares)
        wishes = [(a, b, d), (b, c, e), (a, d, e)]

        async def wish(at: int) -> None:
            await asyncio.sleep(world.random.uniform(0, 0.012))
            controller = world.controller(world.controllers[at])
            assert controller is not None
            for _ in range(4):
                world.machines[controller.context.me[:-5]].process.soon(  # type: ignore[union-attr]
                    lambda: (
                        controller.voters.epoch == 1
                        and controller.context.spawn(controller.elections.propose(wishes[at]))
                    )
                )
                await asyncio.sleep(world.random.uniform(0, 0.3))

        await asyncio.gather(*(wish(at) for at in range(3)), busy(world, lambda: settled(world, 2)))
        assert newest(world).epoch == 2
        for name in live(world):
            world.check_voters(voters(world, name))
        await afterwards(world, 2)

    return play(world, story)


def test_of_proposers_at_once_one_wins_and_all_learn_the_same() -> None:
    won = {rivals(seed).voter_sets[2] for seed in range(30)}
    assert len(won) > 1


def test_found_if_a_proposer_counts_fewer_than_a_majority(monkeypatch: pytest.MonkeyPatch) -> None:
    one = property(lambda voters: 1)

    def few(self: Proposal, *told: Any) -> None:
        begin(self, *told)
        self.voters = type("Few", (Voters,), {"write": one})(*self.voters)

    begin = Proposal.__init__
    monkeypatch.setattr(Proposal, "__init__", few)
    with pytest.raises(InvariantViolation, match="beside"):  # the first seed that shows it ends the search
        for seed in range(300):
            rivals(seed)


def test_found_if_new_voters_count_without_hearing_those_before(monkeypatch: pytest.MonkeyPatch) -> None:
    async def at_once(recovery: Recovery, told: Voters, sealed: bool) -> bool:
        if not sealed:
            return bool(await hear_all(recovery, told, sealed))
        recovery._context.member.settle(recovery._context.voters.epoch)
        return True

    hear_all = Recovery._hear_all
    monkeypatch.setattr(Recovery, "_hear_all", at_once)
    with pytest.raises(InvariantViolation, match="twice|by enough"):
        for seed in range(6):
            play(goes(seed), one_goes)


def test_found_if_one_that_was_sealed_is_enough_to_hear(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Voters, "read", property(lambda voters: 1))
    with pytest.raises(InvariantViolation):
        for seed in range(200):  # the first seed that shows it ends the search
            play(goes(seed), one_goes)


take_voters = ControlClient.take_voters


async def late_grant(world: World) -> None:
    """Two of three voters leave. One of these has granted a key and freezes; the claim reaches the other
    late, when the new voters have given the key to another token."""
    one, two = world.sidecars
    await ready(world)
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
    assert await until_(lambda: all(voters(world, name).epoch == 2 for name in (b, c, d, e)))
    await one_claim(world, two, "k")
    await until_(lambda: bool(outcome))


@pytest.mark.parametrize(
    ("controller_knows", "sidecar_asks_anew", "runs"),
    [
        (True, True, 1),
        (True, False, 1),
        (False, True, 1),
        (False, False, 2),
    ],
)
def test_grants_of_two_epochs_are_never_enough_together(
    monkeypatch: pytest.MonkeyPatch, controller_knows: bool, sidecar_asks_anew: bool, runs: int
) -> None:
    """Either of the two defences is enough here; without both a key runs twice."""
    if not controller_knows:
        monkeypatch.setattr(Member, "votes", lambda member, epoch: member.whole > 0)
    if not sidecar_asks_anew:
        monkeypatch.setattr(
            ControlClient,
            "take_voters",
            lambda control, told: (
                (None if control.key_claims.voters.epoch else take_voters(control, told))
                if control._context.me == "10.0.1.1"
                else take_voters(control, told)
            ),
        )
    world = World(spares=2, bounds=QUICK)
    if runs > 1:
        with pytest.raises(InvariantViolation, match="twice|by enough"):
            play(world, late_grant)
    else:
        play(world, late_grant)
        assert len(world.keys["k"].ran) == runs


# --- cuts, freezes, restarts, machines that leave and return


def test_of_two_halves_only_the_one_with_a_majority_goes_on_and_the_other_finds_its_way() -> None:
    async def story(world: World) -> None:
        await ready(world)
        one, two = world.sidecars
        alone, *rest = world.controllers
        for name in (alone, one):
            world.cut(name, 9.0, [*rest, *world.spares, two, "10.0.2.1"])
        world.cut(two, 9.0, [alone])
        outcomes = []
        for at in range(60):
            outcomes.append(world.claim(world.sidecars[at % 2], f"half {at // 2}"))
            await asyncio.sleep(0.13)
        assert voters(world, alone).epoch == 1 and voters(world, rest[0]).epoch == 2
        assert not any(
            key.ran[0].startswith(one)
            for name, key in world.keys.items()
            if name.startswith("half") and key.ran
        )
        await asyncio.sleep(3.0)
        await afterwards(world, 2)
        assert all(outcomes) and newest(world).epoch == 2, "one that returns is no reason to change"

    play(goes(), story)


@pytest.mark.parametrize("away_s", [0.5, 2.5, 3.5])
def test_a_short_absence_changes_nothing(away_s: float) -> None:
    async def story(world: World) -> None:
        await ready(world)
        for name in world.controllers:
            world.kill(name, away_s)
            await asyncio.sleep(away_s + 3.0)
        await asyncio.sleep(5.0)
        assert newest(world).epoch == 1 and settled(world, 1)

    play(World(spares=1, bounds=SLOW), story)


def test_a_frozen_voter_is_replaced_and_when_it_wakes_its_grants_are_of_no_use() -> None:
    async def story(world: World) -> None:
        await ready(world)
        world.freeze(world.controllers[0], 15.0)
        await busy(world, lambda: voters(world, world.controllers[1]).epoch == 2, 14.0)
        await busy(world, lambda: settled(world, 2))
        await afterwards(world, 2)

    for seed in range(5):
        play(goes(seed), story)


def test_whoever_leaves_names_its_successor_and_stays_a_voter() -> None:
    async def story(world: World) -> None:
        await ready(world)
        first, second, third = world.controllers
        await asyncio.sleep(2.5)  # all have heard of each other
        process = world.machines[first].process
        assert process is not None
        process.run(process.role.stop())
        await asyncio.sleep(0.35)
        assert {world.controller(name).elections._successor for name in (second, third)} == {f"{second}:7000"}  # type: ignore[union-attr]
        world.kill(first, 0.3)
        await asyncio.sleep(8.0)
        assert newest(world).epoch == 1 and settled(world, 1)

    play(World(bounds=QUICK), story)  # with no spare, which would take its place: test_mesh_repair


def test_all_seeds_are_replaced_one_after_the_other_and_those_gone_are_forgotten() -> None:
    async def story(world: World) -> None:
        await until_(lambda: world.caught_up_controllers() == world.controllers)
        assert await world.patch(0, change([service("berths", 1)], [route("a", 1, "/a/")])) == 200
        for at in range(6):
            assert await one_claim(world, world.sidecars[at % 2], f"old {at}") == "RUN"
        olds, names = list(world.controllers), list(world.controllers)
        for at, (old, new) in enumerate(zip(olds, world.spares, strict=True)):
            names = [*names[1:], new]
            world.reseed(names)
            world.start_controller(new)
            world.power_off(old)
            await busy(world, lambda epoch=at + 2: settled(world, epoch))
        assert newest(world).names == tuple(f"{name}:7000" for name in world.spares)
        await afterwards(world, 4)
        gone = {f"{name}:7000" for name in olds}
        await asyncio.sleep(20.0)
        for name in world.spares:
            controller = world.controller(name)
            assert controller is not None and not gone & set(controller.peers.names)
        for name in world.sidecars:
            assert not gone & set(world.machines[name].process.role.control._dials)  # type: ignore[union-attr]
        # An old word brings none of them back; they themselves do.
        controller = world.controller(world.spares[0])
        assert controller is not None
        process = world.machines[world.spares[0]].process
        assert process is not None
        old = message(
            kind_of(messages.Hello),
            controller.context.me,
            [1, []],
            sorted(gone),
            "",
            [],
            1,
            dict.fromkeys(gone, 1),
            {},
        )
        process.soon(lambda: controller.hear(next(iter(controller.peers.linked.values())), old))
        sidecar = world.machines[world.sidecars[0]].process
        assert sidecar is not None
        lines = sidecar.role.control.links.values()
        sidecar.soon(
            lambda: sidecar.role.hear(
                next(iter(lines)), message(kind_of(messages.CurrentVoters), 1, sorted(gone))
            )
        )
        sidecar.soon(
            lambda: sidecar.role.hear(
                next(iter(lines)),
                message(kind_of(messages.Controllers), sorted(gone), "", dict.fromkeys(gone, 1), {}),
            )
        )
        await asyncio.sleep(2.0)
        assert not gone & set(controller.peers.names) and newest(world).epoch == 4
        assert (
            not gone & set(sidecar.role.control._dials) and sidecar.role.control.key_claims.voters.epoch == 4
        )
        world.start_controller(olds[0])
        back = f"{olds[0]}:7000"
        assert await until_(
            lambda: all(
                back in world.controller(name).peers.names
                for name in world.spares  # type: ignore[union-attr]
            )
        )
        assert await until_(
            lambda: all(
                back in world.machines[name].process.role.control._dials  # type: ignore[union-attr]
                for name in world.sidecars
            )
        )
        assert await until_(lambda: settled(world, 4)) and newest(world).epoch == 4

    play(World(spares=3, bounds=QUICK), story)


def test_seeds_that_are_all_new_machines_name_no_voters() -> None:
    async def story(world: World) -> None:
        assert await until_(lambda: world.caught_up_controllers() == world.controllers)
        world.seeds = tuple(world.spares)
        for name in world.spares:
            world.start_controller(name)
        await asyncio.sleep(6.0)
        assert not any(voters(world, name).epoch for name in world.spares)
        world.reseed(world.controllers)
        assert await until_(lambda: world.caught_up_controllers() == world.controllers + world.spares)

    play(World(spares=3, bounds=QUICK), story)


def test_one_that_was_cut_off_for_so_long_that_it_is_forgotten_is_known_again() -> None:
    async def story(world: World) -> None:
        await ready(world)
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
        assert all(far in controller.peers.linked for controller in found)
        assert all(
            far in world.machines[name].process.role.control.links  # type: ignore[union-attr]
            for name in world.sidecars
        )

    play(goes(), story)


# --- the decision by itself


A, B, C, D, E = (f"10.0.0.{at}:7000" for at in range(1, 6))
THREE = Voters(1, (A, B, C))


def member(me: str, promised: int = 0) -> Member:
    made = Member(me)
    made.learn(THREE, ())
    made.settle(1)
    made.promised = Ballot(promised, "")
    return made


def test_a_member_keeps_its_word_over_a_loss_of_power() -> None:
    made = member(A)
    assert made.votes(1) and made.bid(1, Ballot(3, "x")) and not made.seal(1, Ballot(2, "y"), (A, B, D))
    assert made.votes(1) and made.seal(1, Ballot(3, "x"), (A, B, D)) and not made.votes(1)
    again = Member(A)
    for record in [["whole"], *made.records()]:
        again.load(record)
    assert again.accepted == Accepted(Ballot(3, "x"), (A, B, D)) and again.holds(1) and not again.votes(1)
    assert not again.bid(1, Ballot(2, "z")) and again.bid(1, Ballot(4, "z"))
    assert again.learn(Voters(2, (A, B, D)), ()) and again.before == (A, B, C)
    assert again.holds(1) and not again.votes(2) and not again.counts
    assert not again.learn(Voters(1, (A, B, E)), ()), "a lower epoch"
    assert list(again.sources()) == [(THREE, True), (Voters(2, (A, B, D)), False)]
    again.settle(2)
    assert again.votes(2) and again.counts


def test_only_one_that_may_have_voted_waits_before_it_asks() -> None:
    made = Member(A)
    assert not made.may_have_promised, "nothing is known of voters yet"
    made.learn(Voters(2, (B, C, D)), ())
    assert not made.may_have_promised, "a new machine, or one whose vote is over"
    made.learn(Voters(3, (A, B, C)), ())
    assert made.may_have_promised, "the disk of a voter, emptied"
    made.settle(3)
    assert not made.may_have_promised


def test_an_emptied_disk_neither_promises_nor_hears_of_sealed_ones() -> None:
    made = Member(A)
    made.learn(Voters(2, (A, B, D)), (A, B, C))
    assert not made.bid(2, Ballot(1, "x")) and not made.seal(2, Ballot(1, "x"), (A, B, E))
    assert list(made.sources()) == [(Voters(2, (A, B, D)), False)]


@pytest.mark.parametrize(("limit_s", "both"), [(1.0, False), (1e9, True)])
def test_a_promise_that_a_lost_disk_has_forgotten_is_void_by_then(limit_s: float, both: bool) -> None:
    """A promises to one proposer, is emptied, and hears of nothing, as nobody else has promised yet."""
    y, z = member(B), member(C)
    one = Proposal(THREE, Ballot(5, "one"), (A, B, D), 0.0, limit_s)
    two = Proposal(THREE, Ballot(3, "two"), (A, B, E), 1.2, limit_s)
    assert not one.bound(0.0, A, None)
    x = member(A)  # emptied at once, and back after 1.1 s, when it has heard B and C
    for name, voter in ((A, x), (C, z)):
        assert voter.bid(1, two.ballot)
        two.bound(1.2, name, voter.accepted)
    for name, voter in ((A, x), (C, z)):
        assert voter.seal(1, two.ballot, two.names)
        two.sealed(1.2, name)
    assert two.decided == Voters(2, (A, B, E))
    assert y.bid(1, one.ballot)
    if one.bound(1.3, B, y.accepted):
        for name, voter in ((A, x), (B, y)):
            assert voter.seal(1, one.ballot, one.names)
            one.sealed(1.3, name)
    assert (one.decided is not None) == both


def test_a_proposer_takes_over_what_was_accepted_and_counts_each_voter_once() -> None:
    made = Proposal(THREE, Ballot(7, "p"), (A, B, D), 0.0, 1.0)
    assert not made.sealed(0.0, A) and not made.bound(0.0, D, None) and not made.bound(0.0, A, None)
    assert not made.bound(0.0, A, None)
    assert made.bound(0.0, B, Accepted(Ballot(2, "q"), (B, C, E))) and made.names == (B, C, E)
    assert not made.sealed(0.1, B) and not made.sealed(0.1, B) and made.decided is None
    assert made.sealed(0.1, C) and made.decided == Voters(2, (B, C, E))


PATIENCE = Patience(2.0, 14.0, 0.4)


def sights(there: str, gone: dict[str, float], steady: float = 9.0, **more: Any) -> dict[str, PeerView]:
    names = {name: value for name, value in zip("ABCDE", (A, B, C, D, E), strict=True)}
    up = {names[one]: steady for one in there}
    away = {names[one]: seconds for one, seconds in gone.items()}
    return {
        names[one]: PeerView(
            away,
            up,
            one not in more.get("behind", ""),
            one not in more.get("behind", ""),
            more.get(one, ""),
            more.get("old", False),
            one in more.get("leaves", ""),
        )
        for one in there
    }


@pytest.mark.parametrize(
    ("names", "losses", "seen", "wish"),
    [
        ("ABC", 1, sights("ABC", {}), None),
        ("ABC", 1, sights("ABCD", {}), None),
        ("ABC", 1, sights("BCD", {"A": 2.0}), "BCD"),
        ("ABC", 1, sights("BCD", {"A": 1.9}), None),  # not for long enough
        ("ABC", 1, sights("BCD", {"A": 15.0}, steady=0.3), None),
        ("ABC", 1, sights("BCD", {"A": 15.0}, old=True), None),
        ("ABC", 1, sights("BC", {"A": 15.0}), None),  # two are no better than three
        ("ABC", 1, sights("CD", {"A": 15.0, "B": 15.0}), None),  # no majority
        ("ABC", 2, sights("ABCDE", {}), "ABCDE"),
        ("ABC", 2, sights("ABCD", {}), "ABCD"),
        ("ABCDE", 1, sights("ABCD", {"E": 15.0}), None),
        ("ABCDE", 1, sights("ABC", {"D": 15.0, "E": 15.0}), "ABC"),
        ("ABCDE", 1, sights("ABC", {"D": 13.0, "E": 13.0}), None),  # they may be back
        ("ABCDE", 2, sights("ABC", {"D": 15.0, "E": 15.0}), None),  # two lost disks would lose all copies
        ("ABC", 1, sights("BCDE", {"A": 15.0}, B="x", C="y", D="x", E="z"), "BCE"),  # zones apart
        ("ABC", 1, sights("ABCD", {}, leaves="A"), "BCD"),
        ("ABC", 1, sights("ABCD", {}, leaves="AB"), "BCD"),  # one spare for two that leave: the other stays
        ("ABC", 1, sights("ABCDE", {}, leaves="AB"), "CDE"),
        ("ABC", 1, sights("ABC", {}, leaves="A"), None),
        ("ABCD", 1, sights("ABCD", {}, leaves="A"), "BCD"),  # an even set gives up the one that ends
        ("ABCD", 1, sights("ABCD", {}), "ABC"),
        ("ABCD", 1, sights("ABCD", {}, A="x", B="x", C="y", D="z"), "ACD"),  # one of the fullest zone
        ("ABCD", 1, sights("ABD", {"C": 0.1}), "ABD"),  # who is away goes before others
        ("ABCD", 1, sights("AB", {"C": 9.0, "D": 9.0}), None),  # no majority
        ("ABCD", 1, sights("ABCDE", {}, leaves="A"), "BCD"),  # a spare in its place would be the fourth
        ("ABCD", 2, sights("ABCD", {}), None),  # two lost disks could take both copies
        ("AB", 0, sights("AB", {}), None),  # one voter would be the only copy
        ("ABC", 1, sights("ABCD", {}, leaves="AD"), None),  # a spare that leaves as well is none
        ("ABCD", 1, sights("ABCD", {}, behind="A"), "BCD"),  # whose disk is not whole is the least loss
        (
            "ABC",
            1,
            sights("ACD", {"B": 3.0}, leaves="A"),
            "ACD",
        ),  # who is away goes before who is still there
    ],
)
def test_who_should_vote(names: str, losses: int, seen: dict[str, PeerView], wish: str | None) -> None:
    found = plan(
        Voters(1, tuple(f"10.0.0.{'ABCDE'.index(one) + 1}:7000" for one in names)), losses, seen, PATIENCE
    )
    expected = wish and tuple(f"10.0.0.{'ABCDE'.index(one) + 1}:7000" for one in wish)
    assert found == expected


@pytest.mark.parametrize(
    ("zones", "losses", "names"),
    [
        ("xyz", 1, "ABC"),
        ("xxyz", 1, "ACD"),  # the zone that holds two gives up one
        ("wxyz", 1, "ABC"),
        ("wxyz", 2, "ABCD"),  # five voters would bear two losses; four keep one copy more than three
        ("xxyyz", 1, "ABCDE"),
        ("x", 0, "A"),
        ("xy", 1, "AB"),
    ],
)
def test_the_first_voters_are_an_odd_set_over_zones(zones: str, losses: int, names: str) -> None:
    machines = {f"10.0.0.{at + 1}:7000": zone for at, zone in enumerate(zones)}
    expected = tuple(f"10.0.0.{'ABCDE'.index(one) + 1}:7000" for one in names)
    assert first_voters(machines, losses) == expected


@pytest.mark.parametrize("size", [3, 4, 5, 7, 11])
def test_no_even_cut_of_the_voters_leaves_two_halves(size: int) -> None:
    for losses in (1, 2):
        zones = {f"10.0.0.{at}:7000": "wxyz"[at % 4] for at in range(size)}
        voters = first_voters(zones, losses)
        assert len(voters) % 2 == 1 or (size, losses) == (4, 2)
        held = Counter(zones[name] for name in voters).values()
        assert max(held) - min(held) <= 1 or size < 4


def test_only_a_majority_s_sight_counts() -> None:
    seen = sights("BCD", {"A": 15.0})
    assert plan(THREE, 1, seen, PATIENCE) == (B, C, D)
    seen[C] = seen[C]._replace(gone={A: 1.0})
    assert plan(THREE, 1, seen, PATIENCE) is None


def test_a_watch_counts_unbroken_spans() -> None:
    made = Watch(0.0, 0.9)
    made.known(1.0, A)
    assert made.gone(5.0, A) == 4.0 and made.gone(5.0, B) == 5.0
    for at in range(60, 91, 3):
        made.heard(at / 10, A)
    assert made.steady(9.0, A) == 3.0 and made.gone(9.0, A) == 0.0
    assert made.steady(9.8, A) > 3.7 and made.gone(9.8, A) == 0.0, "a silence that is no break"
    assert made.steady(10.0, A) == 0.0 and made.gone(10.0, A) == 1.0, "a break, counted from the last word"
    made.heard(11.0, A)
    assert made.steady(11.5, A) == 0.5
    made.down(A)
    assert made.gone(11.6, A) > 0.5 and made.steady(11.6, A) == 0.0, "its connection has ended"
    made.heard(11.7, A)
    assert made.steady(11.8, A) == pytest.approx(0.1)
    made.forget(A)
    assert made.gone(20.0, A) == 20.0


# --- beside older versions, and on their disks


class Line:
    """A connection that keeps what is sent."""

    peer, open = "x", True

    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.send = lambda made: self.sent.append(cbor2.loads(pack(made)[4:]))
        self.send_packed = lambda packed: self.sent.append(cbor2.loads(packed[4:]))


def in_contact(controller: Controller) -> None:
    """Have all its voters answer it now."""
    for name in controller.voters.names:
        controller.heartbeats.lease.answered(name, time.monotonic())


def with_controller(then: Callable[[Controller, Disk], None]) -> None:
    async def main() -> None:
        made = make_controller((ME, B, C))
        in_contact(made)
        then(made, made.context.store)  # type: ignore[arg-type]
        for dial in made.peers._dials.values():
            dial.stop()

    asyncio.run(main())


def test_what_an_older_process_says_is_of_the_first_epoch() -> None:
    def then(controller: Controller, disk: Disk) -> None:
        line: Any = Line()
        controller.hear(line, message(kind_of(messages.ClaimKey), 1, "k", "t", 5.0))
        controller.hear(line, message(kind_of(messages.Fetch), 2, 1, False, b""))
        controller.hear(line, message(kind_of(messages.FetchGrants), 3))
        assert [told[:3] for told in line.sent] == [
            [kind_of(messages.ClaimAnswer), 1, 1],
            [kind_of(messages.FetchAnswer), 2, True],
            [kind_of(messages.GrantsAnswer), 3, True],
        ]
        assert len(line.sent[0]) == 6, "an older sidecar reads no more"
        controller.learn_voters(Voters(2, (ME, B, D)), ())
        controller.context.member.settle(2)
        in_contact(controller)
        line.sent.clear()
        controller.hear(line, message(kind_of(messages.ClaimKey), 4, "l", "t", 5.0))
        controller.hear(line, message(kind_of(messages.Fetch), 5, 1, False, b""))
        controller.hear(line, message(kind_of(messages.FetchGrants), 6))
        assert [told[:3] for told in line.sent] == [
            [kind_of(messages.CurrentVoters), 2, [ME, B, D]],
            [kind_of(messages.ClaimAnswer), 4, -1],
            [kind_of(messages.FetchAnswer), 5, False],
            [kind_of(messages.GrantsAnswer), 6, False],
        ]
        controller.hear(line, message(kind_of(messages.Hello), B, [1, [A, B, C]], [B]))
        assert controller.voters.epoch == 2 and B in controller.peers._old
        controller.hear(line, message(kind_of(messages.Register), ["n", "", "", "", "", 1, True, 0.0, 1, 1]))
        assert controller.elections.view(2).old

    with_controller(then)


def test_an_older_disk_is_whole_in_the_first_epoch() -> None:
    made = Member(A)
    for record in (["voters", 1, [A, B, C]], ["whole"]):
        made.load(record)
    assert made.votes(1) and not made.votes(2)


def test_a_sealed_voter_is_heard_only_once_that_lies_on_its_disk() -> None:
    def then(controller: Controller, disk: Disk) -> None:
        waiting: list[Any] = []
        disk.put = lambda record, done=None: waiting.append(done)  # type: ignore[method-assign]
        line: Any = Line()
        controller.hear(line, message(kind_of(messages.FetchGrants), 1, 1, True))
        assert line.sent.pop()[2] is False, "not sealed"
        controller.hear(line, message(kind_of(messages.Seal), 2, 1, [1, "p"], [ME, B, D]))
        controller.hear(line, message(kind_of(messages.FetchGrants), 3, 1, True))
        assert line.sent == []
        for done in waiting:
            if done is not None:
                done(True)
        assert [told[:3] for told in line.sent] == [
            [kind_of(messages.SealAnswer), 2, True],
            [kind_of(messages.GrantsAnswer), 3, True],
        ]

    with_controller(then)


def test_claims_that_come_while_voters_change_are_held_and_a_freed_one_is_not() -> None:
    def then(controller: Controller, disk: Disk) -> None:
        line: Any = Line()
        controller.hear(line, message(kind_of(messages.Seal), 1, 1, [1, "p"], [ME, B, D]))
        line.sent.clear()
        for number, token in ((2, "s"), (3, "t")):
            controller.hear(line, message(kind_of(messages.ClaimKey), number, token, token, 5.0))
        controller.hear(line, message(kind_of(messages.ClaimKey), 4, "k", "u", 5.0, 2))
        controller.hear(line, message(kind_of(messages.FreeKey), "s", "s"))
        assert line.sent == []
        controller.learn_voters(Voters(2, (ME, B, D)), ())
        controller.context.member.settle(2)
        in_contact(controller)
        controller.grants.retry()
        assert [told[:3] for told in line.sent if told[0] == kind_of(messages.ClaimAnswer)] == [
            [kind_of(messages.ClaimAnswer), 3, -1],
            [kind_of(messages.ClaimAnswer), 4, 1],
        ]

    with_controller(then)


def test_a_token_given_back_does_not_return_with_what_others_tell() -> None:
    made, other = Registry(60.0), Registry(60.0)
    other.claim(0.0, "k", "t", 5.0)
    made.free(0.0, "k", "t")
    made.take(0.1, other.rows(0.1))
    assert made.look(0.1, "k") is None
    made.take(FREED_S + 1.0, other.rows(FREED_S + 1.0))
    assert made.look(FREED_S + 1.0, "k") is not None


def test_an_emptied_disk_learns_what_others_have_promised() -> None:
    async def main() -> None:
        made = make_controller((ME, B, C))
        made.context.member.whole = 0
        line: Any = Line()
        line.peer, made.peers.linked = B, {B: line}
        hearing = asyncio.ensure_future(made.recovery.fetch_grants(made.voters, 1, False))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        [[_, number, epoch, sealed, part]] = line.sent
        assert (epoch, sealed, part) == (1, False, 0)
        made.hear(line, message(kind_of(messages.GrantsAnswer), number, True, [], 1, [7, "p"]))
        assert await hearing and made.context.member.promised == Ballot(7, "p")

    asyncio.run(main())
