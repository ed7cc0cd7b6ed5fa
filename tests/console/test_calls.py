"""Calls to the second address, in any pieces, and what is turned away."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollyport.console.calls import MAX_BODY, MAX_HEAD, Reader, Verdict

PUT = b"PUT /api/evacuate HTTP/1.1\r\nHost: c\r\nContent-Length: 2\r\n\r\n{}"


@pytest.mark.parametrize(
    ("sent", "verdict"),
    [
        (b"GET /api/ready HTTP/1.1\r\nHost: c\r\n\r\n", Verdict(b"/api/ready")),
        (b"GET /api/telemetry?x=1 HTTP/1.0\r\n\r\n", Verdict(b"/api/telemetry")),
        (b"GET http://c:1/api/ready HTTP/1.1\r\nHost: c\r\n\r\n", Verdict(b"/api/ready")),
        (PUT, Verdict(b"/api/evacuate")),
        (
            b"PUT /api/rejoin HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
            Verdict(b"/api/rejoin"),
        ),
        (b"GET /api/evacuate HTTP/1.1\r\nHost: c\r\n\r\n", Verdict(status=405, allow=b"PUT")),
        (
            b"POST /api/ready HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n",
            Verdict(status=405, allow=b"GET"),
        ),
        (b"GET /api HTTP/1.1\r\nHost: c\r\n\r\n", Verdict(status=404)),
        (b"\x16\x03\x01 hello\r\n\r\n", Verdict(status=400)),
        (b"GET /api/ready HTTP/1.1\r\nX: " + b"p" * MAX_HEAD + b"\r\n\r\n", Verdict(status=431)),
        (b"GET /" + b"p" * MAX_HEAD, Verdict(status=431)),
        (
            b"PUT /api/rejoin HTTP/1.1\r\nHost: c\r\nContent-Length: 99999999\r\n\r\n"
            + b"x" * (MAX_BODY + 1),
            Verdict(status=413),
        ),
    ],
    ids=range(12),
)
def test_a_call_comes_to_its_verdict(sent, verdict):
    assert Reader().feed(sent) == verdict


@given(st.lists(st.integers(1, len(PUT) - 1), max_size=6))
def test_a_call_reads_the_same_in_any_pieces(cuts):
    reader, got, at = Reader(), None, 0
    for end in [*sorted(set(cuts)), len(PUT)]:
        assert got is None
        got, at = reader.feed(PUT[at:end]), end
    assert got == Verdict(b"/api/evacuate")


def test_what_follows_a_call_is_not_read():
    reader = Reader()
    assert reader.feed(b"GET /api/ready HTTP/1.1\r\nHost: c\r\n\r\nPUT /api/ev") == Verdict(b"/api/ready")
    assert reader.feed(b"acuate HTTP/1.1\r\n\r\n") == Verdict(b"/api/ready")
