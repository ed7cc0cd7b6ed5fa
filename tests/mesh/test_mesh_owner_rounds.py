"""Rounds with random troubles of servers that hold keys, on simulated time.

    python tests/mesh/test_mesh_owner_rounds.py --way invocation --count 500

Each seed is one round: controllers and whole sidecars with stand-in servers, and troubles in series and at
the same time. It is checked at each grant that no two servers that are up hold one key (OWNER), and after the
last trouble that all keys are held by open servers again. A failure prints the seed and the troubles. As some
sets are in the order of their hashes, a seed plays the same only under the same PYTHONHASHSEED.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import multiprocessing
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from itertools import repeat
from pathlib import Path

if __name__ == "__main__":
    sys.path[:0] = [str(Path(__file__).resolve().parents[2]), str(Path(__file__).resolve().parent)]

import pytest
from operator_calls import InvariantViolation
from owner_troubles import (
    TROUBLES,
    Trouble,
    heartbeats_disturbed,
    server_and_sidecar_crash,
    server_leaves,
    sidecar_cut_from_all_controllers,
    split,
)
from owner_world import OwnerWorld
from test_mesh_faults import until

from mesh.control.shard_facts import ShardFacts
from mesh.proxy import range_leases
from mesh.proxy.server_holds import ServerHolds
from mesh.state.configuration import GRANTS_BY_HEARTBEAT, GRANTS_BY_INVOCATION
from mesh.state.key_leases import LeaseBook
from mesh.state.quorum import Voters
from mesh.state.shards import Owner, ReleasedRange

WAYS = (GRANTS_BY_HEARTBEAT, GRANTS_BY_INVOCATION)
WORKERS = 4
START_S = 20.0  # until all keys are held for the first time
RECOVER_S = 15.0  # after the last trouble, until all keys are held again
LONGEST_ROUND_S = 300.0
TROUBLE_COUNT = (4, 9)
PAUSES_S = (0.0, 0.1, 0.6, 2.0, 5.0)  # between the beginnings of two troubles


async def run_troubles(world: OwnerWorld, troubles: Sequence[Trouble]) -> None:
    """Starts the service and lets all troubles of a round happen, each drawn from the given ones."""
    if not await until(lambda: world.caught_up_controllers() == world.controllers):
        raise InvariantViolation("the controllers did not catch up")
    for name in world.spares:
        world.start_controller(name)
    if await world.patch(0, world.sharded_service(1)) != 200:
        raise InvariantViolation("the service is not taken")
    if not await until(lambda: not world.keys_without_server(), START_S):
        raise InvariantViolation(f"not held after the start: {world.keys_without_server()}")
    for _ in range(world.draw.randint(*TROUBLE_COUNT)):
        await asyncio.sleep(world.draw.choice(PAUSES_S) * world.draw.uniform(0.5, 1.5))
        trouble = world.draw.choice(troubles)
        world.note_trouble(trouble.__name__, trouble(world))
    world.traps.clear()


async def check_recovery(world: OwnerWorld) -> None:
    """Checks that all keys are held by open servers soon after the last trouble, and owned."""
    await asyncio.sleep(max(0.0, world.trouble_until - world.now))
    began = world.now
    if not await until(lambda: not world.keys_without_server(), RECOVER_S):
        raise InvariantViolation(f"not held after the end: {world.keys_without_server()}")
    world.counts["grants"] = world.judge.grants
    world.counts["versions of the table"] = world.newest_table().version
    world.counts["tenths of a second to recover"] += round(10 * (world.now - began))
    world.counts["slowest recovery, in tenths"] = round(10 * (world.now - began))


def play(seed: int, way: str, trace: bool = False, troubles: Sequence[Trouble] = TROUBLES) -> OwnerWorld:
    """Runs a whole round; raises InvariantViolation if an invariant does not hold."""
    world = OwnerWorld(seed, way, trace)
    with world:
        world.start()
        for part in (partial(run_troubles, troubles=troubles), check_recovery):
            task = world.operator.run(part(world))
            try:
                if not world.run(LONGEST_ROUND_S, task.done):
                    raise InvariantViolation("a round does not end")
                task.result()
            except InvariantViolation as broken:
                raise InvariantViolation(f"{broken}, after {'; '.join(world.troubles)}") from broken
    return world


def outcome(seed: int, way: str, troubles: Sequence[Trouble]) -> tuple[str, Counter[str]]:
    """Runs a round; returns the violation, or an empty string, and the event counts."""
    try:
        return "", play(seed, way, troubles=troubles).counts
    except (InvariantViolation, AssertionError) as broken:
        return str(broken) or repr(broken), Counter()


def outcomes(
    seeds: Iterable[int], way: str, workers: int = WORKERS, troubles: Sequence[Trouble] = TROUBLES
) -> tuple[dict[int, str], Counter[str]]:
    """Returns the violations by seed, and the event counts of all other rounds."""
    fork = multiprocessing.get_context("fork")
    seeds = list(seeds)
    total: Counter[str] = Counter()
    broken: dict[int, str] = {}
    with ProcessPoolExecutor(workers, mp_context=fork, initializer=gc.freeze) as pool:
        played = pool.map(outcome, seeds, repeat(way), repeat(troubles))
        for seed, (told, counts) in zip(seeds, played, strict=True):
            slowest = max(total["slowest recovery, in tenths"], counts["slowest recovery, in tenths"])
            total += counts
            total["slowest recovery, in tenths"] = slowest
            if told:
                broken[seed] = told
    return broken, total


# --- tests

SEEDS = range(4)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("seed", SEEDS)
def test_no_key_has_two_owners_and_all_are_held_again(seed: int, way: str) -> None:
    world = play(seed, way)
    assert world.counts["grants"] > 0 and world.counts["versions of the table"] > 1


@pytest.mark.parametrize("way", WAYS)
def test_a_round_is_deterministic(way: str) -> None:
    worlds = [play(1, way) for _ in range(2)]
    assert len({(world.points, world.now, world.judge.grants) for world in worlds}) == 1


# --- defences


def no_majority(patch: pytest.MonkeyPatch) -> None:
    """Takes the confirmation of one voter for that of a majority."""

    def is_first(names: set[str], voter: str, voters: Voters) -> bool:
        names.add(voter)
        return len(names) == 1

    patch.setattr(range_leases, "_completes_majority", is_first)


def release_without_knowing(patch: pytest.MonkeyPatch) -> None:
    """Reports each revoked range as released, whatever the server holds."""

    def released(holds: ServerHolds, now: float) -> dict[Owner, list[ReleasedRange]]:
        result: dict[Owner, list[ReleasedRange]] = {}
        for shard in holds._view.revoked:
            result.setdefault(shard.owner, []).append(ReleasedRange(shard.range, shard.fence, ""))
        return result

    patch.setattr(ServerHolds, "released", released)


def no_delay(patch: pytest.MonkeyPatch) -> None:
    """Assigns a revoked range again without waiting for the end of its lease."""
    reassignable = ShardFacts.reassignable
    patch.setattr(
        ShardFacts, "reassignable", lambda facts, now, reassignment_delay_s: reassignable(facts, now, 0.0)
    )


def endless_leases(patch: pytest.MonkeyPatch) -> None:
    """Grants ranges that the table shows to be the server's without regard to their leases."""
    patch.setattr(LeaseBook, "ends_at", lambda book, now, held: now + 1000.0)


