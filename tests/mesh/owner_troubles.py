"""Random troubles of a world in which servers hold keys. Each returns for how many seconds it goes on."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from fake_machines import Process
from key_server import KeyServer
from owner_world import OwnerWorld

from mesh.state.shards import KEY_COUNT
from mesh.transport import messages
from mesh.transport.messages import kind_of
from rehearsal.mesh.key_ranges import KeyRange

Trouble = Callable[[OwnerWorld], float]

BACK_S = (0.05, 2.0)  # until a process that was killed runs again
SERVER_BACK_S = (0.5, 4.0)
STOPPED_S = 6.0  # until a sidecar has ended that was told to
FREEZES_S = (0.3, 1.0, 3.0, 7.0)
CUTS_S = (0.5, 2.0, 6.0, 12.0)
CUTS_AT_PROPOSALS_S = (0.5, 3.0)  # about as long as leases and the delay until a range is assigned again
DRAINS_S = (0.0, 0.3, 1.6)  # without, a server only says goodbye
LINGER_S = 1.5  # the most that a server is up after it has said goodbye
DISTURBANCES_S = (1.0, 4.0)
HOT_S = 8.0
HOT_KEYS = 8192
REPLACED_AFTER_S = (3.0, 7.0)  # a controller that is off for so long is replaced by a spare


# --- sidecars


def sidecar_killed(world: OwnerWorld) -> float:
    name, back_s = world.draw.choice(world.sidecars), world.draw.uniform(*BACK_S)
    world.kill_sidecar(name, back_s)
    return back_s


def sidecar_stopped(world: OwnerWorld) -> float:
    """A sidecar drains and ends by itself; its next process starts once it has ended."""
    back_s = STOPPED_S + world.draw.uniform(*BACK_S)
    world.stop_sidecar(world.draw.choice(world.sidecars), back_s)
    return back_s


def sidecar_frozen(world: OwnerWorld) -> float:
    return _freeze(world, world.draw.choice(world.sidecars))


def sidecar_to_freeze_as_it_asks(world: OwnerWorld) -> float:
    """Freezes the next sidecar that has asked for leases, before it reads the answers."""

    def sidecar_freezes_as_it_asks(voter: Process, asker: Process) -> float:
        return _freeze(world, asker.host)

    world.traps[kind_of(messages.RenewLease)] = sidecar_freezes_as_it_asks
    return 0.0


def sidecar_cut_from_all_controllers(world: OwnerWorld) -> float:
    name = world.draw.choice(world.sidecars)
    return _cut(world, name, world.controllers + world.spares)


def sidecar_cut_from_some_controllers(world: OwnerWorld) -> float:
    name = world.draw.choice(world.sidecars)
    some = world.draw.sample(world.controllers, world.draw.randint(1, len(world.controllers) - 1))
    return _cut(world, name, some)


def sidecar_killed_behind_a_cut(world: OwnerWorld) -> float:
    """Restarts a sidecar whose server's ranges have just been told to move."""
    name, back_s = world.draw.choice(world.sidecars), world.draw.uniform(*BACK_S)
    world.kill_sidecar(name, back_s)
    return max(back_s, _cut(world, name, world.controllers))


# --- servers


def server_crashes(world: OwnerWorld) -> float:
    server, back_s = _server(world), world.draw.uniform(*SERVER_BACK_S)
    if server is None:
        return 0.0
    server.end()
    return _restart_server(world, server.host, back_s)


def server_leaves(world: OwnerWorld) -> float:
    """A server drains or not, says goodbye, and lingers for a while; its next life begins later."""
    server = _server(world)
    if server is None:
        return 0.0
    drain_s, linger_s = world.draw.choice(DRAINS_S), world.draw.uniform(0.0, LINGER_S)
    server.process.run(server.leave(drain_s, linger_s))
    return _restart_server(world, server.host, drain_s + linger_s + world.draw.uniform(*SERVER_BACK_S))


def server_and_sidecar_crash(world: OwnerWorld) -> float:
    name, back_s = world.draw.choice(world.sidecars), world.draw.uniform(*BACK_S)
    world.kill_sidecar(name, back_s)
    if name in world.servers:
        world.servers[name].end()
    return max(back_s, _restart_server(world, name, world.draw.uniform(*SERVER_BACK_S)))


def server_joins(world: OwnerWorld) -> float:
    if not world.joiners:
        return 0.0
    name = world.joiners.pop()
    world.sidecars.append(name)
    world.start_sidecar(name)
    world.after(world.draw.uniform(0.0, 1.0), lambda: world.start_server(name))
    return 1.0


def keys_become_hot(world: OwnerWorld) -> float:
    """All requests are for some of the keys, so that ranges move between servers that are up."""
    first = world.draw.randrange(KEY_COUNT - HOT_KEYS)
    world.hot_keys = KeyRange(first, first + HOT_KEYS - 1)
    world.hot_until = world.now + HOT_S
    return HOT_S


def heartbeats_disturbed(world: OwnerWorld) -> float:
    """Heartbeats, calls and their answers come late within a machine or two; some heartbeats are lost."""
    for_s = world.draw.choice(DISTURBANCES_S)
    for name in world.draw.sample(world.sidecars, min(2, len(world.sidecars))):
        world.disturbed_until[name] = world.now + for_s
    return for_s


# --- controllers


def controller_killed(world: OwnerWorld) -> float:
    back_s = world.draw.uniform(*BACK_S)
    world.kill(world.draw.choice(world.controllers), back_s)
    return back_s


def controller_frozen(world: OwnerWorld) -> float:
    return _freeze(world, world.draw.choice(world.controllers))


