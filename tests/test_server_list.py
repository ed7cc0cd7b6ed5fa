"""Subscription to the server list."""

from build import SECOND, balancer, fleet, of_type

from dunefield import ServerListUpdate, StartTimer, SubscribeServerList, TimerFired


def test_saved_list_leads_to_a_subscription():
    b = balancer(servers=0, discovery="subscribe")
    wait = of_type(b.handle(0, ServerListUpdate("SAVED", fleet(3).entries)), StartTimer)
    assert wait, "no timer was started, so the balancer would never subscribe"
    assert of_type(b.handle(wait[0].delay_ns, TimerFired(wait[0].tag)), SubscribeServerList)


def test_an_unanswered_subscription_is_repeated():
    b = balancer(servers=0, discovery="subscribe")
    wait = of_type(b.handle(0, ServerListUpdate("SAVED", fleet(3).entries)), StartTimer)[0]
    again = of_type(b.handle(wait.delay_ns, TimerFired(wait.tag)), StartTimer)[0]
    assert again.delay_ns < 10 * SECOND
    assert of_type(b.handle(wait.delay_ns + again.delay_ns, TimerFired(again.tag)), SubscribeServerList)


def test_delays_grow_with_each_failure():
    b = balancer(servers=0, discovery="subscribe")
    b.handle(0, ServerListUpdate("SAVED", fleet(3).entries))
    pauses = []
    for _ in range(200):
        pauses.append(of_type(b.handle(0, ServerListUpdate("FAILED")), StartTimer)[-1].delay_ns)
    assert max(pauses) <= 7.5 * SECOND + 1  # a list may be 10 s old
    assert sum(pauses[100:]) / 100 > 3 * SECOND
