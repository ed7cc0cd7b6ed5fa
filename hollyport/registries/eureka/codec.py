"""Eureka's payloads: instances out of JSON or XML, step by step, and what they mean. No I/O.

Answers of a large registry hold tens of megabytes, and the loop that serves requests must not stand still
for them. So both readers are generators: they yield after every few instances, and the caller goes on when
it likes.

Source: the wiki "Eureka REST operations" of Netflix/eureka, and the encodings of its Java client 1.x
(Jackson for JSON, XStream for XML): `{"$": 8080, "@enabled": "true"}` for ports, one element or a list for
repeated ones, numbers as text, `apps__hashcode` and `versions__delta` beside the applications.
"""

from __future__ import annotations

import codecs
import json
import re
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

STEP = 8  # instances between two yields: well under a millisecond of work
WINDOW = 64 * 1024  # characters of JSON that are held
MOST_VALUE = 1 << 20  # of one instance, or of a member that is passed over
XML_STEP = 8192  # bytes of XML fed at a time
ADDED, MODIFIED, DELETED = "ADDED", "MODIFIED", "DELETED"
STATUSES = ("UP", "DOWN", "STARTING", "OUT_OF_SERVICE", "UNKNOWN")


class PayloadError(ValueError):
    """What came is no answer of this API."""


class Instance(NamedTuple):
    """One instance as the registry has it."""

    app: str
    identity: str
    host: str
    ip: str
    port: int  # 0: not enabled
    secure_port: int  # 0: not enabled
    status: str
    overridden: str
    vip: str
    secure_vip: str
    metadata: Mapping[str, str]
    up_ms: int  # leaseInfo.serviceUpTimestamp, by the registry's clock; 0: not told
    updated_ms: int  # lastUpdatedTimestamp, likewise
    action: str  # of a delta; ADDED elsewhere
    coordinating: bool  # a registry itself

    @property
    def effective(self) -> str:
        """The status that counts: an override wins, where there is one."""
        return (
            self.overridden if self.overridden in STATUSES and self.overridden != "UNKNOWN" else self.status
        )


class Payload:
    """What one answer held, filled in as it is read."""

    def __init__(self) -> None:
        self.instances: list[Instance] = []
        self.hashcode: str | None = None
        self.version = ""
        self.unusable = 0  # instances that make no sense: left out, so that one does not cost the rest


# --- JSON

_decoder = json.JSONDecoder()
_SPACES = re.compile(r"[ \t\r\n]*")


class _Walker:
    """Walks the outer containers of a JSON text by hand, and decodes the small values inside in one go
    each. Of the text, a window is held and no more."""

    def __init__(self, pieces: Iterator[str]) -> None:
        self._pieces, self._ended = pieces, False
        self._text, self._at = "", 0

    def _extend(self) -> None:
        """Let go of what was read, and take in at least as much as is left."""
        left = len(self._text) - self._at
        if left > MOST_VALUE:
            raise PayloadError("a value is too long, or no JSON")
        parts, wanted = [self._text[self._at :]], max(WINDOW, 2 * left)
        while left < wanted:
            piece = next(self._pieces, None)
            if piece is None:
                self._ended = True
                break
            parts.append(piece)
            left += len(piece)
        self._text, self._at = "".join(parts), 0

    def peek(self) -> str:
        skipped = 0
        while True:
            found = _SPACES.match(self._text, self._at)
            assert found is not None
            skipped += found.end() - self._at
            self._at = found.end()
            if self._at < len(self._text):
                return self._text[self._at]
            if self._ended:
                raise PayloadError("the answer ends half-way")
            if skipped > MOST_VALUE:
                raise PayloadError("nothing but space")
            self._extend()

    def expect(self, char: str) -> None:
        if (found := self.peek()) != char:
            raise PayloadError(f"{found!r} where {char!r} was due")
        self._at += 1

    def value(self) -> Any:
        self.peek()
        while True:
            try:
                value, end = _decoder.raw_decode(self._text, self._at)
            except RecursionError:
                raise PayloadError("no JSON: nested too deeply") from None
            except ValueError as error:
                if self._ended:
                    raise PayloadError(f"no JSON: {error}") from None
            else:
                # At the window's end a number may be but the first half of one.
                if end < len(self._text) or self._ended:
                    self._at = end
                    return value
            self._extend()

    def rest(self) -> bool:
        """Whether anything but space follows."""
        try:
            self.peek()
        except PayloadError:
            return False
        return True

    def members(self) -> Iterator[str]:
        """The keys of an object; the caller takes each value before it asks for the next."""
        self.expect("{")
        if self.peek() == "}":
            self._at += 1
            return
        while True:
            key = self.value()
            if not isinstance(key, str):
                raise PayloadError("a key is no text")
            self.expect(":")
            yield key
            if self.peek() == "}":
                self._at += 1
                return
            self.expect(",")

    def elements(self) -> Iterator[None]:
        """The elements of a list, or the one value that stands where a list was meant."""
        if self.peek() != "[":
            yield
            return
        self._at += 1
        if self.peek() == "]":
            self._at += 1
            return
        while True:
            yield
            if self.peek() == "]":
                self._at += 1
                return
            self.expect(",")


