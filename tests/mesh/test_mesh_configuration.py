"""Configuration items: merging copies, parsing and validating admin calls, building the table."""

import itertools
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mesh.state import configuration
from mesh.state.configuration import EMPTY, Cluster, Item, Limits, Route

ITEM_LISTS = st.lists(
    st.builds(
        Item,
        st.sampled_from(("route/a", "route/b", "service/s", "limit")),
        st.integers(0, 4),
        st.sampled_from(("", "{}", '{"x":1}', '{"x":2}')),
    ),
    max_size=8,
)


def cluster(name, revision="r1", **more):
    """Returns a service as in an admin call."""
    return {"name": name, "revision": revision, **more}


def rule(name, prefix="/", service="s", revision="r1", timeout="2s", **more):
    """Returns a routing rule as in an admin call."""
    return {
        "name": name,
        "revision": revision,
        "variant": "pure",
        "matcher": {"path_prefix": prefix},
        "effect": {"service": service, "timeout": timeout},
        **more,
    }


def split(parts):
    """Returns the effect of a rule that splits requests over several services."""
    return {"timeout": "1s", "weighted_split": parts}


def call(rules=(), clusters=(), host="shop.test", **more):
    """Returns the body of an admin call."""
    upserts = {"listener_list": [{"hostname": host, "rule_set": list(rules)}], "cluster_list": list(clusters)}
    return {"upserts": {**upserts, **more}}


def read(raw):
    return configuration.parse_change(json.dumps(raw).encode())


def items(*calls):
    """Returns the merged items of several calls."""
    made = EMPTY
    for raw in calls:
        made = configuration.merge(made, read(raw).ok)
    return made


# --- merging


@given(ITEM_LISTS, ITEM_LISTS)
def test_merge_is_commutative(a, b):
    assert configuration.merge(configuration.merge(EMPTY, a), b) == configuration.merge(
        configuration.merge(EMPTY, b), a
    )


@given(ITEM_LISTS, ITEM_LISTS, ITEM_LISTS)
def test_merge_is_associative(a, b, c):
    left = configuration.merge(configuration.merge(configuration.merge(EMPTY, a), b), c)
    right = configuration.merge(
        configuration.merge(EMPTY, a), configuration.merge(configuration.merge(EMPTY, b), c).values()
    )
    assert left == right == configuration.merge(EMPTY, [*c, *a, *b])


@given(ITEM_LISTS)
def test_merging_the_same_items_again_changes_nothing(changes):
    once = configuration.merge(EMPTY, changes)
    assert configuration.merge(once, changes) is once
    assert configuration.merge(once, once.values()) is once


@given(ITEM_LISTS, ITEM_LISTS)
def test_merge_never_lowers_a_version(old, changes):
    before = configuration.merge(EMPTY, old)
    after = configuration.merge(before, changes)
    for name, item in before.items():
        assert (after[name].version, after[name].content) >= (item.version, item.content)
    for item in changes:
        assert after[item.name].version >= item.version


@given(st.permutations([Item("limit", 3, text) for text in ("", '{"x":0}', '{"x":1}', '{"x":2}')]))
def test_different_contents_of_one_version_merge_the_same_in_any_order(changes):
    assert configuration.merge(EMPTY, changes)["limit"].content == '{"x":2}'
    assert (
        configuration.merge(configuration.merge(EMPTY, changes[:2]), changes[2:])["limit"].content
        == '{"x":2}'
    )


# --- parsing


def test_a_complete_call_is_parsed():
    parts = [{"service": "s", "weight": 3}, {"service": "t", "weight": 1}]
    raw = call(
        [
            rule(
                "a",
                "/a/",
                revision="r7",
                target="300ms",
                priority=2,
                effect={"weighted_split": parts, "timeout": "1500ms", "max_attempts": 3},
            )
        ],
        [cluster("s", max_conns=9, idempotent=True), cluster("t", health_path="/up")],
        limit_set={"revision": "r2", "max_header_bytes": 100, "idle_timeout": "4s"},
        host=" Shop.Test ",
        unknown=[1],
    )
    found = {item.name: item for item in read(raw).ok}
    assert {name: item.version for name, item in found.items()} == {
        "route/a": 7,
        "service/s": 1,
        "service/t": 1,
        "limit": 2,
    }
    assert configuration.parse_item(found["route/a"]) == Route(
        "a", "shop.test", "/a/", "pure", (("s", 3.0), ("t", 4.0)), 1.5, 0.3, 3, 2
    )
    assert configuration.parse_item(found["service/s"]) == Cluster("s", "/health", 9, True)
    assert configuration.parse_item(found["service/t"]) == Cluster("t", "/up", 64, False)
    assert configuration.parse_item(found["limit"]) == Limits(100, 48 << 20, 3.0, 4.0)


