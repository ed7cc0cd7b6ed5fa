"""An append-only record log on `dbm.dumb` files.

Each batch of records is one value under a key that is used once, so nothing that was synced is ever
overwritten. A batch carries its own length and checksum. Only the data file is synced and read at startup:
`dbm.dumb` rewrites its index in place when it is closed, and a torn line there would make opening fail, so
nothing depends on the index. A generation that has grown too large is followed by one that starts with all
records that still count. A single thread does the disk work, and all callers waiting at the same time share
one sync.
"""

from __future__ import annotations

import asyncio
import contextlib
import dbm.dumb
import os
import zlib
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import cbor2
from loguru import logger

MAGIC = b"grn1"
BLOCK_BYTES = 512  # dbm.dumb starts each value at a multiple of this
PendingRecord = tuple[Any, Callable[[bool], None] | None]
MAX_GENERATION_BYTES = 6 << 20


def encode_batch(records: list[Any]) -> bytes:
    """Encodes a batch as stored: magic, length, CRC-32, CBOR."""
    data = cbor2.dumps(records)
    return MAGIC + len(data).to_bytes(4, "big") + zlib.crc32(data).to_bytes(4, "big") + data


def decode_batches(data: bytes) -> Iterator[Any]:
    """Yields the records of all intact batches of a data file, in order, and skips torn or missing ones."""
    at = 0
    while at + 12 <= len(data):
        if data[at : at + 4] == MAGIC:
            size = int.from_bytes(data[at + 4 : at + 8], "big")
            body = data[at + 12 : at + 12 + size]
            if len(body) == size and zlib.crc32(body) == int.from_bytes(data[at + 8 : at + 12], "big"):
                yield from cbor2.loads(body)
                at += -(-(12 + size) // BLOCK_BYTES) * BLOCK_BYTES
                continue
        at += BLOCK_BYTES


class RecordStore:
    """The records of one process.

    `state` returns all records that still count, with which each new generation starts.
    """

    def __init__(self, folder: str, state: Callable[[], Iterable[Any]]) -> None:
        self._folder, self._state = folder, state
        self._generation = 0
        self._db: Any = None
        self._last_key = 0
        self._size_bytes = 0
        self._pending: list[PendingRecord] = []
        self._writing = self._scheduled = False
        self._thread = ThreadPoolExecutor(1, "record_store")
        self.batches = self.errors = 0  # batches written and failed
        self.healthy = True  # whether the last batch was written

    # --- startup

    def load(self) -> list[Any]:
        """Returns all stored records, oldest first. What is put later goes to a new generation."""
        os.makedirs(self._folder, exist_ok=True)
        records: list[Any] = []
        generations = self._generations()
        for generation in generations:
            with contextlib.suppress(OSError), open(self._path(generation) + ".dat", "rb") as file:
                records += list(decode_batches(file.read()))
        self._generation = generations[-1] if generations else 0
        return records

    def _generations(self) -> list[int]:
        names = [name for name in os.listdir(self._folder) if name.startswith("g") and name.endswith(".dat")]
        return sorted(int(name[1:-4]) for name in names if name[1:-4].isdigit())

    def _path(self, generation: int) -> str:
        return os.path.join(self._folder, f"g{generation:08d}")

    # --- writing

    def put(self, record: Any, done: Callable[[bool], None] | None = None) -> None:
        """Writes a record. `done` is called on the event loop with whether the record was synced to disk."""
        self._pending.append((record, done))
        if not self._writing and not self._scheduled:
            self._scheduled = True
            # Deferred, so that the batch includes all records put in this loop iteration.
            asyncio.get_running_loop().call_soon(self._write_pending)

    def _write_pending(self) -> None:
        self._scheduled = False
        if self._writing or not self._pending:
            return
        self._writing = True
        batch, self._pending = self._pending, []
        snapshot = (
            list(self._state()) if self._db is None or self._size_bytes > MAX_GENERATION_BYTES else None
        )
        loop = asyncio.get_running_loop()
        work = loop.run_in_executor(self._thread, self._write, [record for record, _ in batch], snapshot)
        work.add_done_callback(lambda future: self._on_written(batch, future))

    def _on_written(self, batch: list[PendingRecord], work: asyncio.Future[None]) -> None:
        self._writing = False
        error = work.exception()
        if error is not None and self.healthy:
            logger.warning("write to disk failed: {}", repr(error))
        if error is None and not self.healthy:
            logger.info("writes to disk succeed again")
        self.healthy = error is None
        if self.healthy:
            self.batches += 1
        else:
            self.errors += 1
        for _, done in batch:
            if done is not None:
                done(self.healthy)
        self._write_pending()

    def _write(self, records: list[Any], snapshot: list[Any] | None) -> None:
        """Runs on the thread. A failed batch may be on disk in part, but was never reported as written."""
        try:
            if snapshot is not None:
                self._next_generation(snapshot)
            self._append(records)
        except BaseException:
            self._db = None  # the next batch starts a generation, with all that counts in front
            raise

    def _append(self, records: list[Any]) -> None:
        value = encode_batch(records)
        self._last_key += 1
        self._db[b"%d" % self._last_key] = value
        self._size_bytes += len(value) + BLOCK_BYTES
        self._sync(self._path(self._generation) + ".dat")

    def _next_generation(self, snapshot: list[Any]) -> None:
        """Starts a generation with all records that count, and only then removes the earlier ones."""
        previous = self._generations()
        self._generation = max([self._generation, *previous]) + 1
        try:
            self._start_generation(snapshot)
        except BaseException:
            self._remove([self._generation])  # a full disk must not fill up with incomplete generations
            raise
        self._remove(previous)

    def _start_generation(self, snapshot: list[Any]) -> None:
        self._db = dbm.dumb.open(self._path(self._generation), "n")  # noqa: SIM115 - stays open
        self._db._commit = lambda: None  # it would rewrite the index in place when closed
        self._last_key = self._size_bytes = 0
        if snapshot:
            self._append(snapshot)
        else:
            self._sync(self._path(self._generation) + ".dat")
        self._sync(self._folder)

    def _remove(self, generations: list[int]) -> None:
        for generation in generations:
            for suffix in (".dat", ".dir", ".bak"):
                with contextlib.suppress(OSError):
                    os.unlink(self._path(generation) + suffix)

    @staticmethod
    def _sync(path: str) -> None:
        handle = os.open(path, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)
