"""`milletcourse signals`: servers that are draining or backing off, as known to one gateway."""

from __future__ import annotations

import asyncio
import sys

import msgspec

from milletcourse.cli.operator_port import GatewayOption, call_gateway
from milletcourse.exchange.load.signal_record import ServerSignalState
from milletcourse.gateway.operator_api import SIGNALS_PATH


def list_signals(gateway: GatewayOption) -> None:
    """Print one JSON line for each server that reports that it is draining or backing off.

    Shows the source of the signal, its age, the time left, and the number of requests that this
    gateway did not send because of it. `milletcourse limits` lists request limits.
    """
    body = asyncio.run(call_gateway("GET", gateway, SIGNALS_PATH, 200))
    for item in msgspec.json.decode(body, type=list[ServerSignalState]):
        sys.stdout.write(msgspec.json.encode(item).decode() + "\n")
