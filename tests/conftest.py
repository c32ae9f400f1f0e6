"""Shared fixtures."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import settings

sys.path.insert(0, str(Path(__file__).parent))

from child_processes import running_children
from hypothesis_draws import draw_independently_of_modules
from known_red import (  # noqa: F401
    pytest_addoption,
    pytest_collection_modifyitems,
    pytest_terminal_summary,
)
from local_processes import LocalDeployment

settings.register_profile("ci", derandomize=True, deadline=None, max_examples=60, database=None)
settings.load_profile("ci")
draw_independently_of_modules()


@pytest.fixture(autouse=True)
def no_child_process_remains() -> Iterator[None]:
    """Check that a test leaves no child process running."""
    before = running_children()
    yield
    left = [line for line in running_children() if line not in before]
    assert not left, f"processes of this test still run: {left}"


@pytest.fixture
def deployment() -> Iterator[LocalDeployment]:
    """Platform, 3 engines, KV store, application and 2 routers as separate processes."""
    local = LocalDeployment()
    try:
        local.start()
        yield local
    finally:
        local.stop()
