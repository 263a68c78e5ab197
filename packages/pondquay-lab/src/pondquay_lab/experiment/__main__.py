"""The command ``python -m pondquay_lab.experiment PLAN.ini``."""

from __future__ import annotations

import sys
from argparse import ArgumentParser
from pathlib import Path

from pondquay.errors import InvalidInputError
from pondquay_lab.experiment.dayruns import list_cases, run_all, show_progress
from pondquay_lab.experiment.errors import ExperimentError
from pondquay_lab.experiment.plans import load_plan
from pondquay_lab.experiment.results import (
    compare,
    format_table,
    plot_losses,
    plot_worth,
    write_csv,
)

EXIT_INVALID = 2
EXIT_FAILED = 1


def make_parser() -> ArgumentParser:
    """Return the parser of the command's arguments."""
    parser = ArgumentParser(
        prog="python -m pondquay_lab.experiment",
        description="Run days with variants of the system and compare them in pairs.",
        epilog="docs/EXPERIMENTS.md shows a plan and its results",
    )
    parser.add_argument("plan", type=Path, metavar="PLAN.ini")
    parser.add_argument(
        "--jobs", type=int, help="the number of parallel days; overrides the plan's"
    )
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run a plan's experiment and write the results.

    :returns: 0 if all days were run, 1 if a checkout or a day failed, 2 for an invalid
        plan
    """
    options = make_parser().parse_args(arguments)
    try:
        plan = load_plan(options.plan)
    except (InvalidInputError, OSError) as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    if options.jobs is not None:
        plan = plan.model_copy(update={"jobs": options.jobs})
    day_runs = []
    count = len(list_cases(plan)) * len(plan.variants)
    try:
        for day_run in run_all(plan, Path.cwd()):
            day_runs.append(day_run)
            show_progress(len(day_runs), count, day_run)
    except ExperimentError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED
    table = format_table(compare(day_runs, [variant.name for variant in plan.variants]))
    (plan.output / "results.md").write_text(table)
    write_csv(sorted(day_runs, key=lambda run: run.case), plan.output / "plays.csv")
    plot_worth(day_runs, plan.output / "worth.svg")
    plot_losses(day_runs, plan.output / "losses.svg")
    print(table, end="")
    return 0


if __name__ == "__main__":
    sys.exit(main())
