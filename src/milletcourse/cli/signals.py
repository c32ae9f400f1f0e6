"""`milletcourse signals`: servers that leave or rest by their own word, as a gateway knows them."""

from __future__ import annotations

import asyncio
import sys

import msgspec

from milletcourse.cli.operator_port import GatewayOption, call_gateway
from milletcourse.exchange.load.signal_record import ServerSignalState
from milletcourse.gateway.operator_api import SIGNALS_PATH


def list_signals(gateway: GatewayOption) -> None:
    """One JSON line for each server that leaves or rests.

    Who told it, how long ago, until when it holds, and how many requests of this gateway it kept
    away. Limits of requests are listed by `milletcourse limits`.
    """
    body = asyncio.run(call_gateway("GET", gateway, SIGNALS_PATH, 200))
    for item in msgspec.json.decode(body, type=list[ServerSignalState]):
        sys.stdout.write(msgspec.json.encode(item).decode() + "\n")
