"""A dead member is known to all as dead; one that lives is not held for dead."""

from __future__ import annotations

from rehearsal.history import GONE, History


def known(history: History) -> list[str]:
    """Each who runs and can be reached says so within the bound, if the dead one stays away for as long."""
    made = []
    for n in range(history.count):
        for life in history.up[n]:
            died, until = life.end, life.end + history.known_us
            if until > history.end or any(died <= span.start < until for span in history.up[n]):
                continue
            for who in range(history.count):
                if who == n or not history.same(who, n):
                    continue
                if not history.whole(who, died, until) or not history.reached(who, died, until):
                    continue
                if history.held(who, n, until) not in GONE:
                    held = f"d{who} holds it {history.held(who, n, until)}"
                    made.append(f"d{n} ended at {died / 1e6:.2f} s, and at {until / 1e6:.2f} s {held}")
    return made


def false(history: History) -> list[str]:
    """At no time does a majority hold one for dead that has run and been reachable for the bound."""
    made = []
    times = sorted({span.start for n in range(history.count) for who in range(history.count) if who != n
                    for span, status in history.holds(who, n) if status in GONE})  # fmt: skip
    for n in range(history.count):
        for began in times:
            t = began + history.known_us
            if t > history.end or not history.whole(n, began - history.known_us, t):
                continue
            if not history.reached(n, began - history.known_us, t):
                continue
            others = [who for who in range(history.count) if who != n and history.same(who, n)]
            judges = [who for who in others if history.runs(who, t)]
            holding = [w for w in judges if any(s.start <= began and t <= s.end and status in GONE
                                                for s, status in history.holds(w, n))]  # fmt: skip
            if len(holding) * 2 > len(judges):
                made.append(
                    f"d{n} lives and is held dead by {len(holding)} of {len(judges)} at {t / 1e6:.2f} s"
                )
                break
    return made


def unsaid(history: History) -> list[str]:
    """Only a member itself says that it leaves, and then it ends."""
    made = []
    for t, who, event, fields in history.told:
        n = history.number(str(fields.get("member"))) if event == "left" else None
        if n is not None and history.whole(n, t - 500_000, t + 500_000):
            made.append(f"d{who} tells at {t / 1e6:.2f} s that d{n} has left, and it runs")
    return made
