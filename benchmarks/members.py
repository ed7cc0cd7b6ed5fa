"""What the fleet part costs: a member at rest, and its door under nonsense.

    python -m benchmarks.members [--daemons 12] [--seconds 10] [--datagrams 2000000] [--json FILE]

At rest: so many real daemons with the part on, and as many with it off, side by side and without a
request; CPU is what the kernel's accounts say, the difference is the part's. Door: random bytes, flips of
real datagrams and replays, a third each, into one member of a fleet of twelve on fake time.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import psutil

from emulator.members import World, universe
from hollyport.fleet import wire
from rehearsal import plan, scenario, settings
from rehearsal.daemon import environment, own_address

KEY = "00112233445566778899aabbccddeeff"


def at_rest(count: int, seconds: float) -> dict[str, float]:
    """Share of a core that a daemon uses, with the part and without."""
    made = plan.make(scenario.load(scenario.find("smoke")), "smoke", "small", 1)
    draw = random.SystemRandom()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "keys").write_text(KEY + "\n")
        addresses = [own_address(draw) for _ in range(count)]
        names = json.dumps([f"d{n}@{address}" for n, address in enumerate(addresses)])
        started: dict[str, list[psutil.Popen]] = {"on": [], "off": []}
        try:
            for n in range(count):
                config = {
                    "name": f"d{n}", "discovery": own_address(draw), "seed": "1",
                    "settings": settings.settings(made, 0),
                    "known": {"version": 1, "endpoints": []},
                }  # fmt: skip
                (folder / f"{n}.toml").write_text(
                    f'[fleet]\nname = "bench"\nkeys = "{folder / "keys"}"\nlisten = "{addresses[n]}"\n'
                    f"[fleet.halls]\na = {names}\n"
                )
                for kind in started:
                    path = folder / f"{n}-{kind}.json"
                    path.write_text(json.dumps({**config, "listen": own_address(draw)}))
                    words = [sys.executable, "-m", "hollyport"]
                    words += ["--options", str(folder / f"{n}.toml")] if kind == "on" else []
                    environ = {**environment(), "NODE_CONFIG": str(path)}
                    started[kind].append(
                        psutil.Popen(words, env=environ, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
                    )
            time.sleep(4.0)
            used = {}
            before = {kind: _cpu(all_) for kind, all_ in started.items()}
            time.sleep(seconds)
            for kind, all_ in started.items():
                used[kind] = (_cpu(all_) - before[kind]) / seconds / count
            rss = {
                kind: sum(p.memory_info().rss for p in all_) / 1e6 / count for kind, all_ in started.items()
            }
        finally:
            for process in [*started["on"], *started["off"]]:
                process.kill()
                process.wait()
    return {
        "core_on": round(used["on"], 5), "core_off": round(used["off"], 5),
        "core_of_part": round(used["on"] - used["off"], 5),
        "rss_mb_on": round(rss["on"], 1), "rss_mb_off": round(rss["off"], 1),
    }  # fmt: skip


def _cpu(processes: list[psutil.Popen]) -> float:
    return sum(sum(p.cpu_times()[:2]) for p in processes)


def door(count: int) -> dict[str, Any]:
    """Nonsense into a member: time each, memory, and what it was counted as."""
    world = World(universe(12), seed=1)
    seen: list[bytes] = []
    plain = world.carry

    def carry(sender: Any, address: str, data: bytes) -> None:
        if address == "m0:1":
            seen.append(data)
        plain(sender, address, data)

    world.carry = carry  # type: ignore[method-assign]
    world.start(world.universe.hall)
    world.run(10.0)
    target, draw = world.running["m0"].member, random.Random(1)
    target.refused = dict.fromkeys(wire.WHYS, 0)
    now, process = world.running["m0"].now(), psutil.Process(os.getpid())
    rss, began = process.memory_info().rss, time.process_time()
    for number in range(count):
        if number % 3 == 0:
            data = draw.randbytes(draw.randrange(0, 300))
        else:
            data = draw.choice(seen)
            if number % 3 == 1:
                flipped = bytearray(data)
                flipped[draw.randrange(len(data))] ^= 1 << draw.randrange(8)
                data = bytes(flipped)
        target.handle(now, data)
        target.out.clear()
    took = time.process_time() - began
    return {
        "datagrams": count, "us_each": round(took / count * 1e6, 2),
        "rss_growth_mb": round((process.memory_info().rss - rss) / 1e6, 2),
        "refused": {why: n for why, n in target.refused.items() if n},
        "taken_in": count - sum(target.refused.values()), "still_agreed": world.agreed(),
    }  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--daemons", type=int, default=12)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--datagrams", type=int, default=2_000_000)
    parser.add_argument("--json", metavar="FILE")
    told = parser.parse_args()
    made = {"door": door(told.datagrams), "at_rest": at_rest(told.daemons, told.seconds)}
    print(json.dumps(made, indent=2))
    if told.json:
        Path(told.json).write_text(json.dumps(made, indent=2) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
