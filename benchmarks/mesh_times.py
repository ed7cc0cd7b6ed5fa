"""How long the mesh takes for what it promises: real processes on loopback, one table.

    python -m benchmarks.mesh_times [--controllers 3,5] [--rounds 2] [--seed 1] [--json FILE]

For each number of controllers a mesh of six sidecars is started, three beside each of two stand-in services.
A round is: twenty changes, two hundred pairs of calls with and without a key, a kill each of a controller, of
a sidecar and of a sidecar of each service, a wiped controller, a cut of 1 s and one of 4 s. All times are
taken from outside: what clients, operators and the platform see, and what lies on a controller's disk. Two
rounds take under two minutes. The cuts are played on a second mesh whose connections pass a relay
(`rehearsal.mesh.relay`). Wants free cores.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import os
import random
import statistics
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

from mesh.storage.record_store import decode_batches
from rehearsal.mesh import wire
from rehearsal.mesh.field import Field, Machine
from rehearsal.mesh.judge import History
from rehearsal.mesh.operator import HOST, PATHS, Operator, rule
from rehearsal.mesh.server import Server
from rehearsal.worker import Lateness

PAIRS = 3  # sidecars a service
CHANGES, KEYS = 20, 200  # a round
LOOK_S = 0.003  # between two looks of one watcher
PROBE_S = 0.025  # between two calls of one kind at one sidecar
CALL_S = 1.0  # what a call may take
WATCH_S = 1.6  # calls are made for so long after a kill, or until they are served again
SETTLE_S = 0.6  # and for so long before it
LIMIT_S = 12.0  # nothing is waited for longer
CUTS_S = (1.0, 4.0)  # shorter and longer than the silence that ends a connection


def quantile(values: list[float], part: float) -> float:
    """The value that this part of them stays within, a measured one."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


class Table:
    """Rows of times in seconds, by what was measured."""

    def __init__(self) -> None:
        self.rows: dict[str, list[float]] = {}
        self.notes: dict[str, list[str]] = {}

    def add(self, row: str, value: float, note: str = "") -> None:
        """One time of a row."""
        self.rows.setdefault(row, []).append(value)
        if note:
            self.notes.setdefault(row, []).append(note)

    def lines(self) -> Iterator[str]:
        """The table as text; times in ms."""
        yield f"{'ms':86} {'n':>5} {'median':>8} {'90%':>8} {'99%':>8} {'most':>8}"
        for row, values in self.rows.items():
            figures = [1000 * quantile(values, part) for part in (0.5, 0.9, 0.99, 1.0)]
            told = "; ".join(self.notes.get(row, ())[:6])
            shown = " ".join(f"{figure:8.1f}" for figure in figures)
            yield f"{row:86} {len(values):5} {shown}" + (f"  ({told})" if told else "")


class Mesh:
    """One mesh with its stand-in servers, as `async with`."""

    def __init__(self, folder: Path, controllers: int, seed: int, relayed: bool = False) -> None:
        draw = random.Random(seed)
        self.history = History()
        self.field = Field(folder, self.history, controllers, PAIRS, relayed)
        self.operator = Operator(self.field.controllers, self.history, draw, itertools.count(1))
        self.servers = [
            Server(sidecar, self.history, random.Random(draw.random()), 0.0, errs=False)
            for sidecar in self.field.sidecars
        ]
        self.versions = itertools.count(1000)
        self.names = itertools.count(1)

    async def __aenter__(self) -> Mesh:
        try:
            await self.field.start_all()
            for server in self.servers:
                await server.start()
            await self.ready(*self.field.controllers)
            if await self.operator.first() != 200:
                raise TimeoutError("the first configuration was not acknowledged")
            await self.ready(*self.field.sidecars)
            await asyncio.sleep(SETTLE_S)  # all connections between sidecars are there
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def close(self) -> None:
        """End all that was started here."""
        for server in self.servers:
            await server.stop()
        await self.field.close()

    async def ready(self, *machines: Machine) -> None:
        """Wait until all these say that they are."""
        for machine in machines:
            await until(machine.ready, f"{machine.name} ready")

    def of(self, service: str) -> list[Machine]:
        """The sidecars beside a service's servers."""
        return [sidecar for sidecar in self.field.sidecars if sidecar.service == service]

    async def change(self) -> tuple[int, str]:
        """A change of the one route that no server serves; its version, and the path that it newly has."""
        version = next(self.versions)
        name = f"/timed{version}/"
        timed = rule("timed", "pure", name, "nobody", version)
        upserts: dict[str, Any] = {"listener_list": [{"hostname": HOST, "rule_set": [timed]}]}
        if version == 1000:
            upserts["cluster_list"] = [
                {"name": "nobody", "health_path": "/health", "max_conns": 1, "revision": f"r{version}"}
            ]
        if await self.operator.change(upserts, [], version) != 200:
            raise TimeoutError("a change was not acknowledged")
        return version, name


