"""Processor time that a sidecar's HTTP server takes for a request, from its bytes to those of its answer.

    python -m benchmarks.mesh_requests [--runs N]

No sockets and no servers: a transport that takes everything, and a handler that answers at once.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import time
from collections.abc import Callable
from typing import Any

from hollyport.guests.listener import Listener
from hollyport.http.message import Message
from mesh.transport.client_memory import ClientMemory
from mesh.transport.http_connection import HttpConnection
from mesh.transport.http_server import HttpServer
from mesh.transport.memory_account import MB

FIELDS = "".join(f"X-Field-{number}: {number * 1111}\r\n" for number in range(8))
BODY_SIZES = {"no body": 0, "2 KB": 2_000, "300 KB": 300_000}
REQUESTS = {"no body": 20_000, "2 KB": 20_000, "300 KB": 300}
READ_BYTES = 64 * 1024
CAPACITY = 100 * MB
ANSWER = b"a" * 500


class Transport:
    """Takes everything at once."""

    def write(self, data: bytes) -> None:
        """Takes data."""

    def is_closing(self) -> bool:
        """Returns False."""
        return False

    def get_write_buffer_size(self) -> int:
        """Returns 0."""
        return 0

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *args, **named: None


def _serve(message: Message) -> None:
    message.answer(200, ANSWER)


def _measure(loop: asyncio.AbstractEventLoop, body_size: int, count: int) -> float:
    """Returns the microseconds of processor time that one request takes."""
    server = HttpServer(_serve, lambda message: None, memory=ClientMemory(loop, CAPACITY))
    server.listener = Listener(lambda listener: HttpConnection(listener, loop, server), 10, 10)
    server.listener._loop = loop
    connection = HttpConnection(server.listener, loop, server)
    transport: Any = Transport()
    connection.connection_made(transport)
    method = "POST" if body_size else "GET"
    head = f"{method} /a/b HTTP/1.1\r\nHost: a.example\r\n{FIELDS}Content-Length: {body_size}\r\n\r\n"
    raw = head.encode() + b"b" * body_size
    reads = [raw[at : at + READ_BYTES] for at in range(0, len(raw), READ_BYTES)]
    began = time.process_time()
    for _ in range(count):
        for read in reads:
            connection.data_received(read)
    return (time.process_time() - began) / count * 1e6


async def _run(runs: int) -> None:
    loop = asyncio.get_running_loop()
    for name, size in BODY_SIZES.items():
        figures = [_measure(loop, size, REQUESTS[name]) for _ in range(runs)]
        median = statistics.median(figures)
        print(f"{name:>8}: {median:8.2f} us a request ({min(figures):.2f} to {max(figures):.2f})")


def main() -> None:
    """Runs the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=5)
    asyncio.run(_run(parser.parse_args().runs))


if __name__ == "__main__":
    main()
