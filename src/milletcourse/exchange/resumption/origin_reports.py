"""Origins of streams in messages between gateways; no input/output."""

from __future__ import annotations

from milletcourse.exchange.messages.origin_messages import (
    MAX_NAME_LENGTH,
    MAX_REMAINING_MS,
    OriginReport,
)
from milletcourse.exchange.resumption.stream_origins import StreamOrigin


def write_report(key: int, origin: StreamOrigin, now: float) -> OriginReport | None:
    """The report of an origin; None when a name in it is too long."""
    version = origin.software_version
    if max(len(origin.service), len(version or "")) > MAX_NAME_LENGTH:
        return None
    remaining_ms = min(max(round((origin.expires_at - now) * 1000.0), 0), MAX_REMAINING_MS)
    return OriginReport(key, origin.service, version, remaining_ms)


def read_report(report: OriginReport, now: float) -> StreamOrigin:
    """The origin that another gateway reports."""
    expires_at = now + report.remaining_ms / 1000.0
    return StreamOrigin(report.service, report.software_version, expires_at, is_own=False)
