"""A gateway's view of the servers: incarnations, weight versions, load and health.

Entries that disappear while the discovery's store is unstable are unverified, not removed: they are
kept for a while, since servers that still run register again within a few heartbeats.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

import msgspec

from milletcourse.exchange.messages.peer_messages import incarnation_key
from milletcourse.exchange.messages.records import InstanceRecord
from milletcourse.exchange.servers.server_health import ServerHealth
from milletcourse.exchange.servers.server_tombstones import ServerTombstones

REREGISTRATION_SECONDS = 2.3
"""An entry that lapsed while the store was unavailable is kept this long after the store is
reachable again: live servers that reach the store are registered again within two seconds, and a
watch reports it soon after. Entries that are still missing then are removed."""
UNKNOWN_VERSION_SECONDS = 0.3
"""A server whose weight version is unknown is avoided this long while others are free."""
LATENCY_GAIN = 0.2
"""Weight of the newest sample in a server's mean latency."""
INITIAL_LATENCY_SECONDS = 0.05


class UndeliveredLoad(msgspec.Struct):
    """The part of a gateway's load on a server that has not reached the server.

    Attributes:
        requests: Requests.
        tokens: Their prompt tokens.
        memory_tokens: Memory that they will use, in tokens.
    """

    requests: int = 0
    tokens: int = 0
    memory_tokens: int = 0


class Instance:
    """One incarnation of a server with its observed state.

    Attributes:
        record: Latest record of the discovery.
        key: Short identity in messages between gateways.
        health: Outlier ejection.
        in_flight: Requests of this gateway that the server works on.
        in_flight_tokens: Prompt tokens of this gateway's requests that have no first event yet.
        memory_tokens: Memory that this gateway's requests use at the server, in tokens.
        undelivered: The part of these three that has not reached the server.
        latency_seconds: Mean time of complete answers.
        missing_since: Monotonic time at which its entry became unverified; None while it is listed.
        terminated: Another incarnation answers at its address, whatever its entry states.
    """

    def __init__(self, record: InstanceRecord) -> None:
        self.record = record
        self.key = incarnation_key(record.name, record.started_ms)
        self.health = ServerHealth()
        self.in_flight = 0
        self.in_flight_tokens = 0
        self.memory_tokens = 0
        self.undelivered = UndeliveredLoad()
        self.latency_seconds = INITIAL_LATENCY_SECONDS
        self.missing_since: float | None = None
        self.terminated = False
        self._versions = dict(record.weight_versions)
        self._assumed: dict[str, int] = {}

    @property
    def name(self) -> str:
        """Name of the incarnation."""
        return self.record.name

    def version(self, model: str) -> int | None:
        """Version of a model's weights that it is assumed to have."""
        known = self._versions.get(model)
        assumed = self._assumed.get(model)
        if known is None or assumed is None:
            return known
        return max(known, assumed)

    def on_version_refused(self, model: str, refused: int, newest: int | None, now: float) -> None:
        """Record that it refused a version: it has probably loaded a newer one.

        Args:
            model: The model.
            refused: Version that the request required.
            newest: Newest version that is known of the model; None for none.
            now: Monotonic time.
        """
        was_assumed = self._assumed.pop(model, None) == refused
        if not was_assumed and newest is not None and newest > refused:
            self._assumed[model] = newest
            return
        # The version is unknown: avoid the server until the discovery or a peer reports it.
        self.health.on_order(now + UNKNOWN_VERSION_SECONDS)

    def note_version(self, model: str, version: int) -> None:
        """Record a version from an answer or report; within an incarnation versions only rise."""
        known = self._versions.get(model)
        if known is not None and known >= version:
            return
        self._versions[model] = version
        if self._assumed.get(model, version) <= version:
            self._assumed.pop(model, None)
        self.health.on_ready()

    def update(self, record: InstanceRecord) -> None:
        """Apply a newer record of the discovery."""
        self.record = record
        self.key = incarnation_key(record.name, record.started_ms)
        self.missing_since = None
        for model, version in record.weight_versions.items():
            self.note_version(model, version)

    def on_answer_time(self, seconds: float) -> None:
        """Record the time of a complete answer."""
        self.latency_seconds += LATENCY_GAIN * (seconds - self.latency_seconds)


