"""The rules of retries and responses in random valid histories: every retry class, scope and report mode."""

import random

import pytest
from build import MS, SECOND, settings
from hypothesis import given
from hypothesis import strategies as st
from world import World

from dunefield import Balancer, FailRequest, RefuseRequest, SendAttempt, Settings
from dunefield.attempt_rules import AttemptRules
from dunefield.server_subset import ServerSubset
from emulator.watch import Broken

MODES = {
    "blind": {"reporting": {"how": "none"}},
    "probed": {"reporting": {"how": "probe"}, "limits": {"mayProbe": True}},
    "copies": {"reporting": {"how": "answers"}, "limits": {"secondCopies": True}},
    "priced": {"prices": {"connection": 0.05, "handshake": 0.05}, "discovery": "subscribe"},
}


def make_settings(mode: str, scope: str) -> Settings:
    classes = [
        {
            "name": n,
            "onTimeNs": 400 * MS,
            "hardLimitNs": SECOND,
            "repeat": n,
            "credit": 1.0 + i,
            "lateWorth": 0.3 * (i % 2),
            "group": scope,
            "windowNs": 500 * MS,
        }
        for i, n in enumerate(["free", "single_shot", "guarded"])
    ]
    return settings(classes=classes, **MODES[mode])


@given(st.sampled_from(sorted(MODES)), st.sampled_from(["all", "zone", "cell"]), st.integers(0, 2**32))
def test_the_rules_hold(mode, scope, seed):
    world = World(Balancer, make_settings(mode, scope), seed)
    for _ in range(120):
        world.step()
    world.pass_time(3 * SECOND)


@given(st.sampled_from(sorted(MODES)), st.integers(0, 2**32))
def test_same_events_same_actions(mode, seed):
    logs = []
    for _ in range(2):
        world = World(Balancer, make_settings(mode, "zone"), seed)
        for _ in range(60):
            world.step()
        logs.append(world.log)
    assert logs[0] == logs[1]


# --- each check can fail: the balancer broken on purpose -------------------------------------------------


def never_responds(self, call, retry_after_ns):
    self._state.drop(call.request_id)


def responds_twice(self, call, retry_after_ns):
    self._state.drop(call.request_id)
    self._state.actions += [FailRequest(call.request_id), FailRequest(call.request_id)]


def always_refuses(self, call, retry_after_ns):
    self._state.drop(call.request_id)
    self._state.actions.append(RefuseRequest(call.request_id, 0))


def sends_past_the_deadline(self, now, call, server, trial):
    done = ORIGINAL_SEND(self, now, call, server, trial)
    if done:
        self._state.actions[-1] = SendAttempt(call.request_id, server.name, call.deadline + SECOND)
    return done


def goes_anywhere(self, now, call, server):
    return True


def keeps_draining_servers(self, now, entry):
    ORIGINAL_UPDATE(self, now, entry._replace(lifecycle="up"))


ORIGINAL_SEND, ORIGINAL_UPDATE = AttemptRules.send, ServerSubset.update_server
FAULTS = [
    (AttemptRules, "finish", never_responds, "no final answer"),
    (AttemptRules, "finish", responds_twice, "second final answer"),
    (AttemptRules, "finish", always_refuses, "untrue"),
    (AttemptRules, "send", sends_past_the_deadline, "outlive"),
    (AttemptRules, "may_send", goes_anywhere, "may run twice|outside its group|more attempts|after the end"),
    (ServerSubset, "update_server", keeps_draining_servers, "draining, gone or unlisted"),
]


@pytest.mark.parametrize(("part", "name", "broken", "message"), FAULTS, ids=[b[2].__name__ for b in FAULTS])
def test_a_broken_balancer_is_caught(monkeypatch, part, name, broken, message):
    monkeypatch.setattr(part, name, broken)
    picker = random.Random(1)
    with pytest.raises(Broken, match=message):
        for seed in range(60):
            mode, scope = picker.choice(["blind", "priced"]), picker.choice(["zone", "cell"])
            world = World(Balancer, make_settings(mode, scope), seed)
            for _ in range(120):
                world.step()
            world.pass_time(3 * SECOND)
