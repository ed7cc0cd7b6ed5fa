"""Independent libraries as clients and as nodes, through the daemon, in every form that they speak."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
import thriftpy2
from backend import play
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.protocol.TMultiplexedProtocol import TMultiplexedProtocol
from thrift.Thrift import TApplicationException, TMessageType, TType
from thrift.transport.TSocket import TServerSocket, TSocket
from thrift.transport.TTransport import TBufferedTransport, TFramedTransport
from thriftpy2.protocol import TCompactProtocolFactory
from thriftpy2.protocol.binary import TBinaryProtocolFactory
from thriftpy2.protocol.multiplex import TMultiplexedProtocolFactory
from thriftpy2.rpc import make_client
from thriftpy2.server import TThreadedServer
from thriftpy2.thrift import TApplicationException as Py2Exception
from thriftpy2.thrift import TMultiplexedProcessor, TProcessor
from thriftpy2.transport import TCyBufferedTransportFactory, TCyFramedTransportFactory
from thriftpy2.transport import TServerSocket as Py2ServerSocket
from thriftpy2.transport.buffered import TBufferedTransportFactory
from thriftpy2.transport.framed import TFramedTransportFactory
from tongues import Thrift, sidecar
from values import write_struct

HOTEL = thriftpy2.load(str(Path(__file__).with_name("hotel.thrift")), module_name="hotel_thrift")
FORMS = ["framed-binary", "framed-compact", "unframed-binary", "unframed-compact"]
# Binary in pure Python: the compiled one writes an i8 through a C char, which is unsigned on arm64.
PY2_FORMS: dict[str, tuple[Any, Any]] = {
    "framed-binary": (TFramedTransportFactory, TBinaryProtocolFactory),
    "framed-compact": (TCyFramedTransportFactory, TCompactProtocolFactory),
    "unframed-binary": (TBufferedTransportFactory, TBinaryProtocolFactory),
    "unframed-compact": (TCyBufferedTransportFactory, TCompactProtocolFactory),
}
METHODS = [{"name": "RateService:*", "class": "free"}, {"name": "push", "class": "free"},
           {"name": "note", "class": "single_shot"}]  # fmt: skip
RATE = HOTEL.Rate(
    room="Suite Melur", nights=[HOTEL.Night(day=n, price=99.5 + n, open=n % 2 == 0) for n in range(40)],
    caps={"a": 2**40, "b": -1}, tags={1, -300, 32767}, blob=bytes(range(256)), flags=[True, False] * 9,
    small=-128,
)  # fmt: skip


class Handler:
    """The node's own work."""

    def __init__(self) -> None:
        self.notes: list[str] = []
        self.noted = threading.Event()

    def push(self, rate: Any, id: str) -> Any:
        if id == "sold":
            raise HOTEL.Sold(room=rate.room, left=0)
        if id == "bug":
            raise RuntimeError("a bug in the node")
        rate.note = id
        return rate

    def note(self, text: str) -> None:
        self.notes.append(text)
        self.noted.set()

    def load(self) -> Any:
        return HOTEL.Load(inflight=1, queue=0)


@contextlib.contextmanager
def py2_node(form: str, handler: Handler, multiplexed: bool = False):
    transport, protocol = PY2_FORMS[form]
    processor = TProcessor(HOTEL.RateService, handler)
    if multiplexed:
        many = TMultiplexedProcessor()
        many.register_processor("RateService", processor)
        processor = many
    socket = Py2ServerSocket("127.0.0.1", 0)
    server = TThreadedServer(processor, socket, transport(), protocol())
    server.daemon = True
    socket.listen()
    port = socket.sock.getsockname()[1]
    socket.listen = lambda: None  # serve() would listen once more, on another port
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    try:
        yield port
    finally:
        server.close()


def py2_client(form: str, port: int, multiplexed: bool = False) -> Any:
    transport, protocol = PY2_FORMS[form]
    made: Any = protocol()
    if multiplexed:
        made = TMultiplexedProtocolFactory(made, "RateService")
    return make_client(HOTEL.RateService, "127.0.0.1", port, proto_factory=made, trans_factory=transport(),
                       timeout=15000)  # fmt: skip


def through(form: str, node_form: str, port: int, client: Callable[[int], Any], **changes: Any) -> Any:
    """Run a blocking client in a thread, against a daemon with one node."""
    got: list[Any] = []
    tongue = Thrift(form)
    probe = {"method": "load", "inflight": [0, 1], "queue": [0, 2]}

    async def scene() -> None:
        options = tongue.options(methods=METHODS, probe=probe, **changes)
        lines = Thrift(node_form).line("s1", port)
        async with sidecar(tongue, lines, options=options) as world:
            got.append(await asyncio.to_thread(client, world.port))

    play(scene)
    return got[0]