async def until(holds: Callable[[], Awaitable[bool]], what: str, pause_s: float = LOOK_S) -> float:
    """Wait for something; when it held."""
    ends = time.monotonic() + LIMIT_S
    while not await holds():
        if time.monotonic() > ends:
            raise TimeoutError(f"not within {LIMIT_S:g} s: {what}")
        await asyncio.sleep(pause_s)
    return time.monotonic()


def raw(kind: str, target: str, attempt: str, key: str = "", limit_s: float = CALL_S) -> bytes:
    """A call as a client sends it."""
    headers = {
        "Host": HOST,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(int(limit_s * 1000)),
    }
    if key:
        headers["X-Operation-Key"] = key
    method = "GET" if kind == "pure" else "POST"
    return wire.request(method, target, headers, b"" if kind == "pure" else b"berth for two")


# --- from an acknowledgement to in force


async def in_force(sidecar: Machine, path: str) -> float:
    """When a request was sent to a sidecar that was the first to be handled by the route of this path."""
    line: wire.Line | None = None
    ends = time.monotonic() + LIMIT_S
    try:
        while time.monotonic() < ends:
            sent = time.monotonic()
            try:
                async with asyncio.timeout(CALL_S):
                    line = line or await wire.Line.open(sidecar.at("outbound"))
                    if (await line.ask(raw("pure", path, f"w{sent}"))).status != 404:
                        return sent
            except (OSError, wire.Broken, TimeoutError):
                if line is not None:
                    line.close()
                line = None
            await asyncio.sleep(LOOK_S)
    finally:
        if line is not None:
            line.close()
    raise TimeoutError(f"{path} was not in force at {sidecar.name} within {LIMIT_S:g} s")


async def changes(mesh: Mesh, table: Table) -> None:
    """Changes one after the other, each looked for at all sidecars."""
    for _ in range(CHANGES):
        began = time.monotonic()
        _, path = await mesh.change()
        acked = time.monotonic()
        seen = await asyncio.gather(*(in_force(sidecar, path) for sidecar in mesh.field.sidecars))
        table.add("a change, sent to acknowledged", acked - began)
        table.add("acknowledged to in force at all six sidecars", max(seen) - acked)


# --- keys


async def keyed(mesh: Mesh, table: Table) -> None:
    """Calls with and without a key in turn, at an idle mesh, on one connection."""
    sidecar = mesh.of("ferry")[0]
    line = await wire.Line.open(sidecar.at("outbound"))
    plain: list[float] = []
    with_key: list[float] = []
    for _ in range(KEYS):
        name = f"n{next(mesh.names)}"
        for kind, key, times in (("effectful", "", plain), ("idempotent", f"key-{name}", with_key)):
            began = time.monotonic()
            answer = await line.ask(raw(kind, f"{PATHS[kind][0]}{name}", f"{name}{kind}", key))
            if answer.status == 200:
                times.append(time.monotonic() - began)
            await asyncio.sleep(LOOK_S)
    line.close()
    base = statistics.median(plain)
    for took in plain:
        table.add("a call without a key", took)
    for took in with_key:
        table.add("a call with a new key", took)
        table.add("a key's extra time (less the median without)", took - base)


# --- kills


