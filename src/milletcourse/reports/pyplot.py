"""Loads matplotlib, an optional dependency for plots."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from milletcourse.errors import FailureError, InvalidObject


def load_pyplot(option: str, path: Path) -> Any:
    """Import `pyplot` with a backend that writes files.

    Args:
        option: Command-line option that requests a plot.
        path: Value of the option.

    Raises:
        FailureError: `InvalidObject` when the extra `plots` is not installed.
    """
    try:
        import matplotlib
    except ImportError as error:
        raise FailureError(
            InvalidObject(option, None, option, str(path), "pip install milletcourse[plots]")
        ) from error
    matplotlib.use("Agg")
    from matplotlib import pyplot

    return pyplot
