"""``pondquay dump INSTANCE``: show the complete state of an instance."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from pondquay_cli.commands.base import COMMANDS, CommandResult, OperatorCommand
from pondquay_cli.errors import InvalidUsageError

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from pondquay_cli.client import OperatorClient


@COMMANDS.register("dump")
class DumpCommand(OperatorCommand):
    """Show the complete state of an instance."""

    help = (
        "dump the state of an instance; its endpoint must be among the --operator URLs"
    )
    example = "pondquay dump khuree-a1"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the argument for the instance's name."""
        parser.add_argument("instance", metavar="INSTANCE")

    async def run(self, client: OperatorClient, options: Namespace) -> CommandResult:
        """Return the state of the instance.

        :raises InvalidUsageError: if no endpoint that responds belongs to the instance
        """
        dumps = await client.list_responses("/dump")
        # An instance id is the name and the boot id, separated by a tilde.
        by_name = {dump["instance"].partition("~")[0]: dump for dump in dumps}
        content = by_name.get(options.instance)
        if content is None:
            known = ", ".join(sorted(by_name))
            raise InvalidUsageError(
                f"no endpoint of the instance responded, only those of {known}"
            )
        return CommandResult(content, json.dumps(content, indent=2))
