"""Thrift's two protocols as far as a proxy needs them: message heads, where a value ends, single fields.

No IDL is needed: both protocols tell the type of every field. Everything here works on bytes that have come
so far and raises `Short` where more are needed; what can never become a message is `Malformed`. Neither a
length nor a count is believed before it is held against what the message may still hold, so nothing is
allocated for a claim.

Sources: "Thrift Binary protocol encoding" and "Thrift Compact protocol encoding" of Apache Thrift's
specification (doc/specs), whose tables of types and headers the constants below repeat.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

CALL, REPLY, EXCEPTION, ONEWAY = 1, 2, 3, 4
STOP, BOOL, BYTE, DOUBLE, I16, I32, I64, STRING, STRUCT, MAP, SET, LIST, UUID = (
    0, 2, 3, 4, 6, 8, 10, 11, 12, 13, 14, 15, 16,
)  # fmt: skip

MOST_DEPTH = 64  # of values in values, as Apache's own limit (DEFAULT_RECURSION_DEPTH)
MOST_NAME = 256  # bytes of a method's name, the service's of a multiplexed one included

STRICT = 0x80010000  # version 1 of the binary protocol, in the upper half of a message's first word
COMPACT_ID, COMPACT_VERSION = 0x82, 1

_FIXED = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I32: 4, I64: 8, UUID: 16}
_LEAST = {**_FIXED, STRING: 4, STRUCT: 1, MAP: 6, SET: 5, LIST: 5}
_COMPACT_TYPES = {
    0: STOP, 1: BOOL, 2: BOOL, 3: BYTE, 4: I16, 5: I32, 6: I64, 7: DOUBLE, 8: STRING, 9: LIST, 10: SET,
    11: MAP, 12: STRUCT, 13: UUID,
}  # fmt: skip
_COMPACT_FIXED = {BOOL: 1, BYTE: 1, DOUBLE: 8, UUID: 16}
_VARINT = {I16: 3, I32: 5, I64: 10}  # bytes at most


class Malformed(ValueError):
    """What came is no message of this form, and no further byte can make it one."""


class Short(Exception):
    """More bytes are needed."""


class Head(NamedTuple):
    """The head of a message."""

    name: bytes
    kind: int  # CALL, REPLY, EXCEPTION or ONEWAY
    seqid: int  # -2**31 to 2**31 - 1
    seqid_at: int  # where its bytes are
    body_at: int  # where the arguments or the result begin
    strict: bool  # binary: with a version; the older form has none


Buffer = bytes | bytearray | memoryview


def _need(data: Buffer, at: int, count: int) -> None:
    if len(data) < at + count:
        raise Short


def _int(data: Buffer, at: int, size: int) -> int:
    _need(data, at, size)
    return int.from_bytes(data[at : at + size], "big", signed=True)


def varint(data: Buffer, at: int, most: int) -> tuple[int, int]:
    """An unsigned base-128 number of at most `most` bytes, and where it ends."""
    value = shift = 0
    while True:
        _need(data, at, 1)
        byte = data[at]
        at += 1
        value |= (byte & 0x7F) << shift
        if byte < 0x80:
            return value, at
        shift += 7
        if shift >= 7 * most:
            raise Malformed("a number is longer than its type")


def unzigzag(value: int) -> int:
    """Signed numbers are stored as 0, -1, 1, -2, ..."""
    return (value >> 1) ^ -(value & 1)


def put_varint(value: int) -> bytes:
    """The bytes of an unsigned number."""
    made = bytearray()
    while value > 0x7F:
        made.append(value & 0x7F | 0x80)
        value >>= 7
    made.append(value)
    return bytes(made)


class Container(NamedTuple):
    """The head of a list, set or map."""

    first: int  # type of elements or keys
    second: int  # type of a map's values, STOP for others
    size: int  # elements, or pairs of a map
    at: int  # where the elements begin


class Binary:
    """The binary protocol, strict and old."""

    name = "binary"

    @staticmethod
    def head(data: Buffer, at: int = 0) -> Head:
        """Read a message's head."""
        word = _int(data, at, 4)
        if word < 0:
            if word & 0xFFFF0000 != STRICT:
                raise Malformed("another version of the protocol")
            kind, name_at = word & 0xFF, at + 8
            length = _int(data, at + 4, 4)
        else:
            length, name_at, kind = word, at + 4, 0
        if not 0 <= length <= MOST_NAME:
            raise Malformed(f"a method's name of {length} bytes")
        end = name_at + length
        if word >= 0:
            _need(data, end, 1)
            kind, end = data[end], end + 1
        _kind(kind)
        seqid = _int(data, end, 4)
        name = _name(data[name_at : name_at + length])
        return Head(name, kind, seqid, end, end + 4, word < 0)

    @staticmethod
    def with_seqid(data: bytes, head: Head, seqid: int) -> bytes:
        """The same message under another sequence id."""
        return b"".join((data[: head.seqid_at], seqid.to_bytes(4, "big", signed=True), data[head.body_at :]))

    @staticmethod
    def put_head(name: bytes, kind: int, seqid: int, strict: bool = True) -> bytes:
        """The bytes of a head."""
        size, number = len(name).to_bytes(4, "big"), seqid.to_bytes(4, "big", signed=True)
        if strict:
            return b"".join(((STRICT | kind).to_bytes(4, "big"), size, name, number))
        return b"".join((size, name, bytes((kind,)), number))

    @staticmethod
    def field(data: Buffer, at: int, last: int) -> tuple[int, int, int, bool]:
        """A field's head: type, id, where its value begins, and whether the head held the value."""
        _need(data, at, 1)
        kind = data[at]
        if kind == STOP:
            return STOP, 0, at + 1, False
        if kind not in _LEAST:
            raise Malformed(f"unknown type {kind}")
        return kind, _int(data, at + 1, 2), at + 3, False

    @staticmethod
    def fixed(kind: int) -> int:
        """Bytes of a value whose size its type tells, else 0."""
        return _FIXED.get(kind, 0)

    @staticmethod
    def least(kind: int) -> int:
        """Bytes that a value takes at least."""
        return _LEAST[kind]

    @staticmethod
    def number(data: Buffer, at: int, kind: int) -> tuple[int, int]:
        """An integer of a type, and where it ends."""
        size = _FIXED[kind]
        return _int(data, at, size), at + size

    @staticmethod
    def length(data: Buffer, at: int) -> tuple[int, int]:
        """The length of a text, and where it begins."""
        length = _int(data, at, 4)
        if length < 0:
            raise Malformed("a negative length")
        return length, at + 4

    @staticmethod
    def container(data: Buffer, at: int, kind: int) -> Container:
        """The head of a list, set or map."""
        second = STOP
        _need(data, at, 6 if kind == MAP else 5)
        first = data[at]
        if kind == MAP:
            second, at = data[at + 1], at + 1
        count = _int(data, at + 1, 4)
        if count < 0:
            raise Malformed("a negative count")
        if count and (first not in _LEAST or (kind == MAP and second not in _LEAST)):
            raise Malformed("elements of an unknown type")
        return Container(first, second, count, at + 5)

    @staticmethod
    def error(text: bytes, kind: int) -> bytes:
        """The body of a TApplicationException."""
        return b"".join((
            b"\x0b\x00\x01", len(text).to_bytes(4, "big"), text,
            b"\x08\x00\x02", kind.to_bytes(4, "big", signed=True), b"\x00",
        ))  # fmt: skip


