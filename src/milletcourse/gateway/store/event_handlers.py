"""Bring what the watches learn into the gateway's state."""

from __future__ import annotations

from collections.abc import Callable

from milletcourse.exchange.messages.configuration_effect import ConfigurationEffect
from milletcourse.exchange.messages.records import (
    ExchangeConfiguration,
    InstanceRecord,
    ModelTarget,
)
from milletcourse.exchange.messages.store_place import StorePlace
from milletcourse.exchange.placement.route_table import RouteTable
from milletcourse.gateway.state.context import GatewayContext
from milletcourse.gateway.store.kind_mirror import IgnoringSink
from milletcourse.gateway.store.object_store import UNREADABLE, ObjectChange, StoredObject


class _Sink(IgnoringSink):
    _kind = ""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context

    def on_unavailable(self) -> None:
        """A call failed: the store is unstable."""
        self._context.instances.on_unstable()
        self._context.record.store_call(self._kind, False)

    def _on_reached(self) -> None:
        self._context.record.store_call(self._kind, True)

    def _malformed(self, stored: StoredObject, error: Exception) -> None:
        self._context.log.emit("object-malformed", name=stored.name, error=str(error)[:200])


class ConfigurationSink(_Sink):
    """Puts the newest configuration in force, never an older one."""

    _kind = "configuration"

    def __init__(
        self,
        context: GatewayContext,
        object_name: str,
        decode: Callable[[bytes], ExchangeConfiguration],
    ) -> None:
        super().__init__(context)
        self._object_name = object_name
        self._decode = decode
        self._understood = False
        self._changed_at: StorePlace | None = None

    def on_era(self, place: StorePlace, before: StorePlace | None) -> None:
        """See `KindSink`: the configuration that is found now may be older than the newest."""
        self._context.confirmed_era.on_era(place, before, self._context.now())

    def on_list(self, objects: list[StoredObject], sent_at: float) -> None:
        """See `KindSink`."""
        self._on_reached()
        self._understood = False
        self._context.lost_configuration.stored_version = 0
        for stored in objects:
            if stored.name == self._object_name:
                self._understood = self._apply(stored)
        self._context.lag.on_current()
        self._prove(sent_at)

    def on_changes(self, changes: tuple[ObjectChange, ...], sent_at: float) -> None:
        """See `KindSink`."""
        self._on_reached()
        for change in changes:
            if change.stored.name == self._object_name:
                self._understood = not change.gone and self._apply(change.stored)
        self._context.lag.on_current()
        self._prove(sent_at)

    def _tell_in_force(self, configuration: ExchangeConfiguration, size: int) -> None:
        not_out_at = self._context.lag.not_out_at
        late = {} if not_out_at is None else {"out_for_at_most": self._context.now() - not_out_at}
        self._context.log.emit(
            "configuration-in-force",
            version=configuration.version,
            routes=len(configuration.routes),
            tenants=len(configuration.tenants),
            bytes=size,
            **{name: round(seconds, 3) for name, seconds in late.items()},
        )

    def on_change_announced(
        self, effect: ConfigurationEffect | None, not_out_at: float | None
    ) -> None:
        """See `KindSink`."""
        context = self._context
        if not context.lag.is_behind:
            context.record.store.configuration_announced(effect is not None)
        proved_at = context.freshness.proved_at
        context.lag.on_announced(max(proved_at, not_out_at or proved_at), effect)

    def on_pending_proof(self, sent_at: float) -> None:
        """See `KindSink`: what the announced change doesn't concern is proved."""
        if self._context.lag.knows_effect:
            self._prove(sent_at)

    def _prove(self, sent_at: float) -> None:
        context = self._context
        if not self._understood or context.lost_configuration.is_outdated:
            return
        if context.confirmed_era.confirms(context.now()):
            context.freshness.on_proof(sent_at)

    def _apply(self, stored: StoredObject) -> bool:
        """Take a configuration into force; False when it is an older one, or can't be understood.

        Without the newest one, no call proves that what is in force here still holds.
        """
        try:
            configuration = self._decode(stored.spec)
        except UNREADABLE as error:
            self._malformed(stored, error)
            return False
        known_at, self._changed_at = self._changed_at, stored.place
        self._context.lost_configuration.stored_version = configuration.version
        current = self._context.table
        if current is not None and configuration.version < current.version:
            self._context.record.store.configuration_outdated(
                configuration.version, current.version
            )
            self._context.on_return_news()
            return False
        self._context.confirmed_era.on_configuration(stored.place, known_at)
        if current is not None and configuration.version == current.version:
            return True
        if current is not None:
            lag = self._context.lag
            self._context.effects.note(current.configuration, configuration, lag.not_out_at)
        self._context.table = RouteTable(configuration)
        self._context.tenant_limits.configure(configuration.tenants, self._context.now())
        self._tell_in_force(configuration, len(stored.spec))
        lost = self._context.lost_configuration
        if lost.is_outdated:
            self._context.record.store.configuration_lost(lost.version, configuration.version)
        for tenant in configuration.tenants:
            if tenant.limit_problem:
                self._context.log.emit(
                    "tenant-limit-void", tenant=tenant.name, problem=tenant.limit_problem
                )
        return True


