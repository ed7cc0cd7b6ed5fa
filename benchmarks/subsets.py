"""What picking among a subset of a service's servers costs, against picking among all of them.

    python -m benchmarks.subsets [--servers 60] [--scenarios even,few,...] [--load 0.7,0.85] [--calls 60000]
        [--runs 3]

Calls come at random times from callers in three zones; each server works on so many calls at a time as it has
slots and queues the rest, for times drawn from an exponential distribution of mean 1, and is somewhat faster
or slower than others. Each caller keeps the subset that `mesh.proxy.subset` chooses for it
and sends each call to the less loaded of two drawn from it by the mesh's own draw, by the servers' true load.
Scenarios:

    even      200 callers alike
    few       5 callers
    large     200 callers, one of which makes three calls in ten
    slots     200 callers; servers with 2 and with 8 slots
    crowded   200 callers, six in ten of them in one zone; servers are spread evenly
    lost      200 callers; the servers of one zone are gone, their callers are not; load is by what is left

Printed for the subset and for all servers: the 50th, 99th and 99.9th percentile of the time to an answer in
mean times of work, and how much the busiest server works against the mean of all. Medians over the runs. A
model in events: links, answers that are late and what is told of load in between are left out.
"""

from __future__ import annotations

import argparse
import heapq
import random
import statistics
import sys
from collections import deque
from typing import NamedTuple

from mesh.proxy.endpoints import Endpoint, sample_candidates
from mesh.proxy.subset import Subset

ZONES = ("a", "b", "c")
SPEEDS = (0.8, 1.0, 1.0, 1.25)  # how much longer a server takes than the mean
WARM = 0.2  # part of the calls that are not counted
QUANTILES = (0.5, 0.99, 0.999)


class Scenario(NamedTuple):
    """Who calls, and whom."""

    callers: int = 200
    of_first: float = 0.0  # part of all calls that the first caller makes besides its share
    crowded: float = 1 / 3  # part of the callers that is in the first zone
    slots: tuple[int, ...] = (5,)
    lost_zone: str = ""


SCENARIOS = {
    "even": Scenario(),
    "few": Scenario(callers=5),
    "large": Scenario(of_first=0.3),
    "slots": Scenario(slots=(2, 8)),
    "crowded": Scenario(crowded=0.6),
    "lost": Scenario(lost_zone="c"),
}


class Server:
    """One server and what waits for it."""

    def __init__(self, number: int, scenario: Scenario) -> None:
        self.endpoint = Endpoint(f"s{number}", "service")
        self.endpoint.zone, self.endpoint.instance = ZONES[number % len(ZONES)], f"i{number}"
        self.speed = SPEEDS[number // len(ZONES) % len(SPEEDS)]
        self.slots = scenario.slots[number // len(ZONES) % len(scenario.slots)]
        self.there = self.endpoint.zone != scenario.lost_zone
        self.busy, self.worked = 0, 0.0
        self.waiting: deque[float] = deque()  # when each call came

    @property
    def load(self) -> float:
        """Calls at work and waiting, by slot."""
        return (self.busy + len(self.waiting)) / self.slots


class Play:
    """One play of a scenario."""

    def __init__(self, scenario: Scenario, servers: int, whole: bool, seed: int) -> None:
        self._scenario, self._random = scenario, random.Random(seed)
        made = [Server(number, scenario) for number in range(servers)]
        self._servers = {server.endpoint.node: server for server in made}
        self._known = [self._known_to(caller, whole) for caller in range(scenario.callers)]
        self._ends: list[tuple[float, int, Server, float]] = []
        self._begun = 0

    def _known_to(self, caller: int, whole: bool) -> list[Endpoint]:
        """The servers that a caller picks from."""
        first = caller < self._scenario.crowded * self._scenario.callers
        zone = ZONES[0] if first else ZONES[1 + caller % 2]
        there = [server.endpoint for server in self._servers.values() if server.there]
        if whole:
            return there
        subset = Subset(f"caller {caller}", zone, 0.0)
        for server in self._servers.values():
            subset.add(server.endpoint)
        subset.choose(0.0, lambda endpoint: endpoint in there)
        return [endpoint for endpoint in subset.chosen if endpoint in there]

    def _caller(self) -> int:
        drawn = self._random.random()
        return 0 if drawn < self._scenario.of_first else self._random.randrange(len(self._known))

    def _pick(self) -> Server:
        known = self._known[self._caller()]
        drawn = sample_candidates(0.0, known, (), self._random.random, lambda endpoint: True)
        servers = [self._servers[endpoint.node] for endpoint in drawn]
        return min(servers, key=lambda server: (server.load, self._random.random()))

    def _begin(self, now: float, server: Server, came: float) -> None:
        self._begun += 1
        server.busy += 1
        work = self._random.expovariate(1 / server.speed)
        server.worked += work
        heapq.heappush(self._ends, (now + work, self._begun, server, came))

    def run(self, load: float, calls: int) -> tuple[list[float], float]:
        """Times to an answer in order of their ends, and the work of the busiest server by slot against the
        mean."""
        there = [server for server in self._servers.values() if server.there]
        rate = load * sum(server.slots / server.speed for server in there)
        found: list[float] = []
        now = 0.0
        for _ in range(calls):
            now += self._random.expovariate(rate)
            self._end_until(now, found)
            server = self._pick()
            if server.busy < server.slots:
                self._begin(now, server, now)
            else:
                server.waiting.append(now)
        worked = [server.worked / server.slots for server in there]
        return found[int(WARM * len(found)) :], max(worked) / statistics.fmean(worked)

    def _end_until(self, now: float, found: list[float]) -> None:
        while self._ends and self._ends[0][0] <= now:
            end, _, server, came = heapq.heappop(self._ends)
            found.append(end - came)
            server.busy -= 1
            if server.waiting:
                self._begin(end, server, server.waiting.popleft())


def row(scenario: Scenario, servers: int, whole: bool, load: float, calls: int, runs: int) -> list[float]:
    """The quantiles and the busiest server's part, medians over the runs."""
    rows = []
    for seed in range(runs):
        times, busiest = Play(scenario, servers, whole, seed).run(load, calls)
        ordered = sorted(times)
        rows.append([ordered[int(part * len(ordered))] for part in QUANTILES] + [busiest])
    return [statistics.median(values) for values in zip(*rows, strict=True)]


def main(words: list[str]) -> int:
    """Print a row for each scenario, load and choice of servers."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.subsets", description=__doc__)
    parser.add_argument("--servers", type=int, default=60)
    parser.add_argument("--scenarios", default=",".join(SCENARIOS))
    parser.add_argument("--load", default="0.7,0.85")
    parser.add_argument("--calls", type=int, default=60_000)
    parser.add_argument("--runs", type=int, default=3)
    told = parser.parse_args(words)
    names = "".join(f"{100 * part:>8g}%" for part in QUANTILES)
    print(f"{'scenario':>10}{'load':>6}{'servers':>9}{names}{'busiest':>9}")
    for name in told.scenarios.split(","):
        for load in map(float, told.load.split(",")):
            for whole in (False, True):
                found = row(SCENARIOS[name], told.servers, whole, load, told.calls, told.runs)
                values = "".join(f"{value:>9.2f}" for value in found)
                print(f"{name:>10}{load:>6.2f}{'all' if whole else 'subset':>9}{values}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