class Compact:
    """The compact protocol."""

    name = "compact"

    @staticmethod
    def head(data: Buffer, at: int = 0) -> Head:
        """Read a message's head."""
        _need(data, at, 2)
        if data[at] != COMPACT_ID or data[at + 1] & 0x1F != COMPACT_VERSION:
            raise Malformed("another protocol, or another version of it")
        kind = _kind(data[at + 1] >> 5)
        number, name_at = varint(data, at + 2, 5)
        if number > 0xFFFFFFFF:
            raise Malformed("a sequence id of more than 32 bits")
        length, begin = varint(data, name_at, 5)
        if length > MOST_NAME:
            raise Malformed(f"a method's name of {length} bytes")
        _need(data, begin, length)
        seqid = number - (1 << 32) if number >> 31 else number
        name = _name(data[begin : begin + length])
        return Head(name, kind, seqid, at + 2, begin + length, True)

    @staticmethod
    def with_seqid(data: bytes, head: Head, seqid: int) -> bytes:
        """The same message under another sequence id."""
        rest = varint(data, head.seqid_at, 5)[1]
        return b"".join((data[: head.seqid_at], put_varint(seqid & 0xFFFFFFFF), data[rest:]))

    @staticmethod
    def put_head(name: bytes, kind: int, seqid: int, strict: bool = True) -> bytes:
        """The bytes of a head."""
        first = bytes((COMPACT_ID, kind << 5 | COMPACT_VERSION))
        return b"".join((first, put_varint(seqid & 0xFFFFFFFF), put_varint(len(name)), name))

    @staticmethod
    def field(data: Buffer, at: int, last: int) -> tuple[int, int, int, bool]:
        """A field's head: type, id, where its value begins, and whether the head held the value."""
        _need(data, at, 1)
        byte = data[at]
        kind = _COMPACT_TYPES.get(byte & 0x0F)
        if kind is None:
            raise Malformed(f"unknown type {byte & 0x0F}")
        if kind == STOP:
            return STOP, 0, at + 1, False
        if byte >> 4:
            return kind, last + (byte >> 4), at + 1, kind == BOOL
        number, after = varint(data, at + 1, 3)
        return kind, unzigzag(number), after, kind == BOOL

    @staticmethod
    def fixed(kind: int) -> int:
        """Bytes of a value whose size its type tells, else 0."""
        return _COMPACT_FIXED.get(kind, 0)

    @staticmethod
    def least(kind: int) -> int:
        """Bytes that a value takes at least."""
        return _COMPACT_FIXED.get(kind, 1)

    @staticmethod
    def number(data: Buffer, at: int, kind: int) -> tuple[int, int]:
        """An integer of a type, and where it ends."""
        if kind == BYTE:
            return _int(data, at, 1), at + 1
        value, at = varint(data, at, _VARINT[kind])
        return unzigzag(value), at

    @staticmethod
    def length(data: Buffer, at: int) -> tuple[int, int]:
        """The length of a text, and where it begins."""
        return varint(data, at, 5)

    @staticmethod
    def container(data: Buffer, at: int, kind: int) -> Container:
        """The head of a list, set or map."""
        _need(data, at, 1)
        if kind == MAP:
            count, at = varint(data, at, 5)
            if not count:
                return Container(STOP, STOP, 0, at)
            _need(data, at, 1)
            types = data[at] >> 4, data[at] & 0x0F
        else:
            types, count = (data[at] & 0x0F, 1), data[at] >> 4
            if count == 15:
                count, at = varint(data, at + 1, 5)
                at -= 1
        first, second = (_COMPACT_TYPES.get(number, STOP) for number in types)
        if count and STOP in (first, second):
            raise Malformed("elements of an unknown type")
        return Container(first, second if kind == MAP else STOP, count, at + 1)

    @staticmethod
    def error(text: bytes, kind: int) -> bytes:
        """The body of a TApplicationException."""
        return b"".join((b"\x18", put_varint(len(text)), text, b"\x15", put_varint(kind << 1), b"\x00"))


