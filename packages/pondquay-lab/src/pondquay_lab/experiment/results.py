"""What an experiment found: means, differences in pairs, and where worth is lost."""

from __future__ import annotations

import csv
from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy

from pondquay_lab.plots import plot_bars

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence
    from pathlib import Path

    from pondquay_lab.experiment.dayruns import Case, Play, Report

# Part of the differences' distribution that the interval holds.
CONFIDENCE = 0.95
RESAMPLES = 10_000
RESAMPLING_SEED = 1
# Prices below this are not plotted, in worth.
MIN_PRICE = 0.001


@dataclass(frozen=True, slots=True)
class Difference:
    """A variant against the first one, over the cases that both have played.

    :param low: lower end of the interval that holds the mean
    :param high: its upper end
    """

    mean: float
    low: float
    high: float
    count: int


@dataclass(frozen=True, slots=True)
class Comparison:
    """What was found of one variant at one site.

    :param spread: standard deviation over seeds, as a mean over days
    :param broken: plays in which a rule was broken
    :param difference: ``None`` for the first variant
    """

    variant: str
    site: str
    mean: float
    spread: float
    broken: int
    count: int
    difference: Difference | None


def compare_pairs(first: Sequence[float], second: Sequence[float]) -> Difference:
    """Return by how much the second values exceed the first, with an interval.

    The interval is the bootstrap's, since few values are far from a normal shape.
    """
    differences = numpy.subtract(second, first)
    random = numpy.random.default_rng(RESAMPLING_SEED)
    count = len(differences)
    picks = random.integers(0, count, (RESAMPLES, count))
    means = differences[picks].mean(axis=1)
    tail = (1 - CONFIDENCE) / 2
    low, high = numpy.quantile(means, (tail, 1 - tail))
    return Difference(float(differences.mean()), float(low), float(high), count)


def compare(plays: Sequence[Play], variants: Sequence[str]) -> list[Comparison]:
    """Compare all variants with the first one, by site."""
    found = []
    for site in dict.fromkeys(play.case.site for play in plays):
        played = {
            name: {
                play.case: play.report
                for play in plays
                if play.variant == name and play.case.site == site
            }
            for name in variants
        }
        base = played[variants[0]]
        for name in variants:
            if played[name]:
                found.append(_compare_one(name, site, played[name], base))
    return found


def _compare_one(
    name: str,
    site: str,
    reports: Mapping[Case, Report],
    base: Mapping[Case, Report],
) -> Comparison:
    worths = [one.worth for one in reports.values()]
    both = [case for case in reports if case in base]
    difference = None
    if reports != base and both:
        difference = compare_pairs(
            [base[case].worth for case in both], [reports[case].worth for case in both]
        )
    return Comparison(
        name,
        site,
        float(numpy.mean(worths)),
        _spread_over_seeds(reports),
        sum(bool(one.breaks) for one in reports.values()),
        len(worths),
        difference,
    )


def _spread_over_seeds(reports: Mapping[Case, Report]) -> float:
    by_day: dict[str, list[float]] = {}
    for case, report in reports.items():
        by_day.setdefault(case.day, []).append(report.worth)
    spreads = [numpy.std(one, ddof=1) for one in by_day.values() if len(one) > 1]
    return float(numpy.mean(spreads)) if spreads else 0.0


def format_table(comparisons: Iterable[Comparison]) -> str:
    """Return the comparisons as a table in Markdown."""
    lines = [
        "| site | variant | plays | worth | over seeds | difference | rules broken |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for one in comparisons:
        other = one.difference
        text = "-"
        if other is not None:
            text = f"{other.mean:+.3f} ({other.low:+.3f} to {other.high:+.3f})"
        lines.append(
            f"| {one.site} | {one.variant} | {one.count} | {one.mean:.3f} "
            f"| {one.spread:.3f} | {text} | {one.broken} |"
        )
    return "\n".join(lines) + "\n"


def write_csv(plays: Iterable[Play], path: Path) -> None:
    """Write one line for each play."""
    with path.open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(["variant", "site", "day", "seed", "worth", "broken"])
        for play in plays:
            case, report = play.case, play.report
            row = [play.variant, case.site, case.day, case.seed, report.worth]
            writer.writerow([*row, " ".join(report.breaks)])


def plot_worth(plays: Sequence[Play], path: Path) -> None:
    """Draw the worth of each day and variant, as a mean over seeds."""
    sums: dict[tuple[str, str], list[float]] = {}
    for play in plays:
        key = f"{play.case.site} {play.case.day}", play.variant
        sums.setdefault(key, []).append(play.report.worth)
    means = [(*key, float(numpy.mean(one))) for key, one in sorted(sums.items())]
    plot_bars(means, "worth of a day", path)


def plot_losses(plays: Sequence[Play], path: Path) -> None:
    """Draw where requests and worth are lost, as a mean over all plays."""
    sums: dict[tuple[str, str], list[float]] = {}
    for play in plays:
        for cause, part in list_losses(play.report).items():
            sums.setdefault((cause, play.variant), []).append(part)
    means = [(*key, float(numpy.mean(one))) for key, one in sorted(sums.items())]
    kept = [one for one in means if one[2] >= MIN_PRICE]
    plot_bars(kept, "parts of the requests, and prices", path)


def list_losses(report: Report) -> dict[str, float]:
    """Return the parts of requests late, refused and failed, and the prices."""
    losses: dict[str, float] = {}
    for one in report.classes:
        owed = one.n - one.not_owed
        if owed:
            losses[f"{one.name} late"] = one.late / owed
            losses[f"{one.name} refused"] = one.refused / owed
            losses[f"{one.name} failed"] = one.failed / owed
    for name, _, price in report.prices:
        losses[f"price of {name}"] = price
    return losses
