"""Large bodies of the kit: exactly what belongs to an id passes, in any pieces; all else is found."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rehearsal.bulk import Check, body

GOOD = body(b"one", 70)


@given(st.lists(st.integers(0, len(GOOD)), max_size=6))
def test_the_body_passes_in_any_pieces(cuts):
    check, edges = Check(b"one", 70), [0, *sorted(cuts), len(GOOD)]
    for start, end in zip(edges, edges[1:], strict=False):
        check.feed(GOOD[start:end])
    assert check.whole


@pytest.mark.parametrize(
    "wrong",
    [
        b"",
        GOOD[:-1],
        GOOD + b"x",
        GOOD[:-1] + b"x",
        b"x" + GOOD[1:],
        GOOD[1:] + GOOD[:1],
        body(b"two", 70),
        body(b"one", 69),
        GOOD[:65536] + b"x" + GOOD[65537:],
    ],
    ids=["none", "short", "long", "last", "first", "shifted", "of another", "smaller", "past the block"],
)
def test_all_else_is_found(wrong):
    check = Check(b"one", 70)
    check.feed(wrong)
    assert not check.whole


def test_where_none_is_expected_none_passes():
    check = Check(b"one", 0)
    assert check.whole
    check.feed(b"x")
    assert not check.whole
