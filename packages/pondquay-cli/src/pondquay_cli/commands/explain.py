"""``pondquay explain REQUEST FILE...``: one request's story, from log files."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from pondquay_cli.commands.base import COMMANDS, CommandResult, LocalCommand
from pondquay_cli.errors import EXIT_REFUSED, InvalidUsageError
from pondquay_cli.logfiles import find_request_events, read_events

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from pondquay_cli.logfiles import LogEvent

AROUND_SECONDS = 2.0


@COMMANDS.register("explain")
class ExplainCommand(LocalCommand):
    """Tells what happened to a request, and what its instance believed then."""

    help = "tell one request's story from log files, in order"
    example = "pondquay explain 9c41d07be2a35f68 logs/*.log"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the request and the files."""
        parser.add_argument("request", metavar="REQUEST", help="the id of the request")
        parser.add_argument("files", metavar="FILE", nargs="+", type=Path)
        parser.add_argument(
            "--around",
            type=float,
            default=AROUND_SECONDS,
            metavar="SECONDS",
            help="how long before and after it changes of belief are told",
        )

    def run(self, options: Namespace) -> CommandResult:
        """Tell it.

        :raises InvalidUsageError: if a file cannot be read
        """
        events = [one for path in options.files for one in _read(path)]
        story = find_request_events(events, options.request, options.around)
        if not story:
            text = f"no event of {options.request} in {len(events)} events"
            return CommandResult([], text, EXIT_REFUSED)
        content = [
            {"time": one.time, "instance": one.instance, "event": one.event}
            | dict(one.fields)
            for one in story
        ]
        return CommandResult(content, "\n".join(one.describe() for one in story))


def _read(path: Path) -> list[LogEvent]:
    try:
        with path.open(encoding="utf-8", errors="replace") as file:
            return list(read_events(file, path.stem))
    except OSError as error:
        raise InvalidUsageError(f"{path}: {error.strerror}") from error
