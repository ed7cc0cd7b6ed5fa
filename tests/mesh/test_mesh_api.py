"""Consistency of the HTTP API with its description in docs/api/mesh.json, in both directions."""

from __future__ import annotations

import asyncio
import copy
import json
import re
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from hollyport.http.message import Message
from mesh import settings
from mesh.control import admin_api
from mesh.control.controller import Controller
from mesh.proxy.sidecar import Sidecar
from mesh.state import configuration
from mesh.state.quorum import Voters

FILE = json.loads((Path(__file__).parents[2] / "docs" / "api" / "mesh.json").read_text())
SCHEMAS = FILE["components"]["schemas"]
METHODS = ("get", "put", "post", "patch", "delete")
OPERATIONS = [
    (path, method, entry[method])
    for path, entry in FILE["paths"].items()
    for method in METHODS
    if method in entry
]
CHANGE = FILE["paths"]["/-/config"]["patch"]["requestBody"]["content"]["application/json"]["example"]
BEAT = FILE["paths"]["/-/instances/{id}"]["put"]["requestBody"]["content"]["application/json"]["example"]
SETTINGS = """
node_name = "n1"
ip = "192.0.2.1"
port_range = [7000, 7001]
app_addr = "192.0.2.1:9000"
service = "berths"
"""
ME = "192.0.2.1:7000"
UNKNOWN_PATHS = ("/", "/-/", "/-/other", "/-/config/x", "/-/instances", "/-/readiness/")


class ResponseRecorder:
    """Records the response to a request."""

    def __init__(self) -> None:
        self.status, self.body, self.headers = 0, b"", []  # type: ignore[var-annotated]

    def answer(self, message: Message, status: int, body: bytes, headers: list[Any]) -> None:
        assert not self.status, "answered twice"
        self.status, self.body, self.headers = status, body, headers

    def flow(self, message: Message, answer: Any) -> None:
        raise AssertionError


class Disk:
    """A record store that writes each record at once, or fails."""

    def __init__(self, well: bool = True) -> None:
        self.healthy = well

    def put(self, record: Any, done: Callable[[bool], None] | None = None) -> None:
        if done is not None:
            done(self.healthy)


def make_controller(voters: tuple[str, ...] = (ME,), well: bool = True) -> Controller:
    made = Controller(settings.read(SETTINGS).ok)
    made.context.store = Disk(well)  # type: ignore[assignment]
    made.context.member.mark_caught_up(1)
    if voters:
        made.context.member.voters = Voters(1, voters)
    return made


async def call(
    serve: Callable[[Message], None], method: str, path: str, body: Any = None
) -> ResponseRecorder:
    """Sends one request to a role's own handler."""
    response = ResponseRecorder()
    message = Message(response)  # type: ignore[arg-type]
    message.method, message.target = method.upper().encode(), path.encode()
    message.body = body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
    serve(message)
    for _ in range(100):
        if response.status:
            break
        await asyncio.sleep(0)  # turns of the event loop, without waiting
    assert response.status, "not answered"
    return response


def http_servers() -> dict[tuple[str, str], Callable[[Message], None]]:
    """Returns the request handlers by role and address."""
    sidecar = Sidecar(settings.read(SETTINGS).ok)
    return {
        ("controller", "control"): make_controller().api.serve,
        ("sidecar", "control"): sidecar.heartbeats.serve,
        ("sidecar", "ready"): sidecar.readiness,
    }


def is_described(path: str, method: str, role: str, door: str) -> bool:
    """Whether the API description lists the operation at this address."""
    return any((path, method) == (p, m) and op["x-door"].get(role) == door for p, m, op in OPERATIONS)


def test_each_address_serves_the_described_operations_and_404_otherwise() -> None:
    async def play() -> None:
        for (role, door), serve in http_servers().items():
            for path in [*FILE["paths"], *UNKNOWN_PATHS]:
                for method in METHODS:
                    body = {"put": BEAT, "patch": CHANGE}.get(method)
                    response = await call(serve, method, path.replace("{id}", "i-1") + "?q=1", body)
                    if is_described(path, method, role, door):
                        assert response.status == 200 or path == "/-/readiness" and response.status == 503
                    elif path != "/-/readiness" or (role, door) == ("sidecar", "control"):
                        assert response.status == 404, (role, door, method, path)

    asyncio.run(play())


