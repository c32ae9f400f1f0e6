"""`milletcourse store-state`: a gateway's copy compared with the object store."""

from __future__ import annotations

import asyncio
import sys

import msgspec
import typer

from milletcourse.cli.operator_port import GatewayOption, call_gateway
from milletcourse.gateway.operator_api import STORE_STATE_PATH
from milletcourse.gateway.store.store_comparison import StoreState

MAX_POLLS = 3
POLL_INTERVAL_SECONDS = 0.5
"""A change that is still propagating shows as a difference in one poll and not in the next."""


def compare_store(gateway: GatewayOption) -> None:
    """Print one JSON line for each kind of objects; exit code 1 if a difference persists.

    Each poll reads all kinds from the store, which counts against the store's read rate limit.
    """
    state = asyncio.run(_compare(gateway))
    for kind in state.kinds:
        line = {"gateway": state.gateway, **msgspec.to_builtins(kind)}
        sys.stdout.write(msgspec.json.encode(line).decode() + "\n")
    if not all(kind.is_equal for kind in state.kinds):
        raise typer.Exit(1)


async def _compare(gateway: str) -> StoreState:
    for poll in range(MAX_POLLS):
        if poll:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        body = await call_gateway("GET", gateway, STORE_STATE_PATH, 200)
        state = msgspec.json.decode(body, type=StoreState)
        if all(kind.is_equal for kind in state.kinds):
            break
    return state
