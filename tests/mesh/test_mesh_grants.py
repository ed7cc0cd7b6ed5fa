"""Grants and releases of a sidecar to its server, by calls and in the answers to heartbeats. No sockets."""

from __future__ import annotations

import asyncio
import json

import cbor2
import pytest
from test_mesh_api import call
from test_mesh_rules import in_event_loop
from test_mesh_sidecar import SETTINGS, FakeConnection

from dunefield.interface import AttemptOutcome
from hollyport.http.back import Reply
from mesh import settings
from mesh.proxy import server_suspicion
from mesh.proxy.key_ranges import PROBE_INTERVAL_S
from mesh.proxy.server_heartbeats import MAX_ANSWER_DELAY_S
from mesh.proxy.server_holds import ANSWER_TRANSIT_S, GRANT_TRANSIT_S
from mesh.proxy.sidecar import Sidecar
from mesh.state import configuration
from mesh.state.configuration import GRANTS_BY_HEARTBEAT, GRANTS_BY_INVOCATION, Item
from mesh.state.key_leases import CLOCK_DRIFT
from mesh.state.quorum import Voters
from mesh.state.shards import NO_KEY, Assignment, KeyRange, Owner, Revocation, ShardTable
from mesh.transport.messages import LeaseAnswer, RangesReleased, Register, RenewLease, ShardLoad, decode

SERVICE = "berths"
ME, OTHER = Owner("n1", "i-1"), Owner("n2", "i-9")
ALL, LOW, HIGH = KeyRange(0, 199), KeyRange(0, 99), KeyRange(100, 199)
VOTERS = Voters(1, ("c1", "c2", "c3"))
LENGTH_BYTES = 4
UPTIME_S = 60.0  # of the sidecar, so that nothing of an earlier process counts any more
WAYS = (GRANTS_BY_INVOCATION, GRANTS_BY_HEARTBEAT)
BOTH_WAYS = pytest.mark.parametrize("way", WAYS)


class Exchange:
    """One call to the server, which the test answers."""

    def __init__(self, upstream, build, timeout_s, on_end):
        self.upstream, self.build, self.timeout_s, self.on_end = upstream, build, timeout_s, on_end
        self.on_written, self.request, self.over = None, b"", False

    def start(self):
        self.upstream.waiting.append(self)
        if self.upstream.connected:
            self.write()

    def write(self):
        self.request = self.build()
        if self.upstream.writable:
            self.on_written()

    def cancel(self):
        self.end(AttemptOutcome.CANCELLED)

    def reply(self, status=200, headers=()):
        self.end(AttemptOutcome.OK, Reply(status, list(headers), b""))

    def end(self, outcome, reply=None):
        if not self.over:
            self.over = True
            self.upstream.waiting.remove(self)
            self.on_end(outcome, reply)

    @property
    def path(self):
        return self.request.split(b" ")[1].decode()

    @property
    def fields(self):
        return json.loads(self.request.partition(b"\r\n\r\n")[2])


class FakeUpstream:
    """The connections to a server."""

    def __init__(self):
        self.waiting, self.names, self.connected, self.writable = [], [], True, True

    def update(self, name, *details):
        self.names.append(name)

    def remove(self, name):
        self.names.remove(name)

    def exchange(self, name, build, timeout_s, on_end):
        assert name in self.names
        return Exchange(self, build, timeout_s, on_end)


