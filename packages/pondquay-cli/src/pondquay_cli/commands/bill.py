"""``pondquay bill WORKSPACE``: show the billed tokens of a workspace by request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_cli.commands.base import COMMANDS, CommandResult, OperatorCommand
from pondquay_cli.output import format_table

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from pondquay_cli.client import OperatorClient

COLUMNS = ("request", "tokens", "attempts")


@COMMANDS.register("bill")
class BillCommand(OperatorCommand):
    """Show the ledger of one workspace."""

    help = "show the billed tokens of a workspace by request"
    example = "pondquay bill captions"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the argument for the workspace's name."""
        parser.add_argument("workspace", metavar="WORKSPACE")

    async def run(self, client: OperatorClient, options: Namespace) -> CommandResult:
        """Return the workspace's billed requests and their total."""
        content = await client.get(f"/bills/{options.workspace}")
        rows = [
            {
                "request": key,
                "tokens": entry["tokens"],
                "attempts": len(entry["attempts"]),
            }
            for key, entry in content["requests"].items()
        ]
        total = (
            f"\nbilled {content['billed']}, not yet in the ledger: "
            f"{sum(entry['tokens'] for entry in content['pending'])}"
        )
        return CommandResult(content, format_table(COLUMNS, rows) + total)
