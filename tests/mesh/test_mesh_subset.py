"""The subset of servers that a sidecar keeps connections to: its choice, its changes, and its use."""

from __future__ import annotations

import json
import random
from collections import Counter
from functools import partial

import pytest
from msgspec.structs import replace
from test_mesh_sidecar import FakeConnection
from test_mesh_sidecar import with_sidecar as with_harness

from mesh.proxy import directory as directory_module
from mesh.proxy import subset as subset_module
from mesh.proxy.endpoints import Endpoint
from mesh.proxy.subset import (
    CONNECT_TIMEOUT_S,
    IDLE_SUBSET_SIZE,
    IDLE_TIMEOUT_S,
    MAX_EXTRA_FACTOR,
    MAX_SUBSET_SIZE,
    MIN_OTHER_ZONE_SERVERS,
    SUBSET_SIZE,
    WIDEN_INTERVAL_S,
    WIDENED_FOR_S,
    Subset,
)
from mesh.state.configuration import Item
from mesh.transport.messages import LoadQuery, SidecarRecord, kind_of

ZONES = ("east", "west", "south")
with_sidecar = partial(with_harness, version=2)


def server(number, zone=None):
    endpoint = Endpoint(f"s{number}", "meals")
    endpoint.zone, endpoint.instance = zone or ZONES[number % 3], f"i-{number}"
    return endpoint


def subset_of(servers, sidecar="n1", zone="east", now=0.0):
    subset = Subset(sidecar, zone, now)
    for endpoint in servers:
        subset.add(endpoint)
    subset.choose(now, lambda endpoint: True)
    return subset


def names(subset):
    return {endpoint.node for endpoint in subset.chosen}


def test_the_subset_of_a_small_service_is_all_its_servers_even_those_not_serving():
    servers = [server(number) for number in range(SUBSET_SIZE)]
    servers[0].instance, servers[1].draining = "", True
    assert names(subset_of(servers)) == {f"s{number}" for number in range(SUBSET_SIZE)}


def test_the_subset_of_a_large_service_prefers_the_own_zone_and_has_some_of_other_zones():
    chosen = subset_of([server(number) for number in range(90)]).chosen
    assert (
        len(chosen) == SUBSET_SIZE
        and sum(endpoint.zone != "east" for endpoint in chosen) == MIN_OTHER_ZONE_SERVERS
    )


@pytest.mark.parametrize(
    ("own", "others", "own_chosen"), [(0, 40, 0), (3, 40, 3), (40, 0, SUBSET_SIZE), (40, 2, SUBSET_SIZE - 2)]
)
def test_a_shortage_in_the_own_or_other_zones_is_filled_from_the_other(own, others, own_chosen):
    servers = [server(number, "east") for number in range(own)]
    servers += [server(own + number, "west") for number in range(others)]
    chosen = subset_of(servers).chosen
    assert len(chosen) == SUBSET_SIZE and sum(endpoint.zone == "east" for endpoint in chosen) == own_chosen


def test_the_subset_of_a_large_service_has_only_serving_servers():
    servers = [server(number) for number in range(90)]
    for endpoint in servers[::2]:
        endpoint.draining = True
    for endpoint in servers[::3]:
        endpoint.instance = ""
    assert all(endpoint.instance and not endpoint.draining for endpoint in subset_of(servers).chosen)


def test_the_subset_does_not_depend_on_the_order_in_which_servers_are_added():
    servers = [server(number) for number in range(60)]
    shuffled = random.Random(1).sample(servers, len(servers))
    assert names(subset_of(servers)) == names(subset_of(shuffled))


@pytest.mark.parametrize("number", range(0, 90, 7))
def test_removing_a_server_changes_one_place_and_adding_it_restores_the_subset(number):
    servers = [server(index) for index in range(90)]
    subset = subset_of(servers)
    before = names(subset)
    subset.remove(servers[number])
    subset.choose(1.0, lambda endpoint: True)
    assert len(before - names(subset)) == (f"s{number}" in before) and len(subset.chosen) == SUBSET_SIZE
    subset.add(servers[number])
    subset.choose(2.0, lambda endpoint: True)
    assert names(subset) == before


@pytest.mark.parametrize("callers", [60, 300, 1100])
def test_callers_spread_evenly_over_the_servers(callers):
    servers = [server(number) for number in range(60)]
    counts = Counter(name for caller in range(callers) for name in names(subset_of(servers, f"c{caller}")))
    own_zone = [counts[endpoint.node] for endpoint in servers if endpoint.zone == "east"]
    assert min(own_zone) > 0.5 * sum(own_zone) / len(own_zone) and max(own_zone) < 1.6 * sum(own_zone) / len(
        own_zone
    )


