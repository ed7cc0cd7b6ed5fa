"""Names of another fleet are nobody here."""

from __future__ import annotations

from rehearsal.history import STATUS, History


def check(history: History) -> list[str]:
    """No daemon tells anything of a member that the play doesn't have."""
    return [
        f"d{who} tells {event} of {fields.get('member')!r}"
        for _, who, event, fields in history.told
        if event in STATUS and history.number(str(fields.get("member"))) is None
    ]
