"""Draws short days with several disruptions that end with a loss of all instances.

    python -m pondquay_lab.experiment.lossdays draw SITE.toml FOLDER --seeds 1-24
    python -m pondquay_lab.experiment.lossdays show REPORT.json...

``draw`` writes a file for each seed, which the bench runs like any other day. ``show``
prints, from reports on such days, which fraction of the owed requests was served late
after the return.
"""

from __future__ import annotations

import sys
import tomllib
from argparse import ArgumentParser, ArgumentTypeError
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

import tomli_w
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from pondquay_lab.experiment.errors import DayRunError, ExperimentError

if TYPE_CHECKING:
    from collections.abc import Sequence

EXIT_FAILED = 1
# Kinds of disruptions that are planned work.
PLANNED_KINDS = frozenset(
    {
        "add_nodes",
        "big_config",
        "config_change",
        "config_storm",
        "hup",
        "release",
        "revoke",
        "roll_term",
        "scale_in",
        "scale_out",
    }
)
MIN_LENGTH_SECONDS, MAX_LENGTH_SECONDS = 16.0, 30.0
# Disruptions begin in this time before the loss.
DISRUPTED_SECONDS = 11.0
MIN_DISRUPTIONS, MAX_DISRUPTIONS = 3, 7
MAX_DURATION_SECONDS = 12.0
CLOSING_KIND = "closing"


class Site(BaseModel):
    """The part of a site's file that days are drawn from.

    :param troubles: the disruptions that may occur there
    """

    model_config = ConfigDict(extra="ignore")

    troubles: list[dict[str, Any]] = Field(min_length=1)


class Window(BaseModel):
    """Requests of a window of time.

    :param name: seconds at which the window begins
    :param n: number of requests
    """

    name: float
    n: int
    in_aim: int
    late: int
    not_owed: int


class Event(BaseModel):
    """A disruption as it took place.

    :param to_s: seconds at which it ended; for a loss of all instances, the time until
        which service is to recover
    """

    kind: str
    to_s: float


class LossReport(BaseModel):
    """The part of the bench's report that shows the service after a loss.

    :param breaks: broken rules, by name
    """

    windows: list[Window]
    events: list[Event]
    breaks: dict[str, Any]


@dataclass(frozen=True, slots=True)
class LateService:
    """Requests that arrived after the time in which service is to recover."""

    owed: int
    served: int

    @property
    def fraction(self) -> float:
        """The served fraction; 1 if none was owed."""
        return self.served / self.owed if self.owed else 1.0


def load_site(path: Path) -> Site:
    """Read a site's file.

    :raises DayRunError: if it cannot be read or has no disruptions
    """
    try:
        return Site.model_validate(tomllib.loads(path.read_text()))
    except (OSError, ValueError, ValidationError) as error:
        raise DayRunError(f"{path}: {error}") from error


def draw_day(site: Site, seed: int) -> dict[str, Any]:
    """Draw a day; a seed always gives the same one."""
    random = Random(seed)
    length = round(random.uniform(MIN_LENGTH_SECONDS, MAX_LENGTH_SECONDS), 1)
    number = random.randint(MIN_DISRUPTIONS, MAX_DISRUPTIONS)
    disruptions = [_draw_disruption(random, site, length) for _ in range(number)]
    planned = [event for event in disruptions if event["kind"] in PLANNED_KINDS]
    return {
        "name": f"loss-{seed}",
        "slot": "trouble",
        "seed": seed,
        "labels": [],
        "length_s": length,
        "closing": _draw_closing(random),
        "plan": planned,
        "faults": [event for event in disruptions if event not in planned],
    }


def _draw_closing(random: Random) -> dict[str, Any]:
    # In two of three days, the loss is one of power.
    kind = random.choice(["power_off_all", "power_off_all", "kill_all"])
    closing = {"kind": kind, "down_s": round(random.uniform(1.0, 2.8), 1)}
    if kind == "power_off_all" and random.random() < 0.5:
        closing["how"] = "all"
    return closing


def _draw_disruption(random: Random, site: Site, length: float) -> dict[str, Any]:
    drawn = dict(random.choice(site.troubles))
    earliest = max(1.0, length - DISRUPTED_SECONDS)
    drawn["at"] = round(random.uniform(earliest, length - 0.5), 1)
    if "for_s" in drawn:
        seconds = min(float(drawn["for_s"]), MAX_DURATION_SECONDS)
        drawn["for_s"] = round(seconds * random.uniform(0.6, 1.4), 1)
    return drawn


def write_day(day: dict[str, Any], folder: Path) -> Path:
    """Write a day as a TOML file; return its path."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{day['name']}.toml"
    path.write_text(tomli_w.dumps(day))
    return path


def read_late_service(path: Path) -> LateService:
    """Return the late service of a day from its report.

    :raises DayRunError: if the report is invalid or has no loss of all instances
    """
    try:
        report = LossReport.model_validate_json(path.read_text())
    except (OSError, ValueError) as error:
        raise DayRunError(f"{path}: {error}") from error
    losses = [event for event in report.events if event.kind.startswith(CLOSING_KIND)]
    if not losses:
        raise DayRunError(f"{path}: the day has no loss of all instances")
    late = [window for window in report.windows if window.name >= losses[-1].to_s - 0.5]
    return LateService(
        sum(window.n - window.not_owed for window in late),
        sum(window.in_aim + window.late for window in late),
    )


def parse_seeds(text: str) -> range:
    """Parse ``FIRST-LAST`` or a single seed.

    :raises ArgumentTypeError: if the text is neither
    """
    first, _, last = text.partition("-")
    try:
        return range(int(first), int(last or first) + 1)
    except ValueError:
        raise ArgumentTypeError(f"{text!r} is not FIRST-LAST") from None


def make_parser() -> ArgumentParser:
    """Return the parser of the command's arguments."""
    parser = ArgumentParser(prog="python -m pondquay_lab.experiment.lossdays")
    commands = parser.add_subparsers(dest="command", required=True)
    draw = commands.add_parser("draw", help="write a file for each day")
    draw.add_argument("site", type=Path, metavar="SITE.toml")
    draw.add_argument("folder", type=Path, metavar="FOLDER")
    draw.add_argument("--seeds", type=parse_seeds, default=range(1, 25))
    show = commands.add_parser("show", help="show the late service of played days")
    show.add_argument("reports", type=Path, nargs="+", metavar="REPORT.json")
    return parser


def draw_days(site_path: Path, folder: Path, seeds: Sequence[int]) -> None:
    """Write the days of some seeds."""
    site = load_site(site_path)
    for seed in seeds:
        print(write_day(draw_day(site, seed), folder))


def show_late_service(paths: Sequence[Path]) -> None:
    """Print the late service of each day and the mean, worst day first."""
    results = sorted(
        ((read_late_service(path), path) for path in paths),
        key=lambda result: result[0].fraction,
    )
    for late, path in results:
        print(f"{path.stem}: {late.fraction:.2f} of {late.owed} owed")
    mean = sum(late.fraction for late, _ in results) / len(results)
    print(f"mean of {len(results)} days: {mean:.3f}")


def main(arguments: list[str] | None = None) -> int:
    """Run the command.

    :returns: 0, or 1 if a file is invalid
    """
    options = make_parser().parse_args(arguments)
    try:
        if options.command == "draw":
            draw_days(options.site, options.folder, options.seeds)
        else:
            show_late_service(options.reports)
    except ExperimentError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED
    return 0


if __name__ == "__main__":
    sys.exit(main())
