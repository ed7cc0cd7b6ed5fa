"""The server list: known servers, this sidecar's subset of them, and subscription to updates."""

from __future__ import annotations

from zlib import crc32

from dunefield.shared_state import SharedState
from dunefield.request_rates import RequestRates
from dunefield.interface import ServerEntry, ServerListUpdate, StartTimer, SubscribeServerList
from dunefield.state import Call, Server

MIN_SUBSET_SIZE = 2  # one of them may be bad
SERVERS_PER_CALL = 2.5  # added per expected call in flight, for use while the preferred ones are busy


class ServerSubset:
    """Maintains the servers of the list and their order of preference for this sidecar."""

    def __init__(self, state: SharedState, rates: RequestRates) -> None:
        self._state, self._rates, self._settings = state, rates, state.settings
        self.preference_order: list[Server] = []  # all that are up, this sidecar's subset first
        self.groups: dict[int, list[Server]] = {}  # by cell, and by zone as -1 - zone
        self.size = 1  # size of the subset at the last draw
        self.max_weight = 1.0
        self.next_subscribe_at = 0  # no subscription is sent before
        self._retry_delay_ns = state.settings.invariants.subscribe_within_ns // 16
        self._subscribed = False

    def on_timer(self, now: int) -> None:
        """Handles a timer: subscribes to the server list if it is time to."""
        if self._settings.must_subscribe and not self._subscribed and now >= self.next_subscribe_at:
            # Subscribe again if no response ever comes, so that the list does not become too old.
            delay_ns = self._settings.invariants.subscribe_within_ns // 2
            self.next_subscribe_at = now + delay_ns
            self._state.actions += [SubscribeServerList(), StartTimer(delay_ns, 0)]

    def handle_update(self, now: int, event: ServerListUpdate) -> bool:
        """Applies an update of the list. Returns False if it carries no entries, as discovery failed."""
        invariants = self._settings.invariants
        if event.scope == "FAILED":
            # Each failure doubles the delay, as discovery serves all sidecars. The random delay may be twice
            # as long, and must still leave the list younger than allowed.
            self._subscribed = False
            self._retry_delay_ns = min(self._retry_delay_ns * 2, invariants.subscribe_within_ns * 3 // 8)
            self._schedule_subscribe(now)
            return False
        if event.scope == "SAVED":
            # The first event: a timer started earlier would be lost, and the subscription with it.
            if self._settings.must_subscribe:
                self._schedule_subscribe(now)
        else:
            self._subscribed = self._settings.must_subscribe
            self._retry_delay_ns = invariants.subscribe_within_ns // 16
        if event.scope != "INCREMENTAL":
            listed = {entry.server for entry in event.entries}
            for name, server in self._state.servers.items():
                if name not in listed:
                    server.up, server.gone = False, True
                    self._state.update_available(server)
        for entry in event.entries:
            self.update_server(now, entry)
        self.rebuild()
        return True

    def _schedule_subscribe(self, now: int) -> None:
        delay_ns = 1 + int(self._retry_delay_ns * 2 * self._state.random())
        self.next_subscribe_at = now + delay_ns
        self._state.actions.append(StartTimer(delay_ns, 0))

    def update_server(self, now: int, entry: ServerEntry) -> None:
        """Adds or updates one server."""
        state = self._state
        server = state.servers.get(entry.server)
        if server is None:
            server = state.servers[entry.server] = Server(entry)
        server.zone, server.cell, server.weight = entry.zone, entry.cell, entry.weight
        if server.started >= 0 and entry.started_ns > server.started:
            server.reset()  # restarted: what is known of the old process no longer holds
        if entry.started_ns > server.started:
            # The initial credit is random, so that not all sidecars send at once.
            server.started = entry.started_ns
            server.warm_up_credit, server.warm_up_credit_at = state.random(), now
        server.up, server.gone = entry.lifecycle == "up", entry.lifecycle == "removed"
        state.update_available(server)

    def rebuild(self) -> None:
        """Rebuilds what is derived from the list; called on list updates only, never for a request."""
        state = self._state
        # Each deployment brings new names: removed servers are deleted once nothing is in flight there.
        for server in [
                s for s in state.servers.values() if s.gone and not s.in_flight and not s.probe_waiters]:
            del state.servers[server.name]
        state.up_servers = sorted((s for s in state.servers.values() if s.up), key=lambda s: s.name)
        self.groups = {}
        for server in state.up_servers:
            self.groups.setdefault(-1 - server.zone, []).append(server)
            self.groups.setdefault(server.cell, []).append(server)
        self.max_weight = max((s.weight for s in state.up_servers), default=1.0)
        # All sidecars use one ring of servers, and each starts at the position of its index, so every server
        # is in as many subsets as any other. Zones are interleaved, so losing one costs each the same part.
        by_zone: dict[int, list[Server]] = {}
        for server in sorted(state.up_servers, key=lambda s: (crc32(s.name.encode()), s.name)):
            by_zone.setdefault(server.zone, []).append(server)
        ring = [((i + 0.5) / len(zone), s.name, s) for zone in by_zone.values() for i, s in enumerate(zone)]
        ring.sort(key=lambda place: place[:2])
        start = self._settings.index % self._settings.replicas * len(ring) // self._settings.replicas
        self.preference_order = [place[2] for place in ring[start:] + ring[:start]]
        state.active_count, state.unavailable_until = sum(1 for s in state.up_servers if s.steps), 0

    def size_for(self, call: Call, extra: int) -> int:
        """Returns how many servers of its preference order this sidecar uses.

        Exception "own subset": a sidecar learns nothing about servers it calls once a minute; many sidecars
        fill the servers' connection tables, and handshakes take capacity. So each uses its share of the
        fleet, or a few servers per call in flight: most of their load is then its own, and its calls in
        flight show their queues. A drawback where few sidecars send nearly all requests."""
        size = len(self.preference_order)
        if self._state.use_subset:
            own_share = -(-size // self._settings.replicas)
            size = min(size, max(own_share, MIN_SUBSET_SIZE + round(
                SERVERS_PER_CALL * self._rates.mean_rate * call.expected_ns)) + extra)
        self.size = max(1, size)
        return size
