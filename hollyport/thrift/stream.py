"""A stream of Thrift messages: which form it has, and where each message ends. No I/O.

The forms that implementations speak: binary or compact, with a length before each message (framed) or without
one (unframed, where only reading the arguments to their end tells it).
"""

from __future__ import annotations

from contextlib import suppress
from typing import NamedTuple

from hollyport.thrift.walk import end_of
from hollyport.thrift.wire import (
    CALL,
    COMPACT_ID,
    COMPACT_VERSION,
    EXCEPTION,
    MOST_NAME,
    REPLY,
    Binary,
    Compact,
    Head,
    Malformed,
    Protocol,
    Scan,
    Short,
)

MOST = 1 << 20  # bytes of one message, unless operators say otherwise
LEAST = 4  # bytes of the shortest message there can be: compact, no name, no argument
ENOUGH = MOST_NAME + 16  # bytes by which the form of a stream can always be told

# Types of a TApplicationException. Those of Apache Thrift end with 10; 11 and 12 are fbthrift's, and a client
# that does not know them still reads the exception and its text.
UNKNOWN, UNKNOWN_METHOD, INVALID_MESSAGE_TYPE, WRONG_METHOD_NAME, BAD_SEQUENCE_ID = range(5)
MISSING_RESULT, INTERNAL_ERROR, PROTOCOL_ERROR = 5, 6, 7
LOADSHEDDING, TIMEOUT = 11, 12


class Form(NamedTuple):
    """How messages are written."""

    protocol: Protocol
    framed: bool

    def __str__(self) -> str:
        return f"{'framed' if self.framed else 'unframed'} {self.protocol.name}"


FRAMED_BINARY, FRAMED_COMPACT = Form(Binary, True), Form(Compact, True)
UNFRAMED_BINARY, UNFRAMED_COMPACT = Form(Binary, False), Form(Compact, False)
FORMS = {
    "framed-binary": FRAMED_BINARY,
    "framed-compact": FRAMED_COMPACT,
    "unframed-binary": UNFRAMED_BINARY,
    "unframed-compact": UNFRAMED_COMPACT,
}


class Message(NamedTuple):
    """One whole message, without the length before it."""

    form: Form
    head: Head
    data: bytes

    def renumbered(self, seqid: int) -> bytes:
        """Its bytes on the wire under another sequence id; all else is as it came."""
        return wrap(self.form, self.form.protocol.with_seqid(self.data, self.head, seqid))


def wrap(form: Form, data: bytes) -> bytes:
    """A message as it goes on the wire."""
    return len(data).to_bytes(4, "big") + data if form.framed else data


def refusal(form: Form, call: Head, kind: int, text: str) -> bytes:
    """The answer to a call that none will be served: a TApplicationException, as it goes on the wire."""
    protocol = form.protocol
    head = protocol.put_head(call.name, EXCEPTION, call.seqid, call.strict)
    return wrap(form, head + protocol.error(text.encode(), kind))


def detect(data: bytes | bytearray, most: int = MOST) -> Form:
    """The form of a stream by its first bytes. Raise Short where they don't tell yet, Malformed where no form
    begins so, as with HTTP or TLS."""
    if not data:
        raise Short
    if data[0] == COMPACT_ID:
        if len(data) < 2:
            raise Short
        if data[1] & 0x1F != COMPACT_VERSION:
            raise Malformed("another version of the compact protocol")
        return UNFRAMED_COMPACT
    if len(data) < 4:
        raise Short
    first = int.from_bytes(data[:4], "big")
    if first >> 31:
        if first >> 16 != 0x8001:
            raise Malformed("neither Thrift nor a length")
        return UNFRAMED_BINARY
    if first < LEAST or first > most:
        raise Malformed(f"neither Thrift nor the length of a message: {bytes(data[:4])!r}")
    if len(data) < 8:
        raise Short
    if data[4] == COMPACT_ID and data[5] & 0x1F == COMPACT_VERSION:
        return FRAMED_COMPACT
    if data[4] == 0x80 and data[5] == 0x01:
        return FRAMED_BINARY
    # The older binary form begins with the length of the method's name. In a frame, that is the second word;
    # without one the second word is the name itself, whose characters make a far longer length.
    second = int.from_bytes(data[4:8], "big")
    if second <= min(first, MOST_NAME):
        return FRAMED_BINARY
    if first <= MOST_NAME:
        return UNFRAMED_BINARY
    raise Malformed("no message begins so")


