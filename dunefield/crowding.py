"""How crowded the fleet is, as one sidecar can tell, and which calls are shed for it."""

from __future__ import annotations

import math
from collections.abc import Sequence

from dunefield.interface import RequestClass
from dunefield.budget import GAIN

CROWDED = 0.4  # crowding from which calls are shed
STIR = 0.05  # crowding from which those go that are worth nothing any more
JAMMED = 4.0  # crowding that one call's finding counts for at most
MOST = 1.5  # crowding at most: from 1 on all are shed, and what goes beyond only makes that last
SHORT = 0.2  # part of the aim that answers take where a request that waits counts for one
SLACK = 3.0  # how much more may wait at most where they take less: servers that hold many for long jam
LATE = 0.9  # part of the aim from which an answer is late, or as good as late
SLOWLY = 0.02  # weight of one answer in the share of late ones: some seconds of a sidecar's calls
HARM = 3.0  # late answers that one more call makes, for each of those there are: see Crowding.harm
LEAST = 0.2  # mean worths that a call counts for at least: the goal weighs the worst class beside the sum
CHANCE = 0.03  # share of late ones that long work makes by itself, however few are under way


class Crowding:
    """What probes and own answers tell of the fleet as a whole."""

    def __init__(self, classes: Sequence[RequestClass], horizon: int, now: int) -> None:
        self._horizon = horizon
        self._share = [1.0 / len(classes)] * len(classes)  # of each class in the requests of late
        self._cheapest = sorted(range(len(classes)), key=lambda i: (classes[i].value, i))
        self._at = now
        self._long = 0.25  # part of their aim that own answers take
        self._late = 0.0  # share of late ones in own answers
        self._slack = 1.0  # how much more than usual calls may wait, answers being short for their aim
        self.level = 0.0

    def count(self, number: int) -> None:
        """Take note of a request's class."""
        for i, share in enumerate(self._share):
            self._share[i] = share + ((i == number) - share) * GAIN / 8

    def answered(self, part: float) -> None:
        """Take note of an own answer that took this part of its aim."""
        self._long += (part - self._long) * GAIN / 8
        self._slack = min(SLACK, max(1.0, (SHORT / self._long) ** 2))
        self._late += ((part > LATE) - self._late) * SLOWLY

    def harm(self, worth: float) -> float:
        """What one more call takes from all others, as a share of what it brings; its worth in mean worths.

        Waits beyond a limit fall about by exp(-c (1 - load)), c being how many calls fit into the limit: so a
        call more makes c times load times the share of late answers late, and those are worth the mean. It
        is little where few are late, whatever a single server does.
        """
        return HARM * max(0.0, self._late - CHANCE) / max(worth, LEAST)

    def found(self, now: int, queue: float) -> None:
        """A call that asked found this queue, the shortest of all: there it goes. A mean over all that were
        asked sheds while some stand idle, where one is slow or reports too much and where the fleet is small.
        What a request that waits costs is measured on own answers: the more of the aim they take, the sooner
        the next are late. It harms where those tell of better times, as at the start of a jam, and where most
        reports are too low."""
        # Over a time, not so many calls: where many come, a queue of some milliseconds is chance; where
        # nearly all are shed, those that still ask are all there is to learn from.
        gain = min(GAIN, (now - self._at) / self._horizon)
        found = min(queue * (self._long / SHORT) ** 2, JAMMED)
        self.level = min(MOST, self.level + (found - self.level) * gain)
        self._at = now

    def felt(self, now: int, slow: bool) -> None:
        """An own answer was slow or was not, where nothing else tells. Only whether, not how much: a server
        that stands still or keeps silent says nothing of the rest."""
        self.level += (slow - self.level) * GAIN / 2
        self._at = now

    def sheds(self, now: int, number: int, out: int, flow: float, draw: float) -> bool:
        """Whether a call of this class must not reach the fleet. `flow` is how many calls are in flight by
        Little's law while nothing waits, `out` how many are; `draw` is a random number."""
        crowd = self.level * self._horizon / (self._horizon + now - self._at)
        # Calls in flight tell of a jam before its answers come: more than Little's law and chance explain.
        usual = self._slack * (2.0 + flow + 2.0 * math.sqrt(flow))
        crowd = max(crowd, 2.0 * math.log((1 + out) / usual))
        shed = (crowd - CROWDED) / (1.0 - CROWDED)
        if shed <= 0.0:
            return False
        for i in self._cheapest:
            if i == number:
                return draw < min(0.99, shed / max(self._share[i], 0.01))
            shed -= self._share[i]
        return False
