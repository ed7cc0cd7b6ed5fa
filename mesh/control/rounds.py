"""Questions that one machine puts to several others, and the count of their answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from mesh.transport.messages import Answer

Take = Callable[[str, Any], bool]
"""What is made of an answer of a machine: whether it counts."""


class Round:
    """Answers to one question put to several machines. It is over `limit_s` after it began: what is heard
    later counts no more, also where the process stood still meanwhile."""

    def __init__(self, need: int, asked: int, limit_s: float) -> None:
        self._loop = asyncio.get_running_loop()
        self.need, self._asked = need, asked
        self._ends = self._loop.time() + limit_s
        self.names = set[str]()  # those whose answer counts
        self._refused = set[str]()
        self._done: asyncio.Future[bool] = self._loop.create_future()

    def add_yes(self, name: str) -> None:
        """One that counts, once."""
        if self._loop.time() > self._ends:
            return
        self.names.add(name)
        if len(self.names) >= self.need:
            self._settle(True)

    def add_no(self, name: str) -> None:
        """One that does not; with so many the round is over at once."""
        self._refused.add(name)
        if self._asked - len(self._refused) < self.need:
            self._settle(False)

    def _settle(self, enough: bool) -> None:
        if not self._done.done():
            self._done.set_result(enough)

    async def wait_for_quorum(self) -> bool:
        """Whether as many as are needed answered in time."""
        if self.need <= len(self.names):
            return True
        if self._asked < self.need:
            return False
        try:
            return await asyncio.wait_for(self._done, max(0.0, self._ends - self._loop.time()))
        except TimeoutError:
            return False


class Rounds:
    """All rounds that are open, by number."""

    def __init__(self) -> None:
        self._open: dict[int, tuple[Round, Take]] = {}
        self._next = 0

    def next_number(self) -> int:
        """One that was not used before."""
        self._next += 1
        return self._next

    def open(self, need: int, asked: int, limit_s: float, take: Take) -> tuple[int, Round]:
        """Begin one: its number goes with the question, and comes back with each answer."""
        made = Round(need, asked, limit_s)
        number = self.next_number()
        self._open[number] = made, take
        return number, made

    def close(self, number: int) -> None:
        """Answers that come from now on are dropped."""
        self._open.pop(number, None)

    def answer(self, name: str, message: Answer) -> None:
        """An answer has come."""
        found = self._open.get(message.round)
        if found is None:
            return
        made, take = found
        if take(name, message):
            made.add_yes(name)
        else:
            made.add_no(name)