class World:
    """A sidecar of a sharded service, connected to two of three voters. The test sets its clock."""

    def __init__(self, way, by_settings=False):
        text = SETTINGS + 'beat = "1500ms"\n' + (f'grants = "{way}"\n' if by_settings else "")
        text = text.replace("bound_set = [", 'bound_set = ["hold_max=10000ms", "drain=2000ms", ')
        self.sidecar = Sidecar(settings.read(text).ok)
        self.clock = self.sidecar.context.monotonic() + UPTIME_S
        self.sidecar.context.monotonic = lambda: self.clock
        self.sidecar.context.now = lambda: self.clock
        self.sidecar.context.read_clock.received_after = lambda: self.clock
        self.upstream = self.sidecar.key_ranges.calls.upstream = FakeUpstream()
        self.way, self.call_number, self.answered_questions = way, 0, 0
        self.connections = {name: FakeConnection(name) for name in VOTERS.names[:2]}
        self.sidecar.control.connections.update(self.connections)
        self.sidecar.control.key_claims.voters = VOTERS
        cluster = {"name": SERVICE, "revision": "r1", "sharded": True}
        if not by_settings:
            cluster["grants"] = way
        listed = {"upserts": {"cluster_list": [cluster]}}
        self.sidecar.control.apply_items(configuration.parse_change(json.dumps(listed).encode()).ok)
        self.table = ShardTable(SERVICE)
        self.lists_holds = True  # in heartbeats

    async def begin(self):
        """Lets the server come up and own the keys from 0 to 199 under fence 1."""
        await self.heartbeat()
        await self.change(assignments=[Assignment(ALL, ME, "token")])

    async def change(self, **changes):
        self.table = self.table.change(**changes)
        table = self.table
        self.sidecar.control.apply_items([Item(table.item_name, table.version, table.encode())])
        await self.turn()

    async def turn(self):
        for _ in range(4):
            await asyncio.sleep(0)

    def sent(self, kind, peer="c1"):
        """Returns the messages of a kind that were sent to a controller."""
        packed = [row for row in self.connections[peer].sent if isinstance(row, bytes)]
        messages = [decode(cbor2.loads(row[LENGTH_BYTES:])) for row in packed]
        return [message for message in messages if isinstance(message, kind)]

    async def confirm(self):
        """Lets both connected voters confirm the latest question."""
        self.answer_question()
        await self.turn()

    def answer_question(self):
        question = self.sent(RenewLease)[-1]
        answer = LeaseAnswer(question.number, question.epoch, (True,) * len(question.ranges))
        for connection in self.connections.values():
            self.sidecar.on_message(connection, answer)

    async def heartbeat(self, holds=(), released=(), state="ready", call_number=None, instance="i-1"):
        """Sends a heartbeat and returns its answer."""
        return await self.begin_heartbeat(holds, released, state, call_number, instance)

    def begin_heartbeat(self, holds=(), released=(), state="ready", call_number=None, instance="i-1"):
        """Sends a heartbeat and returns a task that ends with its answer."""
        self.call_number += 1
        body = {
            "service": SERVICE,
            "slots": 4,
            "state": state,
            "call_seq": self.call_number if call_number is None else call_number,
            "holds": holds,
            "released": released,
        }
        if not self.lists_holds:
            del body["holds"], body["released"]

        async def ask():
            answer = await call(self.sidecar.heartbeats.serve, "put", f"/-/instances/{instance}", body)
            return json.loads(answer.body)

        return asyncio.ensure_future(ask())

    async def grant(self):
        """Leases all ranges and lets the server hold them."""
        await self.confirm()
        if self.way == GRANTS_BY_HEARTBEAT:
            await self.heartbeat()
            self.clock += ANSWER_TRANSIT_S
        else:
            while self.upstream.waiting:
                self.upstream.waiting[0].reply()
                await self.turn()

    async def let_go(self, keys, fence=1, handover="token-2"):
        """Lets the server let go of a range when it is told to."""
        if self.way == GRANTS_BY_HEARTBEAT:
            await self.heartbeat(holds=[[*keys, fence]])
            await self.heartbeat(released=[[*keys, handover]])
            return
        (release,) = [call for call in self.upstream.waiting if call.path == "/-/release"]
        assert release.fields == {"source": keys.first, "target_version": keys.last, "fence": fence}
        release.reply(200, [(b"x-handover", handover.encode())])
        await self.turn()

    def allows(self, key):
        return self.sidecar.server_queue.key_gate(key)


@pytest.mark.parametrize("by_settings", [False, True])
@BOTH_WAYS
@in_event_loop
async def test_a_server_is_leased_and_granted_what_the_table_gives_it(way, by_settings):
    world = World(way, by_settings)
    assert not world.allows(50) and not world.allows(NO_KEY)
    await world.begin()
    (question,) = world.sent(RenewLease)
    assert (question.service, question.owner, question.epoch) == (SERVICE, ME, 1)
    assert [held.range for held in question.ranges] == [ALL]
    assert not world.allows(50) and not world.upstream.waiting
    await world.grant()
    assert world.allows(0) and world.allows(199) and not world.allows(200)
    world.sidecar.close()


