"""Calls without an idempotency key while a sidecar or server crashes, freezes or is partitioned, at each
point of a scenario."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from calls_world import BODY, DEADLINE_S, SLACK_S, CallsWorld
from operator_calls import InvariantViolation

from mesh.errors import ErrorKind
from mesh.proxy.forwarder import Forwarder
from mesh.transport.messages import ForwardAnswer

FROZEN_S, CUT_S, RESTART_DELAY_S = 0.4, 1.5, 0.3
SETTLED_S = 0.3  # until all connections between sidecars are established
SEEDS = range(3)
CALLS = (("pure", b""), ("effectful", b"x" * 100), ("effectful", BODY), ("pure", BODY), ("effectful", b""))

Fault = Callable[[CallsWorld, str, str], str]
"""Injects a fault when bytes of one host arrive at another; returns the host that it affects."""


def _server_of(world: CallsWorld, at: str, by: str) -> str:
    return next((name for name in (at, by) if name in world.servers), world.servers[0])


def kill_caller(world: CallsWorld, at: str, by: str) -> str:
    world.kill(world.caller)
    world.after(RESTART_DELAY_S, lambda: world.start_sidecar(world.caller))
    return world.caller


def kill_sidecar(world: CallsWorld, at: str, by: str) -> str:
    name = _server_of(world, at, by)
    world.kill(name)
    world.after(RESTART_DELAY_S, lambda: world.start_sidecar(name))
    return name


def power_off(world: CallsWorld, at: str, by: str) -> str:
    name = _server_of(world, at, by)
    world.power_off(name)
    for process in [one for one in world.processes if one.host == name]:
        process.end(quietly=True)
    return name


def kill_server(world: CallsWorld, at: str, by: str) -> str:
    """Kills the server alone; it restarts with the same instance id."""
    name = _server_of(world, at, by)
    sidecar = world.machines[name].process
    for process in [one for one in world.processes if one.host == name and one is not sidecar]:
        process.end(quietly=False)
    world.after(RESTART_DELAY_S, lambda: world.start_app(name))
    return name


def freeze_caller(world: CallsWorld, at: str, by: str) -> str:
    world.freeze(world.caller, FROZEN_S)
    return world.caller


def freeze_sidecar(world: CallsWorld, at: str, by: str) -> str:
    name = _server_of(world, at, by)
    world.freeze(name, FROZEN_S)
    return name


def cut_servers_machine(world: CallsWorld, at: str, by: str) -> str:
    name = _server_of(world, at, by)
    world.cut(name, CUT_S)
    return name


FAULTS: tuple[Fault, ...] = (
    kill_caller,
    kill_sidecar,
    power_off,
    kill_server,
    freeze_caller,
    freeze_sidecar,
    cut_servers_machine,
)


def run_scenario(seed: int, fault: Fault | None = None, at: int = 0) -> int:
    """Runs a scenario and returns its number of points. Raises `Broken` if a rule is violated."""
    with CallsWorld(seed) as world:
        faulted_hosts: list[str] = []

        def arm() -> None:
            world.points, world.fault_at = 0, at

        def inject(at_host: str, by_host: str) -> None:
            assert fault is not None
            faulted_hosts.append(fault(world, at_host, by_host))

        async def scenario() -> None:
            await asyncio.sleep(SETTLED_S)
            arm()
            for number, (variant, body) in enumerate(CALLS):
                await world.send(f"{variant}-{number}", variant, body)
                await asyncio.sleep(0.01)
            await asyncio.sleep(CUT_S + DEADLINE_S)

        world.on_fault = inject
        world.start()
        task = world.operator.run(scenario())
        if not world.run(30.0, task.done):
            raise InvariantViolation("the scenario does not end")
        task.result()
        _check_rules(world, faulted_hosts)
        return world.points


def _check_rules(world: CallsWorld, faulted_hosts: list[str]) -> None:
    """Checks all rules after the end of a scenario."""
    for violation in world.violations():
        raise InvariantViolation(violation)
    caller_unharmed = world.caller not in faulted_hosts
    limit_s = DEADLINE_S + SLACK_S + (0.0 if caller_unharmed else FROZEN_S)
    for request in world.requests:
        if request.ended and caller_unharmed:
            raise InvariantViolation(f"{request.name} got no answer from a sidecar without a fault")
        if request.status and request.answered_at - request.sent_at > limit_s:
            raise InvariantViolation(
                f"{request.name} was answered after {request.answered_at - request.sent_at:.2f} s"
            )
        if not request.status and not request.ended:
            raise InvariantViolation(f"{request.name} waits forever")
    for name in world.sidecars:
        role = world.controller(name)
        if role is not None and (role.context.open_requests or role.context.open_calls):
            raise InvariantViolation(f"{name} still counts open calls")


def test_without_a_fault_each_call_runs_once_and_is_answered() -> None:
    for seed in SEEDS:
        assert run_scenario(seed) > 30


@pytest.mark.parametrize("fault", FAULTS)
def test_rules_hold_with_any_fault_at_any_point(fault: Fault) -> None:
    for seed in SEEDS:
        for at in range(1, run_scenario(seed) + 1):
            run_scenario(seed, fault, at)


def is_broken_by(faults: tuple[Fault, ...]) -> bool:
    """Returns whether a rule is violated in some scenario."""
    for fault in faults:
        for at in range(1, run_scenario(0) + 1):
            try:
                run_scenario(0, fault, at)
            except InvariantViolation:
                return True
    return False


def report_lost_calls_as_not_run(patch: pytest.MonkeyPatch) -> None:
    """Calls on a lost connection are reported as not run."""

    def link_lost(forwarder: Forwarder, node: str) -> None:
        for number, offer in list(forwarder.attempts.items()):
            if offer.endpoint.node == node:
                forwarder.finish_attempt(ForwardAnswer.failed(number, ErrorKind.LEAVING))

    patch.setattr(Forwarder, "_on_connection_lost", link_lost)


def retry_any_call(patch: pytest.MonkeyPatch) -> None:
    """Any call that may have run is sent to another server."""
    plain = Forwarder._may_try_another

    def goes_on(now: float, request: object, error: ErrorKind) -> bool:
        return error == ErrorKind.BROKEN or plain(now, request, error)  # type: ignore[arg-type]

    patch.setattr(Forwarder, "_may_try_another", staticmethod(goes_on))


def ignore_lost_connections(patch: pytest.MonkeyPatch) -> None:
    """Lost connections are not noticed."""
    patch.setattr(Forwarder, "_on_connection_lost", lambda forwarder, node: None)
    patch.setattr(Forwarder, "on_deadline", lambda forwarder, request: None)


@pytest.mark.parametrize("mutation", [report_lost_calls_as_not_run, retry_any_call, ignore_lost_connections])
def test_mutations_are_detected(
    mutation: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    mutation(monkeypatch)
    assert is_broken_by((kill_sidecar, power_off))
