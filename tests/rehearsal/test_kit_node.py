"""The stand-in for nodes on sockets: answers, silence, resets, refusals, and what is recorded of them."""

from __future__ import annotations

import asyncio
import json
import time

import pytest

from rehearsal import scenario as sc
from rehearsal.nodes.host import Host
from rehearsal.plan import Event, make
from rehearsal.worker import Clock, Lateness

LIMIT_S = 20
BASE = sc.load(sc.SHIPPED / "_base.toml")
PREFIX = "abcd1234"


def small(*events, **node):
    raw = BASE.model_dump(by_alias=True)
    raw["scale"]["small"].update(nodes=4, load=0.2, daemons=1)
    raw["node"].update({"error_part": 0.0, **node})
    for kind in raw["class"].values():
        kind.update(work_ms=10.0, cv=0.0, noise=0.0)
    plan = make(sc.Scenario.model_validate(raw), "small", "small", 1)
    return plan._replace(events=tuple(sorted(events)))


def play(plan, scene, tmp_path):
    path = tmp_path / "plan.jsonl"
    path.write_bytes(plan.dumps())

    async def whole():
        config = {"plan": str(path), "prefix": PREFIX, "first": 0, "step": 1}
        host = Host(config, Clock(time.monotonic_ns()), Lateness())
        host.opened()
        host.start()
        async with asyncio.timeout(LIMIT_S):
            await scene(host)
        return list(host.records())

    return asyncio.run(whole())


class Peer:
    """One connection to one door."""

    def __init__(self, host, node=0, hall=None):
        spec = host.nodes[node]
        self.address = spec.doors[spec.spec.hall if hall is None else hall].address

    async def __aenter__(self):
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        return self

    async def __aexit__(self, *exc):
        self.writer.transport.abort()

    async def ask(self, call=0, rid=None, timeout="0.8", path="/avail-read"):
        rid = rid or f"{PREFIX}{call:07x}1"
        self.writer.write(
            f"GET {path} HTTP/1.1\r\nHost: n\r\nX-Request-ID: {rid}\r\nX-Timeout: {timeout}\r\n\r\n".encode()
        )
        return await self.answer()

    async def probe(self, path="/-/load"):
        self.writer.write(f"GET {path} HTTP/1.1\r\nHost: n\r\n\r\n".encode())
        return await self.answer()

    async def answer(self):
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        return int(head.split()[1]), head, await self.reader.readexactly(length)


def attempts(records):
    return [row for row in records if row[0] == "attempt"]


def test_a_request_runs_and_its_answer_tells_whose_it_is(tmp_path):
    async def scene(host):
        async with Peer(host) as peer:
            status, _, body = await peer.ask(5)
            assert status == 200 and body == f"{PREFIX}00000051 ran on n000\n".encode()

    (row,) = attempts(play(small(), scene, tmp_path))
    _, rid, node, door, first, whole, began, ended, answered, how = row
    assert (rid, node, how) == (f"{PREFIX}00000051", 0, "ok")
    assert first <= whole <= began < ended <= answered and 8_000 < ended - began < 40_000


def test_a_full_node_turns_away_and_says_that_it_never_ran(tmp_path):
    async def scene(host):
        peers = [await Peer(host).__aenter__() for _ in range(6)]
        answers = await asyncio.gather(*(peer.ask(i) for i, peer in enumerate(peers)))
        statuses = [status for status, _, _ in answers]
        assert statuses.count(200) == 3 and statuses.count(503) == 3
        assert all(b"X-Not-Processed: 1" in head for status, head, _ in answers if status == 503)
        for peer in peers:
            await peer.__aexit__()

    rows = attempts(play(small(queue=[2, 2]), scene, tmp_path))
    assert sorted(row[9] for row in rows) == ["away"] * 3 + ["ok"] * 3
    assert all(row[6] == -1 for row in rows if row[9] == "away")


def test_probes_tell_the_load_and_drained_nodes_refuse_new_work(tmp_path):
    async def scene(host):
        async with Peer(host) as peer, Peer(host) as other:
            status, _, body = await peer.probe()
            assert status == 200 and json.loads(body) == {"inflight": 0, "queue": 0}
            running = asyncio.ensure_future(other.ask(1))
            while not host.nodes[0].attempts:
                await asyncio.sleep(0)
            host.nodes[0].apply(host.clock(), Event(0, "node", 0, "drain", 1.0))
            assert (await peer.probe())[0] == 503 and (await peer.probe("/-/healthy"))[0] == 503
            status, head, _ = await peer.ask(2)
            assert status == 503 and b"X-Not-Processed" in head
            assert (await running)[0] == 200  # what it has, it finishes
            assert (await peer.probe("/-/other"))[0] == 404

    rows = play(small(), scene, tmp_path)
    assert sum(row[3] for row in rows if row[0] == "door") == 4


def test_an_id_that_no_client_made_is_told_and_refused(tmp_path):
    async def scene(host):
        async with Peer(host) as peer:
            for rid in ("nonsense", PREFIX + "fffffff1", PREFIX + "xyz00001"):
                assert (await peer.ask(rid=rid))[0] == 400

    rows = play(small(), scene, tmp_path)
    assert len([row for row in rows if row[0] == "alien"]) == 3 and not attempts(rows)


