"""Parsing of the settings file: all fields, defaults, and errors that name the wrong field."""

import pytest

from mesh import settings
from mesh.settings import Address

FULL = {
    "node_name": '"n7"',
    "ip": '"10.0.0.7"',
    "zone": '"east"',
    "region": '"north"',
    "port_range": "[7100, 7109]",
    "seed_list": '["10.0.0.9:80", "10.0.0.8:80"]',
    "first_start": "true",
    "counted": "true",
    "data_dir": '"/data/n7"',
    "beat": '"750ms"',
    "bound_set": '["retry_ratio=0.1", "key_window=90s", "strict=true"]',
    "app_addr": '"127.0.0.1:9000"',
    "service": '"pay"',
    "listen_map": '{ outbound = "10.0.0.7:80", inbound = "10.0.0.7:81", ready = "10.0.0.7:82", '
    'control = "127.0.0.1:83" }',
    "limit_set": "{ max_fds = 300, memory_mb = 64.5, disk_mb = 10 }",
    "fault_budget": "{ machine_loss = 2 }",
}
REQUIRED = ("node_name", "ip", "port_range")


def text(**changed):
    """Returns the full file with some fields changed, or left out if None."""
    rows = {**FULL, **changed}
    return "\n".join(f"{name} = {value}" for name, value in rows.items() if value is not None)


def test_a_full_file_is_read():
    parsed = settings.read(text()).ok
    assert (parsed.name, parsed.ip, parsed.zone, parsed.region) == ("n7", "10.0.0.7", "east", "north")
    assert parsed.ports == (7100, 7109) and parsed.peer_address == Address("10.0.0.7", 7100)
    assert parsed.seeds == (Address("10.0.0.9", 80), Address("10.0.0.8", 80))
    assert parsed.seed_peers == ["10.0.0.8:7100", "10.0.0.9:7100"]
    assert parsed.first_start and parsed.counted and parsed.data_dir == "/data/n7" and parsed.beat_s == 0.75
    assert parsed.app == Address("127.0.0.1", 9000) and parsed.service == "pay"
    assert [parsed.outbound.port, parsed.inbound.port, parsed.ready.port, parsed.control.port] == [
        80,
        81,
        82,
        83,
    ]
    assert (parsed.max_fds, parsed.memory_mb, parsed.disk_mb, parsed.losses) == (300, 64.5, 10.0, 2)


def test_bounds_are_a_list_or_one_string():
    from_string = settings.read(text(bound_set='"retry_ratio=0.1, key_window=90s,strict=true, "')).ok
    parsed = settings.read(text()).ok
    assert from_string.bounds == parsed.bounds == {"retry_ratio": 0.1, "key_window": 90.0, "strict": 1.0}
    assert parsed.bound("retry_ratio", 0.2) == 0.1 and parsed.bound("unknown", 0.2) == 0.2
    assert settings.read(text(bound_set='["grace=250ms", "strict=false", "n=3"]')).ok.bounds == {
        "grace": 0.25,
        "strict": 0.0,
        "n": 3.0,
    }


def test_seeds_may_be_one_string():
    assert settings.read(text(seed_list='"a:1, b:2"')).ok.seeds == (Address("a", 1), Address("b", 2))


def test_optional_fields_have_defaults():
    parsed = settings.read("\n".join(f"{name} = {FULL[name]}" for name in REQUIRED)).ok
    assert (parsed.zone, parsed.service, parsed.seeds, parsed.app, parsed.outbound) == (
        "",
        "",
        (),
        None,
        None,
    )
    assert (parsed.first_start, parsed.beat_s, parsed.bounds) == (False, 1.5, {})
    assert (parsed.max_fds, parsed.memory_mb, parsed.losses) == (1024, 300.0, 1)


def test_unknown_fields_are_ignored():
    more = text(later="[1, 2]", limit_set="{ max_fds = 300, memory_mb = 64.5, disk_mb = 10, x = 1 }")
    assert settings.read(more + "\n[other]\nzone = 4\n") == settings.read(text())


@pytest.mark.parametrize("name", REQUIRED)
def test_a_missing_field_is_named(name):
    assert settings.read(text(**{name: None})).error == f"{name} is missing"


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("node_name", "4"),
        ("ip", "[1]"),
        ("zone", "true"),
        ("region", "1.5"),
        ("service", "{}"),
        ("data_dir", "7"),
        ("first_start", "1"),
        ("counted", '"true"'),
        ("port_range", "7100"),
        ("port_range", "[7100]"),
        ("port_range", '["a", "b"]'),
        ("port_range", "[7109, 7100]"),
        ("port_range", "[1, 65536]"),
        ("port_range", "[-1, 5]"),
        ("seed_list", "4"),
        ("seed_list", "[4]"),
        ("seed_list", '["10.0.0.9"]'),
        ("seed_list", '[":80"]'),
        ("seed_list", '["a:b"]'),
        ("seed_list", '["a:65536"]'),
        ("seed_list", '["a:-1"]'),
        ("beat", "1.5"),
        ("beat", '"1"'),
        ("beat", '"-1s"'),
        ("beat", '"soon"'),
        ("bound_set", "{}"),
        ("bound_set", '["x"]'),
        ("bound_set", '["x=many"]'),
        ("bound_set", "[1]"),
        ("app_addr", "9000"),
        ("app_addr", '"nowhere"'),
    ],
)
def test_a_field_of_the_wrong_type_is_named(name, value):
    parsed = settings.read(text(**{name: value}))
    assert parsed.is_error() and parsed.error.startswith(f"{name}: ")


@pytest.mark.parametrize(
    ("table", "name", "value"),
    [
        ("listen_map", "outbound", "80"),
        ("listen_map", "inbound", '"80"'),
        ("listen_map", "ready", "[1]"),
        ("listen_map", "control", "true"),
        ("limit_set", "max_fds", "1.5"),
        ("limit_set", "max_fds", "-1"),
        ("limit_set", "max_fds", "true"),
        ("limit_set", "memory_mb", '"64"'),
        ("limit_set", "memory_mb", "-0.5"),
        ("limit_set", "disk_mb", "true"),
        ("fault_budget", "machine_loss", '"1"'),
    ],
)
def test_a_nested_field_of_the_wrong_type_is_named_with_its_table(table, name, value):
    parsed = settings.read(text(**{table: f"{{ {name} = {value} }}"}))
    assert parsed.is_error() and parsed.error.startswith(f"{table}.{name}: ")


def test_invalid_toml_is_an_error():
    assert settings.read("node_name = ").error.startswith("not TOML: ")


@pytest.mark.parametrize(("value", "expected"), [("1500ms", 1.5), ("2.5s", 2.5), ("0s", 0.0)])
def test_durations_are_parsed_into_seconds(value, expected):
    assert settings.parse_duration(value) == expected
