"""``pondquay retries FILE...``: show how many retries services were sent."""

from __future__ import annotations

from argparse import ArgumentTypeError
from math import inf
from pathlib import Path
from typing import TYPE_CHECKING

from pondquay_cli.commands.base import COMMANDS, CommandResult, LocalCommand
from pondquay_cli.logfiles import read_log
from pondquay_cli.retrycounts import find_busiest_windows

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace
    from collections.abc import Mapping

    from pondquay_cli.retrycounts import RetryWindow

DEFAULT_WINDOW_SECONDS = 10.0


@COMMANDS.register("retries")
class RetriesCommand(LocalCommand):
    """Show the window in which all relays sent each service the most retries."""

    help = "show from log files how many retries services were sent, and why"
    example = "pondquay retries --window 10 logs/*.log"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the arguments for the log files and the window."""
        parser.add_argument("files", metavar="FILE", nargs="+", type=Path)
        parser.add_argument(
            "--window",
            metavar="SECONDS",
            type=parse_window,
            default=DEFAULT_WINDOW_SECONDS,
            help="length of the window (default: %(default)s)",
        )

    def run(self, options: Namespace) -> CommandResult:
        """Return the window with the most retries of each service.

        :raises InvalidUsageError: if a file cannot be read
        """
        events = [event for path in options.files for event in read_log(path)]
        windows = find_busiest_windows(events, options.window)
        content = [
            {
                "service": window.service,
                "began": window.began,
                "retries": len(window.retries),
                "requests": window.requests,
                "causes": window.causes,
                "instances": window.instances,
            }
            for window in windows
        ]
        return CommandResult(content, "\n".join(map(_describe, windows)))


def parse_window(text: str) -> float:
    """Parse the length of a window, in seconds.

    :raises ArgumentTypeError: if it is not a positive number
    """
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds < inf:
        raise ArgumentTypeError(f"not a positive number of seconds: {text}")
    return seconds


def _describe(window: RetryWindow) -> str:
    return (
        f"{window.service}: {len(window.retries)} retries from {window.began:.3f}, "
        f"{window.requests} requests; causes {_format(window.causes)}; "
        f"instances {_format(window.instances)}"
    )


def _format(counts: Mapping[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
