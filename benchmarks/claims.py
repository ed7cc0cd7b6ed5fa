"""What a claim of an operation key costs a controller: processor time, bytes and memory, without its disk.

    python -m benchmarks.claims [--claims 20000] [--answer 400] [--runs 3]

The controller's real code, from the bytes of a claim and of the operation's end to the bytes of the answer
and the records for the disk, which are encoded and counted and not synced. One process, no sockets.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from mesh import settings
from mesh.control.controller import Controller
from mesh.state.quorum import Voters
from mesh.storage.record_store import encode_batch
from mesh.transport.connection import PeerConnection, pack
from mesh.transport.messages import ClaimKey, KeyDone

BATCH = 16  # records that share a sync
SETTINGS = """
node_name = "one"
ip = "127.0.0.1"
port_range = [7000, 7001]
data_dir = "unused"
bound_set = ["key_window=60s"]
"""


class Disk:
    """Encodes records as they would lie on a disk, in batches."""

    def __init__(self) -> None:
        self.bytes = 0
        self._batch: list[Any] = []

    def put(self, record: Any, done: Callable[[bool], None] | None = None) -> None:
        """One record."""
        self._batch.append(record)
        if len(self._batch) >= BATCH:
            self.bytes += len(encode_batch(self._batch))
            self._batch.clear()
        if done is not None:
            done(True)


class Wire(asyncio.Transport):
    """Counts what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.bytes = 0

    def write(self, data: Any) -> None:
        self.bytes += len(data)

    def is_closing(self) -> bool:
        return False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default


async def measure(claims: int, answer: int) -> dict[str, float]:
    """One run."""
    controller = Controller(settings.read(SETTINGS).ok)
    disk = Disk()
    controller.context.store = disk  # type: ignore[assignment]
    controller.context.member.mark_caught_up(1)
    controller.context.member.voters = Voters(1, (controller.context.me,))
    wire = Wire()
    link = PeerConnection(controller.hear, lambda link: None, lambda link: None, 1e6)
    link.connection_made(wire)
    body = [200, [[b"content-type", b"application/json"], [b"x-server-seal", b"s" * 28]], b"x" * answer]
    told = []
    for number in range(claims):
        key, token = f"k-{number:012x}", f"auxiliary-dewan-a-1/1900000000000/{number}"
        told.append(pack(ClaimKey(number, key, token, 2.5)) + pack(KeyDone(key, token, body)))
    gc.collect()
    began = time.process_time()
    for number, data in enumerate(told):
        link.data_received(data)
        if number % BATCH == 0:
            await asyncio.sleep(0)
    await asyncio.sleep(0)
    spent = time.process_time() - began
    assert len(controller.grants.registry) == claims
    return {
        "processor, us": 1e6 * spent / claims,
        "bytes in": sum(map(len, told)) / claims,
        "bytes out": wire.bytes / claims,
        "bytes on disk": disk.bytes / claims,
    }


async def memory(claims: int, answer: int) -> float:
    """Bytes that a grant with its answer holds."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    controller = Controller(settings.read(SETTINGS).ok)
    now = controller.context.wall_time()
    for number in range(claims):
        key, token = f"k-{number:012x}", f"auxiliary-dewan-a-1/1900000000000/{number}"
        controller.grants.registry.claim(now, key, token, 2.5)
        kept = [200, [[b"content-type", b"application/json"], [b"x-server-seal", b"s" * 28]], bytes(answer)]
        controller.grants.registry.complete(now, key, token, kept)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return held / claims


def main(words: list[str]) -> int:
    """Print the median of the runs, the least and the most."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.claims", description=__doc__)
    parser.add_argument("--claims", type=int, default=20_000)
    parser.add_argument("--answer", type=int, default=400)
    parser.add_argument("--runs", type=int, default=3)
    told = parser.parse_args(words)
    runs = [asyncio.run(measure(told.claims, told.answer)) for _ in range(told.runs)]
    for name in runs[0]:
        values = sorted(run[name] for run in runs)
        print(f"{name:>16}: {statistics.median(values):10.1f}  ({values[0]:.1f} to {values[-1]:.1f})")
    print(f"{'memory held':>16}: {asyncio.run(memory(told.claims, told.answer)):10.1f}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
