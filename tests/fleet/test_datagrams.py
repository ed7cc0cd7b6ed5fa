"""The door: what comes in is a message of this fleet, once, or is counted by its cause and dropped."""

from __future__ import annotations

import hashlib
import random

import cbor2
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from emulator.members import KEY, World, universe
from hollyport.fleet import wire
from hollyport.fleet.wire import Datagram, Kind, Refused, State, Window, decode, encode

OTHER = b"another key, 16+ bytes"


def datagram(**changed):
    base = {
        "format": 1, "fleet": "emulated", "sender": "m1", "process": 77, "incarnation": 5, "number": 1,
        "address": "m1:1", "kind": Kind.PING, "seq": 9,
    }  # fmt: skip
    return Datagram(**(base | changed))


def why(data, keys=(KEY,), fleets=("emulated",)):
    try:
        decode(data, keys, fleets)
    except Refused as error:
        return error.why
    return ""


@pytest.mark.parametrize(("data", "cause"), [
    (encode(datagram(), KEY), ""),
    (encode(datagram(), OTHER), "digest"),
    (encode(datagram(fleet="older"), KEY), "fleet"),
    (encode(datagram(format=2), KEY), "format"),
    (encode(datagram(sender=""), KEY), "schema"),
    (encode(datagram(sender="x" * 65), KEY), "schema"),
    (encode(datagram(states=(State("m2", 9, 1, 1, ""),)), KEY), "schema"),
    (encode(datagram(states=(State("m2", 0, 1, 1, "a" * 65),)), KEY), "schema"),
    (encode(datagram(incarnation=-1), KEY), "schema"),
    (encode(datagram(kind=0), KEY), "schema"),
    (b"", "short"),
    (b"x" * 16, "short"),
    (b"x" * 1201, "long"),
])  # fmt: skip
def test_what_is_taken(data, cause):
    assert why(data) == cause


def test_keys_are_changed_in_service_one_step_after_the_other():
    old, new = encode(datagram(), KEY), encode(datagram(), OTHER)
    assert why(old, (KEY, OTHER)) == why(new, (KEY, OTHER)) == why(new, (OTHER, KEY)) == ""
    assert why(old, (OTHER,)) == "digest"


def test_a_later_format_adds_fields_at_the_end_and_an_earlier_one_has_fewer():
    whole = msgspec.to_builtins(datagram(states=(State("m2", 0, 1, 1, ""),)))
    for body in ([*whole, "new", {"more": 1}], whole[:9]):
        data = cbor2.dumps(body)
        signed = hashlib.blake2b(data, digest_size=16, key=KEY).digest() + data
        assert decode(signed, (KEY,), ("emulated",)).sender == "m1"


@given(st.lists(st.integers(1, 300), max_size=200))
def test_a_window_takes_each_number_once_and_none_that_is_far_behind(numbers):
    window, taken, top = Window(), set(), 0
    for number in numbers:
        cause = window.take(number)
        assert (cause == "") == (number not in taken and number > top - 64)
        if not cause:
            taken.add(number)
            top = max(top, number)


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=1300))
def test_random_bytes_are_none(data):
    assert why(data) in ("short", "long", "digest")
    signed = hashlib.blake2b(data[:1100], digest_size=16, key=KEY).digest() + data[:1100]
    assert why(signed) in (
        "",
        "short",
        "schema",
        "format",
        "fleet",
    )  # with the key, too, nothing else comes out


def test_flips_and_replays_at_the_door_of_a_live_member_cost_counts_alone():
    made = World(universe(5), seed=1)
    seen = []
    plain = made.carry
    made.carry = lambda sender, address, data: (seen.append((address, data)), plain(sender, address, data))
    made.start(made.universe.hall)
    made.run(5)
    made.carry = plain
    target, draw = made.running["m0"], random.Random(1)
    mine = [data for address, data in seen if address == target.address]
    target.member.refused = dict.fromkeys(wire.WHYS, 0)
    count = 20_000
    for _ in range(count):
        data = bytearray(draw.choice(mine))
        if draw.random() < 0.7:
            data[draw.randrange(len(data))] ^= 1 << draw.randrange(8)
        target.member.handle(target.now(), bytes(data))
    assert sum(target.member.refused.values()) == count and made.agreed()
    assert target.member.refused["digest"] > 0.6 * count
    assert target.member.refused["doubled"] + target.member.refused["old"] > 0.2 * count


def test_a_datagram_never_goes_over_its_limit_and_256_bytes_are_enough():
    for most in (256, 600, 1200):

        def make(name, own, names, rules, draw, most=most):
            from hollyport.fleet.member import Member

            return Member("emulated", own, names, (KEY,), rules, draw, most)

        made = World(universe(40), seed=2, make=make)
        sizes = []
        plain = made.carry
        made.carry = lambda s, a, d, plain=plain, sizes=sizes: (sizes.append(len(d)), plain(s, a, d))
        made.start(made.universe.hall)
        made.run(0.01)
        for number in range(20):
            owner = made.running[f"m{number}"]
            owner.member.tell(owner.now(), "key", b"v" * 64, 60.0)
        made.run(30)
        assert made.agreed() and max(sizes) <= most
        one = made.running["m39"]
        assert len(list(one.member.told(one.now(), "key"))) == 20
