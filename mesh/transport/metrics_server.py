"""The address where a process tells its figures, in the text format of Prometheus.

`prometheus_client` writes the format. It is imported when somebody asks for the first time: its import takes
a tenth of a start, and nobody asks on most days.
"""

from __future__ import annotations

import resource
import time
from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING

from loguru import logger

from hollyport.http.message import Message as Request
from mesh.figures import Figure, FigureKind, counter, gauge
from mesh.settings import Address
from mesh.transport.connection import traffic
from mesh.transport.http_server import open_http_server

if TYPE_CHECKING:
    from prometheus_client.core import Metric

CONTENT_TYPE = [(b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8")]
MOST_CALLERS = 8
Figures = Callable[[], Iterable[Figure]]


def process_metrics() -> Iterator[Figure]:
    """What every process tells: processor, memory, bytes to other processes of the mesh."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    yield counter("mesh_process_cpu_seconds", "Processor time of this process.", time.process_time())
    yield gauge("mesh_process_peak_memory_bytes", "The most memory it has held.", used.ru_maxrss * 1024)
    yield from traffic.metrics()


def render(figures: Iterable[Figure]) -> bytes:
    """Figures in the text format."""
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

    class Snapshot:
        """The figures, as the library asks for them."""

        def collect(self) -> Iterator[Metric]:
            for figure in figures:
                made = CounterMetricFamily if figure.kind is FigureKind.COUNTER else GaugeMetricFamily
                family = made(figure.name, figure.help, labels=figure.label_names)
                for labels, value in figure.values.items():
                    family.add_metric(labels, value)
                yield family

    registry = CollectorRegistry(auto_describe=False)
    registry.register(Snapshot())
    return bytes(generate_latest(registry))


def parse_port_path(text: str) -> tuple[int, str]:
    """`PORT/PATH`, as the deploy file tells it; ValueError where it is not one."""
    port, slash, path = text.partition("/")
    if not slash or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is no PORT/PATH")
    return int(port), f"/{path}"


async def start_metrics_server(host: str, place: str, figures: Figures) -> None:
    """Tell figures at `PORT/PATH` of a host. A process whose port is taken serves without them."""
    port, path = parse_port_path(place)

    def serve(message: Request) -> None:
        if message.method != b"GET" or message.target.partition(b"?")[0] != path.encode():
            message.answer(404)
            return
        message.answer(200, render([*process_metrics(), *figures()]), CONTENT_TYPE)

    try:
        await open_http_server(Address(host, port), serve, None, MOST_CALLERS)
    except OSError as error:
        logger.warning("metrics are not served at port {}: {}", port, error.strerror)