@pytest.mark.parametrize(("lost", "added"), [(5, 0), (6, 0), (7, 1), (12, 6)])
def test_servers_are_added_if_fewer_than_half_are_reachable(lost, added):
    subset = subset_of([server(number) for number in range(90)])
    before = names(subset)
    unreachable = set(sorted(before)[:lost])
    subset.choose(1.0, lambda endpoint: endpoint.node not in unreachable)
    assert before <= names(subset) and len(names(subset) - before) == added
    subset.choose(2.0, lambda endpoint: True)
    assert names(subset) == before


def test_the_number_of_added_servers_is_bounded_if_none_is_reachable():
    subset = subset_of([server(number) for number in range(300)])
    subset.choose(1.0, lambda endpoint: False)
    assert len(subset.chosen) == SUBSET_SIZE + MAX_EXTRA_FACTOR * SUBSET_SIZE


def test_a_subset_that_is_too_small_is_widened_in_steps_and_shrinks_again():
    subset = subset_of([server(number) for number in range(300)])
    sizes = []
    now = 1.0
    for _ in range(5):
        assert subset.widen(now) and not subset.widen(now), (
            "widened before the new connections had time to be made"
        )
        subset.choose(now, lambda endpoint: True)
        sizes.append(len(subset.chosen))
        now += WIDEN_INTERVAL_S
    assert sizes == [2 * SUBSET_SIZE, 4 * SUBSET_SIZE, MAX_SUBSET_SIZE, MAX_SUBSET_SIZE, MAX_SUBSET_SIZE]
    subset.choose(now + WIDENED_FOR_S, lambda endpoint: True)
    assert len(subset.chosen) == SUBSET_SIZE


def test_a_subset_of_all_servers_is_not_widened():
    assert not subset_of([server(number) for number in range(SUBSET_SIZE)]).widen(9.0)


def test_an_idle_service_keeps_a_small_subset():
    subset = subset_of([server(number) for number in range(90)])
    subset.choose(IDLE_TIMEOUT_S, lambda endpoint: True)
    assert len(subset.chosen) == IDLE_SUBSET_SIZE
    assert subset.on_request(IDLE_TIMEOUT_S) and not subset.on_request(IDLE_TIMEOUT_S)
    subset.choose(IDLE_TIMEOUT_S, lambda endpoint: True)
    assert len(subset.chosen) == SUBSET_SIZE


# --- in the directory


def records(count, first=10, service="meals", number=1):
    for at in range(first, first + count):
        address, zone = f"192.0.2.{at}:7000", ZONES[at % 3]
        yield SidecarRecord(f"m{at}", address, zone, service, f"i-{at}", 5, True, 0.0, 1, number, 2)


class Clock:
    """A clock that replaces the time of a directory's context."""

    def __init__(self, harness):
        self.time = harness.sidecar.context.now()
        harness.sidecar.context.now = lambda: self.time


class FakeDials:
    """Replaces dialed connections, and records to which nodes a directory keeps one."""

    def __init__(self, monkeypatch):
        self.open = set()
        owner = self

        class Stub:
            def __init__(self, address, on_message, on_connected, on_disconnected, ping_interval_s):
                self.node = on_connected.args[0]
                owner.open.add(self.node)

            def stop(self):
                owner.open.discard(self.node)

        monkeypatch.setattr(directory_module, "Dialer", Stub)

    def connect(self, directory, excluded=()):
        for node in self.open - set(directory.connections) - set(excluded):
            directory.on_connected(node, FakeConnection(node))

    def disconnect(self, directory, nodes):
        for node in nodes:
            directory.on_disconnected(node, directory.connections[node])


@pytest.fixture
def dials(monkeypatch):
    return FakeDials(monkeypatch)


@with_sidecar
def _large_service(harness, dials):
    directory = harness.sidecar.directory
    directory.apply_records(records(200))
    assert len(dials.open) >= SUBSET_SIZE
    dials.connect(directory)
    clock = Clock(harness)
    clock.time += directory_module.LINGER_S
    directory._refresh()
    assert (
        dials.open == {endpoint.node for endpoint in directory.of_service("meals")}
        and len(dials.open) == SUBSET_SIZE
    )
    assert len(directory.records) == 203, "not all records were kept"


def test_only_the_subset_of_a_large_service_is_connected(dials):
    _large_service(dials)


