"""Items of the configuration: how copies merge, what a call may hold, what a table makes of it."""

import itertools
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mesh.state import configuration
from mesh.state.configuration import EMPTY, Cluster, Item, Limits, Route

NEWS = st.lists(
    st.builds(
        Item,
        st.sampled_from(("route/a", "route/b", "service/s", "limit")),
        st.integers(0, 4),
        st.sampled_from(("", "{}", '{"x":1}', '{"x":2}')),
    ),
    max_size=8,
)


def cluster(name, revision="r1", **more):
    """A service as an operator writes it."""
    return {"name": name, "revision": revision, **more}


def rule(name, prefix="/", service="s", revision="r1", timeout="2s", **more):
    """A route as an operator writes it."""
    return {
        "name": name,
        "revision": revision,
        "variant": "pure",
        "matcher": {"path_prefix": prefix},
        "effect": {"service": service, "timeout": timeout},
        **more,
    }


def split(parts):
    """The effect of a route that goes to several services."""
    return {"timeout": "1s", "weighted_split": parts}


def call(rules=(), clusters=(), host="shop.test", **more):
    """A call of an operator."""
    upserts = {"listener_list": [{"hostname": host, "rule_set": list(rules)}], "cluster_list": list(clusters)}
    return {"upserts": {**upserts, **more}}


def read(raw):
    return configuration.parse_change(json.dumps(raw).encode())


def items(*calls):
    """All that several calls make together."""
    made = EMPTY
    for raw in calls:
        made = configuration.merge(made, read(raw).ok)
    return made


# --- merging


@given(NEWS, NEWS)
def test_merge_commutes(a, b):
    assert configuration.merge(configuration.merge(EMPTY, a), b) == configuration.merge(
        configuration.merge(EMPTY, b), a
    )


@given(NEWS, NEWS, NEWS)
def test_merge_associates(a, b, c):
    left = configuration.merge(configuration.merge(configuration.merge(EMPTY, a), b), c)
    right = configuration.merge(
        configuration.merge(EMPTY, a), configuration.merge(configuration.merge(EMPTY, b), c).values()
    )
    assert left == right == configuration.merge(EMPTY, [*c, *a, *b])


@given(NEWS)
def test_a_repeat_does_nothing_at_all(news):
    once = configuration.merge(EMPTY, news)
    assert configuration.merge(once, news) is once
    assert configuration.merge(once, once.values()) is once


@given(NEWS, NEWS)
def test_merge_never_goes_back(old, news):
    before = configuration.merge(EMPTY, old)
    after = configuration.merge(before, news)
    for name, item in before.items():
        assert (after[name].version, after[name].content) >= (item.version, item.content)
    for item in news:
        assert after[item.name].version >= item.version


@given(st.permutations([Item("limit", 3, text) for text in ("", '{"x":0}', '{"x":1}', '{"x":2}')]))
def test_equal_versions_with_other_content_end_the_same(news):
    assert configuration.merge(EMPTY, news)["limit"].content == '{"x":2}'
    assert configuration.merge(configuration.merge(EMPTY, news[:2]), news[2:])["limit"].content == '{"x":2}'


# --- reading


def test_a_whole_call_is_read():
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


def test_drops_are_read_and_beat_only_what_is_older():
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
def test_a_call_cut_short_is_refused(data):
    body = json.dumps(call([rule("a")], [cluster("s")])).encode()
    assert configuration.parse_change(body[: data.draw(st.integers(0, len(body) - 1))]).is_error()


@given(st.binary(max_size=60))
def test_no_bytes_at_all_raise(body):
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
def test_unknown_shapes_never_raise_and_what_is_read_can_be_built(path, value):
    raw = {**call([rule("a")], [cluster("s")]), "removals": {}}
    at = raw
    for part in path[:-1]:
        at = at[part]
    at[path[-1]] = value
    found = read(raw)
    if found.is_ok():
        table, wrong = configuration.build_table(configuration.merge(EMPTY, found.ok))
        assert len(wrong) <= 1 and len(table.routes_by_host) <= 1


