"""The part in a running daemon: off it costs nothing, on it says what is wrong with its table, and it
changes keys in service."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from hollyport.fleet.options import read
from hollyport.fleet.part import FleetPart, place
from hollyport.settings.options import BadValue

ROOT = Path(__file__).parent.parent.parent
OLD, NEW = "aa" * 16, "bb" * 16


def test_what_is_off_is_not_imported():
    code = (
        "import sys, hollyport.__main__\n"
        "print([m for m in sys.modules if m.startswith('hollyport.fleet') or m in ('msgspec', 'structlog')])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert done.stdout.strip() == "[]", done.stderr


@pytest.fixture
def keys(tmp_path):
    path = tmp_path / "keys"
    path.write_text(f"{OLD}  # signs\n", encoding="ascii")
    return path


def table(file, **changed):
    return {"name": "f", "keys": str(file), "halls": {"a": ["m0", "m1"]}} | changed


@pytest.mark.parametrize(("changed", "path", "says"), [
    ({"name": ""}, "name", "1 to 64"),
    ({"halls": {}}, "halls", "nobody"),
    ({"halls": {"a": ["m0", "m0"]}}, "halls.a.1", "twice"),
    ({"halls": {"a": ["m0@nowhere"]}}, "halls.a.0", "HOST:PORT"),
    ({"listen": "7946"}, "listen", "HOST:PORT"),
        ({"advertise": "sidecar.example:7946"}, "advertise", "IP literal"),
    ({"datagram_bytes": 100}, "datagram_bytes", "256"),
    ({"keys": "/no/such/file"}, "keys", "read"),
    ({"view": 8, "halls": {"a": [f"m{n}" for n in range(10)]}}, "view", "needs its"),
    ({"colour": "red"}, "colour", "no such key"),
])  # fmt: skip
def test_a_wrong_table_names_its_key(keys, changed, path, says):
    with pytest.raises(BadValue, match=says) as found:
        read(table(keys, **changed))
    assert ".".join(map(str, found.value.path)) == path


@pytest.mark.parametrize("text", ["", "xyz", "aa", f"{OLD}\n{NEW}\n{OLD}"])
def test_keys_that_are_none_are_refused(keys, text):
    keys.write_text(text, encoding="ascii")
    with pytest.raises(BadValue):
        read(table(keys))


def test_members_find_each_other_change_keys_in_service_and_leave(keys, capfd):
    async def play():
        small = Small(keys)
        parts, names, until = small.parts, small.names, small.until
        await small.whole()
        for lines in (f"{OLD}\n{NEW}", f"{NEW}\n{OLD}", NEW):
            keys.write_text(lines, encoding="ascii")
            for part in parts:
                told = read(table(keys, halls={"a": names}, member=part.member.own.name))
                assert part.take_options(told)
            received = [p.member.received for p in parts]
            await until(
                lambda before=received: all(
                    p.member.received > b + 4 for p, b in zip(parts, before, strict=True)
                )
            )
            await small.whole()
        assert sum(p.member.refused["digest"] for p in parts) == 0
        assert json.dumps(parts[0].page())
        parts[2].stop()
        await until(lambda: all(p.page()["members"][1]["status"] == "left" for p in parts[:2]))
        for part in parts[:2]:
            part.stop()

    asyncio.run(play())
    rows = [json.loads(line) for line in capfd.readouterr().err.splitlines()]
    assert {"started", "alive", "reloaded", "left", "ended"} <= {row["event"] for row in rows}
    assert all({"fleet", "member_name", "mono_ns"} <= row.keys() for row in rows)


def test_a_log_that_nobody_reads_costs_lines_and_no_time():
    from hollyport.fleet.log import Log

    reader, writer = os.pipe()
    log = Log("f", "m0", writer)
    for _ in range(20):
        log._left = 1e9
        for _ in range(200):
            log.tell("dead", member="m1", incarnation=1)
    assert log.lost > 1000
    os.close(reader)
    log.tell("ended")
    os.close(writer)
    with pytest.raises(ValueError, match="fields"):
        log.tell("dead", member="m1")


@pytest.mark.parametrize(("address", "at"), [
    ("127.0.0.1:80", ("127.0.0.1", 80)), ("[::1]:80", ("::1", 80)), ("localhost:80", None), ("", None),
    ("127.0.0.1:0", None), ("127.0.0.1:70000", None), ("127.1:80", None), ("127.0.0.1:x", None),
])  # fmt: skip
def test_only_literals_are_sent_to_so_that_nothing_is_ever_looked_up(address, at):
    assert place(address) == at


class Small:
    """Three parts of one fleet on this loop."""

    def __init__(self, keys):
        self.loop, self.keys, self.parts = asyncio.get_running_loop(), keys, []
        names = ["m0", "m1", "m2"]
        for n in range(3):
            self.parts.append(self.part(n, names))
            names = [*names[:n], f"m{n}@{self.parts[n].member.own.address}", *names[n + 1 :]]
        self.names = names

    def part(self, n, names, listen="127.0.0.1:0", heir=False):
        told = table(self.keys, halls={"a": names}, member=f"m{n}", listen=listen)
        made = FleetPart(self.loop, read(told), "ignored", heir)
        made.start()
        return made

    @staticmethod
    async def until(condition):
        async with asyncio.timeout(20):
            while not condition():
                await asyncio.sleep(0.01)

    async def whole(self):
        await self.until(lambda: all(len(p.live()) == 2 for p in self.parts))

    def stop(self):
        for part in self.parts:
            part.stop()


def test_facts_pass_and_their_changes_are_called(keys):
    async def play():
        small = Small(keys)
        await small.whole()
        changes = []
        small.parts[1].fact_changed = lambda *at: changes.append(at)
        small.parts[0].tell("hall", b"well", 30.0)
        await small.until(lambda: [h.value for h in small.parts[1].told("hall")] == [b"well"])
        small.parts[0].withdraw("hall")
        await small.until(lambda: not list(small.parts[1].told("hall")))
        assert changes == [("m0", "hall")] * 2
        small.stop()

    asyncio.run(play())


def test_an_heir_takes_another_port_until_the_stated_one_is_free_and_then_moves_there(keys, monkeypatch):
    monkeypatch.setattr("hollyport.fleet.part.REBIND_S", 0.05)

    async def play():
        small = Small(keys)
        await small.whole()
        old = small.parts[0]
        stated = old.member.own.address
        heir = small.part(0, small.names, stated, heir=True)
        assert heir.member.own.address != stated
        other = small.parts[1].member.membership.peers["m0"]
        await small.until(lambda: other.address == heir.member.own.address and old.page()["retired"])
        old.stop()
        await small.until(lambda: heir.member.own.address == stated == other.address)
        assert other.status.name == "ALIVE" and "m0" in small.parts[1].live()
        small.parts[0] = heir
        small.stop()

    asyncio.run(play())


@pytest.mark.parametrize("where", ["handle", "tick"])
def test_a_fault_of_the_part_is_told_and_ends_nothing(keys, where, capfd):
    async def play():
        small = Small(keys)
        await small.whole()
        broken, plain = small.parts[0], getattr(small.parts[0].member, where)

        def fails(*told):
            raise RuntimeError("seeded")

        setattr(broken.member, where, fails)
        await small.until(lambda: broken.faults > 0)
        setattr(broken.member, where, plain)
        received = broken.member.received
        await small.until(lambda: broken.member.received > received + 5)
        await small.whole()
        small.stop()

    asyncio.run(play())
    assert any(json.loads(row)["event"] == "fault" for row in capfd.readouterr().err.splitlines())


def test_the_platforms_own_list_of_sidecars_stands_for_halls_where_its_settings_allow_it(keys):
    told = read({"name": "f", "keys": str(keys), "peers": True})
    peers = [f"10.3.0.{n}:7946" for n in range(3)]
    made = told.of_platform(True, "10.0.0.4:7946", peers, 1)
    assert (made.member, made.listen, made.advertise, made.datagram_bytes) == (
        "1",
        "10.0.0.4:7946",
        peers[1],
        256,
    )
    assert made.halls == (("tier", tuple((str(n), peer) for n, peer in enumerate(peers))),)
    here = "10.0.0.4:7946"
    named = [*peers, "name:1"]
    for wrong in (
        (False, here, peers, 1),
        (True, None, peers, 1),
        (True, here, None, 1),
        (True, here, peers, 3),
        (True, here, named, 1),
    ):
        with pytest.raises(BadValue):
            told.of_platform(*wrong)
    with pytest.raises(BadValue):
        read(table(keys, peers=True))
