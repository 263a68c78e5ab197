"""Results of an experiment: means, paired differences, and causes of lost worth."""

from __future__ import annotations

import csv
from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy

from pondquay_lab.plots import plot_bars

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence
    from pathlib import Path

    from pondquay_lab.experiment.dayruns import Case, DayRun, Report

# Confidence level of the intervals.
CONFIDENCE = 0.95
RESAMPLES = 10_000
RESAMPLING_SEED = 1
# Smaller losses are not plotted.
MIN_PLOTTED_LOSS = 0.001


@dataclass(frozen=True, slots=True)
class Difference:
    """Difference of a variant from the baseline, over the cases that both have run.

    :param low: lower end of the mean's confidence interval
    :param high: upper end of the mean's confidence interval
    :param count: number of cases
    """

    mean: float
    low: float
    high: float
    count: int


@dataclass(frozen=True, slots=True)
class Comparison:
    """Results of one variant at one site.

    :param mean: mean worth of a day
    :param spread: standard deviation of the worth over seeds, averaged over days
    :param broken: number of runs in which a rule was broken
    :param count: number of runs
    :param difference: difference from the baseline, ``None`` for equal reports, such as
        those of the baseline itself, or if there is no common case
    """

    variant: str
    site: str
    mean: float
    spread: float
    broken: int
    count: int
    difference: Difference | None


def compare_pairs(first: Sequence[float], second: Sequence[float]) -> Difference:
    """Return the mean of ``second - first`` with its confidence interval.

    The interval is a bootstrap interval, since the values are few and not normally
    distributed.
    """
    differences = numpy.subtract(second, first)
    random = numpy.random.default_rng(RESAMPLING_SEED)
    count = len(differences)
    indexes = random.integers(0, count, (RESAMPLES, count))
    means = differences[indexes].mean(axis=1)
    tail = (1 - CONFIDENCE) / 2
    low, high = numpy.quantile(means, (tail, 1 - tail))
    return Difference(float(differences.mean()), float(low), float(high), count)


def compare(day_runs: Sequence[DayRun], variants: Sequence[str]) -> list[Comparison]:
    """Compare each variant with the baseline, the first variant, at each site."""
    comparisons = []
    for site in dict.fromkeys(day_run.case.site for day_run in day_runs):
        reports_by_variant = {
            name: {
                day_run.case: day_run.report
                for day_run in day_runs
                if day_run.variant == name and day_run.case.site == site
            }
            for name in variants
        }
        baseline = reports_by_variant[variants[0]]
        for name in variants:
            if reports_by_variant[name]:
                comparisons.append(
                    _compare_variant(name, site, reports_by_variant[name], baseline)
                )
    return comparisons


def _compare_variant(
    name: str,
    site: str,
    reports: Mapping[Case, Report],
    baseline: Mapping[Case, Report],
) -> Comparison:
    worth_values = [report.worth for report in reports.values()]
    common_cases = [case for case in reports if case in baseline]
    difference = None
    if reports != baseline and common_cases:
        difference = compare_pairs(
            [baseline[case].worth for case in common_cases],
            [reports[case].worth for case in common_cases],
        )
    return Comparison(
        name,
        site,
        float(numpy.mean(worth_values)),
        _mean_spread_over_seeds(reports),
        sum(bool(report.breaks) for report in reports.values()),
        len(worth_values),
        difference,
    )


def _mean_spread_over_seeds(reports: Mapping[Case, Report]) -> float:
    by_day: dict[str, list[float]] = {}
    for case, report in reports.items():
        by_day.setdefault(case.day, []).append(report.worth)
    spreads = [
        numpy.std(values, ddof=1) for values in by_day.values() if len(values) > 1
    ]
    return float(numpy.mean(spreads)) if spreads else 0.0


def format_table(comparisons: Iterable[Comparison]) -> str:
    """Return the comparisons as a Markdown table."""
    # The column "plays" holds the number of runs.
    lines = [
        "| site | variant | plays | worth | over seeds | difference | rules broken |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in comparisons:
        difference = row.difference
        text = "-"
        if difference is not None:
            text = (
                f"{difference.mean:+.3f} "
                f"({difference.low:+.3f} to {difference.high:+.3f})"
            )
        lines.append(
            f"| {row.site} | {row.variant} | {row.count} | {row.mean:.3f} "
            f"| {row.spread:.3f} | {text} | {row.broken} |"
        )
    return "\n".join(lines) + "\n"


def write_csv(day_runs: Iterable[DayRun], path: Path) -> None:
    """Write a CSV file with a row for each run."""
    with path.open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(["variant", "site", "day", "seed", "worth", "broken"])
        for day_run in day_runs:
            case, report = day_run.case, day_run.report
            row = [day_run.variant, case.site, case.day, case.seed, report.worth]
            writer.writerow([*row, " ".join(report.breaks)])


def plot_worth(day_runs: Sequence[DayRun], path: Path) -> None:
    """Plot the mean worth over seeds of each day and variant."""
    values_by_key: dict[tuple[str, str], list[float]] = {}
    for day_run in day_runs:
        key = f"{day_run.case.site} {day_run.case.day}", day_run.variant
        values_by_key.setdefault(key, []).append(day_run.report.worth)
    means = [
        (*key, float(numpy.mean(values)))
        for key, values in sorted(values_by_key.items())
    ]
    plot_bars(means, "worth of a day", path)


def plot_losses(day_runs: Sequence[DayRun], path: Path) -> None:
    """Plot the mean losses of requests and worth over all runs, by cause."""
    values_by_key: dict[tuple[str, str], list[float]] = {}
    for day_run in day_runs:
        for cause, loss in compute_losses(day_run.report).items():
            values_by_key.setdefault((cause, day_run.variant), []).append(loss)
    means = [
        (*key, float(numpy.mean(values)))
        for key, values in sorted(values_by_key.items())
    ]
    bars = [bar for bar in means if bar[2] >= MIN_PLOTTED_LOSS]
    plot_bars(bars, "fractions of the requests, and prices", path)


def compute_losses(report: Report) -> dict[str, float]:
    """Return the fractions of late, refused and failed requests, and the prices."""
    losses: dict[str, float] = {}
    for result in report.classes:
        owed = result.n - result.not_owed
        if owed:
            losses[f"{result.name} late"] = result.late / owed
            losses[f"{result.name} refused"] = result.refused / owed
            losses[f"{result.name} failed"] = result.failed / owed
    for name, _, cost in report.prices:
        losses[f"price of {name}"] = cost
    return losses
