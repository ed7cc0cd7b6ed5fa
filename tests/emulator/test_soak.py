"""45 minutes of service on fake time: ever new servers and calls, and no table that grows with them."""

import itertools
from collections.abc import Sized
from dataclasses import replace
from functools import partial

import pytest

from dunefield import Balancer
from emulator.day import MS, Day
from emulator.fleet import Fleet
from emulator.node import Shape
from emulator.worth import SECOND

MINUTES = 45
DAY = Day(
    sidecars=2,
    servers=6,
    seconds=MINUTES * 60.0,
    burst=(0.0, 0.0, 1.0),
    load=0.5,
    work_ns=250 * MS,
    aim_ns=1_080 * MS,
    deadline_ns=2_640 * MS,
    shape=Shape(queue=8, cold_from=0.4, cold_ns=4 * SECOND),
)


KEPT = {
    f"dunefield.{name}"
    for name in (
        "balancer",
        "retries",
        "probed_selection",
        "admission_queue",
        "server_selection",
        "attempt_rules",
        "server_health",
        "latency_model",
        "idle_connections",
        "server_subset",
        "shared_state",
        "request_rates",
        "overload",
        "client_timeouts",
        "state",
    )
}


def sizes(thing, path="", seen=None):
    """Length of every table that an object holds, by where it stands."""
    seen = set() if seen is None else seen
    kept = {base.__module__ for base in type(thing).__mro__} & KEPT
    if id(thing) in seen or not kept:
        return {}
    seen.add(id(thing))
    names = getattr(thing, "__dict__", None) or {n: None for n in type(thing).__slots__}
    found = {}
    for name in names:
        value = getattr(thing, name)
        if isinstance(value, Sized) and not isinstance(value, str):
            found[f"{path}{name}"] = len(value)
            inner = value.values() if isinstance(value, dict) else value
            for one in itertools.islice(inner, 40):
                for key, size in sizes(one, f"{path}{name}.", seen).items():
                    found[key] = max(found.get(key, 0), size)
        else:
            found.update(sizes(value, f"{path}{name}.", seen))
    return found


def soak(module):
    """The largest size of each table, minute by minute, over both sidecars."""
    fleet, minutes = Fleet(DAY, 5, module), []
    fleet.plan()

    def swap(turn):
        old = next(iter(fleet.machines.values()))
        fleet.news(fleet.start_server().entry(), old.entry()._replace(lifecycle="draining"))

        def gone():
            old.node.die()
            fleet.news(old.entry()._replace(lifecycle="removed"))
            fleet.clock.after(3 * SECOND, lambda: fleet.machines.pop(old.name))

        fleet.clock.after(3 * SECOND, gone)

    for turn in range(int(DAY.seconds) // 10 - 1):
        fleet.clock.after((turn * 10 + 5) * SECOND, partial(swap, turn))
    for _ in range(MINUTES):
        fleet.run(60.0)
        now = {}
        for sidecar in fleet.sidecars:
            for key, size in sizes(sidecar).items():
                now[key] = max(now.get(key, 0), size)
        minutes.append(now)
    return fleet, minutes


def grown(minutes):
    """Tables that held more in the last third than half as much again as in the first, and a few."""
    third = len(minutes) // 3
    first, last = (
        {k: max(m.get(k, 0) for m in part) for k in {k for m in part for k in m}}
        for part in (minutes[:third], minutes[-third:])
    )
    return sorted(k for k in last if last[k] > 1.5 * first.get(k, 0) + 8)


@pytest.fixture(scope="module")
def sound():
    return soak(Balancer)


def test_no_table_grows_in_long_service(sound):
    _, minutes = sound
    assert len(minutes[0]) > 15 and "state.servers" in minutes[0]
    assert max(m["state.servers"] for m in minutes) < 3 * DAY.servers  # of 275 that there were
    assert not grown(minutes)


def test_service_is_the_same_in_each_third(sound):
    fleet, _ = sound
    span = int(DAY.seconds * SECOND) // 3
    shares = []
    for third in range(3):
        ends = [r.end == "served" for r in fleet.asked if third * span <= r.at < (third + 1) * span]
        shares.append(sum(ends) / len(ends))
    assert min(shares) > 0.85 and max(shares) - min(shares) < 0.05


class Hoarder(Balancer):
    """Forgets no server."""

    def __init__(self, settings, seed, now):
        super().__init__(settings, seed, now)
        self.plain, self.server_subset.rebuild = self.server_subset.rebuild, self.relist

    def relist(self):
        kept = dict(self.state.servers)
        self.plain()
        self.state.servers = {**kept, **self.state.servers}


class Debtor(Balancer):
    """Never lets go of a call that has ended."""

    def __init__(self, settings, seed, now):
        super().__init__(settings, seed, now)
        self.owed, self.plain, self.state.drop = {}, self.state.drop, self.drop

    def drop(self, request_id):
        self.owed[request_id] = self.state.calls.get(request_id)
        self.plain(request_id)


@pytest.mark.parametrize("module, table", [(Hoarder, "state.servers"), (Debtor, "owed")])
def test_what_grows_is_found(module, table, monkeypatch):
    monkeypatch.setitem(globals(), "MINUTES", 6)
    monkeypatch.setitem(globals(), "DAY", replace(DAY, seconds=360.0))
    assert table in grown(soak(module)[1])
