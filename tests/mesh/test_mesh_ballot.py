"""The protocol of a change of voters without I/O: members, proposals, the choice of voters, absence."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from mesh.control.ballot import (
    FailureDetector,
    Member,
    Proposal,
    ReplacementDelays,
    initial_voters,
    next_voters,
)
from mesh.state.ballots import Accepted, Ballot
from mesh.state.quorum import PeerView, Voters

A, B, C, D, E = (f"10.0.0.{at}:7000" for at in range(1, 6))
THREE = Voters(1, (A, B, C))


def make_member(me: str, promised: int = 0) -> Member:
    made = Member(me)
    made.learn(THREE, ())
    made.mark_caught_up(1)
    made.promised = Ballot(promised, "")
    return made


def test_promises_and_acceptances_survive_a_power_loss() -> None:
    made = make_member(A)
    assert made.votes(1) and made.promise(1, Ballot(3, "x")) and not made.accept(1, Ballot(2, "y"), (A, B, D))
    assert made.votes(1) and made.accept(1, Ballot(3, "x"), (A, B, D)) and not made.votes(1)
    again = Member(A)
    for record in [["whole"], *made.records()]:
        again.load(record)
    assert (
        again.accepted == Accepted(Ballot(3, "x"), (A, B, D))
        and again.has_final_state(1)
        and not again.votes(1)
    )
    assert not again.promise(1, Ballot(2, "z")) and again.promise(1, Ballot(4, "z"))
    assert again.learn(Voters(2, (A, B, D)), ()) and again.previous_voters == (A, B, C)
    assert again.has_final_state(1) and not again.votes(2) and not again.caught_up
    assert not again.learn(Voters(1, (A, B, E)), ()), "a lower epoch is ignored"
    assert list(again.sources()) == [(THREE, True), (Voters(2, (A, B, D)), False)]
    again.mark_caught_up(2)
    assert again.votes(2) and again.caught_up


def test_only_a_wiped_voter_waits_before_it_reads_from_others() -> None:
    made = Member(A)
    assert not made.may_have_promised, "no voters are known yet"
    made.learn(Voters(2, (B, C, D)), ())
    assert not made.may_have_promised, "a new machine, or a former voter"
    made.learn(Voters(3, (A, B, C)), ())
    assert made.may_have_promised, "a voter with a wiped disk"
    made.mark_caught_up(3)
    assert not made.may_have_promised


def test_a_wiped_disk_neither_promises_nor_reads_from_sealed_voters() -> None:
    made = Member(A)
    made.learn(Voters(2, (A, B, D)), (A, B, C))
    assert not made.promise(2, Ballot(1, "x")) and not made.accept(2, Ballot(1, "x"), (A, B, E))
    assert list(made.sources()) == [(Voters(2, (A, B, D)), False)]


@pytest.mark.parametrize(("limit_s", "both"), [(1.0, False), (1e9, True)])
def test_a_promise_lost_with_a_disk_is_void_before_it_can_matter(limit_s: float, both: bool) -> None:
    """A promises to one proposer and is wiped. Nobody else has promised yet, so A can't learn of it."""
    y, z = make_member(B), make_member(C)
    one = Proposal(THREE, Ballot(5, "one"), (A, B, D), 0.0, limit_s)
    two = Proposal(THREE, Ballot(3, "two"), (A, B, E), 1.2, limit_s)
    assert not one.on_promise(0.0, A, None)
    x = make_member(A)  # wiped at once, and back after 1.1 s, when it has read from B and C
    for name, voter in ((A, x), (C, z)):
        assert voter.promise(1, two.ballot)
        two.on_promise(1.2, name, voter.accepted)
    for name, voter in ((A, x), (C, z)):
        assert voter.accept(1, two.ballot, two.names)
        two.on_accepted(1.2, name)
    assert two.decided == Voters(2, (A, B, E))
    assert y.promise(1, one.ballot)
    if one.on_promise(1.3, B, y.accepted):
        for name, voter in ((A, x), (B, y)):
            assert voter.accept(1, one.ballot, one.names)
            one.on_accepted(1.3, name)
    assert (one.decided is not None) == both


