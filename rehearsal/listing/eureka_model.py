"""A stand-in for a Eureka server: its registry, as the public wiki and client describe it. No I/O.

Leases that are registered, renewed, cancelled and evicted; overridden statuses; a window of recent changes
for deltas; self-preservation, which stops evictions when too many renewals are missing. Times are
milliseconds of its own clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from typing import Any
from xml.etree import ElementTree

DELTA_WINDOW_MS = 180_000  # how long the server keeps changes (retentionTimeInMSInDeltaQueue)
RENEWAL_PART = 0.85  # under this part of the expected renewals, nothing is evicted
LEASE_S = 90


class Lease:
    """One registered instance."""

    def __init__(self, raw: Mapping[str, Any], now_ms: int) -> None:
        self.raw = dict(raw)
        lease = raw.get("leaseInfo") or {}
        self.duration_ms = int(lease.get("durationInSecs", LEASE_S)) * 1000
        self.registered = self.renewed = self.updated = now_ms
        # An instance may say itself since when it serves; the server fills in what it does not say.
        self.up_at = int(lease.get("serviceUpTimestamp", 0)) or (now_ms if raw.get("status") == "UP" else 0)
        self.overridden = "UNKNOWN"
        self.action = "ADDED"

    @property
    def status(self) -> str:
        """What the registry answers: an override wins."""
        return self.overridden if self.overridden != "UNKNOWN" else str(self.raw.get("status", "UNKNOWN"))

    def document(self, action: str = "") -> dict[str, Any]:
        """The instance in the API's form, with its quirks."""
        return {
            **self.raw,
            "status": self.status,
            "overriddenstatus": self.overridden,
            "leaseInfo": {
                "renewalIntervalInSecs": 30, "durationInSecs": self.duration_ms // 1000,
                "registrationTimestamp": self.registered, "lastRenewalTimestamp": self.renewed,
                "evictionTimestamp": 0, "serviceUpTimestamp": self.up_at,
            },
            "isCoordinatingDiscoveryServer": "false",
            "lastUpdatedTimestamp": str(self.updated),
            "lastDirtyTimestamp": str(self.registered),
            "actionType": action or "ADDED",
        }  # fmt: skip


class Registry:
    """All leases, and the changes of late."""

    def __init__(self) -> None:
        self.leases: dict[tuple[str, str], Lease] = {}
        self._recent: deque[tuple[int, str, dict[str, Any]]] = deque()
        self.preserving = False
        self.version = 1

    # --- what instances do

    def register(self, app: str, raw: Mapping[str, Any], now_ms: int) -> None:
        """Take an instance in; one that is there already is replaced, and keeps its override."""
        key = (app.upper(), str(raw["instanceId"]))
        before = self.leases.get(key)
        lease = Lease({**raw, "app": app.upper()}, now_ms)
        if before is not None:
            lease.overridden = before.overridden
        self.leases[key] = lease
        self._note(key, "ADDED", now_ms)

    def renew(self, app: str, identity: str, now_ms: int, status: str = "") -> bool:
        """A heartbeat; False if the lease is not known (the API's 404). One that tells another status changes
        what the instance itself says; an override stays above it."""
        lease = self.leases.get((app.upper(), identity))
        if lease is None:
            return False
        lease.renewed = now_ms
        if status and status != lease.raw.get("status"):
            lease.raw["status"] = status
            self._note((app.upper(), identity), "MODIFIED", now_ms)
        return True

    def cancel(self, app: str, identity: str, now_ms: int) -> bool:
        """An instance says that it goes."""
        return self._remove((app.upper(), identity), now_ms)

    def override(self, app: str, identity: str, status: str, now_ms: int) -> bool:
        """An operator sets a status, or takes it back with UNKNOWN."""
        key = (app.upper(), identity)
        lease = self.leases.get(key)
        if lease is None:
            return False
        lease.overridden = status
        lease.updated = now_ms
        self._note(key, "MODIFIED", now_ms)
        return True

    def restore(self, app: str, identity: str, status: str, now_ms: int) -> bool:
        """Take an override back; the instance's own status is the one told along, if one is."""
        lease = self.leases.get((app.upper(), identity))
        if lease is not None and status:
            lease.raw["status"] = status
        return self.override(app, identity, "UNKNOWN", now_ms)

    def evict(self, now_ms: int) -> list[tuple[str, str]]:
        """Let go of what was not renewed, unless so much is missing that the network is likelier to blame."""
        late = [key for key, lease in self.leases.items() if now_ms - lease.renewed > lease.duration_ms]
        self.preserving = len(self.leases) - len(late) < RENEWAL_PART * len(self.leases)
        if self.preserving:
            return []
        for key in late:
            self._remove(key, now_ms)
        return late

    def _remove(self, key: tuple[str, str], now_ms: int) -> bool:
        lease = self.leases.get(key)
        if lease is None:
            return False
        lease.updated = now_ms
        self._note(key, "DELETED", now_ms)
        del self.leases[key]
        return True

    def _note(self, key: tuple[str, str], action: str, now_ms: int) -> None:
        lease = self.leases[key]
        lease.updated = now_ms
        self.version += 1
        self._recent.append((now_ms, key[0], lease.document(action)))
        while self._recent and self._recent[0][0] < now_ms - DELTA_WINDOW_MS:
            self._recent.popleft()

    # --- what it answers

    def hashcode(self) -> str:
        """Each status with its count."""
        counts: dict[str, int] = {}
        for lease in self.leases.values():
            counts[lease.status] = counts.get(lease.status, 0) + 1
        return "".join(f"{status}_{count}_" for status, count in sorted(counts.items()))

    def whole(self) -> list[dict[str, Any]]:
        """Every instance."""
        return [lease.document() for lease in self.leases.values()]

    def delta(self) -> list[dict[str, Any]]:
        """Every change that is still kept, in order."""
        return [document for _, _, document in self._recent]