def read_json(pieces: Iterable[bytes], payload: Payload) -> Iterator[None]:
    """Read an answer to /apps, /apps/delta, /apps/{app}, /vips, /svips or /apps/{app}/{id}."""
    walk = _Walker(codecs.iterdecode(pieces, "utf-8"))
    known = False
    for key in walk.members():
        if key == "applications":
            known = True
            if walk.peek() != "{":
                walk.value()  # null or an empty text stand for none
                continue
            yield from _applications(walk, payload)
        elif key == "application":
            known = True
            for _ in walk.elements():
                yield from _application(walk, payload)
        elif key == "instance":
            known = True
            for _ in walk.elements():
                _take(payload, walk.value(), "")
                yield
        else:
            walk.value()
    if not known:
        raise PayloadError("no applications in it")
    if walk.rest():
        raise PayloadError("more follows the answer")


def _applications(walk: _Walker, payload: Payload) -> Iterator[None]:
    for key in walk.members():
        if key == "application":
            for _ in walk.elements():
                yield from _application(walk, payload)
        elif key == "apps__hashcode":
            value = walk.value()
            payload.hashcode = value if isinstance(value, str) else None
        elif key == "versions__delta":
            payload.version = str(walk.value())
        else:
            walk.value()


def _application(walk: _Walker, payload: Payload) -> Iterator[None]:
    if walk.peek() != "{":
        walk.value()
        return
    name, count = "", 0
    for key in walk.members():
        if key == "name":
            name = _text(walk.value())
        elif key == "instance":
            for _ in walk.elements():
                _take(payload, walk.value(), name)
                count += 1
                if not count % STEP:
                    yield
        else:
            walk.value()
    yield


def _take(payload: Payload, raw: Any, app: str) -> None:
    try:
        payload.instances.append(_instance(raw, app))
    except (ValueError, TypeError, KeyError, OverflowError):
        payload.unusable += 1


