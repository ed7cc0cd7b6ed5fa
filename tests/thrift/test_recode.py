"""Binary to compact and back, type for type, read by Apache's own library."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from thrift.Thrift import TType
from values import apache_reader, message, structs

from hollyport.thrift.recode import recode
from hollyport.thrift.stream import FRAMED_BINARY, FRAMED_COMPACT, Form, Message, whole
from hollyport.thrift.wire import Binary, Compact

OTHER = {"binary": FRAMED_COMPACT, "compact": FRAMED_BINARY}


def made(name: str, data: bytes) -> Message:
    protocol = Binary if name == "binary" else Compact
    return Message(Form(protocol, True), protocol.head(data), data)


def values_of(name: str, data: bytes):
    """A message as Apache's library reads it: every type and value. Of empty maps compact tells no types."""
    source = apache_reader(name, data)

    def read(kind):
        if kind == TType.STRUCT:
            found = []
            source.readStructBegin()
            while True:
                _, of, number = source.readFieldBegin()
                if of == TType.STOP:
                    break
                found.append((number, of, read(of)))
                source.readFieldEnd()
            source.readStructEnd()
            return found
        if kind in (TType.LIST, TType.SET):
            of, size = source.readListBegin() if kind == TType.LIST else source.readSetBegin()
            found = of if size else None, [read(of) for _ in range(size)]
            source.readListEnd() if kind == TType.LIST else source.readSetEnd()
            return found
        if kind == TType.MAP:
            key, value, size = source.readMapBegin()
            found = [(key, read(key), value, read(value)) for _ in range(size)]
            source.readMapEnd()
            return found
        names = {TType.BOOL: "Bool", TType.BYTE: "Byte", TType.I16: "I16", TType.I32: "I32", TType.I64: "I64",
                 TType.DOUBLE: "Double", TType.STRING: "Binary"}  # fmt: skip
        return getattr(source, f"read{names[kind]}")()

    return source.readMessageBegin(), read(TType.STRUCT)


@given(st.sampled_from(["binary", "compact"]), structs, st.integers(-(2**31), 2**31 - 1))
def test_the_other_form_holds_the_same(name, told, seqid):
    first = made(name, message(name, told, "Svc:push", seqid))
    second = recode(first, OTHER[name])
    whole(second)
    assert second.form is OTHER[name]
    other = "compact" if name == "binary" else "binary"
    assert values_of(other, second.data) == values_of(name, first.data)
    assert second.head == second.form.protocol.head(second.data)


@given(structs)
def test_there_and_back_is_the_same_to_the_byte(told):
    """From compact, whose writer has choices (long forms of field ids), the values are; from binary, all but
    the types of empty maps."""
    first = made("compact", message("compact", told))
    there = recode(first, FRAMED_BINARY)
    assert recode(there, FRAMED_COMPACT).data == first.data


@pytest.mark.parametrize("seed", ["flip a bool", "swap a double"])
def test_the_property_can_fail(monkeypatch, seed):
    from hollyport.thrift import recode as module

    if seed == "flip a bool":
        monkeypatch.setattr(module._ToCompact, "flag", lambda self, true: self.out.append(2 if true else 1))
        told = {1: (TType.LIST, [(TType.BOOL, True)])}
    else:
        monkeypatch.setattr(module, "DOUBLE", 99)
        told = {1: (TType.DOUBLE, 1.5)}
    first = made("binary", message("binary", told))
    try:
        same = values_of("compact", recode(first, FRAMED_COMPACT).data) == values_of("binary", first.data)
    except Exception:
        same = False
    assert not same


@pytest.mark.parametrize(
    ("body", "number"),
    [
        (
            b"\x14\xff\xff\x07\x00",
            -1 - 0xFFFF,
        ),  # an i16 written as 17 bits: cut, as on reading in C++ and Java
    ],
)
def test_numbers_wider_than_their_type_are_cut(body, number):
    head = Compact.put_head(b"m", 1, 1)
    there = recode(made("compact", head + body), FRAMED_BINARY)
    whole(there)
    assert there.data.endswith(b"\x06\x00\x01" + (number & 0xFFFF).to_bytes(2, "big") + b"\x00")


@pytest.mark.parametrize("steps", [b"\xf4\x02" * 3000 + b"\x00"])
def test_field_ids_that_run_beyond_their_type_wrap(steps):
    """Each step adds fifteen: beyond 32,767 there is no field id that binary could write."""
    first = made("compact", Compact.put_head(b"m", 1, 1) + steps)
    whole(first)
    whole(recode(first, FRAMED_BINARY))


def test_what_need_not_change_is_left_as_it_came():
    data = message("binary", {1: (TType.I32, 7)}, strict=False)
    first = made("binary", data)
    assert recode(first, FRAMED_BINARY, strict=False).data is data
    strict = recode(first, FRAMED_BINARY, strict=True)
    assert strict.data == message("binary", {1: (TType.I32, 7)}, strict=True)
    assert recode(strict, FRAMED_BINARY, strict=False).data == data