@pytest.mark.parametrize(("mode", "ran"), [("reset-run", True), ("reset-unrun", False)])
def test_resets_before_and_after_the_work(tmp_path, mode, ran):
    async def scene(host):
        host.modes[mode] = 1.0
        async with Peer(host) as peer:
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await peer.ask(3)

    (row,) = attempts(play(small(), scene, tmp_path))
    assert row[9] == "reset" and (row[6] >= 0) is ran


def test_a_client_that_leaves_stops_no_work(tmp_path):
    async def scene(host):
        async with Peer(host) as peer:
            asking = asyncio.ensure_future(peer.ask(3))
            while not host.nodes[0].attempts:
                await asyncio.sleep(0)
            asking.cancel()
        while host.nodes[0].attempts[0].how == "open":
            await asyncio.sleep(0.005)

    (row,) = attempts(play(small(), scene, tmp_path))
    assert row[9] == "unheard" and row[6] >= 0


def test_a_process_that_dies_resets_refuses_and_comes_back_cold_at_its_address(tmp_path):
    async def scene(host):
        node = host.nodes[0]
        async with Peer(host) as peer:
            asking = asyncio.ensure_future(peer.ask(3))
            while not node.attempts:
                await asyncio.sleep(0)
            node.apply(host.clock(), Event(0, "node", 0, "die", 0.0))
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await asking
        with pytest.raises(ConnectionRefusedError):
            await Peer(host).__aenter__()
        node.apply(host.clock(), Event(0, "node", 0, "start", 0.0))
        assert node.model.warmth(host.clock()) < 0.5
        async with Peer(host) as peer:
            assert (await peer.ask(4))[0] == 200

    rows = attempts(play(small(), scene, tmp_path))
    assert [row[9] for row in rows] == ["died", "ok"]


def test_a_hall_that_is_cut_is_silent_to_others_alone_and_what_was_sent_may_have_run(tmp_path):
    """New connections never come up; open ones say nothing, and are reset when it is back."""

    async def scene(host):
        hall = host.nodes[0].spec.hall
        far = (hall + 1) % len(host.plan.halls)
        async with Peer(host, hall=far) as outside, Peer(host) as inside:
            assert (await outside.ask(1))[0] == 200
            for node in host.nodes.values():
                for door in node.doors:
                    door.set_cut((node.spec.hall == hall) != (door.hall == hall))
            asking = asyncio.ensure_future(outside.ask(2))
            assert (await inside.ask(3))[0] == 200
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.3):
                    await Peer(host, hall=far).__aenter__()
            assert not asking.done()
            for node in host.nodes.values():
                for door in node.doors:
                    door.set_cut(False)
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await asking
        async with Peer(host, hall=far) as peer:
            assert (await peer.ask(4))[0] == 200

    rows = attempts(play(small(), scene, tmp_path))
    assert {row[1][-2]: row[9] for row in rows} == {"1": "ok", "2": "silent", "3": "ok", "4": "ok"}


def test_a_node_that_stands_still_answers_when_it_goes_on(tmp_path):
    async def scene(host):
        async with Peer(host) as peer:
            host.nodes[0].apply(host.clock(), Event(0, "node", 0, "pause", 300_000.0))
            began = time.monotonic()
            assert (await peer.probe())[0] == 200
            assert time.monotonic() - began > 0.25
            assert (await peer.ask(1))[0] == 200

    play(small(), scene, tmp_path)


@pytest.mark.parametrize("kind", ["noise", "endless", "short", "huge"])
def test_spoilt_answers_are_no_answers(tmp_path, kind):
    async def scene(host):
        from rehearsal.nodes import host as module

        host.modes["spoilt"] = 1.0
        kinds, module.SPOILT = module.SPOILT, (kind,)
        try:
            async with Peer(host) as peer:
                asking = asyncio.ensure_future(peer.ask(1))
                while not host.nodes[0].attempts or host.nodes[0].attempts[0].how == "open":
                    await asyncio.sleep(0.002)
                await asyncio.sleep(0.05)
                if kind == "huge":
                    assert not asking.done()
                asking.cancel()
        finally:
            module.SPOILT = kinds

    (row,) = attempts(play(small(), scene, tmp_path))
    assert row[9] == "spoilt" and row[6] >= 0


def test_a_connection_that_was_dropped_unseen_resets_the_next_request(tmp_path):
    async def scene(host):
        host.stale_us = 50_000
        async with Peer(host) as peer:
            assert (await peer.ask(1))[0] == 200
            assert (await peer.ask(2))[0] == 200
            await asyncio.sleep(0.1)
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await peer.ask(3)

    assert [row[9] for row in attempts(play(small(), scene, tmp_path))] == ["ok", "ok", "stale"]


def test_a_node_that_is_mute_takes_and_says_nothing(tmp_path):
    async def scene(host):
        host.nodes[0].mute = True
        async with Peer(host) as peer:
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.2):
                    await peer.ask(1)

    assert [row[9] for row in attempts(play(small(), scene, tmp_path))] == ["silent"]


def test_idle_connections_are_closed_and_too_many_are_turned_away(tmp_path):
    async def scene(host):
        async with Peer(host) as first, Peer(host) as second, Peer(host) as third:
            await first.ask(1)
            await second.ask(2)
            status, head, _ = await third.ask(3)
            assert status == 503 and b"X-Not-Processed" in head
            assert await first.reader.read() == b""  # after idle_s

    play(small(connections=2, idle_s=0.3), scene, tmp_path)