@pytest.mark.parametrize("multiplexed", [False, True], ids=["plain", "multiplexed"])
@pytest.mark.parametrize("node_form", FORMS)
@pytest.mark.parametrize("form", FORMS)
def test_thriftpy2_on_both_sides(form, node_form, multiplexed):
    handler = Handler()

    def calls(port: int) -> Any:
        client = py2_client(form, port, multiplexed)
        rate = client.push(RATE, "r1")
        with pytest.raises(HOTEL.Sold) as sold:
            client.push(RATE, "sold")
        client.note("seen")
        again = client.push(RATE, "r2")
        client.close()
        return rate, sold.value, again

    with py2_node(node_form, handler, multiplexed) as port:
        rate, sold, again = through(form, node_form, port, calls)
        assert handler.noted.wait(10)
    # Read directly, this library makes a list of a set, too.
    expected = HOTEL.Rate(**{**RATE.__dict__, "note": "r1", "tags": rate.tags})
    assert rate == expected and set(rate.tags) == RATE.tags and again.note == "r2"
    assert (sold.room, sold.left) == ("Suite Melur", 0)
    assert handler.notes == ["seen"]


@pytest.mark.parametrize("form", FORMS)
def test_thriftpy2_reads_what_the_daemon_says_itself(form):
    def calls(port: int) -> Any:
        client, found = py2_client(form, port), []
        for ask in (lambda: client.load(), lambda: client.push(RATE, "r1")):
            with pytest.raises(Py2Exception) as error:
                ask()
            found.append((error.value.type, error.value.message))
        client.close()
        return found

    with socket_closed() as port:
        (unknown, why), (shed, when) = through(form, form, port, calls)
    assert unknown == 1 and "no class is set for the method 'load'" in why
    assert shed == 11 and when.startswith("refused")


@contextlib.contextmanager
def socket_closed():
    """A port where nobody listens."""
    import socket

    with socket.socket() as held:
        held.bind(("127.0.0.1", 0))
        yield held.getsockname()[1]


def apache(form: str, trans: Any) -> Any:
    framing, _, protocol = form.partition("-")
    wrapped = TFramedTransport(trans) if framing == "framed" else TBufferedTransport(trans)
    made = TBinaryProtocol(wrapped) if protocol == "binary" else TCompactProtocol(wrapped)
    return made, wrapped


class ApacheNode(threading.Thread):
    """Serves with Apache's transports and protocols: `push` echoes a struct, `note` is oneway."""

    def __init__(self, form: str) -> None:
        super().__init__(daemon=True)
        self.form, self.notes = form, []
        self.noted = threading.Event()
        self.listening = TServerSocket("127.0.0.1", 0)
        self.listening.listen()
        self.port = self.listening.handle.getsockname()[1]
        self.start()

    def run(self) -> None:
        while True:
            try:
                accepted = self.listening.accept()
            except OSError:
                return
            if accepted is None:
                return
            threading.Thread(target=self.serve, args=(accepted,), daemon=True).start()

    def serve(self, accepted: Any) -> None:
        proto, trans = apache(self.form, accepted)
        with contextlib.suppress(Exception):
            while True:
                name, kind, seqid = proto.readMessageBegin()
                proto.readStructBegin()
                told = {}
                while True:
                    _, field, number = proto.readFieldBegin()
                    if field == TType.STOP:
                        break
                    told[number] = proto.readString() if field == TType.STRING else proto.skip(field)
                    proto.readFieldEnd()
                proto.readStructEnd()
                proto.readMessageEnd()
                if kind == TMessageType.ONEWAY:
                    self.notes.append(told[1])
                    self.noted.set()
                    continue
                result = {0: (TType.STRING, f"got {told.get(1)}".encode())}
                if name == "load":
                    result = {0: (TType.STRUCT, {1: (TType.I32, 0), 2: (TType.I64, 0)})}
                proto.writeMessageBegin(name, TMessageType.REPLY, seqid)
                write_struct(proto, result)
                proto.writeMessageEnd()
                trans.flush()
        trans.close()


def apache_calls(form: str, multiplexed: bool) -> Callable[[int], Any]:
    def calls(port: int) -> Any:
        proto, trans = apache(form, TSocket("127.0.0.1", port))
        trans.open()
        out = TMultiplexedProtocol(proto, "RateService") if multiplexed else proto
        answers = []
        for seqid, (method, kind) in enumerate((("push", TMessageType.CALL), ("note", TMessageType.ONEWAY),
                                                ("push", TMessageType.CALL))):  # fmt: skip
            out.writeMessageBegin(method, kind, seqid)
            write_struct(out, {1: (TType.STRING, b"text")})
            out.writeMessageEnd()
            trans.flush()
            if kind == TMessageType.CALL:
                name, told, number = proto.readMessageBegin()
                if told == TMessageType.EXCEPTION:
                    error = TApplicationException()
                    error.read(proto)
                    raise error
                proto.readStructBegin()
                _, field, _ = proto.readFieldBegin()
                answers.append((number, proto.readString() if field == TType.STRING else None))
                proto.readFieldEnd()
                proto.readFieldBegin()
                proto.readStructEnd()
                proto.readMessageEnd()
        trans.close()
        return answers

    return calls


@pytest.mark.parametrize("multiplexed", [False, True], ids=["plain", "multiplexed"])
@pytest.mark.parametrize("node_form", FORMS)
@pytest.mark.parametrize("form", FORMS)
def test_apache_on_both_sides(form, node_form, multiplexed):
    node = ApacheNode(node_form)
    answers = through(form, node_form, node.port, apache_calls(form, multiplexed))
    assert answers == [(0, "got text"), (2, "got text")]
    assert node.noted.wait(10) and node.notes == ["text"]
    node.listening.close()
