"""When a server that let a call run out is asked whether it is there."""

from build import MS, SECOND, accept, balancer, only, outcome

from dunefield import AttemptOutcome, ProbeResult, ProbeServer, SendAttempt

TOLD = {
    "prices": {"probe": 0.08, "handshake": 0.08},
    "reporting": {"how": "probe"},
    "limits": {"mayProbe": True},
}
DEADLINE = SECOND


def served(b, now, request_id, lag=20 * MS):
    """One call that is answered; the server's name, and whom it made the sidecar ask."""
    acts = b.handle(now, accept(request_id))
    send = only(acts, SendAttempt)[0]
    b.handle(now + lag, outcome(send, latency_ns=lag))
    return send.server, [probe.server for probe in only(acts, ProbeServer)]


def run_out(b, now, request_id):
    """One call of a class that may not run twice, which is not answered; its server."""
    send = only(b.handle(now, accept(request_id, 1)), SendAttempt)[0]
    b.handle(now + DEADLINE, outcome(send, how=AttemptOutcome.TIMEOUT, latency_ns=DEADLINE))
    return send.server


def one_late():
    """A sidecar with two servers that have answered, one of which has just let a call run out."""
    b, now = balancer(servers=2, **TOLD), SECOND
    for i in range(8):
        served(b, now + i * 100 * MS, f"warm-{i}")
    late = run_out(b, now + SECOND, "late")
    return b, late, now + SECOND + DEADLINE + 5 * MS


def test_a_server_that_is_late_once_is_asked_at_once_and_is_back():
    b, late, now = one_late()
    name, asked = served(b, now, "next")
    assert name != late and asked == [late]
    b.handle(now + MS, ProbeResult(late, AttemptOutcome.OK, MS, {"inflight": 0.0, "queue": 0.0}))
    assert late in {served(b, now + (i + 1) * 50 * MS, f"then-{i}")[0] for i in range(12)}


def test_one_that_has_answered_nothing_since_waits_for_longer():
    """Some stand still and answer probes all the same: each time they are taken in costs a call."""
    b, late, now = one_late()
    served(b, now, "next")
    b.handle(now + MS, ProbeResult(late, AttemptOutcome.OK, MS, {"inflight": 0.0, "queue": 0.0}))
    for i in range(40):  # until a call goes there again, and runs out as well
        now += 50 * MS
        send = only(b.handle(now, accept(f"again-{i}", 1)), SendAttempt)[0]
        if send.server == late:
            b.handle(now + DEADLINE, outcome(send, how=AttemptOutcome.TIMEOUT, latency_ns=DEADLINE))
            now += DEADLINE
            break
        b.handle(now + 20 * MS, outcome(send, latency_ns=20 * MS))
    else:
        raise AssertionError("it was never used again")
    assert served(b, now + 5 * MS, "after")[1] == []
    assert served(b, now + 700 * MS, "soon")[1] == []
    assert served(b, now + 1300 * MS, "later")[1] == [late]
