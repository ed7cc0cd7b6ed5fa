"""Proposals of key ranges by real controllers on simulated time, with simulated connections and disks."""

from __future__ import annotations

import json
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from mesh_world import World
from operator_calls import change, service
from test_mesh_api import make_controller
from test_mesh_faults import ready
from test_mesh_rules import in_event_loop
from test_mesh_sidecar import FakeConnection

from mesh.control.controller import Controller
from mesh.control.elections import Reconfiguration
from mesh.control.shard_facts import decode_table
from mesh.state.configuration import EMPTY, Item, validate_change
from mesh.state.key_leases import LeaseTimes
from mesh.state.shards import NOBODY, Owner, ReleasedRange, ShardTable
from mesh.transport.messages import VERSION, BucketLoad, RangesReleased, Register, ShardLoad, SidecarRecord

SERVICE = "baskets"
DELAY_S = LeaseTimes.of_bound(10.0).reassignment_delay_s
NOTICE_S = 1.5  # until a change that is due is in force everywhere


class ShardWorld(World):
    """Controllers of which all hear the same sidecars, and the table of one sharded service."""

    def __init__(self, seed: int = 1) -> None:
        super().__init__(seed, size=3, claimants=0)
        self.records: dict[str, SidecarRecord] = {}

    def begin(self, servers: int = 6) -> None:
        """Starts the controllers, a sharded service, and its servers."""
        self.start()
        self.finish(ready(self), 20.0)
        sharded = {**service(SERVICE, 1), "sharded": True, "grants": "heartbeat"}
        assert self.finish(self.patch(0, change([sharded]))) == 200
        for number in range(servers):
            self.register(number)
        until(self, lambda: all(table.version for table in self.tables()), 10.0)

    def finish(self, work: Coroutine[Any, Any, Any], limit_s: float = 2.5) -> Any:
        """Runs the operator's work to its end and returns its result."""
        task = self.operator.run(work)
        until(self, task.done, limit_s)
        return task.result()

    def alive(self) -> list[Controller]:
        return [made for name in self.controllers if (made := self.controller(name)) is not None]

    def tables(self) -> list[ShardTable]:
        """Returns the table as each living controller holds it."""
        items = [made.items.get(f"shards/{SERVICE}") for made in self.alive()]
        return [(decode_table(item) if item else None) or ShardTable(SERVICE) for item in items]

    def register(self, number: int, life: int = 1, is_open: bool = True) -> Owner:
        """Has all controllers hear of a server."""
        owner = Owner(f"n{number}", f"i-{number}-{life}")
        self.records[owner.node] = SidecarRecord(*owner[:1], "", "", SERVICE, owner[1], 5, is_open, 0.0, 1, 1)
        self.tell_records()
        return owner

    def tell_records(self) -> None:
        for made in self.alive():
            for record in self.records.values():
                made.publisher.servers.register(self.now, record)
            made.publisher.on_servers_changed()

    def release_all(self) -> None:
        """Has all controllers hear that every revoked range is released."""
        for made, table in zip(self.alive(), self.tables(), strict=True):
            for shard in table.shards:
                if shard.revoked:
                    released = (ReleasedRange(shard.range, shard.fence, "token"),)
                    made.shards.on_released(None, RangesReleased(SERVICE, shard.owner, released))

    def restart_with(self, bounds: str) -> None:
        """Restarts all controllers at once with other bounds."""
        self._settings_options["bounds"] = bounds
        for name in self.controllers:
            self.power_off(name)
        self.run(0.1)
        for name in self.controllers:
            self.start_controller(name)
        until(self, lambda: len(self.caught_up_controllers()) == 3, 10.0)
        self.tell_records()

    def coordinator(self) -> Controller:
        (made,) = [made for made in self.alive() if made.elections.is_coordinator()]
        return made


def until(world: World, holds: Callable[[], bool], limit_s: float) -> None:
    """Advances time until a condition holds, which has to be in time."""
    assert world.run(limit_s, holds)


def is_stable(table: ShardTable) -> bool:
    return all(shard.active for shard in table.shards)


@pytest.fixture
def world():
    with ShardWorld() as made:
        yield made


def test_a_service_is_assigned_to_its_servers_and_operators_do_not_read_it(world):
    world.begin()
    (table,) = set(world.tables())
    assert is_stable(table) and {shard.owner.node for shard in table.shards} == world.records.keys()
    _, body = world.finish(world.ask(world.controllers[0], b"GET"))
    assert SERVICE in [cluster["name"] for cluster in json.loads(body)["cluster_list"]]
    assert b"shards" not in body


def test_a_released_range_is_assigned_at_once_with_its_handover(world):
    world.begin()
    next_owner = world.register(2, life=2)
    until(world, lambda: not any(map(is_stable, world.tables())), NOTICE_S)
    world.release_all()
    until(world, lambda: all(map(is_stable, world.tables())), 0.3)
    assert {shard.handover for shard in world.tables()[0].owned_by(next_owner)} == {"token"}
    figures = {family.name: family.values for family in world.coordinator().shards.metrics()}
    assert figures["mesh_shard_moves"]["ended",] == 2.0
    assert figures["mesh_shards"] == {(SERVICE, "owned"): 12.0}


def test_the_next_coordinator_waits_for_the_longest_lease_from_when_it_learned(world):
    world.begin()
    next_owner = world.register(2, life=2)
    until(world, lambda: not any(map(is_stable, world.tables())), NOTICE_S)
    learned_at = world.now
    world.power_off(world.coordinator().settings.ip)
    assert not world.run(learned_at + 0.98 * DELAY_S - world.now, lambda: any(map(is_stable, world.tables())))
    until(world, lambda: all(map(is_stable, world.tables())), 2 * NOTICE_S)
    assert world.tables()[0].owned_by(next_owner)