def _text(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return value.strip() if isinstance(value, str) else "" if value is None else str(value)


def _number(value: Any) -> int:
    """A number, also as text; 0 for what is none."""
    try:
        return int(float(value)) if not isinstance(value, bool) else 0
    except (TypeError, ValueError, OverflowError):
        return 0


def _port(value: Any, default_enabled: bool) -> int:
    """A port in each of its forms; 0 where it is not enabled."""
    if isinstance(value, Mapping):
        enabled = _text(value.get("@enabled", value.get("enabled", default_enabled))).lower() == "true"
        number = _number(value.get("$", value.get("#text", 0)))
    else:
        enabled, number = default_enabled, _number(value)
    if not enabled:
        return 0
    if not 0 < number < 65536:
        raise ValueError(f"no port: {number}")
    return number


def _instance(raw: Any, app: str) -> Instance:
    if not isinstance(raw, Mapping):
        raise ValueError("no object")
    host = _text(raw.get("hostName"))
    centre = raw.get("dataCenterInfo")
    cloud = centre.get("metadata") if isinstance(centre, Mapping) else None
    identity = (
        _text(raw.get("instanceId"))
        or (_text(cloud.get("instance-id")) if isinstance(cloud, Mapping) else "")
        or host
    )
    status = _text(raw.get("status")).upper()
    if not identity:
        raise ValueError("no identity")
    lease = raw.get("leaseInfo")
    metadata = raw.get("metadata")
    return Instance(
        app=(_text(raw.get("app")) or app).upper(),
        identity=identity,
        host=host,
        ip=_text(raw.get("ipAddr")),
        port=_port(raw.get("port"), True) if raw.get("port") is not None else 0,
        secure_port=_port(raw.get("securePort"), False) if raw.get("securePort") is not None else 0,
        status=status if status in STATUSES else "UNKNOWN",
        overridden=(_text(raw.get("overriddenstatus")) or _text(raw.get("overriddenStatus"))).upper(),
        vip=_text(raw.get("vipAddress")),
        secure_vip=_text(raw.get("secureVipAddress")),
        metadata={key: _text(value) for key, value in metadata.items() if not key.startswith("@")}
        if isinstance(metadata, Mapping)
        else {},
        up_ms=_number(lease.get("serviceUpTimestamp")) if isinstance(lease, Mapping) else 0,
        updated_ms=_number(raw.get("lastUpdatedTimestamp")),
        action=_text(raw.get("actionType")).upper() or ADDED,
        coordinating=_text(raw.get("isCoordinatingDiscoveryServer")).lower() == "true",
    )


# --- XML

_NESTED = frozenset({"leaseInfo", "metadata", "dataCenterInfo"})
_MOST_DEPTH = 12


class _Target:
    """Builds instances from the parser's events, and keeps nothing else of the document."""

    def __init__(self, payload: Payload) -> None:
        self._payload = payload
        self._path: list[str] = []
        self._text: list[str] = []
        self._attributes: dict[str, str] = {}
        self._name = ""
        self._raw: dict[str, Any] | None = None
        self._inner: list[dict[str, Any]] = []
        self.root = ""

    def start(self, tag: str, attributes: dict[str, str]) -> None:
        if not self._path:
            self.root = tag
        self._path.append(tag)
        if len(self._path) > _MOST_DEPTH:
            raise PayloadError("nested too deeply")
        self._text, self._attributes = [], attributes
        if tag == "application":
            self._name = ""
        elif tag == "instance" and self._raw is None:
            self._raw, self._inner = {}, []
        elif self._raw is not None and (tag in _NESTED or self._inner):
            self._inner.append({})

    def data(self, text: str) -> None:
        self._text.append(text)

    def end(self, tag: str) -> None:
        self._path.pop()
        text = "".join(self._text).strip()
        self._text = []
        if self._raw is None:
            if tag == "name":
                self._name = text
            elif tag == "apps__hashcode":
                self._payload.hashcode = text
            elif tag == "versions__delta":
                self._payload.version = text
        elif tag == "instance" and not self._inner:
            raw, self._raw = self._raw, None
            _take(self._payload, raw, self._name)
        elif self._inner:
            made = self._inner.pop()
            above = self._inner[-1] if self._inner else self._raw
            above[tag] = made if made or tag in _NESTED else text
        elif tag in ("port", "securePort"):
            enabled = self._attributes.get("enabled", "true" if tag == "port" else "")
            self._raw[tag] = {"$": text, "@enabled": enabled}
        else:
            self._raw[tag] = text

    def close(self) -> None:
        """The document is over."""


def read_xml(pieces: Iterable[bytes], payload: Payload) -> Iterator[None]:
    """Read the same answers as XML. Definitions and entities of its own are refused, never expanded."""
    try:
        from defusedxml import ElementTree
        from defusedxml.common import DefusedXmlException
    except ImportError:
        raise PayloadError("XML needs the extra hollyport[eureka]") from None
    target = _Target(payload)
    parser = ElementTree.DefusedXMLParser(target=target, forbid_dtd=True)
    try:
        for data in pieces:
            for at in range(0, len(data), XML_STEP):
                parser.feed(data[at : at + XML_STEP])
                yield
        parser.close()
    except (ElementTree.ParseError, DefusedXmlException, ValueError) as error:
        raise PayloadError(f"no XML: {' '.join(str(error).split())[:200]}") from None
    if target.root not in ("applications", "application", "instance"):
        raise PayloadError("no applications in it")


def reconcile_hash(counts: Mapping[str, int]) -> str:
    """The code by which two views of a registry are compared: each status with its count, in order of name
    (`Applications.getReconcileHashCode` of the Java client)."""
    return "".join(f"{status}_{count}_" for status, count in sorted(counts.items()) if count)
