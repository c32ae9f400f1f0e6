"""Seeded random sources, passed as arguments instead of using the module-level generator."""

from __future__ import annotations

import random
import secrets


def system_random_source() -> random.Random:
    """A source seeded from the operating system, for real processes."""
    return random.Random(secrets.randbits(128))


def derived_random_source(seed: int, *names: str) -> random.Random:
    """A source that depends only on the seed and the names, for simulations."""
    return random.Random(f"{seed}/{'/'.join(names)}")
