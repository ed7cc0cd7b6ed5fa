"""Following the server list: asking for it, and acting on what it says."""

from build import SECOND, balancer, fleet, only

from dunefield import ServerListUpdate, StartTimer, SubscribeServerList, TimerFired


def test_saved_list_leads_to_a_subscription():
    b = balancer(servers=0, discovery="subscribe")
    wait = only(b.handle(0, ServerListUpdate("SAVED", fleet(3).entries)), StartTimer)
    assert wait, "no timer, so the list would never be asked for"
    assert only(b.handle(wait[0].delay_ns, TimerFired(wait[0].tag)), SubscribeServerList)


def test_unanswered_subscription_is_repeated_in_time():
    b = balancer(servers=0, discovery="subscribe")
    wait = only(b.handle(0, ServerListUpdate("SAVED", fleet(3).entries)), StartTimer)[0]
    again = only(b.handle(wait.delay_ns, TimerFired(wait.tag)), StartTimer)[0]
    assert again.delay_ns < 10 * SECOND
    assert only(b.handle(wait.delay_ns + again.delay_ns, TimerFired(again.tag)), SubscribeServerList)


def test_failed_calls_wait_longer_each_time():
    b = balancer(servers=0, discovery="subscribe")
    b.handle(0, ServerListUpdate("SAVED", fleet(3).entries))
    pauses = []
    for _ in range(200):
        pauses.append(only(b.handle(0, ServerListUpdate("FAILED")), StartTimer)[-1].delay_ns)
    assert max(pauses) <= 7.5 * SECOND + 1  # a list may be 10 s old
    assert sum(pauses[100:]) / 100 > 3 * SECOND
