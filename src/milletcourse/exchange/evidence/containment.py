"""Containment of a feature of requests, as shown to callers and operators."""

from __future__ import annotations

from enum import Enum

import msgspec

from milletcourse.errors import RequestContained
from milletcourse.exchange.evidence.request_identity import identity_text
from milletcourse.exchange.messages.peer_messages import FeatureKind

KIND_NAMES = {FeatureKind.CONTENT: "content", FeatureKind.PROMPT_PART: "prompt part"}


class Containment(msgspec.Struct, frozen=True):
    """A feature whose requests are not sent to servers, as shown to operators and to callers.

    Attributes:
        identity: Identity of the feature.
        crashes: Number of servers that crashed under it.
        last_crash_at: Monotonic time of the latest of these crashes.
        seconds_left: Time until this gateway may send a request with it again.
        kind: What the feature is.
        is_proven: Whether the crashes suffice; otherwise it is a suspect.
    """

    identity: int
    crashes: int
    last_crash_at: float
    seconds_left: float
    kind: FeatureKind = FeatureKind.CONTENT
    is_proven: bool = True

    def failure(self) -> RequestContained:
        """Failure that is returned to a caller."""
        feature = f"{KIND_NAMES[self.kind]} {identity_text(self.identity)}"
        detail = f"{self.crashes} servers crashed under requests like this, {feature}"
        return RequestContained(detail, self.seconds_left)


class EvidenceEvent(Enum):
    """A change in how requests with a feature are treated."""

    SUSPECTED = "suspected"
    """Gateways take turns in sending single requests with it."""
    CONTAINED = "contained"
    """Requests with it are refused."""
    TRIED = "tried"
    """This gateway sends a request with a held feature."""
    CLEARED = "cleared"
    """A server answered a request with a held feature, which is held no more."""


class EvidenceChange(msgspec.Struct, frozen=True):
    """A change for operators, with the containment as of then."""

    event: EvidenceEvent
    containment: Containment
