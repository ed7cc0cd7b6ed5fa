"""What a call costs over each form of Thrift beside HTTP: one run, the same nodes' work, the same pace.

    python -m benchmarks.thrift_cost [--rate 1200] [--seconds 5] [--nodes 8] [--json FILE]

As `benchmarks.cost`: calls have due times, latency counts from there, CPU is the daemon's alone. The call is
a rate push of 20 nights (651 bytes in binary, 453 in compact) answered with a short text; over HTTP the same
bytes are its body. "across" rows have clients of one form and nodes of another. Wants three free cores and
the development requirements.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocol

from benchmarks import cost
from benchmarks.thrift_parse import push
from hollyport.thrift.recode import recode
from hollyport.thrift.stream import FORMS, FRAMED_BINARY, Message, Messages, wrap
from hollyport.thrift.wire import REPLY, Binary

CALL = push(TBinaryProtocol)
RESULT = b"\x0b\x00\x00" + len(cost.BODY).to_bytes(4, "big") + cost.BODY + b"\x00"
LOAD = b"\x0c\x00\x00\x0a\x00\x01" + (1).to_bytes(8, "big") + b"\x0a\x00\x02" + bytes(8) + b"\x00\x00"
HTTP_CALL = (
    b"POST /keyed?q=1 HTTP/1.1\r\nHost: app\r\nX-Request-ID: %%d\r\nX-Timeout: 0.5\r\nIdempotency-Key: k\r\n"
    b"Content-Length: %d\r\n\r\n" % len(CALL)
)
TABLE = """
[thrift]
[[thrift.listeners]]
address = "127.0.0.1:{port}"
[[thrift.methods]]
name = "*"
class = "keyed"
idempotency_key = [1]
[thrift.probe]
method = "load"
inflight = [0, 1]
queue = [0, 2]
"""


class ThriftNode(asyncio.Protocol):
    """Answers every call at once."""

    def __init__(self, form: str) -> None:
        self._form = FORMS[form]
        self._messages = Messages(self._form)

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._messages.feed(data)
        while (message := self._messages.next()) is not None:
            head = message.head
            name = head.name.rpartition(b":")[2]
            begin = Binary.put_head(name, REPLY, head.seqid)
            plain = Message(FRAMED_BINARY, Binary.head(begin), begin + (LOAD if name == b"load" else RESULT))
            made = recode(plain, self._form)
            self._transport.write(wrap(self._form, made.data))


class BodyNode(cost.Node):
    """HTTP with bodies."""

    def data_received(self, data: bytes) -> None:
        self._held += data
        while (at := self._held.find(b"\r\n\r\n")) >= 0:
            head = self._held[:at].lower()
            _, _, rest = head.partition(b"content-length: ")
            length = int(rest.split(b"\r\n")[0]) if rest else 0
            if len(self._held) < at + 4 + length:
                return
            self._held = self._held[at + 4 + length :]
            self._transport.write(cost.REPORT if head.startswith(b"get /-/") else self._answer)


def serve(form: str, count: int, pipe: Connection) -> None:
    """The nodes' process; `form` is http or one of Thrift's."""
    import uvloop

    async def main() -> None:
        loop = asyncio.get_running_loop()
        ports = []
        for _ in range(count):
            make = (lambda: BodyNode(True)) if form == "http" else (lambda: ThriftNode(form))
            server = await loop.create_server(make, "127.0.0.1", 0)
            ports.append(server.sockets[0].getsockname()[1])
        pipe.send((ports, 0))
        await asyncio.Event().wait()

    uvloop.run(main())


class HttpCaller(cost.Caller):
    """The call over HTTP."""

    def call(self, due: float) -> None:
        self.due = due
        self.transport.write(HTTP_CALL % next(self._play.ids) + CALL)


class ThriftCaller(cost.Caller):
    """The call over one form."""

    form = ""

    def __init__(self, play: cost.Play) -> None:
        super().__init__(play)
        made = FORMS[self.form]
        message = recode(Message(FRAMED_BINARY, Binary.head(CALL), CALL), made)
        self._call = wrap(made, message.data)
        self._messages = Messages(made)

    def call(self, due: float) -> None:
        self.due = due
        self.transport.write(self._call)

    def data_received(self, data: bytes) -> None:
        self._messages.feed(data)
        message = self._messages.next()
        if message is not None:
            due, self.due = self.due, -1.0
            self._play.answered(message.head.kind == REPLY, due)
            self._play.free(self)


def settings(probes: bool) -> dict[str, Any]:
    """One keyed class, as the call has a body."""
    made = _plain(probes)
    kind = {**made["classes"][0], "name": "keyed", "repeat": "guarded", "group": "all", "windowNs": 10**9}
    return {**made, "classes": [kind]}


_plain = cost.settings


def main() -> int:
    """Entry point."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rate", type=float, default=1200, help="calls a second, open loop")
    parser.add_argument("--seconds", type=float, default=5)
    parser.add_argument("--nodes", type=int, default=8)
    parser.add_argument("--json", metavar="FILE", help="also write the figures there")
    told = parser.parse_args()
    cost.settings = settings
    plays = [("http", "http"), *((form, form) for form in FORMS)]
    plays += [("framed-binary", "framed-compact"), ("framed-compact", "framed-binary")]
    rows: list[dict[str, Any]] = []
    print("| client, node | offered | served | refused | p50 ms | p99 ms | CPU ms a call | caller late ms |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for client, node in plays:
        nodes, (ports, _) = cost.start(serve, node, told.nodes)
        plain = cost.targets
        try:
            with tempfile.TemporaryDirectory() as folder:
                options = Path(folder) / "options.toml"
                with cost.socket.socket() as held:
                    held.bind(("127.0.0.1", 0))
                    door = held.getsockname()[1]
                options.write_text(TABLE.format(port=door), encoding="utf-8")
                command = [sys.executable, "-m", "hollyport", "--options", str(options)]
                if node != "http":
                    cost.targets = lambda ports, node=node, plain=plain: {  # type: ignore[misc]
                        **plain(ports),
                        "endpoints": [
                            {**line, "protocol": f"thrift/{node}"} for line in plain(ports)["endpoints"]
                        ],
                    }
                with cost.daemon(1, ports, True, Path(folder), command) as (port, pid):
                    caller = type("Caller", (ThriftCaller,), {"form": client})
                    figures = cost.measure(
                        port if client == "http" else door, [pid], told.rate, told.seconds, 0,
                        HttpCaller if client == "http" else caller,
                    )  # fmt: skip
        finally:
            cost.targets = plain
            nodes.kill()
        name = client if client == node else f"across: {client}, {node}"
        rows.append({"name": name, **figures})
        print(f"| {name} | " + " | ".join("-" if v is None else f"{v:,}" for v in figures.values()) + " |")
        sys.stdout.flush()
    if told.json:
        Path(told.json).write_text(json.dumps(rows, indent=1), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
