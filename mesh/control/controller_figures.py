"""Metrics of one controller."""

from __future__ import annotations

from collections.abc import Iterator

from mesh.control.admin_api import AdminApi
from mesh.control.agreement import Agreement
from mesh.control.context import Context
from mesh.control.elections import Reconfiguration
from mesh.control.heartbeats import Heartbeats
from mesh.control.key_grants import KeyGrants
from mesh.control.known_servers import KnownServers
from mesh.control.peers import Peers
from mesh.control.publisher import Publisher
from mesh.control.recovery import Recovery
from mesh.control.shard_assigner import ShardAssigner
from mesh.figures import MetricFamily, counter, gauge


def metrics(
    context: Context,
    peers: Peers,
    agreement: Agreement,
    heartbeats: Heartbeats,
    grants: KeyGrants,
    elections: Reconfiguration,
    publisher: Publisher,
    recovery: Recovery,
    known_servers: KnownServers,
    api: AdminApi,
    shards: ShardAssigner,
) -> Iterator[MetricFamily]:
    """Yields all metric families of one controller."""
    yield from _voting(context, heartbeats)
    yield counter(
        "mesh_ballots", "Ballots that this controller has begun for changes.", agreement.ballots_started
    )
    yield counter("mesh_elections", "Proposals of other voters that it has begun.", elections.proposals)
    yield counter("mesh_repairs", "Times that it became whole again.", recovery.repairs)
    yield api.changes.family()
    yield gauge("mesh_sequence", "Changes of the configuration that it holds.", agreement.replica.sequence)
    yield gauge("mesh_items", "Items that it holds, dropped ones too.", len(agreement.copy.items))
    yield gauge("mesh_servers_remembered", "Sidecars whose last server it knows.", len(known_servers))
    yield gauge("mesh_keys", "Operation keys that it holds.", len(grants.registry))
    yield gauge("mesh_controllers_known", "Other controllers.", len(peers.names))
    yield gauge("mesh_controllers_linked", "Connections to other controllers.", len(peers.connections))
    yield gauge("mesh_sidecars_linked", "Sidecars that are linked.", publisher.linked)
    yield gauge(
        "mesh_sidecars_following", "Sidecars that hear the configuration from here.", publisher.following
    )
    yield from shards.metrics()
    yield counter("mesh_disk_batches", "Batches of records that were synced.", context.store.batches)
    yield counter("mesh_disk_errors", "Batches that the disk did not take.", context.store.errors)
    yield gauge("mesh_disk_well", "1 while the disk takes records.", context.store.healthy)


def _voting(context: Context, heartbeats: Heartbeats) -> Iterator[MetricFamily]:
    """Yields the metrics of contact with a majority, of the voters, and of the losses tolerated."""
    safety, voters = heartbeats.fault_tolerance, context.voters
    yield gauge("mesh_in_contact", "1 while it is in contact with a majority.", heartbeats.in_contact)
    yield gauge("mesh_whole", "1 while its disk is whole.", context.member.caught_up)
    yield gauge("mesh_votes", "1 while it votes; 0 for a learner.", context.is_voter)
    yield gauge("mesh_voters_epoch", "The epoch of the voters.", voters.epoch)
    yield gauge("mesh_voters", "Controllers that vote.", len(voters.names))
    yield gauge("mesh_voters_away", "Voters that are not heard.", len(heartbeats.absent_voters()))
    yield gauge("mesh_copies", "Disks that hold each acknowledged thing, at the least.", safety.copies)
    yield gauge("mesh_losses_bearable", "Machines that may still be lost.", safety.losses)
    yield gauge("mesh_losses_wanted", "Machines that should be.", context.settings.losses)
