"""What a flood of connections costs known clients, and what it costs the daemon, with the guard and without.

    python -m benchmarks.doors [--attempts 10000] [--addresses 5000] [--rate 300] [--json FILE]

Known clients at 127.0.0.2 ask at an even pace, by due time, over kept connections and some new ones.
Meanwhile `attempts` connections come from `addresses` others in 127/8, 400 at once, as fast as they are
ended, each saying nothing and waiting for its end. The daemon has 256 descriptors. CPU, memory and
descriptors are the daemon's alone. Wants three free cores.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import multiprocessing
import socket
import sys
import tempfile
import time
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

import psutil

from benchmarks import cost

GUARD = "[guards]\nreserve = 0.3\n"
AT_ONCE = 400
SOCKETS = 256
LIMIT_S = 10.0
ASK = b"GET /free?q=1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: %d\r\nX-Timeout: 0.5\r\n\r\n"


async def open_from(source: str, port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """A connection from one of the machine's loopback addresses."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.bind((source, 0))
    try:
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    except OSError:
        sock.close()
        raise
    return await asyncio.open_connection(sock=sock)


def flood(port: int, attempts: int, addresses: int, pipe: Connection) -> None:
    """A process that connects, and counts how long each attempt takes to be ended."""

    async def main() -> None:
        took: list[float] = []
        unheard = 0
        slots = asyncio.Semaphore(AT_ONCE)

        async def attempt(number: int) -> None:
            nonlocal unheard
            n = number % addresses
            async with slots:
                began = time.perf_counter()
                try:
                    source = f"127.{1 + n // 62500}.{n // 250 % 250}.{3 + n % 250}"
                    reader, writer = await open_from(source, port)
                    async with asyncio.timeout(LIMIT_S):
                        await reader.read()
                    writer.close()
                except TimeoutError:
                    unheard += 1
                except OSError:
                    pass  # reset: ended as well
                took.append(time.perf_counter() - began)

        await asyncio.gather(*(attempt(number) for number in range(attempts)))
        took.sort()
        took[:] = took or [0.0]
        parts = {f"p{int(p * 100)}": round(took[int(p * (len(took) - 1))], 3) for p in (0.5, 0.99, 1.0)}
        pipe.send({"attempts": attempts, "unheard": unheard, "ended_s": parts})

    pipe.send("ready")
    asyncio.run(main())


async def known(port: int, rate: float, done: Any) -> dict[str, Any]:
    """Known clients until `done()`: a kept connection each for most calls, a new one for every twentieth."""
    ids = itertools.count(time.time_ns())
    idle: list[tuple[Any, Any]] = []
    took: list[float] = []
    ends = {"served": 0, "refused": 0, "failed": 0}

    async def ask(due: float, fresh: bool) -> None:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await open_from("127.0.0.2", port) if fresh or not idle else idle.pop()
                writer.write(ASK % next(ids))
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
                await reader.readexactly(length)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            ends["failed"] += 1
            return
        if fresh or b"connection: close" in head.lower():
            writer.close()
        else:
            idle.append((reader, writer))
        if head[9:12] == b"200":
            ends["served"] += 1
            took.append(time.perf_counter() - due)
        else:
            ends["refused"] += 1

    tasks: set[asyncio.Task[None]] = set()
    began, number = time.perf_counter(), 0
    while not done(time.perf_counter() - began):
        due = began + number / rate
        if (left := due - time.perf_counter()) > 0:
            await asyncio.sleep(left)
        task = asyncio.ensure_future(ask(due, number % 20 == 0))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        number += 1
    await asyncio.gather(*tasks)
    took.sort()
    for _, writer in idle:
        writer.close()
    asked = sum(ends.values())
    took = took or [0.0]
    aim = cost.AIM_NS / 1e9
    ends["in_aim_part"] = round(sum(t <= aim for t in took) / max(1, asked), 4)  # type: ignore[assignment]
    part = {f"p{p}_ms": round(took[int(p / 100 * (len(took) - 1))] * 1e3, 2) for p in (50, 99)}
    return {**ends, "served_part": round(ends["served"] / max(1, asked), 4), **part}


def play(name: str, attempts: int, addresses: int, rate: float, options: str) -> dict[str, Any]:
    """One play."""
    nodes, (ports, discovery) = cost.start(cost.serve_nodes, 4, True)
    try:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "options.toml"
            path.write_text(options, encoding="utf-8")
            command = [sys.executable, "-m", "hollyport", "--options", str(path)]
            with cost.daemon(discovery, ports, True, Path(folder), command, SOCKETS) as (port, pid):
                process = psutil.Process(pid)
                asyncio.run(known(port, rate, lambda s: s > 1.0))  # known from here on
                held = process.num_fds(), process.memory_info().rss
                before = sum(process.cpu_times()[:2])
                here, there = multiprocessing.get_context("spawn").Pipe()
                flooding = multiprocessing.get_context("spawn").Process(
                    target=flood, args=(port, attempts, addresses, there), daemon=True)  # fmt: skip
                flooding.start()
                here.recv()
                figures = asyncio.run(
                    known(port, rate, lambda s: s > 5.0 if not attempts else here.poll() or s > 120.0)
                )
                cpu = sum(process.cpu_times()[:2]) - before
                told = here.recv() if here.poll(LIMIT_S) else {"attempts": attempts, "unheard": attempts}
                flooding.kill()
                time.sleep(3.0)  # what is being closed is closed
                after = process.num_fds(), process.memory_info().rss
    finally:
        nodes.kill()
    asked = sum(figures[end] for end in ("served", "refused", "failed"))
    return {
        "name": name, **figures, **told, "cpu_s": round(cpu, 2), "asked": asked,
        "descriptors": [held[0], after[0]], "memory_mb": [round(m / 1e6, 1) for m in (held[1], after[1])],
    }  # fmt: skip


def main() -> int:
    """Entry point."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--attempts", type=int, default=10_000)
    parser.add_argument("--addresses", type=int, default=5000)
    parser.add_argument("--rate", type=float, default=300)
    parser.add_argument("--only", default="", help="play only rows whose name holds this")
    parser.add_argument("--json", metavar="FILE")
    told = parser.parse_args()
    rows = []
    for name, attempts, options in (
        ("no flood", 0, ""), ("no flood, guard", 0, GUARD), ("flood", told.attempts, ""),
        ("flood, guard", told.attempts, GUARD),
    ):  # fmt: skip
        if told.only not in name:
            continue
        with contextlib.suppress(KeyboardInterrupt):
            row = play(name, attempts, told.addresses, told.rate, options)
            rows.append(row)
            print(json.dumps(row), flush=True)
    if told.json:
        Path(told.json).write_text(json.dumps(rows, indent=1), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
