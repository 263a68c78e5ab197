"""``pondquay status``: the instances and the version in force at each."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_cli.commands.base import COMMANDS, CommandResult, OperatorCommand
from pondquay_cli.output import format_table

if TYPE_CHECKING:
    from argparse import Namespace

    from pondquay_cli.client import OperatorClient

COLUMNS = ("name", "domain", "state", "version", "behind", "heard_seconds_ago")


@COMMANDS.register("status")
class StatusCommand(OperatorCommand):
    """Shows the fleet as one of its instances sees it."""

    help = "show the instances, the version in force, and who is behind"
    example = "pondquay status"

    async def run(self, client: OperatorClient, options: Namespace) -> CommandResult:
        """Show it."""
        content = await client.get("/status")
        newest = max(one["version"] for one in content["instances"])
        rows = [
            {**one, "behind": newest - one["version"] or None}
            for one in content["instances"]
        ]
        reachable = "answers" if content["platform_reachable"] else "does not answer"
        text = f"version {newest}, the platform {reachable}\n"
        return CommandResult(content, text + format_table(COLUMNS, rows))
