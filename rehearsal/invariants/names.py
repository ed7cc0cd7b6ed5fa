"""Names of another fleet are nobody here."""

from __future__ import annotations

from rehearsal.history import STATUS, History


def check(history: History) -> list[str]:
    """No daemon tells anything of one of another fleet, or that the play doesn't have."""
    made = []
    for t, who, event, fields in history.told:
        n = history.number(str(fields.get("member")))
        if event in STATUS and (n is None or not history.same(who, n)):
            made.append(f"d{who} tells {event} of {fields.get('member')!r} at {t / 1e6:.2f} s")
    return made
