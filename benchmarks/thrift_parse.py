"""What it costs to cut a Thrift stream into messages: our own reading beside the public libraries.

    python -m benchmarks.thrift_parse [--messages 5000] [--json FILE]

A rate push (a struct of texts, numbers, a list of 20 structs, a map), whole in the buffer. Ours reads the
head and where the message ends; the libraries read the head and skip the rest, which is the least they can be
asked for without an IDL. Needs the development requirements.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections.abc import Callable
from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocol, TBinaryProtocolAccelerated
from thrift.protocol.TCompactProtocol import TCompactProtocol, TCompactProtocolAccelerated
from thrift.Thrift import TMessageType, TType
from thrift.transport.TTransport import TMemoryBuffer
from thriftpy2.protocol import TBinaryProtocol as OtherBinary
from thriftpy2.protocol import TCompactProtocol as OtherCompact
from thriftpy2.protocol.cybin import TCyBinaryProtocol
from thriftpy2.thrift import TType as OtherType
from thriftpy2.transport import TCyMemoryBuffer
from thriftpy2.transport import TMemoryBuffer as OtherMemory

from hollyport.thrift.stream import FORMS, Messages, wrap


def push(protocol: Any) -> bytes:
    """One call of a property system."""
    memory = TMemoryBuffer()
    out = protocol(memory)

    def field(number: int, kind: int, write: Callable[[], None]) -> None:
        out.writeFieldBegin("", kind, number)
        write()
        out.writeFieldEnd()

    def nights() -> None:
        out.writeListBegin(TType.STRUCT, 20)
        for night in range(20):
            out.writeStructBegin("")
            field(1, TType.I32, lambda n=night: out.writeI32(20_261_201 + n))
            field(2, TType.DOUBLE, lambda: out.writeDouble(431.5))
            field(3, TType.I16, lambda: out.writeI16(12))
            out.writeFieldStop()
            out.writeStructEnd()
        out.writeListEnd()

    def terms() -> None:
        out.writeMapBegin(TType.STRING, TType.STRING, 4)
        for word in ("board", "half", "meal", "none", "tax", "in", "currency", "MYR"):
            out.writeString(word)
        out.writeMapEnd()

    out.writeMessageBegin("Rates:push", TMessageType.CALL, 77)
    out.writeStructBegin("")
    for number, text in ((1, "request-0123456789abcdef"), (2, "teratai-group"), (3, "KUL-0042")):
        field(number, TType.STRING, lambda t=text: out.writeString(t))
    field(4, TType.LIST, nights)
    field(5, TType.MAP, terms)
    out.writeFieldStop()
    out.writeStructEnd()
    out.writeMessageEnd()
    return bytes(memory.getvalue())


def ours(form: str, data: bytes) -> Callable[[], object]:
    made = FORMS[form]
    stream = wrap(made, data)

    def run() -> object:
        reader = Messages(made)
        reader.feed(stream)
        return reader.next()

    return run


def apache(protocol: Any, data: bytes) -> Callable[[], object]:
    def run() -> object:
        source = protocol(TMemoryBuffer(data))
        told = source.readMessageBegin()
        source.skip(TType.STRUCT)
        return told

    return run


def other(protocol: Any, memory: Any, data: bytes) -> Callable[[], object]:
    def run() -> object:
        source = protocol(memory(data))
        told = source.read_message_begin()
        source.skip(OtherType.STRUCT)
        return told

    return run


def main() -> int:
    """Entry point."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--messages", type=int, default=5000)
    parser.add_argument("--json", metavar="FILE", help="also write the figures there")
    told = parser.parse_args()
    binary, compact = push(TBinaryProtocol), push(TCompactProtocol)
    readers = {
        "ours, framed binary": ours("framed-binary", binary),
        "ours, framed compact": ours("framed-compact", compact),
        "ours, unframed binary": ours("unframed-binary", binary),
        "ours, unframed compact": ours("unframed-compact", compact),
        "thrift, binary": apache(TBinaryProtocol, binary),
        "thrift, compact": apache(TCompactProtocol, compact),
        "thrift accelerated, binary": apache(TBinaryProtocolAccelerated, binary),
        "thrift accelerated, compact": apache(TCompactProtocolAccelerated, compact),
        "thriftpy2, binary": other(OtherBinary, OtherMemory, binary),
        "thriftpy2, compact": other(OtherCompact, OtherMemory, compact),
        "thriftpy2 in Cython, binary": other(TCyBinaryProtocol, TCyMemoryBuffer, binary),
    }
    rows = []
    print(f"{len(binary)} bytes in binary, {len(compact)} in compact\n")
    print("| | microseconds a message |\n| --- | --- |")
    for name, run in readers.items():
        best = min(_time(run, max(1, told.messages // 5)) for _ in range(5))
        rows.append({"name": name, "us": round(best * 1e6, 1)})
        print(f"| {name} | {best * 1e6:.1f} |", flush=True)
    if told.json:
        with open(told.json, "w", encoding="utf-8") as file:
            json.dump(rows, file, indent=1)
    return 0


def _time(run: Callable[[], object], count: int) -> float:
    began = time.perf_counter()
    for _ in range(count):
        run()
    return (time.perf_counter() - began) / count


if __name__ == "__main__":
    sys.exit(main())