def test_described_roles_and_addresses_exist() -> None:
    known = {("controller", "control"), ("sidecar", "control"), ("sidecar", "ready")}
    for _, _, operation in OPERATIONS:
        assert set(operation["x-role"]) == set(operation["x-door"])
        assert set(operation["x-door"].items()) <= known


def checked_status(path: str, method: str, response: ResponseRecorder) -> int:
    """Checks a response against the API description and returns its status."""
    entry = FILE["paths"][path][method]["responses"][str(response.status)]
    headers = dict(response.headers)
    retry = entry.get("headers", {}).get("Retry-After")
    assert (b"Retry-After" in headers) == (retry is not None)
    if retry is not None:
        assert headers[b"Retry-After"].decode() == retry["schema"]["const"]
    if "content" in entry:
        assert headers[b"Content-Type"] == b"application/json" and isinstance(json.loads(response.body), dict)
    return response.status


def test_every_described_status_occurs(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admin_api, "ROUND_TIMEOUT_S", 0.0)
    monkeypatch.setattr(admin_api, "REQUEST_TIMEOUT_S", 0.0)
    seen: dict[tuple[str, str], set[int]] = {(path, method): set() for path, method, _ in OPERATIONS}

    async def ask(
        serve: Callable[[Message], None], method: str, path: str, body: Any = None
    ) -> ResponseRecorder:
        response = await call(serve, method, path.replace("{id}", "i-1"), body)
        seen[path, method].add(checked_status(path, method, response))
        return response

    async def play() -> None:
        config, instance = "/-/config", "/-/instances/{id}"
        well = make_controller()
        await ask(well.api.serve, "patch", config, CHANGE)
        whole = json.loads((await ask(well.api.serve, "get", config)).body)
        by_host = sorted(CHANGE["upserts"]["listener_list"], key=lambda listener: listener["hostname"])
        by_name = sorted(CHANGE["upserts"]["cluster_list"], key=lambda cluster: cluster["name"])
        assert whole == {**CHANGE["upserts"], "listener_list": by_host, "cluster_list": by_name}
        await ask(well.api.serve, "patch", config, b"{")
        unknown = {"upserts": {"listener_list": CHANGE["upserts"]["listener_list"]}}
        assert (await ask(make_controller().api.serve, "patch", config, unknown)).status == 400
        await ask(make_controller(()).api.serve, "patch", config, CHANGE)
        assert (await ask(make_controller(well=False).api.serve, "patch", config, CHANGE)).status == 503
        assert (await ask(make_controller((ME, "192.0.2.2:7000")).api.serve, "get", config)).status == 200
        await ask(make_controller((ME, "192.0.2.2:7000", "192.0.2.3:7000")).api.serve, "get", config)
        await ask(well.api.serve, "get", "/-/readiness")
        status = json.loads((await ask(well.api.serve, "get", "/-/status")).body)
        assert status["in_contact"] and (status["copies"], status["losses"], status["away"]) == (1, 0, [])
        alone = json.loads(
            (
                await ask(
                    make_controller((ME, "192.0.2.2:7000", "192.0.2.3:7000")).api.serve, "get", "/-/status"
                )
            ).body
        )
        assert not alone["in_contact"] and (alone["copies"], alone["losses"]) == (0, 0)
        assert (await ask(make_controller(()).api.serve, "get", "/-/readiness")).status == 503
        sidecar = Sidecar(settings.read(SETTINGS).ok)
        await ask(sidecar.readiness, "get", "/-/readiness")
        sidecar.control.apply_items(configuration.parse_change(json.dumps(CHANGE).encode()).ok)
        await ask(sidecar.heartbeats.serve, "put", instance, BEAT)
        assert (await ask(sidecar.readiness, "get", "/-/readiness")).status == 200
        await ask(sidecar.heartbeats.serve, "put", instance, {**BEAT, "call_seq": 1})
        await ask(sidecar.heartbeats.serve, "put", instance, {**BEAT, "service": "other", "call_seq": 99})
        await ask(sidecar.heartbeats.serve, "delete", instance)

    asyncio.run(play())
    assert seen == {(path, method): set(map(int, op["responses"])) for path, method, op in OPERATIONS}


# --- schemas


def resolve(schema: dict[str, Any]) -> dict[str, Any]:
    """Resolves a schema reference."""
    name = schema.get("$ref", "").rpartition("/")[2]
    return {**SCHEMAS[name], **schema} if name else schema


Way = tuple[Any, ...]


