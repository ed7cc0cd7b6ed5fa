"""Valid but unusual input: no exception, and each call gets exactly one response in time."""

import io
import json
import subprocess
import sys

import pytest
from build import MS, SECOND, attempt_finished, balancer, fleet, of_type, request_arrived

from dunefield import (
    AttemptFinished,
    AttemptOutcome,
    ClientDisconnected,
    FailRequest,
    ProbeResult,
    RefuseRequest,
    RequestArrived,
    SendAttempt,
    ServerEntry,
    ServerListUpdate,
    StartTimer,
    TimerFired,
)
from dunefield.adapter import Host


def final_responses(actions):
    return [a for a in actions if isinstance(a, RefuseRequest | FailRequest)]


def run_timers(b, done, now=0, until=3 * SECOND):
    """Fires the balancer's timers; returns all final responses with their times."""
    timers, ends = [], [(now, a) for a in final_responses(done)]
    timers += [(now + d.delay_ns, d.tag) for d in of_type(done, StartTimer)]
    while timers:
        timers.sort()
        at, tag = timers.pop(0)
        if at > until:
            break
        done = b.handle(at, TimerFired(tag))
        ends += [(at, a) for a in final_responses(done)]
        timers += [(at + d.delay_ns, d.tag) for d in of_type(done, StartTimer)]
    return ends


@pytest.mark.parametrize(
    "call",
    [
        RequestArrived("x", -1, SECOND),
        RequestArrived("x", 99, SECOND),
        RequestArrived("x", 0, SECOND, tenant=-5),
        RequestArrived("x", 0, SECOND, tenant=99),
        RequestArrived("x", 0, SECOND, expected_work_ns=0),
        RequestArrived("x", 0, SECOND, key="k"),
    ],
)
def test_unusual_values_in_a_request(call):
    assert of_type(balancer().handle(0, call), SendAttempt)


@pytest.mark.parametrize("ttl", [0, -1, 1])
def test_a_call_without_time_left_is_ended_at_once(ttl):
    done = balancer().handle(0, request_arrived("x", timeout_ns=ttl))
    assert len(final_responses(done)) == 1 and not of_type(done, SendAttempt)


def test_a_zone_out_of_range():
    b = balancer(servers=0, zone=77)
    b.handle(0, ServerListUpdate("FULL", (ServerEntry("a", zone=-3), ServerEntry("b", zone=99))))
    assert of_type(b.handle(0, request_arrived("x")), SendAttempt)


@pytest.mark.parametrize("servers", [(), fleet(2).entries + fleet(2).entries])
def test_empty_and_repeated_lists(servers):
    b = balancer(servers=0)
    done = b.handle(0, ServerListUpdate("FULL", servers))
    done = b.handle(0, request_arrived("x"))
    assert len(of_type(done, SendAttempt)) == (1 if servers else 0)
    assert servers or len(run_timers(b, done)) == 1


def test_without_any_server_list_a_call_ends_in_time():
    b = balancer(servers=0)
    ends = run_timers(b, b.handle(0, request_arrived("x")))
    assert len(ends) == 1 and ends[0][0] < SECOND


def test_events_after_the_end_of_a_call():
    b = balancer(servers=1)
    send = of_type(b.handle(0, request_arrived("x")), SendAttempt)[0]
    b.handle(MS, ClientDisconnected("x"))
    assert not final_responses(b.handle(2 * MS, attempt_finished(send, AttemptOutcome.TIMEOUT)))
    assert not b.handle(3 * MS, ClientDisconnected("x"))
    b.handle(3 * MS, ServerListUpdate("FULL"))
    assert not b.handle(4 * MS, ProbeResult(send.server, AttemptOutcome.OK, 1, {"queue": 1.0}))
    assert not b.handle(4 * MS, ProbeResult("never:1", AttemptOutcome.OK, 1, {"queue": 1.0}))
    assert not b.handle(5 * MS, AttemptFinished("y", 999, 1, "never:1", 7, True))


def test_thousands_of_events_after_a_long_silence():
    b = balancer(servers=6)
    now, ends, sends = 600 * SECOND, 0, 0
    for i in range(5000):
        done = b.handle(now, request_arrived(f"x{i}"))
        sends += len(of_type(done, SendAttempt))
        ends += len(final_responses(done))
    assert sends > 0 and ends + sends + len(b.state.queued_calls) == 5000
    done = b.handle(now + SECOND, TimerFired(1))
    assert len(final_responses(done)) + len(of_type(done, SendAttempt)) == 5000 - ends - sends


def test_target_latencies_of_nanoseconds():
    b = balancer(servers=1, classes=[{"onTimeNs": 1, "hardLimitNs": 2}])
    for i in range(5):
        done = b.handle(0, request_arrived(f"x{i}", timeout_ns=2))
        assert len(final_responses(done)) + len(of_type(done, SendAttempt)) == 1


def test_crash_and_restart_in_one_batch():
    env = {"classes": [{"hardLimitNs": SECOND, "repeat": "free"}], "limits": {"maxAttempts": 2}}
    opened = f"open_instance who=0 prng=7 env={json.dumps(env)}"
    listed = ["roster slot=0 nodesList=1", "server server=a:1", "directory_update who=0 scope=SAVED slot=0"]
    lines = [
        "clock wallNs=1",
        opened,
        *listed,
        "accept who=0 tid=aa ttlNs=900000000",
        "crash_now who=0",
        opened,
        *listed,
        "accept who=0 tid=bb ttlNs=900000000",
        "response who=0 tid=aa how=100 server=a:1 go=0 closed=1",
        "eob",
    ]
    out = io.StringIO()
    assert Host(io.StringIO("\n".join(lines) + "\n"), out).run() == 0
    sent = [line for line in out.getvalue().splitlines() if line.startswith("submit_to")]
    assert [line.split()[2] for line in sent] == ["tid=aa", "tid=bb"]


def test_invalid_utf8_is_reported_with_its_line_number():
    made = subprocess.run(
        [sys.executable, "-m", "dunefield.adapter"],
        capture_output=True,
        input=b"clock wallNs=1\neob\nclock wallNs=2\neob\nclock wallNs=3\n\xff\neob\n",
    )
    assert made.returncode == 2 and made.stdout == b"next\nnext\n"
    assert made.stderr.startswith(b"line 6: ") and made.stderr.count(b"\n") == 1


def test_deeply_nested_settings_are_rejected():
    text = f"clock wallNs=1\nopen_instance who=0 prng=7 env={'[' * 100000}\neob\n"
    assert Host(io.StringIO(text), io.StringIO()).run() == 2
