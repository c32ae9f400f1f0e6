"""`milletcourse limits`: limits shared by all gateways, as known to one of them."""

from __future__ import annotations

import asyncio
import sys

import msgspec

from milletcourse.cli.operator_port import GatewayOption, call_gateway
from milletcourse.gateway.operator_api import LIMITS_PATH, LimitsView


def list_limits(gateway: GatewayOption) -> None:
    """Print one JSON line for each server with a limit or leased slots, and each tenant limit.

    A server limit: its rate, the time since it was announced, the gateway that owns its quota.
    Leased slots of a server: the rejections that it bears, who grants the leases, and, at a gateway
    that keeps account, how many are leased. A tenant limit: units per second, the usage of all
    gateways, the usage of this gateway, and the share of the gateways whose usage is known.
    """
    body = asyncio.run(call_gateway("GET", gateway, LIMITS_PATH, 200))
    shown = msgspec.json.decode(body, type=LimitsView)
    for item in [*shown.servers, *shown.slots, *shown.tenants]:
        sys.stdout.write(msgspec.json.encode(item).decode() + "\n")