class Probes:
    """Calls of each kind at some sidecars at a steady pace, whatever becomes of those before."""

    def __init__(self, mesh: Mesh, sidecars: list[Machine]) -> None:
        self._mesh, self._sidecars = mesh, sidecars
        self._idle: dict[str, list[wire.Line]] = {sidecar.name: [] for sidecar in sidecars}
        self.calls: dict[str, list[tuple[float, float, bool]]] = {"pure": [], "idempotent": []}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, for_s: float) -> None:
        """Call for so long, and until the last calls of each kind are served."""
        began = time.monotonic()
        for number in itertools.count():
            due = began + number * PROBE_S
            if due > began + for_s and (self._calm() or due > began + LIMIT_S):
                return
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            for sidecar in self._sidecars:
                for kind in self.calls:
                    task = asyncio.create_task(self._call(sidecar, kind))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)

    def _calm(self) -> bool:
        return all(calls[-10:] and all(good for _, _, good in calls[-10:]) for calls in self.calls.values())

    async def done(self) -> None:
        """Wait for the last answers, and let go of all connections."""
        await asyncio.gather(*self._tasks)
        for line in itertools.chain(*self._idle.values()):
            line.close()

    async def _call(self, sidecar: Machine, kind: str) -> None:
        name = f"p{next(self._mesh.names)}"
        sent, good = time.monotonic(), False
        line: wire.Line | None = None
        idle = self._idle[sidecar.name]
        try:
            async with asyncio.timeout(CALL_S + 0.5):
                while idle and line is None:
                    line = idle.pop()
                    if not line.open_ended:
                        line = None
                line = line or await wire.Line.open(sidecar.at("outbound"))
                key = f"key-{name}" if kind == "idempotent" else ""
                good = (await line.ask(raw(kind, f"{PATHS[kind][0]}{name}", name, key))).status == 200
        except (OSError, wire.Broken, TimeoutError):
            if line is not None:
                line.close()
            line = None
        if line is not None and line.open_ended:
            idle.append(line)
        self.calls[kind].append((sent, time.monotonic(), good))

    def note(self, table: Table, row: str, at: float) -> None:
        """For each kind: from a kill until ten calls in a row are served; 0 where none failed before."""
        for kind, calls in self.calls.items():
            calls.sort()
            met = [(sent, good) for sent, ended, good in calls if ended >= at]
            runs = (n for n in range(len(met) - 9) if all(good for _, good in met[n : n + 10]))
            first = next(runs, None)
            if first is None:
                raise TimeoutError(f"{row}: {kind} was not served again within {LIMIT_S:g} s")
            failed = sum(not good for _, good in met)
            again = max(0.0, met[first][0] - at) if first else 0.0
            waited = max((ended - sent for sent, ended, good in calls if good and ended >= at), default=0.0)
            table.add(f"{row}: {kind} served again", again, f"{failed} of {len(met)} failed")
            table.add(f"{row}: {kind}, longest wait of one served", waited)


async def killed(
    mesh: Mesh, table: Table, row: str, machines: list[Machine], sidecars: list[Machine], back: bool
) -> None:
    """End processes while calls are made at some sidecars; start them again at once, or when all is seen."""
    probes = Probes(mesh, sidecars)
    calling = asyncio.create_task(probes.run(SETTLE_S + WATCH_S))
    await asyncio.sleep(SETTLE_S)
    at = time.monotonic()
    mesh.field.strike(*machines)
    await mesh.field.kill()
    for machine in machines if back else ():
        await mesh.field.start(machine)
    await calling
    await probes.done()
    probes.note(table, row, at)
    for machine in machines if not back else ():
        await mesh.field.start(machine)
    await mesh.ready(*machines)
    await asyncio.sleep(SETTLE_S)


async def kills(mesh: Mesh, table: Table, number: int) -> None:
    """One kill of each sort."""
    ferry, till = mesh.of("ferry"), mesh.of("till")
    controller = mesh.field.controllers[number % len(mesh.field.controllers)]
    await killed(mesh, table, "a controller killed", [controller], ferry, False)
    await killed(mesh, table, "a sidecar killed and started, its own clients", ferry[:1], ferry[:1], True)
    servers = [ferry[2], till[number % PAIRS]]
    await killed(mesh, table, "a sidecar of each service killed, others' clients", servers, ferry[:2], False)


async def wiped(mesh: Mesh, table: Table, number: int) -> None:
    """A controller loses its disk: from its start until it counts again."""
    controller = mesh.field.controllers[number % len(mesh.field.controllers)]
    await mesh.field.kill(controller)
    mesh.field.wipe(controller)
    began = time.monotonic()
    await mesh.field.start(controller)
    held = await until(controller.ready, f"{controller.name} whole again")
    await asyncio.sleep(SETTLE_S)
    said = [json.loads(line) for line in mesh.field.log(controller) if '"caught up"' in line]
    told = said[-1] if said else {}
    note = f"{told.get('items')} items, {told.get('keys')} keys"
    table.add("a wiped controller, start to whole again", held - began, note)


