"""Playing days: one at a time, or all that a plan asks for."""

from __future__ import annotations

import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pydantic import BaseModel, Field, ValidationError

from pondquay_lab.experiment.checkouts import make_checkout
from pondquay_lab.experiment.errors import PlayError

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from pondquay_lab.experiment.plans import Plan


@dataclass(frozen=True, slots=True, order=True)
class Case:
    """What is played of each variant."""

    site: str
    day: str
    seed: int


class PlayedClass(BaseModel):
    """What came of one kind of request.

    :param n: requests
    :param in_aim: those answered within their objective
    :param late: those answered later
    :param worth: credit earned over credit owed
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

    :param worth: what the day is worth; the bench's own name for it is ``G``
    :param breaks: rules that were broken
    :param prices: name, amount and cost of each price
    """

    worth: float = Field(alias="G")
    breaks: dict[str, Any]
    prices: list[tuple[str, float, float]]
    classes: list[PlayedClass]


@dataclass(frozen=True, slots=True)
class Play:
    """One played day of one variant."""

    variant: str
    case: Case
    report: Report


def list_cases(plan: Plan) -> list[Case]:
    """Return what is played of each variant."""
    return [
        Case(site, day, seed)
        for seed in plan.seeds
        for site in plan.sites
        for day in plan.days
    ]


def play_all(plan: Plan, repository: Path) -> Iterator[Play]:
    """Play what is not played yet; return each play when it has ended.

    Reports stay in the plan's folder, so an experiment that was stopped goes on.

    :raises CheckoutError: if a variant's checkout cannot be made
    :raises PlayError: if a day cannot be played to its end
    """
    plan.output.mkdir(parents=True, exist_ok=True)
    folder = plan.output / "checkouts"
    folder.mkdir(exist_ok=True)
    checkouts = {
        one.name: make_checkout(repository, one, folder) for one in plan.variants
    }
    with ThreadPoolExecutor(plan.jobs) as executor:
        # Variants take turns, so that a stopped experiment still compares in pairs.
        running = [
            executor.submit(play_day, plan, name, case, checkout)
            for case in list_cases(plan)
            for name, checkout in checkouts.items()
        ]
        try:
            for one in as_completed(running):
                yield one.result()
        except BaseException:
            executor.shutdown(cancel_futures=True)
            raise


def play_day(plan: Plan, variant: str, case: Case, checkout: Path) -> Play:
    """Play one day, unless its report is there.

    :raises PlayError: if it cannot be played to its end
    """
    path = plan.output / f"{variant}.{case.site}.{case.day}.{case.seed}.json"
    if not path.exists():
        _run_bench(plan, case, checkout, path)
    return Play(variant, case, read_report(path))


def _run_bench(plan: Plan, case: Case, checkout: Path, path: Path) -> None:
    command = [str(plan.bench.resolve()), "run", str(plan.sites[case.site].resolve())]
    command += [case.day, "--seed", str(case.seed), "--jobs", str(plan.jobs)]
    command += ["--small"] if plan.small else []
    command += ["--report", str(path.resolve())]
    output = path.with_suffix(".txt")
    with output.open("w") as out:
        done = subprocess.run(
            command, cwd=checkout, stdout=out, stderr=subprocess.STDOUT, check=False
        )
    if not path.exists():
        raise PlayError(f"{path.stem}: exit status {done.returncode}, see {output}")


def read_report(path: Path) -> Report:
    """Read the bench's report on a day.

    :raises PlayError: if it is not one
    """
    try:
        return Report.model_validate(json.loads(path.read_text()))
    except (ValueError, ValidationError) as error:
        raise PlayError(f"{path}: {error}") from error


def show_progress(done: int, count: int, play: Play) -> None:
    """Write one line on a play that has ended."""
    case, report = play.case, play.report
    broken = ", ".join(report.breaks) or "none"
    print(
        f"{done}/{count} {play.variant} {case.site} {case.day} seed {case.seed}: "
        f"worth {report.worth:.3f}, rules broken: {broken}",
        file=sys.stderr,
        flush=True,
    )
