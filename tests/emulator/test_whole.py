"""The fleet on fake time: it loses nothing, plays the same day twice, and shows what a worse design costs."""

from collections import Counter
from dataclasses import replace

import pytest

from dunefield import Balancer, ProbeServer, RequestArrived, SendAttempt, SubscribeServerList
from emulator.day import MS, Day
from emulator.fleet import Fleet, play
from emulator.worth import SECOND

SMALL = Day(sidecars=24, servers=16, seconds=6.0, burst=(0.0, 0.0, 1.0), load=0.6)


class Blind(Balancer):
    """Sends each call to a server drawn from its own by chance."""

    def __init__(self, settings, seed, now):
        super().__init__(settings, seed, now)
        self.selection.select_from_subset = self.drawn

    def drawn(self, now, call):
        size = max(1, self.server_subset.size_for(call, 0))
        server = self.server_subset.preference_order[int(self.state.random() * size)]
        return (server, False, call.expected_ns) if self.health.admits(now, server) and server.steps else None


def test_every_request_and_every_attempt_has_one_end():
    fleet = Fleet(SMALL, 3)
    ends: Counter[int] = Counter()
    fleet.on_try = lambda tried, end: ends.update([id(tried.request)])
    fleet.plan()
    fleet.run(SMALL.seconds + 2.0)
    assert len(fleet.asked) > 500 and all(request.end for request in fleet.asked)
    assert not fleet._tries and not fleet._sent
    assert sum(ends.values()) == fleet.spent.tries
    for machine in fleet.machines.values():
        machine.node.check()
    for sidecar in fleet.sidecars:
        assert not sidecar.state.calls and not sidecar.state.attempts


def test_one_seed_is_one_day_and_requests_do_not_hang_on_the_design():
    first, again, blind = (play(SMALL, 5, module) for module in (Balancer, Balancer, Blind))
    assert first.verdict() == again.verdict() and first.clock.played == again.clock.played
    assert [(r.at, r.cls, r.tenant, r.worth) for r in first.asked] == [
        (r.at, r.cls, r.tenant, r.worth) for r in blind.asked
    ]
    assert first.verdict().figure != blind.verdict().figure


def test_a_design_that_does_not_look_serves_less():
    assert play(SMALL, 7).verdict().whole > play(SMALL, 7, Blind).verdict().whole + 0.02


@pytest.mark.parametrize("fault", ["silent", "errors", "full"])
def test_bad_servers_cost_something_and_not_everything(fault):
    def break_two(fleet):
        for machine in list(fleet.machines.values())[:2]:
            machine.fault = fault

    good, bad = play(SMALL, 9).verdict(), play(SMALL, 9, troubles=[break_two]).verdict()
    assert good.whole - 0.3 < bad.whole < good.whole


def test_a_hall_that_is_cut_off_and_back_again():
    def cut(fleet):
        fleet.clock.at(3 * SECOND, lambda: fleet.network.part("hall-0"))
        fleet.clock.at(4 * SECOND, lambda: fleet.network.join("hall-0"))

    fleet = play(SMALL, 11, troubles=[cut])
    sent = Counter(request.end for request in fleet.asked if 3 * SECOND <= request.at < 4 * SECOND)
    after = Counter(request.end for request in fleet.asked if request.at >= int(5.5 * SECOND))
    assert sent["served"] < 0.93 * sent.total()
    assert after["served"] > sent["served"] / sent.total() * after.total()


def test_clients_ask_again_when_their_time_has_run_out():
    class Mute(Balancer):
        def handle(self, now, event):
            return [] if isinstance(event, RequestArrived) else super().handle(now, event)

    fleet = play(SMALL, 2, Mute)
    assert {request.end for request in fleet.asked} == {"failed"}
    # 0.55 of the deadline for the first try, the rest for the second, nothing left for a third
    assert fleet.spent.tries == pytest.approx(2 * len(fleet.asked) * 6 / 5, rel=0.1)


def test_what_is_counted_is_what_was_done():
    done: Counter[type] = Counter()
    pairs = set()

    class Counted(Balancer):
        def handle(self, now, event):
            acts = super().handle(now, event)
            done.update(type(act) for act in acts)
            pairs.update((id(self), act.server) for act in acts if isinstance(act, SendAttempt))
            return acts

    def still(fleet):
        for machine in list(fleet.machines.values())[:3]:
            machine.fault = "silent"

    spent = play(SMALL, 4, Counted, troubles=[still]).spent
    assert spent.attempts == done[SendAttempt] and spent.probes == done[ProbeServer] > 0
    assert spent.lists == done[SubscribeServerList]
    assert 0.7 * len(pairs) < spent.handshakes < 0.6 * spent.attempts
    short = play(replace(SMALL, idle_ns=SECOND // 4), 4, troubles=[still]).spent
    assert short.handshakes > 1.5 * spent.handshakes  # what is idle for long is retired


def test_a_sidecar_that_sends_for_a_call_that_has_ended_is_found_out():
    class Wrong(Balancer):
        def handle(self, now, event):
            done = super().handle(now, event)
            return [*done, SendAttempt("never", "s", now + MS)] if now > 2 * SECOND else done

    with pytest.raises(AssertionError, match="which has ended"):
        play(SMALL, 1, Wrong)
