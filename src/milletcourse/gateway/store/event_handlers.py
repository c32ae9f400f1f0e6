"""Event handlers that apply the objects of the store to the gateway's state."""

from __future__ import annotations

from collections.abc import Callable

from milletcourse.exchange.messages.configuration_effect import ConfigurationEffect
from milletcourse.exchange.messages.records import (
    ExchangeConfiguration,
    InstanceRecord,
    ModelTarget,
)
from milletcourse.exchange.messages.store_position import StorePosition
from milletcourse.exchange.placement.route_table import RouteTable
from milletcourse.gateway.state.context import GatewayContext
from milletcourse.gateway.store.kind_event_handler import NoOpEventHandler
from milletcourse.gateway.store.object_store import ObjectChange, StoredObject
from milletcourse.gateway.telemetry.store_recorder import ReuseScopeChange
from milletcourse.runtime.decode_errors import DECODE_ERRORS


class _StateUpdater(NoOpEventHandler):
    _kind = ""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context

    def on_unavailable(self) -> None:
        """See `KindEventHandler`: a failed call means that the store is unstable."""
        self._context.instances.on_store_failed()
        self._context.record.store_call(self._kind, False)

    def _on_reached(self) -> None:
        self._context.record.store_call(self._kind, True)

    def _log_malformed(self, stored: StoredObject, error: Exception) -> None:
        self._context.log.emit("object-malformed", name=stored.name, error=str(error)[:200])


class ConfigurationEventHandler(_StateUpdater):
    """Applies the newest configuration, never an older one."""

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
        self._is_decoded = False
        self._changed_at: StorePosition | None = None

    def on_new_era(self, position: StorePosition, before: StorePosition | None) -> None:
        """See `KindEventHandler`: the configuration found now may be older than the newest one."""
        self._context.confirmed_era.on_era(position, before, self._context.now())

    def on_list(self, objects: list[StoredObject], sent_at: float) -> None:
        """See `KindEventHandler`."""
        self._on_reached()
        self._is_decoded = False
        self._context.lost_configuration.stored_version = 0
        for stored in objects:
            if stored.name == self._object_name:
                self._is_decoded = self._apply_configuration(stored)
        self._context.lag.on_current()
        self._record_proof(sent_at)

    def on_changes(self, changes: tuple[ObjectChange, ...], sent_at: float) -> None:
        """See `KindEventHandler`."""
        self._on_reached()
        for change in changes:
            if change.stored.name == self._object_name:
                self._is_decoded = not change.deleted and self._apply_configuration(change.stored)
        self._context.lag.on_current()
        self._record_proof(sent_at)

    def _log_in_force(self, configuration: ExchangeConfiguration, size: int) -> None:
        not_committed_at = self._context.lag.not_committed_at
        late = (
            {}
            if not_committed_at is None
            else {"out_for_at_most": self._context.now() - not_committed_at}
        )
        self._context.log.emit(
            "configuration-in-force",
            version=configuration.version,
            routes=len(configuration.routes),
            tenants=len(configuration.tenants),
            bytes=size,
            **{name: round(seconds, 3) for name, seconds in late.items()},
        )

    def _log_scope_change(self, before: RouteTable, after: RouteTable) -> None:
        isolated_before, isolated = before.reuse_scopes.isolated, after.reuse_scopes.isolated
        if isolated_before == isolated:
            return
        services = after.configuration.services
        models = {model for service in services for model in service.models}
        self._context.record.store.reuse_scope_changed(
            ReuseScopeChange(
                after.version,
                sorted(isolated - isolated_before),
                sorted(isolated_before - isolated),
                sorted(models),
                len(self._context.selector.holders),
            )
        )

    def on_change_announced(
        self, effect: ConfigurationEffect | None, not_committed_at: float | None
    ) -> None:
        """See `KindEventHandler`."""
        context = self._context
        if not context.lag.is_behind:
            context.record.store.configuration_announced(effect is not None)
        proved_at = context.freshness.proved_at
        context.lag.on_announced(max(proved_at, not_committed_at or proved_at), effect)

    def on_pending_proof(self, sent_at: float) -> None:
        """See `KindEventHandler`: proves what the announced change doesn't affect."""
        if self._context.lag.knows_effect:
            self._record_proof(sent_at)

    def _record_proof(self, sent_at: float) -> None:
        context = self._context
        if not self._is_decoded or context.lost_configuration.is_outdated:
            return
        if context.confirmed_era.confirms(context.now()):
            context.freshness.on_proof(sent_at)

    def _apply_configuration(self, stored: StoredObject) -> bool:
        """Put a configuration in force; False when it is an older one, or malformed.

        Without the newest one, no call proves that the configuration in force is still valid.
        """
        try:
            configuration = self._decode(stored.spec)
        except DECODE_ERRORS as error:
            self._log_malformed(stored, error)
            return False
        known_at, self._changed_at = self._changed_at, stored.position
        self._context.lost_configuration.stored_version = configuration.version
        current = self._context.route_table
        if current is not None and configuration.version < current.version:
            self._context.record.store.configuration_outdated(
                configuration.version, current.version
            )
            self._context.on_restore_update()
            return False
        self._context.confirmed_era.on_configuration(stored.position, known_at)
        if current is not None and configuration.version == current.version:
            return True
        if current is not None:
            lag = self._context.lag
            self._context.effects.record(current.configuration, configuration, lag.not_committed_at)
        self._context.route_table = table = RouteTable(configuration)
        if current is not None:
            self._log_scope_change(current, table)
        self._context.tenant_limits.configure(configuration.tenants, self._context.now())
        self._log_in_force(configuration, len(stored.spec))
        lost = self._context.lost_configuration
        if lost.is_outdated:
            self._context.record.store.configuration_lost(lost.version, configuration.version)
        for tenant in configuration.tenants:
            if tenant.limit_problem:
                self._context.log.emit(
                    "tenant-limit-void", tenant=tenant.name, problem=tenant.limit_problem
                )
        return True


