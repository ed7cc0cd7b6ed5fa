"""Calls that wait: in order, and never past their client's time."""

from build import MS, SECOND, accept, balancer, only, outcome

from dunefield import FailRequest, RefuseRequest, SendAttempt, ServerListUpdate, StartTimer, TimerFired


def fill(b, now=0):
    """Send calls until one is held; return the sends and the id of the held one."""
    sends = []
    for i in range(200):
        done = b.handle(now, accept(f"fill-{i}"))
        if not only(done, SendAttempt):
            return sends, f"fill-{i}", only(done, StartTimer)[0]
        sends += only(done, SendAttempt)
    raise AssertionError("no budget ever filled")


def test_event_in_the_same_instant_does_not_swallow_the_tick():
    b = balancer(servers=2)
    _, held, tick = fill(b)
    now, ended = 0, []
    while now < SECOND and not ended:
        now += tick.delay_ns
        b.handle(now, accept(f"late-{now}"))  # comes just before the tick in the same batch
        done = b.handle(now, TimerFired(tick.tag))
        ended = [a for a in done if isinstance(a, RefuseRequest | FailRequest) and a.request_id == held]
    assert ended and now < SECOND


def test_arrival_order():
    b = balancer(servers=2)
    sends, held, _ = fill(b)
    b.handle(0, accept("next-1"))
    b.handle(0, accept("next-2"))
    order = []
    for send in sends:
        order += [
            a.request_id for a in only(b.handle(10 * MS, outcome(send, latency_ns=10 * MS)), SendAttempt)
        ]
    assert order[:3] == [held, "next-1", "next-2"]


def test_no_server_means_refused_in_time():
    b = balancer(servers=0)
    b.handle(0, ServerListUpdate("FULL"))
    done = b.handle(0, accept("alone"))
    now = 0
    while not any(isinstance(a, RefuseRequest) for a in done):
        tick = only(done, StartTimer)[0]
        now += tick.delay_ns
        done = b.handle(now, TimerFired(tick.tag))
    assert now < SECOND