def controller_loses_power(world: OwnerWorld) -> float:
    back_s = world.draw.uniform(*BACK_S)
    world.power_off(world.draw.choice(world.controllers), back_s)
    return back_s


def controller_loses_disk(world: OwnerWorld) -> float:
    back_s = world.draw.uniform(*BACK_S)
    return back_s if world.lose(world.draw.choice(world.controllers), back_s) else 0.0


def controller_cut_off(world: OwnerWorld) -> float:
    name = world.draw.choice(world.controllers)
    others = [other for other in world.machines if other != name]
    return _cut(world, name, world.draw.sample(others, world.draw.randint(1, len(others))))


def split(world: OwnerWorld) -> float:
    """Partitions a minority of the controllers with some sidecars from all others."""
    draw = world.draw
    minority = draw.sample(world.controllers, (len(world.controllers) - 1) // 2)
    here = {*minority, *draw.sample(world.sidecars, draw.randint(1, len(world.sidecars) - 1))}
    others = [name for name in world.machines if name not in here]
    for_s = draw.choice(CUTS_S)
    for name in here:
        world.cut(name, for_s, others)
    return for_s


def voters_change(world: OwnerWorld) -> float:
    """Switches a controller off for so long that a spare, if there is one, takes its place."""
    back_s = world.draw.uniform(*REPLACED_AFTER_S)
    world.power_off(world.draw.choice(world.controllers), back_s)
    return back_s


def cut_at_the_next_proposal(world: OwnerWorld) -> float:
    """Cuts some connections when the first voter has accepted the next change; makes ranges move."""
    draw = world.draw

    def proposer_cut_off(proposer: Process, voter: Process) -> float:
        for_s = draw.uniform(*CUTS_AT_PROPOSALS_S)
        others = [name for name in world.controllers + world.spares if name != proposer.host]
        world.after(draw.uniform(0.0, 0.01), lambda: world.cut(proposer.host, for_s, others))
        return for_s

    def sidecars_cut_off(proposer: Process, voter: Process) -> float:
        for_s = draw.choice(CUTS_S)
        for name in draw.sample(world.sidecars, draw.randint(1, len(world.sidecars))):
            world.cut(name, for_s, world.controllers + world.spares)
        return for_s

    world.traps[kind_of(messages.AcceptAnswer)] = draw.choice((proposer_cut_off, sidecars_cut_off))
    return draw.choice((server_joins, keys_become_hot, server_leaves, server_crashes))(world)


# --- everything


def all_lose_power(world: OwnerWorld) -> float:
    """Switches everything off, and on again in any order."""
    draw, latest_s = world.draw, 0.0
    for name in [*world.controllers, *world.spares]:
        back_s = draw.uniform(0.1, 1.0)
        world.power_off(name, back_s)
        latest_s = max(latest_s, back_s)
    for name in world.sidecars:
        back_s, server_back_s = draw.uniform(0.1, 1.0), draw.uniform(*SERVER_BACK_S)
        world.power_off(name)
        if name in world.servers:
            world.servers[name].end(quietly=True)
        world.after(back_s, lambda name=name: world.start_sidecar(name))  # type: ignore[misc]
        latest_s = max(latest_s, _restart_server(world, name, 1.0 + server_back_s))
    return latest_s


def controllers_lose_power(world: OwnerWorld) -> float:
    latest_s = 0.0
    for name in [*world.controllers, *world.spares]:
        back_s = world.draw.uniform(0.1, 1.0)
        world.power_off(name, back_s)
        latest_s = max(latest_s, back_s)
    return latest_s


def _server(world: OwnerWorld) -> KeyServer | None:
    """Returns the server of a random machine, if it is up and not about to leave."""
    server = world.servers.get(world.draw.choice(world.sidecars))
    return server if server is not None and server.process.alive and server.is_ready else None


def _restart_server(world: OwnerWorld, name: str, back_s: float) -> float:
    world.after(back_s, lambda: world.start_server(name))
    return back_s


def _freeze(world: OwnerWorld, name: str) -> float:
    process: Process | None = world.machines[name].process
    for_s = world.draw.choice(FREEZES_S)
    if process is None or not process.alive or process.frozen:
        return 0.0
    world.freeze(name, for_s)
    return for_s


def _cut(world: OwnerWorld, name: str, others: Sequence[str]) -> float:
    """Cuts a machine off from others, both ways or one."""
    for_s, direction = world.draw.choice(CUTS_S), world.draw.choice(("both", "out", "in"))
    if direction == "both":
        world.cut(name, for_s, others)
    else:
        world.cut_one_way(name, for_s, others, direction == "out")
    return for_s


TROUBLES: tuple[Trouble, ...] = (
    sidecar_killed,
    sidecar_stopped,
    sidecar_frozen,
    sidecar_to_freeze_as_it_asks,
    sidecar_to_freeze_as_it_asks,
    sidecar_cut_from_all_controllers,
    sidecar_cut_from_all_controllers,
    sidecar_cut_from_some_controllers,
    sidecar_killed_behind_a_cut,
    server_crashes,
    server_crashes,
    server_leaves,
    server_leaves,
    server_and_sidecar_crash,
    server_joins,
    keys_become_hot,
    keys_become_hot,
    heartbeats_disturbed,
    heartbeats_disturbed,
    controller_killed,
    controller_frozen,
    controller_loses_power,
    controller_loses_disk,
    controller_cut_off,
    split,
    split,
    voters_change,
    cut_at_the_next_proposal,
    cut_at_the_next_proposal,
    all_lose_power,
    controllers_lose_power,
)
