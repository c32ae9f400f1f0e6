"""When a gateway may ask for a unit of an allowance again, and what callers are told; no I/O."""

from __future__ import annotations

from collections.abc import Collection, Iterable

import msgspec

from milletcourse.exchange.limits.quota_owner import PermitReply

MAX_RETRY_AFTER_SECONDS = 5.0
"""Longest time after which a refused caller is told to come back: few wait longer."""


class _Delay(msgspec.Struct):
    until: float
    permit_at: float
    retry_at: float
    interval_seconds: float


class PermitRetryDelays:
    """Allowances of which this gateway was denied a unit lately."""

    def __init__(self) -> None:
        self._delays: dict[int, _Delay] = {}

    def on_denied(self, key: int, reply: PermitReply, per_second: float, now: float) -> None:
        """A lender has no unit.

        Args:
            key: Identity of the allowance.
            reply: What it said.
            per_second: Units a second, for all gateways together.
            now: Monotonic time.
        """
        known = self._delays.get(key)
        permit_at = now + reply.permit_seconds
        self._delays[key] = _Delay(
            until=now + reply.retry_seconds,
            permit_at=permit_at,
            retry_at=permit_at if known is None else max(known.retry_at, permit_at),
            interval_seconds=reply.requesters / per_second,
        )

    def is_delayed(self, key: int, now: float) -> bool:
        """Whether asking would be in vain."""
        pause = self._delays.get(key)
        return pause is not None and now < pause.until

    def delayed(self, now: float) -> Collection[int]:
        """Allowances for which asking would be in vain; mostly none, which costs nothing."""
        if not self._delays:
            return ()
        return {key for key in self._delays if self.is_delayed(key, now)}

    def clear(self, key: int) -> None:
        """The allowance has changed, or is none any more."""
        self._delays.pop(key, None)

    def expire(self, now: float) -> None:
        """Forget pauses that are over, and what was promised in them."""
        over = [
            key for key, pause in self._delays.items() if now >= max(pause.until, pause.retry_at)
        ]
        for key in over:
            del self._delays[key]

    def retry_after_seconds(self, keys: Iterable[int], now: float) -> float | None:
        """Seconds after which a refused caller may be served; None when none of them is paused.

        Callers that are refused one after the other are told to come back one after the other, as
        this gateway's part of the units comes in.

        Args:
            keys: Allowances from which a unit would have served the caller.
            now: Monotonic time.
        """
        paused = [self._delays[key] for key in keys if self.is_delayed(key, now)]
        if not paused:
            return None
        first = min(paused, key=lambda pause: pause.retry_at)
        retry_at = max(first.retry_at, first.permit_at, now)
        seconds = min(retry_at - now, MAX_RETRY_AFTER_SECONDS)
        first.retry_at = min(retry_at + first.interval_seconds, now + MAX_RETRY_AFTER_SECONDS)
        return seconds
