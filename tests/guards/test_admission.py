"""The table of sources, against a plain model that keeps everything and counts anew each time."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hollyport.guards.admission import Admission, Caps, Rules, networks
from hollyport.guards.options import read
from hollyport.settings.options import BadValue

WIDE = Caps(1000, 1e6, 1e6)


def rules(**changes) -> Rules:
    return Rules(**{"most": 10, "address": WIDE, "prefix": WIDE, **changes})


def come(door: Admission, address: str, now: float = 0.0) -> str:
    """Ask, and enter if admitted: "" or the reason."""
    verdict = door.ask(address, now)
    if verdict.admitted:
        door.opened(address, now)
    return verdict.reason


def test_one_address_may_hold_so_many_and_others_are_untouched():
    door = Admission(rules(address=Caps(3, 1e6, 1e6)))
    assert [come(door, "10.0.0.1") for _ in range(5)] == ["", "", "", "address full", "address full"]
    assert come(door, "10.0.0.2") == ""
    door.closed("10.0.0.1", 0.0)
    assert come(door, "10.0.0.1") == ""


def test_a_prefix_holds_its_addresses_together_in_both_families():
    door = Admission(rules(prefix=Caps(2, 1e6, 1e6)))
    assert [come(door, f"10.0.0.{n}") for n in range(3)] == ["", "", "prefix full"]
    assert [come(door, f"2001:db8:1:{n}::1") for n in range(3)] == ["", "", "prefix full"]
    assert come(door, "10.0.1.1") == "" and come(door, "2001:db8:2::1") == ""
    assert door.prefix_of("::ffff:10.0.0.9") == door.prefix_of("10.0.0.8") == "10.0.0.0/24"
    assert door.prefix_of("fe80::1%eth0") == "fe80::/48" and door.prefix_of("") == "?"


def test_a_rate_refuses_with_when_to_come_back_and_refusals_cost_no_tokens():
    door = Admission(rules(most=1000, address=Caps(1000, 2.0, 3.0)))
    assert [come(door, "10.0.0.1", 0.0) for _ in range(4)] == ["", "", "", "address rate"]
    for now in (0.1, 0.2, 0.3):
        verdict = door.ask("10.0.0.1", now)
        assert verdict.reason == "address rate" and verdict.wait_s == pytest.approx(0.5 - now)
    assert come(door, "10.0.0.1", 0.51) == "" and come(door, "10.0.0.1", 0.52) == "address rate"


def test_the_reserve_is_for_the_listed_and_for_those_served_lately():
    door = Admission(rules(reserve=4, known=networks(["10.9.0.0/16"]), known_s=60))
    assert come(door, "10.1.0.1") == ""
    door.served("10.1.0.1", 1.0)
    assert [come(door, f"10.0.{n}.1", 2.0) for n in range(8)].count("") == 5  # of ten, four are kept
    assert come(door, "10.9.1.1", 3.0) == "" and come(door, "10.1.0.1", 3.0) == ""
    assert door.ask("10.1.0.1", 62.0).reason == "full"  # it is long ago
    assert door.total == 8


def test_a_flood_from_a_known_clients_own_address_loses_the_claim():
    door = Admission(rules(most=100, reserve=50))
    come(door, "10.1.0.1")
    door.served("10.1.0.1", 0.0)
    assert door.known("10.1.0.1", 1.0)
    for _ in range(5):
        come(door, "10.1.0.1", 1.0)
    assert not door.known("10.1.0.1", 1.0)
    for _ in range(5):
        door.served("10.1.0.1", 2.0)
    assert door.known("10.1.0.1", 2.0)


def test_when_full_whoever_holds_the_most_gives_way_where_that_is_fair():
    door = Admission(rules(most=6))
    for address, count in (("10.0.0.1", 4), ("10.0.1.1", 2)):
        for _ in range(count):
            assert come(door, address) == ""
    assert door.ask("10.0.2.1", 0.0).evict == "10.0.0.1"
    assert door.ask("10.0.1.1", 0.0).evict == "10.0.0.1"  # 2 against 4: 3 and 3 are fairer
    assert door.ask("10.0.0.1", 0.0).evict == ""  # never its own
    door.closed("10.0.0.1", 0.0)
    come(door, "10.0.1.1")
    assert door.ask("10.0.1.1", 0.0).evict == ""  # 3 and 3: it would only turn about


def test_a_known_source_never_gives_way_however_much_it_holds():
    door = Admission(rules(most=8))
    for _ in range(5):
        come(door, "10.1.0.1")
        door.served("10.1.0.1", 0.0)
    for _ in range(3):
        come(door, "10.0.0.1")
    assert door.heaviest() == "10.1.0.1"
    assert door.ask("10.0.2.1", 0.0).evict == "10.0.0.1"
    assert door.ask("10.0.0.1", 0.0).evict == ""


def test_the_listed_are_never_held_to_caps():
    door = Admission(rules(address=Caps(1, 0.01, 1.0), known=networks(["10.9.0.0/16"])))
    assert [come(door, "10.9.0.1") for _ in range(10)] == [""] * 10
    assert come(door, "10.9.0.1") == "full"


def test_the_table_is_bounded_whatever_comes():
    door = Admission(rules(most=50, sources=100))
    for n in range(20_000):
        address = f"10.{n >> 16 & 255}.{n >> 8 & 255}.{n & 255}"
        if come(door, address, n / 1000) == "" and n % 3:
            door.closed(address, n / 1000)
    opened, idle = door.sizes()
    assert idle <= 100 and opened <= 2 * 50


addresses = st.sampled_from([f"10.0.{n % 3}.{n}" for n in range(8)] + ["10.9.0.1", "::1", "2001:db8::5"])
steps = st.lists(
    st.tuples(st.sampled_from(["come", "come", "come", "close", "serve"]), addresses,
              st.floats(0.0, 0.5)), max_size=120)  # fmt: skip


@settings(max_examples=150)
@given(steps, st.integers(0, 4))
def test_against_a_plain_model(moves, reserve):
    caps, wide = Caps(3, 4.0, 4.0), Caps(5, 8.0, 8.0)
    listed = networks(["10.9.0.0/16"])
    told = rules(most=8, address=caps, prefix=wide, reserve=reserve, known=listed, sources=999)
    door, now = Admission(told), 0.0
    held: list[tuple[str, bool]] = []
    tokens: dict[str, tuple[float, float]] = {}

    def left(name, cap):
        value, at = tokens.get(name, (cap.burst, now))
        return min(cap.burst, value + (now - at) * cap.rate)

    for what, address, wait in moves:
        now += wait
        prefix = door.prefix_of(address)
        if what == "serve":
            door.served(address, now)
        elif what == "close":
            mine = [i for i, (other, _) in enumerate(held) if other == address]
            if mine:
                held.pop(mine[-1])
            door.closed(address, now)
        else:
            free, known = address.startswith("10.9."), door.known(address, now)
            by_address = sum(other == address for other, _ in held)
            by_prefix = sum(door.prefix_of(other) == prefix for other, _ in held)
            capped = not free and (
                by_address >= caps.connections
                or left(address, caps) < 1
                or by_prefix >= wide.connections
                or left(prefix, wide) < 1
            )
            unknown = sum(not was for _, was in held)
            room = len(held) < 8 and (known or unknown < 8 - reserve)
            verdict = door.ask(address, now)
            assert verdict.admitted is (not capped and room), (verdict, address)
            if verdict.evict:
                strangers = {a for a, _ in held if a != address and not door.known(a, now)}
                most = max(sum(o == a for o, _ in held) for a in strangers)
                assert verdict.evict in strangers
                assert sum(o == verdict.evict for o, _ in held) == most
            if verdict.admitted:
                door.opened(address, now)
                held.append((address, known))
                for name, cap in ((address, caps), (prefix, wide)):
                    tokens[name] = (left(name, cap) - (not free), now)
        assert door.total == len(held) and door.unknown == sum(not was for _, was in held)
        assert (door.heaviest() == "") is (not held)


@pytest.mark.parametrize(
    ("table", "path"),
    [
        ({"known": ["10.0.0.1/8"]}, "known"),
        ({"reserve": 1.5}, "reserve"),
        ({"typo": 1}, "typo"),
        ({"address": {"connections": 0}}, "address.connections"),
        ({"prefix": {"per_s": "x"}}, "prefix.per_s"),
        ({"prefix_v4": 64}, "prefix_v4"),
        ({"address": {"x": 1}}, "address.x"),
    ],
)
def test_a_wrong_key_is_named(table, path):
    with pytest.raises(BadValue) as error:
        read(table)
    assert ".".join(map(str, error.value.path)) == path


def test_an_empty_table_is_the_plain_guard():
    made = read({}).rules(400)
    assert made.most == 400 and made.reserve == 100 and made.address.connections == 64
