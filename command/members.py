"""What several sidecars' second addresses say of their fleet, put beside each other."""

from __future__ import annotations

import http.client
import json
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

WAIT_S = 3.0
AT_ONCE = 16
MOST = 8 << 20  # bytes of an answer


def _page(address: str) -> dict[str, Any]:
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=WAIT_S)
    try:
        connection.request("GET", "/api/fleet")
        answer = connection.getresponse()
        body = answer.read(MOST)
        if answer.status == 404:
            raise ValueError("its fleet part is off")
        if answer.status != 200:
            raise ValueError(f"answered {answer.status}")
        made = json.loads(body)
        if not isinstance(made, dict) or "members" not in made:
            raise ValueError("no page of a fleet")
        return made
    finally:
        connection.close()


def ask(addresses: Iterable[str]) -> tuple[dict[str, dict[str, Any]], dict[str, str]]:
    """Each address's page, and why there is none, by address."""
    pages: dict[str, dict[str, Any]] = {}
    failed: dict[str, str] = {}
    wanted = list(dict.fromkeys(addresses))
    with ThreadPoolExecutor(AT_ONCE) as pool:
        for address, future in [(address, pool.submit(_page, address)) for address in wanted]:
            try:
                pages[address] = future.result()
            except (OSError, ValueError, http.client.HTTPException) as error:
                failed[address] = " ".join(str(error).split()) or type(error).__name__
    return pages, failed


def differences(pages: list[dict[str, Any]]) -> dict[str, dict[str, str]]:
    """Members of whom the pages hold different things: what each holds, by who holds it. That one is seen by
    nobody but itself is a difference, too."""
    held: dict[str, dict[str, str]] = {}
    for page in pages:
        held.setdefault(page["member"], {})[page["member"]] = "alive"
        for row in page["members"]:
            held.setdefault(row["name"], {})[page["member"]] = row["status"]
    return {name: views for name, views in sorted(held.items()) if len(set(views.values())) > 1}
