"""Distribution of the configuration to sidecars: each follows one controller, and pulls from another one if
it lacks something.

The whole table crosses a sidecar's connection once, and so does each change, however many controllers there
are: the controllers that a sidecar does not follow send only `Digest`, 8 bytes that summarize their items. A
sidecar whose own digest differs, and which does not get the difference from the controller it follows, asks
the other one for what it lacks (`Pull`). So a controller that is frozen, partitioned or behind delays its
followers by `PULL_DELAY_S`, but does not withhold their configuration. No I/O; times are seconds of a
monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from functools import lru_cache
from hashlib import blake2b
from zlib import crc32

from mesh.state import configuration
from mesh.state.configuration import Item, Items

BUCKETS = 64  # differences between copies are located by bucket
PULL_DELAY_S = 0.15  # how long a sidecar waits for the followed controller before it pulls from another
MAX_PULL_DELAY_S = 0.6  # even if the followed controller keeps sending other messages
RECORDS_PULL_DELAY_S = 0.8  # how long a record that another controller holds may take to arrive
MAX_RECORDS_PULL_DELAY_S = 4.0
STABLE_FRACTION = 0.9  # of `RECORDS_PULL_DELAY_S`, as timers may fire late but never early
RECORDS_PULL_INTERVAL_S = 2.0  # minimum time between two requests for all records
PULL_TIMEOUT_S = 1.0  # how long the response to a pull is waited for


class ConfigurationCopy:
    """One copy of the items, with a digest of all of them and one of each bucket of names."""

    def __init__(self) -> None:
        self.items: Items = configuration.EMPTY
        self.digest = 0
        self._bucket_digests = [0] * BUCKETS
        self._bucket_names: list[dict[str, None]] = [{} for _ in range(BUCKETS)]

    def merge(self, items: Iterable[Item]) -> list[Item]:
        """Merges items and returns those that are new to this copy."""
        rows = list(items)
        before, self.items = self.items, configuration.merge(self.items, rows)
        new_items = []
        for name in dict.fromkeys(item.name for item in rows):
            old, item = before.get(name), self.items[name]
            if item != old:
                difference = configuration.item_hash(item) ^ (
                    configuration.item_hash(old) if old is not None else 0
                )
                bucket = crc32(name.encode()) % BUCKETS
                self.digest ^= difference
                self._bucket_digests[bucket] ^= difference
                self._bucket_names[bucket][name] = None
                new_items.append(item)
        return new_items

    def bucket_digests(self) -> bytes:
        """Returns the digest of each bucket, 8 bytes each: the size of a comparison, however many items."""
        return b"".join(digest.to_bytes(8, "big") for digest in self._bucket_digests)

    def items_differing_from(self, bucket_digests: bytes) -> list[Item]:
        """Returns the items of all buckets that differ from another copy's.

        The other copy merges them, so those that are older here have no effect there.
        """
        return [
            self.items[name]
            for bucket, digest in enumerate(self._bucket_digests)
            if bucket_digests[8 * bucket : 8 * bucket + 8] != digest.to_bytes(8, "big")
            for name in self._bucket_names[bucket]
        ]


@lru_cache(maxsize=8192)
def record_hash(node: str, incarnation: int, number: int) -> int:
    """Returns a 64-bit hash of a sidecar's record."""
    return int.from_bytes(blake2b(f"{node}\0{incarnation}\0{number}".encode(), digest_size=8).digest(), "big")


class RecordsDigest:
    """A digest of all sidecars' records in one process, whatever order they arrived in."""

    def __init__(self) -> None:
        self.value = 0
        self._hashes: dict[str, int] = {}  # by node

    def update(self, node: str, incarnation: int, number: int) -> None:
        """Adds the record of a node, in place of its earlier one."""
        self.remove(node)
        self._hashes[node] = record_hash(node, incarnation, number)
        self.value ^= self._hashes[node]

    def remove(self, node: str) -> None:
        """Removes the record of a node, if there is one."""
        self.value ^= self._hashes.pop(node, 0)


