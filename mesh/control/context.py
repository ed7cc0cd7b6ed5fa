"""What the parts of one controller share: settings, clock, disk, tasks, and its word as a voter."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from mesh.control.ballot import Member, Patience
from mesh.control.rounds import Rounds
from mesh.settings import Settings
from mesh.state.quorum import Voters
from mesh.storage.record_store import RecordStore

# A round of claims or ballots is void after so long; a controller without its disk waits as long.
CLAIM_TIMEOUT_S = 1.0


class Context:
    """One process's. `state` tells all records that still count, for the disk."""

    def __init__(self, settings: Settings, state: Callable[[], Iterable[Any]]) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.me = settings.peer_address.text
        self.incarnation = int(time.time() * 1000)  # of this process: later ones are greater
        self.member = Member(self.me)
        self.rounds = Rounds()
        self.store = RecordStore(settings.data_dir or "/tmp/record_store", state)
        self.stopping = False
        self._anchor = time.time() - self.loop.time()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def voters(self) -> Voters:
        """Whose disks count."""
        return self.member.voters

    @property
    def is_voter(self) -> bool:
        """Whether this controller may answer as a voter of the present epoch."""
        return self.member.votes(self.voters.epoch)

    @property
    def absence_timeout_s(self) -> float:
        """One that was not seen for so long is not about to return; with four times that it is forgotten."""
        return 2 * (self.settings.bound("catch_up", 4.0) + self.settings.bound("contact", 3.0))

    @property
    def membership_delays(self) -> Patience:
        """How long others have to be away, or there, before the voters change.

        A new machine stops counting as lost `catch_up` after its start: by then it has to have taken the
        place of the one before, which is found to be gone within half of that. Where no spare is there a
        voter keeps its place for longer, as its copy is worth more than a smaller majority.
        """
        catch_up = self.settings.bound("catch_up", 4.0)
        return Patience(catch_up / 2, self.absence_timeout_s, catch_up / 10)

    def wall_time(self) -> float:
        """Time of day that never steps: read once, carried on by the steady clock."""
        return self._anchor + self.loop.time()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run something in the background, and keep it until it ends."""
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def write(self, record: list[Any], done: Callable[[bool], None] | None = None) -> None:
        """Have a record written; `done` hears whether it lies on the disk."""
        self.store.put(record, done)

    def write_membership(self, done: Callable[[bool], None] | None = None) -> None:
        """Write down this controller's word on who votes."""
        *first, last = self.member.records()
        for record in first:
            self.store.put(record)
        self.store.put(last, done)

    def confirm_sealed(self, epoch: int, tell: Callable[[bool], None]) -> None:
        """Tell whether this controller is sealed, and whole, in an epoch: for good, so it lies on the
        disk."""
        if self.member.holds(epoch):
            self.write_membership(lambda ok: tell(ok and self.member.holds(epoch)))
        else:
            tell(False)