def test_removals_are_parsed_and_supersede_only_older_versions():
    drops = {
        "route_list": [{"name": "a", "revision": "r3"}],
        "service_list": [{"name": "s", "revision": "r4"}],
    }
    assert set(read({"removals": drops}).ok) == {Item("route/a", 3), Item("service/s", 4)}
    both = {**call([rule("a", revision="r2")], [cluster("s", "r5")]), "removals": drops}
    found = {item.name: item for item in read(both).ok}
    assert found["route/a"] == Item("route/a", 3)
    assert found["service/s"].version == 5 and found["service/s"].content


@given(st.data())
def test_a_truncated_call_is_rejected(data):
    body = json.dumps(call([rule("a")], [cluster("s")])).encode()
    assert configuration.parse_change(body[: data.draw(st.integers(0, len(body) - 1))]).is_error()


@given(st.binary(max_size=60))
def test_arbitrary_bytes_never_raise(body):
    configuration.parse_change(body)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-2, 2) | st.sampled_from(("", "r1", "/", "s", "1s")),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(
            st.sampled_from(("name", "revision", "hostname", "rule_set", "matcher", "effect", "timeout")),
            inner,
        )
    ),
    max_leaves=6,
)


@given(
    st.sampled_from(
        (
            ("upserts",),
            ("upserts", "limit_set"),
            ("upserts", "listener_list"),
            ("upserts", "listener_list", 0),
            ("upserts", "listener_list", 0, "rule_set"),
            ("upserts", "listener_list", 0, "rule_set", 0),
            ("upserts", "listener_list", 0, "rule_set", 0, "matcher"),
            ("upserts", "listener_list", 0, "rule_set", 0, "effect"),
            ("upserts", "cluster_list"),
            ("upserts", "cluster_list", 0),
            ("removals",),
            ("removals", "route_list"),
        )
    ),
    JSON_VALUES,
)
def test_unexpected_json_never_raises_and_accepted_items_can_be_built(path, value):
    raw = {**call([rule("a")], [cluster("s")]), "removals": {}}
    at = raw
    for part in path[:-1]:
        at = at[part]
    at[path[-1]] = value
    found = read(raw)
    if found.is_ok():
        table, conflicts = configuration.build_table(configuration.merge(EMPTY, found.ok))
        assert len(conflicts) <= 1 and len(table.routes_by_host) <= 1


@pytest.mark.parametrize(
    ("raw", "reason"),
    [
        ([], "neither"),
        ({"other": 1}, "neither"),
        ({"upserts": [1]}, "no object"),
        ({"upserts": {"listener_list": {}}}, "no list"),
        ({"upserts": {"listener_list": [3]}}, "listener"),
        ({"upserts": {"limit_set": [3]}}, "limit_set"),
        ({"upserts": {"cluster_list": [cluster("")]}}, "no name"),
        (call(host=""), "hostname"),
        (call(host="  "), "hostname"),
        (call([rule("a", revision="7")]), "revision"),
        (call([rule("a", revision="r-1")]), "revision"),
        (call([rule("a", revision="r" + "9" * 41)]), "revision"),
        (call([rule("a", revision=7)]), "revision"),
        ({"removals": {"route_list": [{"name": "a"}]}}, "revision"),
        (call([rule("a"), rule("a", "/b/")]), "twice"),
        (call(clusters=[cluster("s"), cluster("s", "r2")]), "twice"),
        (call([rule("a", "a/")]), "slash"),
        (call([rule("a", "/a")]), "slash"),
        (call([rule("a", None)]), "slash"),
        (call([rule("a", variant="odd")]), "variant"),
        (call([rule("a", matcher=None)]), "matcher"),
        (call([rule("a", service="")]), "service"),
        (call([rule("a", timeout="2")]), "time"),
        (call([rule("a", target="soon")]), "time"),
        (call([rule("a", target="62s")]), "time-out"),
        (call([rule("a", effect=split([{"service": "s", "weight": -1}]))]), "weight"),
        (call([rule("a", effect=split([{"service": "s", "weight": "1"}]))]), "weight"),
        (call([rule("a", effect=split([{"service": "s", "weight": float("nan")}]))]), "no JSON"),
        (call([rule("a", effect=split([{"service": "s", "weight": 0}]))]), "add up"),
        (call([rule("a", effect=split([]))]), "add up"),
        (call([rule("a", effect={"timeout": "1s", "service": "s", "max_attempts": 0})]), "number"),
        (call(clusters=[cluster("s", max_conns=True)]), "number"),
        (call(clusters=[cluster("s", health_path="up")]), "path"),
        (call(limit_set={"revision": "r1", "max_body_bytes": 0}), "number"),
    ],
)
def test_an_invalid_call_is_rejected_with_its_reason(raw, reason):
    found = read(raw)
    assert found.is_error() and reason in found.error


def test_a_target_may_exceed_its_timeout_by_less_than_a_minute():
    assert read(call([rule("a", timeout="2s", target="61.9s")])).is_ok()