Protocol = type[Binary] | type[Compact]


def _kind(kind: int) -> int:
    if not CALL <= kind <= ONEWAY:
        raise Malformed(f"unknown type of message {kind}")
    return kind


def _name(data: Buffer) -> bytes:
    name = bytes(data)
    try:
        name.decode()
    except UnicodeDecodeError:
        raise Malformed("a method's name that is no text") from None
    return name


# --- where a struct ends

_IN_STRUCT, _IN_LIST, _IN_MAP, _VALUE, _BYTES = range(5)


class Scan:
    """Finds the end of a struct, token by token, and goes on where it left off when more has come.

    `end` is where the message must be over (framed), or the most that it may reach (unframed): a length or a
    count that leads beyond is malformed at once. `at` is the next byte that is looked at. Work and memory
    are bounded by bytes read and by MOST_DEPTH.
    """

    def __init__(self, protocol: Protocol, at: int, end: int, kind: int = STRUCT) -> None:
        self.at = at
        self._protocol, self._end = protocol, end
        # Open values, the innermost last: what it is, and its state.
        self._open: list[list[int]] = [[_IN_STRUCT, 0]] if kind == STRUCT else [[_VALUE, kind]]

    def run(self, data: Buffer) -> bool:
        """Go on; whether the struct is whole. Raise Malformed where it can't be one any more."""
        try:
            while self._open:
                self._step(data)
                if self.at > self._end:
                    raise Malformed("a value leads beyond its message")
        except Short:
            if len(data) >= self._end:
                raise Malformed("the message ends within a value") from None
            return False
        return True

    def _step(self, data: Buffer) -> None:
        top = self._open[-1]
        match top[0]:
            case 0:  # _IN_STRUCT: [, last id]
                kind, number, after, told = self._protocol.field(data, self.at, top[1])
                if kind == STOP:
                    self._open.pop()
                else:
                    top[1] = number
                    if not told:
                        self._push([_VALUE, kind])
                self.at = after
            case 1:  # _IN_LIST: [, left, type]
                self._element(top, top[2])
            case 2:  # _IN_MAP: [, left, type of keys, type of values]; keys and values in turn
                self._element(top, top[2] if top[1] % 2 == 0 else top[3])
            case 3:  # _VALUE: [, type]
                self._value(data, top[1])
            case _:  # _BYTES: [, left]
                taken = min(top[1], len(data) - self.at)
                self.at += taken
                top[1] -= taken
                if top[1]:
                    raise Short
                self._open.pop()

    def _element(self, top: list[int], kind: int) -> None:
        if not top[1]:
            self._open.pop()
            return
        top[1] -= 1
        self._push([_VALUE, kind])

    def _push(self, item: list[int]) -> None:
        if len(self._open) > MOST_DEPTH:
            raise Malformed("values in values without end")
        self._open.append(item)

    def _value(self, data: Buffer, kind: int) -> None:
        protocol = self._protocol
        if size := protocol.fixed(kind):
            _need(data, self.at, size)
            self.at += size
        elif kind in (I16, I32, I64):
            _, self.at = protocol.number(data, self.at, kind)
        elif kind == STRING:
            length, at = protocol.length(data, self.at)
            self._claim(at, length)
            self.at = at
            self._open[-1] = [_BYTES, length]
            return
        elif kind == STRUCT:
            self._open[-1] = [_IN_STRUCT, 0]
            return
        else:
            held = protocol.container(data, self.at, kind)
            each = protocol.least(held.first) if held.size else 0
            if held.second:
                each += protocol.least(held.second)
            self._claim(held.at, held.size * each)
            self.at = held.at
            sizes = [protocol.fixed(t) for t in (held.first, held.second) if t] if held.size else [0]
            if all(sizes):  # of one size each: no need to look at them one by one
                self._open[-1] = [_BYTES, held.size * sum(sizes)]
            elif kind == MAP:
                self._open[-1] = [_IN_MAP, 2 * held.size, held.first, held.second]
            else:
                self._open[-1] = [_IN_LIST, held.size, held.first]
            return
        self._open.pop()

    def _claim(self, at: int, count: int) -> None:
        if at + count > self._end:
            raise Malformed("a length or count of more than the message can hold")


