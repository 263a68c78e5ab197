"""``pondquay explain REQUEST FILE...``: show the log events of one request."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from pondquay_cli.commands.base import COMMANDS, CommandResult, LocalCommand
from pondquay_cli.errors import EXIT_REFUSED
from pondquay_cli.logfiles import find_request_events, read_log

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

DEFAULT_MARGIN_SECONDS = 2.0


@COMMANDS.register("explain")
class ExplainCommand(LocalCommand):
    """Show a request's events and the related events of its instances."""

    help = "show the events of one request from log files, in order of time"
    example = "pondquay explain 9c41d07be2a35f68 logs/*.log"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the arguments for the request, the log files and the time span."""
        parser.add_argument("request", metavar="REQUEST", help="the id of the request")
        parser.add_argument("files", metavar="FILE", nargs="+", type=Path)
        parser.add_argument(
            "--around",
            type=float,
            default=DEFAULT_MARGIN_SECONDS,
            metavar="SECONDS",
            help="show related events this long before and after the request",
        )

    def run(self, options: Namespace) -> CommandResult:
        """Return the request's events and those related to it.

        :raises InvalidUsageError: if a file cannot be read
        """
        events = [event for path in options.files for event in read_log(path)]
        found = find_request_events(events, options.request, options.around)
        if not found:
            text = f"found no event of {options.request} among {len(events)} events"
            return CommandResult([], text, EXIT_REFUSED)
        content = [
            {"time": event.time, "instance": event.instance, "event": event.event}
            | dict(event.fields)
            for event in found
        ]
        return CommandResult(content, "\n".join(event.describe() for event in found))
