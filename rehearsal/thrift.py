"""Thrift as the rig's clients and nodes speak it: one service, a method for each class, and one for load.

    service Channel {
      string CLASS(1: string id, 2: i64 patience_us, 3: string member, 4: binary filler)   // or oneway
      Load load()                                       // struct Load { 1: i64 inflight, 2: i64 queue }
    }

Bytes come from the daemon's wire codec, which the daemon's own tests hold against independent libraries.
"""

from __future__ import annotations

from typing import Any

from hollyport.thrift.recode import recode
from hollyport.thrift.stream import FORMS, FRAMED_BINARY, Form, Message, wrap
from hollyport.thrift.wire import CALL, EXCEPTION, ONEWAY, REPLY, Binary, Head, find

SERVICE = "Channel"
LOAD = b"load"
STATUS = {11: 503, 12: 504, 6: 502, 1: 404, 7: 400}  # what HTTP would have said, for the records
SHED, BUG = 11, 6


def method(cls: str) -> str:
    """The method's name of a class."""
    return cls.replace("-", "_")


def _text(number: int, value: bytes) -> bytes:
    return b"\x0b" + number.to_bytes(2, "big") + len(value).to_bytes(4, "big") + value


def _i64(number: int, value: int) -> bytes:
    return b"\x0a" + number.to_bytes(2, "big") + value.to_bytes(8, "big", signed=True)


def _message(form: str, name: bytes, kind: int, seqid: int, body: bytes) -> bytes:
    head = Binary.put_head(name, kind, seqid)
    made = recode(Message(FRAMED_BINARY, Binary.head(head), head + body + b"\x00"), FORMS[form])
    return wrap(made.form, made.data)


def call(
    form: str, cls: str, seqid: int, rid: bytes, patience_us: int, member: str, oneway: bool, filler: int
) -> bytes:
    """A client's call."""
    body = _text(1, rid) + _i64(2, patience_us) + _text(3, member.encode())
    if filler:
        body += _text(4, b"f" * filler)
    name = f"{SERVICE}:{method(cls)}".encode()
    return _message(form, name, ONEWAY if oneway else CALL, seqid, body)


def asked(message: Message) -> tuple[bytes | None, int]:
    """What a node reads in a call: its id and how long its client waits."""
    protocol, data, at = message.form.protocol, message.data, message.head.body_at
    rid, wait = find(protocol, data, at, (1,)), find(protocol, data, at, (2,))
    return (rid if isinstance(rid, bytes) else None), (wait if isinstance(wait, int) else 0)


def _own(head: Head) -> bytes:
    """The name in an answer: multiplexed processors strip the service."""
    return head.name.rpartition(b":")[2]


def answer(form: str, head: Head, body: bytes) -> bytes:
    """A node's answer."""
    return _message(form, _own(head), REPLY, head.seqid, _text(0, body))


def load(form: str, head: Head, inflight: int, queue: int) -> bytes:
    """A node's answer to the question after its load."""
    report = _i64(1, inflight) + _i64(2, queue) + b"\x00"
    return _message(form, _own(head), REPLY, head.seqid, b"\x0c\x00\x00" + report)


def error(form: str, head: Head, kind: int) -> bytes:
    """A node's TApplicationException."""
    body = _text(1, b"no") + b"\x08\x00\x02" + kind.to_bytes(4, "big")
    return _message(form, _own(head), EXCEPTION, head.seqid, body)


def told(message: Message) -> tuple[int, bytes, int | None]:
    """What a client reads in an answer: the status as HTTP would have it, the body, and when to come back
    (microseconds)."""
    protocol, data, at = message.form.protocol, message.data, message.head.body_at
    if message.head.kind == EXCEPTION:
        text, kind = find(protocol, data, at, (1,)), find(protocol, data, at, (2,))
        words = text.decode(errors="replace") if isinstance(text, bytes) else ""
        again = None
        if "come back in " in words:
            again = int(float(words.rpartition("come back in ")[2].split(" ")[0]) * 1e6)
        return STATUS.get(kind if isinstance(kind, int) else 0, 500), b"", again
    body = find(protocol, data, at, (0,))
    return 200, (body if isinstance(body, bytes) else b""), None


def form(name: str) -> Form:
    """A form by its name."""
    return FORMS[name]


def options(address: str, classes: dict[str, Any]) -> str:
    """The daemon's `thrift` table."""
    lines = ["[thrift]", "[[thrift.listeners]]", f'address = "{address}"']
    for name in classes:
        lines += [
            "[[thrift.methods]]", f'name = "{SERVICE}:{method(name)}"', f'class = "{name}"',
            "id = [1]", "deadline = [2]", 'deadline_unit = "us"', "member = [3]",
        ]  # fmt: skip
        if classes[name].repeat == "keyed":
            lines.append("idempotency_key = [1]")
    lines += ["[thrift.probe]", 'method = "load"', "inflight = [0, 1]", "queue = [0, 2]"]
    return "\n".join(lines) + "\n"
