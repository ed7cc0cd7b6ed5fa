"""Eureka's payloads in both encodings, with their quirks, and everything that is none."""

from __future__ import annotations

import contextlib
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollyport.registries.eureka.codec import Payload, PayloadError, read_json, read_xml, reconcile_hash
from rehearsal.listing.eureka_model import Registry, applications, as_xml


def parse(text):
    payload = Payload()
    for _ in read_json([(text if isinstance(text, str) else json.dumps(text)).encode()], payload):
        pass
    return payload


def parse_xml(data):
    payload = Payload()
    for _ in read_xml([data], payload):
        pass
    return payload


def raw(n=0, **changes):
    return {
        "instanceId": f"host{n}:node:8080",
        "app": "NODE",
        "hostName": f"host{n}",
        "ipAddr": f"10.0.0.{n}",
        "status": "UP",
        "overriddenstatus": "UNKNOWN",
        "port": {"$": 8080, "@enabled": "true"},
        "securePort": {"$": "443", "@enabled": "false"},
        "vipAddress": "node,other",
        "dataCenterInfo": {
            "@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo",
            "name": "MyOwn",
        },
        "leaseInfo": {"renewalIntervalInSecs": 30, "serviceUpTimestamp": 1700000000123},
        "metadata": {"@class": "java.util.Collections$EmptyMap", "zone": "bangi-a", "weight": "2"},
        "isCoordinatingDiscoveryServer": "false",
        "lastUpdatedTimestamp": "1700000001000",
        "actionType": "ADDED",
        **changes,
    }


def document(*rows, code="UP_1_"):
    return {
        "applications": {
            "versions__delta": "1",
            "apps__hashcode": code,
            "application": [{"name": "NODE", "instance": list(rows)}],
        }
    }


def test_an_instance_with_all_its_quirks():
    (got,) = parse(document(raw())).instances
    assert (got.app, got.identity, got.host, got.ip) == ("NODE", "host0:node:8080", "host0", "10.0.0.0")
    assert (got.port, got.secure_port, got.status, got.effective) == (8080, 0, "UP", "UP")
    assert got.metadata == {"zone": "bangi-a", "weight": "2"} and got.up_ms == 1700000000123
    assert got.updated_ms == 1700000001000 and not got.coordinating


@pytest.mark.parametrize("one", [{"application": {"name": "NODE", "instance": raw()}}, {"instance": raw()}])
def test_one_element_stands_for_a_list_and_for_a_document(one):
    assert len(parse(one).instances) == 1
    assert len(parse({"applications": {"application": {"name": "NODE", "instance": raw()}}}).instances) == 1


@pytest.mark.parametrize(
    "nothing",
    [
        {"applications": {"application": []}},
        {"applications": {}},
        {"applications": None},
        {"applications": ""},
        {"applications": {"application": [{"name": "X", "instance": []}]}},
        {"applications": {"application": None}},
    ],
)
def test_nothing_in_all_its_forms(nothing):
    payload = parse(nothing)
    assert payload.instances == [] and payload.unusable == 0


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"port": 9090}, (9090, 0)),
        ({"port": "9090"}, (9090, 0)),
        ({"port": {"$": "9090", "@enabled": True}}, (9090, 0)),
        ({"port": {"$": 80, "@enabled": "false"}}, (0, 0)),
        ({"securePort": {"$": 8443, "@enabled": "true"}}, (8080, 8443)),
        ({"securePort": None}, (8080, 0)),
    ],
)
def test_ports(changes, expected):
    (got,) = parse(document(raw(**changes))).instances
    assert (got.port, got.secure_port) == expected


def test_an_override_wins_and_an_unknown_status_is_unknown():
    rows = [
        raw(1, overriddenstatus="OUT_OF_SERVICE"),
        raw(2, overriddenstatus=None, overriddenStatus="DOWN"),
        raw(3, status="dancing"),
        raw(4, status="STARTING", overriddenstatus="UNKNOWN"),
    ]
    got = parse(document(*rows)).instances
    assert [i.effective for i in got] == ["OUT_OF_SERVICE", "DOWN", "UNKNOWN", "STARTING"]
    assert [i.status for i in got] == ["UP", "UP", "UNKNOWN", "STARTING"]  # the hash counts these


def test_identity_falls_back_on_the_cloud_and_on_the_host():
    rows = [
        raw(1, instanceId=None),
        raw(2, instanceId="", dataCenterInfo={"metadata": {"instance-id": "i-77"}}),
    ]
    assert [i.identity for i in parse(document(*rows)).instances] == ["host1", "i-77"]


def test_one_that_makes_no_sense_does_not_cost_the_rest():
    rows = [
        raw(1, port={"$": 99999, "@enabled": "true"}),
        raw(2, instanceId=None, hostName=None),
        7,
        None,
        raw(5),
    ]
    payload = parse(document(*rows))
    assert [i.identity for i in payload.instances] == ["host5:node:8080"] and payload.unusable == 4


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        "[]",
        "7",
        "null",
        "<applications/>",
        '{"applications": {"application": [{"name": "X", "instance": [{]}]}}',
        '{"applications": {}} tail',
        '{"applications": {}',
        '{"other": 1}',
        "{1: 2}",
        '{"applications": {"application": [}',
        '{"applications": ' + "[" * 100000,
        '{"a" "b"}',
    ],
)
def test_what_is_no_answer_is_an_error(text):
    with pytest.raises(PayloadError):
        parse(text)


