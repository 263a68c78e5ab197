"""``pondquay upstreams``: the upstreams as one instance sees them."""

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
    """Lists upstreams."""

    help = "list upstreams with their state and load"
    example = "pondquay upstreams"

    async def run(self, client: OperatorClient, options: Namespace) -> CommandResult:
        """List them."""
        content = await client.get("/upstreams")
        rows = [
            {**one, "serves": ["@".join(pair).rstrip("@") for pair in one["serves"]]}
            for one in sorted(content["upstreams"], key=lambda one: str(one["name"]))
        ]
        return CommandResult(content, format_table(COLUMNS, rows))
