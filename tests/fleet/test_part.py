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
from hollyport.fleet.part import FleetPart
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
        loop = asyncio.get_running_loop()
        parts, names = [], ["m0", "m1", "m2"]
        for n in range(3):
            parts.append(
                FleetPart(loop, read(table(keys, halls={"a": names}, member=f"m{n}")), "ignored", False)
            )
            parts[n].start()
            names = [*names[:n], f"m{n}@{parts[n].member.own.address}", *names[n + 1 :]]

        async def until(condition):
            async with asyncio.timeout(20):
                while not condition():
                    await asyncio.sleep(0.01)

        def whole():
            return all(len(p.member.membership.live()) == 2 for p in parts)

        await until(whole)
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
            assert whole()
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
