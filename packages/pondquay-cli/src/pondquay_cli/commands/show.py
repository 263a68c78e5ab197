"""``pondquay show PLAN``: show a plan."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_cli.commands.base import COMMANDS, CommandResult, OperatorCommand
from pondquay_cli.plantext import format_plan

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from pondquay_cli.client import OperatorClient


@COMMANDS.register("show")
class ShowCommand(OperatorCommand):
    """Show one plan."""

    help = "show a plan with each of its changes"
    example = "pondquay show 3f9c2a1b7d"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the argument for the plan's id."""
        parser.add_argument("plan", metavar="PLAN")

    async def run(self, client: OperatorClient, options: Namespace) -> CommandResult:
        """Return the plan."""
        plan = await client.get(f"/plans/{options.plan}")
        return CommandResult(plan, format_plan(plan))