def applications(
    instances: Iterable[Mapping[str, Any]], hashcode: str, version: int, single_as_object: bool = True
) -> dict[str, Any]:
    """The document of /apps and /apps/delta, with the quirk of one element for a list of one."""
    by_app: dict[str, list[Mapping[str, Any]]] = {}
    for instance in instances:
        by_app.setdefault(str(instance["app"]), []).append(instance)
    return {"applications": {
        "versions__delta": str(version), "apps__hashcode": hashcode,
        "application": [
            {"name": app, "instance": rows[0] if len(rows) == 1 and single_as_object else rows}
            for app, rows in by_app.items()
        ],
    }}  # fmt: skip


def as_xml(document: Mapping[str, Any]) -> bytes:
    """The same document, or that of one application or instance, as XML."""
    ((kind, inner),) = document.items()
    root = ElementTree.Element(kind)
    if kind == "instance":
        _instance_xml(root, inner)
    elif kind == "application":
        _application_xml(root, inner)
    else:
        for key in ("versions__delta", "apps__hashcode"):
            ElementTree.SubElement(root, key).text = inner[key]
        for app in inner["application"]:
            _application_xml(ElementTree.SubElement(root, "application"), app)
    return bytes(ElementTree.tostring(root, encoding="utf-8", xml_declaration=True))


def _application_xml(node: ElementTree.Element, app: Mapping[str, Any]) -> None:
    ElementTree.SubElement(node, "name").text = app["name"]
    rows = app["instance"] if isinstance(app["instance"], list) else [app["instance"]]
    for row in rows:
        _instance_xml(ElementTree.SubElement(node, "instance"), row)


def _instance_xml(node: ElementTree.Element, row: Mapping[str, Any]) -> None:
    for key, value in row.items():
        child = ElementTree.SubElement(node, key)
        if key in ("port", "securePort") and isinstance(value, Mapping):
            child.set("enabled", str(value["@enabled"]))
            child.text = str(value["$"])
        elif isinstance(value, Mapping):
            for name, inner in value.items():
                if name == "@class":
                    child.set("class", str(inner))
                else:
                    ElementTree.SubElement(child, name).text = str(inner)
        else:
            child.text = str(value)
