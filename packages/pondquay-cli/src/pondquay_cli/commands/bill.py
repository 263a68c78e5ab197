"""``pondquay bill WORKSPACE``: what a workspace was billed, request by request."""

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
    """Shows the ledger of one workspace."""

    help = "show what a workspace was billed, request by request"
    example = "pondquay bill captions"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the workspace's name."""
        parser.add_argument("workspace", metavar="WORKSPACE")

    async def run(self, client: OperatorClient, options: Namespace) -> CommandResult:
        """Show it."""
        content = await client.get(f"/bills/{options.workspace}")
        rows = [
            {"request": key, "tokens": one["tokens"], "attempts": len(one["attempts"])}
            for key, one in content["requests"].items()
        ]
        total = (
            f"\nbilled {content['billed']}, not yet in the ledger: "
            f"{sum(one['tokens'] for one in content['pending'])}"
        )
        return CommandResult(content, format_table(COLUMNS, rows) + total)
