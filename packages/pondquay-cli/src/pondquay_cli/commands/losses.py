"""``pondquay losses FILE...``: show tokens that ended incarnations took with them."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING

from pondquay_cli.commands.base import COMMANDS, CommandResult, LocalCommand
from pondquay_cli.logfiles import read_log
from pondquay_cli.tokenlosses import find_losses

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from pondquay_cli.tokenlosses import TokenLoss


@COMMANDS.register("losses")
class LossesCommand(LocalCommand):
    """Show what ended incarnations of relays took with them of each budget."""

    help = "show from log files which tokens ended instances took with them"
    example = "pondquay losses --workspace captions logs/*.log"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the arguments for the log files and the workspace."""
        parser.add_argument("files", metavar="FILE", nargs="+", type=Path)
        parser.add_argument(
            "--workspace", metavar="NAME", help="show the losses of this one alone"
        )

    def run(self, options: Namespace) -> CommandResult:
        """Return each loss, and the sums by workspace.

        :raises InvalidUsageError: if a file cannot be read
        """
        events = [event for path in options.files for event in read_log(path)]
        losses = [
            loss
            for loss in find_losses(events)
            if options.workspace in (None, loss.workspace)
        ]
        content = [asdict(loss) | {"unused": loss.unused} for loss in losses]
        lines = [_describe(loss) for loss in losses] + _describe_sums(losses)
        return CommandResult(content, "\n".join(lines))


def _describe(loss: TokenLoss) -> str:
    return (
        f"{loss.time:.3f} {loss.workspace} {loss.instance}: ceiling {loss.ceiling}, "
        f"used {loss.used}, unused {loss.unused}, "
        f"of which interrupted requests reserved {loss.interrupted}"
    )


def _describe_sums(losses: list[TokenLoss]) -> list[str]:
    """Return a line with the sum of each workspace."""
    by_workspace: defaultdict[str, list[TokenLoss]] = defaultdict(list)
    for loss in losses:
        by_workspace[loss.workspace].append(loss)
    return [
        f"{workspace}: {sum(loss.unused for loss in of_workspace)} unused tokens of "
        f"{len(of_workspace)} ended incarnations"
        for workspace, of_workspace in sorted(by_workspace.items())
    ]
