"""Adapter between the simulator's line protocol and one `Balancer` per instance."""

from __future__ import annotations

import json
import math
import sys
import traceback
from collections.abc import Callable, Iterable
from typing import TextIO

from dunefield.interface import (
    Action,
    AttemptFinished,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    Event,
    FailRequest,
    FetchServerList,
    LogMessage,
    PeerMessage,
    ProbeResult,
    ProbeServer,
    RefuseRequest,
    RequestArrived,
    ResponseStarted,
    SendAttempt,
    SendPeerMessage,
    ServerEntry,
    ServerListUpdate,
    Settings,
    SettingsError,
    StartTimer,
    SubscribeServerList,
    TimerFired,
)
from dunefield.balancer import Balancer

Fields = dict[str, str]
FREE_TEXT_FIELDS = {"open_instance": " env="}
WORK_HINT_BIT, RETRY_BIT, WRITE_BIT = 1, 2, 4
SCOPES = ("INCREMENTAL", "FULL", "SAVED", "FAILED")


class WireError(Exception):
    """Raised when a line is invalid; the message describes the error."""


def _parse_fields(line: str) -> Fields:
    """Parses a line's name=value fields; a free-text field extends to the end of the line."""
    fields: Fields = {}
    name, _, rest = line.partition(" ")
    marker = FREE_TEXT_FIELDS.get(name)
    if marker and marker in line:
        head, _, fields[marker[1:-1]] = line.partition(marker)
        rest = head.partition(" ")[2]
    for part in rest.split(" ") if rest else ():
        key, equals, value = part.partition("=")
        if not equals or not key:
            raise WireError(f"expected name=value, found {part!r}")
        fields[key] = value
    return fields


def _int(fields: Fields, name: str, default: int | None = None) -> int:
    value = fields.get(name)
    if value is None:
        if default is None:
            raise WireError(f"field {name!r} is missing")
        return default
    try:
        return int(value)
    except ValueError:
        raise WireError(f"field {name!r} is not a whole number: {value!r}") from None


def _float(name: str, value: str) -> float:
    try:
        number = float(value)
    except ValueError:
        raise WireError(f"field {name!r} is not a number: {value!r}") from None
    if not math.isfinite(number):
        raise WireError(f"field {name!r} is not a finite number: {value!r}")
    return number


def _text(fields: Fields, name: str) -> str:
    value = fields.get(name)
    if not value:
        raise WireError(f"field {name!r} is missing")
    return value


def _load_report(fields: Fields) -> dict[str, float]:
    """Parses a load report; pairs that are not name:number are skipped."""
    report = {}
    for pair in fields.get("usage", "").split(","):
        name, _, value = pair.partition(":")
        try:
            number = float(value)
        except ValueError:
            continue
        if math.isfinite(number):
            report[name] = number
    return report


def _bytes(fields: Fields, name: str) -> bytes:
    text = fields.get(name, "-")
    try:
        return b"" if text == "-" else bytes.fromhex(text)
    except ValueError:
        raise WireError(f"field {name!r} is not hex digits: {text!r}") from None


def _request_arrived(f: Fields) -> RequestArrived:
    bits = _int(f, "bitmap", 0)
    return RequestArrived(
        _text(f, "tid"),
        _int(f, "type", 0),
        _int(f, "ttlNs"),
        _int(f, "costNs", 0) if bits & WORK_HINT_BIT else 0,
        _int(f, "owner", 0),
        f.get("object", ""),
        bool(bits & RETRY_BIT),
        bool(bits & WRITE_BIT),
    )


def _attempt_finished(f: Fields) -> AttemptFinished:
    return AttemptFinished(
        _text(f, "tid"),
        _int(f, "how"),
        _int(f, "lagNs", 0),
        _text(f, "server"),
        _int(f, "go", 0),
        f.get("closed", "0") == "1",
        _load_report(f),
    )


EVENT_PARSERS: dict[str, Callable[[Fields], Event]] = {
    "accept": _request_arrived,
    "response": _attempt_finished,
    "begun": lambda f: ResponseStarted(
        _text(f, "tid"), f.get("server", ""), _int(f, "go", 0), _int(f, "lagNs", 0)
    ),
    "hangup": lambda f: ClientDisconnected(_text(f, "tid")),
    "alarm": lambda f: TimerFired(_int(f, "tag", 0)),
    "echo": lambda f: ProbeResult(_text(f, "server"), _int(f, "how"), _int(f, "lagNs", 0), _load_report(f)),
    "heard": lambda f: PeerMessage(_int(f, "from"), _bytes(f, "blob")),
}


def _server_entry(f: Fields) -> ServerEntry:
    return ServerEntry(
        _text(f, "server"),
        _int(f, "hall", 0),
        _int(f, "model", 0),
        _int(f, "bay", 0),
        f.get("lifecycle", "up"),
        _float("heft", f.get("heft", "1")),
        _int(f, "startedAtNs", 0),
    )


def _format_action(instance_id: int, action: Action) -> str:
    match action:
        case SendAttempt(request_id, server, deadline_ns):
            return f"submit_to who={instance_id} tid={request_id} server={server} abandonAtNs={deadline_ns}\n"
        case RefuseRequest(request_id, retry_after_ns):
            return f"push_back who={instance_id} tid={request_id} holdOffNs={retry_after_ns}\n"
        case FailRequest(request_id):
            return f"finish_error who={instance_id} tid={request_id}\n"
        case CancelAttempt(request_id, attempt):
            return f"retract who={instance_id} tid={request_id} go={attempt}\n"
        case ProbeServer(server):
            return f"touch who={instance_id} server={server}\n"
        case SubscribeServerList(want):
            return f"subscribe who={instance_id} want={int(want)}\n"
        case FetchServerList():
            return f"fetch who={instance_id}\n"
        case CloseIdleConnections(server):
            return f"hang_up who={instance_id} server={server}\n"
        case SendPeerMessage(peer, data):
            return f"signal who={instance_id} to={peer} blob={data.hex() or '-'}\n"
        case LogMessage(text):
            return f"note_down who={instance_id} line={' '.join(text.split())}\n"
        case StartTimer(delay_ns, tag):
            return f"defer who={instance_id} inNs={delay_ns} tag={tag}\n"


