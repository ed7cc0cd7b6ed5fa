"""The bound for all large bodies together: how many may be under way, the rest wait in order. No I/O."""

from __future__ import annotations

from collections.abc import Callable

SHARE = 0.4  # of what the program itself does not need
OWN_MB = 40  # the program, its modules and what small requests hold at most
HELD = 320 * 1024  # bytes that one body holds at most: a transport's buffer and one read on top of it
FEWEST = 8  # bodies under way in any case


class Ledger:
    """Shares of the memory for bodies under way."""

    def __init__(self, memory_mb: int) -> None:
        self.most = self._most(memory_mb)
        self.out = 0
        self._waiting: dict[object, Callable[[], None]] = {}

    @staticmethod
    def _most(memory_mb: int) -> int:
        return max(FEWEST, int((memory_mb - OWN_MB) * SHARE * 2**20 / HELD))

    def resize(self, memory_mb: int) -> None:
        """The memory is another from now on; bodies that are under way go on."""
        self.most = self._most(memory_mb)
        self._pass_on()

    def ask(self, who: object, granted: Callable[[], None]) -> None:
        """Have `granted` called once there is a share for `who`: at once, or after those who asked before."""
        if self.out < self.most and not self._waiting:
            self.out += 1
            granted()
        else:
            self._waiting[who] = granted

    def give_back(self, who: object, had: bool) -> None:
        """A share is free, or no longer wanted."""
        if not had:
            self._waiting.pop(who, None)
            return
        self.out -= 1
        self._pass_on()

    def _pass_on(self) -> None:
        while self._waiting and self.out < self.most:
            first = next(iter(self._waiting))
            granted = self._waiting.pop(first)
            self.out += 1
            granted()
