"""Method names to classes, and what a call tells of itself."""

from __future__ import annotations

from ipaddress import ip_network

import pytest
from build import settings
from thrift.Thrift import TMessageType, TType
from values import message

from dunefield import Settings
from hollyport.settings.options import BadValue
from hollyport.thrift.gateway import check
from hollyport.thrift.methods import UNITS_NS, Members, Method, Methods, Origin, Unusable
from hollyport.thrift.options import read
from hollyport.thrift.stream import FRAMED_BINARY, FRAMED_COMPACT, Message
from hollyport.thrift.wire import Binary, Compact

SETTINGS = settings(projects=[{"name": "teratai"}, {"name": "42"}])
ORIGIN = Origin("7", 0)


def call(told, method="push", kind=TMessageType.CALL, name="binary") -> Message:
    data = message(name, told, method, kind=kind)
    protocol, form = (Binary, FRAMED_BINARY) if name == "binary" else (Compact, FRAMED_COMPACT)
    return Message(form, protocol.head(data), data)


@pytest.mark.parametrize(
    ("name", "cls"),
    [
        (b"push", 0),
        (b"pusher", 1),
        (b"pu", 2),
        (b"Rate:push", 1),
        (b"Rate:get", 2),
        (b"Rates:x", 2),
        (b"other", 2),
        (b"", 2),
    ],
)
def test_exact_names_come_first_then_the_longest_prefix_then_the_default(name, cls):
    methods = Methods({"push": Method(0), "push*": Method(1), "*": Method(2), "Rate:push": Method(1),
                       "Rate:*": Method(2)}, SETTINGS)  # fmt: skip
    assert methods.find(name).cls == cls


def test_without_a_default_the_unmapped_is_unknown():
    methods = Methods({"push": Method(0), "Rate:*": Method(1)}, SETTINGS)
    assert methods.find(b"pus") is None and methods.find(b"Rate") is None


@pytest.mark.parametrize("name", ["binary", "compact"])
def test_what_a_call_tells_is_found_at_its_path(name):
    method = Method(0, deadline=(2, 1), rid=(3,), member=(4, 2, 1), key=(5,))
    methods = Methods({"*": method}, SETTINGS)
    told = {
        1: (TType.LIST, [(TType.I32, 1)] * 20),
        2: (TType.STRUCT, {1: (TType.I32, 250)}),
        3: (TType.STRING, b"rid-1"),
        4: (TType.STRUCT, {2: (TType.STRUCT, {1: (TType.I64, 42)})}),
        5: (TType.STRING, b"room-7"),
    }
    terms = methods.terms(method, call(told, name=name), ORIGIN, 1)
    assert (terms.rid, terms.wait_ns, terms.tenant, terms.key) == (b"rid-1", 250_000_000, 1, "room-7")


def test_what_is_missing_gets_the_classs_own_and_an_id_is_made():
    method = Method(0, deadline=(2,), rid=(3,), member=(4,), key=(5,))
    methods = Methods({"*": method}, SETTINGS)
    terms = [methods.terms(method, call({}), ORIGIN, n) for n in (1, 2)]
    assert terms[0].wait_ns == SETTINGS.classes[0].deadline_ns and terms[0].tenant == 0
    assert terms[0].rid != terms[1].rid and terms[0].key == ""
    elsewhere = methods.terms(method, call({}), Origin("8"), 1)
    assert elsewhere.rid != terms[0].rid and elsewhere.tenant == -1


def test_a_longer_wait_than_the_classs_is_the_classs():
    method = Method(0, deadline=(1,), unit_ns=UNITS_NS["s"])
    told = {1: (TType.I64, 2**62)}
    assert Methods({"*": method}, SETTINGS).terms(method, call(told), ORIGIN, 1).wait_ns == 10**9


@pytest.mark.parametrize(
    "told",
    [
        {1: (TType.I32, 0)},
        {1: (TType.I32, -5)},
        {1: (TType.STRING, b"soon")},
        {2: (TType.STRING, b"")},
        {2: (TType.STRING, b"r" * 257)},
    ],
)
def test_what_makes_no_sense_is_unusable(told):
    method = Method(0, deadline=(1,), rid=(2,))
    with pytest.raises(Unusable):
        Methods({"*": method}, SETTINGS).terms(method, call(told), ORIGIN, 1)


