"""How soon the second address answers: on the daemon's loop, and from a thread of its own, in one run.

    python -m benchmarks.console [--seconds 4] [--closed 64] [--bodies 8] [--json FILE]

Each variant plays three loads: idle, small calls in a closed loop that take all the CPU there is, and fewer
of these beside 32 MB answers that clients read as fast as they come. Meanwhile `GET /api/telemetry` is asked
every 20 ms by its due time. The thread runs the same `Console` on a loop of its own and reads the same counts
unlocked.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from benchmarks.cost import settings, targets

ROOT = Path(__file__).parent.parent
EVERY_S = 0.02
BODY = 32 << 20
NODE = """
import asyncio
from benchmarks.console import node
async def serve():
    server = await asyncio.start_server(node, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.sleep(3600)
asyncio.run(serve())
"""
THREAD = """
import asyncio, sys, threading
import hollyport.__main__ as program
from hollyport.console import server
class Threaded(server.Console):
    def __init__(self, loop, handlers):
        super().__init__(asyncio.new_event_loop(), handlers)
    def start(self, at):
        port = super().start(at)
        threading.Thread(target=self._loop.run_forever, daemon=True).start()
        return port
    def close(self):
        self._loop.call_soon_threadsafe(self._loop.stop)
server.Console = Threaded
sys.exit(program.main([]))
"""


async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answers at once; with 32 MB where the id begins with a b."""
    piece = bytes(1 << 20)
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            if b"X-Request-ID: b" in head or b"x-request-id: b" in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY)
                for _ in range(BODY // len(piece)):
                    writer.write(piece)
                    await writer.drain()
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    writer.close()


async def client(port: int, kind: str, until: float, done: list[int]) -> None:
    """Asks again as soon as it is answered."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
    number = 0
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        while time.perf_counter() < until:
            number += 1
            name = f"{kind}{id(writer)}-{number}"
            writer.write(f"GET /free HTTP/1.1\r\nHost: a\r\nX-Request-ID: {name}\r\n\r\n".encode())
            head = await reader.readuntil(b"\r\n\r\n")
            left = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            while left:
                left -= len(await reader.read(min(left, 1 << 20)))
            done[0] += b" 200 " in head[:16]
    writer.close()


async def probe(port: int, due: float) -> float:
    """Milliseconds from when the call was due to its whole answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /api/telemetry HTTP/1.1\r\nHost: c\r\n\r\n")
    assert b" 200 " in (await reader.read())[:16]
    writer.close()
    return (time.perf_counter() - due) * 1e3


async def measure(port: int, at: int, seconds: float, small: int, large: int) -> dict[str, Any]:
    start = time.perf_counter() + 0.3
    until, served, bodies = start + seconds, [0], [0]
    load = [asyncio.create_task(client(port, "s", until, served)) for _ in range(small)]
    load += [asyncio.create_task(client(port, "b", until, bodies)) for _ in range(large)]
    calls = []
    for number in range(int(seconds / EVERY_S)):
        due = start + number * EVERY_S
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
        calls.append(asyncio.create_task(probe(at, due)))
    took = sorted(await asyncio.gather(*calls))
    await asyncio.gather(*load)
    return {
        "served_a_second": round(served[0] / seconds),
        "mb_a_second": round(bodies[0] * 32 / seconds),
        "p50_ms": round(took[len(took) // 2], 1),
        "p99_ms": round(took[int(len(took) * 0.99)], 1),
        "most_ms": round(took[-1], 1),
    }


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def main() -> int:
    """Entry point."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--closed", type=int, default=64)
    parser.add_argument("--bodies", type=int, default=8)
    parser.add_argument("--json", metavar="FILE")
    told = parser.parse_args()
    loads = {"idle": (0, 0), "small calls": (told.closed, 0), "with 32 MB": (told.closed // 4, told.bodies)}
    rows = []
    for variant, command in (("loop", ["-m", "hollyport"]), ("thread", ["-c", THREAD])):
        with contextlib.ExitStack() as stack, tempfile.TemporaryDirectory() as folder:
            nodes = [
                stack.enter_context(
                    subprocess.Popen([sys.executable, "-c", NODE], cwd=ROOT, stdout=subprocess.PIPE)
                )
                for _ in range(4)
            ]
            for process in nodes:
                stack.callback(process.kill)
            ports = [int(process.stdout.readline()) for process in nodes if process.stdout is not None]
            port, at = free_port(), free_port()
            config = {
                "name": "n0",
                "listen": f"127.0.0.1:{port}",
                "discovery": "127.0.0.1:1",
                "seed": "1",
                "console": f"127.0.0.1:{at}",
                "limits": {"sockets": 1024, "memory_mb": 192},
                "known": targets(ports),
                "settings": settings(False),
            }
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(config))
            daemon = stack.enter_context(
                subprocess.Popen(
                    [sys.executable, *command],
                    cwd=ROOT,
                    env={**os.environ, "NODE_CONFIG": str(path)},
                    stderr=subprocess.PIPE,
                )
            )
            stack.callback(daemon.kill)
            assert daemon.stderr is not None and b"listening" in daemon.stderr.readline()
            for load, (small, large) in loads.items():
                figures = asyncio.run(measure(port, at, told.seconds, small, large))
                rows.append({"variant": variant, "load": load, **figures})
                told_off = "  ".join(f"{key} {value}" for key, value in figures.items())
                print(f"{variant:7} {load:12} {told_off}", flush=True)
    if told.json:
        Path(told.json).write_text(json.dumps(rows, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
