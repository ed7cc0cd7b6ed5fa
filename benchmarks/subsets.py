"""What picking among a subset of a service's servers costs, against picking among all of them.

    python -m benchmarks.subsets [--servers 8,60] [--subsets 3,4,8,16,60] [--callers 200] [--load 0.7,0.85]
        [--calls 120000] [--runs 3]

Calls come at random times from many callers; each server works on `SLOTS` at a time and queues the rest, for
times drawn from an exponential distribution of mean 1, and is somewhat faster or slower than others. A caller
knows a fixed subset of the servers, drawn when it starts, and sends each call to the less loaded of two drawn
from it, by the servers' true load. Printed: the 50th, 99th and 99.9th percentile of the time to an answer, in
mean times of work, the median over the runs. A model in events, not the mesh's own code.
"""

from __future__ import annotations

import argparse
import heapq
import random
import statistics
import sys
from collections import deque

SLOTS = 5
SPEEDS = (0.8, 1.0, 1.0, 1.25)  # how much longer a server takes than the mean
WARM = 0.2  # part of the calls that are not counted
QUANTILES = (0.5, 0.99, 0.999)


class Server:
    """One server and what waits for it."""

    __slots__ = ("busy", "speed", "waiting")

    def __init__(self, speed: float) -> None:
        self.busy, self.speed = 0, speed
        self.waiting: deque[float] = deque()  # when each call came

    @property
    def load(self) -> int:
        """Calls at work and waiting."""
        return self.busy + len(self.waiting)


def play(
    servers: int, subset: int, callers: int, load: float, calls: int, draw: random.Random
) -> list[float]:
    """Times to an answer, in order of their ends."""
    pool = [Server(SPEEDS[n % len(SPEEDS)]) for n in range(servers)]
    known = [draw.sample(pool, min(subset, servers)) for _ in range(callers)]
    rate = load * SLOTS * sum(1 / server.speed for server in pool)
    ends: list[tuple[float, int, Server, float]] = []
    found: list[float] = []
    now, number = 0.0, 0

    def begin(server: Server, came: float) -> None:
        nonlocal number
        number += 1
        server.busy += 1
        heapq.heappush(ends, (now + draw.expovariate(1 / server.speed), number, server, came))

    for _ in range(calls):
        now += draw.expovariate(rate)
        while ends and ends[0][0] <= now:
            end, _, server, came = heapq.heappop(ends)
            found.append(end - came)
            server.busy -= 1
            if server.waiting:
                then, now = now, end
                begin(server, server.waiting.popleft())
                now = then
        mine = draw.choice(known)
        one, other = draw.sample(mine, 2) if len(mine) > 1 else (mine[0], mine[0])
        server = min((one, other), key=lambda server: (server.load, draw.random()))
        if server.busy < SLOTS:
            begin(server, now)
        else:
            server.waiting.append(now)
    return found[int(WARM * len(found)) :]


def quantiles(times: list[float]) -> list[float]:
    """Those of `QUANTILES`."""
    ordered = sorted(times)
    return [ordered[min(len(ordered) - 1, int(part * len(ordered)))] for part in QUANTILES]


def main(words: list[str]) -> int:
    """Print a row for each number of servers, load and subset."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.subsets", description=__doc__)
    parser.add_argument("--servers", default="8,60")
    parser.add_argument("--subsets", default="3,4,8,16,60")
    parser.add_argument("--callers", type=int, default=200)
    parser.add_argument("--load", default="0.7,0.85")
    parser.add_argument("--calls", type=int, default=120_000)
    parser.add_argument("--runs", type=int, default=3)
    told = parser.parse_args(words)
    print(f"{'servers':>8}{'load':>6}{'subset':>8}" + "".join(f"{100 * part:>8g}%" for part in QUANTILES))
    for servers in map(int, told.servers.split(",")):
        for load in map(float, told.load.split(",")):
            for subset in sorted({min(servers, int(one)) for one in told.subsets.split(",")}):
                runs = [
                    quantiles(play(servers, subset, told.callers, load, told.calls, random.Random(seed)))
                    for seed in range(told.runs)
                ]
                row = [statistics.median(run[at] for run in runs) for at in range(len(QUANTILES))]
                values = "".join(f"{value:>9.2f}" for value in row)
                print(f"{servers:>8}{load:>6.2f}{subset:>8}{values}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
