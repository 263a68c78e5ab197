"""``pondquay budgets``: show limits and granted, billed and held tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_cli.commands.base import COMMANDS, CommandResult, OperatorCommand
from pondquay_cli.output import format_table

if TYPE_CHECKING:
    from argparse import Namespace

    from pondquay_cli.client import OperatorClient

COLUMNS = (
    "workspace",
    "limit",
    "granted",
    "billed",
    "held",
    "surplus",
    "requests",
    "granted_to",
)


@COMMANDS.register("budgets")
class BudgetsCommand(OperatorCommand):
    """Show the budgets of the operator's partner, in tokens."""

    help = "show each budget with its limit and its granted, billed and held tokens"
    example = "pondquay budgets --json"

    async def run(self, client: OperatorClient, options: Namespace) -> CommandResult:
        """Return the partner's budgets."""
        content = await client.get("/budgets")
        return CommandResult(content, format_table(COLUMNS, content["budgets"]))
