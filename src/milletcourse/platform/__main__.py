"""Starts a gateway on the users' platform: `python3 -m milletcourse.platform`."""

from __future__ import annotations

import os
import sys
from pathlib import Path

from milletcourse.exchange.dialect import HeaderDialect
from milletcourse.gateway.adapter import PlatformAdapter
from milletcourse.gateway.process import run_gateway
from milletcourse.platform.cache_events import PlatformCacheEvents
from milletcourse.platform.documents import (
    decode_configuration,
    decode_instance,
    decode_target,
    read_settings,
)
from milletcourse.platform.names import HEADER_NAMES, KINDS, READY_PATH, SETTINGS_VARIABLE
from milletcourse.platform.object_store import PlatformStoreDialect
from milletcourse.platform.orders import PlatformOrderDialect


def new_adapter() -> PlatformAdapter:
    """The adapter to this platform."""
    return PlatformAdapter(
        read_settings=read_settings,
        headers=HeaderDialect(HEADER_NAMES),
        store=PlatformStoreDialect(),
        kinds=KINDS,
        orders=PlatformOrderDialect(),
        cache_store=PlatformCacheEvents(),
        decode_configuration=decode_configuration,
        decode_instance=decode_instance,
        decode_target=decode_target,
        ready_path=READY_PATH,
    )


def main(arguments: list[str]) -> None:
    """Start a gateway; the one optional argument is PORT/PATH of its metrics."""
    port, _, path = arguments[0].partition("/") if arguments else ("0", "", "")
    run_gateway(Path(os.environ[SETTINGS_VARIABLE]), new_adapter(), int(port), f"/{path}")


if __name__ == "__main__":
    main(sys.argv[1:])
