"""Bounds the number of accounts that a gateway keeps for shared quotas; no input/output."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

IDLE_SECONDS = 60.0
"""An account that hasn't been used for this long is dropped."""
MAX_ACCOUNTS = 4096

Key = TypeVar("Key")
Account = TypeVar("Account")


def drop_idle_accounts(
    accounts: dict[Key, Account], used_at: Callable[[Account], float], now: float
) -> dict[Key, Account]:
    """The accounts that have been used recently; the latest half of them if there are many.

    Args:
        accounts: The accounts by key.
        used_at: Time of an account's latest use.
        now: Time by the same clock.
    """
    kept = {
        key: account for key, account in accounts.items() if now - used_at(account) < IDLE_SECONDS
    }
    if len(kept) < MAX_ACCOUNTS:
        return kept
    newest = sorted(kept.items(), key=lambda item: -used_at(item[1]))
    return dict(newest[: MAX_ACCOUNTS // 2])