class InstanceSink(_Sink):
    """Keeps the table of incarnations."""

    _kind = "instances"

    def __init__(
        self, context: GatewayContext, decode: Callable[[str, bytes], InstanceRecord]
    ) -> None:
        super().__init__(context)
        self._decode = decode

    def on_era(self, place: StorePlace, before: StorePlace | None) -> None:
        """See `KindSink`."""
        if before is not None:
            self._context.instances.on_copy(self._context.now())

    def on_list(self, objects: list[StoredObject], sent_at: float) -> None:
        """See `KindSink`."""
        self._on_reached()
        self._context.instances.on_reached(self._context.now())
        table = self._context.instances
        records = []
        for stored in objects:
            record = self._read(stored)
            if record is None:
                table.forget(stored.name)
            else:
                records.append(record)
        table.replace_all(records, self._context.now())
        self._context.log.emit("instances-listed", count=len(records))

    def on_changes(self, changes: tuple[ObjectChange, ...], sent_at: float) -> None:
        """See `KindSink`."""
        self._on_reached()
        table = self._context.instances
        table.on_reached(self._context.now())
        for change in changes:
            if change.gone:
                table.remove(change.stored.name, self._context.now())
                self._context.log.emit("instance-gone", instance=change.stored.name)
                if table.get(change.stored.name) is None:
                    self._context.crash_watch.on_instance_ended(change.stored.name)
                continue
            record = self._read(change.stored)
            if record is None:
                # As a list would: what names no server is none to use.
                table.forget(change.stored.name)
                continue
            table.on_entry(record, self._context.now())

    def _read(self, stored: StoredObject) -> InstanceRecord | None:
        try:
            return self._decode(stored.name, stored.spec)
        except UNREADABLE as error:
            self._malformed(stored, error)
            return None


class TargetSink(_Sink):
    """Notes named weight versions."""

    _kind = "targets"

    def __init__(self, context: GatewayContext, decode: Callable[[bytes], ModelTarget]) -> None:
        super().__init__(context)
        self._decode = decode
        self._started = False

    def on_list(self, objects: list[StoredObject], sent_at: float) -> None:
        """See `KindSink`."""
        self._on_reached()
        for stored in objects:
            self._note(stored, not self._started)
        self._started = True

    def on_changes(self, changes: tuple[ObjectChange, ...], sent_at: float) -> None:
        """See `KindSink`."""
        self._on_reached()
        for change in changes:
            if not change.gone:
                self._note(change.stored, False)

    def _note(self, stored: StoredObject, just_started: bool) -> None:
        try:
            target = self._decode(stored.spec)
        except UNREADABLE as error:
            self._malformed(stored, error)
            return
        if self._context.gate.on_target(target, self._context.now(), just_started):
            self._context.log.emit("version-named", model=target.model, version=target.version)
