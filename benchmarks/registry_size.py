"""How long a registry's answer holds up the loop at a stretch, and how much memory it takes, by its size.

    python -m benchmarks.registry_size [--instances 2000,20000] [--fetches 8] [--json FILE]

A stand-in in a process of its own hands out the whole list with every fetch, and changes part of it each
time; the daemon's own reading, merging and telling run on the loop here. A ticker measures the longest time
the loop was not its own. Each size is measured as it is, and with the garbage collector left to itself.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import gc
import gzip
import json
import multiprocessing
import resource
import sys
import time
from multiprocessing.connection import Connection
from types import SimpleNamespace
from typing import Any

SETTLED_S = 120.0


def document(count: int, turn: int) -> bytes:
    """A whole answer; a twentieth of it differs by turn."""
    rows = [
        {
            "instanceId": f"i{n:06d}",
            "app": "NODE",
            "hostName": f"host-{n}.example.org",
            "ipAddr": f"10.{n >> 16}.{(n >> 8) & 255}.{n & 255}",
            "status": "UP",
            "overriddenstatus": "UNKNOWN",
            "port": {"$": 8080, "@enabled": "true"},
            "securePort": {"$": 443, "@enabled": "false"},
            "vipAddress": "node",
            "secureVipAddress": "",
            "metadata": {"zone": "a", "turn": str(turn) if n % 20 == turn % 20 else ""},
            "leaseInfo": {"durationInSecs": 90, "serviceUpTimestamp": 1_700_000_000_000},
            "dataCenterInfo": {"@class": "com.netflix.appinfo.MyDataCenterInfo", "name": "MyOwn"},
            "isCoordinatingDiscoveryServer": "false",
            "lastUpdatedTimestamp": "1700000000000",
            "lastDirtyTimestamp": "1700000000000",
            "actionType": "ADDED",
            "homePageUrl": f"http://host-{n}.example.org:8080/",
        }
        for n in range(count)
    ]
    inner = {"apps__hashcode": f"UP_{count}_", "application": {"name": "NODE", "instance": rows}}
    return json.dumps({"applications": inner}).encode()


def serve(count: int, pipe: Connection) -> None:
    """The registry's process: one answer after another, each packed beforehand."""
    packed = [gzip.compress(document(count, turn), 1) for turn in range(4)]

    async def main() -> None:
        asked = 0

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal asked
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                body = packed[asked % len(packed)]
                asked += 1
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n" % len(body)
                )
                writer.write(body)
                await writer.drain()
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        pipe.send(server.sockets[0].getsockname()[1])
        await server.serve_forever()

    asyncio.run(main())


def measure(count: int, fetches: int, walked: bool, pipe: Connection) -> None:
    """One process: read the registry some times, and send what was seen."""
    import uvloop

    from hollyport.registries import heap
    from hollyport.registries.eureka.source import EurekaSource
    from hollyport.registries.feed import EUREKA
    from hollyport.registries.merge import Merger, Rules
    from hollyport.registries.options import read

    if walked:
        heap.Heap.building = lambda self: contextlib.nullcontext()  # type: ignore[assignment,method-assign]
        heap.Heap.built = lambda self, count: False  # type: ignore[method-assign]
    port = pipe.recv()

    async def main() -> dict[str, Any]:
        table = {"addresses": [f"http://127.0.0.1:{port}/eureka"], "apps": ["node"], "deltas": False,
                 "interval_s": 0.05, "timeout_s": 60}  # fmt: skip
        options = read({"sources": ["eureka"], "eureka": table}).eureka
        assert options is not None
        merger = Merger(Rules((EUREKA,), most=400, doubted=frozenset({EUREKA})), "d0")
        told = 0
        settings: Any = SimpleNamespace(zone=0, zones=("a",), kinds=("k",))

        async def whole(records: list[Any], by: int) -> None:
            nonlocal told
            until = time.monotonic() + 0.003
            for lines in merger.taking_whole(EUREKA, records, time.time_ns(), by):
                told += len(lines)
                if time.monotonic() >= until:
                    await asyncio.sleep(0)
                    until = time.monotonic() + 0.003

        source = EurekaSource(options, settings, lambda: 0.5, whole, lambda changes: None, lambda: False)
        following = asyncio.ensure_future(source.follow())
        stretches: list[float] = []
        until = time.monotonic() + SETTLED_S
        while source.wholes < fetches and time.monotonic() < until:
            began = time.perf_counter()
            await asyncio.sleep(0)
            stretches.append((time.perf_counter() - began) * 1e3)
        following.cancel()
        stretches.sort()
        return {
            "fetches": source.wholes,
            "told": told,
            "longest_ms": round(stretches[-1], 1),
            "over_10_ms": sum(1 for x in stretches if x > 10),
            "full_collections": gc.get_stats()[2]["collections"],
            "rss_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024),
        }

    gc.collect()
    gc.freeze()
    pipe.send(uvloop.run(main()))


def run(count: int, fetches: int, walked: bool) -> dict[str, Any]:
    """Two processes, one pipe between them and one to here."""
    context = multiprocessing.get_context("spawn")
    port_here, port_there = context.Pipe()
    here, there = context.Pipe()
    registry = context.Process(target=serve, args=(count, port_there), daemon=True)
    registry.start()
    reader = context.Process(target=measure, args=(count, fetches, walked, there), daemon=True)
    reader.start()
    there.close()
    port_there.close()  # so that the end of either process ends the wait, too
    try:
        here.send(port_here.recv())
        if not here.poll(2 * SETTLED_S):
            raise TimeoutError("the reading process has not ended in time")
        result: dict[str, Any] = here.recv()
    finally:
        registry.terminate()
        reader.join(10)
        reader.kill()
    return result


def main() -> int:
    """Entry point."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--instances", default="2000,20000", help="sizes, with commas")
    parser.add_argument("--fetches", type=int, default=8, help="whole answers that are read")
    parser.add_argument("--json", metavar="FILE", help="also write the figures there")
    told = parser.parse_args()
    rows = []
    print("| instances | collector | longest ms | over 10 ms | full collections | memory MB |")
    print("| --- | --- | --- | --- | --- | --- |")
    for count in map(int, told.instances.split(",")):
        for walked in (False, True):
            row = {"instances": count, "walked": walked, **run(count, told.fetches, walked)}
            rows.append(row)
            name = "left to itself" if walked else "kept off"
            print(
                f"| {count:,} | {name} | {row['longest_ms']} | {row['over_10_ms']} "
                f"| {row['full_collections']} | {row['rss_mb']} |",
                flush=True,
            )
    if told.json:
        with open(told.json, "w", encoding="utf-8") as file:
            json.dump(rows, file, indent=1)
    return 0


if __name__ == "__main__":
    sys.exit(main())
