"""Chunked bodies: the bytes in flight on a link are bounded over all senders, and small bodies come first."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from mesh.proxy.chunked_transfer import MAX_CHUNK_BYTES, MIN_WINDOW_BYTES, STALL_TIMEOUT_S, ReceiveWindow

LINK_BYTES_PER_S = 2.65 * 125_000


@given(st.lists(st.integers(1, 400_000), min_size=1, max_size=8), st.randoms(use_true_random=False))
def test_all_bodies_complete_and_bytes_in_flight_stay_within_the_window(sizes, random):
    receive_window, sent, allowed = ReceiveWindow(LINK_BYTES_PER_S), [0] * len(sizes), [0] * len(sizes)
    window = max(MIN_WINDOW_BYTES, int(LINK_BYTES_PER_S * 0.05))
    for key, size in enumerate(sizes):
        receive_window.add(0.0, key, size)
    complete = set()
    for step in range(100_000):
        for key, end_offset in receive_window.grants(step * 1e-4).items():
            assert (
                allowed[key] < end_offset <= sizes[key]
                and end_offset - allowed[key] <= window + MAX_CHUNK_BYTES
            )
            allowed[key] = end_offset
        assert sum(allowed) - sum(sent) < window + MAX_CHUNK_BYTES
        moving = [key for key in range(len(sizes)) if allowed[key] > sent[key]]
        if not moving:
            break
        key = random.choice(moving)
        size_sent = min(MAX_CHUNK_BYTES, allowed[key] - sent[key])
        sent[key] += size_sent
        if receive_window.on_received(step * 1e-4, key, size_sent):
            complete.add(key)
            receive_window.drop(key)
    assert complete == set(range(len(sizes))) and len(receive_window) == 0


def test_the_body_with_the_fewest_remaining_bytes_comes_first():
    receive_window = ReceiveWindow(LINK_BYTES_PER_S)
    receive_window.add(0.0, "large", 300_000)
    receive_window.add(0.0, "small", 20_000)
    assert receive_window.grants(0.0) == {"small": 20_000}  # fits into the window
    assert receive_window.expected_transfer_s(20_000) < receive_window.expected_transfer_s(300_000)


def test_a_stalled_sender_does_not_block_others():
    receive_window = ReceiveWindow(LINK_BYTES_PER_S)
    receive_window.add(0.0, "frozen", 20_000)
    assert receive_window.grants(0.0) == {"frozen": 20_000}
    receive_window.add(0.1, "other", 30_000)
    assert receive_window.grants(0.1) == {}  # the window is full
    assert receive_window.grants(STALL_TIMEOUT_S + 0.01) == {"other": 30_000}
    assert not receive_window.on_received(
        STALL_TIMEOUT_S + 0.02, "frozen", 16_384
    )  # it may continue where it stopped
    assert receive_window.on_received(STALL_TIMEOUT_S + 0.03, "frozen", 3_616)


def test_on_a_fast_link_bodies_are_sent_within_their_requests():
    assert ReceiveWindow(1000 * 125_000).inline_limit > 360_000 > ReceiveWindow(LINK_BYTES_PER_S).inline_limit
    assert not ReceiveWindow(LINK_BYTES_PER_S).on_received(0.0, "unknown", 5)


def test_on_a_saturated_link_small_bodies_are_in_time():
    receive_window, now, began, took = ReceiveWindow(LINK_BYTES_PER_S), 0.0, {}, {}
    for number in range(200):  # a tenth more than the capacity of the link
        size = 300_000 if number % 10 == 0 else 33_600
        now = max(now, number * 0.166)
        began[number] = now
        receive_window.add(now, number, size)
        left = 0.166 * LINK_BYTES_PER_S
        while left > 0 and (grants := receive_window.grants(now)):
            for key, end_offset in grants.items():
                more = end_offset - receive_window._transfers[key].received
                left -= more
                now += more / LINK_BYTES_PER_S
                if receive_window.on_received(now, key, more):
                    took[key] = now - began[key]
                    receive_window.drop(key)
    small = sorted(time for key, time in took.items() if key % 10)
    assert len(small) > 170 and small[int(len(small) * 0.9)] < 0.6
