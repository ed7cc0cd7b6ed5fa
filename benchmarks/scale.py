"""What control costs by the number of sidecars: real processes on loopback, most sidecars sharing a process.

    python -m benchmarks.scale [--sidecars 30,60,120,240] [--controllers 5] [--services 12] [--routes 310]
        [--real 2] [--shared 20] [--seconds 15] [--runs 1] [--json FILE] [--plot FILE.svg]

For each size that many sidecars run beside the controllers: a few are processes of their own, the others run
as the same code, `shared` to a process ("hollow"), each with an address of its own, its connections and its
failure detector. There is no traffic. Measured from outside, by /proc: processor time, resident memory and
bytes that a process reads and writes (TCP alone: Linux counts no datagrams there), at rest; the time until
all know all after a start of everything; the time until a change is in force at the last sidecar, from its
acknowledgement; what one that starts anew pays, and each other. Lines through the sizes are drawn by least
squares. Wants free cores; gives up before half of the memory is used, or a size takes too long.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import random
import statistics
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import uvloop

from mesh import settings
from mesh.proxy.sidecar import Sidecar
from rehearsal.daemon import LEASH, ROOT, environment
from rehearsal.mesh import wire
from rehearsal.mesh.field import free_ports

SOCKETS = 19_000  # a process may hold
LIMIT_S = 90.0  # nothing is waited for longer
LOOK_S = 0.01  # between two looks of a host at its sidecars
CHANGES = 8  # whose way to the last sidecar is measured
ZONES, REGIONS = 4, 2
PLOTS_ACROSS = 3
MOST_MEMORY = 0.5  # of the machine's
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
BOUNDS = ["contact=3000ms", "catch_up=4s", "grace=4s", "key_window=60s"]
PORTS = ("connection", "control", "outbound", "ready", "app")


# --- a process with many sidecars


def _whole(sidecar: Sidecar, size: int) -> bool:
    """Whether a sidecar has the configuration, and reaches all others."""
    return bool(sidecar.items) and len(sidecar._endpoint_links) >= size - 1


async def host(paths: list[str], size: int) -> None:
    """Run sidecars, and write a line whenever what all of them know has changed."""
    sidecars = []
    for path in paths:
        made = Sidecar(settings.read(Path(path).read_text(encoding="utf-8")).ok)
        await made.start()
        made.server_queue.life(f"i-{made.me}", 4, 0.0, True)
        made._tell_record()
        sidecars.append(made)
    before: Any = None
    while True:
        digests = {sidecar.copy.digest for sidecar in sidecars}
        whole = sum(_whole(sidecar, size) for sidecar in sidecars)
        told = {"digest": digests.pop() if len(digests) == 1 else None, "whole": whole}
        if told != before:
            before = told
            print(json.dumps({"at": time.monotonic(), **told}), flush=True)
        await asyncio.sleep(LOOK_S)


# --- the rig


@dataclass
class Spent:
    """What a process has used so far."""

    cpu_s: float
    rss_mb: float
    bytes: int

    @classmethod
    def of(cls, pid: int) -> Spent:
        fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
        pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1])
        counts = dict(line.split(": ") for line in Path(f"/proc/{pid}/io").read_text().splitlines())
        moved = int(counts["rchar"]) + int(counts["wchar"])
        return cls((int(fields[11]) + int(fields[12])) / TICKS, pages * PAGE / 2**20, moved)


@dataclass
class Worker:
    """One process: a controller, a sidecar, or a host of sidecars."""

    name: str
    words: list[str]
    settings: Path | None
    sidecars: int = 0
    process: asyncio.subprocess.Process | None = None
    told: list[dict[str, Any]] = field(default_factory=list)

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid


class Rig:
    """A mesh of one size."""

    def __init__(self, folder: Path, size: int, told: argparse.Namespace) -> None:
        self._folder, self.size, self._services = folder, size, told.services
        controllers, real, shared = told.controllers, told.real, told.shared
        draw = random.SystemRandom()
        net = f"127.{draw.randrange(1, 255)}"
        where = [f"{net}.{n // 200}.{1 + n % 200}" for n in range(controllers + size)]
        self._ports = dict(zip(PORTS, free_ports(where, len(PORTS)), strict=True))
        self._seeds = where[:controllers]
        self.controllers = [self._worker(n, "controller", one) for n, one in enumerate(where[:controllers])]
        files = [self._write(n, "sidecar", one) for n, one in enumerate(where[controllers:])]
        self._where = where[controllers:]
        self.real = [
            Worker(f"sidecar{n}", ["mesh", "sidecar"], files[n], sidecars=1) for n in range(min(real, size))
        ]
        rest = files[len(self.real) :]
        self.hosts = [
            Worker(f"host{at}", ["benchmarks.scale", "host", str(size), *map(str, part)], None, len(part))
            for at in range(0, len(rest), shared)
            if (part := rest[at : at + shared])
        ]
        self._tasks: list[asyncio.Task[None]] = []

    def _address(self, where: str, door: str) -> str:
        return f"{where}:{self._ports[door]}"

    def _write(self, number: int, role: str, where: str) -> Path:
        zone = number % ZONES
        told: dict[str, object] = {
            "node_name": f"{role}{number}",
            "ip": where,
            "zone": f"zone-{zone}",
            "region": f"region-{zone % REGIONS}",
            "port_range": [self._ports["connection"]] * 2,
            "seed_list": [self._address(seed, "control") for seed in self._seeds],
            "first_start": True,
            "bound_set": BOUNDS,
        }
        doors = ["control"]
        if role == "controller":
            told["data_dir"] = str(self._folder / f"{role}{number}-data")
        else:
            told |= {"app_addr": self._address(where, "app"), "service": f"s{number % self._services}"}
            doors += ["outbound", "ready"]
        lines = [f"{name} = {json.dumps(value)}" for name, value in told.items()]
        lines += ["[limit_set]", f"max_fds = {SOCKETS}", "[fault_budget]", "machine_loss = 2"]
        lines += ["[listen_map]", *(f'{door} = "{self._address(where, door)}"' for door in doors), ""]
        path = self._folder / f"{role}{number}.toml"
        path.write_text("\n".join(lines), encoding="utf-8")
        return path

    def _worker(self, number: int, role: str, where: str) -> Worker:
        return Worker(f"{role}{number}", ["mesh", role], self._write(number, role, where))

    @property
    def workers(self) -> list[Worker]:
        """All processes."""
        return [*self.controllers, *self.real, *self.hosts]

    async def start(self, worker: Worker) -> None:
        """Start a process."""
        environ = {**environment(), "TMPDIR": str(self._folder)}
        if worker.settings is not None:
            environ["HOLLYPORT_NODE_FILE"] = str(worker.settings)
        with open(self._folder / f"{worker.name}.log", "ab") as log:
            worker.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-S", "-E", str(LEASH), str(os.getpid()), str(SOCKETS)),
                *(sys.executable, "-m", *worker.words),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE if worker in self.hosts else log,
                stderr=log,
                env=environ,
                cwd=ROOT,
            )
        if worker in self.hosts:
            self._tasks.append(asyncio.get_running_loop().create_task(self._listen(worker)))

    async def _listen(self, worker: Worker) -> None:
        assert worker.process is not None and worker.process.stdout is not None
        async for line in worker.process.stdout:
            with contextlib.suppress(json.JSONDecodeError):
                worker.told.append(json.loads(line))

    async def stop(self) -> None:
        """End all that was started here."""
        for worker in self.workers:
            if worker.process is not None and worker.process.returncode is None:
                worker.process.kill()
                await worker.process.wait()
        for task in self._tasks:
            task.cancel()

    def memory_mb(self) -> float:
        """Resident, of all processes."""
        return sum(Spent.of(worker.pid).rss_mb for worker in self.workers)

    async def until(self, holds: Callable[[], bool], what: str) -> float:
        """Wait for something; how long that took."""
        began = time.monotonic()
        while not holds():
            if time.monotonic() > began + LIMIT_S:
                raise RuntimeError(f"{what}: not within {LIMIT_S:g} s at {self.size} sidecars")
            if self.memory_mb() > MOST_MEMORY * _memory_mb():
                raise RuntimeError(f"half of the memory is used at {self.size} sidecars")
            await asyncio.sleep(0.05)
        return time.monotonic() - began

    async def ready(self, worker: Worker) -> bool:
        """Whether a controller or a sidecar of its own says so."""
        at = self.controllers.index(worker) if worker in self.controllers else self.real.index(worker)
        where = self._seeds[at] if worker in self.controllers else self._where[at]
        door = "control" if worker in self.controllers else "ready"
        told = await wire.ask(self._address(where, door), "GET", "/-/readiness")
        return told is not None and told.status == 200

    async def patch(self, version: int, routes: int) -> float:
        """Have a configuration taken; when that was acknowledged."""
        body = json.dumps(_change(version, routes, self._services)).encode()
        for at in range(200):
            seed = self._seeds[at % len(self._seeds)]
            told = await wire.ask(self._address(seed, "control"), "PATCH", "/-/config", body)
            if told is not None and told.status == 200:
                return time.monotonic()
            await asyncio.sleep(0.1)
        raise RuntimeError("no configuration was acknowledged")

    async def beat(self, number: int) -> None:
        """What the server beside a sidecar of its own says."""
        told = {
            "service": f"s{number % self._services}", "address": self._address(self._where[number], "app"),
            "zone": "z", "revision": "v1", "slots": 4, "state": "ready", "cold_left": "0ms",
            "call_seq": int(time.monotonic() * 1000),
        }  # fmt: skip
        target = f"/-/instances/i-{number}"
        await wire.ask(
            self._address(self._where[number], "control"), "PUT", target, json.dumps(told).encode()
        )

    def whole(self) -> bool:
        """Whether all that share a process know all others."""
        return all(host.told and host.told[-1]["whole"] == host.sidecars for host in self.hosts)

    def digests(self) -> set[Any]:
        """Of the configuration, where it is in force."""
        return {host.told[-1]["digest"] if host.told else None for host in self.hosts}

    def changed_at(self) -> float:
        """When the last of those that share a process has changed."""
        return float(max(host.told[-1]["at"] for host in self.hosts))


def _change(version: int, routes: int, services: int) -> dict[str, Any]:
    """`routes` of them under a version; the first one has everything."""
    rules = [
        {
            "name": f"r{n}", "variant": "pure", "target": "200ms", "priority": 2, "revision": f"r{version}",
            "matcher": {"path_prefix": f"/route-{n}/"},
            "effect": {"service": f"s{n % services}", "timeout": "500ms", "max_attempts": 2},
        }
        for n in range(routes)
    ]  # fmt: skip
    made: dict[str, Any] = {"listener_list": [{"hostname": "h.example", "rule_set": rules}]}
    if version == 1:
        made["cluster_list"] = [
            {"name": f"s{n}", "health_path": "/health", "max_conns": 110, "revision": "r1"}
            for n in range(services)
        ]
    return {"upserts": made}


def _memory_mb() -> float:
    return os.sysconf("SC_PHYS_PAGES") * PAGE / 2**20


Row = dict[str, float]


def _used(workers: list[Worker], before: dict[str, Spent], seconds: float) -> tuple[float, float, float]:
    """Of each: part of a core, resident MB, bytes a second; the mean over some processes."""
    now = {worker.name: Spent.of(worker.pid) for worker in workers}
    parts = max(1, sum(worker.sidecars or 1 for worker in workers))
    cpu = sum(now[w.name].cpu_s - before[w.name].cpu_s for w in workers) / seconds / parts
    moved = sum(now[w.name].bytes - before[w.name].bytes for w in workers) / seconds / parts
    return cpu, sum(spent.rss_mb for spent in now.values()) / parts, moved


async def _begin(rig: Rig, routes: int) -> Row:
    """Start everything at once; what that takes."""
    began = time.monotonic()
    for worker in rig.workers:
        await rig.start(worker)
    await rig.patch(1, routes)
    first = time.monotonic() - began
    for number, _ in enumerate(rig.real):
        await rig.beat(number)
    await rig.until(lambda: rig.whole() and len(rig.digests()) == 1 and None not in rig.digests(), "start")
    return {"first configuration, s": first, "all know all, s": time.monotonic() - began}


async def _rest(rig: Rig, seconds: float) -> Row:
    """What is spent at rest."""
    before = {worker.name: Spent.of(worker.pid) for worker in rig.workers}
    began = time.monotonic()
    await asyncio.sleep(seconds)
    took = time.monotonic() - began
    found: Row = {}
    for role, workers in (("controller", rig.controllers), ("sidecar", rig.real), ("hollow", rig.hosts)):
        cpu, rss, moved = _used(workers, before, took)
        found |= {f"{role}, core": cpu, f"{role}, MB": rss, f"{role}, TCP bytes a second": moved}
    return found


async def _changes(rig: Rig, routes: int) -> Row:
    """How long a change of one route is under way to the last sidecar."""
    times = []
    for number in range(CHANGES):
        before = rig.digests()
        acknowledged = await rig.patch(2 + number, 1)
        await rig.until(lambda old=before: len(rig.digests()) == 1 and rig.digests() != old, "change")  # type: ignore[misc]
        times.append(max(0.0, rig.changed_at() - acknowledged))
        await asyncio.sleep(0.3)
    return {"in force at the last, s, median": statistics.median(times), "the same, most": max(times)}


async def _restart(rig: Rig) -> Row:
    """One sidecar of its own starts anew: what that costs it, and each other one."""
    one = rig.real[0]
    assert one.process is not None
    one.process.kill()
    await one.process.wait()
    await asyncio.sleep(2.0)
    before = {worker.name: Spent.of(worker.pid) for worker in rig.hosts}
    began = time.monotonic()
    await rig.start(one)
    while not await rig.ready(one):
        if time.monotonic() > began + LIMIT_S:
            raise RuntimeError(f"a sidecar that started anew was not ready within {LIMIT_S:g} s")
        await asyncio.sleep(0.02)
    ready_s = time.monotonic() - began
    await rig.beat(0)
    await asyncio.sleep(5.0)
    spent = Spent.of(one.pid)
    _, _, moved = _used(rig.hosts, before, 1.0)
    return {"restart, s": ready_s, "restart, TCP bytes": spent.bytes, "restart, core seconds": spent.cpu_s,
            "restart, bytes at each other, 7 s with rest": moved}  # fmt: skip


async def measure(size: int, told: argparse.Namespace) -> Row:
    """One size."""
    with tempfile.TemporaryDirectory(prefix="hollow-") as folder:
        rig = Rig(Path(folder), size, told)
        try:
            row: Row = {"sidecars": size, "processes": len(rig.workers)}
            row |= await _begin(rig, told.routes)
            await asyncio.sleep(told.settle)  # what a start leaves
            row |= await _rest(rig, told.seconds)
            row |= await _changes(rig, told.routes)
            row |= await _restart(rig)
            row["all, MB"] = rig.memory_mb()
            return row
        finally:
            await rig.stop()


def slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Least squares: the value at 0, and what each more adds."""
    xs, ys = zip(*points, strict=True)
    if len(set(xs)) < 2:
        return ys[0], 0.0
    line = statistics.linear_regression(xs, ys)
    return line.intercept, line.slope


