"""Plots the results of `backoff_model`."""

from __future__ import annotations

from pathlib import Path

from milletcourse.experiments.backoff_model import BackoffFigures, BackoffStrategy, Overload
from milletcourse.reports.pyplot import load_pyplot

BAR_WIDTH = 0.11


def plot_backoffs(figures: list[BackoffFigures], directory: Path) -> Path:
    """Plot the share of served clients by strategy and gateways, one chart per overload.

    Raises:
        FailureError: `InvalidObject` when the extra `plots` is not installed.
    """
    pyplot = load_pyplot("out", directory)
    directory.mkdir(parents=True, exist_ok=True)
    sizes = sorted({item.gateways for item in figures})
    drawing, charts = pyplot.subplots(len(Overload), figsize=(9, 10), sharex=True)
    for chart, need in zip(charts, Overload, strict=True):
        for number, way in enumerate(BackoffStrategy):
            served = {
                item.gateways: item.served
                for item in figures
                if item.need is need and item.way is way
            }
            places = [index + number * BAR_WIDTH for index in range(len(sizes))]
            chart.bar(places, [served[size] for size in sizes], BAR_WIDTH, label=way.value)
        chart.set_title(f"served: {need.value}")
    charts[-1].set_xticks(range(len(sizes)), [f"{size} gateways" for size in sizes])
    charts[0].legend(fontsize="x-small", loc="lower right")
    drawing.tight_layout()
    path = directory / "rests.png"
    drawing.savefig(path)
    pyplot.close(drawing)
    return path
