"""A name that two processes use by mistake."""

from __future__ import annotations

from rehearsal.history import History


def twins(history: History) -> list[str]:
    """It is told by at least half of the others while it lasts, where it lasts 8 s; and nobody tells it
    else."""
    made = []
    for n in range(history.count):
        for span in history.twins[n]:
            if span.end - span.start < 8_000_000:
                continue
            told = {who for t, who, event, fields in history.told
                    if event == "twins" and fields["member"] == f"d{n}" and span.holds(t)}  # fmt: skip
            if len(told) * 2 < history.count - 1:
                made.append(
                    f"d{n} is there twice from {span.start / 1e6:.1f} s on, and {len(told)} others tell it"
                )
    for t, who, event, fields in history.told:
        named = history.number(str(fields.get("member"))) if event == "twins" else None
        if named is not None and not any(s.start <= t <= s.end + 5_000_000 for s in history.twins[named]):
            made.append(f"d{who} tells of two under d{named} at {t / 1e6:.1f} s, and there is one")
    return made
