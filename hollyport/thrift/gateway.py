"""Thrift switched on: its listeners, its pool of nodes with a core of its own, and its counters.

Imported only where the operators' file has a `thrift` table.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

from dunefield.interface import SECOND, Settings
from hollyport.core.contract import Service
from hollyport.core.counters import Counters
from hollyport.guests.listener import Listener
from hollyport.http.back import HttpBack
from hollyport.lists.discovery import HTTP
from hollyport.lists.pools import NodeRule, Pools
from hollyport.nodes.back import Back, Beside
from hollyport.settings.options import BadValue
from hollyport.thrift.back import Probe, ThriftBack
from hollyport.thrift.front import Door, ThriftGuest, turned_away
from hollyport.thrift.methods import Members, Method, Methods, Origin
from hollyport.thrift.options import DETECT, POOL, ThriftOptions
from hollyport.thrift.stream import FORMS, MOST

if TYPE_CHECKING:
    from hollyport.guards.door import Answer
    from hollyport.guards.door import Door as Guard


def pool_settings(options: ThriftOptions, settings: Settings) -> Settings:
    """The platform's settings as they hold for these nodes: none is probed that can't be."""
    if options.probe is not None:
        return settings
    return replace(settings, limits=replace(settings.limits, may_probe=False))


def pools(options: ThriftOptions, settings: Settings) -> Pools:
    """Which nodes are whose."""
    speak = {HTTP: HTTP, **{f"{POOL}/{form}": POOL for form in FORMS}}
    rules = [
        NodeRule(f"{POOL}/{node.form}", node.names, node.halls, node.kinds, node.networks, node.ports)
        for node in options.nodes
    ]
    return Pools(speak, rules, settings)


def backs(options: ThriftOptions, settings: Settings) -> dict[str, Back]:
    """How nodes of each protocol are spoken to."""
    told, probe, beside = options.probe, None, None
    if told is not None and told.method:
        probe = Probe(told.method.encode(), told.inflight, told.queue)
    elif told is not None:
        beside = Beside(told.http_port, HttpBack(settings.reports != "none"))
    most = max(options.most, MOST)  # answers may be longer than calls
    return {f"{POOL}/{name}": ThriftBack(form, most, probe, beside) for name, form in FORMS.items()}


def check(options: ThriftOptions, settings: Settings) -> None:
    """Names of classes, members, halls and kinds must be the platform's. Raise BadValue."""
    classes = {c.name: c for c in settings.classes}
    for number, method in enumerate(options.methods):
        cls = classes.get(method.cls)
        if cls is None:
            raise BadValue(("methods", number, "class"), f"no such class: {method.cls!r}")
        if cls.retry_safety == "guarded" and not method.once:
            what = f"must be told: {cls.name} is a keyed class"
            raise BadValue(("methods", number, "idempotency_key"), what)
    members = {t.name for t in settings.tenants}
    for number, listener in enumerate(options.listeners):
        if listener.member and listener.member not in members:
            raise BadValue(("listeners", number, "member"), f"no such member: {listener.member!r}")
    for network, member in options.sources:
        if member not in members:
            raise BadValue(("sources", str(network)), f"no such member: {member!r}")
    for number, node in enumerate(options.nodes):
        told = (("halls", node.halls, settings.zones), ("kinds", node.kinds, settings.kinds))
        for key, names, known in told:
            for name in names:
                if name not in known:
                    raise BadValue(("nodes", number, key), f"not in the settings: {name!r}")


class Gateway:
    """The listeners of one daemon."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        options: ThriftOptions,
        settings: Settings,
        service: Service,
        counters: Counters,
        most: int,
        guard: Callable[[int, Answer], Guard | None],
    ) -> None:
        """`most`: connections that clients may hold on all listeners together."""
        self._options, self._loop = options, loop
        numbers = {c.name: i for i, c in enumerate(settings.classes)}
        tenants = {t.name: i for i, t in enumerate(settings.tenants)}
        nobody = -1 if tenants else 0
        methods = Methods({
            m.name: Method(numbers[m.cls], m.oneway, m.deadline, m.unit_ns, m.rid, m.member, m.key, m.once)
            for m in options.methods
        }, settings)  # fmt: skip
        members = Members([(network, tenants[name]) for network, name in options.sources])
        self.listeners: list[Listener] = []
        self._count = 0
        for told in options.listeners:
            default = tenants.get(told.member, nobody)
            door = Door(
                service, methods, None if told.form == DETECT else FORMS[told.form], options.most,
                lambda host, default=default: self._origin(members.of(host, default)),  # type: ignore[misc]
                tuple(c.target_ns / SECOND for c in settings.classes),
                tuple(c.name for c in settings.classes), counters.add,
            )  # fmt: skip
            part = max(1, most // len(options.listeners))
            self.listeners.append(
                Listener(
                    lambda listener, door=door: ThriftGuest(listener, loop, door),  # type: ignore[misc]
                    part,
                    part,
                    options.idle_s,
                    guard(part, partial(turned_away, door.form)),
                )
            )

    def _origin(self, tenant: int) -> Origin:
        self._count += 1
        return Origin(str(self._count), tenant)

    async def start(self) -> list[int]:
        """Listen; return the ports."""
        return [
            await listener.start(self._loop, told.address.host, told.address.port)
            for told, listener in zip(self._options.listeners, self.listeners, strict=True)
        ]
