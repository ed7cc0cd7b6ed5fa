"""The walk through a whole message and the scan that may stop anywhere: same accept, reject and end."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from values import PROTOCOLS, message, structs

from hollyport.thrift import walk
from hollyport.thrift.wire import MOST_DEPTH, Malformed, Scan

NAMES = tuple(PROTOCOLS)
PIECES = [b"\x0c\x00\x01", b"\x0f\x00\x01", b"\x0d\x00\x02", b"\x0b\x00\x01", b"\x00\x00\x00\x01"]
PIECES += [bytes((byte,)) for byte in (0x1C, 0x19, 0x1B, 0x00, 0x01, 0x11, 0x2C, 0xFC, 0x0C, 0x0F, 0x03)]


def walked(name, data, at):
    try:
        end = walk.end_of(PROTOCOLS[name], data, at)
    except Malformed:
        return None
    return end if end == len(data) else None


def scanned(name, data, at):
    scan = Scan(PROTOCOLS[name], at, len(data))
    try:
        return scan.at if scan.run(data) and scan.at == len(data) else None
    except Malformed:
        return None


def alike(name, data, at=0):
    assert walked(name, data, at) == scanned(name, data, at), data


@pytest.mark.parametrize("name", NAMES)
@settings(max_examples=60, suppress_health_check=[HealthCheck.too_slow])
@given(told=structs, spoil=st.lists(st.tuples(st.integers(0, 400), st.integers(0, 255)), max_size=3),
       cut=st.integers(0, 400))  # fmt: skip
def test_on_valid_spoilt_and_cut_messages(name, told, spoil, cut):
    data = bytearray(message(name, told))
    at = PROTOCOLS[name].head(bytes(data)).body_at
    alike(name, bytes(data), at)
    for place, byte in spoil:
        if at + place < len(data):
            data[at + place] = byte
    alike(name, bytes(data), at)
    alike(name, bytes(data[: max(at, len(data) - cut)]), at)


@pytest.mark.parametrize("name", NAMES)
@settings(max_examples=400)
@given(data=st.binary(max_size=60))
def test_on_any_bytes(name, data):
    alike(name, data)


@pytest.mark.parametrize("name", NAMES)
@given(data=st.lists(st.sampled_from(PIECES), max_size=30).map(b"".join))
def test_on_bytes_that_look_like_containers(name, data):
    alike(name, data)


@pytest.mark.parametrize("name", NAMES)
@pytest.mark.parametrize("depth", range(MOST_DEPTH - 2, MOST_DEPTH + 4))
@pytest.mark.parametrize("inner", ["", "scalar", "bool"])
def test_the_limit_of_depth_is_the_same(name, depth, inner):
    begin = b"\x0c\x00\x01" if name == "binary" else b"\x1c"
    fields = {"binary": {"": b"", "scalar": b"\x08\x00\x01\x00\x00\x00\x01", "bool": b"\x02\x00\x01\x01"},
              "compact": {"": b"", "scalar": b"\x15\x02", "bool": b"\x11"}}  # fmt: skip
    data = begin * depth + fields[name][inner] + b"\x00" * (depth + 1)
    alike(name, data)


@pytest.mark.parametrize(
    ("name", "data"),
    [
        ("binary", b"\x0f\x00\x01\x0b\x7f\xff\xff\xff" + b"\x00" * 64),
        ("binary", b"\x0d\x00\x01\x0b\x08\x7f\xff\xff\xff" + b"\x00" * 64),
        ("compact", b"\x19\xf8\xff\xff\xff\xff\x07" + b"\x00" * 64),
        ("compact", b"\x1b\xff\xff\xff\xff\x07\x88" + b"\x00" * 64),
        ("compact", b"\x1b\xff\xff\xff\xff\x07\x18" + b"\x00" * 64),
    ],
)
def test_a_claim_of_billions_ends_with_the_message(name, data):
    """A loop over the claim would not come back within the test's life."""
    alike(name, data)
    assert walked(name, data, 0) is None


def test_the_comparison_can_fail(monkeypatch):
    monkeypatch.setattr(walk, "MOST_DEPTH", MOST_DEPTH - 1)
    data = b"\x1c" * (MOST_DEPTH - 1) + b"\x15\x02" + b"\x00" * MOST_DEPTH
    with pytest.raises(AssertionError):
        alike("compact", data)
