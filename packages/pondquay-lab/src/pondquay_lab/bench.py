"""Benchmark of the budget and routing policies, in virtual time.

Prints a table and writes a CSV file and a plot; results are reproducible.
``make bench`` runs all studies, ``python -m pondquay_lab.bench --only routing`` runs a
single one.
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
from pondquay_lab.sharedcounters import run_shared_counters

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
    """One measured value. The field names are the columns of the CSV file.

    :param study: ``budgets``, ``crashes`` or ``routing``
    :param case: description of the scenario
    :param policy: name of the policy or baseline
    :param figure: name of the measured quantity, with its unit
    """

    study: str
    case: str
    policy: str
    figure: str
    value: float


def measure_budget(case: tuple[float, str, str]) -> list[Row]:
    """Run a budget scenario with every policy and baseline.

    :param case: ratio, fault and demand of the scenario
    """
    ratio, fault, demand = case
    scenario = Scenario(ratio, fault, demand)
    name = f"{demand} demand, {fault}, budget {ratio}"
    rows = []
    for policy in GRANT_POLICIES:
        results = BudgetRun(scenario, policy).run()
        values = {
            "falsely refused %": PERCENT * results.false_refusal_fraction,
            "refused %": PERCENT * results.refused / results.requests,
            "overspend tokens": float(results.overspend),
            "table writes": float(results.writes),
        }
        rows += [
            Row("budgets", name, policy, figure, value)
            for figure, value in values.items()
        ]
    isolated_domains = {"one-cut": {0}, "all-cut": set(range(DOMAINS))}.get(
        fault, set()
    )
    baselines = {
        "hindsight split": run_shared_counters(
            scenario, lambda instance: instance % DOMAINS
        ),
        "central counter": run_shared_counters(
            scenario,
            lambda instance: None if instance % DOMAINS in isolated_domains else 0,
        ),
    }
    for policy, results in baselines.items():
        refused = PERCENT * results.refused / results.requests
        rows.append(Row("budgets", name, policy, "refused %", refused))
        falsely_refused = PERCENT * results.false_refusal_fraction
        rows.append(Row("budgets", name, policy, "falsely refused %", falsely_refused))
    return rows


def measure_witnesses(witnesses: bool) -> list[Row]:
    """Measure the unspent tokens in the grants of crashed instances.

    :param witnesses: whether grants have witnesses
    """
    scenario = Scenario(1.1, "deaths", "even")
    run = BudgetRun(scenario, "proportional", witnesses=witnesses)
    results = run.run()
    stranded = PERCENT * results.stranded / run.limit
    name = "with witnesses" if witnesses else "without witnesses"
    return [Row("crashes", name, "proportional", "stranded % of budget", stranded)]


def measure_routing(case: tuple[float, str]) -> list[Row]:
    """Run a routing policy under a load, with one of six upstreams three times slower.

    :param case: load and name of the policy
    """
    load, policy = case
    results = RoutingRun(policy, load).run()
    name = f"load {load}, one slow upstream in six"
    rows = []
    for kind in KINDS:
        wait = results.percentile(kind.name, 0.95)
        rows.append(Row("routing", name, policy, f"{kind.name} p95 s", wait))
        refused = PERCENT * results.refused_fraction(kind.name)
        rows.append(Row("routing", name, policy, f"{kind.name} refused %", refused))
    return rows


def measure_all(only: str | None) -> list[Row]:
    """Run one study, or all if none is named, in parallel processes."""
    rows: list[Row] = []
    with ProcessPoolExecutor(WORKERS) as pool:
        if only in (None, "budgets"):
            cases = list(product(RATIOS, FAULTS, DEMANDS))
            rows += [row for case in pool.map(measure_budget, cases) for row in case]
        if only in (None, "crashes"):
            for case_rows in pool.map(measure_witnesses, (True, False)):
                rows += case_rows
        if only in (None, "routing"):
            runs = list(product(LOADS, ROUTING_POLICIES))
            rows += [row for case in pool.map(measure_routing, runs) for row in case]
    return rows


def print_table(rows: Sequence[Row]) -> None:
    """Print a line for each case and policy."""
    lines: dict[tuple[str, str, str], list[str]] = {}
    for row in rows:
        line = lines.setdefault((row.study, row.case, row.policy), [])
        line.append(f"{row.figure} {row.value:.2f}")
    for (study, case, policy), values in lines.items():
        print(f"{study:8} {case:38} {policy:16} {'; '.join(values)}")


def write_csv(rows: Sequence[Row], path: Path) -> None:
    """Write the rows as CSV."""
    with path.open("w", newline="", encoding="utf-8") as file:
        writer = csv.writer(file)
        writer.writerow([field.name for field in fields(Row)])
        writer.writerows(astuple(row) for row in rows)


def main() -> None:
    """Run the benchmark, print the table, and write the CSV file and the plot."""
    parser = ArgumentParser(prog="python -m pondquay_lab.bench")
    parser.add_argument("--only", choices=["budgets", "crashes", "routing"])
    parser.add_argument("--output", type=Path, default=Path("var"))
    options = parser.parse_args()
    rows = measure_all(options.only)
    print_table(rows)
    options.output.mkdir(parents=True, exist_ok=True)
    write_csv(rows, options.output / "bench.csv")
    bars = [
        (row.case, row.policy, row.value)
        for row in rows
        if row.study == "budgets"
        and row.figure == "falsely refused %"
        and "all-cut" in row.case
    ]
    if bars:
        title = "Falsely refused, all domains cut off for an hour (%)"
        plot_bars(bars, title, options.output / "bench.svg")
    print(f"written to {options.output}/bench.csv and bench.svg")


if __name__ == "__main__":
    main()
