"""The explorer: all states of the small models, each defence taken out, and what falls as the mesh is."""

import pytest

import mesh.control.context
import mesh.proxy.key_claims
import mesh.proxy.server_holds
from verify import mutations
from verify.leases import BY_BEAT, BY_CALL, MS, TRANSIT_MS, LeasesModel, holders, unpacked
from verify.parts import CLAIM_S, TICK_S
from verify.plays import PLAYS
from verify.search import Model, search

SOUND = [name for name, play in PLAYS.items() if not play.known]


@pytest.mark.parametrize("name", SOUND)
def test_no_property_falls_in_any_state(name):
    result = search(PLAYS[name].small())
    assert result.whole and result.broken is None and result.states > 100


def test_nothing_is_expected_to_fall():
    assert not [name for name, play in PLAYS.items() if play.known]


@pytest.mark.parametrize("mutation", mutations.MUTATIONS, ids=[row.name for row in mutations.MUTATIONS])
def test_each_defence_taken_out_is_found(mutation):
    found, result = mutations.play(mutation, 100_000)
    assert found, result


def test_times_are_the_mesh_s():
    assert mesh.control.context.CLAIM_TIMEOUT_S == mesh.proxy.key_claims.ROUND_TIMEOUT_S == CLAIM_S
    assert mesh.proxy.server_holds.GRANT_TRANSIT_S * MS == TRANSIT_MS
    assert mesh.proxy.server_holds.EARLIER_CALLS_S * MS > TRANSIT_MS
    assert TICK_S <= CLAIM_S < 2 * TICK_S <= CLAIM_S + 0.1 + 1e-9


@pytest.mark.parametrize("way", [BY_CALL, BY_BEAT])
def test_a_range_does_move_in_the_model_of_leases(way):
    def b_holds_what_a_has_released(model, state):
        return "moved" if holders(unpacked(state)) == [1] and unpacked(state).nodes[0].closed else ""

    model = LeasesModel({"ask": 2, "round": 2}, way=way)
    model.properties = (b_holds_what_a_has_released,)
    broken = search(model).broken
    assert broken.why == "moved" and "A's server answers RELEASE" in broken.trace


class Pair(Model):
    """Two counters that are alike; both at 2 is wrong."""

    def start(self):
        return 0, 0

    def same(self, state):
        return tuple(sorted(state))

    def steps(self, state):
        for at in range(2):
            if state[at] < 3:
                yield f"{at} to {state[at] + 1}", (*state[:at], state[at] + 1, *state[at + 1 :])


def test_a_search_sees_each_state_once_up_to_names():
    result = search(Pair())
    assert (result.states, result.whole, result.broken, result.depth) == (10, True, None, 7)


def test_a_trace_is_a_shortest_one_and_keeps_its_names():
    def both(model, state):
        return "both at 2" if state == (2, 2) else ""

    model = Pair()
    model.properties = (both,)
    broken = search(model).broken
    assert broken.property == "both" and len(broken.trace) == 4
    state = [0, 0]
    for step in broken.trace:
        at, _, to = step.partition(" to ")
        state[int(at)] += 1
        assert state[int(at)] == int(to)
    assert state == [2, 2] and search(model).broken == broken


def test_a_search_that_is_bounded_says_so():
    result = search(Pair(), 4)
    assert not result.whole and result.states == 4 and result.broken is None
