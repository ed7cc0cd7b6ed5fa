"""Once nothing fails any more, everybody holds everybody for what it is."""

from __future__ import annotations

from rehearsal.history import GONE, History

SETTLE_US = 250_000  # log lines of one instant are not written at one instant


def check(history: History) -> list[str]:
    """Looked at a bound behind each change that nothing followed, and at the end."""
    made = []
    instants = sorted({*history.changes, 0})
    for t, after in zip(instants, [*instants[1:], history.end], strict=True):
        at = t + history.agree_us
        if at + SETTLE_US > after or any(span.holds(at) for _, span in history.links):
            continue
        if any(s.holds(at) for n in range(history.count) for s in (*history.stalls[n], *history.twins[n])):
            continue
        live = [n for n in range(history.count) if history.runs(n, at)]
        for who in live:
            for n in range(history.count):
                status = history.held(who, n, at)
                if not history.same(who, n):
                    continue
                if n == who or status == ("alive" if n in live else status if status in GONE else ""):
                    continue
                if n not in live and status == "unknown":
                    continue  # gone before it came
                since = f"{history.agree_us / 1e6:g} s after the last change"
                made.append(f"d{who} holds d{n} {status} at {at / 1e6:.2f} s, {since}")
    return made