def test_a_proposer_adopts_the_accepted_value_and_counts_each_voter_once() -> None:
    made = Proposal(THREE, Ballot(7, "p"), (A, B, D), 0.0, 1.0)
    assert (
        not made.on_accepted(0.0, A)
        and not made.on_promise(0.0, D, None)
        and not made.on_promise(0.0, A, None)
    )
    assert not made.on_promise(0.0, A, None)
    assert made.on_promise(0.0, B, Accepted(Ballot(2, "q"), (B, C, E))) and made.names == (B, C, E)
    assert not made.on_accepted(0.1, B) and not made.on_accepted(0.1, B) and made.decided is None
    assert made.on_accepted(0.1, C) and made.decided == Voters(2, (B, C, E))


DELAYS = ReplacementDelays(2.0, 14.0, 0.4)


def make_views(
    present: str, absent: dict[str, float], contact_s: float = 9.0, **options: Any
) -> dict[str, PeerView]:
    names = {name: value for name, value in zip("ABCDE", (A, B, C, D, E), strict=True)}
    contact = {names[one]: contact_s for one in present}
    silence = {names[one]: seconds for one, seconds in absent.items()}
    return {
        names[one]: PeerView(
            silence,
            contact,
            one not in options.get("behind", ""),
            one not in options.get("behind", ""),
            options.get(one, ""),
            options.get("legacy", False),
            one in options.get("stopping", ""),
        )
        for one in present
    }


@pytest.mark.parametrize(
    ("names", "losses", "views", "proposed"),
    [
        ("ABC", 1, make_views("ABC", {}), None),
        ("ABC", 1, make_views("ABCD", {}), None),
        ("ABC", 1, make_views("BCD", {"A": 2.0}), "BCD"),
        ("ABC", 1, make_views("BCD", {"A": 1.9}), None),  # absent for too short a time
        ("ABC", 1, make_views("BCD", {"A": 15.0}, contact_s=0.3), None),
        ("ABC", 1, make_views("BCD", {"A": 15.0}, legacy=True), None),
        ("ABC", 1, make_views("BC", {"A": 15.0}), None),  # two voters tolerate no more losses than three
        ("ABC", 1, make_views("CD", {"A": 15.0, "B": 15.0}), None),  # no majority
        ("ABC", 2, make_views("ABCDE", {}), "ABCDE"),
        ("ABC", 2, make_views("ABCD", {}), "ABCD"),
        ("ABCDE", 1, make_views("ABCD", {"E": 15.0}), None),
        ("ABCDE", 1, make_views("ABC", {"D": 15.0, "E": 15.0}), "ABC"),
        ("ABCDE", 1, make_views("ABC", {"D": 13.0, "E": 13.0}), None),  # they may return
        ("ABCDE", 2, make_views("ABC", {"D": 15.0, "E": 15.0}), None),  # two lost disks would lose all copies
        ("ABC", 1, make_views("BCDE", {"A": 15.0}, B="x", C="y", D="x", E="z"), "BCE"),  # spread over zones
        ("ABC", 1, make_views("ABCD", {}, stopping="A"), "BCD"),
        (
            "ABC",
            1,
            make_views("ABCD", {}, stopping="AB"),
            "BCD",
        ),  # one spare for two that are stopping: the other stays
        ("ABC", 1, make_views("ABCDE", {}, stopping="AB"), "CDE"),
        ("ABC", 1, make_views("ABC", {}, stopping="A"), None),
        (
            "ABCD",
            1,
            make_views("ABCD", {}, stopping="A"),
            "BCD",
        ),  # an even set drops the one that is stopping
        ("ABCD", 1, make_views("ABCD", {}), "ABC"),
        ("ABCD", 1, make_views("ABCD", {}, A="x", B="x", C="y", D="z"), "ACD"),  # from the fullest zone
        ("ABCD", 1, make_views("ABD", {"C": 0.1}), "ABD"),  # an absent voter is dropped first
        ("ABCD", 1, make_views("AB", {"C": 9.0, "D": 9.0}), None),  # no majority
        ("ABCD", 1, make_views("ABCDE", {}, stopping="A"), "BCD"),  # with the spare there would again be four
        ("ABCD", 2, make_views("ABCD", {}), None),  # the loss of two disks could lose both copies
        ("AB", 0, make_views("AB", {}), None),  # one voter would be the only copy
        ("ABC", 1, make_views("ABCD", {}, stopping="AD"), None),  # a stopping spare can't replace a voter
        ("ABCD", 1, make_views("ABCD", {}, behind="A"), "BCD"),  # a voter that is not caught up is dropped
        (
            "ABC",
            1,
            make_views("ACD", {"B": 3.0}, stopping="A"),
            "ACD",
        ),  # an absent voter is replaced before a stopping one
    ],
)
def test_next_voters(names: str, losses: int, views: dict[str, PeerView], proposed: str | None) -> None:
    found = next_voters(
        Voters(1, tuple(f"10.0.0.{'ABCDE'.index(one) + 1}:7000" for one in names)), losses, views, DELAYS
    )
    expected = proposed and tuple(f"10.0.0.{'ABCDE'.index(one) + 1}:7000" for one in proposed)
    assert found == expected


