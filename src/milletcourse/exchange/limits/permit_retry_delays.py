"""When a gateway may request a permit again, and when refused callers may retry; no I/O."""

from __future__ import annotations

from collections.abc import Collection, Iterable

import msgspec

from milletcourse.exchange.limits.quota_owner import PermitReply

MAX_RETRY_AFTER_SECONDS = 5.0
"""Longest retry time that a refused caller is given: few wait longer."""


class _Delay(msgspec.Struct):
    until: float
    permit_at: float
    retry_at: float
    interval_seconds: float


class PermitRetryDelays:
    """Server quotas of which this gateway was denied a permit recently."""

    def __init__(self) -> None:
        self._delays: dict[int, _Delay] = {}

    def on_denied(self, key: int, reply: PermitReply, now: float) -> None:
        """Record that a quota owner denied a permit.

        Args:
            key: Identity of the quota.
            reply: Reply of the owner.
            now: Monotonic time.
        """
        known = self._delays.get(key)
        permit_at = now + reply.permit_seconds
        self._delays[key] = _Delay(
            until=now + reply.retry_seconds,
            permit_at=permit_at,
            retry_at=permit_at if known is None else max(known.retry_at, permit_at),
            interval_seconds=reply.requesters / reply.per_second,
        )

    def is_delayed(self, key: int, now: float) -> bool:
        """Whether a request for a permit would be denied."""
        delay = self._delays.get(key)
        return delay is not None and now < delay.until

    def delayed(self, now: float) -> Collection[int]:
        """Quotas whose permits can't be requested yet; usually none, which costs nothing."""
        if not self._delays:
            return ()
        return {key for key in self._delays if self.is_delayed(key, now)}

    def clear(self, key: int) -> None:
        """Drop the delay of a quota that has changed or ended."""
        self._delays.pop(key, None)

    def expire(self, now: float) -> None:
        """Drop delays that are over, once the retry times given during them have passed too."""
        expired = [
            key for key, delay in self._delays.items() if now >= max(delay.until, delay.retry_at)
        ]
        for key in expired:
            del self._delays[key]

    def retry_after_seconds(self, keys: Iterable[int], now: float) -> float | None:
        """Seconds after which a refused caller may be served; None when no quota is delayed.

        Callers that are refused in sequence get retry times in the same sequence, at the rate at
        which this gateway gets its share of the permits.

        Args:
            keys: Quotas of which a permit would have served the caller.
            now: Monotonic time.
        """
        delayed = [self._delays[key] for key in keys if self.is_delayed(key, now)]
        if not delayed:
            return None
        first = min(delayed, key=lambda delay: delay.retry_at)
        retry_at = max(first.retry_at, first.permit_at, now)
        seconds = min(retry_at - now, MAX_RETRY_AFTER_SECONDS)
        first.retry_at = min(retry_at + first.interval_seconds, now + MAX_RETRY_AFTER_SECONDS)
        return seconds