def walk_example(schema: dict[str, Any], value: Any, way: Way = ()) -> Iterator[tuple[dict[str, Any], Way]]:
    """Yields each value of an example with its schema and path."""
    schema = resolve(schema)
    yield schema, way
    if isinstance(value, dict):
        assert set(value) <= set(schema["properties"]), f"{way}: a field is not described"
        for key, inner in value.items():
            yield from walk_example(schema["properties"][key], inner, (*way, key))
    elif isinstance(value, list):
        for at, inner in enumerate(value):
            yield from walk_example(schema["items"], inner, (*way, at))


def with_change(example: Any, way: Way, value: Any = None, drop: bool = False) -> Any:
    """Returns a copy of the example with one value changed or removed."""
    made = copy.deepcopy(example)
    at = made
    for part in way[:-1]:
        at = at[part]
    if drop:
        del at[way[-1]]
    else:
        at[way[-1]] = value
    return made


def accepted(change: Any) -> bool:
    return bool(configuration.parse_change(json.dumps(change).encode()).is_ok())


PLACES = list(walk_example({"$ref": "#/components/schemas/Change"}, CHANGE))


def test_the_example_is_accepted_and_contains_every_field() -> None:
    assert accepted(CHANGE)
    shown: dict[str, set[str]] = {}
    for schema, way in PLACES:
        if "properties" in schema:
            at = CHANGE
            for part in way:
                at = at[part]
            shown.setdefault(schema["description"], set()).update(at)
    for schema, _ in PLACES:
        assert set(schema.get("properties", ())) == shown.get(schema.get("description", ""), set())


def test_exactly_the_required_fields_are_mandatory() -> None:
    for schema, way in PLACES:
        if "properties" not in schema:
            continue
        at = CHANGE
        for part in way:
            at = at[part]
        for key in at:
            left = set(at) - {key}
            choices = [set(choice["required"]) for choice in schema.get("anyOf", [{"required": []}])]
            enough = set(schema.get("required", ())) <= left and any(choice <= left for choice in choices)
            assert accepted(with_change(CHANGE, (*way, key), drop=True)) == enough, (*way, key)


def test_values_that_the_schema_excludes_are_rejected() -> None:
    tried = 0
    for schema, way in PLACES:
        bad: list[Any] = []
        if "pattern" in schema:
            bad += [text for text in ("", " ", "no", "r1x", "-1s") if not re.search(schema["pattern"], text)]
        if "enum" in schema:
            bad += ["no"]
        if "minimum" in schema:
            bad += [schema["minimum"] - 1, "1", True]
        if "exclusiveMaximum" in schema:
            bad += [schema["exclusiveMaximum"]]
        if "minLength" in schema:
            bad += ["", 7]
        if "minItems" in schema:
            bad += [[]]
        if schema.get("type") in ("object", "array") and way:
            bad += ["no"]
        for value in bad:
            assert not accepted(with_change(CHANGE, way, value)), (way, value)
        tried += len(bad)
    assert tried > 100


def test_every_described_variant_is_accepted() -> None:
    variants = SCHEMAS["Rule"]["properties"]["variant"]["enum"]
    assert tuple(variants) == configuration.VARIANTS
    way = ("upserts", "listener_list", 0, "rule_set", 0, "variant")
    assert all(accepted(with_change(CHANGE, way, variant)) for variant in variants)


def test_patterns_equal_those_of_the_code() -> None:
    assert SCHEMAS["Revision"]["pattern"] == f"^{configuration.REVISION_PATTERN.pattern}$"
    assert SCHEMAS["Duration"]["pattern"] == f"^{settings.DURATION.pattern}$"


def test_heartbeats_require_the_described_fields() -> None:
    schema = SCHEMAS["Beat"]
    assert set(BEAT) == set(schema["properties"])

    async def play() -> None:
        for key in BEAT:
            sidecar = Sidecar(settings.read(SETTINGS).ok)
            body = {name: value for name, value in BEAT.items() if name != key}
            response = await call(sidecar.heartbeats.serve, "put", "/-/instances/i-1", body)
            assert response.status == (400 if key in schema["required"] else 200), key
        for state in schema["properties"]["state"]["enum"]:
            sidecar = Sidecar(settings.read(SETTINGS).ok)
            await call(sidecar.heartbeats.serve, "put", "/-/instances/i-1", {**BEAT, "state": state})
            assert sidecar.server_queue.open == (state == "ready")

    asyncio.run(play())
