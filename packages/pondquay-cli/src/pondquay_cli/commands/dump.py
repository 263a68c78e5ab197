"""``pondquay dump INSTANCE``: the whole state of one instance."""

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
    """Dumps the state of one instance."""

    help = "dump the state of one instance, whose endpoint must be among those given"
    example = "pondquay dump khuree-a1"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the instance's name."""
        parser.add_argument("instance", metavar="INSTANCE")

    async def run(self, client: OperatorClient, options: Namespace) -> CommandResult:
        """Dump it.

        :raises InvalidUsageError: if no endpoint that answers is that instance's
        """
        dumps = await client.list_responses("/dump")
        names = {one["instance"].partition("~")[0]: one for one in dumps}
        content = names.get(options.instance)
        if content is None:
            known = ", ".join(sorted(names))
            raise InvalidUsageError(f"the endpoints that answer are those of {known}")
        return CommandResult(content, json.dumps(content, indent=2))
