"""Heads, ends and fields against Apache's library: same accept, same reject, the same place."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from thrift.Thrift import TMessageType, TType
from values import PROTOCOLS, apache_message_end, apache_reader, message, structs

from hollyport.thrift.stream import FORMS, Messages, detect, whole, wrap
from hollyport.thrift.wire import (
    MOST_DEPTH,
    Binary,
    Compact,
    Malformed,
    Scan,
    Short,
    find,
    put_varint,
    unzigzag,
    varint,
)

NAMES = tuple(PROTOCOLS)
few = settings(max_examples=15, suppress_health_check=[HealthCheck.too_slow])  # written by a slow library
SEQIDS = st.integers(-(2**31), 2**31 - 1)


def end_of(name, data, most=1 << 20):
    """Where the message ends by our reading; None if it is none or not whole."""
    protocol = PROTOCOLS[name]
    try:
        head = protocol.head(data)
        scan = Scan(protocol, head.body_at, most)
        return scan.at if scan.run(data) else None
    except (Malformed, Short):
        return None


@pytest.mark.parametrize("name", NAMES)
@few
@given(told=structs, seqid=SEQIDS, strict=st.booleans())
def test_a_message_ends_where_its_writer_ended_it(name, told, seqid, strict):
    data = message(name, told, "Hotel:push", seqid, TMessageType.ONEWAY, strict)
    head = PROTOCOLS[name].head(data)
    assert (head.name, head.kind, head.seqid) == (b"Hotel:push", TMessageType.ONEWAY, seqid)
    assert end_of(name, data + b"more") == len(data)


@pytest.mark.parametrize("name", NAMES)
@few
@given(told=structs, seqid=SEQIDS, fresh=SEQIDS, strict=st.booleans())
def test_another_sequence_id_changes_nothing_else(name, told, seqid, fresh, strict):
    protocol = PROTOCOLS[name]
    data = message(name, told, "push", seqid, strict=strict)
    other = protocol.with_seqid(data, protocol.head(data), fresh)
    assert other == message(name, told, "push", fresh, strict=strict)


@pytest.mark.parametrize("form", FORMS)
@few
@given(data=st.data(), told=st.lists(structs, min_size=1, max_size=3))
def test_a_stream_cut_anywhere_gives_the_same_messages(form, data, told):
    made = FORMS[form]
    written = [message(made.protocol.name, one, seqid=n) for n, one in enumerate(told)]
    stream = b"".join(wrap(made, one) for one in written)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(stream)), max_size=6)))
    reader, got = Messages(), []
    for begin, end in zip([0, *cuts], [*cuts, len(stream)], strict=True):
        reader.feed(stream[begin:end])
        while (one := reader.next()) is not None:
            got.append(one)
    assert [one.data for one in got] == written
    assert reader.form == made and not reader.held


@pytest.mark.parametrize("form", FORMS)
def test_every_split_point_of_a_call(form):
    made = FORMS[form]
    told = {1: (TType.STRUCT, {-5: (TType.LIST, [(TType.I64, 2**40)] * 17), 300: (TType.BOOL, True)}),
            2: (TType.MAP, ([(TType.STRING, b"a")], [(TType.LIST, [(TType.STRING, b"\xff")])]))}  # fmt: skip
    written = message(made.protocol.name, told)
    stream = wrap(made, written)
    for cut in range(len(stream)):
        reader = Messages(made)
        reader.feed(stream[:cut])
        assert reader.next() is None
        reader.feed(stream[cut:])
        assert reader.next().data == written
    reader = Messages(made)
    for byte in stream:  # dribbling
        assert reader.next() is None
        reader.feed(bytes((byte,)))
    assert reader.next().data == written


@pytest.mark.parametrize("name", NAMES)
@few
@given(told=structs, change=st.data())
def test_spoilt_messages_are_accepted_or_rejected_as_the_library_does(name, told, change):
    data = bytearray(message(name, told))
    for _ in range(change.draw(st.integers(1, 3))):
        at = change.draw(st.integers(0, len(data) - 1))
        data[at] = change.draw(st.integers(0, 255))
    compare(name, bytes(data))


@pytest.mark.parametrize("name", NAMES)
@given(data=st.binary(max_size=60))
def test_any_bytes_are_accepted_or_rejected_as_the_library_does(name, data):
    begin = b"\x80\x01\x00\x01\x00\x00\x00\x01a\x00\x00\x00\x05" if name == "binary" else b"\x82\x21\x05\x01a"
    compare(name, data)
    compare(name, begin + data)


def compare(name, data):
    theirs, ours = apache_message_end(name, data), end_of(name, data)
    if ours is not None:
        assert theirs == ours
    elif theirs is not None:
        # Where we are stricter, it is for a reason that can be named.
        assert stricter(name, data), (theirs, data)


def stricter(name, data):
    """Whether what the library lets pass is one of the things that we reject on purpose."""
    protocol = PROTOCOLS[name]
    try:
        head = protocol.head(data)
        Scan(protocol, head.body_at, 1 << 20).run(data)
    except Malformed as error:
        return any(
            reason in str(error)
            for reason in (
                "longer than its type", "unknown type", "method's name", "can hold", "32 bits", "without end",
                "negative",
            )
        )  # fmt: skip
    except Short:
        return False
    return False


@pytest.mark.parametrize("name", NAMES)
@few
@given(told=structs)
def test_fields_are_found_by_their_path(name, told):
    data = message(name, told)
    at = PROTOCOLS[name].head(data).body_at
    for number, (kind, value) in told.items():
        found = find(PROTOCOLS[name], data, at, (number,))
        if kind in (TType.BYTE, TType.I16, TType.I32, TType.I64, TType.BOOL, TType.STRING):
            assert found == value
        else:
            assert found is None
        if kind == TType.STRUCT:
            for inner, (of, item) in value.items():
                if of in (TType.I32, TType.STRING, TType.BOOL):
                    assert find(PROTOCOLS[name], data, at, (number, inner)) == item
    assert find(PROTOCOLS[name], data, at, (999,)) is None


@given(value=st.integers(0, 2**63))
def test_numbers_of_base_128_come_back(value):
    assert varint(put_varint(value), 0, 10) == (value, len(put_varint(value)))
    assert [unzigzag(n) for n in range(5)] == [0, -1, 1, -2, 2]


# --- what can never be a message


def deep(name, levels):
    inner = {1: (TType.I32, 1)}
    for _ in range(levels):
        inner = {1: (TType.STRUCT, inner)}
    return message(name, inner)


@pytest.mark.parametrize("name", NAMES)
def test_nesting_has_an_end(name):
    assert end_of(name, deep(name, MOST_DEPTH - 2)) is not None
    data = deep(name, MOST_DEPTH + 1)
    protocol = PROTOCOLS[name]
    with pytest.raises(Malformed, match="without end"):
        Scan(protocol, protocol.head(data).body_at, 1 << 20).run(data)


BINARY_HEAD = b"\x80\x01\x00\x01\x00\x00\x00\x01a\x00\x00\x00\x05"
COMPACT_HEAD = b"\x82\x21\x05\x01a"


@pytest.mark.parametrize(
    ("name", "body", "why"),
    [
        ("binary", b"\x0b\x00\x01\xff\xff\xff\xff", "negative"),  # a text of -1 bytes
        ("binary", b"\x0b\x00\x01\x7f\xff\xff\xff", "can hold"),
        ("binary", b"\x0f\x00\x01\x08\xff\xff\xff\xff", "negative"),
        ("binary", b"\x0f\x00\x01\x0c\x7f\xff\xff\xff", "can hold"),  # two thousand million structs
        ("binary", b"\x0d\x00\x01\x08\x0b\x10\x00\x00\x00", "can hold"),
        ("binary", b"\x0f\x00\x01\x05\x00\x00\x00\x01", "unknown type"),
        ("binary", b"\x05\x00\x01", "unknown type"),
        ("compact", b"\x18\xff\xff\xff\xff\x0f", "can hold"),
        ("compact", b"\x18\xff\xff\xff\xff\xff\x0f", "longer than its type"),
        ("compact", b"\x16" + b"\xff" * 11, "longer than its type"),
        ("compact", b"\x1b\xff\xff\xff\x7f\x88", "can hold"),
        ("compact", b"\x19\xfc\xff\xff\xff\xff\x07", "can hold"),
        ("compact", b"\x1e", "unknown type"),
        ("compact", b"\x19\x1f", "unknown type"),
    ],
)
def test_claims_that_cannot_be_true_are_known_at_once(name, body, why):
    """With the first bytes, and in constant memory: nothing waits for what can never come."""
    protocol = PROTOCOLS[name]
    data = (BINARY_HEAD if name == "binary" else COMPACT_HEAD) + body
    with pytest.raises(Malformed, match=why):
        Scan(protocol, protocol.head(data).body_at, 1 << 16).run(data)


@pytest.mark.parametrize(
    ("protocol", "data"),
    [
        (Binary, b"\x80\x02\x00\x01\x00\x00\x00\x00\x00\x00\x00\x00"),
        (Binary, b"\x80\x01\x00\x05\x00\x00\x00\x00\x00\x00\x00\x00"),  # no such type of message
        (Binary, b"\x80\x01\x00\x01\xff\xff\xff\xff"),
        (Binary, b"\x7f\xff\xff\xff"),  # an old head whose name does not end
        (Compact, b"\x82\x22\x00\x00"),
        (Compact, b"\x82\x01\x00\x00"),
        (Compact, b"\x82\x21\xff\xff\xff\xff\xff"),
        (Compact, b"\x82\x21\xff\xff\xff\xff\x7f\x00"),
        (Compact, b"GET / HTTP/1.1\r\n"),
    ],
)
def test_heads_that_are_none(protocol, data):
    with pytest.raises(Malformed):
        protocol.head(data)


def test_the_form_is_told_by_the_first_bytes():
    for name, form in FORMS.items():
        stream = wrap(form, message(form.protocol.name, {}))
        assert detect(stream) == form, name
        for cut in range(8):
            with contextlib.suppress(Short):
                assert detect(stream[:cut]) == form
    old = message("binary", {1: (TType.I32, 1)}, strict=False)
    assert detect(old) == FORMS["unframed-binary"]
    assert detect(wrap(FORMS["framed-binary"], old)) == FORMS["framed-binary"]
    for other in (b"GET / HTTP/1.1\r\n", b"POST /x HT", b"\x16\x03\x01\x02\x00\x01", b"\xff\xff\xff\xff",
                  b"\x00\x00\x00\x00\x00", b"\x00\x00\x10\x00\x41\x41\x41\x41"):  # fmt: skip
        with pytest.raises(Malformed):
            detect(other)


@pytest.mark.parametrize("length", [-1, 0, 3, 1025, 2**31 - 1])
def test_a_frame_of_a_wrong_length_is_known_by_its_length(length):
    reader = Messages(FORMS["framed-binary"], most=1024)
    reader.feed(length.to_bytes(4, "big", signed=True))
    with pytest.raises(Malformed):
        reader.next()
    assert not reader.held
    with pytest.raises(Malformed):  # and it stays so
        reader.next()


@pytest.mark.parametrize("name", NAMES)
@pytest.mark.parametrize("off", [-1, 1])
def test_a_frame_that_is_one_short_or_long_spoils_what_follows_and_not_what_came_before(name, off):
    form = FORMS[f"framed-{name}"]
    good = message(name, {1: (TType.STRING, b"x" * 9)})
    reader = Messages(form, most=1024)
    reader.feed(wrap(form, good) + (len(good) + off).to_bytes(4, "big") + good + b"\x00garbage")
    assert reader.next().data == good
    with pytest.raises(Malformed):
        while (one := reader.next()) is not None:
            whole(one)
        raise AssertionError("nothing was found wrong")


def test_a_head_that_came_in_pieces_can_be_answered_before_its_frame_is_whole():
    form = FORMS["framed-compact"]
    stream = wrap(form, message("compact", {1: (TType.STRING, b"x" * 99)}, "push", 41))
    reader = Messages(form)
    reader.feed(stream[:14])
    assert reader.next() is None
    assert reader.head().name == b"push" and reader.head().seqid == 41


@given(data=st.binary(max_size=200))
def test_no_other_exception_ever_escapes_and_no_more_is_held_than_was_fed(data):
    for form in (None, *FORMS.values()):
        reader = Messages(form, most=128)
        for at in range(0, len(data), 7):
            reader.feed(data[at : at + 7])
            try:
                while reader.next() is not None:
                    pass
            except Malformed:
                break
            assert reader.held <= 4 + 128 + 7


def test_what_the_library_reads_is_what_was_written():
    """The helper itself: a check that could not fail would prove nothing."""
    data = message("compact", {1: (TType.I32, 5)})
    assert apache_message_end("compact", data) == len(data)
    assert apache_message_end("compact", data[:-1]) is None
    assert apache_reader("binary", b"").trans is not None
