"""Bodies in pieces: what is on its way to one link is bounded, whoever sends, and small bodies come first."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from mesh.proxy.chunked_transfer import LEAST_WINDOW, MAX_CHUNK_BYTES, STUCK_S, Intake

NARROW = 2.65 * 125_000  # bytes a second


@given(st.lists(st.integers(1, 400_000), min_size=1, max_size=8), st.randoms(use_true_random=False))
def test_all_bodies_come_whole_and_never_more_than_a_window_is_on_its_way(sizes, chance):
    intake, sent, allowed = Intake(NARROW), [0] * len(sizes), [0] * len(sizes)
    window = max(LEAST_WINDOW, int(NARROW * 0.05))
    for key, size in enumerate(sizes):
        intake.add(0.0, key, size)
    whole = set()
    for step in range(100_000):
        for key, upto in intake.grants(step * 1e-4).items():
            assert allowed[key] < upto <= sizes[key] and upto - allowed[key] <= window + MAX_CHUNK_BYTES
            allowed[key] = upto
        assert sum(allowed) - sum(sent) < window + MAX_CHUNK_BYTES
        moving = [key for key in range(len(sizes)) if allowed[key] > sent[key]]
        if not moving:
            break
        key = chance.choice(moving)
        piece = min(MAX_CHUNK_BYTES, allowed[key] - sent[key])
        sent[key] += piece
        if intake.got(step * 1e-4, key, piece):
            whole.add(key)
            intake.drop(key)
    assert whole == set(range(len(sizes))) and len(intake) == 0


def test_the_one_with_the_least_left_comes_first():
    intake = Intake(NARROW)
    intake.add(0.0, "large", 300_000)
    intake.add(0.0, "small", 20_000)
    assert intake.grants(0.0) == {"small": 20_000}  # one window
    assert intake.wait(20_000) < intake.wait(300_000)


def test_a_sender_that_stands_still_holds_up_no_other():
    intake = Intake(NARROW)
    intake.add(0.0, "frozen", 20_000)
    assert intake.grants(0.0) == {"frozen": 20_000}
    intake.add(0.1, "other", 30_000)
    assert intake.grants(0.1) == {}  # the window is full
    assert intake.grants(STUCK_S + 0.01) == {"other": 30_000}
    assert not intake.got(STUCK_S + 0.02, "frozen", 16_384)  # it may go on where it stopped
    assert intake.got(STUCK_S + 0.03, "frozen", 3_616)


def test_a_wide_link_takes_bodies_with_their_requests():
    assert Intake(1000 * 125_000).inline_limit > 360_000 > Intake(NARROW).inline_limit
    assert not Intake(NARROW).got(0.0, "unknown", 5)


def test_on_a_link_that_is_full_the_small_ones_are_in_time():
    intake, now, began, took = Intake(NARROW), 0.0, {}, {}
    for number in range(200):  # a tenth more than the link carries
        size = 300_000 if number % 10 == 0 else 33_600
        now = max(now, number * 0.166)
        began[number] = now
        intake.add(now, number, size)
        left = 0.166 * NARROW
        while left > 0 and (grants := intake.grants(now)):
            for key, upto in grants.items():
                more = upto - intake._loads[key].got
                left -= more
                now += more / NARROW
                if intake.got(now, key, more):
                    took[key] = now - began[key]
                    intake.drop(key)
    small = sorted(time for key, time in took.items() if key % 10)
    assert len(small) > 170 and small[int(len(small) * 0.9)] < 0.6