@BOTH_WAYS
@in_event_loop
async def test_a_revoked_part_is_let_go_of_and_reported_to_all_controllers_while_the_rest_goes_on(way):
    world = World(way)
    await world.begin()
    await world.grant()
    await world.change(revocations=[Revocation(LOW, OTHER)])
    assert world.allows(150)
    await world.let_go(LOW)
    assert not world.allows(50) and world.allows(150)
    for peer in world.connections:
        report = world.sent(RangesReleased, peer)[-1]
        assert (report.service, report.owner, report.ranges) == (SERVICE, ME, ((LOW, 1, "token-2"),))
    world.sidecar.key_ranges.reports._tick()
    assert len(world.sent(RangesReleased)) == 2
    await world.change(assignments=[Assignment(LOW, OTHER, "token-2")])
    world.sidecar.key_ranges.reports._tick()
    assert len(world.sent(RangesReleased)) == 2
    assert not world.allows(50) and world.allows(150)
    world.sidecar.close()


@BOTH_WAYS
@in_event_loop
async def test_nothing_is_granted_once_the_lease_has_run_out(way):
    world = World(way)
    await world.begin()
    await world.grant()
    world.clock += world.sidecar.key_ranges.leases.times.lease_s
    assert not world.allows(50)
    if way == GRANTS_BY_HEARTBEAT:
        assert await world.heartbeat(holds=[[0, 199, 1]]) == {}
    else:
        world.sidecar.key_ranges.calls.wake()
        assert not world.upstream.waiting
    world.sidecar.close()


@BOTH_WAYS
@in_event_loop
async def test_the_load_of_a_server_is_reported_by_bucket_of_keys(way):
    world = World(way)
    await world.begin()
    world.sidecar.server_queue.on_key_work(70, 0.5)
    for _ in range(2):
        world.sidecar.key_ranges.reports._tick()
    (report,) = world.sent(ShardLoad)
    assert report.owner == ME and [load.bucket for load in report.loads] == [1]
    world.sidecar.close()


@BOTH_WAYS
@in_event_loop
async def test_a_server_that_has_ended_gets_no_more_grants_and_its_ranges_are_not_leased(way):
    world = World(way)
    await world.begin()
    await world.grant()
    await call(world.sidecar.heartbeats.serve, "delete", "/-/instances/i-1")
    await world.turn()
    assert not world.allows(50)
    world.sidecar.key_ranges.leases._renew()
    assert len(world.sent(RenewLease)) == 1
    world.clock += 2.0
    world.sidecar.key_ranges.calls.wake()
    assert not world.upstream.waiting
    world.sidecar.close()


@BOTH_WAYS
@in_event_loop
async def test_a_draining_server_gets_calls_for_a_while_but_is_told_to_be_closed(way):
    world = World(way)
    queue = world.sidecar.server_queue
    queue._loop = type("Loop", (), {"time": lambda self: world.clock, "call_later": lambda *args: None})()
    await world.begin()
    await world.grant()
    await world.heartbeat(holds=[[0, 199, 1]], state="draining")
    assert not world.sidecar.heartbeats.record().is_open
    assert queue.serves and world.allows(50)
    world.clock += 1.5
    await world.heartbeat(holds=[[0, 199, 1]], state="draining")
    world.clock += 0.11
    assert not queue.serves
    world.sidecar.close()


@pytest.mark.parametrize("named", ["", "invoke", "Heartbeat"])
@pytest.mark.parametrize("by_settings", [False, True])
@pytest.mark.parametrize("lists_holds", [False, True])
@in_event_loop
async def test_where_no_known_way_is_named_the_heartbeats_of_the_server_tell_it(
    named, by_settings, lists_holds
):
    world = World(named, by_settings)
    world.lists_holds = lists_holds
    await world.begin()
    world.way = GRANTS_BY_HEARTBEAT if lists_holds else GRANTS_BY_INVOCATION
    assert not world.allows(50)
    await world.grant()
    assert world.allows(50)
    world.sidecar.close()


# --- by call


