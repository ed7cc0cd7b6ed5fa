"""The program as the platform starts it: configuration, readiness, SIGTERM, exit codes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path

import pytest
from backend import LIMIT_S, Call, Client, Conversation, Server, line, listing, play, settings

from hollyport.settings.config import ConfigError, load

ROOT = Path(__file__).parent.parent


def config(**changes):
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "ff",
        "limits": {"sockets": 1024},
        "known": listing(),
        "settings": settings(),
        **changes,
    }


def written(tmp_path, raw):
    path = tmp_path / "config.json"
    path.write_text(raw if isinstance(raw, str) else json.dumps(raw), encoding="utf-8")
    return {"NODE_CONFIG": str(path)}


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def test_single_variables_win(tmp_path):
    env = {**written(tmp_path, config()), "NODE_LISTEN": "127.0.0.2:80", "NODE_NAME": "n9"}
    made = load(env)
    assert made.listen == ("127.0.0.2", 80) and made.name == "n9" and made.seed == 255


@pytest.mark.parametrize(
    ("raw", "key"),
    [
        ("{", "NODE_CONFIG"),
        ("[]", "NODE_CONFIG"),
        (config(listen="here"), "listen"),
        (config(seed=7), "seed"),
        (config(discovery=None), "discovery"),
        (config(known=[]), "known"),
        (config(name=1), "name"),
        (config(limits={"sockets": "many"}), "limits.sockets"),
        (config(settings={}), "settings.classes"),
        (config(settings=None), "settings"),
        (config(listen="127.0.0.1:99999"), "listen"),
    ],
)
def test_bad_configuration_names_its_key(tmp_path, raw, key):
    with pytest.raises(ConfigError, match=key) as caught:
        load(written(tmp_path, raw))
    assert "\n" not in str(caught.value)


async def start(env):
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "hollyport", cwd=ROOT, env={**os.environ, **env}, stderr=asyncio.subprocess.PIPE
    )


def test_bad_configuration_exits_with_2_and_one_line(tmp_path):
    async def scene():
        process = await start(written(tmp_path, config(seed="xyz")))
        _, errors = await process.communicate()
        assert process.returncode == 2 and errors.count(b"\n") == 1 and b"seed" in errors

    play(scene)


def test_sigterm_answers_what_was_taken_and_still_takes_what_comes(tmp_path):
    async def scene():
        came, go = asyncio.Event(), asyncio.Event()

        async def slow(talk: Conversation, call: Call) -> None:
            if call.headers["x-request-id"] == "slow":
                came.set()
                await go.wait()
            await talk.answer(200, b"done")

        port = free_port()
        async with Server(slow) as server:
            raw = config(listen=f"127.0.0.1:{port}", known=listing(line("s1", server.port)))
            process = await start(written(tmp_path, raw))
            assert b"listening" in await process.stderr.readline()
            clients = [Client(*await asyncio.open_connection("127.0.0.1", port)) for _ in range(3)]
            taken = asyncio.ensure_future(clients[0].ask("single_shot", "slow"))
            await came.wait()
            process.send_signal(signal.SIGTERM)
            while True:  # until the signal has been seen
                await clients[1].send(b"GET /-/ready HTTP/1.1\r\nHost: app\r\n\r\n")
                status, headers, _ = await clients[1].answer()
                if status == 503:
                    break
            assert headers["connection"] == "close"
            late = Client(*await asyncio.open_connection("127.0.0.1", port))
            status, headers, _ = await late.ask("single_shot", "late")
            assert status == 200 and headers["connection"] == "close"
            assert await clients[2].reader.read() == b""  # an idle connection is closed
            go.set()
            assert (await taken)[2] == b"done"
            assert await asyncio.wait_for(process.wait(), LIMIT_S) == 0

    play(scene)


def test_a_file_read_again_wins_over_the_variable_that_held_at_the_start(tmp_path):
    """The bench and the platform leave NODE_DISCOVERY as it was: it must not hide the file's new address."""
    env = {**written(tmp_path, config(discovery="127.0.0.1:7")), "NODE_DISCOVERY": "127.0.0.1:5"}
    assert load(env).discovery == ("127.0.0.1", 5)
    assert load(env, again=True).discovery == ("127.0.0.1", 7)


def test_sighup_moves_to_the_new_discovery_and_a_bad_file_changes_nothing(tmp_path):
    """Found: SIGHUP killed the process. The new discovery may count its versions from lower."""

    async def scene():
        port, asked = free_port(), {"old": asyncio.Queue(), "new": asyncio.Queue()}

        def place(name: str, answer: dict):
            async def script(talk: Conversation, call: Call) -> None:
                asked[name].put_nowait(call.target)
                if "wait_ms=0" in call.target or "?" not in call.target:
                    await talk.answer(200, json.dumps(answer).encode())
                else:
                    await asyncio.sleep(60)

            return script

        async def serve(talk: Conversation, call: Call) -> None:
            await talk.answer(200, b"done")

        async with (
            Server(serve) as one,
            Server(serve) as two,
            Server(place("old", listing(line("s1", one.port), index=900))) as old,
            Server(place("new", listing(line("s2", two.port), index=3))) as new,
        ):
            raw = config(
                listen=f"127.0.0.1:{port}",
                discovery=f"127.0.0.1:{old.port}",
                settings=settings(discovery="subscribe", invariants={"mustAskInNs": 10**9}),
            )
            env = {**written(tmp_path, raw), "NODE_DISCOVERY": f"127.0.0.1:{old.port}"}
            process = await start(env)
            assert b"listening" in await process.stderr.readline()
            while "wait_ms=0" in await asked["old"].get():
                pass  # the watch is on
            client = Client(*await asyncio.open_connection("127.0.0.1", port))
            assert (await client.ask())[0] == 200 and len(one.calls) == 1

            written(tmp_path, "{")
            process.send_signal(signal.SIGHUP)
            assert b"old configuration kept" in await process.stderr.readline()
            assert (await client.ask())[0] == 200 and len(one.calls) == 2

            written(tmp_path, {**raw, "discovery": f"127.0.0.1:{new.port}"})
            process.send_signal(signal.SIGHUP)
            assert b"discovery at" in await process.stderr.readline()
            assert await asked["new"].get() == "/api/targets"  # the whole list first
            assert "after=3&" in await asked["new"].get()  # and on with its own numbers
            assert (await client.ask())[0] == 200 and len(two.calls) == 1
            process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), LIMIT_S) == 0

    play(scene)


def test_sighup_at_the_very_start_does_not_kill(tmp_path):
    async def scene():
        process = await start(written(tmp_path, config()))
        while process.returncode is None:  # from the first moment that the program has set it aside
            status = Path(f"/proc/{process.pid}/status").read_text()
            masks = dict(text.split(":\t") for text in status.splitlines() if text.startswith("Sig"))
            if (int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)) & 1:
                break
            await asyncio.sleep(0)
        process.send_signal(signal.SIGHUP)
        assert b"listening" in await process.stderr.readline()
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), LIMIT_S) == 0

    play(scene)


def test_sigterm_ends_a_sidecar_whose_log_nobody_reads_any_more(tmp_path):
    """Found: the line on the change of state could not be written, and the end was never begun."""

    async def scene():
        raw = config(listen=f"127.0.0.1:{free_port()}", known=listing(line("s1", 9)))
        process = await start(written(tmp_path, raw))
        assert b"listening" in await process.stderr.readline()
        process._transport.get_pipe_transport(2).close()
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), LIMIT_S) == 0

    play(scene)
