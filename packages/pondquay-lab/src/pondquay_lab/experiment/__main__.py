"""The command ``python -m pondquay_lab.experiment PLAN.ini``."""

from __future__ import annotations

import sys
from argparse import ArgumentParser
from pathlib import Path

from pondquay.errors import InvalidInputError
from pondquay_lab.experiment.dayruns import list_cases, play_all, show_progress
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
        description="Play days with variants of the policy and compare them in pairs.",
        epilog="docs/EXPERIMENTS.md shows a plan and what comes of it",
    )
    parser.add_argument("plan", type=Path, metavar="PLAN.ini")
    parser.add_argument("--jobs", type=int, help="days at a time, for the plan's own")
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Play what a plan asks for, and write what was found.

    :returns: 0 if all was played, 1 if not, 2 for an invalid plan
    """
    options = make_parser().parse_args(arguments)
    try:
        plan = load_plan(options.plan)
    except (InvalidInputError, OSError) as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    if options.jobs is not None:
        plan = plan.model_copy(update={"jobs": options.jobs})
    plays = []
    count = len(list_cases(plan)) * len(plan.variants)
    try:
        for play in play_all(plan, Path.cwd()):
            plays.append(play)
            show_progress(len(plays), count, play)
    except ExperimentError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED
    table = format_table(compare(plays, [one.name for one in plan.variants]))
    (plan.output / "results.md").write_text(table)
    write_csv(sorted(plays, key=lambda one: one.case), plan.output / "plays.csv")
    plot_worth(plays, plan.output / "worth.svg")
    plot_losses(plays, plan.output / "losses.svg")
    print(table, end="")
    return 0


if __name__ == "__main__":
    sys.exit(main())