@in_event_loop
async def test_a_grant_names_the_range_its_fence_its_handover_and_the_hold():
    world = World(GRANTS_BY_INVOCATION)
    await world.begin()
    await world.confirm()
    (grant,) = world.upstream.waiting
    fields = grant.fields
    hold_ms = int(fields.pop("hold").removesuffix("ms"))
    assert grant.path == "/-/grant" and 3500 < hold_ms <= 4000
    assert fields == {"source": 0, "target_version": 199, "fence": 1, "handover": "token"}
    assert not world.allows(50)
    grant.reply()
    assert world.allows(50)
    world.sidecar.close()


@in_event_loop
async def test_the_hold_is_computed_when_the_call_is_written_and_not_before():
    world = World(GRANTS_BY_INVOCATION)
    await world.begin()
    world.upstream.connected = False
    await world.confirm()
    (grant,) = world.upstream.waiting
    world.clock += 3.0
    grant.write()
    assert int(grant.fields["hold"].removesuffix("ms")) < 2000
    world.sidecar.close()


@pytest.mark.parametrize("lost", ["lease", "range", "owner"])
@in_event_loop
async def test_nothing_is_written_if_the_range_is_lost_while_the_connection_is_opened(lost):
    world = World(GRANTS_BY_INVOCATION)
    await world.begin()
    world.upstream.connected = False
    await world.confirm()
    (grant,) = world.upstream.waiting
    if lost == "lease":
        world.clock += world.sidecar.key_ranges.leases.times.lease_s
    elif lost == "range":
        await world.change(revocations=[Revocation(ALL)])
    else:
        await world.heartbeat(instance="i-2")
    grant.write()
    assert grant.request == b""
    await world.turn()
    assert grant.over
    world.sidecar.close()


@in_event_loop
async def test_a_call_that_the_kernel_does_not_take_at_once_is_given_up_and_counts_as_possibly_taken():
    world = World(GRANTS_BY_INVOCATION)
    await world.begin()
    world.upstream.writable = False
    await world.confirm()
    await world.turn()
    assert not world.upstream.waiting and not world.allows(50)
    await world.change(revocations=[Revocation(ALL)])
    assert not world.sent(RangesReleased)
    world.sidecar.close()


@in_event_loop
async def test_a_range_granted_by_a_call_that_was_written_late_is_not_reported_before_it_runs_out():
    world = World(GRANTS_BY_INVOCATION)
    await world.begin()
    world.upstream.writable = False
    world.answer_question()
    (grant,) = world.upstream.waiting
    hold_s = int(grant.fields["hold"].removesuffix("ms")) / 1000
    world.clock += 0.6
    grant.on_written()
    taken_at = world.clock
    await world.turn()
    assert grant.over
    await world.change(revocations=[Revocation(ALL, OTHER)])
    for release in list(world.upstream.waiting):
        release.end(AttemptOutcome.RESET)
    holds_until = taken_at + hold_s / (1 - CLOCK_DRIFT)
    world.clock = holds_until - 0.01
    world.sidecar.key_ranges.reports.report_releases()
    assert not world.sent(RangesReleased)
    world.clock = holds_until + GRANT_TRANSIT_S
    world.sidecar.key_ranges.reports.report_releases()
    assert world.sent(RangesReleased)
    world.sidecar.close()


@in_event_loop
async def test_a_refused_fence_is_not_used_again_and_reported_once_the_server_has_let_go():
    world = World(GRANTS_BY_INVOCATION)
    await world.begin()
    await world.confirm()
    world.upstream.waiting[0].reply(409)
    await world.turn()
    (release,) = world.upstream.waiting
    assert release.path == "/-/release" and not world.sent(RangesReleased)
    release.reply()
    await world.turn()
    assert world.sent(RangesReleased)[-1].ranges == ((ALL, 1, ""),)
    world.clock += 2.0
    world.sidecar.key_ranges.leases._renew()
    assert not world.upstream.waiting and len(world.sent(RenewLease)) == 1
    await world.change(assignments=[Assignment(ALL, ME)])
    await world.confirm()
    assert world.upstream.waiting[0].fields["fence"] == 2
    world.sidecar.close()


