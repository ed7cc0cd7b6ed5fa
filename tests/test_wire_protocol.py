"""The wire protocol: every event reaches the balancer, and every action is written."""

import io
import json

import pytest

from dunefield import (
    AttemptFinished,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    FailRequest,
    FetchServerList,
    LogMessage,
    PeerMessage,
    ProbeResult,
    ProbeServer,
    RefuseRequest,
    RequestArrived,
    ResponseStarted,
    SendAttempt,
    SendPeerMessage,
    ServerEntry,
    ServerListUpdate,
    Settings,
    SettingsError,
    StartTimer,
    SubscribeServerList,
    TimerFired,
    adapter,
)

ENV = {"classes": [{"hardLimitNs": 1_000_000_000}]}
OPEN = f"open_instance who=0 prng=7 env={json.dumps(ENV)}"
SERVER = "server server=a:1 hall=2 model=3 bay=4 lifecycle=draining heft=1.5 startedAtNs=600 odd=1"


class Recorder:
    """Replaces Balancer: records events and returns the given actions."""

    events: list = []
    actions: list = []

    def __init__(self, settings, seed, now):
        Recorder.made = (settings, seed, now)

    def handle(self, now, event):
        Recorder.events.append((now, event))
        return Recorder.actions


@pytest.fixture
def run_lines(monkeypatch):
    monkeypatch.setattr(adapter, "Balancer", Recorder)
    Recorder.events, Recorder.actions = [], []

    def run(*lines, at=5):
        out = io.StringIO()
        text = "\n".join([f"clock wallNs={at}", OPEN, *lines, "eob"]) + "\n"
        assert adapter.Host(io.StringIO(text), out).run() == 0
        return out.getvalue().splitlines()

    return run


@pytest.mark.parametrize(
    ("line", "event"),
    [
        (
            "accept who=0 tid=aa costNs=12 owner=1 ttlNs=240 type=2 object=k:1 bitmap=7 odd=1",
            RequestArrived("aa", 2, 240, 12, 1, "k:1", True, True),
        ),
        ("accept who=0 tid=aa costNs=12 ttlNs=240 bitmap=0", RequestArrived("aa", 0, 240)),
        ("begun who=0 tid=aa server=a:1 go=1 lagNs=9", ResponseStarted("aa", "a:1", 1, 9)),
        ("begun who=0 tid=aa", ResponseStarted("aa")),
        (
            "response who=0 tid=aa how=100 lagNs=18 server=a:1 go=1 closed=1 usage=queue:3,util:0.62,x:y",
            AttemptFinished("aa", 100, 18, "a:1", 1, True, {"queue": 3.0, "util": 0.62}),
        ),
        ("response who=0 tid=aa how=303 server=a:1", AttemptFinished("aa", 303, 0, "a:1", 0, False, {})),
        ("hangup who=0 tid=aa", ClientDisconnected("aa")),
        ("alarm who=0 tag=77", TimerFired(77)),
        (
            "echo who=0 lagNs=4 how=100 server=a:1 usage=inflight:2",
            ProbeResult("a:1", 100, 4, {"inflight": 2.0}),
        ),
        ("heard who=0 from=2 blob=6869", PeerMessage(2, b"hi")),
        ("heard who=0 from=2 blob=-", PeerMessage(2, b"")),
        ("directory_update who=0 scope=FAILED gen=3", ServerListUpdate("FAILED", (), 3)),
    ],
)
def test_events_are_read(run_lines, line, event):
    assert run_lines(line) == ["next"]
    assert Recorder.events == [(5, event)]


@pytest.mark.parametrize("scope", ["INCREMENTAL", "FULL", "SAVED"])
def test_server_lists_are_read(run_lines, scope):
    run_lines(
        "roster slot=3 nodesList=2",
        SERVER,
        "server server=b:1",
        f"directory_update who=0 scope={scope} gen=41 slot=3",
    )
    entries = (ServerEntry("a:1", 2, 3, 4, "draining", 1.5, 600), ServerEntry("b:1"))
    assert Recorder.events == [(5, ServerListUpdate(scope, entries, 41))]


