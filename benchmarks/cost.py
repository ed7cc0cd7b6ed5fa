"""What a request costs: the daemon beside direct calls and a bare byte relay, in one run.

    python -m benchmarks.cost [--rate 1200] [--seconds 5] [--nodes 8] [--closed 64] [--json FILE]

Three processes: nodes that answer at once, the program between (none, a relay on the same event loop, the
daemon with and without probes), and a caller. Open loop: each call has a due time, and its latency counts
from there (as wrk2's does), so that a program that falls behind cannot hide it. CPU is what the kernel's
accounts say of the program alone. Wants three free cores.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import multiprocessing
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import deque
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

import psutil

READY_S = 20.0
WAIT_S = 2.0  # after the last due time; what has no answer by then is lost
AIM_NS, LIMIT_NS = 50_000_000, 500_000_000
BODY = b'{"rooms": 12, "price": 431.50}'
LOAD = b'{"inflight": 1, "queue": 0}'
ANSWER = b"HTTP/1.1 200 OK\r\nX-Server-Load: %s\r\nContent-Length: %d\r\n\r\n%s" % (LOAD, len(BODY), BODY)
BARE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(BODY), BODY)
REPORT = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(LOAD), LOAD)


# --- the nodes


class Node(asyncio.Protocol):
    """Answers every request at once; heads only, as all calls here are GET."""

    def __init__(self, reports: bool) -> None:
        self._answer = ANSWER if reports else BARE
        self._held = b""

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        *whole, self._held = (self._held + data).split(b"\r\n\r\n")
        answers = [REPORT if head.startswith(b"GET /-/") else self._answer for head in whole]
        if answers:
            self._transport.write(b"".join(answers))


def targets(ports: list[int]) -> dict[str, Any]:
    """The platform's list of these nodes."""
    lines = [
        {"name": f"n{port}", "address": f"127.0.0.1:{port}", "zone": "a", "type": "m", "group": 0,
         "status": "SERVING", "weight": 1.0, "since_ms": 0}
        for port in ports
    ]  # fmt: skip
    return {"index": 1, "snapshot": True, "endpoints": lines}