@in_event_loop
async def test_a_release_is_repeated_until_it_is_answered_and_waits_for_a_grant_on_its_way():
    world = World(GRANTS_BY_INVOCATION)
    await world.begin()
    await world.grant()
    world.clock += 2.0
    world.sidecar.key_ranges.calls.wake()
    (grant,) = world.upstream.waiting
    await world.change(revocations=[Revocation(ALL, OTHER)])
    assert world.upstream.waiting == [grant]
    grant.reply()
    await world.turn()
    (release,) = world.upstream.waiting
    assert release.path == "/-/release" and not world.allows(50)
    release.end(AttemptOutcome.RESET)
    world.clock += 1.0
    await world.turn()
    world.sidecar.key_ranges.calls.wake()
    await world.let_go(ALL)
    assert world.sent(RangesReleased)[-1].ranges == ((ALL, 1, "token-2"),)
    world.sidecar.close()


@in_event_loop
async def test_grants_go_one_after_another_while_releases_wait_for_work_to_end():
    world = World(GRANTS_BY_INVOCATION)
    await world.begin()
    await world.grant()
    await world.change(revocations=[Revocation(LOW, OTHER)])
    parts = [KeyRange(first, first + 9) for first in (300, 400)]
    await world.change(assignments=[Assignment(keys, ME) for keys in parts])
    await world.confirm()
    paths = [one.path for one in world.upstream.waiting]
    assert sorted(paths) == ["/-/grant", "/-/release"]
    while any(one.path == "/-/grant" for one in world.upstream.waiting):
        next(one for one in world.upstream.waiting if one.path == "/-/grant").reply()
        await world.turn()
    assert all(world.allows(key) for key in (150, 300, 400))
    world.sidecar.close()


# --- by heartbeat


@in_event_loop
async def test_a_heartbeat_is_answered_with_all_ranges_for_three_heartbeats_at_most():
    world = World(GRANTS_BY_HEARTBEAT)
    await world.begin()
    assert await world.heartbeat() == {}  # not leased yet
    await world.confirm()
    assert await world.heartbeat() == {"holds": [[0, 199, 1, "token"]], "hold": "4500ms"}
    await world.change(revocations=[Revocation(ALL)])
    assert (await world.heartbeat(holds=[[0, 199, 1]]))["holds"] == []
    world.sidecar.close()


@in_event_loop
async def test_a_late_heartbeat_renews_nothing_and_shows_no_release():
    world = World(GRANTS_BY_HEARTBEAT)
    await world.begin()
    await world.grant()
    await world.change(revocations=[Revocation(LOW)])
    await world.heartbeat(holds=[[0, 199, 1]])
    assert await world.heartbeat(call_number=1) == {}
    assert not world.sent(RangesReleased)
    world.sidecar.close()


HELD_LOW = [[0, 99, 1]]


async def postpone(world):
    """Lets a server that holds LOW be promised HIGH, and send a heartbeat, whose answer waits."""
    await world.heartbeat()
    await world.change(assignments=[Assignment(LOW, ME), Assignment(HIGH, OTHER)])
    await world.grant()
    await world.change(revocations=[Revocation(HIGH, ME)])
    waiting = world.begin_heartbeat(holds=HELD_LOW)
    await world.turn()
    assert not waiting.done()
    return waiting


@in_event_loop
async def test_an_answer_waits_for_a_promised_range_and_goes_once_it_is_leased():
    # guards against a range without an owner until the next heartbeat of its new one
    world = World(GRANTS_BY_HEARTBEAT)
    waiting = await postpone(world)
    sent_at = world.clock
    await world.change(assignments=[Assignment(HIGH, ME, "token-3")])
    assert not waiting.done(), "it is not leased"
    world.clock += 0.5
    await world.confirm()
    assert await waiting == {"holds": [[0, 99, 1, ""], [100, 199, 3, "token-3"]], "hold": "4390ms"}
    world.clock = sent_at + 4.39 / (1 + CLOCK_DRIFT)
    assert not world.allows(150), "the server has counted since it sent the heartbeat"
    world.sidecar.close()