class InstanceTable:
    """All known incarnations, by service."""

    def __init__(self) -> None:
        self._instances: dict[str, Instance] = {}
        self._services: dict[str, dict[str, Instance]] = {}
        self._services_by_address: dict[str, str] = {}
        self._unverified_until = float("-inf")
        self._tombstones = ServerTombstones()
        self.generation = 0
        self.is_listed = False
        """Whether a complete list has arrived."""
        self.on_forgotten: Callable[[str], None] | None = None
        """Called with the name of an incarnation that is dropped."""
        self.on_restarted: Callable[[Instance], None] | None = None
        """Called with the previous incarnation."""
        self.on_draining: Callable[[Instance], None] | None = None
        """Called with an incarnation whose entry reports that it is draining."""
        self.on_renamed: Callable[[int, int], None] | None = None
        """Called with the previous and the new key when an incarnation's start becomes known."""
        self.on_seen: Callable[[InstanceRecord], None] | None = None
        """Called with each entry that is applied, and with that of a server that is dropped."""

    def __iter__(self) -> Iterator[Instance]:
        """All incarnations that aren't known to be terminated."""
        return iter([item for item in self._instances.values() if not item.terminated])

    def get(self, name: str) -> Instance | None:
        """An incarnation by name."""
        return self._instances.get(name)

    def of_service(self, service: str) -> dict[str, Instance]:
        """Incarnations of a service by name."""
        return self._services.get(service, {})

    def has_software(self, service: str, version: str) -> bool:
        """Whether a server of a service and software version is listed."""
        members = self.of_service(service).values()
        return any(instance.record.software_version == version for instance in members)

    def at_address(self, address: str) -> Instance | None:
        """The server at an address, None when no server is known there."""
        found = (instance for instance in self if instance.record.address == address)
        return next(found, None)

    def services_by_address(self) -> dict[str, str]:
        """Service of each server by its address."""
        return {instance.record.address: instance.record.service for instance in self}

    def service_at(self, address: str) -> str:
        """Service of the server at an address; empty when no server is known there."""
        return self._services_by_address.get(address, "")

    def on_store_failed(self) -> None:
        """Treat entries that disappear as unverified from now on: a call to the store failed."""
        self._unverified_until = float("inf")

    def on_store_reached(self, now: float) -> None:
        """Record that the store answers; after a failure, entries stay unverified for a while."""
        if self._unverified_until == float("inf"):
            self._unverified_until = now + REREGISTRATION_SECONDS

    def on_store_restored(self, now: float) -> None:
        """Handle a restore of the discovery's store from an older snapshot.

        Entries that are missing now may have been written after the snapshot and are unverified.
        Entries that were deleted after the snapshot are listed again, but remain deleted here.
        """
        self._unverified_until = now + REREGISTRATION_SECONDS
        self._tombstones.on_store_restored(now)

    def replace_all(self, records: Iterable[InstanceRecord], now: float) -> None:
        """Replace all entries by a complete list."""
        self.is_listed = True
        listed = {record.name: record for record in records}
        self._tombstones.on_list()
        for record in listed.values():
            self.on_entry(record, now)
        for name in [name for name in self._instances if name not in listed]:
            self.remove(name, now)

    def on_entry(self, record: InstanceRecord, now: float) -> None:
        """Apply an entry of the discovery; a departed server's restored entry is held back."""
        if record.name in self._instances or not self._tombstones.defer_if_unverified(record, now):
            self.upsert(record)

    def upsert(self, record: InstanceRecord) -> None:
        """Add or update an entry.

        An entry that was written again after its incarnation was found terminated reinstates it: if
        that is wrong, the next answer at its address shows it again. An entry with an earlier start
        than the known one is outdated and ignored.
        """
        known = self._instances.get(record.name)
        if known is not None and not record.started_ms:
            record = msgspec.structs.replace(record, started_ms=known.record.started_ms)
        if known is not None and record.started_ms < known.record.started_ms:
            return
        self._apply(known, record)
        if self.on_seen is not None:
            self.on_seen(record)
        self._services_by_address[record.address] = record.service
        if record.draining and self.on_draining is not None:
            self.on_draining(self._instances[record.name])

    def _apply(self, known: Instance | None, record: InstanceRecord) -> None:
        if known is not None and _is_same(known.record, record):
            is_changed = known.record != record
            self._update(known, record)
            if known.terminated and is_changed:
                known.terminated = False
                self._add_to_service(known)
            return
        if known is not None:
            self.forget(record.name)
            if self.on_restarted is not None and known.record.service == record.service:
                self.on_restarted(known)
        instance = Instance(record)
        self._instances[record.name] = instance
        self._add_to_service(instance)

    def on_start_seen(
        self, name: str, started_ms: int, weight_versions: dict[str, int] | None = None
    ) -> bool:
        """Record a start time reported by the server itself or by another gateway.

        The server's entry may lag by some heartbeats, or as long as the store is unavailable.

        Args:
            name: Name of the server.
            started_ms: Its start; 0 when it isn't reported.
            weight_versions: Weight versions reported with it.

        Returns:
            Whether the server has restarted.
        """
        known = self._instances.get(name)
        if known is None or started_ms <= known.record.started_ms:
            return False
        if not known.record.started_ms:
            # The start was unknown, so there is no evidence of an earlier incarnation.
            self._update(known, msgspec.structs.replace(known.record, started_ms=started_ms))
            return False
        self.upsert(
            msgspec.structs.replace(
                known.record,
                started_ms=started_ms,
                weight_versions=weight_versions or {},
                software_version=None,
            )
        )
        return True

    def _update(self, known: Instance, record: InstanceRecord) -> None:
        before = known.key
        known.update(record)
        if known.key != before and self.on_renamed is not None:
            self.on_renamed(before, known.key)

    def terminate(self, name: str) -> bool:
        """Mark a server terminated because another incarnation answers at its address.

        It gets no requests and no orders any more. Its entry may exist for several heartbeats, or
        as long as the store is unavailable.

        Returns:
            Whether this wasn't known yet.
        """
        instance = self._instances.get(name)
        if instance is None or instance.terminated:
            return False
        instance.terminated = True
        self._drop_from_service(instance)
        return True

    def remove(self, name: str, now: float) -> None:
        """Remove an entry; while the store is unstable it becomes unverified instead."""
        self._tombstones.on_removed(name)
        instance = self._instances.get(name)
        if instance is None:
            return
        is_unverified = now < self._unverified_until and not instance.record.draining
        if is_unverified and not instance.terminated:
            if instance.missing_since is None:
                instance.missing_since = now
            return
        self._forget_departed(instance, now)

    def expire_unverified(self, now: float) -> None:
        """Drop unverified entries that didn't return, and apply held-back ones that still exist."""
        for record in self._tombstones.take_verified(now):
            self.upsert(record)
        if now < self._unverified_until:
            return
        for instance in list(self._instances.values()):
            if instance.missing_since is not None:
                self._forget_departed(instance, now)

    def _forget_departed(self, instance: Instance, now: float) -> None:
        self._tombstones.add(instance.record, now)
        self.forget(instance.name)

    def forget(self, name: str) -> None:
        """Drop a server at once, with all its state."""
        instance = self._instances.pop(name, None)
        if instance is None:
            return
        self._services_by_address.pop(instance.record.address, None)
        self._drop_from_service(instance)

    def _add_to_service(self, instance: Instance) -> None:
        members = self._services.setdefault(instance.record.service, {})
        members[instance.name] = instance
        self.generation += 1

    def _drop_from_service(self, instance: Instance) -> None:
        """Remove an incarnation from the candidates, with its assumed prompt cache."""
        self.generation += 1
        if self.on_forgotten is not None:
            self.on_forgotten(instance.name)
        if self.on_seen is not None:
            self.on_seen(instance.record)
        members = self._services.get(instance.record.service, {})
        members.pop(instance.name, None)
        if not members:
            self._services.pop(instance.record.service, None)


def _is_same(known: InstanceRecord, record: InstanceRecord) -> bool:
    """Whether both records may be of the same incarnation."""
    if known.service != record.service:
        return False
    versions = {known.software_version, record.software_version} - {None}
    if len(versions) > 1:
        # Software is replaced by a restart, also where entries name no start.
        return False
    return not known.started_ms or known.started_ms == record.started_ms
