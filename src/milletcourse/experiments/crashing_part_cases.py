"""What `crashing_part_model` plays and measures: strategies, cases and figures."""

from __future__ import annotations

from enum import Enum

import msgspec

CONTACT_SECONDS = 4.0
FREE_CRASHES = 5


class PartStrategy(Enum):
    """How gateways find what requests that crash servers have in common."""

    CONTENT = "whole contents"
    """Parts are no evidence."""
    COUNT = "count of crashes"
    """Three crashes under a part; answers clear nothing."""
    PREFIX = "first unanswered part"
    """Only the first part that no server has answered is evidence, three crashes in turn."""
    LIKELIHOOD = "likelihood ratio"
    """Crashes in turn, against those expected from the rate of all crashes and the run time."""
    IN_TURN = "crashes in turn"
    """Three crashes in turn without an answer."""
    TURNS = "crashes in turn, suspects tried in turns"
    """The production rule: before the proof, gateways take turns in sending suspects."""


class Disturbance(Enum):
    """Disturbance during the run."""

    CALM = "calm"
    OWN_CRASHES = "servers crash on their own"
    ZONE = "a third of the servers crashes at once"
    CUT = "a third of the gateways cut off"
    RESTART = "all gateways restarted"
    LOSS = "a tenth of the messages lost"


class PartCase(msgspec.Struct, frozen=True):
    """What is played.

    Attributes:
        gateways: Number of gateways.
        rate: Requests with a crashing part a second.
        crash_seconds: Time from their start to the crash.
        parts: Number of crashing parts, which come in turn.
        has_companion: Whether a harmless part always comes with them.
        disturbance: Injected disturbance.
    """

    gateways: int
    rate: float = 8.0
    crash_seconds: float = 0.3
    parts: int = 1
    has_companion: bool = False
    disturbance: Disturbance = Disturbance.CALM


class PartFigures(msgspec.Struct, frozen=True):
    """Results of one run.

    Attributes:
        strategy: How gateways found the part.
        case: What was played.
        crashes: Most servers crashed by one part.
        late: Most sends with one part later than `CONTACT_SECONDS` after its fifth crash.
        refused: Harmless requests that were held, per 1,000.
        cut: Harmless requests interrupted by a crash, per 1,000.
        companions_refused: Share of the harmless requests with the companion that were held.
        popular_held: Whether a popular part was held at any gateway at any time.
        seconds_to_know: Time from the third crash until all gateways hold the part; -1 for never.
        bytes_per_gateway: Bytes of crash reports sent, per gateway.
    """

    strategy: PartStrategy
    case: PartCase
    crashes: int
    late: int
    refused: float
    cut: float
    companions_refused: float
    popular_held: bool
    seconds_to_know: float
    bytes_per_gateway: int


def cases_of_size(gateways: int) -> list[PartCase]:
    """All cases that are played with a number of gateways."""
    cases = [
        PartCase(gateways),
        PartCase(gateways, rate=1.0, crash_seconds=0.03),
        PartCase(gateways, rate=100.0, crash_seconds=0.03),
        PartCase(gateways, rate=60.0, crash_seconds=1.0),
        PartCase(gateways, parts=3),
        PartCase(gateways, has_companion=True),
        PartCase(gateways, parts=0, disturbance=Disturbance.OWN_CRASHES),
        *(PartCase(gateways, disturbance=disturbance) for disturbance in Disturbance),
    ]
    # The calm case stands in both parts of the list.
    return list(dict.fromkeys(cases))