@pytest.mark.parametrize("event", ["time", "heartbeat", "end", "other server"])
@in_event_loop
async def test_an_answer_waits_no_longer_than_is_safe(event):
    world = World(GRANTS_BY_HEARTBEAT)
    waiting = await postpone(world)
    if event == "time":
        timer = world.sidecar.heartbeats._postponed_timer
        assert timer.when() - world.sidecar.context.loop.time() <= MAX_ANSWER_DELAY_S
        timer._run()
    elif event == "heartbeat":
        world.begin_heartbeat(holds=HELD_LOW)
    elif event == "end":
        await call(world.sidecar.heartbeats.serve, "delete", "/-/instances/i-1")
    else:
        world.sidecar.server_queue.on_server_gone()
        world.sidecar.heartbeats._alive.add("i-2")
        world.sidecar.heartbeats.on_instance_found("i-2")
        world.sidecar.key_ranges.update()
    answer = await waiting
    assert answer.get("holds") == ([[0, 99, 1, ""]] if event == "time" else None)
    world.sidecar.close()


@pytest.mark.parametrize("row", [[1, 2], ["a", 2, 3], 7])
@in_event_loop
async def test_a_heartbeat_with_malformed_rows_is_rejected(row):
    world = World(GRANTS_BY_HEARTBEAT)
    body = {"service": SERVICE, "holds": [row]}
    answer = await call(world.sidecar.heartbeats.serve, "put", "/-/instances/i-1", body)
    assert answer.status == 400
    world.sidecar.close()


# --- a server that seems to be dead


@pytest.mark.parametrize("sign", ["heartbeat", "answer"])
@pytest.mark.parametrize("silence", [False, True])
@BOTH_WAYS
@in_event_loop
async def test_the_ranges_of_a_server_that_seems_to_be_dead_are_not_leased_until_a_sign_of_life(
    way, silence, sign
):
    world = World(way)
    heartbeats, queue = world.sidecar.heartbeats, world.sidecar.server_queue
    await world.begin()
    await world.grant()
    if silence:
        world.clock += 2.5 * 1.5 + 1.1
        world.sidecar.key_ranges.reports._tick()
    else:
        for _ in range(server_suspicion.MAX_FAILURES):
            assert heartbeats.record().is_open
            queue.on_contact(False)
    assert world.sent(Register)[-1].record.is_open is False
    asked = len(world.sent(RenewLease))
    world.sidecar.key_ranges.leases._renew()
    assert len(world.sent(RenewLease)) == asked
    if sign == "heartbeat":
        await world.heartbeat()
    else:
        queue.on_contact(True)
    assert world.sent(Register)[-1].record.is_open is True
    assert world.sidecar.key_ranges.leases._ranges
    world.sidecar.close()


@BOTH_WAYS
@in_event_loop
async def test_a_server_that_is_heard_before_its_silence_was_noticed_is_leased_on_after_a_change(way):
    world = World(way)
    await world.begin()
    await world.grant()
    world.clock += 2.5 * 1.5 + 1.1  # until the next tick nothing looks at the clock
    await world.change(revocations=[Revocation(HIGH, OTHER)])
    assert world.sidecar.heartbeats.record().is_open  # as in the record of this number that was published
    await world.heartbeat(holds=[[*ALL, 1]])
    assert [held.range for held in world.sidecar.key_ranges.leases._ranges] == [LOW]
    assert world.sidecar.heartbeats.record().is_open
    world.sidecar.close()


# --- earlier servers


@pytest.mark.parametrize(
    ("answers", "reported"), [("i-2", True), ("i-1", False), ("", False), ("i-3", False)]
)
@BOTH_WAYS
@in_event_loop
async def test_ranges_of_an_earlier_server_are_reported_once_the_present_one_answers_at_its_address(
    way, answers, reported
):
    world = World(way)
    probes = []
    world.sidecar.server_queue.probe = lambda path, on_result: probes.append(on_result)
    await world.begin()
    await world.grant()
    assert not probes
    await world.heartbeat(instance="i-2")
    await world.change(revocations=[Revocation(ALL, OTHER)])
    assert not world.sent(RangesReleased) and not world.upstream.waiting and len(probes) == 1
    probes[0](answers)
    await world.turn()
    if way == GRANTS_BY_INVOCATION and reported:  # calls for i-1 may have reached i-2
        assert not world.sent(RangesReleased)
        world.upstream.waiting[0].reply()
        await world.turn()
    assert bool(world.sent(RangesReleased)) == reported
    assert all(report.owner == ME for report in world.sent(RangesReleased))
    world.sidecar.close()


