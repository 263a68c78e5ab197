"""Runs of the bench: a single day, or all days of a plan."""

from __future__ import annotations

import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pydantic import BaseModel, Field, ValidationError

from pondquay_lab.experiment.checkouts import make_checkout
from pondquay_lab.experiment.errors import DayRunError

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from pondquay_lab.experiment.plans import Plan


@dataclass(frozen=True, slots=True, order=True)
class Case:
    """A day at a site with a seed, run once for each variant."""

    site: str
    day: str
    seed: int


class ClassResult(BaseModel):
    """The bench's result for one class of requests.

    :param n: number of requests
    :param in_aim: number of responses within the class's objective
    :param late: number of responses after the class's objective
    :param not_owed: number of requests for which no response was owed
    :param worth: earned credit relative to owed credit
    """

    name: str
    n: int
    in_aim: int
    late: int
    refused: int
    failed: int
    not_owed: int
    worth: float | None = None


class Report(BaseModel):
    """The bench's report on one day.

    :param worth: worth of the day; the bench calls it ``G``
    :param breaks: broken rules, by name
    :param prices: name, amount and cost (in worth) of each priced resource
    """

    worth: float = Field(alias="G")
    breaks: dict[str, Any]
    prices: list[tuple[str, float, float]]
    classes: list[ClassResult]


@dataclass(frozen=True, slots=True)
class DayRun:
    """The run of one case with one variant."""

    variant: str
    case: Case
    report: Report


def list_cases(plan: Plan) -> list[Case]:
    """Return the cases that a plan runs for each variant."""
    return [
        Case(site, day, seed)
        for seed in plan.seeds
        for site in plan.sites
        for day in plan.days
    ]


def run_all(plan: Plan, repository: Path) -> Iterator[DayRun]:
    """Run all cases of a plan with all variants and yield each run when it completes.

    Cases with a report in the plan's output folder are not run again, so a stopped
    experiment can be resumed.

    :raises CheckoutError: if a variant's checkout cannot be created
    :raises DayRunError: if a run yields no valid report
    """
    plan.output.mkdir(parents=True, exist_ok=True)
    folder = plan.output / "checkouts"
    folder.mkdir(exist_ok=True)
    checkouts = {
        variant.name: make_checkout(repository, variant, folder)
        for variant in plan.variants
    }
    with ThreadPoolExecutor(plan.jobs) as executor:
        # Each case runs with all variants before the next case, so that a stopped
        # experiment still has pairs to compare.
        futures = [
            executor.submit(run_day, plan, name, case, checkout)
            for case in list_cases(plan)
            for name, checkout in checkouts.items()
        ]
        try:
            for future in as_completed(futures):
                yield future.result()
        except BaseException:
            executor.shutdown(cancel_futures=True)
            raise


def run_day(plan: Plan, variant: str, case: Case, checkout: Path) -> DayRun:
    """Run one case with one variant, unless its report exists.

    :raises DayRunError: if the run yields no valid report
    """
    path = plan.output / f"{variant}.{case.site}.{case.day}.{case.seed}.json"
    if not path.exists():
        _run_bench(plan, case, checkout, path)
    return DayRun(variant, case, read_report(path))


def _run_bench(plan: Plan, case: Case, checkout: Path, path: Path) -> None:
    command = [str(plan.bench.resolve()), "run", str(plan.sites[case.site].resolve())]
    command += [case.day, "--seed", str(case.seed), "--jobs", str(plan.jobs)]
    command += ["--small"] if plan.small else []
    command += ["--report", str(path.resolve())]
    output = path.with_suffix(".txt")
    with output.open("w") as file:
        process = subprocess.run(
            command, cwd=checkout, stdout=file, stderr=subprocess.STDOUT, check=False
        )
    if not path.exists():
        raise DayRunError(
            f"{path.stem}: no report, exit status {process.returncode}, see {output}"
        )


def read_report(path: Path) -> Report:
    """Read the bench's report on a day.

    :raises DayRunError: if the report is invalid
    """
    try:
        return Report.model_validate(json.loads(path.read_text()))
    except (ValueError, ValidationError) as error:
        raise DayRunError(f"{path}: invalid report: {error}") from error


def show_progress(finished: int, count: int, day_run: DayRun) -> None:
    """Print a line about a completed run to the standard error stream.

    :param finished: number of completed runs
    :param count: total number of runs
    """
    case, report = day_run.case, day_run.report
    broken = ", ".join(report.breaks) or "none"
    print(
        f"{finished}/{count} {day_run.variant} {case.site} {case.day} "
        f"seed {case.seed}: worth {report.worth:.3f}, rules broken: {broken}",
        file=sys.stderr,
        flush=True,
    )
