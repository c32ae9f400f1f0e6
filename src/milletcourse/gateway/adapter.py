"""Interface between a platform's adapter and a gateway: names and formats, no decisions."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from milletcourse.exchange.messages.dialect import HeaderDialect
from milletcourse.exchange.messages.records import (
    ExchangeConfiguration,
    InstanceRecord,
    ModelTarget,
)
from milletcourse.gateway.fleet.cache_store_probe import CacheStoreDialect
from milletcourse.gateway.fleet.rollout_service import OrderDialect
from milletcourse.gateway.state.settings import GatewaySettings
from milletcourse.gateway.store.object_store import StoreDialect


@dataclass(frozen=True, slots=True)
class ObjectKinds:
    """Names of the kinds and objects that a gateway reads and writes.

    Attributes:
        configuration: Kind of the configuration.
        configuration_name: Name of the one object that holds it.
        instances: Kind of the servers' entries.
        targets: Kind of the named weight versions.
        gateways: Kind of the list of gateways.
        leases: Kind of the leases of the gateways.
        origins: Kind of the records of where streams began.
        roll_out_lease: Name of the roll-out's lease.
    """

    configuration: str
    configuration_name: str
    instances: str
    targets: str
    gateways: str
    leases: str
    origins: str
    rollout_lease: str


@dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """Names and formats that differ between platforms.

    Attributes:
        read_settings: Decodes the settings file.
        headers: Header fields of requests and answers.
        store: Formats of the object store.
        kinds: Names in the object store.
        orders: Formats of orders to servers.
        cache_store: Format of probes of KV-cache stores.
        decode_configuration: Decodes the content of the configuration's object.
        decode_instance: Decodes a server's entry from its name and content.
        decode_target: Decodes the content of a named version.
        ready_path: Path of the readiness check.
    """

    read_settings: Callable[[bytes], GatewaySettings]
    headers: HeaderDialect
    store: StoreDialect
    kinds: ObjectKinds
    orders: OrderDialect
    cache_store: CacheStoreDialect
    decode_configuration: Callable[[bytes], ExchangeConfiguration]
    decode_instance: Callable[[str, bytes], InstanceRecord]
    decode_target: Callable[[bytes], ModelTarget]
    ready_path: str
