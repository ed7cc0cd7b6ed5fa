"""The same message in the other protocol, type for type, without its IDL. No I/O.

Both protocols tell the type of every value and neither knows more than the other, with two exceptions that
no reader depends on: an empty map has no types in compact, and a field's id that follows closely takes fewer
bytes there. Numbers that a compact message writes wider than their type are cut to it, as the C++ and Java
libraries do on reading.

Messages must have been checked (`hollyport.thrift.stream.whole`) before: what is read here is believed. A
binary message can be eight times as long as the compact one it came from.
"""

from __future__ import annotations

from hollyport.thrift.stream import Form, Message
from hollyport.thrift.wire import (
    BOOL,
    BYTE,
    DOUBLE,
    I16,
    I32,
    I64,
    LIST,
    MAP,
    SET,
    STOP,
    STRING,
    STRUCT,
    UUID,
    Compact,
    Protocol,
    put_varint,
)

_BITS = {I16: 16, I32: 32, I64: 64}
_TO_COMPACT = {
    STOP: 0, BOOL: 1, BYTE: 3, I16: 4, I32: 5, I64: 6, DOUBLE: 7, STRING: 8, LIST: 9, SET: 10, MAP: 11,
    STRUCT: 12, UUID: 13,
}  # fmt: skip


class _ToBinary:
    """Writes the binary protocol."""

    def __init__(self) -> None:
        self.out = bytearray()

    def field(self, kind: int, number: int, last: int, true: bool) -> None:
        self.out.append(kind)
        self.out += number.to_bytes(2, "big", signed=True)
        if kind == BOOL:
            self.out.append(true)

    def flag(self, true: bool) -> None:
        self.out.append(true)

    def number(self, kind: int, value: int) -> None:
        bits = _BITS[kind]
        self.out += (value & ((1 << bits) - 1)).to_bytes(bits // 8, "big")

    def length(self, length: int) -> None:
        self.out += length.to_bytes(4, "big")

    def container(self, kind: int, first: int, second: int, size: int) -> None:
        self.out.append(first)
        if kind == MAP:
            self.out.append(second)
        self.out += size.to_bytes(4, "big")


class _ToCompact:
    """Writes the compact protocol."""

    def __init__(self) -> None:
        self.out = bytearray()

    def field(self, kind: int, number: int, last: int, true: bool) -> None:
        code = _TO_COMPACT[kind] if kind != BOOL or true else 2
        if 0 < number - last < 16:
            self.out.append((number - last) << 4 | code)
        else:
            self.out.append(code)
            self.out += put_varint((number << 1 ^ number >> 15) & 0xFFFF)

    def flag(self, true: bool) -> None:
        self.out.append(1 if true else 2)

    def number(self, kind: int, value: int) -> None:
        bits = _BITS[kind]
        self.out += put_varint((value << 1 ^ value >> (bits - 1)) & ((1 << bits) - 1))

    def length(self, length: int) -> None:
        self.out += put_varint(length)

    def container(self, kind: int, first: int, second: int, size: int) -> None:
        if kind == MAP:
            self.out += put_varint(size)
            if size:
                self.out.append(_TO_COMPACT.get(first, 0) << 4 | _TO_COMPACT.get(second, 0))
        elif size < 15:
            self.out.append(size << 4 | _TO_COMPACT.get(first, 0))
        else:
            self.out.append(0xF0 | _TO_COMPACT.get(first, 0))
            self.out += put_varint(size)


class _Walk:
    """Reads a checked message in one protocol and writes it in the other."""

    def __init__(self, data: bytes, source: Protocol) -> None:
        self._data, self._source = data, source
        self._to = _ToBinary() if source is Compact else _ToCompact()
        self.out = self._to.out

    def struct(self, at: int) -> int:
        last = 0
        while True:
            before = at
            kind, number, at, told = self._source.field(self._data, at, last)
            if kind == STOP:
                self.out.append(0)
                return at
            number = (number + 0x8000) % 0x10000 - 0x8000  # compact: a step may lead beyond 16 bits
            if kind == BOOL:
                true = self._data[before] & 0x0F == 1 if told else self._data[at] != 0
                self._to.field(kind, number, last, true)
                at += not told
            else:
                self._to.field(kind, number, last, False)
                at = self.value(at, kind)
            last = number

    def value(self, at: int, kind: int) -> int:
        data, source = self._data, self._source
        if kind == STRUCT:
            return self.struct(at)
        if kind in _BITS:
            number, at = source.number(data, at, kind)
            self._to.number(kind, number)
            return at
        if kind == STRING:
            length, at = source.length(data, at)
            self._to.length(length)
            self.out += data[at : at + length]
            return at + length
        if kind == DOUBLE:  # the ends of bytes differ: compact begins with the lowest
            self.out += data[at : at + 8][::-1]
            return at + 8
        if kind == BOOL:
            self._to.flag(data[at] == 1 if source is Compact else data[at] != 0)
            return at + 1
        if kind == BYTE:
            self.out.append(data[at])
            return at + 1
        if kind == UUID:
            self.out += data[at : at + 16]
            return at + 16
        held = source.container(data, at, kind)
        self._to.container(kind, held.first, held.second, held.size)
        at = held.at
        for _ in range(held.size):
            at = self.value(at, held.first)
            if kind == MAP:
                at = self.value(at, held.second)
        return at


def recode(message: Message, form: Form, strict: bool = True) -> Message:
    """The message in another form. What need not change is as it came, byte for byte; `strict` tells whether
    a binary head has a version."""
    head, protocol = message.head, message.form.protocol
    if form.protocol is protocol:
        if protocol is Compact or head.strict == strict:
            return message._replace(form=form)
        body = message.data[head.body_at :]
    else:
        walk = _Walk(message.data, protocol)
        walk.struct(head.body_at)
        body = bytes(walk.out)
    begin = form.protocol.put_head(head.name, head.kind, head.seqid, strict)
    return Message(form, form.protocol.head(begin), begin + body)
