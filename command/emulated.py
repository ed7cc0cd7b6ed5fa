"""Figures of a fleet on fake time, by its size: the daemon's own state machine, unchanged.

Beside them stands what the method's published formula expects: the first probe of a failed member comes after
1 / (1 - e^-1) periods on average (Das, Gupta, Motivala, 2002), its failure shows a period later, and the
suspect has the shortest suspicion to refute.
"""

from __future__ import annotations

import math
import random
import statistics
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from emulator.members import World, plain, universe
from hollyport.fleet.member import Member
from hollyport.fleet.membership import Membership, Own, Rules
from hollyport.fleet.view import Universe

STALLED = 0.1  # part of the members that stall again and again
STALL_S, RUN_S = (1.0, 8.0), (0.02, 0.1)  # as one that swaps, or gets a slice of a core now and then


class Careless(Membership):
    """A member without local health: it neither sees its own stalls nor slows down when its own probes
    fail."""

    __slots__ = ()

    def _pass(self, now: float) -> None:
        self._last = now

    def _feel(self, step: int) -> None:
        pass


def careless(name: str, own: Own, names: Universe, rules: Rules, draw: random.Random) -> Member:
    """As `plain`, without local health."""
    made = plain(name, own, names, rules, draw)
    made.membership = Careless(own, names, rules, draw)
    return made


def stalls(world: World, seconds: float) -> None:
    """From now on a tenth of the members stop, run for a moment, and stop again."""
    draw = world.streams.of("stalls")
    until = world.now + seconds

    def stop(name: str) -> None:
        process = world.running[name]
        process.stall()
        world.clock.after(int(draw.uniform(*STALL_S) * 1e9), lambda: wake(name))

    def wake(name: str) -> None:
        world.running[name].wake()
        if world.now < until:
            world.clock.after(int(draw.uniform(*RUN_S) * 1e9), lambda: stop(name))

    for name in draw.sample(sorted(world.running), max(1, int(len(world.running) * STALLED))):
        world.stalled.add(name)
        world.clock.after(int(draw.random() * 1e9), lambda name=name: stop(name))  # type: ignore[misc]


def false_deaths(world: World, since: int) -> int:
    """Deaths that somebody told since then, of members that lived and were not stalled."""
    return sum(
        s.event.name == "dead" and s.event.fields["member"] in world.running
        and s.event.fields["member"] not in world.stalled
        for s in world.seen[since:]
    )  # fmt: skip


def figures(size: int, seed: int, seconds: float, kills: int, view: int) -> dict[str, float]:
    """One fleet, joined, at rest, with members killed, at loss, and with a tenth stalled."""
    rules = Rules(view=view)

    def fresh(make: Any = plain) -> World:
        world = World(universe(size), seed=seed, rules=rules, make=make)
        world.start(world.universe.hall)
        world.run(0.01)
        return world

    world = fresh()
    joined = world.until(world.agreed, 120.0, 0.25) if size > 1 else 0.0
    waking = world.carried / size / max(0.25, joined)
    world.run(3.0)
    carried, bytes_ = world.carried, world.carried_bytes
    world.run(seconds)
    per_member = (world.carried - carried) / size / seconds
    per_datagram = (world.carried_bytes - bytes_) / max(1, world.carried - carried)
    took = []
    for number in range(min(kills, size // 2)):
        name = f"m{number}"
        watchers = [n for n, p in world.running.items() if n != name and name in p.member.membership.peers]
        world.kill(name)
        took.append(world.until(lambda: all(world.holds(n, name) == "dead" for n in watchers), 30.0, 0.05))  # noqa: B023
    world.loss, since, world.seen = 0.3, 0, []
    world.run(seconds)
    lossy = false_deaths(world, since)
    shown = []
    for make in (plain, careless):
        if size > 2000:
            shown.append(math.nan)  # a tenth of 20,000 that stall: hours of play, and nothing new
            continue
        world = fresh(make)
        world.until(world.agreed, 120.0, 0.25)
        since = len(world.seen)
        stalls(world, seconds)
        world.run(seconds + STALL_S[1])
        shown.append(false_deaths(world, since) / (seconds / 3600))
    took.sort()
    first = rules.period / (1 - math.exp(-1))
    return {
        "members": size, "whole_s": round(joined, 2), "waking_per_s": round(waking, 2),
        "datagrams_per_s": round(per_member, 3), "bytes_each": round(per_datagram),
        "detect_s": round(statistics.median(took), 2), "detect_most_s": round(took[-1], 2),
        "formula_s": round(first + rules.period + rules.suspicion_min, 2),
        "false_at_loss": lossy, "false_stalled_per_h": shown[0], "without_health_per_h": shown[1],
    }  # fmt: skip


def rows_of(
    sizes: list[int], seed: int, seconds: float, kills: int, view: int, say: Callable[[str], None]
) -> Iterator[dict[str, float]]:
    """Play one size after the other."""
    for size in sizes:
        say(f"{size} members ...")
        yield figures(size, seed, seconds, kills, view)


def draw(rows: list[dict[str, float]], path: Path) -> None:
    """The figures over the size, as a picture."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    sizes = [row["members"] for row in rows]
    made, (left, middle, right) = pyplot.subplots(1, 3, figsize=(13, 4), layout="constrained")
    left.plot(sizes, [row["detect_s"] for row in rows], "o-", label="median")
    left.plot(sizes, [row["detect_most_s"] for row in rows], "s--", label="slowest")
    left.plot(sizes, [row["formula_s"] for row in rows], ":", label="formula")
    left.set(title="a death is known to all who watch", ylabel="seconds")
    middle.plot(sizes, [row["datagrams_per_s"] for row in rows], "o-", label="at rest")
    middle.plot(sizes, [row["waking_per_s"] for row in rows], "s--", label="all waking at once")
    middle.set(title="datagrams a member sends", ylabel="a second")
    right.plot(sizes, [row["false_stalled_per_h"] for row in rows], "o-", label="with local health")
    right.plot(sizes, [row["without_health_per_h"] for row in rows], "s--", label="without")
    right.set(title="false deaths, a tenth stalls", ylabel="an hour", yscale="symlog")
    for axes in (left, middle, right):
        axes.set(xscale="log", xlabel="members", ylim=(0, None))
        axes.legend()
    made.savefig(path, dpi=110)
    pyplot.close(made)
