"""When a gateway may ask for a unit of an allowance again, and what callers are told; no I/O."""

from __future__ import annotations

from collections.abc import Collection, Iterable

import msgspec

from milletcourse.exchange.limits.quota_owner import UnitReply

MAX_PROMISE_SECONDS = 5.0
"""Longest time after which a refused caller is told to come back: few wait longer."""


class _Pause(msgspec.Struct):
    until: float
    unit_at: float
    promised_at: float
    turn_seconds: float


class AskPauses:
    """Allowances of which this gateway was denied a unit lately."""

    def __init__(self) -> None:
        self._pauses: dict[int, _Pause] = {}

    def on_denied(self, key: int, reply: UnitReply, per_second: float, now: float) -> None:
        """A lender has no unit.

        Args:
            key: Identity of the allowance.
            reply: What it said.
            per_second: Units a second, for all gateways together.
            now: Monotonic time.
        """
        known = self._pauses.get(key)
        unit_at = now + reply.unit_seconds
        self._pauses[key] = _Pause(
            until=now + reply.pause_seconds,
            unit_at=unit_at,
            promised_at=unit_at if known is None else max(known.promised_at, unit_at),
            turn_seconds=reply.askers / per_second,
        )

    def is_paused(self, key: int, now: float) -> bool:
        """Whether asking would be in vain."""
        pause = self._pauses.get(key)
        return pause is not None and now < pause.until

    def paused(self, now: float) -> Collection[int]:
        """Allowances for which asking would be in vain; mostly none, which costs nothing."""
        if not self._pauses:
            return ()
        return {key for key in self._pauses if self.is_paused(key, now)}

    def end(self, key: int) -> None:
        """The allowance has changed, or is none any more."""
        self._pauses.pop(key, None)

    def expire(self, now: float) -> None:
        """Forget pauses that are over, and what was promised in them."""
        over = [
            key for key, pause in self._pauses.items() if now >= max(pause.until, pause.promised_at)
        ]
        for key in over:
            del self._pauses[key]

    def promise(self, keys: Iterable[int], now: float) -> float | None:
        """Seconds after which a refused caller may be served; None when none of them is paused.

        Callers that are refused one after the other are told to come back one after the other, as
        this gateway's part of the units comes in.

        Args:
            keys: Allowances from which a unit would have served the caller.
            now: Monotonic time.
        """
        paused = [self._pauses[key] for key in keys if self.is_paused(key, now)]
        if not paused:
            return None
        first = min(paused, key=lambda pause: pause.promised_at)
        promised_at = max(first.promised_at, first.unit_at, now)
        seconds = min(promised_at - now, MAX_PROMISE_SECONDS)
        first.promised_at = min(promised_at + first.turn_seconds, now + MAX_PROMISE_SECONDS)
        return seconds