def test_a_new_roster_replaces_one_in_the_same_slot(run_lines):
    run_lines(
        "roster slot=0 nodesList=1",
        "server server=a:1",
        "directory_update who=0 scope=FULL slot=0",
        "roster slot=0 nodesList=1",
        "server server=b:1",
        "directory_update who=0 scope=FULL slot=0",
    )
    assert [event.entries[0].server for _, event in Recorder.events] == ["a:1", "b:1"]


def test_seed_and_clock_are_read(run_lines):
    run_lines(at=9)
    assert Recorder.made[1:] == (7, 9)


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (SendAttempt("aa", "a:1", 9), "submit_to who=0 tid=aa server=a:1 abandonAtNs=9"),
        (RefuseRequest("aa", 5), "push_back who=0 tid=aa holdOffNs=5"),
        (FailRequest("aa"), "finish_error who=0 tid=aa"),
        (CancelAttempt("aa", 1), "retract who=0 tid=aa go=1"),
        (SubscribeServerList(), "subscribe who=0 want=1"),
        (SubscribeServerList(False), "subscribe who=0 want=0"),
        (FetchServerList(), "fetch who=0"),
        (ProbeServer("a:1"), "touch who=0 server=a:1"),
        (CloseIdleConnections("a:1"), "hang_up who=0 server=a:1"),
        (SendPeerMessage(-1, b"hi"), "signal who=0 to=-1 blob=6869"),
        (SendPeerMessage(2, b""), "signal who=0 to=2 blob=-"),
        (LogMessage("two\nservers"), "note_down who=0 line=two servers"),
        (StartTimer(5, 7), "defer who=0 inNs=5 tag=7"),
    ],
)
def test_actions_are_written(run_lines, action, line):
    Recorder.actions = [action]
    assert run_lines("alarm who=0 tag=1") == [line, "next"]


def test_an_exception_in_the_balancer_is_written_as_give_in(run_lines, capsys):
    Recorder.actions = None  # not a list: stands for any bug in the balancer
    out = run_lines("alarm who=0 tag=1")
    assert out[0].startswith("give_in who=0 line=TypeError") and out[1:] == ["next"]
    assert "Traceback" in capsys.readouterr().err


