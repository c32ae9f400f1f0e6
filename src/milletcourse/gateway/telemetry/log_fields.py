"""Fields that several log lines share; those that say nothing are left out of the line."""

from __future__ import annotations

from typing import Any

from milletcourse.exchange.evidence.containment import Containment
from milletcourse.exchange.evidence.request_identity import identity_text
from milletcourse.exchange.messages.answer_end import AnswerEnd
from milletcourse.exchange.messages.peer_messages import FeatureKind
from milletcourse.gateway.telemetry.connection_records import ConnectionUse

MAX_SHOWN_SERVERS = 8
"""Limit of the excluded servers that the log line of a request names."""
MAX_SHOWN_PARTS = 16
"""Limit of the prompt parts that the log line of a failed attempt names."""


def answer_end_fields(end: AnswerEnd | None) -> dict[str, Any]:
    """Log fields for an answer that ended with its connection or within an event."""
    if end is None or end.is_usual:
        return {}
    return {"framing": end.framing.value, "partial_event_bytes": end.partial_event_bytes}


def software_field(version: str | None) -> dict[str, Any]:
    """Log field of the version of a server's software; empty when servers don't state one."""
    return {} if version == "" else {"software": version}


def salt_field(cache_salt: str) -> dict[str, Any]:
    """Log field of the salt that a prompt was sent with; empty for requests without a prompt."""
    return {"salt": cache_salt} if cache_salt else {}


def parts_field(parts: tuple[int, ...]) -> dict[str, Any]:
    """Log field of a prompt's shared parts; empty for requests without any."""
    return {"parts": [identity_text(part) for part in parts[:MAX_SHOWN_PARTS]]} if parts else {}


def feature_field(containment: Containment) -> dict[str, Any]:
    """Log field that names a feature, as in the lines of failed attempts."""
    name = "content" if containment.kind is FeatureKind.CONTENT else "part"
    return {name: identity_text(containment.identity)}


def connection_fields(use: ConnectionUse | None) -> dict[str, Any]:
    """Log fields of the connection that carried a request; empty if it was not sent."""
    if use is None:
        return {}
    fields: dict[str, Any] = {"connection": use.connection, "use": use.request}
    if use.answer_seconds is not None:
        # As precise as the other times of a line, none of which may seem shorter than it.
        fields["answered"] = round(use.answer_seconds, 3)
    return fields


def through_field(gateway: str) -> dict[str, Any]:
    """Log field that names the gateway that relayed a connection; usually empty."""
    return {"through": gateway} if gateway else {}


def excluded_servers_field(servers: dict[str, str]) -> dict[str, Any]:
    """Log field that names the excluded servers with their signals; usually empty."""
    if not servers:
        return {}
    shown = sorted(servers.items())[:MAX_SHOWN_SERVERS]
    return {"kept_from": dict(shown)}
