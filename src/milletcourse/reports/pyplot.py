"""Loads the plotting library, which only plots need."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from milletcourse.errors import FailureError, InvalidObject


def load_pyplot(option: str, path: Path) -> Any:
    """The library's `pyplot`, drawing into files.

    Args:
        option: Option of the command that asks for a plot.
        path: What the option names.

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
