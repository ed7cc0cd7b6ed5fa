"""Which servers a sidecar keeps connections to: by itself, over changes, and as requests meet it."""

from __future__ import annotations

import random
from collections import Counter
from functools import partial

import pytest
from msgspec.structs import replace
from test_mesh_sidecar import FakeConnection
from test_mesh_sidecar import with_sidecar as with_sidecar_of_version

from mesh.proxy import directory as directory_module
from mesh.proxy import subset as subset_module
from mesh.proxy.endpoints import Endpoint
from mesh.proxy.subset import (
    IDLE_S,
    IDLE_SIZE,
    MOST_EXTRA,
    OTHER_ZONES,
    REACH_S,
    SIZE,
    WIDEN_PAUSE_S,
    WIDER_S,
    WIDEST,
    Subset,
)
from mesh.transport.messages import LoadQuery, SidecarRecord, kind_of

ZONES = ("east", "west", "south")
with_sidecar = partial(with_sidecar_of_version, version=2)


def server(number, zone=None):
    endpoint = Endpoint(f"s{number}", "meals")
    endpoint.zone, endpoint.instance = zone or ZONES[number % 3], f"i-{number}"
    return endpoint


def subset_of(servers, sidecar="n1", zone="east", now=0.0):
    made = Subset(sidecar, zone, now)
    for endpoint in servers:
        made.add(endpoint)
    made.choose(now, lambda endpoint: True)
    return made


def names(subset):
    return {endpoint.node for endpoint in subset.chosen}


def test_a_small_service_is_kept_whole_also_what_does_not_serve_yet():
    servers = [server(number) for number in range(SIZE)]
    servers[0].instance, servers[1].draining = "", True
    assert names(subset_of(servers)) == {f"s{number}" for number in range(SIZE)}


def test_of_a_large_one_the_own_zone_comes_first_and_some_are_elsewhere():
    chosen = subset_of([server(number) for number in range(90)]).chosen
    assert len(chosen) == SIZE and sum(one.zone != "east" for one in chosen) == OTHER_ZONES


@pytest.mark.parametrize(("near", "far", "there"), [(0, 40, 0), (3, 40, 3), (40, 0, SIZE), (40, 2, SIZE - 2)])
def test_where_one_side_is_short_the_other_fills_up(near, far, there):
    servers = [server(number, "east") for number in range(near)]
    servers += [server(near + number, "west") for number in range(far)]
    chosen = subset_of(servers).chosen
    assert len(chosen) == SIZE and sum(one.zone == "east" for one in chosen) == there


def test_those_that_do_not_serve_are_left_out_of_a_large_one():
    servers = [server(number) for number in range(90)]
    for endpoint in servers[::2]:
        endpoint.draining = True
    for endpoint in servers[::3]:
        endpoint.instance = ""
    assert all(one.instance and not one.draining for one in subset_of(servers).chosen)


def test_the_order_in_which_servers_are_heard_of_says_nothing():
    servers = [server(number) for number in range(60)]
    mixed = random.Random(1).sample(servers, len(servers))
    assert names(subset_of(servers)) == names(subset_of(mixed))


@pytest.mark.parametrize("number", range(0, 90, 7))
def test_a_server_that_goes_changes_one_place_and_back_again(number):
    servers = [server(one) for one in range(90)]
    made = subset_of(servers)
    before = names(made)
    made.remove(servers[number])
    made.choose(1.0, lambda endpoint: True)
    assert len(before - names(made)) == (f"s{number}" in before) and len(made.chosen) == SIZE
    made.add(servers[number])
    made.choose(2.0, lambda endpoint: True)
    assert names(made) == before


@pytest.mark.parametrize("callers", [60, 300, 1100])
def test_callers_spread_over_the_servers(callers):
    servers = [server(number) for number in range(60)]
    met = Counter(name for caller in range(callers) for name in names(subset_of(servers, f"c{caller}")))
    near = [met[one.node] for one in servers if one.zone == "east"]
    assert min(near) > 0.5 * sum(near) / len(near) and max(near) < 1.6 * sum(near) / len(near)


@pytest.mark.parametrize(("lost", "more"), [(5, 0), (6, 0), (7, 1), (12, 6)])
def test_where_fewer_than_half_are_reached_others_are_chosen_besides(lost, more):
    made = subset_of([server(number) for number in range(90)])
    before = names(made)
    gone = set(sorted(before)[:lost])
    made.choose(1.0, lambda endpoint: endpoint.node not in gone)
    assert before <= names(made) and len(names(made) - before) == more
    made.choose(2.0, lambda endpoint: True)
    assert names(made) == before


def test_where_none_is_reached_only_so_many_are_tried():
    made = subset_of([server(number) for number in range(300)])
    made.choose(1.0, lambda endpoint: False)
    assert len(made.chosen) == SIZE + MOST_EXTRA * SIZE


def test_one_that_is_too_small_grows_step_by_step_and_shrinks_again():
    made = subset_of([server(number) for number in range(300)])
    sizes = []
    now = 1.0
    for _ in range(5):
        assert made.widen(now) and not made.widen(now), "more only after those have had time to connect"
        made.choose(now, lambda endpoint: True)
        sizes.append(len(made.chosen))
        now += WIDEN_PAUSE_S
    assert sizes == [2 * SIZE, 4 * SIZE, WIDEST, WIDEST, WIDEST]
    made.choose(now + WIDER_S, lambda endpoint: True)
    assert len(made.chosen) == SIZE


