"""Exceptions that decoding untrusted JSON or msgpack may raise."""

from __future__ import annotations

import msgspec

DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)
"""`RecursionError` comes from values that are nested too deeply."""