def serve_nodes(count: int, reports: bool, pipe: Connection) -> None:
    """The nodes' process, and the list's."""
    import uvloop

    async def main() -> None:
        loop = asyncio.get_running_loop()
        ports: list[int] = []
        for _ in range(count):
            server = await loop.create_server(lambda: Node(reports), "127.0.0.1", 0)
            ports.append(server.sockets[0].getsockname()[1])

        async def told(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    if b"wait_ms=" in head and b"wait_ms=0 " not in head:
                        await asyncio.sleep(1.0)
                    body = json.dumps(targets(ports)).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            writer.close()

        listing = await asyncio.start_server(told, "127.0.0.1", 0)
        pipe.send((ports, listing.sockets[0].getsockname()[1]))
        await asyncio.Event().wait()

    uvloop.run(main())


# --- what stands between


class Half(asyncio.Protocol):
    """One side of a relayed connection."""

    def __init__(self, other: Half | None = None) -> None:
        self.other, self.transport = other, None  # type: ignore[var-annotated]
        self.early: list[bytes] = []

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        transport.write(b"".join(self.early))

    def data_received(self, data: bytes) -> None:
        assert self.other is not None
        if self.other.transport is None:
            self.other.early.append(data)
        else:
            self.other.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


def serve_relay(ports: list[int], pipe: Connection) -> None:
    """A relay that knows no protocol: bytes over, bytes back, nodes in turn."""
    import uvloop

    async def main() -> None:
        loop = asyncio.get_running_loop()
        turn = itertools.cycle(ports)

        def front() -> Half:
            made = Half()
            made.other = back = Half(made)
            made_by = loop.create_connection(lambda: back, "127.0.0.1", next(turn))
            tasks.add(loop.create_task(made_by))
            return made

        tasks: set[Any] = set()
        server = await loop.create_server(front, "127.0.0.1", 0)
        pipe.send(server.sockets[0].getsockname()[1])
        await asyncio.Event().wait()

    uvloop.run(main())


def settings(probes: bool) -> dict[str, Any]:
    """One class that may be repeated, and wide limits."""
    return {
        "classes": [{"name": "free", "onTimeNs": AIM_NS, "hardLimitNs": LIMIT_NS, "repeat": "free"}],
        "failureDomains": ["a"], "zone": 0, "kinds": ["m"], "discovery": "subscribe", "weights": "none",
        "reporting": {"how": "probe", "columns": ["inflight", "queue"]} if probes else {"how": "none"},
        "limits": {"maxAttempts": 3, "retryAfter": True, "maxRetryAfterNs": 10**9, "mayProbe": probes,
                   "connectTimeoutNs": 10**8, "connIdleNs": 5 * 10**9, "cancel": True, "streamsPerConn": 1},
        "invariants": {"drainGraceNs": 10**9, "mustAskInNs": 10**10},
    }  # fmt: skip


# --- the caller


class Caller(asyncio.Protocol):
    """One connection: one call at a time."""

    def __init__(self, play: Play) -> None:
        self._play, self._held, self.due = play, b"", -1.0
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self._play.free(self)

    def call(self, due: float) -> None:
        self.due = due
        self.transport.write(
            b"GET /free?q=1 HTTP/1.1\r\nHost: app\r\nX-Request-ID: %d\r\nX-Timeout: 0.5\r\n\r\n"
            % next(self._play.ids)
        )

    def data_received(self, data: bytes) -> None:
        held = self._held = self._held + data
        at = held.find(b"\r\n\r\n")
        if at < 0:
            return
        head = held[:at].lower()
        length = int(head.split(b"content-length:")[1].split(b"\r\n")[0])
        if len(held) < at + 4 + length:
            return
        self._held = b""
        due, self.due = self.due, -1.0
        self._play.answered(head[9:12] == b"200", due)
        if b"connection: close" not in head:
            self._play.free(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._play.lost(self)


class Play:
    """Calls at their due times, or one after another from each connection."""

    def __init__(self, port: int, connections: int, caller: Any = Caller) -> None:
        self._port, self._most, self._caller = port, connections, caller
        self._idle: deque[Caller] = deque()
        self._due: deque[float] = deque()
        self._open = 0
        self._closed_until = 0.0
        self.ids = itertools.count(time.time_ns())
        self.took: list[float] = []
        self.refused = 0
        self.lateness = 0.0

    def free(self, caller: Caller) -> None:
        if self._due:
            caller.call(self._due.popleft())
        elif time.perf_counter() < self._closed_until:
            caller.call(time.perf_counter())
        else:
            self._idle.append(caller)

    def lost(self, caller: Caller) -> None:
        self._open -= 1
        with contextlib.suppress(ValueError):
            self._idle.remove(caller)
        if (self._due or time.perf_counter() < self._closed_until) and self._open < self._most:
            asyncio.get_running_loop().create_task(self._connect())

    def answered(self, good: bool, due: float) -> None:
        if good:
            self.took.append(time.perf_counter() - due)
        else:
            self.refused += 1

    async def _connect(self) -> None:
        self._open += 1
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self._caller(self), "127.0.0.1", self._port)
        except OSError:
            self._open -= 1

    async def open_loop(self, rate: float, seconds: float) -> int:
        """Offer calls at an even pace; return how many."""
        began = time.perf_counter() + 0.1
        count = int(rate * seconds)
        for number in range(count):
            due = began + number / rate
            while (left := due - time.perf_counter()) > 0:
                await asyncio.sleep(left if left > 0.002 else 0)
            self.lateness = max(self.lateness, time.perf_counter() - due)
            if self._idle:
                self._idle.popleft().call(due)
            else:
                self._due.append(due)
                if self._open < self._most:
                    asyncio.get_running_loop().create_task(self._connect())
        until = time.perf_counter() + WAIT_S
        while len(self.took) + self.refused < count and time.perf_counter() < until:
            await asyncio.sleep(0.01)
        return count

    async def closed_loop(self, seconds: float) -> int:
        """Each connection asks again as soon as it has its answer."""
        self._closed_until = time.perf_counter() + seconds
        await asyncio.gather(*(self._connect() for _ in range(self._most)))
        await asyncio.sleep(seconds + 0.2)
        return len(self.took) + self.refused


def measure(
    port: int, pids: list[int], rate: float, seconds: float, closed: int, caller: Any = Caller
) -> dict[str, float | int | None]:
    """One play, and the CPU that the program took meanwhile. Warmed up first, for half a second."""
    import uvloop

    async def main() -> dict[str, float | int | None]:
        warm = Play(port, 64, caller)
        await warm.open_loop(min(rate, 300.0), 0.5)
        play = Play(port, closed or 256, caller)
        processes = [psutil.Process(pid) for pid in pids]
        before = sum(sum(p.cpu_times()[:2]) for p in processes)
        offered = await (play.closed_loop(seconds) if closed else play.open_loop(rate, seconds))
        cpu = sum(sum(p.cpu_times()[:2]) for p in processes) - before
        took = sorted(play.took) or [0.0]

        def part(share: float) -> float:
            return round(took[min(len(took) - 1, int(share * len(took)))] * 1e3, 2)

        return {
            "offered": offered,
            "served": len(play.took),
            "refused": play.refused,
            "p50_ms": part(0.5),
            "p99_ms": part(0.99),
            "cpu_ms": round(cpu / max(1, len(play.took) + play.refused) * 1e3, 3) if pids else None,
            "caller_late_ms": round(play.lateness * 1e3, 2),
        }

    return uvloop.run(main())


@contextlib.contextmanager
def daemon(
    discovery: int, ports: list[int], probes: bool, folder: Path, command: list[str], sockets: int = 1024
) -> Any:
    """The program as the platform starts it; yields its port and process number."""
    with socket.socket() as held:
        held.bind(("127.0.0.1", 0))
        port = held.getsockname()[1]
    config = folder / "node.json"
    config.write_text(
        json.dumps(
            {
                "name": "bench", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery}",
                "seed": "1", "limits": {"sockets": sockets}, "known": targets(ports),
                "settings": settings(probes),
            }
        )
    )  # fmt: skip
    with open(folder / "log", "wb") as log:
        environ = {**os.environ, "NODE_CONFIG": str(config)}
        process = subprocess.Popen(command, env=environ, stdout=log, stderr=log)
    try:
        until = time.monotonic() + READY_S
        while True:
            with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port), 1) as probe:
                probe.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                if b" 200 " in probe.recv(100):
                    break
            if time.monotonic() > until or process.poll() is not None:
                raise RuntimeError(f"the daemon is not ready: {(folder / 'log').read_text()[-500:]}")
            time.sleep(0.05)
        yield port, process.pid
    finally:
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(10)
        except subprocess.TimeoutExpired:
            process.kill()


