"""The list on disk: what was written comes back, and nothing else ever does."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from backend import Server, ok
from hypothesis import given
from hypothesis import strategies as st
from test_eureka import daemon, play, registry_with, until, up

from hollyport.registries import feed, store
from hollyport.registries.record import DRAINING, UP, WAITING, Record
from hollyport.settings.config import Address

ROOT = Path(__file__).parent.parent.parent
RECORDS = [
    Record("a", Address("10.0.0.1", 80), UP, 1, 0, 3, 2.0, 5),
    Record("b#2", Address("::1", 8080), DRAINING),
]


@given(
    st.lists(
        st.builds(
            Record,
            st.text(min_size=1, max_size=8),
            st.builds(Address, st.text(max_size=5), st.integers(1, 65535)),
            st.sampled_from([UP, DRAINING, WAITING]),
            st.integers(-1, 9),
            st.integers(-1, 9),
            st.integers(0, 99),
            st.floats(0.1, 10),
            st.integers(0, 2**62),
        ),
        max_size=5,
    ),
    st.integers(0, 2**62),
)
def test_what_was_written_comes_back(records, saved):
    assert store.loads(store.dumps(records, saved)) == (records, saved)


def test_no_torn_file_is_trusted():
    data = store.dumps(RECORDS, 77)
    for length in range(len(data)):
        with pytest.raises(store.StoreError):
            store.loads(data[:length])
    with pytest.raises(store.StoreError):
        store.loads(data + b"\n")


def test_no_flipped_bit_in_the_records_is_trusted_and_none_in_the_head_does_harm():
    data = store.dumps(RECORDS, 77)
    body = data.index(b"\n") + 1
    for at in range(len(data)):
        for bit in range(8):
            flipped = bytearray(data)
            flipped[at] ^= 1 << bit
            if at >= body:
                with pytest.raises(store.StoreError):
                    store.loads(bytes(flipped))
            else:
                try:
                    records, _ = store.loads(bytes(flipped))
                except store.StoreError:
                    continue
                assert records == RECORDS  # the time of saving is all that may differ


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\n",
        b"{}\n[]",
        b"[]\n[]",
        b"null\nnull",
        b"\xff\xfe\n",
        b'{"is": "another"}\n[]',
        store.dumps(RECORDS, 1).replace(b'"format": 1', b'"format": 0'),
        store.dumps(RECORDS, 1).replace(b'"format": 1', b'"format": 2'),
        store.dumps([Record("a", Address("h", 1), "dancing")], 1),
        store.dumps([Record(7, Address("h", 1), UP)], 1),
    ],
)
def test_older_newer_foreign_and_senseless_files_are_not_trusted(tmp_path, data):
    path = tmp_path / "list"
    path.write_bytes(data)
    with pytest.raises(store.StoreError):
        store.load(path)


def test_no_file_a_folder_and_a_huge_one_are_errors_of_one_kind(tmp_path):
    huge = tmp_path / "huge"
    with open(huge, "wb") as file:
        file.truncate(store.MOST_BYTES + 1)
    for path in (tmp_path / "none", tmp_path, huge):
        with pytest.raises(store.StoreError):
            store.load(path)


@pytest.mark.parametrize("call", ["open", "write", "fsync", "replace"])
def test_a_failure_at_any_step_leaves_the_old_list_and_nothing_beside_it(tmp_path, monkeypatch, call):
    path = tmp_path / "list"
    store.save(path, store.dumps(RECORDS, 1))

    def fail(*args, **kwargs):
        raise OSError(28, "No space left on device")

    if call == "open":
        monkeypatch.setattr("builtins.open", fail)
    elif call == "write":

        class Full:
            def __enter__(self):
                return self

            def __exit__(self, *exc):
                return None

            write = fail

        monkeypatch.setattr("builtins.open", lambda *args: Full())
    else:
        monkeypatch.setattr(os, call, fail)
    with pytest.raises(OSError, match="No space"):
        store.save(path, store.dumps([], 2))
    monkeypatch.undo()
    assert store.load(path) == (RECORDS, 1) and [p.name for p in tmp_path.iterdir()] == ["list"]


def test_killed_at_any_moment_it_holds_the_old_list_or_the_new_one(tmp_path):
    path = tmp_path / "list"
    code = (
        "import sys; from pathlib import Path; from hollyport.registries import store;"
        "from hollyport.registries.record import Record; from hollyport.settings.config import Address;"
        "path = Path(sys.argv[1]); n = 0\n"
        "while True:\n"
        "    n += 1\n"
        "    rows = [Record(f'{n}', Address('h', 1), 'up')] * (n % 400)\n"
        "    store.save(path, store.dumps(rows, n))\n"
        "    print(n, flush=True)\n"
    )
    for wait in (1, 3, 7, 20, 50):
        with subprocess.Popen(
            [sys.executable, "-c", code, str(path)], cwd=ROOT, stdout=subprocess.PIPE, text=True
        ) as writer:
            for _ in range(wait):
                last = int(writer.stdout.readline())
            time.sleep(wait / 5000)  # somewhere in the next one
            writer.send_signal(signal.SIGKILL)
        records, saved = store.load(path)
        assert saved >= last and len(records) == saved % 400
        assert {record.identity for record in records} <= {str(saved)}


def test_a_daemon_starts_from_the_list_that_it_had_while_the_registry_is_silent(tmp_path, monkeypatch, capfd):
    monkeypatch.setattr(feed, "SAVE_S", 0.05)
    path = tmp_path / "list"

    async def scene():
        async with Server(ok) as one:
            registry, server = await registry_with(("i1", one))
            kept = {"options": {"cache_file": str(path)}}
            async with daemon(server, **kept) as (sidecar, client):
                await until(lambda: up(sidecar) == {"i1"} and path.exists())
                started = sidecar.core._module.state.servers["i1"].started
            server.misbehave = "silent"
            async with daemon(server, **kept) as (sidecar, client):
                assert up(sidecar) == {"i1"} and sidecar.core._module.state.servers["i1"].started == started
                assert (await client.ask())[0] == 200
            path.write_bytes(path.read_bytes()[:-3])
            async with daemon(server, **kept) as (sidecar, client):
                assert up(sidecar) == set()
                server.misbehave = ""
                await until(lambda: up(sidecar) == {"i1"})

    play(scene)
    said = capfd.readouterr().err
    assert "1 nodes from" in said and "not used: it is torn or changed" in said


def test_a_disk_that_cannot_be_written_is_told_of_once_and_harms_nothing(tmp_path, monkeypatch, capfd):
    monkeypatch.setattr(feed, "SAVE_S", 0.02)

    async def scene():
        async with Server(ok) as one:
            registry, server = await registry_with(("i1", one))
            nowhere = {"options": {"cache_file": str(tmp_path / "no" / "such" / "list")}}
            async with daemon(server, **nowhere) as (sidecar, client):
                await until(lambda: up(sidecar) == {"i1"})
                asked = len(server.asked)
                await until(lambda: len(server.asked) > asked + 3)
                assert (await client.ask())[0] == 200

    play(scene)
    assert capfd.readouterr().err.count("not written") == 1
