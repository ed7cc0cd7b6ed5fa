"""The metrics of a sidecar."""

from __future__ import annotations

from collections.abc import Iterator

from mesh.figures import Labels, MetricFamily, MetricKind, counter, gauge
from mesh.proxy.context import ProxyContext
from mesh.proxy.control_client import ControlClient
from mesh.proxy.directory import Directory
from mesh.proxy.forwarder import Forwarder
from mesh.proxy.key_ranges import KeyRanges
from mesh.proxy.server_heartbeats import ServerHeartbeats
from mesh.proxy.server_queue import ServerQueue


def metrics(
    context: ProxyContext,
    control: ControlClient,
    directory: Directory,
    forwarder: Forwarder,
    queue: ServerQueue,
    heartbeats: ServerHeartbeats,
    key_ranges: KeyRanges,
) -> Iterator[MetricFamily]:
    """Returns all metric families of one sidecar."""
    yield from forwarder.counts.metrics()
    yield from forwarder.router.metrics()
    yield gauge("mesh_open_requests", "Requests that began here and have no answer.", context.open_requests)
    yield gauge("mesh_open_calls", "Calls for the server beside that have not ended.", context.open_calls)
    yield gauge("mesh_leaving", "1 once this sidecar has been told to end.", context.draining)
    yield from _server_metrics(queue)
    yield counter(
        "mesh_servers_unconfirmed",
        "Server ids found beside whose service was not known.",
        heartbeats.unconfirmed,
    )
    yield from _range_metrics(context, key_ranges)
    yield from _control_metrics(control)
    yield gauge("mesh_sidecars_known", "Sidecars with a record, this one too.", len(directory.records))
    yield gauge("mesh_sidecars_linked", "Connections to other sidecars.", len(directory.connections))


def _server_metrics(queue: ServerQueue) -> Iterator[MetricFamily]:
    """Returns the metrics of the server beside this sidecar."""
    calls: dict[Labels, float] = {
        ("running",): float(queue.in_flight),
        ("waiting",): float(len(queue.queued)),
        ("late",): float(len(queue.late)),
    }
    yield MetricFamily(
        "mesh_server_calls", "Calls at the server and in its queue.", MetricKind.GAUGE, calls, ("state",)
    )
    yield gauge("mesh_server_open", "1 while the server takes calls.", queue.open)
    yield gauge("mesh_server_slots", "What the server says it serves together.", queue.slots)
    yield gauge("mesh_server_budget", "Calls that may be at the server together.", queue.budget.limit)
    yield gauge("mesh_server_failing", "Part of its calls that fail of late.", queue.failure_rate())
    yield gauge("mesh_server_call_seconds", "What a call takes there of late.", queue.service_times.mean_s)
    misdirected: dict[Labels, float] = {
        ("same",): float(queue.misdirected_by_same_server),
        ("other",): float(queue.misdirected_by_other_server),
    }
    yield MetricFamily(
        "mesh_server_misdirected",
        "Calls answered with 421, by the server that they were for (same) or another one at its address.",
        MetricKind.COUNTER,
        misdirected,
        ("server",),
    )
    yield counter(
        "mesh_shard_calls_returned",
        "Calls given back unsent, as the server did not hold their keys.",
        queue.keys_not_held,
    )
    yield counter(
        "mesh_shard_calls_misdirected",
        "Calls that the server refused itself, as it did not hold their keys.",
        queue.misdirected_keys,
    )


def _range_metrics(context: ProxyContext, key_ranges: KeyRanges) -> Iterator[MetricFamily]:
    """Returns the metrics of the key ranges of the server beside this sidecar."""
    questions = key_ranges.leases.questions
    held = key_ranges.holds.held_ranges(context.monotonic())
    yield gauge("mesh_ranges_held", "Key ranges that the server holds.", len(held))
    yield counter("mesh_leases_renewed", "Leases on one range, begun or prolonged.", questions.renewed)
    yield counter("mesh_leases_refused", "Answers of voters that don't confirm a range.", questions.refused)
    yield key_ranges.calls.outcomes.family()


def _control_metrics(control: ControlClient) -> Iterator[MetricFamily]:
    """Returns the metrics of the controllers and the configuration."""
    claims = control.key_claims
    yield gauge("mesh_controllers_linked", "Connections to controllers.", len(control.connections))
    yield gauge("mesh_following", "1 while a controller is followed.", bool(control.selector.controller))
    yield gauge("mesh_items", "Items of the configuration in force here.", len(control.copy.items))
    yield gauge("mesh_voters_epoch", "The epoch of the voters whose grants count.", claims.voters.epoch)
    yield gauge("mesh_key_claims_open", "Claims of keys without a verdict.", len(claims.pending))
    yield counter("mesh_key_claims_timed_out", "Claims that took too long.", claims.timed_out)
    yield counter("mesh_key_claims_too_old", "Claims refused as their requests were old.", claims.too_old)
