"""When a server is probed after a call to it timed out."""

from build import MS, SECOND, attempt_finished, balancer, of_type, request_arrived

from dunefield import AttemptOutcome, ProbeResult, ProbeServer, SendAttempt

SETTINGS = {
    "prices": {"probe": 0.08, "handshake": 0.08},
    "reporting": {"how": "probe"},
    "limits": {"mayProbe": True},
}
DEADLINE = SECOND


def served(b, now, request_id, latency_ns=20 * MS):
    """Makes one call that is answered; returns its server and the servers probed."""
    actions = b.handle(now, request_arrived(request_id))
    send = of_type(actions, SendAttempt)[0]
    b.handle(now + latency_ns, attempt_finished(send, latency_ns=latency_ns))
    return send.server, [probe.server for probe in of_type(actions, ProbeServer)]


def timed_out(b, now, request_id):
    """Makes one call, of a class that may not run twice, that times out; returns its server."""
    send = of_type(b.handle(now, request_arrived(request_id, 1)), SendAttempt)[0]
    b.handle(now + DEADLINE, attempt_finished(send, outcome=AttemptOutcome.TIMEOUT, latency_ns=DEADLINE))
    return send.server


def after_one_timeout():
    """Returns a balancer with two servers that have responded, after a call to one has just timed out."""
    b, now = balancer(servers=2, **SETTINGS), SECOND
    for i in range(8):
        served(b, now + i * 100 * MS, f"warm-{i}")
    late = timed_out(b, now + SECOND, "late")
    return b, late, now + SECOND + DEADLINE + 5 * MS


def test_a_server_is_probed_at_once_after_one_timeout_and_readmitted():
    b, late, now = after_one_timeout()
    name, probed = served(b, now, "next")
    assert name != late and probed == [late]
    b.handle(now + MS, ProbeResult(late, AttemptOutcome.OK, MS, {"inflight": 0.0, "queue": 0.0}))
    assert late in {served(b, now + (i + 1) * 50 * MS, f"then-{i}")[0] for i in range(12)}


def test_a_server_that_times_out_again_waits_longer_for_its_probe():
    """Some stalled servers still answer probes, and each readmission costs a call."""
    b, late, now = after_one_timeout()
    served(b, now, "next")
    b.handle(now + MS, ProbeResult(late, AttemptOutcome.OK, MS, {"inflight": 0.0, "queue": 0.0}))
    for i in range(40):  # until a call is sent there again and times out
        now += 50 * MS
        send = of_type(b.handle(now, request_arrived(f"again-{i}", 1)), SendAttempt)[0]
        if send.server == late:
            b.handle(
                now + DEADLINE, attempt_finished(send, outcome=AttemptOutcome.TIMEOUT, latency_ns=DEADLINE)
            )
            now += DEADLINE
            break
        b.handle(now + 20 * MS, attempt_finished(send, latency_ns=20 * MS))
    else:
        raise AssertionError("the server was never used again")
    assert served(b, now + 5 * MS, "after")[1] == []
    assert served(b, now + 700 * MS, "soon")[1] == []
    assert served(b, now + 1300 * MS, "later")[1] == [late]
