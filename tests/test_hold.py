"""Calls that wait: in order, and never past their client's time."""

from build import MS, SECOND, accept, balancer, only, outcome

from dunefield import Alarm, Defer, Directory, Fail, Refuse, Submit


def fill(b, now=0):
    """Send calls until one is held; return the sends and the id of the held one."""
    sends = []
    for i in range(200):
        done = b.handle(now, accept(f"fill-{i}"))
        if not only(done, Submit):
            return sends, f"fill-{i}", only(done, Defer)[0]
        sends += only(done, Submit)
    raise AssertionError("no budget ever filled")


def test_event_in_the_same_instant_does_not_swallow_the_tick():
    b = balancer(servers=2)
    _, held, tick = fill(b)
    now, ended = 0, []
    while now < SECOND and not ended:
        now += tick.in_ns
        b.handle(now, accept(f"late-{now}"))  # comes just before the tick in the same batch
        done = b.handle(now, Alarm(tick.tag))
        ended = [a for a in done if isinstance(a, Refuse | Fail) and a.tid == held]
    assert ended and now < SECOND


def test_arrival_order():
    b = balancer(servers=2)
    sends, held, _ = fill(b)
    b.handle(0, accept("next-1"))
    b.handle(0, accept("next-2"))
    order = []
    for send in sends:
        order += [a.tid for a in only(b.handle(10 * MS, outcome(send, lag_ns=10 * MS)), Submit)]
    assert order[:3] == [held, "next-1", "next-2"]


def test_no_server_means_refused_in_time():
    b = balancer(servers=0)
    b.handle(0, Directory("FULL"))
    done = b.handle(0, accept("alone"))
    now = 0
    while not any(isinstance(a, Refuse) for a in done):
        tick = only(done, Defer)[0]
        now += tick.in_ns
        done = b.handle(now, Alarm(tick.tag))
    assert now < SECOND
