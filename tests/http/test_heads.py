"""What passes from one side to the other, and reports that are none."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollyport.http import heads

NAMES = st.sampled_from(
    sorted(heads.NOT_FORWARDED | heads.NOT_RETURNED) + [b"x-request-id", b"cookie", b"x-rate"]
)
PAIRS = st.lists(st.tuples(NAMES, st.binary(max_size=9).map(lambda b: b.hex().encode())), max_size=12)


@given(headers=PAIRS, body=st.binary(max_size=20))
def test_fields_of_one_connection_never_pass_to_the_other(headers, body):
    head = heads.forwarded(b"POST", b"/rate-push", headers, body)
    first, *lines = head.split(b"\r\n")
    told = [line.split(b": ", 1) for line in lines if line]
    assert first == b"POST /rate-push HTTP/1.1"
    kept = [list(pair) for pair in headers if pair[0] not in heads.NOT_FORWARDED]
    assert told == [*kept, [b"Content-Length", b"%d" % len(body)]]
    assert not {name for name, _ in heads.returned(headers)} & heads.NOT_RETURNED
    assert [p for p in headers if p[0] not in heads.NOT_RETURNED] == heads.returned(headers)


@pytest.mark.parametrize(("left", "told"), [(1.5, b"1.5000"), (0.0, b"0.0010"), (-3.0, b"0.0010")])
def test_a_node_is_never_told_that_no_time_or_less_is_left(left, told):
    """Nodes turn away what has none, and close on what they can't read."""
    assert (
        heads.with_time(b"GET /x HTTP/1.1\r\n", left, b"")
        == b"GET /x HTTP/1.1\r\nX-Timeout: %s\r\n\r\n" % told
    )


def test_when_to_come_back_is_told_only_where_it_is_known():
    assert heads.retry_after(0) == heads.retry_after(-5) == []
    assert heads.retry_after(250_000_000) == [(b"Retry-After", b"0.250")]


VALUES = st.one_of(st.floats(), st.integers(), st.booleans(), st.none(), st.text(max_size=3))
REPORTS = st.dictionaries(st.text(max_size=5), VALUES).map(lambda told: json.dumps(told).encode())


@given(text=st.one_of(st.binary(max_size=400), REPORTS))
def test_a_report_holds_only_numbers_that_can_be_true(text):
    found = heads.load(text)
    assert all(isinstance(v, float) and 0.0 <= v <= heads.MOST_LOAD for v in found.values())
    assert heads.load(text) == found  # also when it is remembered


def test_long_reports_are_read_and_not_remembered():
    before = heads._read_load.cache_info().currsize
    long = json.dumps({"inflight": 3, "note": "x" * heads.COMMON_LOAD}).encode()
    assert heads.load(long) == {"inflight": 3.0}
    assert heads._read_load.cache_info().currsize == before
