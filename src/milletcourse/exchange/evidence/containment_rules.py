"""When crashes suffice to contain a feature of requests; no input/output."""

from __future__ import annotations

from collections.abc import Callable, Collection

import msgspec

from milletcourse.exchange.messages.peer_messages import FeatureKind

CONTAINMENT_CRASHES = 3
"""Servers that must have crashed under a feature before it is contained. With two, a request that
is retried once, and meets two servers that crash for other reasons, would be refused."""
SUSPECT_CRASHES = 2
"""Servers that must have crashed under a prompt part that was never answered before gateways take
turns in sending requests with it."""
SIMULTANEOUS_CRASHES = 4
"""So many crashes contain such a part if one of them is of work started after the first: many
requests with it may have been at servers when the first one crashed."""
CONTAINMENT_CRASHES_AFTER_ANSWER = 6
"""The same for a feature that servers have answered before, which is evidence in its favor. With
the lower number, two requests that crashed all of four servers within 0.5 s left a popular third
request with three crashes, and no server to clear it."""
CRASH_ROUNDS_AFTER_ANSWER = 3
"""So many of these crashes must also be sequential, each of work started after the one before: a
popular request that a server's crash and then a rack's crash interrupt restarts only once between
them."""
START_SLACK_SECONDS = 0.05
"""Work started up to this long before a crash counts as started after it: a caller that retries at
once sends some milliseconds after the crash, and its report takes as long to reach a gateway."""


class ServerCrash(msgspec.Struct, frozen=True):
    """A server process that terminated while it had a request with a feature.

    Attributes:
        sent_at: Monotonic time at which the request was sent to it.
        crashed_at: Monotonic time at which it terminated.
    """

    sent_at: float
    crashed_at: float


ContainmentRule = Callable[[Collection[ServerCrash], bool], bool]
"""Whether the crashes under a feature since its latest answer suffice to contain it; the second
argument is whether it was ever answered."""


def sequential_crashes(crashes: Collection[ServerCrash], was_answered: bool) -> bool:
    """The rule for contents: enough crashes, all but one of work started after the first crash.

    A popular request that ran on the servers of a crashed rack was started before the crash. When
    a fifth of 49 servers crashes, 0.3 of 1,000 unrelated requests are refused, and 2.2 without this
    condition (`milletcourse experiment containment`, 79 gateways).
    """
    if was_answered:
        return (
            len(crashes) >= CONTAINMENT_CRASHES_AFTER_ANSWER
            and _rounds(crashes) >= CRASH_ROUNDS_AFTER_ANSWER
        )
    if len(crashes) < CONTAINMENT_CRASHES:
        return False
    started_after = min(crash.crashed_at for crash in crashes) - START_SLACK_SECONDS
    started_later = sum(crash.sent_at > started_after for crash in crashes)
    return started_later >= CONTAINMENT_CRASHES - 1


def sequential_or_repeated_crashes(crashes: Collection[ServerCrash], was_answered: bool) -> bool:
    """The rule for prompt parts: as for contents, or many crashes in two rounds."""
    if sequential_crashes(crashes, was_answered):
        return True
    has_many = not was_answered and len(crashes) >= SIMULTANEOUS_CRASHES
    return has_many and _rounds(crashes) > 1


PRODUCTION_RULES = {
    FeatureKind.CONTENT: sequential_crashes,
    FeatureKind.PROMPT_PART: sequential_or_repeated_crashes,
}


def _rounds(crashes: Collection[ServerCrash]) -> int:
    """Length of the longest sequence of crashes, each of work started after the one before."""
    rounds = 0
    started_after = float("-inf")
    for crash in sorted(crashes, key=lambda crash: crash.crashed_at):
        if crash.sent_at > started_after:
            rounds += 1
            started_after = crash.crashed_at - START_SLACK_SECONDS
    return rounds
