"""The metrics of processes: their text format, the bound on series, and what is counted."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from controller_process import SETTINGS, START_S, fetched, free_ports
from plays import room
from prometheus_client.parser import text_string_to_metric_families
from test_mesh_api import ME, ResponseRecorder, make_controller
from test_mesh_sidecar import SidecarHarness

from hollyport.http.message import Message
from mesh.errors import ErrorKind
from mesh.figures import MAX_SERIES, OTHER_LABEL, LabelledCounter, gauge
from mesh.transport.connection import Traffic, pack
from mesh.transport.messages import ClaimAnswer, ClaimKey, Heartbeat
from mesh.transport.metrics_server import parse_port_path, process_metrics, render


def samples(families) -> dict[tuple[str, tuple[tuple[str, str], ...]], float]:
    """Returns every sample of the rendered text by name and labels."""
    parsed = text_string_to_metric_families(render(families).decode())
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in parsed
        for sample in family.samples
    }


def test_the_number_of_series_is_bounded() -> None:
    counts = LabelledCounter("requests", "by route", ("route", "outcome"))
    for index in range(300_000):
        counts.add((f"route {index}", "full"))
    values = counts.family().values
    assert len(values) == MAX_SERIES + 1 and sum(values.values()) == 300_000
    assert values[OTHER_LABEL, OTHER_LABEL] == 300_000 - MAX_SERIES


def test_a_label_with_special_characters_is_escaped() -> None:
    counts = LabelledCounter("requests", "by route", ("route",))
    label = 'a"b\\c\nd\u20ac'
    counts.add((label,))
    assert samples([counts.family()])["requests_total", (("route", label),)] == 1.0


def test_bytes_are_counted_by_message_type() -> None:
    traffic = Traffic()
    small, wide = pack(Heartbeat(1, 1)), pack(ClaimKey(1, "k", "t", 1.0))
    traffic.sent(small)
    traffic.sent(wide)
    traffic.received(pack(ClaimAnswer(1, 1, "t", 0))[4:])
    traffic.received(b"")
    values = {labels: size for family in traffic.metrics() for labels, size in family.values.items()}
    assert values["sent", "Heartbeat"] == len(small) and values["sent", "ClaimKey"] == len(wide)
    assert values["received", "ClaimAnswer"] > 4 and values["received", OTHER_LABEL] == 4


def test_a_sidecar_counts_requests_by_outcome() -> None:
    async def body() -> None:
        harness = SidecarHarness()
        harness.send_request("pure")
        (first,) = harness.forwards()
        harness.respond(first, ErrorKind.BROKEN)
        second = next(forward for forward in harness.forwards() if forward[1] != first[1])
        harness.respond(second)
        harness.send_request("effectful")
        third = harness.forwards()[-1]
        harness.respond(
            next(forward for forward in harness.forwards() if forward not in (first, second)), ErrorKind.LATE
        )
        assert third
        harness.send_request(path="/other/x")
        harness.send_request(deadline=b"soon")
        found = samples(harness.sidecar.metrics())

        def requests(route: str, outcome: str) -> float:
            return found["mesh_requests_total", (("outcome", outcome), ("route", route))]

        assert requests("pure", "server_2xx") == requests("effectful", "late") == 1.0
        assert requests("", "no_route") == requests("pure", "bad") == 1.0
        assert found["mesh_offers_total", (("place", "further"), ("service", "meals"))] == 1.0
        assert found["mesh_offers_total", (("place", "first"), ("service", "meals"))] == 2.0
        assert found["mesh_server_misdirected_total", (("server", "same"),)] == 0.0
        assert found["mesh_sidecars_linked", ()] == 3.0 and found["mesh_open_requests", ()] == 0.0
        harness.sidecar.close()

    asyncio.run(body())


def test_a_controller_exports_the_losses_that_it_tolerates() -> None:
    async def body() -> None:
        controller = make_controller((ME, "192.0.2.2:7000", "192.0.2.3:7000"))
        controller.context.store.batches, controller.context.store.errors = 3, 0
        controller.api._refuse_change(Message(ResponseRecorder()), ErrorKind.INVALID, "no JSON")  # type: ignore[arg-type]
        found = samples(controller.metrics())
        assert found["mesh_voters", ()] == 3.0 and found["mesh_voters_away", ()] == 2.0
        assert found["mesh_in_contact", ()] == 0.0 and found["mesh_losses_wanted", ()] == 1.0
        assert sum(value for (name, _), value in found.items() if name == "mesh_orders_total") == 1.0
        for dial in controller.peers._dials.values():
            dial.stop()

    asyncio.run(body())


def test_every_process_exports_its_cpu_time_and_memory() -> None:
    found = samples([*process_metrics(), gauge("mesh_x", "x", 1.0)])
    assert (
        found["mesh_process_cpu_seconds_total", ()] > 0 and found["mesh_process_peak_memory_bytes", ()] > 1e6
    )


@pytest.mark.parametrize("text", ["", "9464", "x/metrics", "70000/metrics", "-1/metrics"])
def test_an_invalid_port_and_path_is_an_error(text: str) -> None:
    with pytest.raises(ValueError, match="PORT/PATH"):
        parse_port_path(text)


def test_port_and_path_are_parsed() -> None:
    assert parse_port_path("9464/metrics") == (9464, "/metrics") and parse_port_path("1/") == (1, "/")


def start_controller(folder: Path, options: list[str]) -> tuple[subprocess.Popen[bytes], int]:
    """Starts a controller process; returns it and the port of its control address."""
    peer, control = free_ports(2)
    path = folder / "settings.toml"
    path.write_text(SETTINGS.format(peer=peer, control=control, folder=folder / "disk"))
    process = subprocess.Popen(
        [sys.executable, "-m", "mesh", "controller", *options],
        env={**os.environ, "HOLLYPORT_NODE_FILE": str(path)},
        stderr=subprocess.PIPE,
    )
    return process, control


def test_a_process_exports_metrics_and_runs_without_them_if_the_port_is_taken(tmp_path: Path) -> None:
    with room(), socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        (port,) = free_ports(1)
        for folder, metrics in (("well", port), ("taken", taken.getsockname()[1])):
            (tmp_path / folder).mkdir()
            process, control = start_controller(tmp_path / folder, ["--metrics", f"{metrics}/metrics"])
            try:
                if folder == "well":
                    text = fetched(f"http://127.0.0.1:{port}/metrics", START_S)
                    assert "mesh_voters 1.0" in text or "mesh_voters 0.0" in text
                assert "epoch" in fetched(f"http://127.0.0.1:{control}/-/status", START_S)
            finally:
                process.send_signal(signal.SIGTERM)
                _, stderr = process.communicate(timeout=START_S)
            assert (b"metrics are not served" in stderr) == (folder == "taken")


def test_an_invalid_metrics_option_exits_with_status_2(tmp_path: Path) -> None:
    process, _ = start_controller(tmp_path, ["--metrics", "nowhere"])
    _, stderr = process.communicate(timeout=START_S)
    assert process.returncode == 2 and b"PORT/PATH" in stderr
