"""What a whole fleet adds up to as its sidecars grow at equal traffic, on fake time.

    python -m benchmarks.sums [--sizes 40,200,1000] [--seed 1] [--day calm] [--json FILE]

Servers and load stay; the same calls come through more and more sidecars, each with fewer of them. The
figures are sums over the fleet for one server and second, so flat is what is wanted, whatever the machine.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

from dunefield import Balancer
from emulator.day import Day
from emulator.fleet import Fleet, play
from emulator.watch import watched
from emulator.worth import SECOND

Trouble = Callable[[Fleet], None]


def cut(fleet: Fleet) -> None:
    """A hall is cut off from the others for six seconds."""
    fleet.clock.after(6 * SECOND, lambda: fleet.network.part("hall-0"))
    fleet.clock.after(12 * SECOND, lambda: fleet.network.join("hall-0"))


def silent(fleet: Fleet) -> None:
    """One server in five says nothing for six seconds."""
    chosen = list(fleet.machines.values())[::5]

    def turn(fault: str) -> None:
        for machine in chosen:
            machine.fault = fault

    fleet.clock.after(6 * SECOND, lambda: turn("silent"))
    fleet.clock.after(12 * SECOND, lambda: turn(""))


def replaced(fleet: Fleet) -> None:
    """Six servers in ten give way to cold ones within seven seconds."""
    old = list(fleet.machines.values())
    old = old[: len(old) * 6 // 10]

    def one(number: int) -> None:
        new = fleet.start_server()
        fleet.news(new.entry(), old[number].entry()._replace(lifecycle="draining"))

    def gone(number: int) -> None:
        fleet.news(old[number].entry()._replace(lifecycle="removed"))

    for number in range(len(old)):
        at = 6 * SECOND + number * 7 * SECOND // len(old)
        fleet.clock.after(at, partial(one, number))
        fleet.clock.after(at + 3 * SECOND, partial(gone, number))


DAYS: dict[str, Sequence[Trouble]] = {"calm": (), "cut": (cut,), "silent": (silent,), "replaced": (replaced,)}


def count(day: Day, seed: int, troubles: Sequence[Trouble]) -> dict[str, Any]:
    """One day; sums over the fleet, for one server and second."""
    fleet = play(day, seed, watched(Balancer), troubles)  # figures count where no rule was broken
    verdict, spent = fleet.verdict(), fleet.spent
    each = day.servers * day.seconds
    return {
        "sidecars": day.sidecars,
        "servers": day.servers,
        "G": round(verdict.figure, 3),
        "served": round(verdict.whole, 3),
        "late": round(verdict.ends.get("late", 0.0), 3),
        "refused": round(verdict.ends.get("refused", 0.0), 3),
        "wasted": round(spent.wasted / max(1.0, spent.work), 3),
        "tries": round(spent.tries / each, 2),
        "attempts": round(spent.attempts / each, 2),
        "probes": round(spent.probes / each, 3),
        "handshakes": round(spent.handshakes / each, 3),
        "lists": round(spent.lists / each, 4),
    }


def main(arguments: list[str] | None = None) -> int:
    """Entry point of `python -m benchmarks.sums`."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--sizes", default="40,200,1000", help="sidecars, by commas")
    parser.add_argument("--servers", type=int, default=119)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--day", choices=[*DAYS, "all"], default="calm")
    parser.add_argument("--json", type=Path)
    told = parser.parse_args(arguments)
    rows = []
    base = Day(servers=told.servers, seconds=18.0, burst=(0.0, 0.0, 1.0))
    for name in DAYS if told.day == "all" else [told.day]:
        for size in map(int, told.sizes.split(",")):
            rows.append({"day": name, **count(replace(base, sidecars=size), told.seed, DAYS[name])})
            print("; ".join(f"{key} {value}" for key, value in rows[-1].items()), flush=True)
    if told.json:
        told.json.write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
