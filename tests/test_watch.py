"""Discovery over loopback sockets: lists, watches, failures, drains and restarts."""

from __future__ import annotations

import asyncio
from urllib.parse import parse_qs, urlsplit

from backend import Call, Conversation, Server, dump, line, listing, ok, play, settings, sidecar

ASKS = settings(discovery="subscribe", invariants={"mustAskInNs": 10**9})  # the shortest: asks come soon


class Registry:
    """A scripted discovery: each call takes the next answer, and waits where none is left."""

    def __init__(self, *answers: object) -> None:
        self.answers: asyncio.Queue[object] = asyncio.Queue()
        self.asked: asyncio.Queue[tuple[int, dict[str, list[str]], float]] = asyncio.Queue()
        for answer in answers:
            self.answers.put_nowait(answer)

    async def __call__(self, talk: Conversation, call: Call) -> None:
        url = urlsplit(call.target)
        assert url.path == "/api/targets"
        at = asyncio.get_running_loop().time()
        self.asked.put_nowait((talk.number, parse_qs(url.query), at))
        answer = await self.answers.get()
        if answer is None:
            talk.reset()
        elif isinstance(answer, int):
            await talk.answer(answer)
        else:
            await talk.answer(200, answer if isinstance(answer, bytes) else dump(answer))


def test_watch_goes_on_at_once_on_one_connection_with_the_new_version():
    async def scene():
        async with Server(ok) as server:
            change = listing(line("s1", server.port), index=9, snapshot=False)
            registry = Registry(listing(index=7, snapshot=False), change)
            async with Server(registry) as place, sidecar(discovery=place.port, raw=ASKS) as world:
                calls = [await registry.asked.get() for _ in range(3)]
                assert {number for number, _, _ in calls} == {1}
                assert [query["after"] for _, query, _ in calls] == [["1"], ["7"], ["9"]]
                assert calls[0][1]["wait_ms"] == ["0"] and int(calls[1][1]["wait_ms"][0]) > 0
                assert (await (await world.client()).ask())[0] == 200

    play(scene)


def test_failures_are_told_once_and_the_module_asks_again():
    async def scene():
        broken = [503, None, b"{not json", listing(), dump([1])]
        registry = Registry(*broken)
        async with Server(registry) as place, sidecar(discovery=place.port, raw=ASKS) as world:
            told = []
            module = world.sidecar.core._module
            handle = module.handle
            module.handle = lambda now, event: (told.append(event), handle(now, event))[1]
            for _ in range(len(broken) + 1):
                await registry.asked.get()
            scopes = [event.scope for event in told if hasattr(event, "scope")]
            assert scopes == ["FAILED", "FAILED", "FAILED", "FULL", "FAILED"]

    play(scene)


def test_bad_entries_cost_only_themselves(capfd):
    async def scene():
        async with Server(ok) as server:
            bad = [
                7,
                {},
                line("x", 1, address="nowhere"),
                line("y", 1, weight="heavy"),
                line("z", 1, group=None),
                line("q", 1, zone=[]),
                line("s2", server.port, status="ODD"),
            ]
            registry = Registry({"index": 3, "snapshot": True, "endpoints": [*bad, line("s1", server.port)]})
            async with Server(registry) as place, sidecar(discovery=place.port, raw=ASKS) as world:
                for _ in range(2):
                    await registry.asked.get()
                assert (await (await world.client()).ask())[0] == 200

    play(scene)
    assert "entry left out" in capfd.readouterr().err


def test_nothing_new_goes_to_a_draining_server_and_a_restart_begins_a_new_pool():
    async def scene():
        async with Server(ok) as old, Server(ok) as new:
            registry = Registry(listing(index=2, snapshot=False))
            async with (
                Server(registry) as place,
                sidecar(line("s1", old.port), discovery=place.port, raw=ASKS) as world,
            ):
                client = await world.client()
                assert (await client.ask("single_shot", "1"))[0] == 200
                for _ in range(2):
                    await registry.asked.get()
                registry.answers.put_nowait(
                    listing(line("s1", old.port, status="DRAINING"), index=3, snapshot=False)
                )
                await registry.asked.get()
                assert (await client.ask("single_shot", "2", timeout="1"))[0] == 503 and len(old.calls) == 1
                registry.answers.put_nowait(
                    listing(line("s1", old.port, since_ms=1000), index=4, snapshot=False)
                )
                await registry.asked.get()
                assert (await client.ask("single_shot", "3"))[0] == 200
                assert old.connections == 2  # the process before is not talked to on its connection
                registry.answers.put_nowait(
                    listing(line("s1", new.port, since_ms=1000), index=5, snapshot=False)
                )
                await registry.asked.get()
                assert (await client.ask("single_shot", "4"))[0] == 200 and len(new.calls) == 1
                registry.answers.put_nowait(
                    listing(line("s1", new.port, status="DELETED"), index=6, snapshot=False)
                )
                await registry.asked.get()
                assert (await client.ask("single_shot", "5", timeout="1"))[0] == 503 and len(new.calls) == 1
                assert not world.sidecar._upstream._targets

    play(scene)


def test_a_pushed_list_is_followed_without_being_asked_for_and_survives_failures():
    async def scene():
        async with Server(ok) as server:
            registry = Registry(503, listing(line("s1", server.port), index=2))
            raw = settings(discovery="automatic")
            async with Server(registry) as agent, sidecar(discovery=agent.port, raw=raw) as world:
                told = []
                module = world.sidecar.core._module
                handle = module.handle
                module.handle = lambda now, event: (told.append(event), handle(now, event))[1]
                for _ in range(3):
                    await registry.asked.get()
                assert [event.scope for event in told] == ["FULL"]
                assert (await (await world.client()).ask())[0] == 200

    play(scene)


def test_a_watch_that_breaks_in_an_unforeseen_way_is_told_as_failed(monkeypatch, capfd):
    async def scene():
        registry = Registry(listing(), listing())
        async with Server(registry) as place, sidecar(discovery=place.port, raw=ASKS) as world:
            with monkeypatch.context() as patch:
                patch.setattr("hollyport.lists.discovery.read_listing", lambda raw, settings: 1 // 0)
                for _ in range(2):  # the second call proves that the module asked again
                    await registry.asked.get()
            assert world.sidecar.core.ready() is False

    play(scene)
    assert "ZeroDivisionError" in capfd.readouterr().err


def test_a_silent_or_broken_watch_costs_a_part_of_the_time_a_list_may_be_old():
    """Found: a watch waited for all of that time and two seconds more, its connection being silent, and one
    failure more than doubled it: through a release a sidecar knew none of the new servers for 19 s."""

    async def scene():
        may_be_old = 60.0
        raw = settings(discovery="subscribe", invariants={"mustAskInNs": int(may_be_old * 1e9)})
        registry = Registry()
        async with Server(registry) as place, sidecar(discovery=place.port, raw=raw) as world:
            module = world.sidecar.core._module
            failed, handle = asyncio.Event(), module.handle

            def watch(now, event):
                done = handle(now, event)
                if getattr(event, "scope", "") == "FAILED":
                    failed.set()
                return done

            module.handle = watch
            registry.answers.put_nowait(listing())
            for _ in range(2):
                _, query, _ = await registry.asked.get()
            assert 0 < int(query["wait_ms"][0]) / 1e3 <= may_be_old / 4
            registry.answers.put_nowait(None)
            await failed.wait()
            assert (module.server_subset.next_subscribe_at - world.sidecar._clock()) / 1e9 <= may_be_old / 4

    play(scene)
