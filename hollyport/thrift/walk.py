"""Where a struct ends in a message that is whole: what `Scan` finds token by token, in one go.

Framed calls and answers are checked before they are passed on; with `Scan`, which can stop at any byte, that
took most of a call's time. Both accept and reject the same (a property test compares them). An index beyond
the message is how a claim that is too long shows: each element takes a byte at least, so work is bounded by
the message, and nothing is allocated.
"""

from __future__ import annotations

from struct import Struct
from struct import error as StructError

from hollyport.thrift.wire import (
    BOOL,
    BYTE,
    DOUBLE,
    I16,
    I32,
    I64,
    LIST,
    MAP,
    MOST_DEPTH,
    SET,
    STOP,
    STRING,
    STRUCT,
    UUID,
    Binary,
    Malformed,
    Protocol,
)

_I32 = Struct(">i").unpack_from
_KNOWN = frozenset({BOOL, BYTE, DOUBLE, I16, I32, I64, STRING, STRUCT, MAP, SET, LIST, UUID})
_SIZES = [0] * 256
for _kind, _size in ((BOOL, 1), (BYTE, 1), (DOUBLE, 8), (I16, 2), (I32, 4), (I64, 8), (UUID, 16)):
    _SIZES[_kind] = _size

# Compact: numbers of types as they are written there.
_C_TRUE, _C_FALSE, _C_BYTE, _C_I16, _C_I32, _C_I64, _C_DOUBLE = range(1, 8)
_C_STRING, _C_LIST, _C_SET, _C_MAP, _C_STRUCT, _C_UUID = range(8, 14)
_C_SIZES = [0] * 16
for _kind, _size in ((_C_TRUE, 1), (_C_FALSE, 1), (_C_BYTE, 1), (_C_DOUBLE, 8), (_C_UUID, 16)):
    _C_SIZES[_kind] = _size
_C_MOST = {_C_I16: 3, _C_I32: 5, _C_I64: 10}


def end_of(protocol: Protocol, data: bytes, at: int) -> int:
    """Where the struct that begins at `at` ends. Raise Malformed where there is none within the message."""
    try:
        return _b_struct(data, at, 1) if protocol is Binary else _c_struct(data, at, 1)
    except (IndexError, StructError):
        raise Malformed("the message ends within a value") from None


def _too_deep(depth: int) -> None:
    if depth > MOST_DEPTH:
        raise Malformed("values in values without end")


def _b_struct(data: bytes, at: int, depth: int) -> int:
    sizes = _SIZES
    while True:
        kind = data[at]
        if kind == STOP:
            return at + 1
        if depth > MOST_DEPTH:
            _too_deep(depth)
        size = sizes[kind]
        if size:
            at += 3 + size
        elif kind == STRING:
            length: int = _I32(data, at + 3)[0]
            if length < 0:
                raise Malformed("a negative length")
            at += 7 + length
        else:
            data[at + 2]  # the field's id must be there, too
            at = _b_value(data, at + 3, kind, depth + 1)


def _b_value(data: bytes, at: int, kind: int, depth: int) -> int:
    if kind == STRUCT:
        return _b_struct(data, at, depth)
    if kind == STRING:
        length: int = _I32(data, at)[0]
        if length < 0:
            raise Malformed("a negative length")
        return at + 4 + length
    if kind == MAP:
        first, second = data[at], data[at + 1]
        count: int = _I32(data, at + 2)[0]
        at += 6
    elif kind in (LIST, SET):
        first, second = data[at], STOP
        count = _I32(data, at + 1)[0]
        at += 5
    else:
        raise Malformed(f"unknown type {kind}")
    if count < 0:
        raise Malformed("a negative count")
    if not count:
        return at
    if first not in _KNOWN or (kind == MAP and second not in _KNOWN):
        raise Malformed("elements of an unknown type")
    size, other = _SIZES[first], _SIZES[second]
    if size and (other or kind != MAP):
        return at + count * (size + other)
    _too_deep(depth)
    for _ in range(count):
        at = at + size if size else _b_value(data, at, first, depth + 1)
        if kind == MAP:
            at = at + other if other else _b_value(data, at, second, depth + 1)
        data[at - 1]  # or a great claim of tiny elements would be counted to its end
    return at


def _varint(data: bytes, at: int, most: int) -> tuple[int, int]:
    value = shift = 0
    for _ in range(most):
        byte = data[at]
        at += 1
        value |= (byte & 0x7F) << shift
        if byte < 0x80:
            return value, at
        shift += 7
    raise Malformed("a number is longer than its type")


def _past(data: bytes, at: int, most: int) -> int:
    """The end of a number whose value does not matter."""
    for end in range(at, at + most):
        if data[end] < 0x80:
            return end + 1
    raise Malformed("a number is longer than its type")


def _c_struct(data: bytes, at: int, depth: int) -> int:
    sizes = _C_SIZES
    while True:
        byte = data[at]
        kind = byte & 0x0F
        at += 1
        if kind == STOP:
            return at
        if kind > _C_UUID:
            raise Malformed(f"unknown type {kind}")
        if byte < 16:
            at = _past(data, at, 3)
        if kind <= _C_FALSE:
            continue  # the head has held the value
        if depth > MOST_DEPTH:
            _too_deep(depth)
        size = sizes[kind]
        if size:
            at += size
        elif kind <= _C_I64:
            at = at + 1 if data[at] < 0x80 else _past(data, at, _C_MOST[kind])
        elif kind == _C_STRING:
            length = data[at]
            if length < 0x80:
                at += 1 + length
            else:
                length, at = _varint(data, at, 5)
                at += length
        else:
            at = _c_value(data, at, kind, depth + 1)


def _c_value(data: bytes, at: int, kind: int, depth: int) -> int:
    if kind == _C_STRUCT:
        return _c_struct(data, at, depth)
    if kind == _C_STRING:
        length, at = _varint(data, at, 5)
        return at + length
    if kind in _C_MOST:
        return _past(data, at, _C_MOST[kind])
    if kind == _C_MAP:
        count, at = _varint(data, at, 5)
        if not count:
            return at
        first, second = data[at] >> 4, data[at] & 0x0F
        at += 1
    else:
        first, second, count = data[at] & 0x0F, 0, data[at] >> 4
        at += 1
        if count == 15:
            count, at = _varint(data, at, 5)
        if not count:
            return at
    if not 0 < first <= _C_UUID or (kind == _C_MAP and not 0 < second <= _C_UUID):
        raise Malformed("elements of an unknown type")
    size, other = _C_SIZES[first], _C_SIZES[second]
    if size and (other or kind != _C_MAP):
        return at + count * (size + other)
    _too_deep(depth)
    for _ in range(count):
        at = at + size if size else _c_value(data, at, first, depth + 1)
        if kind == _C_MAP:
            at = at + other if other else _c_value(data, at, second, depth + 1)
        data[at - 1]
    return at
