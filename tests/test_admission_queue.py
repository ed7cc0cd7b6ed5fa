"""Queued calls are dispatched in order and end before their client times out."""

from build import MS, SECOND, attempt_finished, balancer, of_type, request_arrived

from dunefield import FailRequest, RefuseRequest, SendAttempt, ServerListUpdate, StartTimer, TimerFired


def fill(b, now=0):
    """Sends calls until one is queued; returns the attempts, the id of the queued call and its timer."""
    sends = []
    for i in range(200):
        done = b.handle(now, request_arrived(f"fill-{i}"))
        if not of_type(done, SendAttempt):
            return sends, f"fill-{i}", of_type(done, StartTimer)[0]
        sends += of_type(done, SendAttempt)
    raise AssertionError("no call was queued")


def test_an_event_at_the_same_instant_does_not_hide_the_queue_timer():
    b = balancer(servers=2)
    _, queued_id, timer = fill(b)
    now, ended = 0, []
    while now < SECOND and not ended:
        now += timer.delay_ns
        b.handle(now, request_arrived(f"late-{now}"))  # arrives just before the timer event in the same batch
        done = b.handle(now, TimerFired(timer.tag))
        ended = [a for a in done if isinstance(a, RefuseRequest | FailRequest) and a.request_id == queued_id]
    assert ended and now < SECOND


def test_queued_calls_are_sent_in_arrival_order():
    b = balancer(servers=2)
    sends, queued_id, _ = fill(b)
    b.handle(0, request_arrived("next-1"))
    b.handle(0, request_arrived("next-2"))
    order = []
    for send in sends:
        order += [
            a.request_id
            for a in of_type(b.handle(10 * MS, attempt_finished(send, latency_ns=10 * MS)), SendAttempt)
        ]
    assert order[:3] == [queued_id, "next-1", "next-2"]


def test_without_servers_a_call_is_refused_in_time():
    b = balancer(servers=0)
    b.handle(0, ServerListUpdate("FULL"))
    done = b.handle(0, request_arrived("alone"))
    now = 0
    while not any(isinstance(a, RefuseRequest) for a in done):
        timer = of_type(done, StartTimer)[0]
        now += timer.delay_ns
        done = b.handle(now, TimerFired(timer.tag))
    assert now < SECOND
