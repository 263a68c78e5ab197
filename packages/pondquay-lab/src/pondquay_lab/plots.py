"""Plots as SVG files."""

from __future__ import annotations

from typing import TYPE_CHECKING

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot  # noqa: E402

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

BAR_WIDTH = 0.2
WIDTH_INCHES = 12
HEIGHT_INCHES = 5


def plot_bars(values: Sequence[tuple[str, str, float]], title: str, path: Path) -> None:
    """Draw one group of bars for each case, one bar for each policy.

    :param values: case, policy and value
    """
    matplotlib.rcParams["svg.hashsalt"] = "pondquay"
    cases = list(dict.fromkeys(case for case, _, _ in values))
    policies = list(dict.fromkeys(policy for _, policy, _ in values))
    figure, axes = pyplot.subplots(figsize=(WIDTH_INCHES, HEIGHT_INCHES))
    for index, policy in enumerate(policies):
        heights = {case: value for case, one, value in values if one == policy}
        places = [place + index * BAR_WIDTH for place in range(len(cases))]
        bars = [heights.get(case, 0.0) for case in cases]
        axes.bar(places, bars, BAR_WIDTH, label=policy)
    axes.set_xticks(range(len(cases)), cases, rotation=30, ha="right", fontsize=7)
    axes.set_title(title)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
