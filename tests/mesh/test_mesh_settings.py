"""The settings file: a full one, the defaults, and an error that names its field for whatever is wrong."""

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
NEEDED = ("node_name", "ip", "port_range")


def text(**changed):
    """The full file with some fields put otherwise, or left out where None."""
    rows = {**FULL, **changed}
    return "\n".join(f"{name} = {value}" for name, value in rows.items() if value is not None)


def test_a_full_file_is_read():
    found = settings.read(text()).ok
    assert (found.name, found.ip, found.zone, found.region) == ("n7", "10.0.0.7", "east", "north")
    assert found.ports == (7100, 7109) and found.peer_address == Address("10.0.0.7", 7100)
    assert found.seeds == (Address("10.0.0.9", 80), Address("10.0.0.8", 80))
    assert found.seed_peers == ["10.0.0.8:7100", "10.0.0.9:7100"]
    assert found.first_start and found.counted and found.data_dir == "/data/n7" and found.beat_s == 0.75
    assert found.app == Address("127.0.0.1", 9000) and found.service == "pay"
    assert [found.outbound.port, found.inbound.port, found.ready.port, found.control.port] == [80, 81, 82, 83]
    assert (found.max_fds, found.memory_mb, found.disk_mb, found.losses) == (300, 64.5, 10.0, 2)


def test_bounds_are_a_list_or_one_line():
    line = settings.read(text(bound_set='"retry_ratio=0.1, key_window=90s,strict=true, "')).ok
    found = settings.read(text()).ok
    assert line.bounds == found.bounds == {"retry_ratio": 0.1, "key_window": 90.0, "strict": 1.0}
    assert found.bound("retry_ratio", 0.2) == 0.1 and found.bound("unknown", 0.2) == 0.2
    assert settings.read(text(bound_set='["grace=250ms", "strict=false", "n=3"]')).ok.bounds == {
        "grace": 0.25,
        "strict": 0.0,
        "n": 3.0,
    }


def test_seeds_too_may_be_one_line():
    assert settings.read(text(seed_list='"a:1, b:2"')).ok.seeds == (Address("a", 1), Address("b", 2))


def test_what_is_not_needed_has_a_default():
    found = settings.read("\n".join(f"{name} = {FULL[name]}" for name in NEEDED)).ok
    assert (found.zone, found.service, found.seeds, found.app, found.outbound) == ("", "", (), None, None)
    assert (found.first_start, found.beat_s, found.bounds) == (False, 1.5, {})
    assert (found.max_fds, found.memory_mb, found.losses) == (1024, 300.0, 1)


def test_unknown_fields_are_ignored():
    more = text(later="[1, 2]", limit_set="{ max_fds = 300, memory_mb = 64.5, disk_mb = 10, x = 1 }")
    assert settings.read(more + "\n[other]\nzone = 4\n") == settings.read(text())


@pytest.mark.parametrize("name", NEEDED)
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
def test_an_ill_typed_field_is_named(name, value):
    found = settings.read(text(**{name: value}))
    assert found.is_error() and found.error.startswith(f"{name}: ")


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
def test_an_ill_typed_field_of_a_table_is_named_with_it(table, name, value):
    found = settings.read(text(**{table: f"{{ {name} = {value} }}"}))
    assert found.is_error() and found.error.startswith(f"{table}.{name}: ")


def test_what_is_no_toml_is_told():
    assert settings.read("node_name = ").error.startswith("not TOML: ")


@pytest.mark.parametrize(("value", "told"), [("1500ms", 1.5), ("2.5s", 2.5), ("0s", 0.0)])
def test_times_are_read_in_seconds(value, told):
    assert settings.parse_duration(value) == told
