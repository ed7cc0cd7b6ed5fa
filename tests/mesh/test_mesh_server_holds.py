"""What a server holds and has let go of, as the sidecar beside it may believe. Time is set by the tests."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.proxy import server_holds
from mesh.proxy.server_heartbeats import _encode_grants
from mesh.proxy.server_holds import (
    ANSWER_TRANSIT_S,
    GRANT_TRANSIT_S,
    HandoverRow,
    HeartbeatRanges,
    ServerHolds,
    TableView,
)
from mesh.state.key_leases import CLOCK_DRIFT, LeaseBook, LeaseTimes
from mesh.state.shards import (
    Assignment,
    FencedRange,
    KeyRange,
    Owner,
    ReleasedRange,
    Revocation,
    ShardTable,
    subtract,
)

ME, OTHER = Owner("n1", "i-1"), Owner("n2", "i-9")
TIMES = LeaseTimes.of_bound(10.0)
START = 1000.0
OLD = START + 100.0  # when nothing that an earlier process has told can last
ALL, LOW, HIGH = KeyRange(0, 199), KeyRange(0, 99), KeyRange(100, 199)
MAX_HOLD_S = 4.5
MAX_ANSWER_BYTES = 4096
BOTH_WAYS = pytest.mark.parametrize("by_call", [True, False])


class World:
    """A server that owns the keys from 0 to 199 under fence 1."""

    def __init__(self, by_call, now=OLD):
        self.now, self.by_call, self.calls = now, by_call, 0
        self.book = LeaseBook()
        self.holds = ServerHolds(TIMES, self.book, START)
        self.table = ShardTable("baskets").change(assignments=[Assignment(ALL, ME, "token")])
        self.owner = ME
        self.see()

    def see(self, owner=None):
        self.owner = owner or self.owner
        self.holds.update(self.owner, TableView.of(self.table, self.owner))

    def lease(self):
        for held in self.holds.ranges_to_lease():
            self.book.renew(held, self.now + TIMES.lease_s)

    def revoke(self, keys):
        self.table = self.table.change(revocations=[Revocation(keys, OTHER)])
        self.see()

    def heartbeat(self, holds=(), released=(), received_after=None):
        self.calls += 1
        said = HeartbeatRanges(self.calls, tuple(holds), tuple(released))
        self.holds.on_heartbeat(self.now, said)
        sent_at = self.now if received_after is None else received_after
        return self.holds.answer_heartbeat(self.now, sent_at, said, MAX_HOLD_S)

    def write(self, held):
        hold_ms = self.holds.hold_ms(self.now, held)
        self.holds.on_grant_written(self.now, held, hold_ms)
        return hold_ms

    def grant(self):
        """Tells the server of all its ranges, and waits until it certainly goes by it."""
        self.lease()
        if not self.by_call:
            self.heartbeat()
            self.now += ANSWER_TRANSIT_S
            return
        for shard in self.holds.grants_due(self.now):
            self.write(shard.fenced_range)
            self.holds.on_grant_taken(self.now, shard.fenced_range)

    def let_go(self, keys, handover="token-2"):
        """Lets the server say that it holds a revoked range no more."""
        if self.by_call:
            self.holds.close(FencedRange(keys, 1))
            self.holds.on_release_answered(self.now, FencedRange(keys, 1), handover)
        else:
            self.heartbeat(holds=[FencedRange(keys, 1)])
            self.heartbeat(released=[HandoverRow(keys, handover)] if handover else [])

    def allows(self, key=50):
        return self.holds.allows(self.now, key)

    def released(self, owner=ME):
        return self.holds.released(self.now).get(owner, [])


# --- grants


def test_a_grant_by_call_ends_before_its_lease_by_a_slow_clock_and_after_the_longest_way():
    world = World(by_call=True)
    world.lease()
    lease_ends_at = world.now + TIMES.lease_s
    world.now += 2.0
    hold_s = world.write(FencedRange(ALL, 1)) / 1000
    assert 0 < world.now + GRANT_TRANSIT_S + hold_s / (1 - CLOCK_DRIFT) <= lease_ends_at


def test_a_hold_by_heartbeat_ends_before_its_lease_by_a_slow_clock():
    world = World(by_call=False)
    world.lease()
    lease_ends_at = world.now + TIMES.lease_s
    world.now += 2.0
    hold_s = world.heartbeat().hold_ms / 1000
    assert 0 < world.now + hold_s / (1 - CLOCK_DRIFT) <= lease_ends_at


@BOTH_WAYS
def test_nothing_is_granted_without_a_lease(by_call):
    world = World(by_call)
    assert not world.holds.grants_due(world.now) and not world.holds.hold_ms(world.now, FencedRange(ALL, 1))
    assert world.heartbeat() is None
    world.lease()
    world.now += TIMES.lease_s
    assert not world.holds.grants_due(world.now) and not world.holds.hold_ms(world.now, FencedRange(ALL, 1))
    assert world.heartbeat() is None


def test_a_revoked_range_is_not_granted_though_its_lease_lasts():
    world = World(by_call=True)
    world.lease()
    world.revoke(LOW)
    assert not world.holds.hold_ms(world.now, FencedRange(ALL, 1))
    assert [shard.range for shard in world.holds.grants_due(world.now)] == [HIGH]
    assert [row[:2] for row in World.heartbeat(world).rows] == [HIGH]


def test_a_range_is_granted_at_once_and_each_third_of_its_hold():
    world = World(by_call=True)
    world.lease()
    held = FencedRange(ALL, 1)
    hold_s = world.write(held) / 1000
    world.holds.on_grant_taken(world.now, held)
    assert world.holds.next_grant_at(world.now) == pytest.approx(world.now + hold_s / 3)
    assert not world.holds.grants_due(world.now + hold_s / 3 - 0.01)
    assert world.holds.grants_due(world.now + hold_s / 3 + 0.01)


def test_a_range_that_a_server_refuses_is_released_before_it_is_reported_and_never_granted_again():
    world = World(by_call=True)
    world.grant()
    held = FencedRange(ALL, 1)
    world.write(held)
    world.holds.on_grant_refused(held)
    assert not world.allows() and not world.released()
    assert world.holds.releases_due(world.now) == [held]
    assert not world.holds.ranges_to_lease() and not world.holds.grants_due(world.now + 2.0)
    world.let_go(ALL, "")
    assert world.released() == [ReleasedRange(ALL, 1, "")]


def test_the_answer_to_a_heartbeat_names_all_ranges_with_handovers_that_the_server_lacks():
    world = World(by_call=False)
    world.lease()
    assert world.heartbeat().rows == ((0, 199, 1, "token"),)
    assert world.heartbeat(holds=[FencedRange(ALL, 1)]).rows == ((0, 199, 1, ""),)


def test_a_server_that_owns_nothing_is_told_to_hold_nothing_but_only_if_the_table_says_so():
    world = World(by_call=False)
    world.see(Owner("n3", "i-3"))
    assert world.heartbeat().rows == ()
    world.holds.update(world.owner, None)
    assert world.heartbeat() is None


def test_a_lease_that_is_not_confirmed_any_more_does_not_shorten_the_others():
    world = World(by_call=False)
    world.lease()
    world.table = world.table.change(assignments=[Assignment(HIGH, ME)])
    world.see()
    world.now += TIMES.lease_s - 0.5
    world.book.renew(FencedRange(HIGH, 2), world.now + TIMES.lease_s)
    answer = world.heartbeat()
    assert [row[:2] for row in answer.rows] == [HIGH] and answer.hold_ms > 4000


def test_an_answer_fits_and_what_the_server_holds_stays_in_it():
    world = World(by_call=False)
    parts = [KeyRange(first, first + 99) for first in range(10000, 65000, 200)]
    world.table = world.table.change(assignments=[Assignment(keys, ME, "t" * 16) for keys in parts])
    world.see()
    world.lease()
    held = [FencedRange(keys, 2) for keys in parts[-20:]]
    answer = world.heartbeat(holds=held)
    assert len(_encode_grants(answer)) <= MAX_ANSWER_BYTES and len(answer.rows) > 100
    assert {row[:2] for row in answer.rows} >= {keys for keys, _ in held}


# --- the gate


@BOTH_WAYS
def test_the_gate_is_open_only_while_the_server_certainly_holds_the_key(by_call):
    world = World(by_call)
    assert not world.allows()
    world.grant()
    assert world.allows(0) and world.allows(199) and not world.allows(200)
    until = world.holds._grants[FencedRange(ALL, 1)].holds_until
    fastest_s = world.holds._grants[FencedRange(ALL, 1)].hold_s / (1 + CLOCK_DRIFT)
    assert until < world.now + fastest_s
    world.now = until
    assert not world.allows()


def test_a_hold_by_heartbeat_counts_from_before_the_heartbeat_was_read():
    world = World(by_call=False)
    world.lease()
    world.heartbeat(received_after=world.now - 3.0)
    world.now += 2.0
    assert not world.allows()


def test_the_gate_opens_only_once_the_server_has_answered_or_read_the_answer():
    world = World(by_call=True)
    world.lease()
    world.write(FencedRange(ALL, 1))
    assert not world.allows()
    world = World(by_call=False)
    world.lease()
    world.heartbeat()
    assert not world.allows()
    world.now += ANSWER_TRANSIT_S
    assert world.allows()


@BOTH_WAYS
def test_the_gate_stays_open_for_the_rest_while_a_part_is_let_go_of(by_call):
    world = World(by_call)
    world.grant()
    world.revoke(LOW)
    assert world.allows(50) and world.allows(150)
    if by_call:
        world.holds.close(FencedRange(LOW, 1))
    else:
        world.heartbeat()
    assert not world.allows(50) and world.allows(150)


@BOTH_WAYS
def test_the_gate_is_closed_for_another_server_process(by_call):
    world = World(by_call)
    world.grant()
    world.see(Owner("n1", "i-2"))
    assert not world.allows()
    if by_call:  # an answer that comes late
        world.holds.on_grant_taken(world.now, FencedRange(ALL, 1))
        assert not world.allows()


@BOTH_WAYS
def test_the_gate_is_closed_for_what_the_table_says_to_be_anothers(by_call):
    world = World(by_call)
    world.grant()
    world.table = world.table.change([Revocation(LOW)]).change(assignments=[Assignment(LOW, OTHER)])
    world.see()
    assert not world.allows(50) and world.allows(150)


# --- releases


@BOTH_WAYS
def test_a_release_that_the_server_has_told_is_reported_with_its_handover(by_call):
    world = World(by_call)
    world.grant()
    world.revoke(LOW)
    assert not world.released()
    world.let_go(LOW)
    assert world.released() == [ReleasedRange(LOW, 1, "token-2")]
    world.revoke(ALL)
    assert world.released() == [ReleasedRange(LOW, 1, "token-2")]


@BOTH_WAYS
def test_a_range_that_may_be_held_is_not_reported(by_call):
    world = World(by_call)
    world.grant()
    world.revoke(LOW)
    grant = world.holds._grants[FencedRange(ALL, 1)]
    slowest_s = grant.hold_s / (1 - CLOCK_DRIFT)
    transit_s = GRANT_TRANSIT_S if by_call else 0.0
    world.now = grant.told_at + transit_s + slowest_s - 0.001
    world.holds.expire(world.now)
    assert not world.released()
    world.now += 0.002
    world.holds.expire(world.now)
    assert world.released() == [ReleasedRange(LOW, 1, "")]


@BOTH_WAYS
def test_a_young_process_does_not_report_what_an_earlier_one_may_have_told(by_call):
    world = World(by_call, now=START)
    world.revoke(LOW)
    world.now = START + TIMES.lease_s
    assert not world.released()
    world.now = START + TIMES.reassignment_delay_s
    assert world.released() == [ReleasedRange(LOW, 1, "")]


def test_a_young_process_waits_for_the_longest_lease_that_the_table_has_allowed():
    world = World(by_call=False, now=START)
    world.table = world.table.allowing_leases(6000)
    world.revoke(LOW)
    world.now = START + 6.0
    assert not world.released()
    world.now = START + LeaseTimes.of_bound(12.0).reassignment_delay_s
    assert world.released() == [ReleasedRange(LOW, 1, "")]


def test_an_answered_release_does_not_count_while_an_unanswered_grant_may_still_arrive():
    world = World(by_call=True)
    world.grant()
    held = FencedRange(ALL, 1)
    world.now += 1.0
    world.write(held)
    world.holds.on_grant_unanswered(world.now + 1.0, held)
    world.revoke(LOW)
    world.let_go(LOW)
    assert not world.released()
    world.now = world.holds._grants[held].may_hold_until
    assert world.released() == [ReleasedRange(LOW, 1, "token-2")]


def test_no_release_is_sent_while_a_grant_of_the_same_keys_is_on_its_way():
    world = World(by_call=True)
    world.lease()
    world.write(FencedRange(ALL, 1))
    world.revoke(LOW)
    assert not world.holds.releases_due(world.now)
    world.holds.on_grant_taken(world.now, FencedRange(ALL, 1))
    assert world.holds.releases_due(world.now) == [FencedRange(LOW, 1)]


def test_no_release_is_sent_while_a_grant_of_an_earlier_process_may_be_on_its_way():
    world = World(by_call=True, now=START)
    world.revoke(LOW)
    assert not world.holds.releases_due(world.now)
    world.now += server_holds.EARLIER_CALLS_S
    assert world.holds.releases_due(world.now) == [FencedRange(LOW, 1)]


def test_what_a_heartbeat_lists_as_held_is_not_released():
    world = World(by_call=False)
    world.grant()
    world.revoke(ALL)
    world.heartbeat(holds=[FencedRange(ALL, 1)])
    world.heartbeat(holds=[FencedRange(LOW, 1)], released=[HandoverRow(HIGH, "h")])
    assert world.released() == [ReleasedRange(HIGH, 1, "h")]
    world.heartbeat()
    assert world.released() == [ReleasedRange(HIGH, 1, "h"), ReleasedRange(LOW, 1, "")]


def test_a_heartbeat_that_was_sent_before_the_answer_that_left_a_range_out_shows_no_release():
    world = World(by_call=False)
    world.grant()
    world.revoke(ALL)
    world.heartbeat()  # was sent before the server was told
    assert not world.released()
    world.holds.on_heartbeat(world.now, HeartbeatRanges(world.calls))
    assert not world.released()
    world.heartbeat()
    assert world.released() == [ReleasedRange(ALL, 1, "")]


# --- earlier servers


@BOTH_WAYS
def test_another_server_process_alone_does_not_show_that_the_earlier_one_has_ended(by_call):
    world = World(by_call)
    world.grant()
    world.revoke(ALL)
    world.see(Owner("n1", "i-2"))
    assert not world.released()
    world.now += TIMES.reassignment_delay_s
    assert world.released() == [ReleasedRange(ALL, 1, "")]


def test_the_ranges_of_a_server_that_has_certainly_ended_are_released_at_once():
    world = World(by_call=False)
    world.grant()
    world.revoke(ALL)
    world.holds.on_server_ended("i-1")
    assert not world.released()  # it is the present one, so another one can't have answered
    world.see(Owner("n1", "i-2"))
    world.holds.on_server_ended("i-1")
    assert world.released() == [ReleasedRange(ALL, 1, "")]


def test_a_server_that_may_have_got_calls_for_an_earlier_one_is_asked_to_let_go_first():
    world = World(by_call=True)
    world.grant()
    world.revoke(ALL)
    world.see(Owner("n1", "i-2"))
    assert not world.holds.releases_due(world.now)
    world.holds.on_server_ended("i-1")
    assert not world.released() and world.holds.releases_due(world.now) == [FencedRange(ALL, 1)]
    world.let_go(ALL, "")
    assert world.released() == [ReleasedRange(ALL, 1, "")]


def test_an_end_does_not_free_what_calls_gave_before_the_way_of_granting_changed():
    world = World(by_call=True)
    world.grant()
    called_until = world.holds._grants[FencedRange(ALL, 1)].may_hold_by_call_until
    world.revoke(ALL)
    world.by_call = False
    world.see(Owner("n1", "i-2"))
    world.holds.on_server_ended("i-1")
    world.heartbeat([FencedRange(ALL, 1)])
    world.heartbeat([FencedRange(ALL, 1)])
    world.now = called_until - 0.01
    assert not world.released()
    world.now = called_until
    assert world.released() == [ReleasedRange(ALL, 1, "")]


def test_an_end_does_not_free_what_an_earlier_process_may_have_given_by_call():
    world = World(by_call=False, now=START)
    world.revoke(ALL)
    world.see(Owner("n1", "i-2"))
    world.holds.on_server_ended("i-1")
    world.now = START + TIMES.reassignment_delay_s - 0.01
    assert not world.released()
    world.now = START + TIMES.reassignment_delay_s
    assert world.released() == [ReleasedRange(ALL, 1, "")]


def test_after_a_restart_of_both_the_heartbeats_of_the_next_server_show_what_it_was_not_given():
    world = World(by_call=False, now=START)
    world.revoke(ALL)
    world.see(Owner("n1", "i-2"))
    world.holds.on_server_ended("i-1")
    world.heartbeat()  # a call of an earlier process may arrive after it
    world.heartbeat()
    world.now = START + server_holds.EARLIER_CALLS_S
    world.heartbeat()
    assert not world.released()
    world.heartbeat([FencedRange(LOW, 1)])
    assert world.released() == [ReleasedRange(HIGH, 1, "")]
    world.heartbeat()
    assert world.released() == [ReleasedRange(HIGH, 1, ""), ReleasedRange(LOW, 1, "")]


def test_after_a_restart_of_both_the_next_server_frees_at_once_what_it_does_not_list():
    world = World(by_call=False, now=START)
    world.see(Owner("n1", "i-2"))
    world.heartbeat()
    world.now = START + server_holds.EARLIER_CALLS_S
    world.heartbeat()
    world.revoke(ALL)
    world.holds.on_server_ended("i-1")
    assert not world.released()  # the only heartbeat since may have been sent before
    world.heartbeat()
    assert world.released() == [ReleasedRange(ALL, 1, "")]


def test_what_the_next_server_lists_is_not_what_a_third_one_holds():
    world = World(by_call=False, now=START + server_holds.EARLIER_CALLS_S)
    world.see(Owner("n1", "i-2"))
    world.heartbeat()
    world.heartbeat()
    world.see(Owner("n1", "i-3"))
    world.revoke(ALL)
    world.holds.on_server_ended("i-1")
    assert not world.released()


def test_a_heartbeat_shows_no_release_while_a_call_from_before_a_change_of_the_way_may_arrive():
    world = World(by_call=True)
    world.lease()
    world.write(FencedRange(ALL, 1))
    world.by_call = False
    world.revoke(ALL)
    world.heartbeat()
    world.heartbeat()
    assert not world.released()
    world.holds.on_grant_taken(world.now, FencedRange(ALL, 1))
    world.heartbeat([FencedRange(ALL, 1)])
    world.heartbeat()
    assert world.released() == [ReleasedRange(ALL, 1, "")]


@pytest.mark.parametrize(
    ("taken", "left"),
    [
        ([], [(0, 199)]),
        ([(0, 199)], []),
        ([(50, 60), (10, 20)], [(0, 9), (21, 49), (61, 199)]),
        ([(0, 20), (10, 40), (190, 300)], [(41, 189)]),
        ([(0, 100), (20, 30)], [(101, 199)]),
        ([(300, 400)], [(0, 199)]),
    ],
)
def test_parts_of_a_range_are_taken_away(taken, left):
    assert subtract(ALL, [KeyRange(*keys) for keys in taken]) == [KeyRange(*keys) for keys in left]


# --- all rules together

PART_KEYS = 50
PARTS = [KeyRange(first, first + PART_KEYS - 1) for first in range(0, ALL.last, PART_KEYS)]


class Server:
    """A server with a slow clock, which holds each part until a time."""

    def __init__(self):
        self.holds_until = dict.fromkeys(PARTS, 0.0)
        self.on_the_way = []  # grants by call that were given up: when they arrive, the range, and the hold
        self.let_go = []  # rows not acknowledged yet

    def take(self, counted_from, keys, hold_s):
        for part in PARTS:
            if keys.contains(part):
                until = counted_from + hold_s / (1 - CLOCK_DRIFT)
                self.holds_until[part] = max(self.holds_until[part], until)

    def receive(self, now):
        for arrives_at, keys, hold_s in self.on_the_way:
            if arrives_at <= now:
                self.take(arrives_at, keys, hold_s)
        self.on_the_way = [grant for grant in self.on_the_way if grant[0] > now]

    def release(self, keys):
        for part in PARTS:
            if keys.contains(part):
                self.holds_until[part] = 0.0

    def held(self, now):
        return [part for part in PARTS if self.holds_until[part] > now]

    def may_hold(self, now, keys):
        return any(part.overlaps(keys) for part in self.held(now)) or any(
            granted.overlaps(keys) for _, granted, _ in self.on_the_way
        )


class Play:
    """Random steps of a sidecar and its server. What was reported as released must never be held again."""

    def __init__(self, by_call):
        self.world, self.server, self.reported = World(by_call, now=START), Server(), []

    def advance(self, seconds):
        world = self.world
        world.now += seconds
        self.server.receive(world.now)
        world.holds.expire(world.now)
        self.check()

    def check(self):
        self.reported += [row.range for row in self.world.released()]
        for keys in self.reported:
            assert not self.server.may_hold(self.world.now, keys)
        for part in PARTS:
            if self.world.allows(part.first):
                assert part in self.server.held(self.world.now)

    def restart(self):
        world = self.world
        world.book = LeaseBook()
        world.holds = ServerHolds(TIMES, world.book, world.now)
        world.see()

    def revoke(self, part):
        self.world.revoke(PARTS[part])

    def call(self, arrives, answered, delay_s):
        """Grants what is due, one call after another."""
        world, server = self.world, self.server
        world.lease()
        for shard in world.holds.grants_due(world.now):
            held = shard.fenced_range
            hold_s = world.write(held) / 1000
            if not hold_s:
                continue
            if answered:
                server.take(world.now, held.range, hold_s)
                world.holds.on_grant_taken(world.now, held)
                continue
            if arrives:
                server.on_the_way.append((world.now + delay_s, held.range, hold_s))
            world.holds.on_grant_unanswered(world.now, held)
        self.check()

    def release(self, answered):
        world = self.world
        for held in world.holds.releases_due(world.now):
            world.holds.close(held)
            self.server.release(held.range)
            if answered:
                world.holds.on_release_answered(world.now, held, "h")
        self.check()

    def beat(self, answered, leased):
        world, server = self.world, self.server
        if leased:
            world.lease()
        rows = [FencedRange(part, 1) for part in server.held(world.now)]
        answer = world.heartbeat(rows, [HandoverRow(keys, "h") for keys in server.let_go])
        if not answered:
            # The gate can't tell that an answer was lost, only the server can: a call would get 421.
            for grant in world.holds._grants.values():
                grant.holds_until = 0.0
        elif answer is not None:
            told = [KeyRange(row.first, row.last) for row in answer.rows]
            server.let_go = [
                part for part in server.held(world.now) if not any(keys.contains(part) for keys in told)
            ]
            server.holds_until = dict.fromkeys(PARTS, 0.0)
            for keys in told:
                server.take(world.now, keys, answer.hold_ms / 1000)
        self.check()


flags = st.booleans()
common_steps = [
    st.tuples(st.just("advance"), st.sampled_from([0.05, 0.2, 0.5, 1.3, 4.0])),
    st.tuples(st.just("advance"), st.sampled_from([0.05, 0.2, 0.5, 1.3, 4.0])),
    st.tuples(st.just("revoke"), st.integers(0, len(PARTS) - 1)),
    st.tuples(st.just("restart")),
]
delays = st.sampled_from([0.0, GRANT_TRANSIT_S / 2, GRANT_TRANSIT_S])
steps_by_call = st.one_of(
    *common_steps,
    st.tuples(st.just("call"), flags, flags, delays),
    st.tuples(st.just("release"), flags),
)
steps_by_heartbeat = st.one_of(*common_steps, st.tuples(st.just("beat"), flags, flags))


def play(by_call, steps):
    played = Play(by_call)
    for name, *arguments in steps:
        getattr(played, name)(*arguments)


@settings(max_examples=300, deadline=None)
@given(st.lists(steps_by_call, max_size=30))
def test_what_is_reported_as_released_is_never_held_again_by_call(steps):
    play(True, steps)


@settings(max_examples=300, deadline=None)
@given(st.lists(steps_by_heartbeat, max_size=30))
def test_what_is_reported_as_released_is_never_held_again_by_heartbeat(steps):
    play(False, steps)


@settings(max_examples=300, deadline=None)
@given(st.lists(st.one_of(steps_by_call, steps_by_heartbeat), max_size=30))
def test_what_is_reported_as_released_is_never_held_again_if_the_way_of_granting_changes(steps):
    play(True, steps)