def test_a_whole_service_is_not_widened():
    assert not subset_of([server(number) for number in range(SIZE)]).widen(9.0)


def test_a_service_that_is_not_called_keeps_two_to_choose_from():
    made = subset_of([server(number) for number in range(90)])
    made.choose(IDLE_S, lambda endpoint: True)
    assert len(made.chosen) == IDLE_SIZE
    assert made.called(IDLE_S) and not made.called(IDLE_S)
    made.choose(IDLE_S, lambda endpoint: True)
    assert len(made.chosen) == SIZE


# --- in the directory


def records(count, first=10, service="meals", number=1):
    for at in range(first, first + count):
        address, zone = f"192.0.2.{at}:7000", ZONES[at % 3]
        yield SidecarRecord(f"m{at}", address, zone, service, f"i-{at}", 5, True, 0.0, 1, number, 2)


class Clock:
    """The time that a directory is told."""

    def __init__(self, harness):
        self.time = harness.sidecar.context.now()
        harness.sidecar.context.now = lambda: self.time


class Dials:
    """Takes the place of connections: what a directory dials."""

    def __init__(self, monkeypatch):
        self.open = set()
        dials = self

        class Stub:
            def __init__(self, address, heard, up, down, ask_s):
                self.node = up.args[0]
                dials.open.add(self.node)

            def stop(self):
                dials.open.discard(self.node)

        monkeypatch.setattr(directory_module, "Dialer", Stub)

    def connect(self, directory, besides=()):
        for node in self.open - set(directory.connections) - set(besides):
            directory.connected(node, FakeConnection(node))

    def break_off(self, directory, nodes):
        for node in nodes:
            directory.disconnected(node, directory.connections[node])


@pytest.fixture
def dials(monkeypatch):
    return Dials(monkeypatch)


@with_sidecar
def _many(harness, dials):
    directory = harness.sidecar.directory
    directory.apply_records(records(200))
    assert len(dials.open) >= SIZE
    dials.connect(directory)
    clock = Clock(harness)
    clock.time += directory_module.LINGER_S
    directory._look()
    assert dials.open == {one.node for one in directory.of_service("meals")} and len(dials.open) == SIZE
    assert len(directory.records) == 203, "all are known, few are connected"


def test_of_many_servers_few_are_connected(dials):
    _many(dials)


@with_sidecar
def _under_way(harness, dials):
    directory = harness.sidecar.directory
    directory.apply_records(records(60))
    dials.connect(directory)
    clock = Clock(harness)
    directory._look()
    busy = next(one for one in directory.endpoints.values() if one.node in directory.connections)
    busy.in_flight = 1
    record = directory.records[busy.node]
    directory.take(replace(record, is_open=False, number=record.number + 1))
    assert busy not in directory.of_service("meals")
    clock.time += 10 * directory_module.LINGER_S
    directory._look()
    assert busy.node in dials.open, "an answer is still to come there"
    busy.in_flight = 0
    directory._look()
    assert busy.node not in dials.open


def test_a_connection_with_a_call_on_it_is_never_closed(dials):
    _under_way(dials)


@with_sidecar
def _lost(harness, dials):
    directory, clock = harness.sidecar.directory, Clock(harness)
    directory.apply_records(records(200))
    dials.connect(directory)
    directory._look()
    before = set(dials.open)
    lost = [one.node for one in directory.of_service("meals")][:9]
    dials.break_off(directory, lost)
    directory._look()
    assert dials.open == before, "it may be back at once"
    clock.time += REACH_S
    directory._look()
    dials.connect(directory, besides=lost)
    assert sum(directory.usable(one) for one in directory.of_service("meals")) == SIZE // 2


def test_servers_that_are_lost_are_made_up_for(dials):
    _lost(dials)


@with_sidecar
def _draw_widens(harness, dials):
    directory, clock = harness.sidecar.directory, Clock(harness)
    directory.apply_records(records(200))
    dials.connect(directory)
    clock.time += directory_module.LINGER_S
    directory._look()
    before = len(dials.open)
    for endpoint in directory.of_service("meals"):
        endpoint.closed_until = clock.time + 1.0
    harness.send_request("pure")
    assert len(dials.open) == 2 * before, "its part is full: others are connected"
    dials.connect(directory)
    harness.send_request("pure")
    asked = [
        node
        for node, link in directory.connections.items()
        if any(said[0] == kind_of(LoadQuery) for said in link.sent)
    ]
    assert len(asked) == 2 and all(directory.endpoints[node].closed_until < clock.time for node in asked)


def test_a_request_that_finds_its_subset_full_widens_it(dials):
    _draw_widens(dials)


@pytest.mark.parametrize(
    "mutation",
    ["no trimming", "closes under a call", "never widens"],
)
def test_each_defence_is_seen_to_fail_when_it_is_taken_out(mutation, dials, monkeypatch):
    directory = directory_module.Directory
    if mutation == "no trimming":
        monkeypatch.setattr(directory, "_close_unneeded", lambda self: None)
        failing = _many
    elif mutation == "closes under a call":

        def close_all(self):
            for node in list(self._dials):
                if self.endpoints[node].needed_at < self._context.now():
                    self._stop_dial(node)

        monkeypatch.setattr(directory, "_close_unneeded", close_all)
        failing = _under_way
    else:
        monkeypatch.setattr(subset_module.Subset, "widen", lambda self, now: False)
        failing = _draw_widens
    with pytest.raises(AssertionError):
        failing(dials)
