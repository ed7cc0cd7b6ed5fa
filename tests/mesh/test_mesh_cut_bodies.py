"""Bodies that are cut anywhere, while a sidecar, a server or a client goes away: what is reported as not run
has not run and never will, and the memory that clients held is given back."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable
from typing import Any, NamedTuple

import pytest
from calls_world import OUTBOUND_PORT, CallsWorld, Request
from hypothesis import given
from hypothesis import strategies as st
from operator_calls import InvariantViolation

from mesh.transport.memory_account import Charge

SETTLED_S = 0.3  # until all connections between sidecars are established
SCENARIO_S = 4.0
LINK_MBPS = 20.0  # bodies of over 50 kB are sent in chunks
SIZES = (0, 100, 60_000, 200_000)
CHUNKS = (0, 1, 700, 65_000)  # bytes; 0 stands for a body with a length
SMALL_MEMORY_MB = 0.4  # clients wait for each other
MAX_WIRE_BYTES = 40_000  # of a body in chunks of one byte
CLOSE, STAY, GO_ON = "close", "stay", "go on"


class Plan(NamedTuple):
    """What a client sends, up to where, and what it does then."""

    variant: str
    size: int
    chunk: int
    cut: float  # fraction of the bytes that are sent at first
    then: str
    pause_s: float

    def framed(self) -> tuple[str, bytes]:
        """Returns the header field of the body's framing, and the body as it is sent."""
        body = b"b" * (min(self.size, MAX_WIRE_BYTES) if self.chunk == 1 else self.size)
        if not self.chunk:
            return f"Content-Length: {len(body)}", body
        parts = [body[at : at + self.chunk] for at in range(0, len(body), self.chunk)]
        chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
        return "Transfer-Encoding: chunked", chunks + b"0\r\n\r\n"


PLANS = st.builds(
    Plan,
    st.sampled_from(["pure", "effectful"]),
    st.sampled_from(SIZES),
    st.sampled_from(CHUNKS),
    st.floats(0.0, 1.0),
    st.sampled_from([CLOSE, STAY, GO_ON]),
    st.floats(0.0, 0.5),
)


class CutRequest(Request):
    """A request that is sent as planned."""

    def __init__(self, world: CallsWorld, name: str, plan: Plan) -> None:
        framing, raw = plan.framed()
        length = min(plan.size, MAX_WIRE_BYTES) if plan.chunk == 1 else plan.size
        super().__init__(world, name, plan.variant, b"b" * length)
        self._plan, self.transport = plan, None
        head = (
            f"POST /{plan.variant}/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {name}\r\n"
            f"X-Deadline-Ms: 800\r\n{framing}\r\n\r\n"
        )
        self._raw = head.encode() + raw
        self._cut = int(plan.cut * len(self._raw))
        self.is_whole = plan.then == GO_ON or self._cut == len(self._raw)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if self._cut:
            transport.write(self._raw[: self._cut])
        self._world.after(self._plan.pause_s, self._go_on)

    def _go_on(self) -> None:
        if self._plan.then == CLOSE:
            self.transport.close()
        elif self._plan.then == GO_ON and self._cut < len(self._raw) and not self.transport.closed:
            self.transport.write(self._raw[self._cut :])


def no_fault(world: CallsWorld) -> None:
    pass


def kill_caller(world: CallsWorld) -> None:
    world.kill(world.caller)


def end_caller(world: CallsWorld) -> None:
    world.term(world.caller)


def kill_sidecar(world: CallsWorld) -> None:
    world.kill(world.servers[0])


def end_sidecar(world: CallsWorld) -> None:
    world.term(world.servers[0])


def power_off(world: CallsWorld) -> None:
    world.power_off(world.servers[0])


def kill_server(world: CallsWorld) -> None:
    sidecar = world.machines[world.servers[0]].process
    for process in [one for one in world.processes if one.host == world.servers[0] and one is not sidecar]:
        process.end(quietly=False)


Fault = Callable[[CallsWorld], None]
FAULTS: tuple[Fault, ...] = (
    no_fault,
    kill_caller,
    end_caller,
    kill_sidecar,
    end_sidecar,
    power_off,
    kill_server,
)


def run_scenario(plans: list[Plan], fault: Fault, fault_s: float, memory_mb: float) -> list[CutRequest]:
    """Runs clients with a fault at some time after their first bytes, and checks all rules.

    Memory has to be given back without the cyclic garbage collector, which may not run for long.
    """
    gc.disable()
    try:
        return _run_scenario(plans, fault, fault_s, memory_mb)
    finally:
        gc.enable()


def _run_scenario(plans: list[Plan], fault: Fault, fault_s: float, memory_mb: float) -> list[CutRequest]:
    with CallsWorld(1, LINK_MBPS, memory_mb) as world:
        requests = [CutRequest(world, f"r{number}", plan) for number, plan in enumerate(plans)]

        async def scenario() -> None:
            await asyncio.sleep(SETTLED_S)
            world.after(fault_s, lambda: fault(world))
            for request in requests:
                await connect(request)
            await asyncio.sleep(SCENARIO_S)
            for request in requests:
                if request.transport is not None:
                    request.transport.close()
            await asyncio.sleep(SCENARIO_S)

        async def connect(request: CutRequest) -> None:
            try:
                await world.operator.loop.create_connection(lambda: request, world.caller, OUTBOUND_PORT)
            except OSError:
                return
            world.requests.append(request)

        world.start()
        task = world.operator.run(scenario())
        if not world.run(60.0, task.done):
            raise InvariantViolation("the scenario does not end")
        task.result()
        _check_rules(world)
        return requests


def _check_rules(world: CallsWorld) -> None:
    for violation in world.violations():
        raise InvariantViolation(violation)
    for request in world.requests:
        if world.runs[request.name] and not request.is_whole:
            raise InvariantViolation(f"{request.name} ran without its whole body")
    for name in world.sidecars:
        role = world.controller(name)
        if role is None:
            continue
        memory = role.context.memory
        if memory.account.held or len(memory.policy) or memory.policy.waiting:
            raise InvariantViolation(f"{name} still holds {memory.account.held} bytes for clients")


@given(
    st.lists(PLANS, min_size=1, max_size=5),
    st.sampled_from(FAULTS),
    st.floats(0.0, 0.6),
    st.sampled_from([0.0, SMALL_MEMORY_MB]),
)
def test_rules_hold_wherever_bodies_are_cut(
    plans: list[Plan], fault: Fault, fault_s: float, memory_mb: float
) -> None:
    run_scenario(plans, fault, fault_s, memory_mb)


@pytest.mark.parametrize("chunk", CHUNKS[1:])
def test_whole_bodies_are_served(chunk: int) -> None:
    """Shows that the scenarios get as far as the servers."""
    plan = Plan("effectful", 200_000, chunk, 0.5, GO_ON, 0.1)
    requests = run_scenario([plan, plan._replace(chunk=0)], no_fault, 0.0, 0.0)
    assert [request.status for request in requests] == [200, 200]


def test_memory_that_is_not_given_back_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Charge, "__del__", lambda charge: None)
    with pytest.raises(InvariantViolation, match="still holds"):
        run_scenario([Plan("effectful", 100, 0, 1.0, GO_ON, 0.0)], no_fault, 0.0, 0.0)
