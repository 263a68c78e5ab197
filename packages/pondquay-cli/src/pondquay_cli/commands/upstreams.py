"""``pondquay upstreams``: list the upstreams known to an instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_cli.commands.base import COMMANDS, CommandResult, OperatorCommand
from pondquay_cli.output import format_table

if TYPE_CHECKING:
    from argparse import Namespace

    from pondquay_cli.client import OperatorClient

COLUMNS = ("name", "kind", "domain", "partner", "state", "load_tokens", "serves")


@COMMANDS.register("upstreams")
class UpstreamsCommand(OperatorCommand):
    """List the upstreams that one instance knows."""

    help = "list upstreams with their state and load"
    example = "pondquay upstreams"

    async def run(self, client: OperatorClient, options: Namespace) -> CommandResult:
        """Return the upstreams, sorted by name, each with the models it serves."""
        content = await client.get("/upstreams")
        rows = [
            {
                **upstream,
                "serves": ["@".join(pair).rstrip("@") for pair in upstream["serves"]],
            }
            for upstream in sorted(
                content["upstreams"], key=lambda upstream: str(upstream["name"])
            )
        ]
        return CommandResult(content, format_table(COLUMNS, rows))
