"""A body that is kept whole, in blocks of one size: it costs about its size, however small its pieces were.

No I/O.
"""

from __future__ import annotations

from collections.abc import Iterator

from hollyport.bodies.flow import Sink

BLOCK_BYTES = 64 * 1024
BLOCK_OVERHEAD_BYTES = 48  # of one block: its object, and its place in the list


class Blocks:
    """The bytes of one body, which can grow. All blocks but the last have BLOCK_BYTES."""

    __slots__ = ("_full", "_last", "size")

    def __init__(self, data: bytes = b"") -> None:
        self._full: list[bytes] = []
        self._last = bytearray()
        self.size = 0
        if data:
            self.append(data)

    def __len__(self) -> int:
        return self.size

    def __iter__(self) -> Iterator[bytes]:
        """Yields the blocks in order; not to be used while the body grows."""
        yield from self._full
        if self._last:
            yield bytes(self._last)

    @property
    def memory_bytes(self) -> int:
        """The memory that the body takes."""
        full = len(self._full) * (BLOCK_BYTES + BLOCK_OVERHEAD_BYTES)
        return full + BLOCK_OVERHEAD_BYTES + self._last.__sizeof__()

    def append(self, data: bytes) -> None:
        """Adds bytes at the end."""
        self.size += len(data)
        room = BLOCK_BYTES - len(self._last)
        if len(data) < room:
            self._last += data
            return
        self._last += data[:room]
        self._full.append(bytes(self._last))
        whole = room + (len(data) - room) // BLOCK_BYTES * BLOCK_BYTES
        self._full.extend(data[start : start + BLOCK_BYTES] for start in range(room, whole, BLOCK_BYTES))
        self._last = bytearray(data[whole:])

    def cut(self, start: int, end: int) -> bytes:
        """Returns the bytes from `start` up to `end`, or to the end of the body if that comes first."""
        end = min(end, self.size)
        parts = []
        while start < end:
            number, offset = divmod(start, BLOCK_BYTES)
            block = self._full[number] if number < len(self._full) else self._last
            part = bytes(block[offset : offset + end - start])
            parts.append(part)
            start += len(part)
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def join(self) -> bytes:
        """Returns the body as one object, which takes its size once more."""
        return b"".join([*self._full, self._last]) if self._full else bytes(self._last)


class BlockSource:
    """Gives a body that is whole to one sink, block by block, as that can take it."""

    def __init__(self, body: Blocks) -> None:
        self._rest = iter(body)
        self._sink: Sink | None = None
        self._held = False

    def attach(self, sink: Sink) -> None:
        """Begins to give the body to a sink."""
        self._sink = sink
        self._move()

    def detach(self, sink: Sink) -> None:
        """Stops: the sink takes no more."""
        if self._sink is sink:
            self._sink = None

    def hold(self) -> None:
        """The sink can't take more for now."""
        self._held = True

    def go_on(self) -> None:
        """The sink can take more."""
        self._held = False
        self._move()

    def _move(self) -> None:
        while self._sink is not None and not self._held:
            block = next(self._rest, None)
            if block is not None:
                self._sink.more(block)
                continue
            sink, self._sink = self._sink, None
            sink.ended(True)
