"""The rules, seen from outside: random legal histories, every repeat class, group and report mode."""

import random

import pytest
from build import MS, SECOND, settings
from hypothesis import given
from hypothesis import strategies as st
from world import World

from dunefield import Balancer, FailRequest, RefuseRequest, SendAttempt, Settings
from dunefield.promises import Promises
from dunefield.ring import Ring
from emulator.watch import Broken

MODES = {
    "blind": {"reporting": {"how": "none"}},
    "probed": {"reporting": {"how": "probe"}, "limits": {"mayProbe": True}},
    "copies": {"reporting": {"how": "answers"}, "limits": {"secondCopies": True}},
    "priced": {"prices": {"connection": 0.05, "handshake": 0.05}, "discovery": "subscribe"},
}


def site(mode: str, group: str) -> Settings:
    classes = [
        {
            "name": n,
            "onTimeNs": 400 * MS,
            "hardLimitNs": SECOND,
            "repeat": n,
            "credit": 1.0 + i,
            "lateWorth": 0.3 * (i % 2),
            "group": group,
            "windowNs": 500 * MS,
        }
        for i, n in enumerate(["free", "single_shot", "guarded"])
    ]
    return settings(classes=classes, **MODES[mode])


@given(st.sampled_from(sorted(MODES)), st.sampled_from(["all", "zone", "cell"]), st.integers(0, 2**32))
def test_promises_hold(mode, group, seed):
    world = World(Balancer, site(mode, group), seed)
    for _ in range(120):
        world.step()
    world.pass_time(3 * SECOND)


@given(st.sampled_from(sorted(MODES)), st.integers(0, 2**32))
def test_same_events_same_actions(mode, seed):
    logs = []
    for _ in range(2):
        world = World(Balancer, site(mode, "zone"), seed)
        for _ in range(60):
            world.step()
        logs.append(world.log)
    assert logs[0] == logs[1]


# --- each check can fail: the module broken by hand -------------------------------------------------


def never_ends(self, call, hold_off):
    self._book.drop(call.request_id)


def ends_twice(self, call, hold_off):
    self._book.drop(call.request_id)
    self._book.acts += [FailRequest(call.request_id), FailRequest(call.request_id)]


def always_refuses(self, call, hold_off):
    self._book.drop(call.request_id)
    self._book.acts.append(RefuseRequest(call.request_id, 0))


def sends_past_the_deadline(self, now, call, server, trial):
    done = SEND(self, now, call, server, trial)
    if done:
        self._book.acts[-1] = SendAttempt(call.request_id, server.name, call.deadline + SECOND)
    return done


def goes_anywhere(self, now, call, server):
    return True


def keeps_drained(self, now, entry):
    ENTER(self, now, entry._replace(lifecycle="up"))


SEND, ENTER = Promises.send, Ring.enter
BREAKS = [
    (Promises, "end", never_ends, "no final answer"),
    (Promises, "end", ends_twice, "second final answer"),
    (Promises, "end", always_refuses, "untrue"),
    (Promises, "send", sends_past_the_deadline, "outlive"),
    (Promises, "may_go", goes_anywhere, "may run twice|outside its group|more attempts|after the end"),
    (Ring, "enter", keeps_drained, "draining, gone or unlisted"),
]


@pytest.mark.parametrize(("part", "name", "broken", "message"), BREAKS, ids=[b[2].__name__ for b in BREAKS])
def test_a_broken_module_is_caught(monkeypatch, part, name, broken, message):
    monkeypatch.setattr(part, name, broken)
    picker = random.Random(1)
    with pytest.raises(Broken, match=message):
        for seed in range(60):
            mode, group = picker.choice(["blind", "priced"]), picker.choice(["zone", "cell"])
            world = World(Balancer, site(mode, group), seed)
            for _ in range(120):
                world.step()
            world.pass_time(3 * SECOND)
