"""Medians over seeds, tables and plots."""

from __future__ import annotations

import statistics
from pathlib import Path
from typing import Any

from milletcourse.admission.fair_share import fair_shares
from milletcourse.experiments.run import RunResult
from milletcourse.reports.pyplot import load_pyplot

SummaryRow = dict[str, Any]


def summarize(results: list[RunResult]) -> SummaryRow:
    """Summarise the runs of one policy by medians over seeds."""
    return {
        "hit_rate": round(statistics.median(item.hit_rate for item in results), 4),
        "wasted_tokens": int(statistics.median(item.wasted_tokens for item in results)),
        "wasted_live_copy_tokens": int(
            statistics.median(item.wasted_live_copy_tokens for item in results)
        ),
        "ttft_p50_seconds": _by_class([item.ttft_p50_seconds for item in results]),
        "ttft_p99_seconds": _by_class([item.ttft_p99_seconds for item in results]),
        "goodput_per_second": round(
            statistics.median(item.goodput_per_second for item in results), 3
        ),
        "refused": _summed([item.refused for item in results]),
        "violations": sum(item.violations for item in results),
        "retries": int(statistics.median(item.retries for item in results)),
        "served": int(statistics.median(item.served for item in results)),
        "least_share": round(statistics.median(least_share(item) for item in results), 3),
    }


def least_share(result: RunResult) -> float:
    """Lowest ratio of served tokens to weighted fair share over all tenants; 1 is fair.

    Fair shares divide all served tokens in proportion to the weights, and give no tenant more than
    it requested.
    """
    fair = fair_shares(
        sum(result.tenant_tokens.values()), result.tenant_demand, result.tenant_weights
    )
    ratios = [
        result.tenant_tokens.get(name, 0) / share for name, share in fair.items() if share > 0
    ]
    return min(ratios, default=0.0)


def _by_class(values: list[dict[str, float]]) -> dict[str, float]:
    names = sorted({name for item in values for name in item})
    return {
        name: round(statistics.median(item[name] for item in values if name in item), 4)
        for name in names
    }


def _summed(values: list[dict[str, int]]) -> dict[str, int]:
    names = sorted({name for item in values for name in item})
    return {name: sum(item.get(name, 0) for item in values) for name in names}


def table(rows: dict[str, SummaryRow]) -> str:
    """Render a Markdown table with one policy per line."""
    classes = sorted({name for row in rows.values() for name in row["ttft_p99_seconds"]})
    head = ["policy", "hit rate", "wasted", "live copy", "goodput/s"]
    head += [f"{name} p50" for name in classes] + [f"{name} p99" for name in classes]
    head += ["refused", "least share"]
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    for policy, row in rows.items():
        cells = [
            policy,
            f"{row['hit_rate']:.3f}",
            f"{row['wasted_tokens'] / 1e6:.3f} M",
            f"{row['wasted_live_copy_tokens'] / 1e6:.3f} M",
            f"{row['goodput_per_second']:.2f}",
        ]
        for figures in (row["ttft_p50_seconds"], row["ttft_p99_seconds"]):
            cells += [f"{figures.get(name, float('nan')):.3f}" for name in classes]
        cells += [str(sum(row["refused"].values())), f"{row['least_share']:.2f}"]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def plot(rows: dict[str, SummaryRow], title: str, directory: Path) -> list[Path]:
    """Write bar charts of wasted tokens, hit rate and tail time to first token.

    Raises:
        FailureError: `InvalidObject` when the extra `plots` is not installed.
    """
    pyplot = load_pyplot("out", directory)
    directory.mkdir(parents=True, exist_ok=True)
    classes = sorted({name for row in rows.values() for name in row["ttft_p99_seconds"]})
    charts = {"hit_rate": {name: row["hit_rate"] for name, row in rows.items()}}
    charts["wasted_tokens"] = {name: row["wasted_tokens"] for name, row in rows.items()}
    for item in classes:
        charts[f"ttft_p99_{item}_seconds"] = {
            name: row["ttft_p99_seconds"].get(item, 0.0) for name, row in rows.items()
        }
    paths = []
    for chart, values in charts.items():
        figure, axes = pyplot.subplots(figsize=(8, 4))
        axes.barh(list(values), list(values.values()), color="#33658a")
        axes.invert_yaxis()
        axes.set_title(f"{title}: {chart}")
        figure.tight_layout()
        path = directory / f"{title}-{chart}.png".replace(" ", "-")
        figure.savefig(path)
        pyplot.close(figure)
        paths.append(path)
    return paths
