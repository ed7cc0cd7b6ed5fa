"""Carries the sources to the core: what they tell goes through `merge`, and comes out as the platform's
list does.

To the core this looks like `hollyport.lists.discovery.Discovery`: it asks, and gets lists or a failure.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path

from dunefield.interface import SECOND, Settings
from hollyport.lists.discovery import Discovery, Line, Listing
from hollyport.registries import store
from hollyport.registries.eureka.register import Registrar
from hollyport.registries.eureka.source import SLICE_S, EurekaSource
from hollyport.registries.merge import Merger, Rules
from hollyport.registries.options import EUREKA, PLATFORM, RegistryOptions
from hollyport.registries.record import DRAINING, UP, Change, Record
from hollyport.settings.config import Address

LOOK_S = 1.0  # between looks for lists that have grown too old
SAVE_S = 5.0  # between writes of the list to the disk, at least


class Feed:
    """All sources of one daemon."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        options: RegistryOptions,
        address: Address,
        settings: Settings,
        known: Listing,
        name: str,
        seed: int,
        clock: Callable[[], int],
        tell: Callable[[Listing | None], None],
    ) -> None:
        self._loop, self._options, self._settings = loop, options, settings
        self._clock, self._tell = clock, tell
        self._merger = Merger(self._rules(options), name)
        self._version = 0
        self._closed = False
        self._watching = False
        must_ask_s = settings.invariants.subscribe_within_ns / SECOND
        self._pauses = (must_ask_s / 16, must_ask_s / 4)  # least and most, between watches that fail
        self._pause_s = self._pauses[0]
        self._draw = random.Random(f"{seed}/feed").random
        self._platform: Discovery | None = None
        self._platform_version: int | None = known.version
        if PLATFORM in options.sources:
            self._platform = self._open(address)
        self._tasks: list[asyncio.Task[None]] = []
        self._cache = Path(options.cache_file) if options.cache_file else None
        if self._cache is not None:
            self._tasks.append(loop.create_task(self._keep()))
        self._eureka: EurekaSource | None = None
        self._registrar: Registrar | None = None
        if options.eureka is not None:
            draw = random.Random(f"{seed}/registries").random
            self._eureka = EurekaSource(
                options.eureka,
                settings,
                draw,
                self._eureka_whole,
                self._eureka_changes,
                lambda: self._merger.doubtful(EUREKA),
            )
            self._tasks.append(loop.create_task(self._eureka.follow()))
            if options.eureka.registration is not None:
                self._registrar = Registrar(options.eureka, options.eureka.registration)
                self._tasks.append(loop.create_task(self._registrar.follow()))
        loop.call_later(LOOK_S, self._look)
        if settings.must_subscribe:
            loop.call_soon(self._watch)

    def _rules(self, options: RegistryOptions) -> Rules:
        zones = self._settings.zones
        owners = {zones.index(hall): owner for hall, owner in options.halls.items() if hall in zones}
        return Rules(
            options.sources,
            options.shrink,
            int(options.confirm_s * SECOND),
            int(options.keep_s * SECOND),
            options.most,
            owners,
            frozenset({EUREKA}),
        )

    def known(self, listing: Listing) -> tuple[Line, ...]:
        """The list that the daemon starts with."""
        records = [_record(line) for line in listing.lines]
        if self._cache is not None:
            # What was seen last here is newer than what the platform hands out, where both know one.
            stored = self._restored()
            addresses = {record.address for record in stored}
            records = [r for r in records if r.address not in addresses] + stored
        return tuple(self._merger.known(records, self._clock()))

    def _restored(self) -> list[Record]:
        assert self._cache is not None
        try:
            stored, saved_ns = store.load(self._cache)
        except store.StoreError as error:
            print(f"registry: {self._cache}: not used: {error}", file=sys.stderr, flush=True)
            return []
        age = (self._clock() - saved_ns) / SECOND
        print(
            f"registry: {len(stored)} nodes from {self._cache}, {age:.0f} s old", file=sys.stderr, flush=True
        )
        return stored

    async def _keep(self) -> None:
        """Write the list now and then, where it has changed. A disk that can't be written is told of once."""
        assert self._cache is not None
        written, failed = -1, False
        while True:
            await asyncio.sleep(SAVE_S)
            if self._version == written or any(self._merger.doubtful(name) for name in self._options.sources):
                continue
            version, records = self._version, self._merger.records()
            try:
                # In a thread: the disk may take its time.
                await asyncio.to_thread(self._write, self._cache, records)
                written, failed = version, False
            except OSError as error:
                if not failed:
                    print(
                        f"registry: {self._cache}: not written: {error.strerror}", file=sys.stderr, flush=True
                    )
                failed = True

    def _write(self, path: Path, records: list[Record]) -> None:
        store.save(path, store.dumps(records, self._clock()))

    # --- what the core asks, as of Discovery

    def subscribe(self, want: bool) -> None:
        """The core wants to be told from now on."""
        if want:
            self._watch()
            if self._eureka is not None:
                self._eureka.hurry()
                if not self._merger.doubtful(EUREKA):
                    # The registry is followed all the time: there is nothing to begin.
                    self._loop.call_soon(self._pass_on, [], True)

    def fetch(self) -> None:
        """The core wants to know now."""
        if self._platform is not None:
            self._platform.fetch()
        if self._eureka is not None:
            self._eureka.hurry()

    async def follow(self) -> None:
        """Where the platform pushes its list, and nobody asks for it."""
        if self._platform is not None:
            await self._platform.follow()

    def close(self) -> None:
        """Ask nothing more."""
        self._closed = True
        if self._platform is not None:
            self._platform.close()
        for task in self._tasks:
            task.cancel()

    def move(self, address: Address) -> None:
        """The platform's list is at another address from now on."""
        if self._platform is not None:
            self._platform.close()
            self._platform_version = None
            self._platform = self._open(address)
            self._watching = False
            if self._settings.must_subscribe:  # else whoever follows it follows the new one
                self._watch()

    def take_options(self, options: RegistryOptions) -> None:
        """Halls move between the sources that there are, and the own registration takes another status; other
        changes of the table need a restart."""
        if self._registrar is not None and options.eureka is not None and options.eureka.registration:
            self._registrar.want(options.eureka.registration.status)
        steps = self._merger.taking_owners(self._rules(options).owners, self._clock())
        moving = self._loop.create_task(self._pass_on_all(steps))
        self._tasks.append(moving)
        moving.add_done_callback(self._tasks.remove)

    async def take_off(self) -> None:
        """The daemon ends: the application is taken off the registry first."""
        if self._registrar is not None:
            await self._registrar.take_off()

    def broken(self, name: str) -> None:
        """This node could not be connected to."""
        self._pass_on(self._merger.broken(name, self._clock()))

    # --- what sources tell

    def _open(self, address: Address) -> Discovery:
        return Discovery(self._loop, address, self._settings, self._platform_version, self._platform_told)

    def _watch(self) -> None:
        """Watch the platform's list. The core cannot see to it: to it, news of another source looks like a
        watch that is on, and the platform would not be asked again."""
        if self._platform is not None and not self._watching and not self._closed:
            self._watching = True
            self._platform.subscribe(True)

    def _platform_told(self, listing: Listing | None) -> None:
        if listing is None:
            # It serves all daemons: every failure doubles the pause, so that a crowd thins out.
            self._watching = False
            self._loop.call_later(self._pause_s * (0.5 + self._draw()), self._watch)
            self._pause_s = min(2 * self._pause_s, self._pauses[1])
            return
        self._pause_s = self._pauses[0]
        now = self._clock()
        if listing.whole:
            records = [_record(line) for line in listing.lines if line.entry.lifecycle != "removed"]
            lines = self._merger.whole(PLATFORM, records, now)
        else:
            lines = self._merger.changes(
                PLATFORM,
                [
                    Change(line.entry.server, None if line.entry.lifecycle == "removed" else _record(line))
                    for line in listing.lines
                ],
                now,
            )
        self._pass_on(lines, True)

    async def _eureka_whole(self, records: list[Record], by: int) -> None:
        await self._pass_on_all(self._merger.taking_whole(EUREKA, records, self._clock(), by))
        self._pass_on([], True)

    async def _pass_on_all(self, steps: Iterator[list[Line]]) -> None:
        until = time.monotonic() + SLICE_S
        for lines in steps:
            self._pass_on(lines)
            if time.monotonic() >= until:
                await asyncio.sleep(0)
                until = time.monotonic() + SLICE_S

    def _eureka_changes(self, changes: list[Change]) -> None:
        self._pass_on(self._merger.changes(EUREKA, changes, self._clock()))

    def _look(self) -> None:
        if not self._closed:
            self._pass_on(self._merger.expire(self._clock()))
            self._loop.call_later(LOOK_S, self._look)

    def _pass_on(self, lines: list[Line], even_none: bool = False) -> None:
        if (lines or even_none) and not self._closed:
            self._version += 1
            self._tell(Listing(self._version, False, tuple(lines)))


def _record(line: Line) -> Record:
    entry = line.entry
    status = UP if entry.lifecycle == "up" else DRAINING
    return Record(
        entry.server, line.address, status, entry.zone, entry.kind, entry.cell, entry.weight,
        entry.started_ns, line.protocol,
    )  # fmt: skip
