"""The memory of a real daemon while 50 answers of 32 MB wait for clients that hardly read."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path

import psutil
from backend import line, listing, play, settings
from flow.raw import Node, get, head_of

ROOT = Path(__file__).parent.parent.parent
BODIES, SIZE, LIMIT_MB = 50, 32 << 20, 80


async def begun(port: int, number: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """A client whose answer has begun; one that is refused, as all ask one node, asks again."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=2**12)
    for again in range(1000):
        writer.write(get(f"r{number}-{again}"))
        first, headers = await head_of(reader)
        if first.split()[1] == "200":
            return reader, writer
        await reader.readexactly(int(headers["content-length"]))
        await asyncio.sleep(float(headers.get("retry-after", 0.05)))
    raise AssertionError("refused a thousand times")


def test_fifty_answers_of_32_mb_with_slow_readers_stay_far_below_the_limit(tmp_path):
    """Held whole they would be 1,600 MB; each may hold 320 KB, beside some 20 MB of the daemon's own."""

    async def script(node, reader, writer):
        await node.read(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % SIZE)
        piece = bytes(1 << 20)
        for _ in range(SIZE // len(piece)):
            writer.write(piece)
            await writer.drain()

    async def scene():
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        async with Node(script) as node:
            raw = {
                "name": "n0",
                "listen": f"127.0.0.1:{port}",
                "discovery": "127.0.0.1:1",
                "seed": "ff",
                "limits": {"sockets": 1024, "memory_mb": LIMIT_MB},
                "known": listing(line("s1", node.port)),
                "settings": settings(),
            }
            path = tmp_path / "config.json"
            path.write_text(json.dumps(raw))
            daemon = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "hollyport",
                cwd=ROOT,
                env={**os.environ, "NODE_CONFIG": str(path)},
                stderr=asyncio.subprocess.PIPE,
            )
            assert b"listening" in await daemon.stderr.readline()
            process, most, held = psutil.Process(daemon.pid), 0, []
            try:
                for number in range(BODIES):
                    held.append(await begun(port, number))
                for _ in range(10):
                    for reader, _writer in held:
                        await reader.readexactly(4096)
                    most = max(most, process.memory_info().rss)
            finally:
                for _, writer in held:
                    writer.transport.abort()
                daemon.send_signal(signal.SIGTERM)
                assert await daemon.wait() == 0
            assert most < LIMIT_MB << 20, f"{most >> 20} MB"

    play(scene)
