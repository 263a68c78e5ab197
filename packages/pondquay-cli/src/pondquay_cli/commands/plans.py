"""``pondquay plans``: list plans."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_cli.commands.base import COMMANDS, CommandResult, OperatorCommand
from pondquay_cli.output import format_table

if TYPE_CHECKING:
    from argparse import Namespace

    from pondquay_cli.client import OperatorClient

COLUMNS = ("id", "partner", "state", "base", "version", "changes", "consents")


@COMMANDS.register("plans")
class PlansCommand(OperatorCommand):
    """List all plans."""

    help = "list plans with their state"
    example = "pondquay plans"

    async def run(self, client: OperatorClient, options: Namespace) -> CommandResult:
        """Return all plans, each with the number of its changes."""
        content = await client.get("/plans")
        rows = [{**plan, "changes": len(plan["changes"])} for plan in content["plans"]]
        return CommandResult(content, format_table(COLUMNS, rows))