SETTINGS = {
    "classes": [
        {
            "name": "c",
            "onTimeNs": 4,
            "hardLimitNs": 9,
            "credit": 3.0,
            "lateWorth": 0.1,
            "repeat": "guarded",
            "group": "zone",
            "windowNs": 6,
            "stream": True,
            "aimStretch": 2.0,
        }
    ],
    "clients": {"marksRetry": True},
    "discovery": "subscribe",
    "failureDomains": ["z"],
    "zone": 0,
    "familyInfo": {"warmKeys": True, "passesDeadline": True},
    "workload": "mesh",
    "tier": 1,
    "layers": ["a", "b"],
    "valueBy": "work",
    "weights": "rough",
    "index": 3,
    "replicasOfMe": 9,
    "goal": {"whole": 0.7, "ninesPart": 0.1},
    "kinds": ["k"],
    "overShareWorth": 0.2,
    "periodNs": 5,
    "reporting": {"how": "probe", "columns": ["queue"]},
    "prices": {"waste": 0.1},
    "projects": [{"name": "p", "share": 0.5, "allowancePerS": 7.0}],
    "invariants": {
        "coldFrom": 0.2,
        "coldNs": 3,
        "drainGraceNs": 4,
        "fallMultiple": 2.5,
        "fallNs": 6,
        "graceToAnswerNs": 7,
        "mustAskInNs": 2_000_000_000,
    },
    "limits": {
        "cancel": True,
        "connIdleNs": 1,
        "connectTimeoutNs": 2,
        "cpuUsPerRequest": 10.0,
        "cpuUsPerS": 8000,
        "maxAttempts": 5,
        "maxRetryAfterNs": 6,
        "mayProbe": True,
        "openCap": 7,
        "peers": True,
        "retryAfter": True,
        "secondCopies": True,
        "streamsPerConn": 8,
    },
    "later": {"key": 1},
}


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("classes.0.name", "c"),
        ("classes.0.target_ns", 4),
        ("classes.0.deadline_ns", 9),
        ("classes.0.value", 3.0),
        ("classes.0.late_value", 0.1),
        ("classes.0.retry_safety", "guarded"),
        ("classes.0.retry_scope", "zone"),
        ("classes.0.retry_window_ns", 6),
        ("classes.0.stream", True),
        ("classes.0.target_work_factor", 2.0),
        ("clients_mark_retries", True),
        ("must_subscribe", True),
        ("zones", ("z",)),
        ("zone", 0),
        ("warm_keys", True),
        ("passes_deadline", True),
        ("workload", "mesh"),
        ("tier", 1),
        ("layers", ("a", "b")),
        ("value_by", "work"),
        ("weights", "rough"),
        ("index", 3),
        ("replicas", 9),
        ("kinds", ("k",)),
        ("goal", {"whole": 0.7, "ninesPart": 0.1}),
        ("over_share_value", 0.2),
        ("period_ns", 5),
        ("reports", "probe"),
        ("columns", ("queue",)),
        ("prices", {"waste": 0.1}),
        ("tenants.0.name", "p"),
        ("tenants.0.share", 0.5),
        ("tenants.0.allowance_per_s", 7.0),
        ("invariants.cold_start_fraction", 0.2),
        ("invariants.warm_up_ns", 3),
        ("invariants.drain_grace_ns", 4),
        ("invariants.fall_multiple", 2.5),
        ("invariants.fall_ns", 6),
        ("invariants.response_grace_ns", 7),
        ("invariants.subscribe_within_ns", 2_000_000_000),
        ("limits.cancel", True),
        ("limits.connection_idle_ns", 1),
        ("limits.connect_timeout_ns", 2),
        ("limits.cpu_us_per_request", 10.0),
        ("limits.cpu_us_per_s", 8000.0),
        ("limits.max_attempts", 5),
        ("limits.max_retry_after_ns", 6),
        ("limits.may_probe", True),
        ("limits.open_cap", 7),
        ("limits.peers", True),
        ("limits.retry_after", True),
        ("limits.hedging", True),
        ("limits.max_streams_per_connection", 8),
    ],
)
def test_settings_are_parsed(path, value):
    found = Settings.parse(SETTINGS)
    for step in path.split("."):
        found = found[int(step)] if step.isdigit() else getattr(found, step)
    assert found == value


def test_settings_have_defaults():
    made = Settings.parse(ENV)
    assert (made.value_by, made.weights, made.reports, made.columns) == ("request", "none", "none", ())
    assert (made.goal, made.layers, made.limits.max_attempts) == ({}, (), 1)
    assert made.classes[0].retry_safety == "single_shot"


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"classes": []}, "classes"),
        ({"classes": None}, "classes"),
        ({"classes": {}}, "classes"),
        ({"classes": [{"hardLimitNs": 0}]}, "hardLimitNs"),
        ({"classes": [{"hardLimitNs": "9"}]}, "hardLimitNs"),
        ({"classes": [{"hardLimitNs": float("inf")}]}, "hardLimitNs"),
        ({"classes": [3]}, "classes[0]"),
        ({"limits": {"maxAttempts": "five"}}, "limits.maxAttempts"),
        ({"goal": {"whole": True}}, "goal.whole"),
        ({"prices": {"waste": float("nan")}}, "prices.waste"),
        ({"discovery": 4}, "discovery"),
    ],
)
def test_invalid_settings_name_the_key(change, key):
    with pytest.raises(SettingsError) as caught:
        Settings.parse({**ENV, **change})
    assert key in str(caught.value)


def test_settings_must_be_an_object():
    with pytest.raises(SettingsError):
        Settings.parse([])
