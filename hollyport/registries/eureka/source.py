"""Follows a Eureka registry: asks as `schedule` says, reads by `codec`, keeps a `view`, and tells what
changed."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import os
import ssl
import sys
import time
import traceback
from collections.abc import Awaitable, Callable, Iterator
from email.utils import parsedate_to_datetime
from pathlib import Path
from typing import Any
from urllib.parse import quote, urlsplit

from dunefield.interface import Settings
from hollyport.registries.eureka.codec import DELETED, Instance, Payload, PayloadError, read_json, read_xml
from hollyport.registries.eureka.schedule import DELTA, WHOLE, Schedule
from hollyport.registries.eureka.view import View
from hollyport.registries.heap import Heap
from hollyport.registries.http import Answer, Place, RegistryError, call
from hollyport.registries.options import EurekaOptions
from hollyport.registries.record import DRAINING, UP, WAITING, Change, Record
from hollyport.settings.config import Address

STEP = 256  # objects that are let go of at a time
SLICE_S = 0.003  # work on the loop at a stretch
MOST_REDIRECTS = 3
SKEW_S = 2.0  # a registry's clock that is off by less is taken for right: its Date has whole seconds
STATUS = {"UP": UP, "DOWN": DRAINING, "OUT_OF_SERVICE": DRAINING, "STARTING": WAITING, "UNKNOWN": WAITING}
CONFIRM_S = 0.5  # until a doubtful answer is asked for again, elsewhere if there is another address
SAY_S = 30.0  # how often a failure that goes on is worth a line

Whole = Callable[[list[Record], int], Awaitable[None]]
Changes = Callable[[list[Change]], None]


async def in_slices(steps: Iterator[object]) -> None:
    """Run a generator, and let the loop go on in between."""
    until = time.monotonic() + SLICE_S
    for _ in steps:
        if time.monotonic() >= until:
            await asyncio.sleep(0)
            until = time.monotonic() + SLICE_S


def credentials(options: EurekaOptions) -> str:
    """The Authorization header, or nothing. Raise OSError where the password cannot be read; never log it."""
    if not options.user:
        return ""
    if options.password_file:
        password = Path(options.password_file).read_text(encoding="utf-8").strip()
    else:
        password = os.environ.get(options.password_env, "")
    return "Basic " + base64.b64encode(f"{options.user}:{password}".encode()).decode()


class Requests:
    """Calls to one registry's addresses, with credentials and redirects."""

    def __init__(self, options: EurekaOptions) -> None:
        self._options = options
        self._tls = ssl.create_default_context(cafile=options.ca_file) if options.ca_file else None

    async def ask(self, place: Place, method: str, path: str, body: bytes = b"", accept: str = "") -> Answer:
        """One call, redirected where the registry says so. Raise OSError on no whole answer."""
        options = self._options
        headers = {
            "Accept": accept or "application/json",
            "Accept-Encoding": "gzip",
            "User-Agent": "hollyport",
        }
        if body:
            headers["Content-Type"] = "application/json"
        if authorization := credentials(options):
            headers["Authorization"] = authorization
        target, where = place.base + path, place
        for _ in range(MOST_REDIRECTS + 1):
            answer = await call(
                where,
                method,
                target,
                headers,
                body,
                options.timeout_s,
                int(options.max_mb * (1 << 20)),
                self._tls,
            )
            if answer.status not in (301, 302, 303, 307, 308):
                return answer
            parts = urlsplit(answer.headers.get(b"location", b"").decode("latin-1"))
            if parts.hostname:
                if parts.scheme not in ("http", "https") or (where.secure and parts.scheme != "https"):
                    raise RegistryError("redirected to where it cannot be followed")
                secure = parts.scheme == "https"
                there = Place(secure, parts.hostname, parts.port or (443 if secure else 80), "")
                if (there.host, there.port) != (where.host, where.port):
                    headers.pop("Authorization", None)  # what was meant for one registry is not told another
                where = there
            if not parts.path:
                raise RegistryError("redirected to nowhere")
            target = parts.path + (f"?{parts.query}" if parts.query else "")
        raise RegistryError("redirected again and again")


