"""`milletcourse limits`: bounds that all gateways keep together, as one of them knows them."""

from __future__ import annotations

import asyncio
import sys

import msgspec

from milletcourse.cli.operator_port import GatewayOption, call_gateway
from milletcourse.gateway.operator_api import LIMITS_PATH, LimitsView


def list_limits(gateway: GatewayOption) -> None:
    """One JSON line for each limit that a server names, and for each tenant's.

    A server's: what it takes, how long ago it said so, which gateway lends it. A tenant's: units a
    second, what all gateways spend, this one's part, the part of all gateways that it hears.
    """
    body = asyncio.run(call_gateway("GET", gateway, LIMITS_PATH, 200))
    shown = msgspec.json.decode(body, type=LimitsView)
    for item in [*shown.servers, *shown.tenants]:
        sys.stdout.write(msgspec.json.encode(item).decode() + "\n")
