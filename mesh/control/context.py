"""State that the components of one controller share: settings, clock, disk, tasks, and voter membership."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from mesh.control.ballot import Member, ReplacementDelays
from mesh.control.rounds import Rounds
from mesh.settings import Settings
from mesh.state.quorum import Voters
from mesh.storage.record_store import RecordStore

# Rounds of claims and of reconfigurations are void after this time; a wiped controller waits as long before
# it votes.
CLAIM_TIMEOUT_S = 1.0


class Context:
    """Shared state of one controller process.

    `all_records` yields all records that are still needed, when the record store rewrites its file.
    """

    def __init__(self, settings: Settings, all_records: Callable[[], Iterable[Any]]) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.me = settings.peer_address.text
        self.incarnation = int(time.time() * 1000)  # a later run of the process has a greater one
        self.member = Member(self.me)
        self.rounds = Rounds()
        self.store = RecordStore(settings.data_dir or "/tmp/record_store", all_records)
        self.stopping = False
        self._wall_offset_s = time.time() - time.monotonic()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def voters(self) -> Voters:
        """The voters of the current epoch."""
        return self.member.voters

    @property
    def is_voter(self) -> bool:
        """Whether this controller may answer as a voter of the current epoch."""
        return self.member.votes(self.voters.epoch)

    @property
    def absence_timeout_s(self) -> float:
        """Silence after which a controller is not expected to return soon; after four times as long it is
        forgotten."""
        return 2 * (self.settings.bound("catch_up", 4.0) + self.settings.bound("contact", 3.0))

    @property
    def membership_delays(self) -> ReplacementDelays:
        """How long other controllers have to be absent, or present, before the voters change.

        A new machine stops counting as lost `catch_up` after its start: by then it has to have replaced its
        predecessor, whose absence is detected within half of that time. Without a spare, a voter keeps its
        place for longer, as its copy is worth more than a smaller majority.
        """
        catch_up = self.settings.bound("catch_up", 4.0)
        return ReplacementDelays(catch_up / 2, self.absence_timeout_s, catch_up / 10)

    def wall_time(self) -> float:
        """Returns a time of day that never steps: read once at start, advanced by the monotonic clock.

        The event loop's time would be that of its latest poll, which a process that stood still may trail.
        """
        return self._wall_offset_s + time.monotonic()

    def monotonic_time(self) -> float:
        """Returns the time of the monotonic clock at this moment, not at the event loop's latest poll."""
        return time.monotonic()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine in the background and keeps a reference to its task until it ends."""
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def write(self, record: list[Any], done: Callable[[bool], None] | None = None) -> None:
        """Queues a record for the disk; `done` is called with whether it was written and synced."""
        self.store.put(record, done)

    def write_membership(self, done: Callable[[bool], None] | None = None) -> None:
        """Writes this controller's membership state to disk."""
        *first, last = self.member.records()
        for record in first:
            self.store.put(record)
        self.store.put(last, done)

    def confirm_sealed(self, epoch: int, respond: Callable[[bool], None]) -> None:
        """Reports whether this controller was sealed and caught up in an epoch.

        A positive answer is final, so it is on disk before it is given.
        """
        if self.member.has_final_state(epoch):
            self.write_membership(lambda written: respond(written and self.member.has_final_state(epoch)))
        else:
            respond(False)