@with_sidecar
def _call_in_flight(harness, dials):
    directory = harness.sidecar.directory
    directory.apply_records(records(60))
    dials.connect(directory)
    clock = Clock(harness)
    directory._refresh()
    busy = next(
        endpoint for endpoint in directory.endpoints.values() if endpoint.node in directory.connections
    )
    busy.in_flight = 1
    record = directory.records[busy.node]
    directory.apply_record(replace(record, is_open=False, number=record.number + 1))
    assert busy not in directory.of_service("meals")
    clock.time += 10 * directory_module.LINGER_S
    directory._refresh()
    assert busy.node in dials.open, "closed with a call in flight"
    busy.in_flight = 0
    directory._refresh()
    assert busy.node not in dials.open


def test_a_connection_with_a_call_in_flight_is_not_closed(dials):
    _call_in_flight(dials)


@with_sidecar
def _servers_lost(harness, dials):
    directory, clock = harness.sidecar.directory, Clock(harness)
    directory.apply_records(records(200))
    dials.connect(directory)
    directory._refresh()
    before = set(dials.open)
    lost = [endpoint.node for endpoint in directory.of_service("meals")][:9]
    dials.disconnect(directory, lost)
    directory._refresh()
    assert dials.open == before, "replaced before the servers had time to reconnect"
    clock.time += CONNECT_TIMEOUT_S
    directory._refresh()
    dials.connect(directory, excluded=lost)
    assert sum(directory.usable(endpoint) for endpoint in directory.of_service("meals")) == SUBSET_SIZE // 2


def test_lost_servers_are_replaced(dials):
    _servers_lost(dials)


@with_sidecar
def _full_subset(harness, dials):
    directory, clock = harness.sidecar.directory, Clock(harness)
    directory.apply_records(records(200))
    dials.connect(directory)
    clock.time += directory_module.LINGER_S
    directory._refresh()
    before = len(dials.open)
    for endpoint in directory.of_service("meals"):
        endpoint.closed_until = clock.time + 1.0
    harness.send_request("pure")
    assert len(dials.open) == 2 * before, "the subset was not widened"
    dials.connect(directory)
    harness.send_request("pure")
    queried = [
        node
        for node, connection in directory.connections.items()
        if any(row[0] == kind_of(LoadQuery) for row in connection.sent)
    ]
    assert len(queried) == 2 and all(directory.endpoints[node].closed_until < clock.time for node in queried)


def test_a_request_whose_subset_is_full_widens_it(dials):
    _full_subset(dials)


@pytest.mark.parametrize(
    "mutation",
    ["no trimming", "closes under a call", "never widens"],
)
def test_the_tests_fail_without_each_mechanism(mutation, dials, monkeypatch):
    directory = directory_module.Directory
    if mutation == "no trimming":
        monkeypatch.setattr(directory, "_close_unneeded", lambda self: None)
        failing = _large_service
    elif mutation == "closes under a call":

        def close_all(self):
            for node in list(self._dials):
                if self.endpoints[node].needed_at < self._context.now():
                    self._stop_dial(node)

        monkeypatch.setattr(directory, "_close_unneeded", close_all)
        failing = _call_in_flight
    else:
        monkeypatch.setattr(subset_module.Subset, "widen", lambda self, now: False)
        failing = _full_subset
    with pytest.raises(AssertionError):
        failing(dials)


@with_sidecar
def _sharded_service(harness, dials, table_first):
    directory, control, clock = harness.sidecar.directory, harness.sidecar.control, Clock(harness)

    def set_sharded(version, sharded):
        content = json.dumps({"name": "berths", "sharded": sharded})
        control.apply_items([Item("service/berths", version, content)])

    if table_first:
        set_sharded(2, True)
    directory.apply_records([*records(60), *records(60, 100, "berths")])
    if not table_first:
        set_sharded(2, True)
    assert {record.node for record in records(60, 100)} <= dials.open
    dials.connect(directory)
    clock.time += IDLE_TIMEOUT_S
    directory._refresh()
    assert len(dials.open) == 60 + IDLE_SUBSET_SIZE, "the subset of the other service is not kept small"
    set_sharded(3, False)
    clock.time += directory_module.LINGER_S
    directory._refresh()
    assert len(dials.open) == 2 * IDLE_SUBSET_SIZE


@pytest.mark.parametrize("table_first", [True, False])
def test_all_servers_of_a_sharded_service_are_connected_whatever_is_known_first(dials, table_first):
    _sharded_service(dials, table_first)
