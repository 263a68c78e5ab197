"""``pondquay drain UPSTREAM``: stop sending new requests to an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_cli.commands.base import COMMANDS, CommandResult, OperatorCommand

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from pondquay_cli.client import OperatorClient


@COMMANDS.register("drain")
class DrainCommand(OperatorCommand):
    """Drain one upstream."""

    help = "stop sending new requests to an upstream; running ones are completed"
    example = "pondquay drain engine-hall-a-1"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the argument for the upstream's name."""
        parser.add_argument("upstream", metavar="UPSTREAM")

    async def run(self, client: OperatorClient, options: Namespace) -> CommandResult:
        """Drain the upstream and report whether the platform has stored this."""
        content = await client.post(f"/upstreams/{options.upstream}/drain", {})
        text = f"{options.upstream} gets no new requests"
        if not content["stored"]:
            text += (
                "; the platform is unreachable, so instances that start later do not "
                "know that it is drained"
            )
        return CommandResult(content, text)
