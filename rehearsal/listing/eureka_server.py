"""The stand-in Eureka server on sockets: the REST API in JSON and XML, and scripted misbehaviour."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import gzip
import json
import time
from collections.abc import Callable, Mapping
from email.utils import formatdate
from functools import cache
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from rehearsal.listing.eureka_model import Registry, applications, as_xml

SILENT_LOOK_S = 0.05
MISBEHAVIOURS = (
    "silent", "refuse", "error", "reset", "half", "garbage", "huge", "bomb", "empty", "shrunken", "no-delta",
    "redirect", "disagree", "stale",
)  # fmt: skip


@cache
def _bomb() -> bytes:
    """A small answer that holds very much."""
    return gzip.compress(b" " * (100 << 20), 9)


class EurekaServer:
    """One registry address. Several may share one registry.

    `misbehave` is one of MISBEHAVIOURS or "": it may change at any time. `rewrite` changes each instance on
    its way out, so that each caller can be given addresses of its own; `answered` hears what was written.
    """

    def __init__(
        self,
        registry: Registry,
        base: str = "/eureka",
        user: str = "",
        password: str = "",
        clock_off_s: float = 0.0,
        rewrite: Callable[[Mapping[str, Any]], dict[str, Any]] = dict,
        answered: Callable[[str, list[dict[str, Any]]], None] = lambda kind, instances: None,
    ) -> None:
        self.registry = registry
        self._base, self._user, self._password = base, user, password
        self._clock_off_s, self._rewrite, self._answered = clock_off_s, rewrite, answered
        self.misbehave = ""
        self.redirect_to = ""
        self.port = 0
        self.asked: list[str] = []
        self.kept = 1.0  # of the instances that a shrunken answer holds
        self._stale: tuple[str, list[dict[str, Any]]] | None = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._closing = False

    async def open(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """End everything."""
        self._closing = True
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.port}{self._base}"

    def now_ms(self) -> int:
        """The registry's own clock, which may be off."""
        return int((time.time() + self._clock_off_s) * 1000)

    # --- sockets

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while not self._closing:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                method, target, _ = first.split(" ")
                headers = {
                    k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines if line)
                }
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if not await self._one(method, target, headers, body, writer):
                    break
                if headers.get("connection", "").lower() == "close":
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass  # the caller has gone, or is none
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    async def _one(
        self, method: str, target: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        self.asked.append(f"{method} {target}")
        trouble = self.misbehave
        while self.misbehave == "silent" and not self._closing:
            await asyncio.sleep(SILENT_LOOK_S)
            trouble = ""
        if writer.transport.is_closing():
            return False  # it has left: nothing more is told
        if trouble in ("refuse", "reset"):
            writer.transport.abort()
            return False
        if trouble == "error":
            await self._write(writer, 503, b"{}", {})
            return True
        if trouble == "redirect" and self.redirect_to:
            await self._write(
                writer, 302, b"", {"Location": self.redirect_to + target.removeprefix(self._base)}
            )
            return True
        if (
            self._user
            and headers.get("authorization")
            != "Basic " + base64.b64encode(f"{self._user}:{self._password}".encode()).decode()
        ):
            await self._write(writer, 401, b"", {})
            return True
        status, document, instances, kind = self._answer(method, target, body, trouble)
        if document is None:
            await self._write(writer, status, b"", {})
            return True
        xml = "xml" in headers.get("accept", "")
        data = as_xml(document) if xml else json.dumps(document).encode()
        if trouble == "garbage":
            data, instances = b"<<<" + data[:100], []
        elif trouble == "huge":
            data, instances = b" " * (50 << 20), []
        packed = {}
        if trouble == "bomb":
            data, instances = _bomb(), []
            packed = {"Content-Encoding": "gzip"}
        elif "gzip" in headers.get("accept-encoding", ""):
            data, packed = gzip.compress(data, 1), {"Content-Encoding": "gzip"}
        if trouble == "half":
            writer.write(self._head(200, len(data), packed) + data[: len(data) // 2])
            await writer.drain()
            return False
        await self._write(writer, status, data, packed)
        if kind and not writer.transport.is_closing():
            self._answered(kind, instances)
        return True

    def _head(self, status: int, length: int, headers: dict[str, str]) -> bytes:
        lines = [
            f"HTTP/1.1 {status} X",
            f"Content-Length: {length}",
            f"Date: {formatdate(time.time() + self._clock_off_s, usegmt=True)}",
        ]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    async def _write(
        self, writer: asyncio.StreamWriter, status: int, data: bytes, headers: dict[str, str]
    ) -> None:
        writer.write(self._head(status, len(data), headers) + data)
        await writer.drain()

    # --- the API

    def _answer(
        self, method: str, target: str, body: bytes, trouble: str
    ) -> tuple[int, dict[str, Any] | None, list[dict[str, Any]], str]:
        """Status, document, the instances in it, and whether that was whole or delta."""
        parts = urlsplit(target)
        if not parts.path.startswith(self._base + "/"):
            return 404, None, [], ""
        way = [unquote(part) for part in parts.path[len(self._base) :].strip("/").split("/")]
        registry, now = self.registry, self.now_ms()
        if way[0] == "apps" and method == "GET":
            if len(way) == 1:
                return self._whole(trouble)
            if way[1:] == ["delta"]:
                return self._delta(trouble)
            rows = [
                self._rewrite(x.document()) for key, x in registry.leases.items() if key[0] == way[1].upper()
            ]
            if len(way) == 3:
                rows = [row for row in rows if row["instanceId"] == way[2]]
                return (200, {"instance": rows[0]}, rows, "") if rows else (404, None, [], "")
            if not rows or trouble == "empty":
                return 404, None, [], ""
            return 200, {"application": {"name": way[1].upper(), "instance": rows}}, rows, "whole"
        if way[0] in ("vips", "svips") and method == "GET" and len(way) == 2:
            key = "vipAddress" if way[0] == "vips" else "secureVipAddress"
            rows = [
                self._rewrite(x.document())
                for x in registry.leases.values()
                if way[1] in str(x.raw.get(key, "")).split(",")
            ]
            return 200, applications(rows, registry.hashcode(), registry.version), rows, "whole"
        if way[0] != "apps" or len(way) < 2:
            return 404, None, [], ""
        app = way[1]
        if method == "POST" and len(way) == 2:
            try:
                registry.register(app, json.loads(body)["instance"], now)
            except (ValueError, KeyError, TypeError):
                return 400, None, [], ""
            return 204, None, [], ""
        good = False
        if method == "PUT" and len(way) == 3:
            good = registry.renew(app, way[2], now, parse_qs(parts.query).get("status", [""])[0])
        elif method == "PUT" and len(way) == 4 and way[3] == "status":
            good = registry.override(app, way[2], parse_qs(parts.query)["value"][0], now)
        elif method == "DELETE" and len(way) == 4 and way[3] == "status":
            good = registry.restore(app, way[2], parse_qs(parts.query).get("value", [""])[0], now)
        elif method == "DELETE" and len(way) == 3:
            good = registry.cancel(app, way[2], now)
        return 200 if good else 404, None, [], ""

    def _whole(self, trouble: str) -> tuple[int, dict[str, Any], list[dict[str, Any]], str]:
        code = self.registry.hashcode()
        rows = [self._rewrite(row) for row in self.registry.whole()]
        if trouble == "empty":
            rows, code = [], ""
        elif trouble == "shrunken":
            rows = rows[: int(len(rows) * self.kept)]
        elif trouble == "stale":
            code, rows = self._stale = self._stale or (code, rows)
        else:
            self._stale = None
        return 200, applications(rows, code, self.registry.version), rows, "whole"

    def _delta(self, trouble: str) -> tuple[int, dict[str, Any] | None, list[dict[str, Any]], str]:
        if trouble == "no-delta":
            return 404, None, [], ""
        rows = [self._rewrite(row) for row in self.registry.delta()]
        code = self.registry.hashcode()
        if trouble in ("empty", "stale"):
            rows, code = [], (self._stale[0] if self._stale else "")
        elif trouble == "shrunken":
            rows, code = [], "UP_1_"  # which makes callers ask for everything
        elif trouble == "disagree":
            rows = rows[::2]
        return 200, applications(rows, code, self.registry.version), rows, "delta"
