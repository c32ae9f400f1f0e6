"""Ranges of HTTP statuses (RFC 9110, section 15)."""

from __future__ import annotations

MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599


def is_valid_status(status: int) -> bool:
    """Whether a status has a meaning; an answer with any other one is no answer."""
    return MIN_STATUS <= status <= MAX_STATUS


def is_informational(status: int) -> bool:
    """Whether a final answer follows the one with this status."""
    return MIN_STATUS <= status < MIN_FINAL_STATUS