def start(role: Any, *told: Any) -> tuple[Any, Any]:
    """A process of this program, and the first thing that it says."""
    context = multiprocessing.get_context("spawn")
    here, there = context.Pipe()
    process = context.Process(target=role, args=(*told, there), daemon=True)
    process.start()
    there.close()
    if not here.poll(READY_S):
        raise RuntimeError("a process of the rig does not start")
    return process, here.recv()


def main() -> int:
    """Entry point."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rate", type=float, default=1200, help="calls a second, open loop")
    parser.add_argument("--seconds", type=float, default=5)
    parser.add_argument("--nodes", type=int, default=8)
    parser.add_argument("--closed", type=int, default=64, help="connections of the closed loop; 0 for none")
    parser.add_argument("--daemon", default="", help="command that starts the daemon, in place of this one's")
    parser.add_argument("--only", default="", help="play only rows whose name holds this")
    parser.add_argument("--json", metavar="FILE", help="also write the figures there")
    told = parser.parse_args()
    command = told.daemon.split() or [sys.executable, "-m", "hollyport"]
    rows: list[dict[str, Any]] = []
    print("| | offered | served | refused | p50 ms | p99 ms | CPU ms a request | caller late ms |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")

    def wanted(name: str) -> bool:
        return told.only in name

    def row(name: str, port: int, pids: list[int], closed: int) -> None:
        figures = measure(port, pids, told.rate, told.seconds, closed)
        rows.append({"name": name, **figures})
        print(
            f"| {name} | " + " | ".join("-" if v is None else f"{v:,}" for v in figures.values()) + " |",
            flush=True,
        )

    with tempfile.TemporaryDirectory() as folder:
        for probes in (False, True):
            nodes, (ports, discovery) = start(serve_nodes, told.nodes, probes)
            try:
                loops = [(0, f"{told.rate:g} a second")] + (
                    [(told.closed, f"{told.closed} in a closed loop")] * bool(told.closed)
                )
                for closed, how in loops:
                    if not probes and wanted(f"direct, {how}"):
                        row(f"direct, {how}", ports[0], [], closed)
                    if not probes and wanted(f"relay, {how}"):
                        relay, port = start(serve_relay, ports)
                        row(f"relay, {how}", port, [relay.pid], closed)
                        relay.kill()
                    name = f"daemon, probes {'on' if probes else 'off'}, {how}"
                    if wanted(name):
                        with daemon(discovery, ports, probes, Path(folder), command) as (port, pid):
                            row(name, port, [pid], closed)
            finally:
                nodes.kill()
    if told.json:
        Path(told.json).write_text(json.dumps(rows, indent=1), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
