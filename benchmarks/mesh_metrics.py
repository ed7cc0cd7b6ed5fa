"""What the figures of a sidecar cost: counting one request, one scrape, and the memory that they hold.

    python -m benchmarks.mesh_metrics [--routes 310] [--services 140] [--scrapes 20] [--requests 200000]

Every route has every outcome and every service both places in line, up to the bound of a family: the most
that a sidecar ever tells. Processor is this process's own, by `time.process_time`; memory is what
`tracemalloc` sees. The import of the library, at the first scrape, is told apart.
"""

from __future__ import annotations

import argparse
import sys
import time
import tracemalloc

from mesh.errors import ErrorKind
from mesh.proxy.request_counts import RequestCounts
from mesh.transport.metrics_server import process_metrics, render

MICROSECOND = 1e-6


def filled(routes: int, services: int) -> RequestCounts:
    """Counts with every label that there can be."""
    counts = RequestCounts()
    for route in range(routes):
        for status in (200, 404, 500):
            counts.answered(f"route-{route}", status, 0.1)
        for error in ErrorKind:
            counts.failed(f"route-{route}", error)
        counts.client_left(f"route-{route}")
    for service in range(services):
        counts.offered(f"service-{service}", True)
        counts.offered(f"service-{service}", False)
    return counts


def counting_s(counts: RequestCounts, routes: int, requests: int) -> float:
    """Processor seconds of counting one request that was offered once and answered."""
    names = [f"route-{number % routes}" for number in range(requests)]
    began = time.process_time()
    for name in names:
        counts.offered("service-0", True)
        counts.answered(name, 200, 0.1)
    return (time.process_time() - began) / requests


def scrape_s(counts: RequestCounts, scrapes: int) -> tuple[float, int]:
    """Processor seconds of one scrape, and the bytes that it tells."""
    began, size = time.process_time(), 0
    for _ in range(scrapes):
        size = len(render([*process_metrics(), *counts.metrics()]))
    return (time.process_time() - began) / scrapes, size


def main(words: list[str]) -> int:
    """Print one figure a line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.mesh_metrics", description=__doc__)
    parser.add_argument("--routes", type=int, default=310)
    parser.add_argument("--services", type=int, default=140)
    parser.add_argument("--scrapes", type=int, default=20)
    parser.add_argument("--requests", type=int, default=200_000)
    told = parser.parse_args(words)
    tracemalloc.start()
    counts = filled(told.routes, told.services)
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    began = time.process_time()
    render(process_metrics())
    first_s = time.process_time() - began
    one_scrape_s, size = scrape_s(counts, told.scrapes)
    one_request_s = counting_s(counts, told.routes, told.requests)
    print(f"counting a request     {one_request_s / MICROSECOND:8.2f} us")
    print(f"memory held            {held / 1000:8.0f} kB")
    print(f"first scrape, imports  {first_s * 1000:8.1f} ms")
    print(f"a scrape               {one_scrape_s * 1000:8.1f} ms, {size / 1000:.0f} kB")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
