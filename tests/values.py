"""Random Thrift values, written and read by Apache's own library."""

from __future__ import annotations

from hypothesis import strategies as st
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TMessageType, TType
from thrift.transport.TTransport import TMemoryBuffer

from hollyport.thrift.wire import Binary, Compact

PROTOCOLS = {"binary": Binary, "compact": Compact}
NUMBERS = {TType.BYTE: 8, TType.I16: 16, TType.I32: 32, TType.I64: 64}


def scalars():
    made = [
        st.tuples(st.just(kind), st.integers(-(2 ** (bits - 1)), 2 ** (bits - 1) - 1))
        for kind, bits in NUMBERS.items()
    ]
    made.append(st.tuples(st.just(TType.BOOL), st.booleans()))
    made.append(st.tuples(st.just(TType.DOUBLE), st.floats(allow_nan=False)))
    made.append(st.tuples(st.just(TType.STRING), st.binary(max_size=40)))
    return st.one_of(made)


def _same(pairs):
    """Elements of a list are of one type: those of the first one's."""
    return [value for value in pairs if value[0] == pairs[0][0]] if pairs else []


def _extend(inner):
    lists = st.lists(inner, max_size=18).map(_same)
    return st.one_of(
        st.tuples(st.just(TType.LIST), lists),
        st.tuples(st.just(TType.SET), lists),
        st.tuples(st.just(TType.MAP), st.tuples(lists, lists)),
        st.tuples(st.just(TType.STRUCT), fields(inner)),
    )


def fields(inner):
    return st.dictionaries(st.integers(-300, 300), inner, max_size=6)


values = st.recursive(scalars(), _extend, max_leaves=12)
structs = fields(values)


def write_struct(out, struct):
    out.writeStructBegin("")
    for number, (kind, value) in struct.items():
        out.writeFieldBegin("", kind, number)
        write(out, kind, value)
        out.writeFieldEnd()
    out.writeFieldStop()
    out.writeStructEnd()


def write(out, kind, value):
    if kind == TType.STRUCT:
        write_struct(out, value)
    elif kind in (TType.LIST, TType.SET):
        name = "List" if kind == TType.LIST else "Set"
        getattr(out, f"write{name}Begin")(value[0][0] if value else TType.I32, len(value))
        for of, item in value:
            write(out, of, item)
        getattr(out, f"write{name}End")()
    elif kind == TType.MAP:
        pairs = list(zip(*value, strict=False))
        types = (pairs[0][0][0], pairs[0][1][0]) if pairs else (TType.I32, TType.I32)
        out.writeMapBegin(*types, len(pairs))
        for key, item in pairs:
            write(out, *key)
            write(out, *item)
        out.writeMapEnd()
    else:
        name = {TType.BOOL: "Bool", TType.BYTE: "Byte", TType.I16: "I16", TType.I32: "I32", TType.I64: "I64",
                TType.DOUBLE: "Double", TType.STRING: "Binary"}[kind]  # fmt: skip
        getattr(out, f"write{name}")(value)


def protocol(name, strict=True):
    memory = TMemoryBuffer()
    if name == "compact":
        return TCompactProtocol(memory), memory
    return TBinaryProtocol(memory, strictRead=False, strictWrite=strict), memory


def apache_reader(name, data):
    memory = TMemoryBuffer(bytes(data))
    return TCompactProtocol(memory) if name == "compact" else TBinaryProtocol(memory)


def message(name, struct, method="push", seqid=7, kind=TMessageType.CALL, strict=True):
    out, memory = protocol(name, strict)
    out.writeMessageBegin(method, kind, seqid)
    write_struct(out, struct)
    out.writeMessageEnd()
    return memory.getvalue()


def apache_message_end(name, data):
    """Whether Apache's library reads a message there, and where it ends."""
    source = apache_reader(name, data)
    source.readString = source.readBinary  # texts and bytes are one type: it would only skip what is UTF-8
    try:
        _, kind, _ = source.readMessageBegin()
        source.skip(TType.STRUCT)
    except Exception:
        return None
    return source.trans.cstringio_buf.tell() if 1 <= kind <= 4 else None
