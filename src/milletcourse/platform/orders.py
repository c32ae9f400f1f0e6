"""Formats of weight orders to servers and of servers' reports."""

from __future__ import annotations

import msgspec

from milletcourse.exchange.messages.messages import HeaderField
from milletcourse.exchange.rollout.weight_rollout import (
    OrderReply,
    RunningWork,
    ServerReport,
    WeightOrder,
)
from milletcourse.gateway.servers.call_client import Call, Reply
from milletcourse.platform.names import HEADER_NAMES, ORDER_PATH, REPORT_PATH
from milletcourse.runtime.decode_errors import DECODE_ERRORS

_RUNNING_WORK_MODES = {
    RunningWork.WAIT: "wait",
    RunningWork.ABORT: "truncate",
    RunningWork.KEEP: "retain",
}
_REPLIES = {
    200: OrderReply.ALREADY_LOADED,
    202: OrderReply.ACCEPTED,
    409: OrderReply.BUSY,
    412: OrderReply.FENCED,
    421: OrderReply.WRONG_INSTANCE,
}


class _Order(msgspec.Struct, frozen=True, rename="pascal"):
    operation: str
    model: str
    version: int
    manner: str
    holder: str
    fencing_token: int
    expected_rev: int


class _ModelState(msgspec.Struct, frozen=True, rename="pascal"):
    name: str
    version: int


class _Report(msgspec.Struct, frozen=True, rename="pascal"):
    models: list[_ModelState] = []
    busy: bool = False
    sequence: int = 0
    born: int = msgspec.field(name="born", default=0)


class PlatformOrderDialect:
    """Implements `OrderDialect`."""

    def order_call(self, order: WeightOrder) -> Call:
        """See `OrderDialect`."""
        document = _Order(
            operation="Version",
            model=order.model,
            version=order.version,
            manner=_RUNNING_WORK_MODES[order.running_work],
            holder=order.holder,
            fencing_token=order.fencing_token,
            expected_rev=order.expected_sequence,
        )
        instance = HeaderField(HEADER_NAMES.instance.encode(), order.instance.encode())
        return Call("POST", ORDER_PATH, msgspec.json.encode(document), (instance,))

    def read_order_reply(self, reply: Reply) -> OrderReply:
        """See `OrderDialect`."""
        return _REPLIES.get(reply.status, OrderReply.REFUSED)

    def report_call(self) -> Call:
        """See `OrderDialect`."""
        return Call("GET", REPORT_PATH)

    def read_report(self, reply: Reply) -> ServerReport | None:
        """See `OrderDialect`."""
        if reply.status != 200:
            return None
        try:
            report = msgspec.json.decode(reply.body, type=_Report)
        except DECODE_ERRORS:
            return None
        versions = {model.name: model.version for model in report.models}
        return ServerReport(versions, report.busy, report.sequence, max(report.born, 0))