@given(st.integers(0, 400))
def test_no_cut_off_answer_passes_for_a_whole_one(at):
    text = json.dumps(document(raw(), raw(1)))
    cut = text[: len(text) * at // 401]
    with pytest.raises(PayloadError):
        parse(cut)


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=4)
            | st.dictionaries(
                st.sampled_from(
                    [
                        "applications",
                        "application",
                        "instance",
                        "name",
                        "port",
                        "$",
                        "status",
                        "leaseInfo",
                        "instanceId",
                        "metadata",
                        "dataCenterInfo",
                        "x",
                    ]
                ),
                inner,
                max_size=5,
            )
        ),
        max_leaves=25,
    )
)
def test_any_json_is_read_or_is_an_error_and_never_anything_else(value):
    with contextlib.suppress(PayloadError):
        parse(value)


def test_a_large_answer_comes_in_small_steps():
    text = json.dumps(document(*(raw(n % 250) for n in range(2000))))
    payload, sizes = Payload(), []
    for _ in read_json([text.encode()], payload):
        sizes.append(len(payload.instances))
    assert len(payload.instances) == 2000
    assert max(b - a for a, b in zip(sizes, sizes[1:], strict=False)) <= 8


def registry(count=3):
    made = Registry()
    for n in range(count):
        made.register("node", raw(n), 1000 + n)
    made.override("NODE", "host1:node:8080", "OUT_OF_SERVICE", 2000)
    return made


def test_json_and_xml_of_the_same_registry_are_the_same():
    made = registry()
    whole = applications(made.whole(), made.hashcode(), made.version)
    one, other = parse(json.dumps(whole)), parse_xml(as_xml(whole))
    assert one.instances == other.instances and len(one.instances) == 3
    assert one.hashcode == other.hashcode == "OUT_OF_SERVICE_1_UP_2_" and one.version == other.version
    delta = applications(made.delta(), made.hashcode(), made.version)
    assert parse(delta).instances == parse_xml(as_xml(delta)).instances
    assert [i.action for i in parse(delta).instances] == ["ADDED"] * 3 + ["MODIFIED"]


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"<applications>",
        b"<other/>",
        b"\xff\xfe",
        b"{}",
        b'<?xml version="1.0"?><!DOCTYPE a [<!ENTITY x "xxxxxxxx"><!ENTITY y "&x;&x;">]>'
        b"<applications>&y;</applications>",
        b'<!DOCTYPE a [<!ENTITY f SYSTEM "file:///etc/passwd">]><applications><application><name>&f;</name></application>'
        b"</applications>",
        b"<applications>" + b"<a>" * 50 + b"</a>" * 50 + b"</applications>",
    ],
)
def test_what_is_no_xml_of_this_kind_is_an_error_and_no_entity_is_expanded(data):
    with pytest.raises(PayloadError):
        parse_xml(data)


def test_the_hash_is_the_published_one():
    assert reconcile_hash({"UP": 12, "DOWN": 1, "STARTING": 0}) == "DOWN_1_UP_12_"
    assert reconcile_hash({}) == ""


@pytest.mark.parametrize("size", [1, 2, 3, 7, 64])
def test_an_answer_in_pieces_of_any_size_reads_the_same(monkeypatch, size):
    """Also where a number, an escape or a character of several bytes falls on the window's edge."""
    monkeypatch.setattr("hollyport.registries.eureka.codec.WINDOW", size)
    rows = [raw(n, metadata={"zone": 'ü\u20ac\\"', "n": 12345678901234567890 + n}) for n in range(3)]
    data = (json.dumps(document(*rows), ensure_ascii=False) + " \n").encode()
    payload = Payload()
    for _ in read_json((data[at : at + size] for at in range(0, len(data), size)), payload):
        pass
    assert payload.instances == parse(data.decode()).instances and len(payload.instances) == 3


def test_a_value_without_end_is_an_error_before_it_fills_the_memory():
    taken = 0

    def endless():
        nonlocal taken
        yield b'{"applications": {"x": "'
        while True:
            taken += 65536
            yield b"x" * 65536

    with pytest.raises(PayloadError, match="too long"):
        for _ in read_json(endless(), Payload()):
            pass
    assert taken < 8 << 20


def test_bytes_that_are_no_text_are_an_error():
    with pytest.raises((PayloadError, UnicodeDecodeError)):
        unreadable = Payload()
        for _ in read_json([b'{"applications": {"x": "\xff\xfe"}}'], unreadable):
            pass


@pytest.mark.parametrize("size", [1, 3, 5])
def test_a_bare_number_on_the_windows_edge_is_not_cut_in_two(monkeypatch, size):
    """Half a number is a number, too: nothing but what follows tells that it was whole."""
    monkeypatch.setattr("hollyport.registries.eureka.codec.WINDOW", size)
    data = b'{"applications": {"versions__delta": 1234567, "application": []}}'
    payload = Payload()
    for _ in read_json((data[at : at + size] for at in range(0, len(data), size)), payload):
        pass
    assert payload.version == "1234567"
