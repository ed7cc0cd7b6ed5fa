"""Requests that one controller sends to several others, and the count of their answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from mesh.transport.messages import Answer

AnswerHandler = Callable[[str, Any], bool]
"""Handles an answer, given the sender's name; returns whether it counts towards the quorum."""


class Round:
    """Counts the answers to one request to several controllers.

    The round ends `timeout_s` after its start. Later answers don't count, even if the process was suspended
    in between.
    """

    def __init__(self, required: int, expected: int, timeout_s: float) -> None:
        self._loop = asyncio.get_running_loop()
        self.required, self._expected = required, expected
        self._deadline = self._loop.time() + timeout_s
        self.names = set[str]()  # controllers whose answers count
        self._refused = set[str]()
        self._done: asyncio.Future[bool] = self._loop.create_future()

    def add_yes(self, name: str) -> None:
        """Counts an answer; repeated answers of one controller count once."""
        if self._loop.time() > self._deadline:
            return
        self.names.add(name)
        if len(self.names) >= self.required:
            self._settle(True)

    def add_no(self, name: str) -> None:
        """Notes a refusal; ends the round at once if the quorum can't be reached any more."""
        self._refused.add(name)
        if self._expected - len(self._refused) < self.required:
            self._settle(False)

    def _settle(self, reached: bool) -> None:
        if not self._done.done():
            self._done.set_result(reached)

    async def wait_for_quorum(self) -> bool:
        """Returns whether enough answers arrived in time."""
        if self.required <= len(self.names):
            return True
        if self._expected < self.required:
            return False
        try:
            return await asyncio.wait_for(self._done, max(0.0, self._deadline - self._loop.time()))
        except TimeoutError:
            return False


class Rounds:
    """All open rounds, by number."""

    def __init__(self) -> None:
        self._open: dict[int, tuple[Round, AnswerHandler]] = {}
        self._last_number = 0

    def next_number(self) -> int:
        """Returns a number that was not used before."""
        self._last_number += 1
        return self._last_number

    def open(
        self, required: int, expected: int, timeout_s: float, on_answer: AnswerHandler
    ) -> tuple[int, Round]:
        """Starts a round; its number is sent with the request and returned with each answer."""
        round_ = Round(required, expected, timeout_s)
        number = self.next_number()
        self._open[number] = round_, on_answer
        return number, round_

    def close(self, number: int) -> None:
        """Ends a round; answers that arrive later are dropped."""
        self._open.pop(number, None)

    def handle_answer(self, name: str, message: Answer) -> None:
        """Passes an answer to its round, if that is still open."""
        found = self._open.get(message.round)
        if found is None:
            return
        round_, on_answer = found
        if on_answer(name, message):
            round_.add_yes(name)
        else:
            round_.add_no(name)