def test_a_call_nested_too_deeply_is_rejected():
    assert configuration.parse_change(b'{"upserts":' + b"[" * 200_000).is_error()


# --- the table


def test_of_routes_with_the_same_host_and_prefix_the_first_by_name_wins():
    rules = [rule("b", "/x/"), rule("a", "/x/"), rule("c", "/x/"), rule("d", "/y/")]
    tables = []
    for order in itertools.permutations(rules):
        table, conflicts = configuration.build_table(
            items(*(call([one]) for one in order), call(clusters=[cluster("s")]))
        )
        assert table.route("shop.test", "/x/1").name == "a"
        assert table.route("shop.test", "/y/1").name == "d"
        assert len(conflicts) == 2 and all("share" in conflict.text for conflict in conflicts)
        tables.append((table, conflicts))
    assert all(one == tables[0] for one in tables)


def test_a_route_to_an_unknown_service_is_left_out_and_does_not_conflict():
    parts = [{"service": "s", "weight": 1}, {"service": "gone", "weight": 0}]
    raw = call([rule("a", effect=split(parts)), rule("b", "/")], [cluster("s")])
    table, conflicts = configuration.build_table(items(raw))
    assert table.route("shop.test", "/").name == "b"
    assert [conflict.text for conflict in conflicts] == ["route a names the unknown service gone"]
    assert conflicts[0].names == {"route/a", "service/gone"}
    drop = {"removals": {"service_list": [{"name": "s", "revision": "r2"}]}}
    table, conflicts = configuration.build_table(items(raw, drop))
    assert table.route("shop.test", "/") is None and len(conflicts) == 2


@given(
    st.permutations(["/", "/a/", "/a/b/", "/a/b/c/", "/ab/", "/b/"]),
    st.sampled_from(["/", "/a", "/a/", "/a/b", "/a/b/c/d", "/a/bc/", "/abc", "/ab/c", "/b/a/"]),
)
def test_the_longest_prefix_wins(prefixes, path):
    table, conflicts = configuration.build_table(
        items(call([rule(prefix, prefix) for prefix in prefixes], [cluster("s")]))
    )
    best = max((prefix for prefix in prefixes if path.startswith(prefix)), key=len)
    assert not conflicts and table.route("shop.test", path).prefix == best
    assert table.route("other.test", path) is None


def test_a_change_is_reduced_to_newer_items_and_validated_against_the_current_ones():
    current = items(call([rule("a", "/a/"), rule("old", "/o/", service="gone")], [cluster("s", "r5")]))
    same = read(call([rule("a", "/a/")], [cluster("s", "r4")])).ok
    assert configuration.validate_change(current, same).ok == (), "the same item again, and a lower version"
    other = configuration.validate_change(
        current, read(call([rule("a", "/z/"), rule("c", "/c/")], [cluster("s", "r4")])).ok
    )
    assert other.error == "route/a r1 stands with another content", "one version, one content"
    dropped = configuration.validate_change(
        current, read({"removals": {"route_list": [{"name": "a", "revision": "r1"}]}}).ok
    )
    assert dropped.error == "route/a r1 stands with another content"
    changes = read(call([rule("a", "/b/", revision="r2")], [cluster("s")])).ok
    assert [item.name for item in configuration.validate_change(current, changes).ok] == ["route/a"]
    for conflicting, reason in ((rule("b", "/a/"), "share"), (rule("b", "/b/", service="no"), "unknown")):
        assert reason in configuration.validate_change(current, read(call([conflicting])).ok).error
    drop = {"removals": {"service_list": [{"name": "s", "revision": "r6"}]}}
    assert "unknown service s" in configuration.validate_change(current, read(drop).ok).error


def test_unset_limits_have_their_defaults():
    assert configuration.build_table(EMPTY)[0] == configuration.EMPTY_TABLE
    limit = {"revision": "r1", "max_body_bytes": 5, "header_timeout": "250ms"}
    assert configuration.build_table(items({"upserts": {"limit_set": limit}}))[0].limits == Limits(
        16384, 5, 0.25, 15.0
    )


def test_exported_items_parse_back_to_the_same_items():
    made = items(
        call([rule("a", "/a/", note="é\n"), rule("b", "/b/")], [cluster("s", extra={"z": 1, "a": [None]})]),
        call([rule("c", revision="r9")], [cluster("t")], host="Other.test"),
        {"upserts": {"limit_set": {"revision": "r4", "max_body_bytes": 9}}},
        {"removals": {"route_list": [{"name": "b", "revision": "r2"}]}},
    )
    same = configuration.parse_change(b'{"upserts":' + configuration.to_json(made) + b"}")
    assert set(same.ok) == {item for item in made.values() if item.content}
    assert "route/b" in made and len(same.ok) == 5
    assert set(configuration.parse_change(b'{"upserts":' + configuration.to_json(EMPTY) + b"}").ok) == set()