class Messages:
    """Cuts a stream into messages. Feed it bytes, then ask for messages until there is none.

    It holds no more than one message and what came in the same read behind it; the owner stops reading
    while messages are not taken. After Malformed there is nothing more to be had.
    """

    def __init__(self, form: Form | None = None, most: int = MOST) -> None:
        self.form = form  # None: told by the first bytes
        self._most = most
        self._held = bytearray()
        self._head: Head | None = None
        self._scan: Scan | None = None
        self._broken: Malformed | None = None

    def feed(self, data: bytes) -> None:
        """More bytes have come."""
        self._held += data

    @property
    def held(self) -> int:
        """Bytes that are held and no message yet."""
        return len(self._held)

    def head(self) -> Head | None:
        """The head of the message that is coming in, where it can be read: an error can still be answered."""
        return self._head

    def next(self) -> Message | None:
        """The next whole message, or None until more bytes come. Raise Malformed on what is none."""
        if self._broken is not None:
            raise self._broken
        try:
            if self.form is None:
                self.form = detect(self._held, self._most)
            return self._framed() if self.form.framed else self._unframed()
        except Short:
            return None
        except Malformed as error:
            self._broken = error
            self._held.clear()
            raise

    def _framed(self) -> Message | None:
        assert self.form is not None
        held = self._held
        if len(held) < 4:
            return None
        length = int.from_bytes(held[:4], "big", signed=True)
        if not LEAST <= length <= self._most:
            raise Malformed(f"a frame of {length} bytes")
        whole = len(held) >= 4 + length
        frame = memoryview(held)[4 : 4 + length]
        try:
            if self._head is None:
                self._head = self.form.protocol.head(frame)
            if not whole:
                return None
            data = bytes(frame)
        except Short:
            if whole:
                raise Malformed("the frame ends within the head") from None
            return None
        finally:
            frame.release()
        del held[: 4 + length]
        head, self._head = self._head, None
        return Message(self.form, head, data)

    def _unframed(self) -> Message | None:
        assert self.form is not None
        held = self._held
        if self._head is None:
            if not held:
                return None
            head = self.form.protocol.head(held)
            # Most messages are there whole at the first look, and one walk finds their end. Where it does
            # not, the scan goes on from piece to piece, and says what is wrong.
            with suppress(Malformed):
                data = bytes(held)
                end = end_of(self.form.protocol, data, head.body_at)
                if end <= self._most:
                    del held[:end]
                    return Message(self.form, head, data[:end])
            self._head = head
            self._scan = Scan(self.form.protocol, head.body_at, self._most)
        assert self._scan is not None
        if not self._scan.run(held):
            return None
        data = bytes(held[: self._scan.at])
        del held[: self._scan.at]
        head, self._head, self._scan = self._head, None, None
        return Message(self.form, head, data)


def whole(message: Message) -> None:
    """Check that a message is one struct and nothing more. Raise Malformed; for what came in a frame and is
    passed on as it is: what is left behind a struct would be taken for the next message."""
    if end_of(message.form.protocol, message.data, message.head.body_at) != len(message.data):
        raise Malformed("more follows the message in its frame")


def answers(call: Head, reply: Head) -> str:
    """Why a message can't be the answer to a call, or "" where it can. Sequence ids and names must be the
    call's: a node that answers late on a kept connection would else serve one caller another's result."""
    if reply.kind not in (REPLY, EXCEPTION) or call.kind != CALL:
        return "no answer"
    if reply.seqid != call.seqid:
        return "the answer to another call"
    # Apache's multiplexed processors strip the service from the name before the method's own code answers.
    if reply.name not in (call.name, call.name.rpartition(b":")[2]):
        return "the answer of another method"
    return ""
