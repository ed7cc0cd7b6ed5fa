"""Each invariant finds what it is there for, in a history made by hand, and nothing in a sound one."""

from __future__ import annotations

import pytest

from rehearsal import scenario as sc
from rehearsal.history import History
from rehearsal.invariants import ALL
from rehearsal.judge import Life, Records
from rehearsal.plan import make

S = 1_000_000
DEAD, FALSE, LEFT, AGREE, OTHER, TWINS = ALL


def plan(name="fleet-calm"):
    return make(sc.load(sc.find(name)), name, "short", 1)


def sound(made, until=12):
    """Six daemons that find each other at once."""
    records = Records()
    for n in range(6):
        records.lives.append(Life(n, 0, "ready"))
        records.fleet.append((0, n, "started", {}))
        same = [other for other in range(6) if other != n and (other - n) % made.scenario.fleet.fleets == 0]
        records.fleet += [(1, n, "alive", {"member": f"d{other}"}) for other in same]
    return records


def tell(records, t, who, event, of):
    records.fleet.append((int(t * S), who, event, {"member": f"d{of}"}))


def kill(records, t, n):
    records.lives.append(Life(n, int(t * S), "killed"))


def killed_and_not_known(records):
    kill(records, 3, 5)
    for who in range(4):
        tell(records, 5, who, "dead", 5)


def killed_and_known_late(records):
    kill(records, 3, 5)
    for who in range(5):
        tell(records, 6.5 if who == 4 else 5, who, "dead", 5)


def held_dead_by_most(records):
    for who in range(3):
        tell(records, 4, who, "dead", 5)


def left_without_a_word(records):
    tell(records, 5, 1, "left", 2)
    tell(records, 5.1, 1, "alive", 2)


def of_another_fleet(records):
    tell(records, 5, 0, "alive", 1)


def of_nobody(records):
    tell(records, 5, 0, "alive", 77)


def two_and_not_told(records):
    records.lives += [Life(2, 1 * S, "twin"), Life(2, 10 * S, "single")]
    tell(records, 5, 0, "twins", 2)


def one_and_told(records):
    tell(records, 5, 0, "twins", 2)


def never_met(records):
    records.fleet = [row for row in records.fleet if not (row[1] == 4 and row[3].get("member") == "d0")]


@pytest.mark.parametrize(("seeded", "scenario", "found"), [
    (lambda records: None, "fleet-calm", set()),
    (lambda records: None, "fleet-two", set()),
    (killed_and_not_known, "fleet-calm", {DEAD, AGREE}),
    (killed_and_known_late, "fleet-calm", {DEAD, AGREE}),
    (held_dead_by_most, "fleet-calm", {FALSE}),
    (left_without_a_word, "fleet-calm", {LEFT}),
    (of_another_fleet, "fleet-two", {OTHER}),
    (of_nobody, "fleet-calm", {OTHER}),
    (two_and_not_told, "fleet-calm", {TWINS}),
    (one_and_told, "fleet-calm", {TWINS}),
    (never_met, "fleet-calm", {AGREE}),
])  # fmt: skip
def test_what_is_seeded_is_found_and_nothing_else(seeded, scenario, found):
    made = plan(scenario)
    records = sound(made)
    seeded(records)
    history = History(made, records)
    assert {name for name, check in ALL.items() if check(history)} == found


def test_who_is_cut_off_is_not_judged_and_the_rest_is():
    made = plan("fleet-oneway")
    records = sound(made)
    numbers = {key: n for n, key in enumerate(made.scenario.fault)}
    for key in ("mute", "deaf"):
        records.fabric += [(2 * S, numbers[key], 1), (7 * S, numbers[key], 0)]
    history = History(made, records)
    assert [history.reached(n, 3 * S, 4 * S) for n in range(6)] == [False, True, True, False, True, True]
    assert all(history.reached(n, 8 * S, 9 * S) for n in range(6))
