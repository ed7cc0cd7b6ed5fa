"""Thrift towards channel nodes: calls out under sequence ids of the connection's own, answers in, and how a
oneway call is known to be over."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache
from typing import Any, NamedTuple

from dunefield.interface import AttemptOutcome
from hollyport.http.heads import COMMON_LOAD, MOST_LOAD
from hollyport.nodes.back import Beside
from hollyport.nodes.carrier import Carrier
from hollyport.thrift.recode import recode
from hollyport.thrift.stream import LOADSHEDDING, Form, Message, Messages, answers, whole
from hollyport.thrift.walk import end_of
from hollyport.thrift.wire import CALL, EXCEPTION, REPLY, Head, Malformed, Protocol, find


class Outgoing(NamedTuple):
    """A call as a front hands it to a back."""

    message: Message
    oneway: bool = False
    settle_s: float = 0.0  # a oneway call that nothing can tell the end of counts as over after so long


@dataclass(frozen=True, slots=True)
class Probe:
    """The question after a node's load: a method without arguments, and where its result has the figures."""

    method: bytes
    inflight: tuple[int, ...]
    queue: tuple[int, ...]


class Answer(NamedTuple):
    """One whole answer, or the end of a oneway call."""

    message: Message | None
    how: AttemptOutcome
    load: dict[str, float]
    transfer_s: float = 0.0  # calls are short, and answered in one piece

    def riding(self) -> dict[str, float]:
        """What the question behind a oneway call told; answers themselves carry no report."""
        return self.load

    def report(self) -> dict[str, float]:
        """The load report that is the answer to a probe."""
        return self.load


@lru_cache(maxsize=64)
def _question(form: Form, method: bytes) -> Message:
    """The call after a node's load."""
    begin = form.protocol.put_head(method, CALL, 0)
    return Message(form, form.protocol.head(begin), begin + b"\x00")


@lru_cache(maxsize=1024)
def _read_load(
    protocol: Protocol, body: bytes, inflight: tuple[int, ...], queue: tuple[int, ...]
) -> dict[str, float]:
    """Read a report; raise Malformed where the answer is none. Small ones repeat all the time, and whoever
    gets one only reads it."""
    if end_of(protocol, body, 0) != len(body):
        raise Malformed("more follows the message in its frame")
    found = {}
    for name, path in (("inflight", inflight), ("queue", queue)):
        value = find(protocol, body, 0, path)
        if not isinstance(value, int) or not 0 <= value <= MOST_LOAD:
            return {}  # a report that can't be one is none
        found[name] = float(value)
    return found


class ThriftConnection(Carrier):
    """One connection to a node: one call at a time.

    A oneway call is never answered. Where there is a probe, it is written right behind: nodes work through a
    connection in turn, so its answer tells that the call is over, and how long it took. Elsewhere the
    connection rests until the call should be over.
    """

    def __init__(
        self, on_lost: Callable[[Any], None], stall_s: float, form: Form, most: int, probe: Probe | None
    ) -> None:
        super().__init__(on_lost, stall_s)
        self._form, self._probe = form, probe
        self._question = _question(form, probe.method) if probe is not None else None
        self._messages = Messages(form, most)
        self._seqid = 0
        self._expected: Head | None = None  # the call that is to be answered
        self._asked_load = False  # and it is a probe, or stands behind a oneway call
        self._behind = False  # it stands behind one
        self._oneway: Outgoing | None = None
        self._settling: asyncio.TimerHandle | None = None

    # --- Carrier

    def _write(self, request: Any) -> None:
        self._oneway, self._behind = None, False
        if request is self._probe:
            self._ask_load()
            return
        assert isinstance(request, Outgoing)
        self._asked_load = False
        # To the node it is what the client sent, but for the sequence id and, where need be, the form.
        message = recode(request.message, self._form, request.message.head.strict)
        if request.oneway:
            self._oneway = request
        self._call(message)

    def _call(self, message: Message) -> None:
        self._seqid = self._seqid % 0x7FFFFFFF + 1
        self._expected = message.head._replace(seqid=self._seqid)
        self._put(message.renumbered(self._seqid))

    def _ask_load(self) -> None:
        assert self._question is not None
        self._asked_load = True
        self._call(self._question)

    def _whole(self) -> None:
        super()._whole()
        oneway, self._oneway = self._oneway, None
        if oneway is None or self._done is None:
            return
        if self._probe is not None:
            self._behind = True
            self._ask_load()
        else:
            self._expected = None
            self._settling = asyncio.get_running_loop().call_later(oneway.settle_s, self._settled)

    def _settled(self) -> None:
        # Nobody knows how it went: withdrawn tells the module that, and no more.
        self._settling = None
        self._finish(Answer(None, AttemptOutcome.CANCELLED, {}))

    def _read(self, data: bytes) -> None:
        self._messages.feed(data)
        try:
            message = self._messages.next()
            if message is None:
                self._wait_on()
                return
            answer = self._answer(message)
        except Malformed:
            self._spoil()
            return
        if self._messages.held:
            self.reusable = False  # what follows belongs to nobody; it does not make the answer worse
        self._expected = None
        self._finish(answer)

    def _answer(self, message: Message) -> Answer:
        head = message.head
        if self._expected is None or self._oneway is not None:
            raise Malformed("an answer that nobody asked for")
        if why := answers(self._expected, head):
            raise Malformed(why)
        protocol = message.form.protocol
        if self._asked_load and head.kind == REPLY:
            return Answer(message, AttemptOutcome.OK, self._load(message))
        if message.form.framed:
            whole(message)  # the client would take what is behind it for the next answer
        if head.kind == EXCEPTION and self._behind:
            return Answer(None, AttemptOutcome.CANCELLED, {})  # over it is, but how it went is not told
        if head.kind == EXCEPTION:
            kind = find(protocol, message.data, head.body_at, (2,))
            how = AttemptOutcome.FULL if kind == LOADSHEDDING else AttemptOutcome.ERROR
            return Answer(message, how, {})
        return Answer(message, AttemptOutcome.OK, {})

    def _load(self, message: Message) -> dict[str, float]:
        probe, body = self._probe, message.data[message.head.body_at :]
        assert probe is not None
        read: Callable[..., dict[str, float]] = _read_load
        if len(body) > COMMON_LOAD:
            read = _read_load.__wrapped__
        return read(message.form.protocol, body, probe.inflight, probe.queue)

    def _calm(self) -> None:
        super()._calm()
        if self._settling is not None:
            self._settling.cancel()
            self._settling = None


class ThriftBack:
    """Nodes that speak Thrift in one form (hollyport.nodes.back.Back)."""

    def __init__(
        self, form: Form, most: int, probe: Probe | None = None, beside: Beside | None = None
    ) -> None:
        self._form, self._most = form, most
        self.probe, self.beside = probe, beside

    def connection(self, on_lost: Callable[[Any], None], stall_s: float) -> ThriftConnection:
        """A connection to be opened."""
        return ThriftConnection(on_lost, stall_s, self._form, self._most, self.probe)
