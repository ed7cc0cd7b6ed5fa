"""What the mesh says to itself, by kind of message: its real processes on fake time, one table a phase.

    python -m benchmarks.mesh_bytes [--sidecars 13,40] [--controllers 3] [--routes 310]

Phases: the start up to the first configuration, that configuration, one change of one route, ten seconds at
rest, and a sidecar that ends and starts again. Bytes are those of the messages, without TCP's own; told is
what an average sidecar gets and gives in the phase. Nothing is measured in time, so that any machine gives
the same. Datagrams of the hedge are left out: eight a second and member, whatever the fleet's size
(0010-fleet.md). Wants a checkout: the world of fake time is that of `tests/mesh`.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests" / "mesh"))

from fake_machines import End, message_kind  # noqa: E402
from mesh_world import World  # noqa: E402
from operator_calls import change, route, service  # noqa: E402

from mesh.transport.messages import KINDS  # noqa: E402

NAMES = {number: kind.__name__ for number, kind in KINDS.items()}


class Count:
    """Bytes and messages by kind, of those that a sidecar gets or gives."""

    def __init__(self, world: World) -> None:
        self.bytes: Counter[str] = Counter()
        self.messages: Counter[str] = Counter()
        self._sidecars = frozenset(world.sidecars)
        plain = End._ship

        def ship(end: End, packed: bytes | None) -> None:
            if packed is not None and end.other is not None:
                both = (end.process.host, end.other.process.host)
                ends = sum(host in self._sidecars for host in both)
                self.bytes[NAMES[message_kind(packed)]] += ends * len(packed)
                self.messages[NAMES[message_kind(packed)]] += ends
            plain(end, packed)

        End._ship = ship  # type: ignore[method-assign]
        self.undo: Callable[[], None] = lambda: setattr(End, "_ship", plain)

    def take(self) -> tuple[Counter[str], Counter[str]]:
        """All since the last time."""
        found = self.bytes, self.messages
        self.bytes, self.messages = Counter(), Counter()
        return found


async def _until(holds: Callable[[], bool], limit_s: float = 20.0) -> None:
    loop = asyncio.get_running_loop()
    end = loop.time() + limit_s
    while not holds():
        if loop.time() > end:
            raise SystemExit("a phase did not come to its end")
        await asyncio.sleep(0.02)


def _have(world: World, version: int) -> bool:
    roles = [world.machines[name].process.role for name in world.sidecars]
    return all(
        role is not None and "route/r0" in role.items and role.items["route/r0"].version >= version
        for role in roles
    )


async def story(world: World, routes: int, told: Callable[[str], None]) -> None:
    """All phases in turn."""
    await _until(lambda: len(world.caught_up_controllers()) == len(world.controllers))
    await asyncio.sleep(3.0)
    told("start, no configuration yet")
    first = [route(f"r{at}", 1, f"/a{at}/") for at in range(routes)]
    assert await world.patch(0, change([service("berths", 1)], first)) == 200
    await _until(lambda: _have(world, 1))
    await asyncio.sleep(0.5)
    told(f"first configuration, {routes} routes")
    assert await world.patch(1, change([], [route("r0", 2, "/a0/", timeout="1s")])) == 200
    await _until(lambda: _have(world, 2))
    await asyncio.sleep(0.5)
    told("one change")
    await asyncio.sleep(10.0)
    told("ten seconds at rest")
    world.kill(world.sidecars[0])
    await asyncio.sleep(0.2)
    world.start_sidecar(world.sidecars[0])
    await _until(lambda: _have(world, 2))
    await asyncio.sleep(0.5)
    told("a sidecar starts again")


def play(sidecars: int, controllers: int, routes: int) -> None:
    """One fleet, printed."""
    print(f"\n{sidecars} sidecars, {controllers} controllers")
    with World(seed=1, size=controllers, claimants=sidecars) as world:
        count = Count(world)

        def told(phase: str) -> None:
            sizes, numbers = count.take()
            share = 1 if phase.startswith("a sidecar") else sidecars
            print(
                f"  {phase}: {sum(sizes.values()) / share:,.0f} bytes a sidecar, "
                f"{sum(numbers.values()) / share:,.1f} messages"
            )
            for name, size in sizes.most_common(6):
                print(f"    {name:10} {size / share:12,.0f} bytes {numbers[name] / share:10,.1f} messages")

        try:
            world.start()
            work: Awaitable[None] = world.operator.run(story(world, routes, told))
            if not world.run(200.0, work.done):  # type: ignore[attr-defined]
                raise SystemExit("no end")
            work.result()  # type: ignore[attr-defined]
        finally:
            count.undo()


def main() -> None:
    """Read the words, and play."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.mesh_bytes", description=__doc__)
    parser.add_argument("--sidecars", default="13,40")
    parser.add_argument("--controllers", type=int, default=3)
    parser.add_argument("--routes", type=int, default=310)
    told = parser.parse_args()
    for sidecars in told.sidecars.split(","):
        play(int(sidecars), told.controllers, told.routes)


if __name__ == "__main__":
    main()
