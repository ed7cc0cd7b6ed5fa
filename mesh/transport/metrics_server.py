"""Serves the metrics of a process in the Prometheus text format.

`prometheus_client` renders the format. It is imported at the first scrape, as its import takes a tenth of the
start-up time and is often never needed.
"""

from __future__ import annotations

import resource
import time
from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING

from loguru import logger

from hollyport.http.message import Message as Request
from mesh.figures import MetricFamily, MetricKind, counter, gauge
from mesh.settings import Address
from mesh.transport.client_memory import ClientMemory
from mesh.transport.connection import traffic
from mesh.transport.http_server import open_http_server

if TYPE_CHECKING:
    from prometheus_client.core import Metric

CONTENT_TYPE = [(b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8")]
MAX_CONNECTIONS = 8
MetricsSource = Callable[[], Iterable[MetricFamily]]


def process_metrics() -> Iterator[MetricFamily]:
    """Returns the metrics of every process: CPU time, memory, and traffic to other processes of the mesh."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    yield counter("mesh_process_cpu_seconds", "Processor time of this process.", time.process_time())
    yield gauge("mesh_process_peak_memory_bytes", "The most memory it has held.", used.ru_maxrss * 1024)
    yield from traffic.metrics()


def render(metrics: Iterable[MetricFamily]) -> bytes:
    """Renders metrics in the Prometheus text format."""
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

    class Snapshot:
        """Adapts the metrics to the collector interface of the library."""

        def collect(self) -> Iterator[Metric]:
            for metric in metrics:
                family_class = CounterMetricFamily if metric.kind is MetricKind.COUNTER else GaugeMetricFamily
                family = family_class(metric.name, metric.help, labels=metric.label_names)
                for labels, value in metric.values.items():
                    family.add_metric(labels, value)
                yield family

    registry = CollectorRegistry(auto_describe=False)
    registry.register(Snapshot())
    return bytes(generate_latest(registry))


def parse_port_path(text: str) -> tuple[int, str]:
    """Parses `PORT/PATH` as given in the deployment settings. Raises ValueError if it is malformed."""
    port, slash, path = text.partition("/")
    if not slash or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is not of the form PORT/PATH")
    return int(port), f"/{path}"


async def start_metrics_server(
    host: str, port_path: str, metrics: MetricsSource, memory: ClientMemory
) -> None:
    """Serves metrics at `PORT/PATH` of a host. If the port is in use, the process runs without metrics."""
    port, path = parse_port_path(port_path)

    def serve(message: Request) -> None:
        if message.method != b"GET" or message.target.partition(b"?")[0] != path.encode():
            message.answer(404)
            return
        message.answer(200, render([*process_metrics(), *memory.metrics(), *metrics()]), CONTENT_TYPE)

    try:
        await open_http_server(Address(host, port), serve, None, MAX_CONNECTIONS, memory=memory)
    except OSError as error:
        logger.warning("metrics are not served at port {}: {}", port, error.strerror)