def _lines(rows: list[Row]) -> Iterator[str]:
    """A table: the values at each size, and the line a + b n through them."""
    names = [name for name in rows[0] if name != "sidecars"]
    yield f"{'sidecars':44}" + "".join(f"{row['sidecars']:>12.0f}" for row in rows) + f"{'a':>12}{'b':>12}"
    for name in names:
        first, more = slope([(row["sidecars"], row[name]) for row in rows])
        values = "".join(f"{row[name]:>12.4g}" for row in rows)
        yield f"{name:44}{values}{first:>12.4g}{more:>12.4g}"


def plot(rows: list[Row], path: Path) -> None:
    """A small plot of each row with its line, as SVG."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    names = [name for name in rows[0] if name != "sidecars"]
    down = -(-len(names) // PLOTS_ACROSS)
    figure, axes = pyplot.subplots(down, PLOTS_ACROSS, figsize=(12, 2.6 * down))
    sizes = [row["sidecars"] for row in rows]
    for axis, name in zip(axes.flat, names, strict=False):
        first, more = slope([(row["sidecars"], row[name]) for row in rows])
        axis.plot(sizes, [row[name] for row in rows], "o")
        axis.plot(sizes, [first + more * size for size in sizes], "-", linewidth=0.8)
        axis.set_title(name, fontsize=8)
        axis.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(path)


def options(words: list[str]) -> argparse.Namespace:
    """The command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale", description=__doc__)
    parser.add_argument("--sidecars", default="30,60,120,240")
    parser.add_argument("--controllers", type=int, default=5)
    parser.add_argument("--services", type=int, default=12)
    parser.add_argument("--routes", type=int, default=310)
    parser.add_argument("--real", type=int, default=2)
    parser.add_argument("--shared", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--settle", type=float, default=10.0)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--json", default="")
    parser.add_argument("--plot", default="")
    return parser.parse_args(words)


