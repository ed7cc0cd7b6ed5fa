"""Registers the application beside the daemon: once, renewed, again where the registry has forgotten, with a
status that operators may override, and taken off.

Source: the wiki "Eureka REST operations": POST /apps/{app}, PUT and DELETE /apps/{app}/{id}, and for the
override PUT and DELETE /apps/{app}/{id}/status.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
from urllib.parse import quote

from hollyport.registries.eureka.source import Requests
from hollyport.registries.http import Place, RegistryError
from hollyport.registries.options import EurekaOptions, Registration

RETRY_S = 1.0
UP = "UP"


def document(told: Registration, status: str) -> bytes:
    """The instance as it is posted."""
    return json.dumps(
        {
            "instance": {
                "instanceId": told.instance,
                "hostName": told.host,
                "app": told.app.upper(),
                "ipAddr": told.ip,
                "vipAddress": told.vip,
                "status": status,
                "port": {"$": told.port, "@enabled": "true"},
                "securePort": {"$": 443, "@enabled": "false"},
                "dataCenterInfo": {
                    "@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo",
                    "name": "MyOwn",
                },
                "leaseInfo": {
                    "renewalIntervalInSecs": max(1, round(told.renew_s)),
                    "durationInSecs": max(1, round(told.lease_s)),
                },
                "metadata": dict(told.metadata),
            }
        }
    ).encode()


class Registrar:
    """Keeps one registration alive."""

    def __init__(self, options: EurekaOptions, told: Registration) -> None:
        self._requests, self._told = Requests(options), told
        self._places = [place for place, _ in options.places]
        self._at = 0
        self._app = f"/apps/{quote(told.app.upper(), safe='')}"
        self._path = f"{self._app}/{quote(told.instance, safe='')}"
        self.registered = False
        self._wanted = told.status
        self._overridden = UP  # what this registrar has set; an override by somebody else is left alone
        self._wake = asyncio.Event()

    def want(self, status: str) -> None:
        """Operators want another status: the registry is told now, not with the next renewal."""
        if status != self._wanted:
            self._wanted = status
            self._wake.set()

    async def follow(self) -> None:
        """Register, and renew for good."""
        while True:
            self._wake.clear()
            pause = self._told.renew_s
            try:
                await self._renew() if self.registered else await self._register()
                if self._overridden != self._wanted:
                    await self._override(self._wanted)
            except OSError as error:
                self._at += 1  # another address, if there is one
                print(f"registry: registration failed: {error!s:.200}", file=sys.stderr, flush=True)
                pause = min(RETRY_S, pause)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    await self._wake.wait()

    async def _register(self) -> None:
        # Posted with the status that is wanted: an override only follows, and nobody must be sent there
        # in between.
        made = document(self._told, self._wanted)
        answer = await self._requests.ask(self._place(), "POST", self._app, made)
        if answer.status not in (200, 204):
            raise RegistryError(f"answered {answer.status} to the registration")
        self.registered, self._overridden = True, UP

    async def _renew(self) -> None:
        answer = await self._requests.ask(self._place(), "PUT", f"{self._path}?status={self._wanted}")
        if answer.status == 404:  # it has forgotten, or was started anew
            self.registered = False
            await self._register()
        elif answer.status != 200:
            raise RegistryError(f"answered {answer.status} to the renewal")

    async def _override(self, status: str) -> None:
        method = "DELETE" if status == UP else "PUT"
        answer = await self._requests.ask(self._place(), method, f"{self._path}/status?value={status}")
        if answer.status != 200:
            raise RegistryError(f"answered {answer.status} to the status {status}")
        self._overridden = status

    async def take_off(self) -> None:
        """Tell the registry that nothing more is to come here."""
        if not self.registered:
            return
        try:
            await self._requests.ask(self._place(), "DELETE", self._path)
        except OSError as error:
            print(f"registry: could not be told of the end: {error!s:.200}", file=sys.stderr, flush=True)
        self.registered = False

    def _place(self) -> Place:
        return self._places[self._at % len(self._places)]
