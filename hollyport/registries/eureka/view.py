"""A registry as this daemon has it: whole answers and deltas put together, and checked against its hash. No
I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from typing import Any

from hollyport.registries.eureka.codec import DELETED, Instance, reconcile_hash

MOST_BURIED = 4096  # deleted instances that are remembered, so that an older delta does not bring them back


class View:
    """All instances that are wanted, and of the rest just their status, for the hash covers every
    application."""

    def __init__(self, wanted: Callable[[Instance], bool]) -> None:
        self._wanted = wanted
        self.instances: dict[tuple[str, str], Instance] = {}
        self._statuses: dict[tuple[str, str], str] = {}
        self._counts: dict[str, int] = {}
        self._buried: dict[tuple[str, str], int] = {}

    def hashcode(self) -> str:
        """The code of what is held."""
        return reconcile_hash(self._counts)

    def whole(self, instances: Sequence[Instance]) -> None:
        """Take over a whole answer in place of everything."""
        for _ in self.taking_whole(instances):
            pass

    def taking_whole(self, instances: Sequence[Instance], step: int = 256) -> Iterator[None]:
        """The same in steps. The view is the old one until all is read, and the new one from then on."""
        kept: dict[tuple[str, str], Instance] = {}
        statuses: dict[tuple[str, str], str] = {}
        for number, instance in enumerate(instances):
            if instance.action != DELETED:
                key = (instance.app, instance.identity)
                statuses[key] = instance.status
                if self._wanted(instance):
                    # What is the same stays the same object: a refresh that changes nothing leaves nothing
                    # new for the garbage collector.
                    held = self.instances.get(key)
                    kept[key] = held if held == instance else instance
            if number % step == step - 1:
                yield
        counts: dict[str, int] = {}
        for number, status in enumerate(statuses.values()):
            counts[status] = counts.get(status, 0) + 1
            if number % 4096 == 4095:
                yield
        old: tuple[dict[tuple[str, str], Any], ...] = (self.instances, self._statuses)
        self.instances, self._statuses, self._counts = kept, statuses, counts
        self._buried.clear()
        for last in old:  # freed at once, a large one would hold up the loop for longer than a step
            while last:
                for _ in range(min(step, len(last))):
                    last.popitem()
                yield

    def delta(self, instances: Sequence[Instance]) -> None:
        """Take over changes. What is older than what is held is passed over: deltas repeat, answers of two
        registries may come out of order. The registry's own clock is compared with itself alone."""
        for instance in instances:
            key = (instance.app, instance.identity)
            held = self.instances.get(key)
            latest = max(held.updated_ms if held else 0, self._buried.get(key, 0))
            if instance.updated_ms and instance.updated_ms < latest:
                continue
            if instance.action == DELETED:
                self._count(key, None)
                self.instances.pop(key, None)
                self._buried.pop(key, None)
                self._buried[key] = instance.updated_ms
                if len(self._buried) > MOST_BURIED:
                    del self._buried[next(iter(self._buried))]
                continue
            if key in self._buried and (not instance.updated_ms or instance.updated_ms <= self._buried[key]):
                continue  # it was there before it was deleted
            self._buried.pop(key, None)
            self._count(key, instance.status)
            if self._wanted(instance):
                self.instances[key] = instance
            else:
                self.instances.pop(key, None)

    def _count(self, key: tuple[str, str], status: str | None) -> None:
        before = self._statuses.pop(key, None)
        if before is not None:
            self._counts[before] -= 1
        if status is not None:
            self._statuses[key] = status
            self._counts[status] = self._counts.get(status, 0) + 1