class EurekaSource:
    """One registry, over all its addresses."""

    def __init__(
        self,
        options: EurekaOptions,
        settings: Settings,
        draw: Callable[[], float],
        whole: Whole,
        changes: Changes,
        doubtful: Callable[[], bool],
    ) -> None:
        self._options, self._settings = options, settings
        self._tell_whole, self._tell_changes, self._doubtful = whole, changes, doubtful
        self._requests = Requests(options)
        own = settings.zones[settings.zone] if 0 <= settings.zone < len(settings.zones) else ""
        self._places = [place for place, _ in options.places]
        self._apps = frozenset(app.upper() for app in options.apps)
        self._vips = frozenset(options.vips)
        near = [not hall or hall == own for _, hall in options.places]
        self._schedule = Schedule(
            near, options.interval_s, options.jitter, draw, options.deltas, options.refresh_s
        )
        self._view = View(self._wanted)
        self._heap = Heap()
        self._wake = asyncio.Event()
        self._said_at = -SAY_S
        self._failing = False
        self._good_at = 0.0
        self.skew_s = 0.0
        self.failures = 0
        self.mismatches = 0
        self.wholes = 0
        self.deltas = 0

    def hurry(self) -> None:
        """Somebody wants to know now."""
        self._schedule.hurry(time.monotonic())
        self._wake.set()

    async def follow(self) -> None:
        """Follow it for good."""
        while True:
            while (left := self._schedule.due - time.monotonic()) > 0:
                self._wake.clear()
                try:
                    async with asyncio.timeout(left):
                        await self._wake.wait()
                except TimeoutError:
                    break
            await self._once()

    async def _once(self) -> None:
        number, what = self._schedule.ask(time.monotonic())
        try:
            if await self._ask(number, what):
                self._schedule.answered(time.monotonic(), number, what)
                self._good_at = time.monotonic()
                if self._failing:
                    self._failing = False
                    self._say(f"registry: {self._places[number]} answers again")
                if what == WHOLE and self._doubtful():
                    self._schedule.mismatch(time.monotonic() + CONFIRM_S)
                    self._schedule.avoid(time.monotonic(), number, 2 * CONFIRM_S)
        except (OSError, PayloadError, RecursionError, UnicodeDecodeError) as error:
            self._failed(number, f"{what}: {' '.join(str(error).split())[:200]}")
        except Exception:
            # Whatever went wrong, the registry must go on being asked.
            traceback.print_exc(file=sys.stderr)
            self._failed(number, what)

    def _failed(self, number: int, why: str) -> None:
        self.failures += 1
        self._schedule.failed(time.monotonic(), number)
        if not self._failing or time.monotonic() - self._said_at > SAY_S:
            self._said_at = time.monotonic()
            age = (
                f"{time.monotonic() - self._good_at:.1f} s old" if self._good_at else "the one from the start"
            )
            self._say(f"registry: {self._places[number]} failed, the last good list ({age}) is kept: {why}")
        self._failing = True

    @staticmethod
    def _say(text: str) -> None:
        print(text, file=sys.stderr, flush=True)

    # --- one question

    async def _ask(self, number: int, what: str) -> bool:
        """Ask, and tell what came of it; False if the question has to be another."""
        options = self._options
        accept = "application/json" if options.format == "json" else "application/xml"
        answer = await self._requests.ask(self._places[number], "GET", self._path(what), accept=accept)
        if answer.status == 404 and what == DELTA:
            self._schedule.no_deltas(time.monotonic(), number)
            return False
        self._mark_skew(answer)
        status = answer.status
        with self._heap.building() if what == WHOLE else contextlib.nullcontext():
            payload = Payload()
            if status == 404 and self._single():
                pass  # such an application has no instances
            elif status != 200:
                raise RegistryError(f"answered {status}")
            else:
                read = read_json if options.format == "json" else read_xml
                await in_slices(read(answer.pieces(), payload))
            if payload.unusable:
                self._say(f"registry: {payload.unusable} instances that make no sense are left out")
            if what == WHOLE:
                await self._whole(payload, number)
            else:
                self._delta(payload)
        if what == WHOLE:
            self._heap.built(len(self._view.instances))
        return True

    def _single(self) -> bool:
        return not self._options.deltas and len(self._apps) + len(self._vips) == 1

    def _path(self, what: str) -> str:
        if what == DELTA:
            return "/apps/delta"
        if self._single():
            if self._apps:
                return f"/apps/{quote(next(iter(self._apps)), safe='')}"
            return f"/{'svips' if self._options.secure else 'vips'}/{quote(next(iter(self._vips)), safe='')}"
        return "/apps"

    async def _whole(self, payload: Payload, number: int) -> None:
        self.wholes += 1
        await in_slices(self._view.taking_whole(payload.instances))
        if payload.hashcode and payload.hashcode != self._view.hashcode():
            # The registry builds its answer while instances come and go. The list is as good as it gets.
            self.mismatches += 1
        records: list[Record] = []
        await in_slices(self._records(records))
        await self._tell_whole(records, number)
        await in_slices(_let_go(payload.instances))
        await in_slices(_let_go(records))

    def _records(self, records: list[Record]) -> Iterator[None]:
        for count, instance in enumerate(self._view.instances.values()):
            record = self._record(instance)
            if record is not None:
                records.append(record)
            if count % 128 == 127:
                yield

    def _delta(self, payload: Payload) -> None:
        self.deltas += 1
        self._view.delta(payload.instances)
        changes = []
        for instance in payload.instances:
            held = self._view.instances.get((instance.app, instance.identity))
            if held is not None:
                changes.append(Change(self._identity(held), self._record(held)))
            elif self._wanted(instance) or instance.action == DELETED:
                changes.append(Change(self._identity(instance), None))
        self._tell_changes(changes)
        if payload.hashcode is not None and payload.hashcode != self._view.hashcode():
            self.mismatches += 1
            self._schedule.mismatch(time.monotonic())

    def _mark_skew(self, answer: Answer) -> None:
        """How far the registry's clock is off: its time stamps are by that clock."""
        try:
            told = parsedate_to_datetime(answer.headers.get(b"date", b"").decode("latin-1")).timestamp()
        except (ValueError, TypeError):
            return
        skew = told - time.time()
        self.skew_s = skew if abs(skew) > SKEW_S else 0.0

    # --- what an instance is to us

    def _wanted(self, instance: Instance) -> bool:
        if instance.coordinating:
            return False
        vips = instance.secure_vip if self._options.secure else instance.vip
        return instance.app in self._apps or bool(self._vips & {v.strip() for v in vips.split(",")})

    def _identity(self, instance: Instance) -> str:
        alone = len(self._apps) == 1 and not self._vips
        return instance.identity if alone else f"{instance.app}/{instance.identity}"

    def _record(self, instance: Instance) -> Record | None:
        options, metadata = self._options, instance.metadata
        port = instance.secure_port if options.secure else instance.port
        host = (instance.ip or instance.host) if options.prefer_ip else (instance.host or instance.ip)
        if not port or not host:
            return None  # it has nothing to be sent to
        zones, kinds = self._settings.zones, self._settings.kinds
        hall, kind = metadata.get(options.hall_key, ""), metadata.get(options.kind_key, "")
        started = 0
        if instance.up_ms > 0:
            now = time.time()
            started = int(min(now, instance.up_ms / 1e3 - self.skew_s) * 1e9)
        return Record(
            self._identity(instance),
            Address(host, port),
            STATUS[instance.effective],
            zones.index(hall) if hall in zones else -1,
            kinds.index(kind) if kind in kinds else -1,
            _whole_number(metadata.get(options.group_key, "")),
            _weight(metadata.get(options.weight_key, "")),
            max(0, started),
            metadata.get(options.protocol_key, "")[:64],
        )


def _let_go(items: list[Any]) -> Iterator[None]:
    """Drop a list's objects bit by bit: freeing 20,000 of them at once takes longer than a slice."""
    while items:
        del items[-STEP:]
        yield


def _whole_number(text: str) -> int:
    return int(text) if text.isascii() and text.isdigit() and len(text) < 10 else 0


def _weight(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        return 1.0
    return value if 0.0 < value < 1e6 else 1.0
