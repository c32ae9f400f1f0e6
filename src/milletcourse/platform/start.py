"""Assembles a gateway for the users' platform and runs it."""

from __future__ import annotations

import os
from pathlib import Path

from milletcourse.exchange.mechanisms import UnknownMechanismError, mechanisms_without
from milletcourse.exchange.messages.dialect import HeaderDialect
from milletcourse.gateway.adapter import PlatformAdapter
from milletcourse.gateway.process import run_gateway
from milletcourse.platform.cache_events import PlatformCacheEvents
from milletcourse.platform.documents import (
    ConfigurationDecoder,
    decode_instance,
    decode_target,
    read_settings,
)
from milletcourse.platform.names import HEADER_NAMES, KINDS, READY_PATH, SETTINGS_VARIABLE
from milletcourse.platform.object_store import PlatformStoreDialect
from milletcourse.platform.orders import PlatformOrderDialect

WITHOUT_OPTION = "--without="


def new_adapter() -> PlatformAdapter:
    """Create the adapter to this platform."""
    return PlatformAdapter(
        read_settings=read_settings,
        headers=HeaderDialect(HEADER_NAMES),
        store=PlatformStoreDialect(),
        kinds=KINDS,
        orders=PlatformOrderDialect(),
        cache_store=PlatformCacheEvents(),
        decode_configuration=ConfigurationDecoder().decode,
        decode_instance=decode_instance,
        decode_target=decode_target,
        ready_path=READY_PATH,
    )


def start(arguments: list[str]) -> None:
    """Start a gateway: [PORT/PATH of its metrics] [--without=MECHANISM[,MECHANISM]]."""
    metrics = [item for item in arguments if not item.startswith(WITHOUT_OPTION)]
    without = [item.removeprefix(WITHOUT_OPTION) for item in arguments if item not in metrics]
    try:
        mechanisms = mechanisms_without(name for names in without for name in names.split(","))
    except UnknownMechanismError as error:
        raise SystemExit(str(error)) from error
    port, _, path = metrics[0].partition("/") if metrics else ("0", "", "")
    settings_path = Path(os.environ[SETTINGS_VARIABLE])
    run_gateway(settings_path, new_adapter(), int(port), f"/{path}", mechanisms)