@pytest.mark.parametrize(
    ("raw", "why"),
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
def test_what_is_wrong_is_refused_and_named(raw, why):
    found = read(raw)
    assert found.is_error() and why in found.error


def test_a_target_may_exceed_its_timeout_by_less_than_a_minute():
    assert read(call([rule("a", timeout="2s", target="61.9s")])).is_ok()


def test_a_call_that_is_too_deep_is_refused():
    assert configuration.parse_change(b'{"upserts":' + b"[" * 200_000).is_error()


# --- the table


def test_of_two_at_one_place_the_first_by_name_stands_in_any_order():
    rules = [rule("b", "/x/"), rule("a", "/x/"), rule("c", "/x/"), rule("d", "/y/")]
    seen = []
    for order in itertools.permutations(rules):
        table, wrong = configuration.build_table(
            items(*(call([one]) for one in order), call(clusters=[cluster("s")]))
        )
        assert table.route("shop.test", "/x/1").name == "a"
        assert table.route("shop.test", "/y/1").name == "d"
        assert len(wrong) == 2 and all("share" in clash.text for clash in wrong)
        seen.append((table, wrong))
    assert all(one == seen[0] for one in seen)


def test_a_route_of_an_unknown_service_is_held_out_and_takes_no_place():
    parts = [{"service": "s", "weight": 1}, {"service": "gone", "weight": 0}]
    raw = call([rule("a", effect=split(parts)), rule("b", "/")], [cluster("s")])
    table, wrong = configuration.build_table(items(raw))
    assert table.route("shop.test", "/").name == "b"
    assert [clash.text for clash in wrong] == ["route a names the unknown service gone"]
    assert wrong[0].names == {"route/a", "service/gone"}
    drop = {"removals": {"service_list": [{"name": "s", "revision": "r2"}]}}
    table, wrong = configuration.build_table(items(raw, drop))
    assert table.route("shop.test", "/") is None and len(wrong) == 2


@given(
    st.permutations(["/", "/a/", "/a/b/", "/a/b/c/", "/ab/", "/b/"]),
    st.sampled_from(["/", "/a", "/a/", "/a/b", "/a/b/c/d", "/a/bc/", "/abc", "/ab/c", "/b/a/"]),
)
def test_the_longest_prefix_wins(prefixes, path):
    table, wrong = configuration.build_table(
        items(call([rule(prefix, prefix) for prefix in prefixes], [cluster("s")]))
    )
    best = max((prefix for prefix in prefixes if path.startswith(prefix)), key=len)
    assert not wrong and table.route("shop.test", path).prefix == best
    assert table.route("other.test", path) is None


def test_a_change_is_what_is_newer_and_is_judged_by_what_it_touches():
    stands = items(call([rule("a", "/a/"), rule("old", "/o/", service="gone")], [cluster("s", "r5")]))
    again = read(call([rule("a", "/a/")], [cluster("s", "r4")])).ok
    assert configuration.validate_change(stands, again).ok == (), (
        "the same item once more, and a lower version"
    )
    other = configuration.validate_change(
        stands, read(call([rule("a", "/z/"), rule("c", "/c/")], [cluster("s", "r4")])).ok
    )
    assert other.error == "route/a r1 stands with another content", "one version, one content"
    dropped = configuration.validate_change(
        stands, read({"removals": {"route_list": [{"name": "a", "revision": "r1"}]}}).ok
    )
    assert dropped.error == "route/a r1 stands with another content"
    news = read(call([rule("a", "/b/", revision="r2")], [cluster("s")])).ok
    assert [item.name for item in configuration.validate_change(stands, news).ok] == ["route/a"]
    for clash, word in ((rule("b", "/a/"), "share"), (rule("b", "/b/", service="no"), "unknown")):
        assert word in configuration.validate_change(stands, read(call([clash])).ok).error
    drop = {"removals": {"service_list": [{"name": "s", "revision": "r6"}]}}
    assert "unknown service s" in configuration.validate_change(stands, read(drop).ok).error


def test_limits_are_as_set_or_the_defaults():
    assert configuration.build_table(EMPTY)[0] == configuration.EMPTY_TABLE
    limit = {"revision": "r1", "max_body_bytes": 5, "header_timeout": "250ms"}
    assert configuration.build_table(items({"upserts": {"limit_set": limit}}))[0].limits == Limits(
        16384, 5, 0.25, 15.0
    )


def test_all_that_stands_reads_back_as_it_was():
    made = items(
        call([rule("a", "/a/", note="é\n"), rule("b", "/b/")], [cluster("s", extra={"z": 1, "a": [None]})]),
        call([rule("c", revision="r9")], [cluster("t")], host="Other.test"),
        {"upserts": {"limit_set": {"revision": "r4", "max_body_bytes": 9}}},
        {"removals": {"route_list": [{"name": "b", "revision": "r2"}]}},
    )
    again = configuration.parse_change(b'{"upserts":' + configuration.whole(made) + b"}")
    assert set(again.ok) == {item for item in made.values() if item.content}
    assert "route/b" in made and len(again.ok) == 5
    assert set(configuration.parse_change(b'{"upserts":' + configuration.whole(EMPTY) + b"}").ok) == set()
