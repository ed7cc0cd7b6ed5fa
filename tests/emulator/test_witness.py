"""Each promise is seen broken by one forged act, and kept by its lawful neighbour."""

from dataclasses import replace

import pytest
from build import MS, SECOND, settings

from dunefield import (
    AttemptFinished,
    AttemptOutcome,
    FailRequest,
    ProbeServer,
    RefuseRequest,
    RequestArrived,
    SendAttempt,
    ServerEntry,
    ServerListUpdate,
    StartTimer,
)
from emulator.watch import Broken, Witness

A, B, FAR = (
    ServerEntry(f"s{i}", zone=i // 2, cell=i) for i in range(3)
)  # A and B share a zone; FAR does not
END = SECOND


def submit(server=A, until=END):
    return SendAttempt("r", server.server, until)


def back(attempt, how):
    return AttemptFinished("r", how, MS, "s0", attempt, how == AttemptOutcome.OK)


LEAVING = ServerListUpdate("INCREMENTAL", (A._replace(lifecycle="draining"),))
TOLD = ServerListUpdate("FULL", (A, B, FAR))
FREE, ONCE, KEYED = range(3)  # of the settings' classes; the keyed one is bound to its zone for a second

# class; what happens at which time (events are seen, actions wanted); the complaint at the last, None: lawful
CASES = [
    (FREE, [(0, submit()), (1, submit(B))], None),
    (FREE, [(0, submit()), (1, RefuseRequest("r", 0))], None),
    (FREE, [(0, RefuseRequest("r", 0)), (1, FailRequest("r"))], "a second final answer"),
    (FREE, [(0, submit()), (1, back(0, AttemptOutcome.OK)), (2, submit(B))], "a send after the end"),
    (FREE, [(END + 1, submit())], "a send after the end"),
    (FREE, [(0, submit(until=END + 1))], "may outlive"),
    (FREE, [(i, submit()) for i in range(4)], "more attempts"),
    (FREE, [(0, LEAVING), (1, submit())], "draining, gone"),
    (FREE, [(0, ServerListUpdate("FULL", (B,))), (1, submit())], "draining, gone"),
    (
        FREE,
        [(0, ServerListUpdate("FULL", (B,))), (1, ServerListUpdate("INCREMENTAL", (A,))), (2, submit())],
        None,
    ),
    (FREE, [(0, StartTimer(0, 1))], "a timer in the past"),
    (FREE, [(0, ProbeServer("s0"))], "a probe where none"),
    (ONCE, [(0, submit()), (1, submit(B))], "unsafe request may run twice"),
    (
        ONCE,
        [(0, submit()), (1, back(0, AttemptOutcome.RESET)), (2, submit(B))],
        "unsafe request may run twice",
    ),
    (ONCE, [(0, submit()), (1, back(0, AttemptOutcome.FULL)), (2, submit(B))], None),
    (ONCE, [(0, submit()), (1, RefuseRequest("r", 0))], "untrue"),
    (ONCE, [(0, submit()), (1, back(0, AttemptOutcome.TIMEOUT)), (2, RefuseRequest("r", 0))], "untrue"),
    (ONCE, [(0, submit()), (1, back(0, AttemptOutcome.TIMEOUT)), (2, FailRequest("r"))], None),
    (ONCE, [(0, submit()), (1, back(0, AttemptOutcome.FULL)), (2, RefuseRequest("r", 0))], None),
    (KEYED, [(0, submit()), (1, back(0, AttemptOutcome.RESET)), (2, submit(B))], None),
    (KEYED, [(0, submit()), (1, back(0, AttemptOutcome.RESET)), (2, submit(FAR))], "outside its group"),
    (
        KEYED,
        [(0, submit()), (1, back(0, AttemptOutcome.RESET)), (END // 2, submit(B))],
        "outside its group or window",
    ),
    (KEYED, [(0, submit()), (1, back(0, AttemptOutcome.RESET)), (2, RefuseRequest("r", 0))], "untrue"),
]


@pytest.mark.parametrize(("cls", "acts", "complaint"), CASES)
def test_a_forged_act_is_seen_and_a_lawful_one_is_not(cls, acts, complaint):
    told = settings(limits={"secondCopies": True})
    told = replace(told, classes=tuple(replace(c, retry_window_ns=END // 2) for c in told.classes))
    witness = Witness(told)
    witness.saw(0, TOLD)
    witness.saw(0, RequestArrived("r", cls, END))
    for now, act in acts[:-1]:
        (witness.saw if isinstance(act, ServerListUpdate | AttemptFinished) else witness.did)(now, act)
    now, last = acts[-1]
    if complaint is None:
        witness.did(now, last)
    else:
        with pytest.raises(Broken, match=complaint):
            witness.did(now, last)


def test_two_at_once_where_that_is_not_allowed():
    witness = Witness(settings())
    witness.saw(0, TOLD)
    witness.saw(0, RequestArrived("r", FREE, END))
    witness.did(0, submit())
    with pytest.raises(Broken, match="two attempts at once"):
        witness.did(1, submit(B))


def test_an_answer_that_does_not_come_is_missed():
    witness = Witness(settings())
    witness.saw(0, RequestArrived("r", FREE, END))
    witness.passed(END)
    with pytest.raises(Broken, match="no final answer"):
        witness.passed(END + SECOND)
