"""What processes tell of themselves: the text, its bounds, and what is counted."""

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


def told(figures) -> dict[tuple[str, tuple[tuple[str, str], ...]], float]:
    """Every sample of the text, by name and labels."""
    families = text_string_to_metric_families(render(figures).decode())
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in families
        for sample in family.samples
    }


def test_labels_that_others_choose_make_no_more_series_than_are_kept() -> None:
    counts = LabelledCounter("requests", "by route", ("route", "outcome"))
    for at in range(300_000):
        counts.add((f"route {at}", "full"))
    values = counts.family().values
    assert len(values) == MAX_SERIES + 1 and sum(values.values()) == 300_000
    assert values[OTHER_LABEL, OTHER_LABEL] == 300_000 - MAX_SERIES


def test_a_label_with_any_characters_is_read_back_as_it_was() -> None:
    counts = LabelledCounter("requests", "by route", ("route",))
    odd = 'a"b\\c\nd\u20ac'
    counts.add((odd,))
    assert told([counts.family()])["requests_total", (("route", odd),)] == 1.0


def test_bytes_are_counted_by_kind_of_message() -> None:
    traffic = Traffic()
    small, wide = pack(Heartbeat(1, 1)), pack(ClaimKey(1, "k", "t", 1.0))
    traffic.sent(small)
    traffic.sent(wide)
    traffic.received(pack(ClaimAnswer(1, 1, "t", 0))[4:])
    traffic.received(b"")
    values = {labels: size for figure in traffic.metrics() for labels, size in figure.values.items()}
    assert values["sent", "Heartbeat"] == len(small) and values["sent", "ClaimKey"] == len(wide)
    assert values["received", "ClaimAnswer"] > 4 and values["received", OTHER_LABEL] == 4


def test_a_sidecar_tells_what_became_of_its_requests() -> None:
    async def play() -> None:
        harness = SidecarHarness()
        harness.send_request("pure")
        (first,) = harness.forwards()
        harness.respond(first, ErrorKind.BROKEN)
        second = next(offer for offer in harness.forwards() if offer[1] != first[1])
        harness.respond(second)
        harness.send_request("effectful")
        third = harness.forwards()[-1]
        harness.respond(
            next(offer for offer in harness.forwards() if offer not in (first, second)), ErrorKind.LATE
        )
        assert third
        harness.send_request(path="/other/x")
        harness.send_request(deadline=b"soon")
        found = told(harness.sidecar.metrics())

        def requests(route: str, outcome: str) -> float:
            return found["mesh_requests_total", (("outcome", outcome), ("route", route))]

        assert requests("pure", "server_2xx") == requests("effectful", "late") == 1.0
        assert requests("", "no_route") == requests("pure", "bad") == 1.0
        assert found["mesh_offers_total", (("place", "further"), ("service", "meals"))] == 1.0
        assert found["mesh_offers_total", (("place", "first"), ("service", "meals"))] == 2.0
        assert found["mesh_sidecars_linked", ()] == 3.0 and found["mesh_open_requests", ()] == 0.0
        harness.sidecar.close()

    asyncio.run(play())


def test_a_controller_tells_what_can_be_lost() -> None:
    async def play() -> None:
        made = make_controller((ME, "192.0.2.2:7000", "192.0.2.3:7000"))
        made.context.store.batches, made.context.store.errors = 3, 0
        made.api._refuse_change(Message(ResponseRecorder()), ErrorKind.INVALID, "no JSON")  # type: ignore[arg-type]
        found = told(made.metrics())
        assert found["mesh_voters", ()] == 3.0 and found["mesh_voters_away", ()] == 2.0
        assert found["mesh_in_contact", ()] == 0.0 and found["mesh_losses_wanted", ()] == 1.0
        assert sum(value for (name, _), value in found.items() if name == "mesh_orders_total") == 1.0
        for dial in made.peers._dials.values():
            dial.stop()

    asyncio.run(play())


def test_every_process_tells_its_processor_and_memory() -> None:
    found = told([*process_metrics(), gauge("mesh_x", "x", 1.0)])
    assert (
        found["mesh_process_cpu_seconds_total", ()] > 0 and found["mesh_process_peak_memory_bytes", ()] > 1e6
    )


@pytest.mark.parametrize("text", ["", "9464", "x/metrics", "70000/metrics", "-1/metrics"])
def test_a_place_that_is_none_is_told(text: str) -> None:
    with pytest.raises(ValueError, match="PORT/PATH"):
        parse_port_path(text)


def test_a_place_is_port_and_path() -> None:
    assert parse_port_path("9464/metrics") == (9464, "/metrics") and parse_port_path("1/") == (1, "/")


def started(folder: Path, words: list[str]) -> tuple[subprocess.Popen[bytes], int]:
    """A controller of its own, and the port of its control address."""
    peer, control = free_ports(2)
    path = folder / "settings.toml"
    path.write_text(SETTINGS.format(peer=peer, control=control, folder=folder / "disk"))
    process = subprocess.Popen(
        [sys.executable, "-m", "mesh", "controller", *words],
        env={**os.environ, "HOLLYPORT_NODE_FILE": str(path)},
        stderr=subprocess.PIPE,
    )
    return process, control


def test_a_process_answers_at_its_place_and_serves_on_where_its_port_is_taken(tmp_path: Path) -> None:
    with room(), socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        (port,) = free_ports(1)
        for folder, metrics in (("well", port), ("taken", taken.getsockname()[1])):
            (tmp_path / folder).mkdir()
            process, control = started(tmp_path / folder, ["--metrics", f"{metrics}/metrics"])
            try:
                if folder == "well":
                    text = fetched(f"http://127.0.0.1:{port}/metrics", START_S)
                    assert "mesh_voters 1.0" in text or "mesh_voters 0.0" in text
                assert "epoch" in fetched(f"http://127.0.0.1:{control}/-/status", START_S)
            finally:
                process.send_signal(signal.SIGTERM)
                _, said = process.communicate(timeout=START_S)
            assert (b"metrics are not served" in said) == (folder == "taken")


def test_a_wrong_place_ends_the_program_with_2(tmp_path: Path) -> None:
    process, _ = started(tmp_path, ["--metrics", "nowhere"])
    _, said = process.communicate(timeout=START_S)
    assert process.returncode == 2 and b"PORT/PATH" in said
