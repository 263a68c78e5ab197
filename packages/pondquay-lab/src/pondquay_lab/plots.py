"""Bar charts as SVG files."""

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
    """Plot a group of bars for each case, with a bar for each policy.

    :param values: triples of case, policy and value
    """
    # A fixed salt keeps the ids in the SVG file the same in every run.
    matplotlib.rcParams["svg.hashsalt"] = "pondquay"
    cases = list(dict.fromkeys(case for case, _, _ in values))
    policies = list(dict.fromkeys(policy for _, policy, _ in values))
    figure, axes = pyplot.subplots(figsize=(WIDTH_INCHES, HEIGHT_INCHES))
    for index, policy in enumerate(policies):
        by_case = {case: value for case, name, value in values if name == policy}
        positions = [group + index * BAR_WIDTH for group in range(len(cases))]
        heights = [by_case.get(case, 0.0) for case in cases]
        axes.bar(positions, heights, BAR_WIDTH, label=policy)
    axes.set_xticks(range(len(cases)), cases, rotation=30, ha="right", fontsize=7)
    axes.set_title(title)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