def test_an_unknown_member_is_none_of_ours_and_a_keyed_class_needs_its_key():
    method = Method(2, member=(1,), once=(2,))
    methods = Methods({"*": method}, SETTINGS)
    told = {1: (TType.STRING, b"nobody"), 2: (TType.STRING, b"k")}
    assert methods.terms(method, call(told), ORIGIN, 1).tenant == -1
    with pytest.raises(Unusable, match="idempotency"):
        methods.terms(method, call({}), ORIGIN, 1)


@pytest.mark.parametrize(
    ("kind", "set_", "oneway"),
    [(TMessageType.CALL, False, False), (TMessageType.ONEWAY, False, True), (TMessageType.CALL, True, True)],
)
def test_oneway_by_its_own_word_or_the_operators(kind, set_, oneway):
    method = Method(0, oneway=set_)
    assert Methods({"*": method}, SETTINGS).terms(method, call({}, kind=kind), ORIGIN, 1).oneway is oneway


def test_members_by_source_the_narrowest_network_first():
    networks = "127.0.0.0/8", "127.0.0.4/32", "::/0"
    members = Members([(ip_network(text), number) for number, text in enumerate(networks, 1)])
    hosts = ["127.0.0.4", "127.9.9.9", "10.0.0.1", "fe80::1%eth0", "", "name"]
    assert [members.of(host, 0) for host in hosts] == [2, 1, 0, 3, 0, 0]
    assert Members([]).of("127.0.0.1", 5) == 5


GOOD = {"listeners": [{"address": "127.0.0.1:0"}], "methods": [{"name": "*", "class": "free"}]}


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"listeners": []}, "listeners"),
        ({"listeners": [{"address": "nowhere"}]}, "listeners.0.address"),
        ({"listeners": [{"address": "127.0.0.1:1", "form": "json"}]}, "listeners.0.form"),
        ({"listeners": [{"address": "127.0.0.1:1", "colour": 1}]}, "listeners.0.colour"),
        ({"methods": []}, "methods"),
        ({"methods": [{"name": "a*b", "class": "free"}]}, "methods.0.name"),
        ({"methods": [{"name": "a"}]}, "methods.0.class"),
        ({"methods": [{"name": "a", "class": "free"}, {"name": "a", "class": "free"}]}, "methods.1.name"),
        ({"methods": [{"name": "a", "class": "free", "deadline": [1.5]}]}, "methods.0.deadline"),
        ({"methods": [{"name": "a", "class": "free", "deadline": [1] * 17}]}, "methods.0.deadline"),
        ({"methods": [{"name": "a", "class": "free", "deadline_unit": "h"}]}, "methods.0.deadline_unit"),
        ({"nodes": [{"form": "thrift"}]}, "nodes.0.form"),
        ({"nodes": [{"form": "framed-binary", "networks": ["10.0.0.1/8"]}]}, "nodes.0.networks"),
        ({"nodes": [{"form": "framed-binary", "ports": [0]}]}, "nodes.0.ports"),
        ({"probe": {}}, "probe.method"),
        ({"probe": {"method": "m", "http_port": 1}}, "probe.method"),
        ({"probe": {"method": "m", "inflight": [0, 1]}}, "probe.inflight"),
        ({"sources": {"10.0.0.300": "x"}}, "sources.10.0.0.300"),
        ({"message_kb": 0}, "message_kb"),
        ({"typo": 1}, "typo"),
    ],
)
def test_a_wrong_key_is_named(changes, path):
    with pytest.raises(BadValue) as error:
        read({**GOOD, **changes})
    assert ".".join(map(str, error.value.path)) == path


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"methods": [{"name": "a", "class": "nosuch"}]}, "methods.0.class"),
        ({"methods": [{"name": "a", "class": "guarded"}]}, "methods.0.idempotency_key"),
        ({"listeners": [{"address": "127.0.0.1:1", "member": "x"}]}, "listeners.0.member"),
        ({"sources": {"10.0.0.0/8": "x"}}, "sources.10.0.0.0/8"),
        ({"nodes": [{"form": "framed-binary", "halls": ["zz"]}]}, "nodes.0.halls"),
    ],
)
def test_names_are_checked_against_the_platforms_settings(changes, path):
    with pytest.raises(BadValue) as error:
        check(read({**GOOD, **changes}), SETTINGS)
    assert ".".join(map(str, error.value.path)) == path
    check(read(GOOD), Settings.parse({"classes": [{"name": "free", "hardLimitNs": 1}]}))
