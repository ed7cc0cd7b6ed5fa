"""The last good list on disk, for installations that have one: atomic, checksummed, versioned.

A file that is torn, changed, of another format or somebody else's is never trusted and never stops the start:
it is as if there were none, and a word says so. What is written replaces what was there whole or not at all:
to a file beside it, flushed to the disk, renamed over it (rename(2) is atomic), and the folder flushed.
"""

from __future__ import annotations

import json
import os
from collections.abc import Sequence
from pathlib import Path
from zlib import crc32

from hollyport.registries.record import DRAINING, UP, WAITING, Record
from hollyport.settings.config import Address

MAGIC = "hollyport registry list"
FORMAT = 1
MOST_BYTES = 32 << 20
STATUSES = frozenset({UP, DRAINING, WAITING})


class StoreError(ValueError):
    """What stands there is no list that can be trusted."""


def dumps(records: Sequence[Record], saved_ns: int) -> bytes:
    """The file's content: a line that says what it is and a checksum, and the records."""
    rows = [[r.identity, *r.address, *r[2:]] for r in records]
    body = json.dumps(rows, separators=(",", ":")).encode()
    head = json.dumps(
        {"is": MAGIC, "format": FORMAT, "saved_ns": saved_ns, "crc": crc32(body), "size": len(body)}
    )
    return head.encode() + b"\n" + body


def loads(data: bytes) -> tuple[list[Record], int]:
    """Records and when they were saved; raise StoreError on anything that `dumps` has not written."""
    first, _, body = data.partition(b"\n")
    try:
        head = json.loads(first)
        if not isinstance(head, dict) or head.get("is") != MAGIC:
            raise StoreError("it is another program's")
        if head.get("format") != FORMAT:
            raise StoreError(f"it has format {head.get('format')!r}, this daemon reads {FORMAT}")
        if head.get("size") != len(body) or head.get("crc") != crc32(body):
            raise StoreError("it is torn or changed")
        records = []
        for identity, host, port, status, *rest in json.loads(body):
            record = Record(identity, Address(host, port), status, *rest)
            if status not in STATUSES or not isinstance(identity, str) or not isinstance(host, str):
                raise StoreError("it holds what is no record")
            records.append(record)
        return records, int(head["saved_ns"])
    except StoreError:
        raise
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        raise StoreError(f"it cannot be read: {' '.join(str(error).split())[:100]}") from None


def load(path: Path) -> tuple[list[Record], int]:
    """Read the file; raise StoreError where there is none that can be trusted."""
    try:
        with open(path, "rb") as file:
            data = file.read(MOST_BYTES + 1)
    except OSError as error:
        raise StoreError(f"it cannot be read: {error.strerror}") from None
    if len(data) > MOST_BYTES:
        raise StoreError(f"it is longer than {MOST_BYTES >> 20} MB")
    return loads(data)


def save(path: Path, data: bytes) -> None:
    """Put the file in place. Raise OSError where that fails; what was there then stands as it did."""
    fresh = path.with_name(f"{path.name}.{os.getpid()}.new")
    try:
        with open(fresh, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(fresh, path)
    except OSError:
        fresh.unlink(missing_ok=True)
        raise
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