async def _run(told: argparse.Namespace) -> list[Row]:
    """All sizes, up to the first that can't be measured."""
    rows: list[Row] = []
    for size in map(int, told.sidecars.split(",")):
        try:
            rows.append(await measure(size, told))
        except (RuntimeError, OSError) as error:
            print(f"{size} sidecars: {error!r}", file=sys.stderr)
            break
        print(f"{size} sidecars: done, {rows[-1]['all, MB']:.0f} MB", file=sys.stderr)
    return rows


async def main(words: list[str]) -> int:
    """Measure, and print a table a run."""
    if words[:1] == ["host"]:
        await host(words[2:], int(words[1]))
        return 0
    told = options(words)
    runs = []
    for number in range(told.runs):
        rows = await _run(told)
        if not rows:
            return 1
        runs.append(rows)
        print(
            f"run {number + 1}: {told.controllers} controllers, {told.routes} routes, {os.cpu_count()} cores"
        )
        print(*_lines(rows), "", sep="\n", flush=True)
    if told.json:
        Path(told.json).write_text(json.dumps(runs, indent=1), encoding="utf-8")
    if told.plot:
        plot(runs[-1], Path(told.plot))
    return 0


if __name__ == "__main__":
    sys.exit(uvloop.run(main(sys.argv[1:])))
