"""``pondquay confirm PLAN``: agree to a plan, and put it in force if all have."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_cli.commands.base import COMMANDS, CommandResult, OperatorCommand
from pondquay_cli.errors import EXIT_CONSENT_MISSING

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from pondquay_cli.client import OperatorClient


@COMMANDS.register("confirm")
class ConfirmCommand(OperatorCommand):
    """Confirms one plan; confirming twice is confirming once."""

    help = "confirm a plan; it takes effect once all partners concerned have"
    example = "pondquay confirm 3f9c2a1b7d"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the plan's name."""
        parser.add_argument("plan", metavar="PLAN")

    async def run(self, client: OperatorClient, options: Namespace) -> CommandResult:
        """Confirm it and say what came of that."""
        outcome = await client.post(f"/plans/{options.plan}/confirm", {})
        if outcome["state"] == "confirmed":
            text = f"in force as version {outcome['version']}"
            return CommandResult(outcome, text)
        missing = ", ".join(outcome["missing"])
        text = f"noted; the consent of {missing} is missing, nothing takes effect yet"
        return CommandResult(outcome, text, EXIT_CONSENT_MISSING)
