"""``pondquay status``: show instances and the configuration version of each."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_cli.commands.base import COMMANDS, CommandResult, OperatorCommand
from pondquay_cli.output import format_table

if TYPE_CHECKING:
    from argparse import Namespace

    from pondquay_cli.client import OperatorClient

# "heard_seconds_ago" is the time since the last message from an instance.
COLUMNS = ("name", "domain", "state", "version", "behind", "heard_seconds_ago")


@COMMANDS.register("status")
class StatusCommand(OperatorCommand):
    """Show the state of the fleet as one of its instances reports it."""

    help = "show the instances, the version in force, and which instances are behind"
    example = "pondquay status"

    async def run(self, client: OperatorClient, options: Namespace) -> CommandResult:
        """Return the instances, each with the number of versions it is behind."""
        content = await client.get("/status")
        newest = max(instance["version"] for instance in content["instances"])
        rows = [
            {**instance, "behind": newest - instance["version"] or None}
            for instance in content["instances"]
        ]
        reachable = "answers" if content["platform_reachable"] else "does not answer"
        text = f"version {newest}, the platform {reachable}\n"
        return CommandResult(content, text + format_table(COLUMNS, rows))
