"""What a control machine costs after many changes: real processes on loopback, one row for each count.

    python -m benchmarks.mesh_changes [--changes 10,300,3000] [--routes 50]

Three controllers; changes one after the other, each of one of so many routes (every tenth drops its route),
sent to the controllers in turn. Then one controller is killed and started anew. Told: changes a second as the
operator sees them; of the controller that was killed its memory and processor before; what lies on its disk;
from its start until it says that it is ready; from there until it holds as many items as the others. Wants
free cores.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

from rehearsal.mesh import wire
from rehearsal.mesh.field import Field, Machine
from rehearsal.mesh.judge import History
from rehearsal.mesh.operator import HOST, rule

LIMIT_S = 20.0  # nothing is waited for longer
LOOK_S = 0.005
DROPS = 10  # each so-manieth change drops its route
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


class Row(NamedTuple):
    """What was measured after so many changes."""

    changes: int
    a_second: float
    memory_mb: float
    processor_s: float
    disk_kb: float
    ready_s: float
    caught_up_s: float


SERVICE = json.dumps({"upserts": {"cluster_list": [{"name": "ferry", "revision": "r1"}]}}).encode()
"""What all routes go to."""


def body(number: int, routes: int) -> bytes:
    """One change of a route."""
    name = f"r{number % routes}"
    if number % DROPS == DROPS - 1:
        told = {"removals": {"route_list": [{"name": name, "revision": f"r{number + 1}"}]}}
        return json.dumps(told).encode()
    route = rule(name, "pure", f"/{name}/", "ferry", number + 1)
    return json.dumps({"upserts": {"listener_list": [{"hostname": HOST, "rule_set": [route]}]}}).encode()


async def change(machine: Machine, what: bytes) -> None:
    """Have one change acknowledged."""
    ends = time.monotonic() + LIMIT_S
    while time.monotonic() < ends:
        told = await wire.ask(machine.at("control"), "PATCH", "/-/config", body=what)
        if told is not None and told.status == 200:
            return
        await asyncio.sleep(LOOK_S)
    raise TimeoutError(f"a change was not acknowledged within {LIMIT_S:g} s")


async def items(machine: Machine) -> int:
    """How many items a controller holds; -1 where it does not answer."""
    told = await wire.ask(machine.at("control"), "GET", "/-/status")
    return int(json.loads(told.body)["items"]) if told is not None and told.status == 200 else -1


async def until_ready(machine: Machine) -> None:
    """Wait until a controller says that it is."""
    ends = time.monotonic() + LIMIT_S
    while not await machine.ready():
        if time.monotonic() > ends:
            raise TimeoutError(f"{machine.name} is not ready within {LIMIT_S:g} s")
        await asyncio.sleep(LOOK_S)


def spent(machine: Machine) -> tuple[float, float]:
    """Megabytes of memory and seconds of processor of a process that runs."""
    assert machine.process is not None
    stat = Path(f"/proc/{machine.process.pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    return int(stat[21]) * PAGE / 1e6, (int(stat[11]) + int(stat[12])) / TICKS


def on_disk(folder: Path) -> float:
    """Kilobytes in all files of a folder."""
    return sum(path.stat().st_size for path in folder.rglob("*") if path.is_file()) / 1000


async def measure(count: int, routes: int) -> Row:
    """One mesh, so many changes, one restart."""
    with tempfile.TemporaryDirectory() as folder:
        field = Field(Path(folder), History(), controllers=3, pairs=0)
        try:
            await field.start_all()
            for machine in field.controllers:
                await until_ready(machine)
            await change(field.controllers[0], SERVICE)
            began = time.monotonic()
            for number in range(count):
                await change(field.controllers[number % 3], body(number, routes))
            took_s = time.monotonic() - began
            *others, killed = field.controllers
            memory_mb, processor_s = spent(killed)
            disk_kb = on_disk(field.data(killed))
            await field.kill(killed)
            started = time.monotonic()
            await field.start(killed)
            await until_ready(killed)
            ready = time.monotonic()
            while await items(killed) != await items(others[0]):
                await asyncio.sleep(LOOK_S)
            caught_up_s = time.monotonic() - ready
            return Row(count, count / took_s, memory_mb, processor_s, disk_kb, ready - started, caught_up_s)
        finally:
            await field.kill(*field.controllers)


def main(words: list[str]) -> int:
    """Print one row for each count."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.mesh_changes", description=__doc__)
    parser.add_argument("--changes", default="10,300,3000")
    parser.add_argument("--routes", type=int, default=50)
    told = parser.parse_args(words)
    print("changes  a second  memory MB  processor s  disk kB  ready after s  caught up after s")
    for count in map(int, told.changes.split(",")):
        row = asyncio.run(measure(count, told.routes))
        print(
            f"{row.changes:7d}{row.a_second:10.1f}{row.memory_mb:11.1f}{row.processor_s:13.2f}"
            f"{row.disk_kb:9.1f}{row.ready_s:15.2f}{row.caught_up_s:19.3f}",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