class RecordsComparison:
    """Decides when a sidecar asks a controller that it does not follow for all records.

    The followed controller sends each changed record; the others send a digest. The comparison finds
    sidecars that are cut off from the followed controller and known to another one. While records change
    everywhere, two digests of the same moment are hardly ever at hand, so a check is repeated until both
    digests have been stable for `RECORDS_PULL_DELAY_S`, or a difference has lasted for
    `MAX_RECORDS_PULL_DELAY_S`.
    """

    def __init__(self) -> None:
        self._digests: dict[str, tuple[int, float]] = {}  # by controller: its digest, and when it arrived
        self._pulled: dict[str, tuple[int, int]] = {}  # by controller: its and our digest at the last pull
        self._differs_since: dict[str, float] = {}  # by controller
        self._own_digest, self._own_digest_since = 0, 0.0
        self._last_pull_at = -RECORDS_PULL_INTERVAL_S

    def on_digest(self, now: float, controller: str, digest: int, own_digest: int) -> bool:
        """Handles a controller's digest; returns whether to check after `RECORDS_PULL_DELAY_S`."""
        self._digests[controller] = digest, now
        self._note_own_digest(now, own_digest)
        if digest == own_digest:
            self._differs_since.pop(controller, None)
            return False
        first = controller not in self._differs_since
        self._differs_since.setdefault(controller, now)
        return first

    def _note_own_digest(self, now: float, own_digest: int) -> None:
        if own_digest != self._own_digest:
            self._own_digest, self._own_digest_since = own_digest, now

    def on_disconnect(self, controller: str) -> None:
        """Forgets a controller whose connection has ended."""
        self._digests.pop(controller, None)
        self._pulled.pop(controller, None)
        self._differs_since.pop(controller, None)

    def should_pull(self, now: float, controller: str, own_digest: int) -> bool | None:
        """Returns whether to pull from a controller; None to check again after `RECORDS_PULL_DELAY_S`."""
        self._note_own_digest(now, own_digest)
        digest, digest_at = self._digests.get(controller, (own_digest, now))
        if digest == own_digest or self._pulled.get(controller) == (digest, own_digest):
            self._differs_since.pop(controller, None)
            return False
        unstable = now < max(digest_at, self._own_digest_since) + STABLE_FRACTION * RECORDS_PULL_DELAY_S
        overdue = now >= self._differs_since.get(controller, now) + MAX_RECORDS_PULL_DELAY_S
        if (unstable and not overdue) or now < self._last_pull_at + RECORDS_PULL_INTERVAL_S:
            return None
        self._pulled[controller], self._last_pull_at = (digest, own_digest), now
        self._differs_since.pop(controller, None)
        return True


class ControllerSelector:
    """Decides which controller a sidecar follows, and when it pulls from another one."""

    def __init__(self, me: str, zone: str) -> None:
        self._me, self._zone = me, zone
        self.controller = ""  # the one that is followed
        self._digests: dict[
            str, tuple[int, float]
        ] = {}  # by controller: its last digest, and when it arrived
        # by controller: its and our digest at the last pull
        self._pulled: dict[str, tuple[int, int]] = {}
        self._pull_deadline = 0.0  # until then the response to a pull is waited for
        self._out_of_contact: set[str] = set()  # controllers that reported no contact with a majority

    def set_in_contact(self, controller: str, in_contact: bool) -> None:
        """Notes whether a controller is in contact with a majority.

        One that is not is neither followed nor pulled from, as its items may be outdated.
        """
        (self._out_of_contact.discard if in_contact else self._out_of_contact.add)(controller)

    def choose(self, linked: Iterable[str], zones: Mapping[str, str]) -> str | None:
        """Returns the controller to follow from now on, or None if it does not change.

        Controllers of the sidecar's own zone come first; among equals each sidecar has an order of its own,
        which spreads sidecars over controllers.
        """

        def rank(controller: str) -> tuple[bool, int]:
            return zones.get(controller) != self._zone, crc32(f"{self._me} {controller}".encode())

        candidates = [
            controller
            for controller in linked
            if controller in zones and controller not in self._out_of_contact
        ]
        best = min(candidates, key=rank, default="")
        kept = self.controller in candidates and (
            best == self.controller or rank(self.controller)[0] == rank(best)[0]
        )
        if kept or best == self.controller:
            return None
        self.controller = best
        return best

    def on_digest(self, now: float, controller: str, digest: int, own_digest: int) -> bool:
        """Handles a controller's digest; returns whether to check after `PULL_DELAY_S`."""
        self._digests[controller] = digest, now
        return digest not in (own_digest, 0)

    def should_pull(self, now: float, controller: str, own_digest: int, heard_at: float) -> bool | None:
        """Returns whether to pull from a controller; None to check again later.

        `heard_at` is when the followed controller last sent anything, as it may still be sending the items.
        """
        digest, digest_at = self._digests.get(controller, (0, now))
        if (
            controller in self._out_of_contact
            or digest in (own_digest, 0)
            or self._pulled.get(controller) == (digest, own_digest)
        ):
            return False
        receiving = now - heard_at < PULL_DELAY_S / 2 and now - digest_at < MAX_PULL_DELAY_S
        if now < self._pull_deadline or receiving:
            return None
        self._pulled[controller] = digest, own_digest
        self._pull_deadline = now + PULL_TIMEOUT_S
        return True

    def on_pull_answered(self) -> None:
        """Notes that the response to a pull has arrived."""
        self._pull_deadline = 0.0

    def on_disconnect(self, controller: str) -> None:
        """Forgets a controller whose connection has ended."""
        self._digests.pop(controller, None)
        self._pulled.pop(controller, None)
        self._out_of_contact.discard(controller)
        self._pull_deadline = 0.0
        if controller == self.controller:
            self.controller = ""