DEFENCES: dict[Callable[[pytest.MonkeyPatch], None], tuple[Trouble, ...]] = {
    no_majority: (split,),
    release_without_knowing: (heartbeats_disturbed, server_leaves),
    no_delay: (sidecar_cut_from_all_controllers, server_and_sidecar_crash),
    endless_leases: (split, sidecar_cut_from_all_controllers),
}  # and the troubles that soon show that a defence is missing
LAST_SEED = 200  # of those that are played until one shows it


def violations(way: str, troubles: Sequence[Trouble]) -> Iterator[str]:
    """Yields the violations of rounds, a few rounds at a time."""
    for first in range(0, LAST_SEED, WORKERS):
        broken, _ = outcomes(range(first, first + WORKERS), way, troubles=troubles)
        yield from broken.values()


@pytest.mark.parametrize("taken", DEFENCES, ids=[defence.__name__ for defence in DEFENCES])
@pytest.mark.parametrize("way", WAYS)
def test_rounds_fail_without(
    taken: Callable[[pytest.MonkeyPatch], None], way: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    taken(monkeypatch)
    assert any(told.startswith("OWNER") for told in violations(way, DEFENCES[taken]))


def main() -> int:
    """Runs rounds and prints violations and event counts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--way", choices=WAYS, default=GRANTS_BY_HEARTBEAT)
    parser.add_argument("--count", type=int, default=50)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--workers", type=int, default=WORKERS)
    parser.add_argument("--without", choices=[defence.__name__ for defence in DEFENCES])
    parser.add_argument("--trace", action="store_true", help="tell all that goes on in the first round alone")
    told = parser.parse_args()
    with pytest.MonkeyPatch.context() as patch:
        for defence in DEFENCES:
            if defence.__name__ == told.without:
                defence(patch)
        if told.trace:
            play(told.first, told.way, trace=True)
            return 0
        began = time.monotonic()
        broken, counts = outcomes(range(told.first, told.first + told.count), told.way, told.workers)
    for name, count in sorted(counts.items()):
        print(f"{name:>44} {count}")
    for seed, what in broken.items():
        print(f"seed {seed}: {what}")
    print(f"{told.count} rounds in {time.monotonic() - began:.0f} s, {len(broken)} broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