# --- cuts


def on_disk(folder: Path, name: str) -> int:
    """The version of an item that a controller's disk holds."""
    newest = -1
    for path in sorted(folder.glob("g*.dat")):
        with contextlib.suppress(OSError):
            for record in decode_batches(path.read_bytes()):
                if record[0] == "item" and record[1][0] == name:
                    newest = max(newest, record[1][1])
    return newest


async def healed(mesh: Mesh, table: Table, for_s: float) -> None:
    """A controller and two sidecars are cut off, a change is made beside them: from the cut's end to
    agreement."""
    field = mesh.field
    here = [field.controllers[0], *field.sidecars[:2]]
    field.cut(*here)
    await asyncio.sleep(0.2)
    version, path = await mesh.change()
    ends = time.monotonic() + for_s - 0.2
    await asyncio.sleep(max(0.0, ends - time.monotonic()))

    async def copied() -> bool:
        return all(
            on_disk(field.data(controller), "route/timed") >= version for controller in field.controllers
        )

    at = time.monotonic()
    field.heal()
    looks = [asyncio.create_task(in_force(sidecar, path)) for sidecar in field.sidecars]
    held = await until(copied, "all copies agree")
    seen = await asyncio.gather(*looks)
    table.add(f"a cut of {for_s:g} s, its end to in force at all six sidecars", max(0.0, max(seen) - at))
    table.add(f"a cut of {for_s:g} s, its end to on every controller's disk", max(0.0, held - at))
    await asyncio.sleep(2 * SETTLE_S)


# --- all


async def measure(folder: Path, controllers: int, rounds: int, seed: int) -> tuple[Table, float]:
    """One number of controllers; the table, and how late this process was (ms, 99%)."""
    table, late = Table(), Lateness()

    async def beat() -> None:
        while True:
            due = time.monotonic() + 0.01
            await asyncio.sleep(0.01)
            late.beat(int((time.monotonic() - due) * 1e6), 10_000)

    beating = asyncio.create_task(beat())
    (direct := folder / "direct").mkdir()
    (relayed := folder / "relayed").mkdir()
    async with Mesh(direct, controllers, seed) as mesh:
        for number in range(rounds):
            await changes(mesh, table)
            await keyed(mesh, table)
            await kills(mesh, table, number)
            await wiped(mesh, table, number)
        mesh.field.read_logs()
        troubles = mesh.history.troubles
    async with Mesh(relayed, controllers, seed, relayed=True) as mesh:
        await mesh.change()
        for _ in range(rounds):
            for for_s in CUTS_S:
                await healed(mesh, table, for_s)
        mesh.field.read_logs()
        troubles += mesh.history.troubles
    beating.cancel()
    if troubles:
        raise RuntimeError("; ".join(troubles[:3]))
    return table, late.quantile(0.99)


def main() -> int:
    """Measure, and print a table for each number of controllers."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.mesh_times", description=__doc__)
    parser.add_argument("--controllers", default="3,5")
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path)
    told = parser.parse_args()
    found: dict[str, Any] = {}
    for controllers in map(int, told.controllers.split(",")):
        began, load = time.monotonic(), os.getloadavg()[0]
        with tempfile.TemporaryDirectory(prefix="mesh-times-") as folder:
            try:
                table, late_ms = asyncio.run(measure(Path(folder), controllers, told.rounds, told.seed))
            except (TimeoutError, RuntimeError) as error:
                print(f"{controllers} controllers: {error}", file=sys.stderr)
                return 1
        took = time.monotonic() - began
        print(
            f"{controllers} controllers, 6 sidecars, {told.rounds} rounds in {took:.0f} s; "
            f"{os.cpu_count()} cores, load {load:.1f} before, {os.getloadavg()[0]:.1f} after; "
            f"the rig late by {late_ms:.1f} ms (99%)"
        )
        print(*table.lines(), "", sep="\n")
        found[str(controllers)] = {"rows": table.rows, "late_ms": late_ms, "rounds": told.rounds}
    if told.json is not None:
        told.json.write_text(json.dumps(found), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
