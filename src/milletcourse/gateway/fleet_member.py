"""One gateway as a member of the fleet: replication of the store and exchange with its peers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import msgspec

from milletcourse.exchange.evidence.crash_reports import MAX_REPORTS_PER_MESSAGE
from milletcourse.exchange.messages.store_position import UNKNOWN_ERA, StorePosition
from milletcourse.exchange.replication.reader_selection import GatewayRecord, ReaderSelection
from milletcourse.exchange.resumption.version_record import VersionRecord
from milletcourse.exchange.servers.relay_selector import RelayPeer
from milletcourse.gateway.adapter import PlatformAdapter
from milletcourse.gateway.clients.client_connection import Handler
from milletcourse.gateway.fleet.peers import PeerExchange
from milletcourse.gateway.fleet.relay_listener import RelayListener
from milletcourse.gateway.servers.call_client import CallClient
from milletcourse.gateway.state.context import GatewayContext
from milletcourse.gateway.store.directory import ContainedRequest, GatewayDirectory, GatewayEntry
from milletcourse.gateway.store.event_handlers import (
    ConfigurationEventHandler,
    InstanceEventHandler,
    TargetEventHandler,
)
from milletcourse.gateway.store.gateway_objects import GatewayObjectsEventHandler
from milletcourse.gateway.store.kind_event_handler import KindEventHandler
from milletcourse.gateway.store.kind_mirror import KindMirror
from milletcourse.gateway.store.object_store import ObjectStoreClient
from milletcourse.gateway.store.origin_store import OriginStore
from milletcourse.gateway.store.registration import Registration
from milletcourse.gateway.store.store_comparison import StoreState, compare_kinds
from milletcourse.gateway.store.store_feed import StoreFeed
from milletcourse.gateway.store.store_sync import StoreSync, WatchedKind
from milletcourse.gateway.store.version_record_store import VersionRecordStore
from milletcourse.runtime.clock import wall_seconds

INSTANCE_WAIT_SECONDS = 1.5
TARGET_WAIT_SECONDS = 3.0
GATEWAY_WAIT_SECONDS = 10.0
"""The list of gateways changes rarely, and only speed depends on it."""

Listen = Callable[[str, Handler, RelayListener], Awaitable[str]]
"""Listens at an address with a handler for HTTP requests and a listener for gateways that ask for
connections; returns the address in use."""
Spawn = Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]]
"""Starts a task whose failure stops the gateway."""


class FleetMember:
    """Follows the object store, alone or together with the other gateways.

    Attributes:
        peers: Datagrams to and from the other gateways.
        relays: Connections to servers that it relays for other gateways.
    """

    def __init__(
        self,
        context: GatewayContext,
        store: ObjectStoreClient,
        calls: CallClient,
        adapter: PlatformAdapter,
        listen: Listen,
        spawn: Spawn,
    ) -> None:
        settings = context.settings
        self.peers = PeerExchange(context)
        self.relays = RelayListener(context, self.peers.is_listed)
        self._context = context
        self._store = store
        self._listen = listen
        self._spawn = spawn
        self._gateways_kind = adapter.kinds.gateways
        self._directory = GatewayDirectory(settings.name, context.log, self._on_entry, context.now)
        self._reader_selection = ReaderSelection(
            settings.name, settings.zone, settings.link_megabits
        )
        self._version_record = VersionRecordStore(
            store,
            self._gateways_kind,
            VersionRecord(context.stream_resumption.versions),
            context.now,
            context.random,
            context.log,
            context.record.resumption,
        )
        context.stream_resumption.on_new_version = self._on_new_version
        self._origin_store = OriginStore(
            store,
            adapter.kinds.origins,
            settings.zone,
            context.stream_resumption,
            context.now,
            context.log,
        )
        self._version_record.on_read = self._restore_origins
        gateway_objects = GatewayObjectsEventHandler(self._directory, self._version_record)
        self._watched = _watched_kinds(context, adapter, gateway_objects)
        self._store_sync = StoreSync(
            context, store, calls, self._reader_selection, self._watched, self._gateways_kind, spawn
        )

    async def start(self) -> None:
        """Join the other gateways if a port is free for it, and follow the store.

        Without a free port the gateway serves alone. Only speed and the number of calls to the
        store depend on the other gateways.
        """
        settings = self._context.settings
        port = await self._bind_datagrams(settings.host, settings.internal_ports)
        if port is None:
            self._context.log.emit("peers-unavailable", ports=settings.internal_ports)
            self._context.stream_resumption.holders.set_readers([settings.name])
            self._context.stream_resumption.set_peers([])
        else:
            await self._join(f"{settings.host}:{port}")
        self._spawn(self._version_record.run())
        self._spawn(self._origin_store.run())
        self._spawn(self._store_sync.run())

    def _restore_origins(self) -> None:
        """After a start among several software versions, learn which one began which stream."""
        if self._context.stream_resumption.begin_restore():
            self._spawn(self._origin_store.restore())

    def _on_new_version(self) -> None:
        """Record a software version at once; gateways that follow a reader leave that to readers.

        They record what readers haven't when they next compare.
        """
        if self._context.reads_store or self._reader_selection.is_reader:
            self._version_record.write_soon()

    async def _join(self, address: str) -> None:
        settings = self._context.settings
        self._context.crash_evidence.knows_peers = False
        feed_address = await self._listen_for_followers()
        self._directory.add_listener(self._on_gateways)
        self._spawn(self.peers.run())
        base_entry = GatewayEntry(address, settings.zone, feed_address, settings.link_megabits)
        registration = Registration(
            self._store,
            self._gateways_kind,
            settings.name,
            self._directory,
            lambda stored: self._current_entry(base_entry, stored),
            lambda found: self._on_entry(found, True),
            self._gateways_position,
            self._context.random,
            self._context.record.store.entry_rewritten,
        )
        self._spawn(registration.run())
        self._context.crash_detector.listeners.append(registration.on_change)
        self._context.on_restore_update = registration.on_change
        self._context.permits.slots.on_limits_changed = registration.on_change

    def _gateways_position(self) -> StorePosition | None:
        mirrors = [kind.mirror for kind in self._watched]
        return next(mirror.position for mirror in mirrors if mirror.kind == self._gateways_kind)

    async def compare_with_store(self) -> StoreState:
        """Compare this gateway's replica with the content of the store."""
        context = self._context
        mirrors = [kind.mirror for kind in self._watched]
        kinds = await compare_kinds(self._store, mirrors, context.now())
        version = context.route_table.version if context.route_table is not None else None
        return StoreState(
            context.settings.name, version, context.reads_store, context.followed_reader, kinds
        )

    def sweep(self, now: float) -> None:
        """Remove state whose time limit has passed."""
        self._directory.expire_missing(now)
        self.relays.sweep(now)

    def _current_entry(self, base_entry: GatewayEntry, stored: GatewayEntry | None) -> GatewayEntry:
        """The entry that this gateway's registration must have now, given the stored one."""
        context = self._context
        reports = context.crash_evidence.locally_persisted(context.now())
        confirmed_era = UNKNOWN_ERA
        if context.reads_store and self._directory.confirmed_era < context.confirmed_era.latest:
            confirmed_era = context.confirmed_era.latest
        return msgspec.structs.replace(
            base_entry,
            contained=[ContainedRequest.from_report(report) for report in reports],
            confirmed_era=confirmed_era,
            lost_configuration=context.lost_configuration.version if context.reads_store else 0,
            rejection_limits=self._rejection_limits(stored),
        )

    def _rejection_limits(self, stored: GatewayEntry | None) -> dict[str, float]:
        """Rejection limits by service; the readers write them for all gateways.

        One that has just started doesn't read the store yet, and keeps what it wrote before.
        """
        limits = self._context.permits.slots.announced_limits()
        if self._context.reads_store:
            return limits
        kept = stored.rejection_limits if stored is not None else {}
        return {service: limits[service] for service in limits if service in kept}

    def _on_entry(self, entry: GatewayEntry, is_own: bool) -> None:
        """Apply the entry of a gateway; it persists even when all gateways have stopped since."""
        self._context.confirmed_era.on_peer_confirmed(entry.confirmed_era)
        if entry.lost_configuration:
            self._context.on_lost_configuration(entry.lost_configuration)
        self._context.permits.slots.on_reported_limits(entry.rejection_limits)
        if entry.contained:
            self._on_contained_requests(entry, is_own)

    def _on_contained_requests(self, entry: GatewayEntry, is_own: bool) -> None:
        """Apply another gateway's record of requests that crash servers."""
        context = self._context
        try:
            reports = [request.to_report() for request in entry.contained[:MAX_REPORTS_PER_MESSAGE]]
        except ValueError as error:
            context.log.emit("object-malformed", name=entry.address, error=str(error)[:200])
            return
        age_seconds = max(wall_seconds() - entry.contained_at, 0.0)
        context.crash_evidence.restore(reports, age_seconds, context.now(), is_own)
        context.crash_detector.report_changes()

    def _on_gateways(self, others: list[GatewayRecord]) -> None:
        own_name = self._context.settings.name
        self._reader_selection.set_gateways(others)
        readers = [name for name in self._reader_selection.primary_readers if name != own_name]
        self._context.stream_resumption.holders.set_readers(self._reader_selection.primary_readers)
        self.peers.set_gateways(others, readers)
        self._context.relays.set_peers(
            RelayPeer(gateway.name, gateway.feed, gateway.zone)
            for gateway in others
            if gateway.feed
        )
        self._context.crash_evidence.on_peers_known()

    async def _listen_for_followers(self) -> str:
        """Serve the content of the store to other gateways at the first free port.

        Returns the address; empty when no port is free.
        """
        settings = self._context.settings
        mirrors = [kind.mirror for kind in self._watched]
        feed = StoreFeed(self._context, mirrors, proof_mirror=mirrors[0])
        first, last = settings.internal_ports
        for port in range(first, last + 1):
            try:
                return await self._listen(f"{settings.host}:{port}", feed.handle, self.relays)
            except OSError:
                continue
        self._context.log.emit("feed-unavailable", ports=settings.internal_ports)
        return ""

    async def _bind_datagrams(self, host: str, ports: tuple[int, int]) -> int | None:
        """Bind the first free port of a range; returns it, or None when there is none."""
        if ports[0] == 0:
            return None
        loop = asyncio.get_running_loop()
        for port in range(ports[0], ports[1] + 1):
            try:
                await loop.create_datagram_endpoint(lambda: self.peers, local_addr=(host, port))
            except OSError:
                continue
            return port
        return None

    def close(self) -> None:
        """Stop following the store and exchanging messages."""
        self._store_sync.close()
        self.peers.close()
        self.relays.close()


def _watched_kinds(
    context: GatewayContext, adapter: PlatformAdapter, gateway_objects: GatewayObjectsEventHandler
) -> tuple[WatchedKind, ...]:
    """The kinds of objects that are followed in the store, with their handlers."""
    kinds = adapter.kinds
    configuration = ConfigurationEventHandler(
        context, kinds.configuration_name, adapter.decode_configuration
    )
    instances = InstanceEventHandler(context, adapter.decode_instance)
    targets = TargetEventHandler(context, adapter.decode_target)

    def mirror(kind: str, handler: KindEventHandler) -> KindMirror:
        return KindMirror(kind, handler, context.record.store)

    # The configuration comes first: it is requested most often.
    return (
        WatchedKind(
            mirror(kinds.configuration, configuration), context.replication_times.watch_wait
        ),
        # A list of many pages: a stale read is enough, since the first watch brings it up to date.
        WatchedKind(mirror(kinds.instances, instances), INSTANCE_WAIT_SECONDS, True),
        WatchedKind(mirror(kinds.targets, targets), TARGET_WAIT_SECONDS),
        WatchedKind(mirror(kinds.gateways, gateway_objects), GATEWAY_WAIT_SECONDS, True),
    )
