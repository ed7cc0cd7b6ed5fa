"""What has to hold over the joined history of many processes: a function of it in each file, listed here."""

from __future__ import annotations

from collections.abc import Callable

from rehearsal.history import History
from rehearsal.invariants import agreement, deaths, names, refuted

ALL: dict[str, Callable[[History], list[str]]] = {
    "a dead member is held dead by all within the bound": deaths.known,
    "no live, reachable member is held dead by a majority for longer than the bound": deaths.false,
    "nobody is held to have left who runs": deaths.unsaid,
    "views agree within the bound once nothing fails": agreement.check,
    "nobody takes in a member of another fleet": names.check,
    "two processes under one name are told": refuted.twins,
}
"""By what it claims: the breaches that it finds, as sentences. Later parts add theirs."""