class InstanceEventHandler(_StateUpdater):
    """Updates the table of server incarnations."""

    _kind = "instances"

    def __init__(
        self, context: GatewayContext, decode: Callable[[str, bytes], InstanceRecord]
    ) -> None:
        super().__init__(context)
        self._decode = decode

    def on_new_era(self, position: StorePosition, before: StorePosition | None) -> None:
        """See `KindEventHandler`."""
        if before is not None:
            self._context.instances.on_store_restored(self._context.now())

    def on_list(self, objects: list[StoredObject], sent_at: float) -> None:
        """See `KindEventHandler`."""
        self._on_reached()
        self._context.instances.on_store_reached(self._context.now())
        instances = self._context.instances
        records = []
        for stored in objects:
            record = self._read(stored)
            if record is None:
                instances.forget(stored.name)
            else:
                records.append(record)
        instances.replace_all(records, self._context.now())
        self._context.log.emit("instances-listed", count=len(records))

    def on_changes(self, changes: tuple[ObjectChange, ...], sent_at: float) -> None:
        """See `KindEventHandler`."""
        self._on_reached()
        instances = self._context.instances
        instances.on_store_reached(self._context.now())
        for change in changes:
            if change.deleted:
                instances.remove(change.stored.name, self._context.now())
                self._context.log.emit("instance-gone", instance=change.stored.name)
                if instances.get(change.stored.name) is None:
                    self._context.crash_detector.on_instance_terminated(change.stored.name)
                continue
            record = self._read(change.stored)
            if record is None:
                # As with a list: an entry that can't be decoded names no usable server.
                instances.forget(change.stored.name)
                continue
            instances.on_entry(record, self._context.now())

    def _read(self, stored: StoredObject) -> InstanceRecord | None:
        try:
            return self._decode(stored.name, stored.spec)
        except DECODE_ERRORS as error:
            self._log_malformed(stored, error)
            return None


class TargetEventHandler(_StateUpdater):
    """Passes the target weight versions of models to the version gate."""

    _kind = "targets"

    def __init__(self, context: GatewayContext, decode: Callable[[bytes], ModelTarget]) -> None:
        super().__init__(context)
        self._decode = decode
        self._started = False

    def on_list(self, objects: list[StoredObject], sent_at: float) -> None:
        """See `KindEventHandler`."""
        self._on_reached()
        for stored in objects:
            self._apply_target(stored, not self._started)
        self._started = True

    def on_changes(self, changes: tuple[ObjectChange, ...], sent_at: float) -> None:
        """See `KindEventHandler`."""
        self._on_reached()
        for change in changes:
            if not change.deleted:
                self._apply_target(change.stored, False)

    def _apply_target(self, stored: StoredObject, just_started: bool) -> None:
        try:
            target = self._decode(stored.spec)
        except DECODE_ERRORS as error:
            self._log_malformed(stored, error)
            return
        if self._context.gate.on_target(target, self._context.now(), just_started):
            self._context.log.emit("version-named", model=target.model, version=target.version)
