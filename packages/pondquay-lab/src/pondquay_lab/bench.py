"""The measurement of the decisions: one table, a CSV file and a plot.

The same seed gives the same figures. Whole: ``make bench`` (some minutes); in part:
``python -m pondquay_lab.bench --only routing``.
"""

from __future__ import annotations

import csv
from argparse import ArgumentParser
from concurrent.futures import ProcessPoolExecutor
from dataclasses import astuple, dataclass, fields
from itertools import product
from pathlib import Path
from typing import TYPE_CHECKING

from pondquay_lab.budgetruns import BudgetRun
from pondquay_lab.budgetscenarios import DOMAINS, Scenario
from pondquay_lab.plots import plot_bars
from pondquay_lab.routingruns import KINDS, RoutingRun
from pondquay_lab.sharedcounters import run_shared

if TYPE_CHECKING:
    from collections.abc import Sequence

RATIOS = (2.0, 1.1, 1.0, 0.5)
FAULTS = ("well", "one-cut", "all-cut", "deaths")
DEMANDS = ("even", "skewed", "shift")
GRANT_POLICIES = ("equal-split", "proportional")
ROUTING_POLICIES = ("round-robin", "two-choices", "prefix-affinity")
LOADS = (0.5, 0.9, 1.2)
WORKERS = 6
PERCENT = 100


@dataclass(frozen=True, slots=True)
class Row:
    """One figure.

    :param case: what was run
    :param policy: what decided
    """

    study: str
    case: str
    policy: str
    figure: str
    value: float


def measure_budget(case: tuple[float, str, str]) -> list[Row]:
    """Play one scenario with every policy and baseline."""
    ratio, fault, demand = case
    scenario = Scenario(ratio, fault, demand)
    name = f"{demand} demand, {fault}, budget {ratio}"
    rows = []
    for policy in GRANT_POLICIES:
        figures = BudgetRun(scenario, policy).run()
        values = {
            "falsely refused %": PERCENT * figures.false_share,
            "refused %": PERCENT * figures.refused / figures.requests,
            "overspend tokens": float(figures.overspend),
            "table writes": float(figures.writes),
        }
        rows += [Row("budgets", name, policy, key, one) for key, one in values.items()]
    cut = {"one-cut": {0}, "all-cut": set(range(DOMAINS))}.get(fault, set())
    baselines = {
        "hindsight split": run_shared(scenario, lambda one: one % DOMAINS),
        "central counter": run_shared(
            scenario, lambda one: None if one % DOMAINS in cut else 0
        ),
    }
    for policy, figures in baselines.items():
        share = PERCENT * figures.refused / figures.requests
        rows.append(Row("budgets", name, policy, "refused %", share))
        false = PERCENT * figures.false_share
        rows.append(Row("budgets", name, policy, "falsely refused %", false))
    return rows


def measure_witnesses(witnesses: bool) -> list[Row]:
    """Measure what crashes strand, with and without witnesses."""
    scenario = Scenario(1.1, "deaths", "even")
    run = BudgetRun(scenario, "proportional", witnesses=witnesses)
    figures = run.run()
    share = PERCENT * figures.stranded / run.limit
    name = "with witnesses" if witnesses else "without witnesses"
    return [Row("crashes", name, "proportional", "stranded % of budget", share)]


def measure_routing(case: tuple[float, str]) -> list[Row]:
    """Play one load with one routing policy, one upstream in six three times slow."""
    load, policy = case
    figures = RoutingRun(policy, load).run()
    name = f"load {load}, one slow upstream in six"
    rows = []
    for kind in KINDS:
        wait = figures.percentile(kind.name, 0.95)
        rows.append(Row("routing", name, policy, f"{kind.name} p95 s", wait))
        share = PERCENT * figures.refused_share(kind.name)
        rows.append(Row("routing", name, policy, f"{kind.name} refused %", share))
    return rows


def measure_all(only: str | None) -> list[Row]:
    """Run every study, or one, on several processors."""
    rows: list[Row] = []
    with ProcessPoolExecutor(WORKERS) as pool:
        if only in (None, "budgets"):
            cases = list(product(RATIOS, FAULTS, DEMANDS))
            rows += [one for part in pool.map(measure_budget, cases) for one in part]
        if only in (None, "crashes"):
            for part in pool.map(measure_witnesses, (True, False)):
                rows += part
        if only in (None, "routing"):
            runs = list(product(LOADS, ROUTING_POLICIES))
            rows += [one for part in pool.map(measure_routing, runs) for one in part]
    return rows


def print_table(rows: Sequence[Row]) -> None:
    """Print the rows, those of one case and policy in one line."""
    lines: dict[tuple[str, str, str], list[str]] = {}
    for row in rows:
        line = lines.setdefault((row.study, row.case, row.policy), [])
        line.append(f"{row.figure} {row.value:.2f}")
    for (study, case, policy), figures in lines.items():
        print(f"{study:8} {case:38} {policy:16} {'; '.join(figures)}")


def write_csv(rows: Sequence[Row], path: Path) -> None:
    """Write the rows as CSV."""
    with path.open("w", newline="", encoding="utf-8") as file:
        writer = csv.writer(file)
        writer.writerow([field.name for field in fields(Row)])
        writer.writerows(astuple(row) for row in rows)


def main() -> None:
    """Measure, print and write."""
    parser = ArgumentParser(prog="python -m pondquay_lab.bench")
    parser.add_argument("--only", choices=["budgets", "crashes", "routing"])
    parser.add_argument("--output", type=Path, default=Path("var"))
    options = parser.parse_args()
    rows = measure_all(options.only)
    print_table(rows)
    options.output.mkdir(parents=True, exist_ok=True)
    write_csv(rows, options.output / "bench.csv")
    shown = [
        (row.case, row.policy, row.value)
        for row in rows
        if row.study == "budgets"
        and row.figure == "falsely refused %"
        and "all-cut" in row.case
    ]
    if shown:
        title = "Falsely refused, all domains cut off for an hour (%)"
        plot_bars(shown, title, options.output / "bench.svg")
    print(f"written to {options.output}/bench.csv and bench.svg")


if __name__ == "__main__":
    main()