# --- single fields


def find(protocol: Protocol, data: Buffer, at: int, path: Sequence[int]) -> int | bytes | None:
    """The value at a path of field ids into the struct that begins at `at`: a number, a text's bytes, or None
    where it is not there or of another kind. The data is a whole message. Raise Malformed if it is none."""
    try:
        for depth, wanted in enumerate(path):
            last, kind, told = 0, -1, False
            while kind != STOP:
                before = at
                kind, last, at, told = protocol.field(data, at, last)
                if kind == STOP or last == wanted:
                    break
                if not told:
                    scan = Scan(protocol, at, len(data), kind)
                    scan.run(data)
                    at = scan.at
            if kind == STOP:
                return None
            if depth == len(path) - 1:
                return _read(protocol, data, before, at, kind, told)
            if kind != STRUCT:
                return None
    except Short:
        raise Malformed("the message ends within a value") from None
    return None


def _read(
    protocol: Protocol, data: Buffer, head_at: int, at: int, kind: int, told: bool
) -> int | bytes | None:
    if kind == BOOL:
        _need(data, at, 0 if told else 1)
        return int(data[head_at] & 0x0F == 1) if told else int(data[at] != 0)
    if kind in (BYTE, I16, I32, I64):
        return protocol.number(data, at, kind)[0]
    if kind == STRING:
        length, begin = protocol.length(data, at)
        _need(data, begin, length)
        return bytes(data[begin : begin + length])
    return None
