"""Which pool a node is in, also when it comes to speak another protocol."""

from __future__ import annotations

from ipaddress import ip_network

import pytest
from backend import listing, play
from build import settings
from hypothesis import given
from hypothesis import strategies as st
from tongues import THRIFT, Asked, Http, Node, Talk, World, sidecar

from dunefield import ServerEntry
from hollyport.lists.discovery import Line, Listing, read_listing
from hollyport.lists.pools import NodeRule, Pools
from hollyport.settings.config import Address

SETTINGS = settings(kinds=["m", "thrift-m"])
SPEAK = {"http": "http", "thrift/framed-binary": "thrift", "thrift/framed-compact": "thrift"}


def line(name, protocol="", lifecycle="up", host="10.0.0.1", port=80, zone=0, kind=0) -> Line:
    return Line(ServerEntry(name, zone, kind, 0, lifecycle), Address(host, port), protocol)


def pools(*rules, note=lambda text: None) -> Pools:
    return Pools(SPEAK, rules, SETTINGS, note)


def told(dealt) -> dict:
    return {
        pool: [(entry.entry.server, entry.entry.lifecycle) for entry in share.lines]
        for pool, share in dealt.shares.items()
    }


def test_a_node_speaks_what_it_says_then_what_a_rule_says_then_http():
    made = pools(NodeRule("thrift/framed-compact", ports=(9090,)))
    lines = line("a", "thrift/framed-binary", port=9090), line("b", port=9090), line("c", "http", port=9090)
    dealt = made.deal(Listing(1, True, (*lines, line("d"))))
    assert [made.protocol(one) for one in lines] == ["thrift/framed-binary", "thrift/framed-compact", "http"]
    assert told(dealt) == {"thrift": [("a", "up"), ("b", "up")], "http": [("c", "up"), ("d", "up")]}


@pytest.mark.parametrize(
    ("rule", "fits"),
    [
        ({}, "abc"),
        ({"names": ("a*",)}, "a"),
        ({"halls": ("b",)}, "b"),
        ({"kinds": ("thrift-m",)}, "c"),
        ({"networks": (ip_network("10.0.0.0/31"),)}, "a"),
        ({"ports": (1, 2)}, "c"),
        ({"names": ("a*",), "ports": (1,)}, ""),
    ],
)
def test_all_conditions_of_a_rule_must_fit(rule, fits):
    lines = line("a1"), line("b1", host="name.local", zone=1), line("c1", host="10.0.0.9", kind=1, port=1)
    found = [one.entry.server[0] for one in lines if NodeRule("x", **rule).fits(one, SETTINGS)]
    assert "".join(found) == fits


def test_a_node_that_speaks_another_protocol_is_gone_from_one_pool_and_new_in_the_other():
    made = pools()
    made.deal(Listing(1, True, (line("a"), line("b"))))
    dealt = made.deal(Listing(2, False, (line("a", "thrift/framed-binary"),)))
    assert told(dealt) == {"http": [("a", "removed")], "thrift": [("a", "up")]}
    assert [one.entry.lifecycle for one in dealt.lines] == ["removed", "up"]
    assert told(made.deal(Listing(3, False, (line("a", lifecycle="removed"),)))) == {
        "http": [],
        "thrift": [("a", "removed")],
    }
    assert told(made.deal(Listing(4, False, (line("a", lifecycle="removed"),)))) == {"http": [], "thrift": []}


def test_what_is_not_switched_on_gets_nothing_and_is_told_of_once():
    notes = []
    made = pools(note=notes.append)
    made.deal(Listing(1, True, (line("a"),)))
    for _ in range(2):
        dealt = made.deal(Listing(2, False, (line("a", "grpc"), line("b", "grpc"))))
    assert told(dealt) == {"http": [], "thrift": []} and len(notes) == 1 and "'grpc'" in notes[0]


names = st.sampled_from("abcd")
spoken = st.sampled_from(["", "thrift/framed-binary", "grpc"])
states = st.sampled_from(["up", "draining", "removed"])
changes = st.lists(st.tuples(names, spoken, states, st.booleans()), max_size=30)


@given(changes)
def test_no_node_is_ever_in_two_pools(steps):
    """What each pool believes, by all that it was told, against the last word on each node."""
    made = pools()
    believed: dict[str, dict[str, str]] = {"http": {}, "thrift": {}}
    words: dict[str, tuple[str, str]] = {}
    for number, (name, protocol, lifecycle, whole) in enumerate(steps):
        listing_ = Listing(number, whole, (line(name, protocol, lifecycle),))
        if whole:
            words.clear()
        words[name] = protocol, lifecycle
        for pool, share in made.deal(listing_).shares.items():
            if share.whole:
                believed[pool].clear()
            for one in share.lines:
                believed[pool][one.entry.server] = one.entry.lifecycle
        for node, (speaks, state) in words.items():
            home = SPEAK.get(speaks or "http")
            for pool, nodes in believed.items():
                expected = state if pool == home and state != "removed" else None
                assert nodes.get(node, "removed") == (expected or "removed")


async def ok(talk: Talk, asked: Asked) -> None:
    await talk.serve(asked.rid.encode())


def test_a_deploy_turns_nodes_of_http_into_thrift_at_the_same_address():
    """Nothing new goes to the old process, none of its connections to the new one, and that one is cold."""
    thrift = THRIFT[0]

    async def scene():
        async with Node(Http(), ok) as node:
            http_line, thrift_line = Http().line("s1", node.port), thrift.line("s1", node.port, since_ms=1)
            async with sidecar(thrift, http_line) as world:
                port = world.sidecar._listener._socket.getsockname()[1]
                http = await World(world.sidecar, port, Http()).client()
                client = await world.client()
                assert (await http.ask("free")).what == "served"
                assert (await client.ask("free", timeout_s=0.5)).what == "refused"  # no node of its kind
                before = node.connections
                node.tongue = thrift
                world.sidecar._told(read_listing(listing(thrift_line, index=2), world.sidecar._settings))
                assert (await client.ask("free")).what == "served"
                assert (await http.ask("free", timeout_s=0.5)).what == "refused"
                assert node.connections > before and len(node.calls) == 2
                assert world.core._module.state.servers["s1"].started == 10**6

    play(scene)


def test_a_node_that_changes_its_form_of_thrift_gets_no_call_on_an_old_connection():
    """It stays in its pool, so nothing tells that it is gone; its connections speak the old form."""
    binary, compact = THRIFT[0], next(tongue for tongue in THRIFT if tongue.form == "framed-compact")

    async def scene():
        async with Node(binary, ok) as node, sidecar(binary, binary.line("s1", node.port)) as world:
            client = await world.client()
            assert (await client.ask("free")).what == "served"
            before = node.connections
            node.tongue = compact
            raw = listing(compact.line("s1", node.port), index=2)
            world.sidecar._told(read_listing(raw, world.sidecar._settings))
            assert (await client.ask("single_shot")).what == "served"
            assert node.connections == before + 1 and len(node.calls) == 2

    play(scene)