def test_a_controller_that_restarts_counts_from_its_start(world):
    world.begin()
    world.register(2, life=2)
    until(world, lambda: not any(map(is_stable, world.tables())), NOTICE_S)
    world.run(0.8 * DELAY_S)
    for name in world.controllers:
        world.power_off(name)
    world.run(0.1)
    for name in world.controllers:
        world.start_controller(name)
    restarted_at = world.now
    until(world, lambda: len(world.caught_up_controllers()) == 3, 10.0)
    world.tell_records()
    assert not world.run(
        restarted_at + 0.98 * DELAY_S - world.now, lambda: any(map(is_stable, world.tables()))
    )
    until(world, lambda: all(map(is_stable, world.tables())), 2 * NOTICE_S)


def test_a_smaller_bound_does_not_shorten_the_wait_for_leases_that_were_confirmed_before(world):
    world.begin()
    world.restart_with('"hold_max=6s"')
    world.register(2, life=2)
    until(world, lambda: not any(map(is_stable, world.tables())), 10.0)
    learned_at = world.now
    assert not world.run(learned_at + 0.98 * DELAY_S - world.now, lambda: any(map(is_stable, world.tables())))
    until(world, lambda: all(map(is_stable, world.tables())), 2 * NOTICE_S)


def test_a_greater_bound_allows_longer_leases_and_lengthens_the_wait_from_the_next_change_on(world):
    world.begin()
    world.restart_with('"hold_max=12s"')
    assert {table.max_lease_ms for table in world.tables()} == {5000}
    world.register(2, life=2)
    until(world, lambda: not any(map(is_stable, world.tables())), 10.0)
    learned_at = world.now
    assert {table.max_lease_ms for table in world.tables() if not is_stable(table)} == {6000}
    delay_s = LeaseTimes.of_bound(12.0).reassignment_delay_s
    assert not world.run(learned_at + 0.98 * delay_s - world.now, lambda: any(map(is_stable, world.tables())))


@pytest.mark.parametrize("seed", range(6))
def test_two_proposers_at_once_never_assign_a_range_that_may_be_held(monkeypatch, seed):
    monkeypatch.setattr(Reconfiguration, "is_coordinator", lambda self: True)
    with ShardWorld(seed) as world:
        world.begin()
        chosen: dict[int, str] = {}
        revoked: dict[tuple[int, int], float] = {}

        def check() -> bool:
            for table in world.tables():
                assert chosen.setdefault(table.version, table.encode()) == table.encode()
                for shard in table.shards:
                    if shard.revoked:
                        revoked.setdefault((shard.range.first, shard.fence), world.now)
            return False

        for number in range(6):
            before = world.tables()[0]
            world.register(number, life=2 + number)
            if number % 2:
                world.run(NOTICE_S, check)
                world.release_all()
            else:
                world.run(0.9 * DELAY_S, check)
                assert not any(map(is_stable, world.tables()))
            assert world.run(DELAY_S, lambda: check() or all(map(is_stable, world.tables())))
            assert before.version < world.tables()[0].version
        assert len(set(world.tables())) == 1


def test_operators_changes_are_acknowledged_while_ranges_move(world):
    world.begin()
    for step in range(8):
        world.register(step % 6, life=2 + step)
        assert world.finish(world.patch(step, change([service("berths", 2 + step)]), tries=2)) == 200
        world.release_all()


def test_an_overload_is_reported_and_moved_off(world):
    world.begin()
    world.run(5.0)
    source = world.tables()[0].find(0).owner
    for made in world.alive():
        loads = tuple(BucketLoad(bucket, 0.5) for bucket in range(9))
        made.shards.on_load(None, ShardLoad(SERVICE, source, loads))
    until(world, lambda: not any(map(is_stable, world.tables())), NOTICE_S)
    world.release_all()
    until(world, lambda: all(map(is_stable, world.tables())), NOTICE_S)
    owners = {world.tables()[0].find(64 * bucket).owner for bucket in range(9)}
    assert len(owners) == 2 and NOBODY not in owners


@pytest.mark.parametrize(
    "content", ["{}", "no JSON", '{"owners":[],"shards":[]}', '{"owners":[],"shards":[[0]]}']
)
def test_a_table_that_can_not_be_read_is_no_valid_change(content):
    assert validate_change(EMPTY, [Item(f"shards/{SERVICE}", 1, content)]).is_error()


@in_event_loop
async def test_a_sidecar_is_missing_from_the_end_of_its_last_connection_until_it_registers_again():
    controller, earlier, later = make_controller(()), FakeConnection(), FakeConnection()
    publisher, record = controller.publisher, SidecarRecord("n1", "", "", SERVICE, "i-1", 5, True, 0.0, 1, 1)
    nodes = publisher.servers.nodes
    for link in (earlier, later):
        publisher.on_register(link, Register(record, VERSION))
    publisher.on_disconnect(earlier)
    assert nodes["n1"].is_open_for(SERVICE) and not nodes["n1"].is_open_for("berths")
    publisher.on_disconnect(later)
    assert nodes["n1"].missing_since is not None and not nodes["n1"].is_open_for(SERVICE)
    publisher.on_register(earlier, Register(record, VERSION))
    assert nodes["n1"].is_open_for(SERVICE)
    publisher.on_disconnect(earlier)
    publisher._expire_record("n1", 1)
    assert not nodes
