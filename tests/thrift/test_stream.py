"""Refusals as classic clients read them, and which message is the answer to which call."""

from __future__ import annotations

import pytest
from test_wire import compare
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TApplicationException, TMessageType, TType
from thrift.transport.TTransport import TFramedTransport, TMemoryBuffer
from thriftpy2.protocol import TBinaryProtocol as OtherBinary
from thriftpy2.protocol import TCompactProtocol as OtherCompact
from thriftpy2.thrift import TApplicationException as OtherException
from thriftpy2.transport import TMemoryBuffer as OtherMemory
from values import message

from hollyport.thrift import stream as module
from hollyport.thrift.stream import FORMS, LOADSHEDDING, TIMEOUT, UNKNOWN_METHOD, Messages, answers, refusal
from hollyport.thrift.stream import whole as check_whole
from hollyport.thrift.wire import Binary, Compact, Malformed


def head_of(form, told=None, **changes):
    reader = Messages(form)
    reader.feed(module.wrap(form, message(form.protocol.name, told or {}, **changes)))
    return reader.next()


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("kind", [LOADSHEDDING, TIMEOUT, UNKNOWN_METHOD])
@pytest.mark.parametrize("seqid", [0, 7, -1, 2**31 - 1, -(2**31)])
def test_a_refusal_is_read_by_the_library(form, kind, seqid):
    """Also the types that Apache's clients have never heard of: the number and the text come through."""
    made = FORMS[form]
    call = head_of(made, method="Hotel:push", seqid=seqid).head
    memory = TMemoryBuffer(refusal(made, call, kind, "overloaded; come back in 0.250 s"))
    source = TFramedTransport(memory) if made.framed else memory
    reader = TBinaryProtocol(source) if made.protocol is Binary else TCompactProtocol(source)
    assert reader.readMessageBegin() == ("Hotel:push", TMessageType.EXCEPTION, seqid)
    error = TApplicationException()
    error.read(reader)
    assert (error.type, error.message) == (kind, "overloaded; come back in 0.250 s")


@pytest.mark.parametrize("form", ["unframed-binary", "unframed-compact"])
def test_a_refusal_is_read_by_the_other_library(form):
    made = FORMS[form]
    call = head_of(made, method="push", seqid=41).head
    memory = OtherMemory(refusal(made, call, LOADSHEDDING, "come back in 1.000 s"))
    reader = OtherBinary(memory) if made.protocol is Binary else OtherCompact(memory)
    assert reader.read_message_begin() == ("push", TMessageType.EXCEPTION, 41)
    error = OtherException()
    reader.read_struct(error)
    assert (error.type, error.message) == (LOADSHEDDING, "come back in 1.000 s")


def test_an_old_client_is_answered_in_the_old_form():
    made = FORMS["framed-binary"]
    reader = Messages(made)
    reader.feed(module.wrap(made, message("binary", {}, "push", 3, strict=False)))
    call = reader.next().head
    assert not call.strict
    answer = refusal(made, call, TIMEOUT, "x")[4:]
    assert answer[:4] == b"\x00\x00\x00\x04" and Binary.head(answer).seqid == 3


@pytest.mark.parametrize(
    ("changes", "why"),
    [
        ({"kind": TMessageType.REPLY}, ""),
        ({"kind": TMessageType.EXCEPTION}, ""),
        ({"kind": TMessageType.CALL}, "no answer"),
        ({"kind": TMessageType.ONEWAY}, "no answer"),
        ({"kind": TMessageType.REPLY, "seqid": 8}, "the answer to another call"),
        ({"kind": TMessageType.REPLY, "method": "pull"}, "the answer of another method"),
    ],
)
@pytest.mark.parametrize("form", FORMS)
def test_which_message_is_the_answer(form, changes, why):
    made = FORMS[form]
    call = head_of(made, seqid=7).head
    assert answers(call, head_of(made, **{"seqid": 7, **changes}).head) == why


def test_a_oneway_has_no_answer():
    made = FORMS["framed-binary"]
    call = head_of(made, kind=TMessageType.ONEWAY).head
    assert answers(call, head_of(made, kind=TMessageType.REPLY).head)


@pytest.mark.parametrize("name", ["binary", "compact"])
def test_trailing_bytes_in_a_frame_are_found(name):
    form = FORMS[f"framed-{name}"]
    data = message(name, {0: (TType.STRING, b"ok")}, kind=TMessageType.REPLY)
    for more in (b"\x00", b"\x00" * 9, data):
        reader = Messages(form)
        reader.feed(module.wrap(form, data + more))
        with pytest.raises(Malformed, match="more follows"):
            check_whole(reader.next())
    reader = Messages(form)
    reader.feed(module.wrap(form, data))
    check_whole(reader.next())


def test_a_sequence_id_is_restored_to_the_byte():
    for form in FORMS.values():
        asked = head_of(form, {1: (TType.I64, -5)}, seqid=-77)
        sent = Messages(form)
        sent.feed(asked.renumbered(12345))
        assert sent.next().renumbered(-77) == module.wrap(form, asked.data)


@pytest.mark.parametrize(
    ("protocol", "attribute", "broken"),
    [
        (Binary, "length", staticmethod(lambda data, at: (data[at + 3] + 1, at + 4))),
        (Compact, "fixed", staticmethod(lambda kind: {2: 1, 3: 1, 4: 4}.get(kind, 0))),
    ],
)
def test_the_comparison_with_the_library_fails_on_a_seeded_bug(monkeypatch, protocol, attribute, broken):
    data = message(protocol.name, {1: (TType.STRING, b"abc"), 2: (TType.DOUBLE, 1.5)})
    compare(protocol.name, data)
    monkeypatch.setattr(protocol, attribute, broken)
    with pytest.raises(AssertionError):
        compare(protocol.name, data)
