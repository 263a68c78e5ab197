"""``pondquay drain UPSTREAM``: give an upstream no new work."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_cli.commands.base import COMMANDS, CommandResult, OperatorCommand

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from pondquay_cli.client import OperatorClient


@COMMANDS.register("drain")
class DrainCommand(OperatorCommand):
    """Drains one upstream."""

    help = "give an upstream no new work; what it runs goes on to its end"
    example = "pondquay drain engine-hall-a-1"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the upstream's name."""
        parser.add_argument("upstream", metavar="UPSTREAM")

    async def run(self, client: OperatorClient, options: Namespace) -> CommandResult:
        """Drain it."""
        content = await client.post(f"/upstreams/{options.upstream}/drain", {})
        text = f"{options.upstream} gets nothing new"
        if not content["stored"]:
            text += "; the platform does not answer, so only live instances know"
        return CommandResult(content, text)