class Host:
    """Runs the balancer instances of one process: reads batches of events, writes actions."""

    def __init__(self, lines: Iterable[str], output: TextIO) -> None:
        self._lines = enumerate(lines, 1)
        self._output = output
        self._line_number = 0
        self._now = 0
        self._server_lists: dict[int, tuple[ServerEntry, ...]] = {}
        self._instances: dict[int, Balancer] = {}

    def run(self) -> int:
        """Processes batches until the input ends; returns the exit status."""
        out: list[str] = []
        in_batch = False
        try:
            for number, raw in self._lines:
                self._line_number = number
                line = raw.rstrip("\n")
                if not raw.endswith("\n"):
                    raise WireError("input ends inside a line")
                if not in_batch:
                    if line:
                        self._start_batch(line)
                        in_batch = True
                elif line == "eob":
                    out.append("next\n")
                    self._output.write("".join(out))
                    self._output.flush()
                    out.clear()
                    in_batch = False
                elif line:
                    self._process_line(line, out)
            if in_batch:
                raise WireError("input ends inside a batch")
        except (WireError, SettingsError) as error:
            print(f"line {self._line_number}: {error}", file=sys.stderr)
            return 2
        except UnicodeDecodeError:
            print(f"line {self._line_number + 1}: not valid UTF-8", file=sys.stderr)
            return 2
        return 0

    def _start_batch(self, line: str) -> None:
        if line.partition(" ")[0] != "clock":
            raise WireError(f"expected a clock line, found {line[:40]!r}")
        self._now = _int(_parse_fields(line), "wallNs")

    def _process_line(self, line: str, out: list[str]) -> None:
        name = line.partition(" ")[0]
        if name in EVENT_PARSERS:
            fields = _parse_fields(line)
            self._handle_event(_int(fields, "who"), EVENT_PARSERS[name](fields), out)
        elif name == "roster":
            fields = _parse_fields(line)
            self._server_lists[_int(fields, "slot")] = self._read_server_list(_int(fields, "nodesList", 0))
        elif name == "directory_update":
            fields = _parse_fields(line)
            self._handle_event(_int(fields, "who"), self._list_update(fields), out)
        elif name == "open_instance":
            self._open_instance(_parse_fields(line), out)
        elif name == "crash_now":
            self._instances.pop(_int(_parse_fields(line), "who"), None)

    def _read_server_list(self, count: int) -> tuple[ServerEntry, ...]:
        if count < 0:
            raise WireError(f"field 'nodesList' is below 0: {count}")
        entries = []
        for _ in range(count):
            self._line_number, raw = next(self._lines, (self._line_number, ""))
            line = raw.rstrip("\n")
            if line.partition(" ")[0] != "server" or not raw.endswith("\n"):
                raise WireError(f"expected one of {count} server lines, found {line[:40]!r}")
            entries.append(_server_entry(_parse_fields(line)))
        return tuple(entries)

    def _list_update(self, fields: Fields) -> ServerListUpdate:
        scope = _text(fields, "scope")
        generation = _int(fields, "gen", 0)
        if scope == "FAILED":
            return ServerListUpdate(scope, (), generation)
        if scope not in SCOPES:
            raise WireError(f"field 'scope' is none of {', '.join(SCOPES)}: {scope!r}")
        slot = _int(fields, "slot")
        if slot not in self._server_lists:
            raise WireError(f"no roster has slot {slot}")
        return ServerListUpdate(scope, self._server_lists[slot], generation)

    def _open_instance(self, fields: Fields, out: list[str]) -> None:
        instance_id = _int(fields, "who")
        if instance_id in self._instances:
            raise WireError(f"instance {instance_id} is already open")
        try:
            raw = json.loads(_text(fields, "env"))
        except (ValueError, RecursionError) as error:
            raise WireError(f"field 'env' is not valid JSON: {error}") from None
        settings = Settings.parse(raw)
        seed = _int(fields, "prng", 0)
        self._run_guarded(
            instance_id,
            lambda: self._instances.__setitem__(instance_id, Balancer(settings, seed, self._now)),
            out,
        )

    def _handle_event(self, instance_id: int, event: Event, out: list[str]) -> None:
        balancer = self._instances.get(instance_id)
        if balancer is None:
            return
        try:
            for action in balancer.handle(self._now, event):
                out.append(_format_action(instance_id, action))
        except Exception as error:  # any failure of an instance is reported as its give_in action
            self._report_failure(instance_id, error, out)

    def _run_guarded(self, instance_id: int, work: Callable[[], None], out: list[str]) -> None:
        try:
            work()
        except Exception as error:  # as in _handle_event
            self._report_failure(instance_id, error, out)

    @staticmethod
    def _report_failure(instance_id: int, error: Exception, out: list[str]) -> None:
        traceback.print_exc(file=sys.stderr)
        text = f"{type(error).__name__}: {error}".replace("\n", " ")
        out.append(f"give_in who={instance_id} line={text}\n")


def main() -> int:
    """Entry point of `python -m dunefield.adapter`."""
    # Decoded line by line, so that an error message can name the line with invalid UTF-8.
    return Host((raw.decode("utf-8") for raw in sys.stdin.buffer), sys.stdout).run()


if __name__ == "__main__":
    sys.exit(main())