@pytest.mark.parametrize(
    ("zones", "losses", "names"),
    [
        ("xyz", 1, "ABC"),
        ("xxyz", 1, "ACD"),  # the zone with two machines gives up one
        ("wxyz", 1, "ABC"),
        ("wxyz", 2, "ABCD"),  # only five tolerate two losses; four keep one copy more than three
        ("xxyyz", 1, "ABCDE"),
        ("x", 0, "A"),
        ("xy", 1, "AB"),
    ],
)
def test_the_initial_voters_are_an_odd_set_spread_over_zones(zones: str, losses: int, names: str) -> None:
    machines = {f"10.0.0.{at + 1}:7000": zone for at, zone in enumerate(zones)}
    expected = tuple(f"10.0.0.{'ABCDE'.index(one) + 1}:7000" for one in names)
    assert initial_voters(machines, losses) == expected


@pytest.mark.parametrize("size", [3, 4, 5, 7, 11])
def test_the_voters_can_not_be_split_into_equal_halves(size: int) -> None:
    for losses in (1, 2):
        zones = {f"10.0.0.{at}:7000": "wxyz"[at % 4] for at in range(size)}
        voters = initial_voters(zones, losses)
        assert len(voters) % 2 == 1 or (size, losses) == (4, 2)
        held = Counter(zones[name] for name in voters).values()
        assert max(held) - min(held) <= 1 or size < 4


def test_a_voter_is_absent_only_if_a_majority_says_so() -> None:
    views = make_views("BCD", {"A": 15.0})
    assert next_voters(THREE, 1, views, DELAYS) == (B, C, D)
    views[C] = views[C]._replace(silence_s={A: 1.0})
    assert next_voters(THREE, 1, views, DELAYS) is None


def test_the_failure_detector_measures_uninterrupted_contact() -> None:
    made = FailureDetector(0.0, 0.9)
    made.add(1.0, A)
    assert made.silence_s(5.0, A) == 4.0 and made.silence_s(5.0, B) == 5.0
    for at in range(60, 91, 3):
        made.on_response(at / 10, A)
    assert made.contact_s(9.0, A) == 3.0 and made.silence_s(9.0, A) == 0.0
    assert made.contact_s(9.8, A) > 3.7 and made.silence_s(9.8, A) == 0.0, "a short silence"
    assert made.contact_s(10.0, A) == 0.0 and made.silence_s(10.0, A) == 1.0, (
        "an interruption, counted from the last response"
    )
    made.on_response(11.0, A)
    assert made.contact_s(11.5, A) == 0.5
    made.on_disconnect(A)
    assert made.silence_s(11.6, A) > 0.5 and made.contact_s(11.6, A) == 0.0, "the connection was lost"
    made.on_response(11.7, A)
    assert made.contact_s(11.8, A) == pytest.approx(0.1)
    made.remove(A)
    assert made.silence_s(20.0, A) == 20.0
