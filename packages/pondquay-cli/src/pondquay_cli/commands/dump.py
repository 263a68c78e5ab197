"""``pondquay dump``: the whole state of the instance that answers."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from pondquay_cli.commands.base import COMMANDS, Command, CommandResult
from pondquay_cli.errors import InvalidUsageError

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from pondquay_cli.client import OperatorClient


@COMMANDS.register("dump")
class DumpCommand(Command):
    """Dumps the state of one instance."""

    help = "dump the state of the instance whose door is given with --operator"
    example = "pondquay --operator http://10.0.0.7:8002 dump khuree-a1"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the instance's name."""
        parser.add_argument("instance", nargs="?", metavar="INSTANCE")

    async def run(self, client: OperatorClient, options: Namespace) -> CommandResult:
        """Dump it.

        :raises InvalidUsageError: if another instance answers than was asked for
        """
        content = await client.get("/dump")
        name = content["instance"].partition("~")[0]
        if options.instance not in (None, name):
            raise InvalidUsageError(
                f"the door given is that of {name}, not of {options.instance}"
            )
        return CommandResult(content, json.dumps(content, indent=2))
