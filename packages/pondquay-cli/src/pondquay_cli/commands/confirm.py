"""``pondquay confirm PLAN``: confirm a plan, so that it can take effect."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_cli.commands.base import COMMANDS, CommandResult, OperatorCommand
from pondquay_cli.errors import EXIT_CONSENT_MISSING

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from pondquay_cli.client import OperatorClient


@COMMANDS.register("confirm")
class ConfirmCommand(OperatorCommand):
    """Confirm a plan; repeating the command has no further effect."""

    help = "confirm a plan; it takes effect once all partners concerned have consented"
    example = "pondquay confirm 3f9c2a1b7d"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the argument for the plan's id."""
        parser.add_argument("plan", metavar="PLAN")

    async def run(self, client: OperatorClient, options: Namespace) -> CommandResult:
        """Confirm the plan and return its version or the consents still missing."""
        outcome = await client.post(f"/plans/{options.plan}/confirm", {})
        if outcome["state"] == "confirmed":
            text = f"in force as version {outcome['version']}"
            return CommandResult(outcome, text)
        missing = ", ".join(outcome["missing"])
        text = (
            f"confirmation recorded; the consent of {missing} is missing, "
            "so the plan does not take effect yet"
        )
        return CommandResult(outcome, text, EXIT_CONSENT_MISSING)