@in_event_loop
async def test_the_ranges_of_a_server_known_to_have_ended_are_reported_as_soon_as_they_are_revoked():
    # guards against a restart of all servers in which each range waits for the next regular report
    world = World(GRANTS_BY_HEARTBEAT)
    world.sidecar.server_queue.probe = lambda path, on_result: on_result("i-2")
    await world.begin()
    await world.grant()
    await world.heartbeat(instance="i-2")
    world.sidecar.key_ranges.update()
    assert not world.sent(RangesReleased)
    await world.change(revocations=[Revocation(ALL, OTHER)])
    (report,) = world.sent(RangesReleased)
    assert report.owner == ME and report.ranges == ((ALL, 1, ""),)
    await world.change(assignments=[Assignment(KeyRange(200, 299), OTHER)])
    assert len(world.sent(RangesReleased)) == 1, "the regular reports repeat it"


@in_event_loop
async def test_a_call_taken_by_the_next_server_counts_after_the_way_of_granting_has_changed():
    world = World(GRANTS_BY_INVOCATION)
    probes = []
    world.sidecar.server_queue.probe = lambda path, on_result: probes.append(on_result)
    await world.begin()
    await world.confirm()
    world.upstream.waiting[0].reply()  # by i-2, which has just started at the address
    await world.turn()
    cluster = {"name": SERVICE, "revision": "r2", "sharded": True, "grants": GRANTS_BY_HEARTBEAT}
    change = json.dumps({"upserts": {"cluster_list": [cluster]}}).encode()
    world.sidecar.control.apply_items(configuration.parse_change(change).ok)
    world.clock += 0.2
    await world.heartbeat(instance="i-2", holds=[[0, 199, 1]])
    await world.change(revocations=[Revocation(ALL, OTHER)])
    probes[-1]("i-2")
    await world.turn()
    assert not world.sent(RangesReleased)
    await world.heartbeat(instance="i-2", holds=[[0, 199, 1]])
    await world.heartbeat(instance="i-2")
    assert [report.owner for report in world.sent(RangesReleased)] == [ME]
    world.sidecar.close()


@pytest.mark.parametrize("assigned_to", ["i-1", "i-2"])
@BOTH_WAYS
@in_event_loop
async def test_a_server_that_a_late_heartbeat_has_replaced_is_used_again_once_it_answers(way, assigned_to):
    world = World(way)
    probes = []
    world.sidecar.server_queue.probe = lambda path, on_result: probes.append(on_result)
    await world.heartbeat(instance="i-2")
    await world.heartbeat(instance="i-1", call_number=1)  # late, of the server before
    await world.change(assignments=[Assignment(ALL, Owner("n1", assigned_to), "token")])
    world.clock += PROBE_INTERVAL_S
    await world.heartbeat(instance="i-2")
    world.sidecar.key_ranges._on_tick()
    assert world.sidecar.server_queue.instance == "i-1"
    probes[-1]("i-2")
    await world.heartbeat(instance="i-2")
    assert world.sidecar.server_queue.instance == "i-2"
    if assigned_to == "i-2":
        await world.confirm()
        assert await world.heartbeat(instance="i-2") or world.upstream.waiting
    world.sidecar.close()


@pytest.mark.parametrize("answers", ["", "i-1", "i-9"])
@in_event_loop
async def test_a_server_stays_if_it_or_one_that_is_not_known_answers(answers):
    world = World(GRANTS_BY_HEARTBEAT)
    probes = []
    world.sidecar.server_queue.probe = lambda path, on_result: probes.append(on_result)
    await world.heartbeat(instance="i-2")
    await world.heartbeat(instance="i-1")
    await world.heartbeat(instance="i-2")  # late
    world.clock += PROBE_INTERVAL_S
    world.sidecar.key_ranges._on_tick()
    probes[-1](answers)
    assert world.sidecar.server_queue.instance == "i-1"
    world.sidecar.close()


# --- changes of the table of key ranges


@in_event_loop
async def test_a_change_of_key_ranges_alone_leaves_the_routes_as_they_are(monkeypatch):
    world = World(GRANTS_BY_HEARTBEAT)
    before = world.sidecar.control.table
    monkeypatch.setattr(configuration, "build_table", None)
    await world.begin()
    table = world.sidecar.control.table
    assert table.shards[SERVICE] == world.table
    assert table.clusters is before.clusters and table.routes_by_host is before.routes_by_host
    world.sidecar.close()
