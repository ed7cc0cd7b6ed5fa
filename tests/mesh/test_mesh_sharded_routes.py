"""A route that is added to a service whose keys are divided among its servers, by real processes."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter
from pathlib import Path

import pytest
from plays import room
from small_mesh import SERVICE, SmallMesh, small_mesh

from rehearsal.mesh import judge, wire
from rehearsal.mesh.field import BY_HEARTBEAT, BY_INVOCATION, Machine, Sharding
from rehearsal.mesh.key_ranges import LAST_KEY
from rehearsal.mesh.operator import HOST, rule

ADDED_PREFIX = "/added/"
DEADLINE_S = 1.0
APPLY_S = 2.0  # from the acknowledgement of a change until it is in force everywhere
SERVED_LIMIT_S = 8.0  # from then on, until all requests of a round are served
PAUSE_S = 0.1  # between rounds
ROUND = 16  # requests, for keys that are spread over all
SHARD_KEYS = [number * LAST_KEY // (ROUND - 1) for number in range(ROUND)]
numbers = itertools.count(1)


async def request_added_route(machine: Machine, shard_key: int) -> int:
    """Sends a request on the added route; returns its status, 0 if there was no whole answer."""
    headers = {
        "Host": HOST,
        "X-Attempt-Id": f"a{next(numbers)}",
        "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        "X-Shard-Key": str(shard_key),
    }
    try:
        async with asyncio.timeout(DEADLINE_S):
            line = await wire.Line.open(machine.at("outbound"))
            try:
                answer = await line.ask(wire.request("GET", f"{ADDED_PREFIX}1", headers, b""))
            finally:
                line.close()
    except (OSError, TimeoutError, wire.Broken):
        return 0
    return answer.status


async def request_all_keys(mesh: SmallMesh) -> Counter[int]:
    """Sends a request for each of the keys, from all callers in turn; returns how often each status came."""
    callers = itertools.cycle(mesh.callers)
    return Counter([await request_added_route(next(callers), key) for key in SHARD_KEYS])


async def add_route(mesh: SmallMesh) -> None:
    upserts = {
        "listener_list": [
            {"hostname": HOST, "rule_set": [rule("added", "pure", ADDED_PREFIX, SERVICE, version=1000)]}
        ]
    }
    assert await mesh.operator.change(upserts, [], version=1000) == 200
    await asyncio.sleep(APPLY_S)


@pytest.mark.parametrize("grants", [BY_HEARTBEAT, BY_INVOCATION])
def test_a_route_added_later_to_a_service_whose_keys_are_divided_is_served(
    tmp_path: Path, grants: str
) -> None:
    # guards against CONFIG: "of the requests on routes that were added, 0 were served" (issue 73)
    async def play() -> None:
        async with small_mesh(tmp_path, sharding=Sharding(grants, (SERVICE,))) as mesh:
            await add_route(mesh)
            ends_at = time.monotonic() + SERVED_LIMIT_S
            last = await request_all_keys(mesh)
            total = Counter(last)
            while last[200] < ROUND:
                assert time.monotonic() < ends_at, f"not all keys are served; by status: {dict(total)}"
                await asyncio.sleep(PAUSE_S)
                last = await request_all_keys(mesh)
                total += last
            assert judge.owners(mesh.history) == []

    with room():
        asyncio.run(play())
