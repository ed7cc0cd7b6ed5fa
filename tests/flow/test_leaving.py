"""The end of a large answer on a connection that is to close after it."""

from __future__ import annotations

import asyncio

from backend import Server, line, ok, play, sidecar

from hollyport.http.front import ClientConnection


class Slow:
    """A transport whose client takes some of what is left at each look, and then no more."""

    def __init__(self, left: list[int]) -> None:
        self.left, self.aborted = left, False

    def get_write_buffer_size(self) -> int:
        return self.left.pop(0) if len(self.left) > 1 else self.left[0]

    def abort(self) -> None:
        self.aborted = True


def test_what_a_slow_client_still_takes_is_not_cut_off_and_one_that_takes_nothing_is_ended():
    """Found on reading: 2 s after the last byte was handed over the rest of an answer was thrown away."""

    async def scene():
        async with Server(ok) as server, sidecar(line("s1", server.port)) as world:
            listener, loop = world.sidecar._listener, asyncio.get_running_loop()
            guest = ClientConnection(listener, loop, world.sidecar.core, None, {}, None)
            guest._transport = slow = Slow([300_000, 200_000, 200_000, 200_000])
            listener.connections.add(guest)
            looks = []
            for _ in range(3):
                listener.move(guest, listener.leaving)
                listener.leaving[guest] = loop.time() - 10.0
                listener._sweep()
                looks.append(slow.aborted)
            assert looks == [False, False, True]
            slow.left = [5]
            assert listener.busy()
            slow.left = [0]
            assert not listener.busy()

    play(scene)
